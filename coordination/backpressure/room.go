package backpressure

import (
	"slices"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// room is what one gateway may use of a brittle server.
type room struct {
	service     string
	slots       int       // slots is the number of requests that the server runs at once.
	places      int       // places is the number of requests that the gateway may have at the server.
	credits     int       // credits is the number of them that may be undecided, or rejected within rejectionRest.
	expires     time.Time // expires is when places and credits end unless they are renewed.
	reported    holding   // reported is what the last report says that the gateway has.
	tickets     []*Ticket
	usedUntil   []time.Time // usedUntil is when each credit that a rejection used up may be used again.
	rejected    int         // rejected is the number of rejections that the leader does not know yet.
	rejectedNow int         // rejectedNow is the part of rejected that the last report includes.
	load        int         // load is what the server said that it had at the last rejection; 0 if it did not say.
	running     int         // running is the number of requests of the gateway at the server when it was last set.
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

// usedCredits returns the number of credits that undecided requests and rejections use.
func (r *room) usedCredits(now time.Time) int {
	r.usedUntil = slices.DeleteFunc(r.usedUntil, func(until time.Time) bool { return !now.Before(until) })
	used := len(r.usedUntil)
	for _, t := range r.tickets {
		if t.undecided(now) {
			used++
		}
	}
	return used
}

// untilCredit returns the time until the first of the used credits is free.
func (r *room) untilCredit(now time.Time) time.Duration {
	wait := rejectionRest
	for _, t := range r.tickets {
		if t.undecided(now) {
			wait = min(wait, t.since.Add(t.settle).Sub(now))
		}
	}
	for _, until := range r.usedUntil {
		wait = min(wait, until.Sub(now))
	}
	return max(wait, minWait)
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

// service returns the room at the servers of a service.
func (l *Limits) service(name string) *serviceRoom {
	s := l.rooms[name]
	if s == nil {
		s = &serviceRoom{keep: unlimitedKeep}
		l.rooms[name] = s
	}
	return s
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

// request returns what the gateway has at a server and wants there, and false if that is nothing. If it is not
// complete, for a leader of an earlier build, it is only what is to be renewed.
func (r *room) request(server string, complete bool, now time.Time) (m protocol.RoomRequest, needed bool) {
	places, credits := r.held(now)
	used := r.usedCredits(now)
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
		used := r.usedCredits(now)
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
