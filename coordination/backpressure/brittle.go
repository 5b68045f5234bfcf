package backpressure

import (
	"slices"
	"time"
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
//
// The leader chooses the servers, so that what a gateway has is at few of them and stays in use. A gateway
// keeps what it has for its next requests; while others wait, it gives back what each request no longer needs.

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
	// roomIdleTime is how long a gateway keeps places and credits that it does not use, while there is
	// enough for all.
	roomIdleTime = 500 * time.Millisecond
	// silentTime is how long a report is unanswered until a gateway keeps what it would give back to others:
	// the leader may have ended.
	silentTime = 100 * time.Millisecond
	// urgentLead is how long other requests leave the room to the most urgent ones that wait.
	urgentLead = 100 * time.Millisecond
	// freshRoomTime is how long the requests that wait have to use room that was just granted, before it
	// is given back to others that wait.
	freshRoomTime = 20 * time.Millisecond
)

// Ticket admits one request to a brittle server.
type Ticket struct {
	server   string
	since    time.Time     // since is when the request was sent.
	settle   time.Duration // settle is the time after which it counts as accepted.
	accepted bool
}

// Settle returns the time after which the request counts as accepted if the server says nothing.
func (t *Ticket) Settle() time.Duration { return t.settle }

// undecided reports whether the request was neither accepted nor rejected yet.
func (t *Ticket) undecided(now time.Time) bool { return !t.accepted && now.Sub(t.since) < t.settle }

// TicketRequest asks for a ticket.
type TicketRequest struct {
	Server  string
	Service string
	Slots   int           // Slots is the number of requests that the server runs at once.
	Running int           // Running is the number of requests of this gateway that the server has.
	Urgent  bool          // Urgent says that no request is more urgent.
	Waited  time.Duration // Waited is how long the request has waited for room.
	Settle  time.Duration // Settle is how long the request counts as not accepted if the server says nothing.
}

// untilRoom returns the time until a request may be sent; 0 if one may be now. lacksPlaces reports
// that the gateway has too few places, or will give back those that it does not use.
func (l *Limits) untilRoom(r *room, now time.Time) (wait time.Duration, lacksPlaces bool) {
	places, credits := r.held(now)
	if credits == 0 || r.taken() >= places || l.owes(r, now) {
		return placeWait, true
	}
	if r.usedCredits(now) < credits {
		return 0, false
	}
	return r.untilCredit(now), false
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
	if !m.Urgent && m.Waited < urgentLead && l.service(m.Service).waitingUrgent > 0 {
		return nil, Wait, placeWait
	}
	wait, lacksPlaces := l.untilRoom(r, now)
	switch {
	case wait == 0:
		t = &Ticket{server: m.Server, since: now, settle: m.Settle}
		r.tickets, r.usedAt = append(r.tickets, t), now
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

// AcceptTicket records that the server did not reject the request, and reports whether others wait for the
// credit that is free now.
func (l *Limits) AcceptTicket(t *Ticket, now time.Time) (wanted bool) {
	if t == nil || t.accepted {
		return false
	}
	t.accepted = true
	s := l.servers[t.server]
	if s == nil {
		return false
	}
	svc := l.service(s.room.service)
	return svc.waiting > 0 || l.owes(&s.room, now)
}

// owes reports whether others wait for what the gateway does not use at a server.
func (l *Limits) owes(r *room, now time.Time) bool {
	svc := l.rooms[r.service]
	return svc != nil && svc.keep < unlimitedKeep && now.Sub(r.grantedAt) >= freshRoomTime && !l.isSilent(now) && l.creditsAt(r.service) > svc.keep
}

// isSilent reports whether the leader has not answered for so long that it may have ended.
func (l *Limits) isSilent(now time.Time) bool {
	return !l.unansweredSince.IsZero() && now.Sub(l.unansweredSince) > silentTime
}

// EndTicket returns a ticket whose request has ended or was not sent, and reports whether others wait for
// the place that is free now. It may be called more than once.
func (l *Limits) EndTicket(t *Ticket, now time.Time) (wanted bool) {
	if t == nil {
		return false
	}
	s := l.servers[t.server]
	if s == nil {
		return false
	}
	r := &s.room
	ended := len(r.tickets)
	r.tickets = slices.DeleteFunc(r.tickets, func(other *Ticket) bool { return other == t })
	if len(r.tickets) == ended {
		return false
	}
	svc := l.service(r.service)
	r.running, r.usedAt = max(0, r.running-1), now
	unused := svc.keep < unlimitedKeep && r.credits == 0 && r.places > r.taken()
	return svc.waiting > 0 || unused || l.owes(r, now)
}

// RecordRejection records that a server rejected a request, whether or not it had a ticket. Load is the
// number of requests that the server says it has; 0 if it does not say. It reports whether the server is
// brittle.
func (l *Limits) RecordRejection(server string, load int, now time.Time) (brittle bool) {
	s := l.servers[server]
	if s == nil || !s.limit.Brittle {
		return false
	}
	r := &s.room
	r.usedUntil = append(r.usedUntil, now.Add(rejectionRest))
	r.rejected, r.load = r.rejected+1, load
	r.places = min(r.places, max(0, r.taken()-1)) // The server has no room for the request that is rejected.
	return true
}

// Brittle returns the servers that are brittle, or presumed to be, sorted.
func (l *Limits) Brittle() (servers []string) {
	for server, s := range l.servers {
		if s.limit.Brittle {
			servers = append(servers, server)
		}
	}
	slices.Sort(servers)
	return servers
}

// eachWithoutRoom calls a func with each brittle server that no request may be sent to now, and with the
// time until one may be. A leader that does not choose servers may be asked for room at any of them.
func (l *Limits) eachWithoutRoom(now time.Time, call func(server string, wait time.Duration)) {
	for server, s := range l.servers {
		if !s.limit.Brittle || l.withoutRooms {
			continue
		}
		wait, lacksPlaces := l.untilRoom(&s.room, now)
		mayAsk := lacksPlaces && !l.choosesRooms && l.mayRequestRoom(&s.room, now)
		if wait > 0 && !mayAsk {
			call(server, wait)
		}
	}
}

// BeginWait records that a request waits for room at any server of a service. It returns false if the
// leader does not grant such room, or none answers.
func (l *Limits) BeginWait(service string, urgent bool, avoid []string, now time.Time) bool {
	if !l.choosesRooms || l.isLeaderless(now) || l.brittle[service] == nil {
		return false
	}
	s := l.service(service)
	if s.waiting == 0 {
		s.avoid = avoid
	} else {
		s.avoid = slices.DeleteFunc(s.avoid, func(server string) bool { return !slices.Contains(avoid, server) })
	}
	s.waiting++
	if urgent {
		s.waitingUrgent++
	}
	return true
}

// EndWait records that a request no longer waits, and reports whether others may come first now.
func (l *Limits) EndWait(service string, urgent bool) (wanted bool) {
	s := l.service(service)
	s.waiting--
	if urgent {
		s.waitingUrgent--
	}
	return s.waiting == 0 && s.keep == 0
}

// UntilAsk returns the time until the leader may be asked for room at the servers of a service.
func (l *Limits) UntilAsk(service string, now time.Time) time.Duration {
	return max(0, l.service(service).askAgainAt.Sub(now))
}
