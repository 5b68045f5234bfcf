package backpressure

import (
	"maps"
	"slices"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// RoomLedger is the leader's record of the places and credits that gateways have at brittle servers. At
// no time do they add up to more than a server has. Each report of a gateway lists all that it has, so
// what it does not list is free again at once. What a gateway does not report on expires; a credit then
// rests, since it may just have been used up by a rejection.
//
// A new leader renews what gateways have, which its predecessor had counted. It grants no more until all grants of
// the predecessor have expired, and then, until their credits have rested, one credit at each server: the one that
// is reserved (see creditsOf), and only if the predecessor cannot have granted that.
type RoomLedger struct {
	opensAt  time.Time
	reserve  bool // reserve says that the reserved credit of each server may be granted before opensAt.
	services map[string]*serviceRooms
	servers  map[string]*serverRoom
	gateways map[string]*roomHolder
	limitOf  func(server string) protocol.RateLimit
	sweptAt  time.Time
}

// serviceRooms is the room at all servers of a service.
type serviceRooms struct {
	servers []*serverRoom // servers are those that take new requests.
	next    int           // next is where the search for room begins, so that equal servers take turns.
	short   map[gatewayIncarnation]shortage
	used    map[gatewayIncarnation]holding // used is what each gateway has at all servers.
	places  int                            // places is the number of places at all servers.
	keep    int                            // keep is how many requests' worth of room each gateway may keep unused.
	refused uint64                         // refused counts the reports that got no room though they asked for some.
}

// shortage is that of a gateway that got less than it asked for.
type shortage struct {
	since   time.Time // since is when it last got room, or began to ask.
	askedAt time.Time
}

// serverRoom is the room of one server.
type serverRoom struct {
	server  string
	service *serviceRooms
	slots   int
	credits int  // credits is how many all gateways together may have; 0 if the server is not brittle.
	reserve bool // reserve reports that one more is reserved for new leaders.
	ceiling ceiling
	granted map[gatewayIncarnation]holding
	used    holding // used is the sum of granted.
	resting []restingCredits
}

// holding is what a gateway has.
type holding struct {
	places   int
	credits  int
	reserved int // reserved is how many of the credits are reserved ones that this leader granted.
	expires  time.Time
}

// restingCredits are credits that nobody has, and that may not be granted yet.
type restingCredits struct {
	count int
	until time.Time
}

// roomHolder is the latest start of a gateway.
type roomHolder struct {
	start  gatewayIncarnation
	number uint64    // number is that of its latest report.
	at     time.Time // at is when that arrived.
	rooms  map[string]*serverRoom
}

const (
	// shortageTime is how long a gateway that got less than it asked for counts as short of room.
	shortageTime = 300 * time.Millisecond
	// waitSlack is how much longer a gateway must have waited for room than another one to get it first.
	waitSlack = 100 * time.Millisecond
	// holderMemory is how long a gateway without room is remembered, by which a report that was overtaken is told.
	holderMemory = time.Minute
	// sweepInterval is the time between two sweeps of expired grants.
	sweepInterval = 20 * time.Millisecond
	// retryPerGateway is the time, for each gateway that is short of room, after which one asks again: together
	// they ask a thousand times a second. It is bounded by minRoomRetry and maxRoomRetry.
	retryPerGateway = time.Millisecond
	minRoomRetry    = 5 * time.Millisecond
	maxRoomRetry    = 100 * time.Millisecond
)

// RoomLedgerOption configures a new ledger.
type RoomLedgerOption func(*RoomLedger)

// WithoutPredecessor makes the ledger grant room at once: there was no earlier leader.
func WithoutPredecessor() RoomLedgerOption { return func(l *RoomLedger) { l.opensAt = time.Time{} } }

// WithReservedCredit makes the ledger grant the reserved credit of each server before the grants of its
// predecessor have expired. The predecessor must not have granted it.
func WithReservedCredit() RoomLedgerOption { return func(l *RoomLedger) { l.reserve = true } }

// NewRoomLedger returns the ledger of a leader whose term began at the given time.
func NewRoomLedger(began time.Time, opts ...RoomLedgerOption) *RoomLedger {
	l := &RoomLedger{opensAt: began.Add(roomLifetime + rejectionRest), services: map[string]*serviceRooms{}, servers: map[string]*serverRoom{}, gateways: map[string]*roomHolder{}}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// creditsOf returns how many credits all gateways together have at a server. One rejection is
// reserved for requests without a ticket and for new leaders.
func creditsOf(limit protocol.RateLimit) int {
	if !limit.Brittle {
		return 0
	}
	return max(1, limit.MaxRejections-1)
}

// setServers sets the listed servers. Those that are gone have no room any more.
func (l *RoomLedger) setServers(list []protocol.ListedServer) {
	for _, s := range l.services {
		s.servers = nil
	}
	listed := map[string]bool{}
	for _, in := range list {
		listed[in.Server] = true
		s := l.server(in.Server, in.Service, in.Slots)
		if in.Takes {
			s.service.servers = append(s.service.servers, s)
		}
	}
	for id, s := range l.servers {
		if !listed[id] {
			l.remove(s)
		}
	}
	maps.DeleteFunc(l.services, func(_ string, s *serviceRooms) bool { return len(s.servers) == 0 && len(s.used) == 0 })
}

// server returns the room of a server.
func (l *RoomLedger) server(id, service string, slots int) *serverRoom {
	s := l.servers[id]
	if s == nil {
		s = &serverRoom{server: id, service: l.service(service), granted: map[gatewayIncarnation]holding{}}
		s.setLimit(l.limitOf(id))
		l.servers[id] = s
	}
	s.slots = max(1, slots)
	return s
}

// setLimit sets the limit of a server.
func (l *RoomLedger) setLimit(server string, limit protocol.RateLimit) {
	if s := l.servers[server]; s != nil {
		s.setLimit(limit)
	}
}

func (s *serverRoom) setLimit(limit protocol.RateLimit) {
	s.credits, s.reserve = creditsOf(limit), limit.Brittle && limit.MaxRejections >= 2
}

func (l *RoomLedger) service(name string) *serviceRooms {
	s := l.services[name]
	if s == nil {
		s = &serviceRooms{short: map[gatewayIncarnation]shortage{}, used: map[gatewayIncarnation]holding{}}
		l.services[name] = s
	}
	return s
}

// remove removes a server.
func (l *RoomLedger) remove(s *serverRoom) {
	for start := range s.granted {
		s.set(start, holding{})
	}
	for _, g := range l.gateways {
		delete(g.rooms, s.server)
	}
	delete(l.servers, s.server)
}

// set sets what a gateway has at the server.
func (s *serverRoom) set(start gatewayIncarnation, h holding) {
	old := s.granted[start]
	s.used.add(h, old)
	sum := s.service.used[start]
	sum.add(h, old)
	s.service.used[start], s.granted[start] = sum, h
	if h.places == 0 && h.credits == 0 {
		delete(s.granted, start)
	}
	if sum.places == 0 && sum.credits == 0 {
		delete(s.service.used, start)
	}
}

// add replaces one of the holdings that h is the sum of.
func (h *holding) add(with, instead holding) {
	h.places += with.places - instead.places
	h.credits += with.credits - instead.credits
	h.reserved += with.reserved - instead.reserved
}

// release drops what a gateway has at the server. Credits that it may have used up rest.
func (l *RoomLedger) release(s *serverRoom, start gatewayIncarnation, restFrom time.Time) {
	if credits := s.granted[start].credits; credits > 0 && !restFrom.IsZero() {
		s.resting = append(s.resting, restingCredits{credits, restFrom.Add(rejectionRest)})
	}
	s.set(start, holding{})
	if g := l.gateways[start.gateway]; g != nil && g.start == start {
		delete(g.rooms, s.server)
	}
}

// sweep drops what has expired.
func (l *RoomLedger) sweep(now time.Time) {
	if now.Sub(l.sweptAt) < sweepInterval {
		return
	}
	l.sweptAt = now
	for _, s := range l.servers {
		for start, h := range s.granted {
			if !now.Before(h.expires) {
				l.release(s, start, h.expires)
			}
		}
	}
	maps.DeleteFunc(l.gateways, func(_ string, g *roomHolder) bool { return len(g.rooms) == 0 && now.Sub(g.at) > holderMemory })
	for _, s := range l.services {
		maps.DeleteFunc(s.short, func(_ gatewayIncarnation, x shortage) bool { return now.Sub(x.askedAt) > shortageTime })
		l.update(s, now)
	}
}

// report processes a gateway's report. It returns what the gateway may use from now on, and the state of
// the services that it uses. A report that was overtaken by a later one returns nothing.
func (l *RoomLedger) report(from gatewayIncarnation, m *protocol.LimitsMsg, now time.Time) (grants []protocol.RoomGrant, states []protocol.RoomState) {
	l.sweep(now)
	g := l.enter(from, now)
	if m.Number > 0 && m.Number <= g.number {
		return nil, nil
	}
	g.number, g.at = m.Number, now
	for i := range m.Rejected {
		l.recordRejection(&m.Rejected[i], now)
	}
	touched := map[string]bool{}
	for i := range m.Rooms {
		touched[m.Rooms[i].Server] = true
		l.renew(g, &m.Rooms[i], m.Number > 0, now)
	}
	if m.Number > 0 {
		for id, s := range g.rooms {
			if !touched[id] {
				l.release(s, from, time.Time{}) // It was given back, or the answer that granted it was lost.
			}
		}
	}
	for i := range m.Rooms {
		l.grantAt(g, &m.Rooms[i], m.Number > 0, now)
	}
	if m.Number > 0 {
		l.endShortages(g, m)
	}
	for i := range m.Wanted {
		l.grantAny(g, &m.Wanted[i], now)
	}
	for id := range touched {
		grants = append(grants, l.grantOf(id, from, now))
	}
	for id := range g.rooms {
		if !touched[id] {
			grants = append(grants, l.grantOf(id, from, now))
		}
	}
	return grants, l.states(g, m, now)
}

// endShortages ends the shortage of a gateway at services where none of its requests wait any more.
func (l *RoomLedger) endShortages(g *roomHolder, m *protocol.LimitsMsg) {
	for name, s := range l.services {
		if !slices.ContainsFunc(m.Wanted, func(w protocol.RoomWant) bool { return w.Service == name }) {
			delete(s.short, g.start)
		}
	}
}

// enter returns the record of a start of a gateway. Earlier starts of it have ended: nothing of theirs
// runs, but their credits may just have been used up.
func (l *RoomLedger) enter(from gatewayIncarnation, now time.Time) *roomHolder {
	g := l.gateways[from.gateway]
	if g != nil && g.start == from {
		return g
	}
	if g != nil {
		for _, s := range maps.Clone(g.rooms) {
			l.release(s, g.start, now)
			delete(s.service.short, g.start)
		}
	}
	g = &roomHolder{start: from, rooms: map[string]*serverRoom{}}
	l.gateways[from.gateway] = g
	return g
}

// recordRejection lowers what a server is taken to have room for.
func (l *RoomLedger) recordRejection(m *protocol.RoomRejection, now time.Time) {
	s := l.servers[m.Server]
	if s == nil || m.Count <= 0 {
		return
	}
	load := m.Load
	if load <= 0 {
		load = s.used.places - m.Count
	}
	s.ceiling.reject(load, now)
}

// renew sets what a gateway has at a server to what it reports. A gateway of an earlier build may have
// used up credits that it no longer reports.
func (l *RoomLedger) renew(g *roomHolder, m *protocol.RoomRequest, complete bool, now time.Time) {
	s := l.server(m.Server, m.Service, m.Slots)
	old, known := s.granted[g.start]
	h := holding{places: m.Places, credits: m.Credits, expires: now.Add(roomLifetime)}
	if known || !now.Before(l.opensAt) {
		// What was not granted here, a predecessor granted, and it has expired.
		h.places, h.credits = min(h.places, old.places), min(h.credits, old.credits)
	}
	if rested := old.credits - h.credits; rested > 0 && !complete {
		s.resting = append(s.resting, restingCredits{rested, now.Add(rejectionRest)})
	}
	h.places = max(h.places, m.Running) // Requests that run go on.
	h.reserved = min(old.reserved, h.credits)
	s.set(g.start, h)
	g.rooms[m.Server] = s
	if h.places == 0 && h.credits == 0 {
		delete(g.rooms, m.Server)
	}
}

// add grants places and credits at a server in addition to what the gateway has.
func (l *RoomLedger) add(g *roomHolder, s *serverRoom, places, credits int, now time.Time) {
	h := s.granted[g.start]
	h.places, h.credits, h.expires = h.places+places, h.credits+credits, now.Add(roomLifetime)
	if now.Before(l.opensAt) {
		h.reserved += credits
	}
	s.set(g.start, h)
	g.rooms[s.server] = s
}

// update computes the sums over all servers, and how many requests' worth of room each gateway may keep unused. While
// little is free, that is an even part.
func (l *RoomLedger) update(s *serviceRooms, now time.Time) {
	var total, free holding
	for _, room := range s.servers {
		places, credits := l.free(room, now)
		free.places, free.credits = free.places+places, free.credits+credits
		total.places, total.credits = total.places+room.ceiling.limit(room.slots, now), total.credits+room.credits
	}
	s.keep, s.places = unlimitedKeep, total.places
	if free.places*tightPart < total.places || free.credits*tightPart < total.credits {
		s.keep = min(total.places, total.credits) / max(1, len(s.used))
	}
}

const (
	// tightPart is the inverse of the part of all places or credits below which little is free.
	tightPart = 4
	// unlimitedKeep is more than any gateway has.
	unlimitedKeep = 1 << 20
)

// states returns the state of the services that a gateway uses.
func (l *RoomLedger) states(g *roomHolder, m *protocol.LimitsMsg, now time.Time) (list []protocol.RoomState) {
	names := map[string]bool{}
	for i := range m.Rooms {
		names[m.Rooms[i].Service] = true
	}
	for i := range m.Wanted {
		names[m.Wanted[i].Service] = true
	}
	for name := range names {
		s := l.service(name)
		state := protocol.RoomState{Service: name, Keep: s.keep}
		_, self := s.short[g.start]
		switch {
		case now.Before(l.opensAt):
			state.Keep = unlimitedKeep // What is given back could not be granted to others.
		case len(s.short) > 1 || len(s.short) == 1 && !self:
			state.Keep = 0
		}
		if len(s.short) > 0 {
			state.Retry = min(maxRoomRetry, max(minRoomRetry, time.Duration(s.rivals(g.start))*retryPerGateway))
		}
		list = append(list, state)
	}
	return list
}
