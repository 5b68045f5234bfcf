package backpressure

import (
	"slices"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// A brittle server crashes if it has to reject more than a number of requests within a second.
// Each request to one needs a [Ticket], for which its gateway must have two things that the leader
// grants for a limited time:
//
//   - A place, until the request ends. The places of all gateways at a server add up to at most its
//     slots, so that it need not reject any.
//   - A credit, until the request is accepted, or for longer than a second if it is rejected. The
//     credits of all gateways at a server add up to fewer than the rejections that it bears, which
//     holds where a server has less room than slots or still runs what a gateway has left there.

const (
	// roomLifetime is how long places and credits may be used after the gateway requested them.
	roomLifetime = 900 * time.Millisecond
	// roomRenewal is how long before their end places and credits that are in use are renewed.
	roomRenewal = 650 * time.Millisecond
	// MinSettleTime is how long at least a request counts as not yet accepted if the server says
	// nothing: it rejects at once, so many round trips within a region have passed by then.
	MinSettleTime = 50 * time.Millisecond
	// rejectionRest is how long a credit is used up by a rejection. It is longer than the second
	// in which servers count, by the time that requests may differ in on their way.
	rejectionRest = 1100 * time.Millisecond
	// roomRequestPause is the time between two requests for more room at a server.
	roomRequestPause = 150 * time.Millisecond
	// placeWait is the time after which a place may be free where all are taken.
	placeWait = 20 * time.Millisecond
	// minSharedPlaces is the number of places from which one is kept for the most urgent requests.
	minSharedPlaces = 4
)

// Ticket admits one request to a brittle server.
type Ticket struct {
	server   string
	since    time.Time     // since is when the request was sent.
	settle   time.Duration // settle is the time after which it counts as accepted.
	accepted bool
}

// undecided reports whether the request was neither accepted nor rejected yet.
func (t *Ticket) undecided(now time.Time) bool { return !t.accepted && now.Sub(t.since) < t.settle }

// TicketRequest asks for a ticket.
type TicketRequest struct {
	Server  string
	Service string
	Slots   int           // Slots is the number of requests that the server runs at once.
	Running int           // Running is the number of requests of this gateway that the server has.
	Urgent  bool          // Urgent says that no request is more urgent.
	Settle  time.Duration // Settle is how long the request counts as not accepted if the server says nothing.
}

// room is what one gateway may use of a brittle server.
type room struct {
	service     string
	slots       int
	places      int
	credits     int
	expires     time.Time
	tickets     []*Ticket
	usedUntil   []time.Time // usedUntil is when each credit that a rejection used up may be used again.
	running     int         // running is the number of requests at the server when a ticket was last asked for.
	wanted      int         // wanted is the number of requests that found no place since the last report.
	triedAt     time.Time   // triedAt is when a request was last to be sent to the server.
	requestedAt time.Time   // requestedAt is when more room was last requested.
}

// held returns the places and credits that the gateway has.
func (r *room) held(now time.Time) (places, credits int) {
	if !now.Before(r.expires) {
		return 0, 0
	}
	return r.places, r.credits
}

// taken returns the number of places that are taken.
func (r *room) taken() int { return max(len(r.tickets), r.running) }

// untilCredit returns the time until a credit is free; 0 if one is.
func (r *room) untilCredit(credits int, now time.Time) time.Duration {
	r.usedUntil = slices.DeleteFunc(r.usedUntil, func(until time.Time) bool { return !now.Before(until) })
	used, wait := len(r.usedUntil), rejectionRest
	for _, t := range r.tickets {
		if t.undecided(now) {
			used++
			wait = min(wait, t.since.Add(t.settle).Sub(now))
		}
	}
	if used < credits {
		return 0
	}
	for _, until := range r.usedUntil {
		wait = min(wait, until.Sub(now))
	}
	return max(wait, minWait)
}

// untilRoom returns the time until a request may be sent; 0 if one may be now. lacksPlaces reports
// that the gateway has too few places.
func (r *room) untilRoom(urgent bool, now time.Time) (wait time.Duration, lacksPlaces bool) {
	places, credits := r.held(now)
	if !urgent && places >= minSharedPlaces {
		places--
	}
	if credits == 0 || r.taken() >= places {
		return placeWait, true
	}
	return r.untilCredit(credits, now), false
}

// Admit takes a ticket for a request to a server. It is nil if the server is not brittle. If the
// decision is Wait, wait is the time until a request may be admitted. A ticket must be returned by
// EndTicket.
func (l *Limits) Admit(m *TicketRequest, now time.Time) (t *Ticket, d Decision, wait time.Duration) {
	if l.outdatedSinceStart() {
		return nil, NeedPermit, 0 // The server may be brittle.
	}
	s := l.servers[m.Server]
	if s == nil || !s.limit.Brittle || l.withoutRooms {
		return nil, Send, 0
	}
	r := &s.room
	r.service, r.slots, r.running, r.triedAt = m.Service, m.Slots, m.Running, now
	wait, lacksPlaces := r.untilRoom(m.Urgent, now)
	switch {
	case wait == 0:
		t = &Ticket{server: m.Server, since: now, settle: m.Settle}
		r.tickets = append(r.tickets, t)
		return t, Send, 0
	case lacksPlaces && l.mayRequestRoom(r, now):
		r.wanted++
		return nil, NeedPermit, 0
	case lacksPlaces:
		r.wanted++
	}
	return nil, Wait, wait
}

// mayRequestRoom reports whether the leader may be asked for more room.
func (l *Limits) mayRequestRoom(r *room, now time.Time) bool {
	return !l.isLeaderless(now) && now.Sub(r.requestedAt) >= roomRequestPause
}

// RecordTicketSent records that the request of a ticket is sent now.
func (l *Limits) RecordTicketSent(t *Ticket, now time.Time) {
	if t != nil {
		t.since = now
	}
}

// AcceptTicket records that the server did not reject the request.
func (l *Limits) AcceptTicket(t *Ticket) {
	if t != nil {
		t.accepted = true
	}
}

// EndTicket returns a ticket whose request has ended or was not sent. It may be called more than
// once.
func (l *Limits) EndTicket(t *Ticket) {
	if t == nil {
		return
	}
	if s := l.servers[t.server]; s != nil {
		s.room.tickets = slices.DeleteFunc(s.room.tickets, func(other *Ticket) bool { return other == t })
		s.room.running = max(0, s.room.running-1)
	}
}

// RecordRejection records that a server rejected a request, whether or not it had a ticket.
func (l *Limits) RecordRejection(server string, now time.Time) {
	if s := l.servers[server]; s != nil && s.limit.Brittle {
		s.room.usedUntil = append(s.room.usedUntil, now.Add(rejectionRest))
	}
}

// Brittle returns the servers that are brittle, sorted.
func (l *Limits) Brittle() (servers []string) {
	for server, s := range l.servers {
		if s.limit.Brittle {
			servers = append(servers, server)
		}
	}
	slices.Sort(servers)
	return servers
}

// eachWithoutRoom calls a func with each brittle server that no request may be sent to, unless the
// leader may be asked for more room, and with the time until one may be.
func (l *Limits) eachWithoutRoom(now time.Time, call func(server string, wait time.Duration)) {
	for server, s := range l.servers {
		if !s.limit.Brittle || l.withoutRooms {
			continue
		}
		wait, lacksPlaces := s.room.untilRoom(true, now)
		mayAsk := lacksPlaces && l.mayRequestRoom(&s.room, now)
		if wait > 0 && !mayAsk {
			call(server, wait)
		}
	}
}

// request returns the request for room at a server, and false if none is needed: the gateway has
// enough, or did not use the server lately.
func (r *room) request(server string, now time.Time) (m protocol.RoomRequest, needed bool) {
	places, credits := r.held(now)
	renew := places > 0 && r.expires.Sub(now) < roomRenewal && now.Sub(r.triedAt) < roomLifetime
	needed = r.wanted > 0 || renew
	m = protocol.RoomRequest{Server: server, Service: r.service, Slots: r.slots, Places: places, Credits: credits, Running: r.taken(), Wanted: r.wanted}
	if needed {
		r.wanted, r.requestedAt = 0, now
	}
	return m, needed
}

// grant applies the leader's answer to a request that was made at the given time.
func (r *room) grant(g *protocol.RoomGrant, requestedAt time.Time) {
	r.places, r.credits, r.expires = g.Places, g.Credits, requestedAt.Add(g.Lasts)
}
