package backpressure

import (
	"maps"
	"slices"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// RoomLedger is the leader's record of the places and credits that gateways have at brittle
// servers. At no time do they add up to more than a server has: what was granted counts until it
// expires or the gateway says that it has less, and a credit rests after that, since it may just have
// been used up by a rejection. A new leader renews what gateways have, which its predecessor had
// counted, and grants no more until all grants of its predecessor have expired and rested.
type RoomLedger struct {
	opensAt time.Time
	servers map[string]*serverRoom
	credits map[creditHolder]int // credits are those of a gateway at all servers of a service.
}

// creditHolder is a start of a gateway at the servers of one service.
type creditHolder struct {
	gateway gatewayIncarnation
	service string
}

// serverRoom is the room of one server.
type serverRoom struct {
	service string
	granted map[gatewayIncarnation][]roomGrant
	resting []restingCredits
	yielded map[gatewayIncarnation]int       // yielded is how many credits fewer a gateway was granted than it had; see yield.
	short   map[gatewayIncarnation]time.Time // short is when a gateway last got less than it asked for.
}

// roomGrant is what one answer granted.
type roomGrant struct {
	places  int
	credits int
	expires time.Time
}

// restingCredits are credits that nobody has, and that may not be granted yet.
type restingCredits struct {
	count int
	until time.Time
}

// maxShareDivisor sets the most credits that one gateway has at a server, as a part of all, so that
// the first one that asks does not take them all.
const maxShareDivisor = 2

// shortageTime is how long a gateway that got less than it asked for counts as short of room.
const shortageTime = time.Second

// RoomLedgerOption configures a new ledger.
type RoomLedgerOption func(*RoomLedger)

// WithoutPredecessor makes the ledger grant room at once: there was no earlier leader.
func WithoutPredecessor() RoomLedgerOption { return func(l *RoomLedger) { l.opensAt = time.Time{} } }

// NewRoomLedger returns the ledger of a leader whose term began at the given time.
func NewRoomLedger(began time.Time, opts ...RoomLedgerOption) *RoomLedger {
	l := &RoomLedger{opensAt: began.Add(roomLifetime + rejectionRest), servers: map[string]*serverRoom{}, credits: map[creditHolder]int{}}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// creditsOf returns how many credits all gateways together have at a server. One rejection is
// reserved for requests without a ticket, such as those that were sent before a gateway knew that
// the server is brittle.
func creditsOf(limit protocol.RateLimit) int {
	if !limit.Brittle {
		return 0
	}
	return max(1, limit.MaxRejections-1)
}

// Request returns the room of a gateway at a server, until roomLifetime after it requested it.
func (l *RoomLedger) Request(from gatewayIncarnation, m *protocol.RoomRequest, limit protocol.RateLimit, now time.Time) protocol.RoomGrant {
	s := l.servers[m.Server]
	if s == nil {
		s = &serverRoom{service: m.Service, granted: map[gatewayIncarnation][]roomGrant{}, yielded: map[gatewayIncarnation]int{}, short: map[gatewayIncarnation]time.Time{}}
		l.servers[m.Server] = s
	}
	l.expire(s, now)
	l.endEarlierStarts(s, from, now)
	l.trim(s, from, m, now)
	g := protocol.RoomGrant{Server: m.Server, Lasts: roomLifetime}
	g.Places, g.Credits = l.next(s, from, m, creditsOf(limit), now)
	// Requests that run beyond the places go on, so their places are not free.
	l.add(s, from, roomGrant{max(g.Places, min(m.Running, m.Places)), g.Credits, now.Add(roomLifetime)})
	if g.Credits < m.Credits {
		l.yield(s, from, m.Credits-g.Credits)
	}
	delete(s.short, from)
	if g.Credits == 0 || g.Places < m.Running+m.Wanted {
		s.short[from] = now
	}
	return g
}

// next returns the places and credits of a gateway.
func (l *RoomLedger) next(s *serverRoom, from gatewayIncarnation, m *protocol.RoomRequest, totalCredits int, now time.Time) (places, credits int) {
	freePlaces, freeCredits := max(1, m.Slots), totalCredits
	for gateway, list := range s.granted {
		if gateway != from {
			g := largestGrant(list)
			freePlaces, freeCredits = freePlaces-g.places, freeCredits-g.credits
		}
	}
	for _, r := range s.resting {
		freeCredits -= r.count
	}
	freePlaces, freeCredits = max(0, freePlaces), max(0, freeCredits)
	if now.Before(l.opensAt) {
		return min(m.Places, freePlaces), min(m.Credits, freeCredits)
	}
	credits = min(freeCredits, (totalCredits+1)/maxShareDivisor, max(1, totalCredits/s.users(from)))
	switch {
	case m.Credits == 0 && l.poorerWaits(s, from, 0):
		credits = 0
	case m.Credits > 0 && l.poorerWaits(s, from, 1):
		credits = min(credits, m.Credits-1)
	}
	if credits == 0 {
		return 0, 0 // Places are of no use without a credit.
	}
	// One place more than asked for, so that the next request need not ask.
	places = min(freePlaces, m.Running+m.Wanted+1)
	if s.othersShort(from) {
		senders := s.senders(from)
		places = min(places, max(1, (m.Slots+senders-1)/senders))
	}
	return places, credits
}

// senders returns how many gateways have credits, if one more gets some.
func (s *serverRoom) senders(from gatewayIncarnation) int {
	n := 1
	for gateway, list := range s.granted {
		if gateway != from && largestGrant(list).credits > 0 {
			n++
		}
	}
	return n
}

// users returns how many gateways use or want the server.
func (s *serverRoom) users(from gatewayIncarnation) int {
	users := map[gatewayIncarnation]bool{from: true}
	for gateway := range s.granted {
		users[gateway] = true
	}
	for gateway := range s.short {
		users[gateway] = true
	}
	return len(users)
}

// othersShort reports whether another gateway that may send requests has too few places.
func (s *serverRoom) othersShort(from gatewayIncarnation) bool {
	for gateway := range s.short {
		if gateway != from && largestGrant(s.granted[gateway]).credits > 0 {
			return true
		}
	}
	return false
}

// poorerWaits reports whether a gateway without credits at the server waits for some and has fewer
// than another one at the servers of the service, by more than the margin.
func (l *RoomLedger) poorerWaits(s *serverRoom, than gatewayIncarnation, margin int) bool {
	own := l.credits[creditHolder{than, s.service}]
	for gateway := range s.short {
		if gateway != than && largestGrant(s.granted[gateway]).credits == 0 && l.credits[creditHolder{gateway, s.service}]+margin < own {
			return true
		}
	}
	return false
}

// yield records that a gateway was granted fewer credits than it has. It still counts them until it
// says so, but not among those by which gateways are compared.
func (l *RoomLedger) yield(s *serverRoom, from gatewayIncarnation, credits int) {
	s.yielded[from] = credits
	l.credits[creditHolder{from, s.service}] -= credits
}

// largestGrant returns the most that a gateway may be using: answers with less may have been lost.
func largestGrant(list []roomGrant) (g roomGrant) {
	for i := range list {
		g.places, g.credits = max(g.places, list[i].places), max(g.credits, list[i].credits)
	}
	return g
}

// replace sets what a gateway was granted at a server. The credits that it no longer has rest from
// the given time on.
func (l *RoomLedger) replace(s *serverRoom, gateway gatewayIncarnation, list []roomGrant, restFrom time.Time) {
	holder := creditHolder{gateway, s.service}
	more := largestGrant(list).credits - largestGrant(s.granted[gateway]).credits
	l.credits[holder] += more + s.yielded[gateway]
	delete(s.yielded, gateway)
	if more < 0 {
		s.resting = append(s.resting, restingCredits{-more, restFrom.Add(rejectionRest)})
	}
	if l.credits[holder] == 0 {
		delete(l.credits, holder)
	}
	if len(list) == 0 {
		delete(s.granted, gateway)
		return
	}
	s.granted[gateway] = list
}

// add adds what an answer grants.
func (l *RoomLedger) add(s *serverRoom, gateway gatewayIncarnation, g roomGrant) {
	if g.places > 0 || g.credits > 0 {
		l.replace(s, gateway, append(s.granted[gateway], g), time.Time{})
	}
}

// expire drops what no gateway may use any more, and gateways that are no longer short.
func (l *RoomLedger) expire(s *serverRoom, now time.Time) {
	for gateway, list := range s.granted {
		var kept []roomGrant
		for _, g := range list {
			if now.Before(g.expires) {
				kept = append(kept, g)
			}
		}
		if len(kept) < len(list) {
			l.replace(s, gateway, kept, now)
		}
	}
	s.resting = slices.DeleteFunc(s.resting, func(r restingCredits) bool { return !now.Before(r.until) })
	maps.DeleteFunc(s.short, func(_ gatewayIncarnation, at time.Time) bool { return now.Sub(at) > shortageTime })
}

// endEarlierStarts drops what earlier starts of a gateway were granted: those processes have ended.
func (l *RoomLedger) endEarlierStarts(s *serverRoom, from gatewayIncarnation, now time.Time) {
	for gateway := range s.granted {
		if gateway.gateway == from.gateway && gateway != from {
			l.replace(s, gateway, nil, now)
		}
	}
	maps.DeleteFunc(s.short, func(gateway gatewayIncarnation, _ time.Time) bool {
		return gateway.gateway == from.gateway && gateway != from
	})
}

// trim reduces what a gateway was granted to what it says that it has. Its report is made after the
// answers to the earlier ones arrived or timed out. What it has and was not granted here, a
// predecessor granted.
func (l *RoomLedger) trim(s *serverRoom, from gatewayIncarnation, m *protocol.RoomRequest, now time.Time) {
	list, known := s.granted[from]
	if !known {
		list = []roomGrant{{m.Places, m.Credits, now.Add(roomLifetime)}}
	}
	kept := make([]roomGrant, 0, len(list)+1)
	for _, g := range list {
		g.places, g.credits = min(g.places, max(m.Places, m.Running)), min(g.credits, m.Credits)
		if g.places > 0 || g.credits > 0 {
			kept = append(kept, g)
		}
	}
	l.replace(s, from, kept, now)
}

// Prune removes servers that are no longer listed.
func (l *RoomLedger) Prune(listed func(server string) bool) {
	for server, s := range l.servers {
		if listed(server) {
			continue
		}
		for gateway := range s.granted {
			l.replace(s, gateway, nil, time.Time{})
		}
		delete(l.servers, server)
	}
}
