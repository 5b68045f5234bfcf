package backpressure

import (
	"slices"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// free returns the places and credits that may be granted at a server.
func (l *RoomLedger) free(s *serverRoom, now time.Time) (places, credits int) {
	total := s.credits
	if total == 0 || now.Before(l.opensAt.Add(-rejectionRest)) {
		return 0, 0 // The predecessor's grants have not expired.
	}
	kept := s.resting[:0]
	for _, r := range s.resting {
		if now.Before(r.until) {
			kept = append(kept, r)
			total -= r.count
		}
	}
	s.resting = kept
	credits = max(0, total-s.used.credits)
	if now.Before(l.opensAt) {
		credits = l.reserved(s)
	}
	return max(0, s.ceiling.limit(s.slots, now)-s.used.places), credits
}

// reserved returns the reserved credit of a server if it may still be granted. The others may be those of
// the predecessor.
func (l *RoomLedger) reserved(s *serverRoom) int {
	if !l.reserve || !s.reserve || len(s.resting) > 0 {
		return 0
	}
	return max(0, 1-s.used.reserved)
}

// grantAt grants a gateway the room that it wants at one server. One of an earlier build gets one place
// more than it asks for, and a part of the credits that it may keep.
func (l *RoomLedger) grantAt(g *roomHolder, m *protocol.RoomRequest, complete bool, now time.Time) {
	if complete && m.Wanted == 0 {
		return
	}
	s := l.servers[m.Server]
	h := s.granted[g.start]
	places, credits := l.free(s, now)
	wanted, most := m.Wanted, 1
	if !complete {
		wanted, most = max(0, m.Running+m.Wanted+1-h.places), max(1, s.credits/max(1, len(s.service.used)))
	}
	places, credits = min(places, wanted), min(credits, max(0, most-h.credits))
	if places+h.places == 0 || credits+h.credits == 0 || places+credits == 0 {
		return
	}
	l.add(g, s, places, credits, now)
}

// grantAny grants a gateway room for requests that may go to any server of a service. While others are short of
// room, it gets at most an even part of all places at once, but one place at least; and what is left of those for
// gateways that have waited for longer than it.
func (l *RoomLedger) grantAny(g *roomHolder, m *protocol.RoomWant, now time.Time) {
	if m.Count == 0 {
		return
	}
	s := l.service(m.Service)
	x, waits := s.short[g.start]
	delete(s.short, g.start)
	if !waits {
		x.since = now
	}
	granted, most := 0, m.Count
	if len(s.short) > 0 {
		most = min(most, max(1, s.places/max(1, len(s.used))))
	}
	reserved := s.ahead(x.since)
	for ; granted < most; granted++ {
		best := l.emptiest(s, g, m.Avoid, now)
		if best == nil || reserved > 0 && l.freeRequests(s, g, now) <= reserved {
			break
		}
		_, credits := l.free(best, now)
		l.add(g, best, 1, min(1, credits), now)
		x.since = now
	}
	if granted == 0 {
		s.refused++
	}
	if granted < m.Count {
		s.short[g.start] = shortage{x.since, now}
	}
}

// ahead returns the number of gateways that have waited for much longer than since the given time.
func (s *serviceRooms) ahead(since time.Time) (n int) {
	for _, x := range s.short {
		if since.Sub(x.since) > waitSlack {
			n++
		}
	}
	return n
}

// rivals returns how many gateways get room no later than one that is short: those that no other one comes ahead
// of, if it is one of them, or else all.
func (s *serviceRooms) rivals(start gatewayIncarnation) (n int) {
	var oldest time.Time
	for _, x := range s.short {
		if oldest.IsZero() || x.since.Before(oldest) {
			oldest = x.since
		}
	}
	for _, x := range s.short {
		if x.since.Sub(oldest) <= waitSlack {
			n++
		}
	}
	if x, short := s.short[start]; !short || x.since.Sub(oldest) > waitSlack {
		return len(s.short)
	}
	return n
}

// freeRequests returns how many requests a gateway may be allowed to send to the servers of a service at once,
// with the credits that it has and those that are free.
func (l *RoomLedger) freeRequests(s *serviceRooms, g *roomHolder, now time.Time) (n int) {
	for _, room := range s.servers {
		if room.used.places < room.slots {
			places, credits := l.free(room, now)
			n += min(places, credits+room.granted[g.start].credits)
		}
	}
	return n
}

// emptiest returns the server with the most free places, as a part of its slots, of those that have a credit; or
// else of those at which the gateway has one; nil if there is none.
func (l *RoomLedger) emptiest(s *serviceRooms, g *roomHolder, avoid []string, now time.Time) (best *serverRoom) {
	most, bestHasCredit := 0.0, false
	s.next++
	for i := range s.servers {
		room := s.servers[(i+s.next)%len(s.servers)]
		if room.used.places >= room.slots || slices.Contains(avoid, room.server) {
			continue
		}
		places, credits := l.free(room, now)
		if credits == 0 && (bestHasCredit || room.granted[g.start].credits == 0) {
			continue
		}
		part := float64(places) / float64(room.slots)
		if part > most || part > 0 && credits > 0 && !bestHasCredit {
			best, most, bestHasCredit = room, part, credits > 0
		}
	}
	return best
}

// grantOf returns what a gateway may use of a server. If more is granted there than the server turned out
// to have room for, the gateway keeps no place that it does not use.
func (l *RoomLedger) grantOf(server string, start gatewayIncarnation, now time.Time) protocol.RoomGrant {
	g := protocol.RoomGrant{Server: server, Lasts: roomLifetime}
	if s := l.servers[server]; s != nil {
		h := s.granted[start]
		g.Places, g.Credits = h.places, h.credits
		if over := s.used.places - s.ceiling.limit(s.slots, now); over > 0 {
			g.Places = max(0, g.Places-over)
		}
	}
	return g
}
