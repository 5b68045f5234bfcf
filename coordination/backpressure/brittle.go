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

// room is what one gateway may use of a brittle server.
type room struct {
	service     string
	slots       int
	places      int
	credits     int
	expires     time.Time
	reported    holding // reported is what the last report told that the gateway has.
	tickets     []*Ticket
	usedUntil   []time.Time // usedUntil is when each credit that a rejection used up may be used again.
	rejected    int         // rejected is the number of rejections that the leader does not know yet.
	rejectedNow int         // rejectedNow is the part of rejected that the last report includes.
	load        int         // load is what the server said that it had at the last rejection; 0 if it did not say.
	running     int         // running is the number of requests at the server when it was last told.
	wanted      int         // wanted is the number of requests that found no place since the last report.
	triedAt     time.Time   // triedAt is when a request was last to be sent to the server.
	usedAt      time.Time   // usedAt is when a request last ended or was sent there.
	grantedAt   time.Time   // grantedAt is when more was last granted.
	requestedAt time.Time   // requestedAt is when more room was last requested.
}

// serviceRoom is what a gateway knows of the room at all brittle servers of a service.
type serviceRoom struct {
	keep          int // keep is how many requests' worth of room the gateway may have; what it uses may be more.
	waiting       int // waiting is the number of requests that wait for room.
	waitingUrgent int // waitingUrgent is the number of the most urgent ones of them.
	askAgainAt    time.Time
	avoid         []string // avoid are servers that none of those that wait may be sent to.
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

// usedCredits returns the number of credits that undecided requests and rejections use, and the time until
// the first of them is free.
func (r *room) usedCredits(now time.Time) (used int, wait time.Duration) {
	r.usedUntil = slices.DeleteFunc(r.usedUntil, func(until time.Time) bool { return !now.Before(until) })
	used, wait = len(r.usedUntil), rejectionRest
	for _, t := range r.tickets {
		if t.undecided(now) {
			used++
			wait = min(wait, t.since.Add(t.settle).Sub(now))
		}
	}
	for _, until := range r.usedUntil {
		wait = min(wait, until.Sub(now))
	}
	return used, max(wait, minWait)
}

// untilRoom returns the time until a request may be sent; 0 if one may be now. lacksPlaces reports
// that the gateway has too few places, or will give back those that it does not use.
func (l *Limits) untilRoom(r *room, now time.Time) (wait time.Duration, lacksPlaces bool) {
	places, credits := r.held(now)
	if credits == 0 || r.taken() >= places || l.owes(r, now) {
		return placeWait, true
	}
	used, wait := r.usedCredits(now)
	if used < credits {
		return 0, false
	}
	return wait, false
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

// creditsAt returns the credits that the gateway has at all servers of a service.
func (l *Limits) creditsAt(service string) (n int) {
	for _, s := range l.servers {
		if s.limit.Brittle && s.room.service == service {
			n += s.room.credits
		}
	}
	return n
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

// service returns the room at the servers of a service.
func (l *Limits) service(name string) *serviceRoom {
	s := l.rooms[name]
	if s == nil {
		s = &serviceRoom{keep: unlimitedKeep}
		l.rooms[name] = s
	}
	return s
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

// SetRunning sets how many requests of this gateway each brittle server has.
func (l *Limits) SetRunning(outstanding func(server string) int) {
	for server, s := range l.servers {
		if s.limit.Brittle {
			s.room.running = outstanding(server)
		}
	}
}

// reportRooms adds to a report what the gateway has at brittle servers, and what it wants there.
func (l *Limits) reportRooms(m *protocol.LimitsMsg, now time.Time) {
	l.giveBack(now)
	for server, s := range l.servers {
		if !s.limit.Brittle {
			continue
		}
		in := l.listed[server]
		if s.room.service == "" {
			s.room.service, s.room.slots = in.Service, in.Slots
		}
		if r, needed := s.room.request(server, l.choosesRooms || !l.answered, now); needed {
			m.Rooms = append(m.Rooms, r)
		}
		if r := &s.room; r.rejected > 0 {
			r.rejectedNow = r.rejected
			m.Rejected = append(m.Rejected, protocol.RoomRejection{Server: server, Count: r.rejected, Load: r.load})
		}
	}
	for name, s := range l.rooms {
		if s.waiting == 0 {
			continue
		}
		w := protocol.RoomWant{Service: name, Avoid: slices.Clone(s.avoid)}
		if !now.Before(s.askAgainAt) {
			w.Count = s.waiting
		}
		m.Wanted = append(m.Wanted, w)
	}
}

// request returns what the gateway has at a server and wants there, and false if that is nothing. An
// earlier build of the leader is told what is to be renewed alone.
func (r *room) request(server string, complete bool, now time.Time) (m protocol.RoomRequest, needed bool) {
	places, credits := r.held(now)
	used, _ := r.usedCredits(now)
	if complete {
		credits = max(credits, used)
	}
	renew := places > 0 && r.expires.Sub(now) < roomRenewal && now.Sub(r.triedAt) < roomLifetime
	needed = r.wanted > 0 || renew || complete && places+credits+r.taken() > 0
	m = protocol.RoomRequest{Server: server, Service: r.service, Slots: r.slots, Places: places, Credits: credits, Running: r.taken(), Wanted: r.wanted}
	r.reported = holding{places: max(places, r.taken()), credits: credits}
	if needed {
		r.wanted, r.requestedAt = 0, now
	}
	return m, needed
}

// giveBack drops places and credits that are not used: at once while others wait for some, otherwise those that
// have been idle for roomIdleTime.
func (l *Limits) giveBack(now time.Time) {
	if !l.choosesRooms || l.isSilent(now) {
		return
	}
	held := map[string]int{}
	for name := range l.rooms {
		held[name] = l.creditsAt(name)
	}
	for _, s := range l.servers {
		r := &s.room
		svc := l.rooms[r.service]
		if !s.limit.Brittle || svc == nil || now.Sub(r.grantedAt) < freshRoomTime {
			continue
		}
		used, _ := r.usedCredits(now)
		idle := max(0, r.credits-used)
		if now.Sub(r.usedAt) < roomIdleTime {
			idle = min(idle, max(0, held[r.service]-svc.keep))
		}
		r.credits -= idle
		held[r.service] -= idle
		if r.credits == 0 || now.Sub(r.usedAt) >= roomIdleTime {
			r.places = min(r.places, r.taken())
		}
	}
}

// applyRooms applies what the leader grants in answer to a report that was made at the given time.
func (l *Limits) applyRooms(reply *protocol.LimitsReply, reportedAt, now time.Time) {
	for i := range reply.Rooms {
		if s := l.servers[reply.Rooms[i].Server]; s != nil {
			s.room.grant(&reply.Rooms[i], reply.ChoosesRooms, reportedAt, now)
		}
	}
	for i := range reply.RoomStates {
		state := &reply.RoomStates[i]
		s := l.service(state.Service)
		s.keep, s.askAgainAt = state.Keep, now.Add(state.Retry)
	}
	if !reply.ChoosesRooms {
		return
	}
	for _, s := range l.servers {
		s.room.rejected, s.room.rejectedNow = s.room.rejected-s.room.rejectedNow, 0
	}
}

// grant applies the leader's answer to a request that was made at the given time. What the gateway gave back
// since the request is not its own any more.
func (r *room) grant(g *protocol.RoomGrant, complete bool, requestedAt, now time.Time) {
	places, credits := g.Places, g.Credits
	if complete {
		heldPlaces, heldCredits := r.held(now)
		places = min(places, heldPlaces+max(0, places-r.reported.places))
		credits = min(credits, heldCredits+max(0, credits-r.reported.credits))
	}
	if places > r.places || credits > r.credits {
		r.grantedAt, r.usedAt = now, now
	}
	r.places, r.credits, r.expires = places, credits, requestedAt.Add(g.Lasts)
}
