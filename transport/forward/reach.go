package forward

import (
	"sync"

	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/coordination/reach"
	"github.com/weldstream/weldstream/internal/clock"
)

// reachState holds which servers the gateway does not reach.
type reachState struct {
	mu      sync.Mutex // mu guards the fields below; no other lock is taken while it is held.
	tracker *reach.Tracker
}

// recordLost records that a server could not be reached over a new connection.
func (g *Gateway) recordLost(s *place.Server, reason string) {
	r, now := &g.reach, clock.Now()
	r.mu.Lock()
	isNew := r.tracker.Lost(s.ID, s.Service, now)
	lost := r.tracker.Count(s.Service, now)
	r.mu.Unlock()
	if isNew {
		g.log.Warn().Str("server", s.ID).Str("service", s.Service).Int("lost", lost).Int("listed", g.view.Load().Listed(s.Service)).
			Str("reason", reason).Msg("server not reached")
	}
}

// recordReached records that a server answered or accepted a connection and kept it.
func (g *Gateway) recordReached(s *place.Server) {
	r, now := &g.reach, clock.Now()
	r.mu.Lock()
	after, wasLost := r.tracker.Reached(s.ID, now)
	lost := r.tracker.Count(s.Service, now)
	r.mu.Unlock()
	if wasLost {
		g.log.Info().Str("server", s.ID).Str("service", s.Service).Int("lost", lost).Dur("after", after).Msg("server reached again")
	}
}

// LostServers returns how many servers the gateway does not reach, by service.
func (g *Gateway) LostServers() map[string]int {
	r := &g.reach
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.Counts(clock.Now())
}

// lostTotal returns how many servers of all services the gateway does not reach.
func (g *Gateway) lostTotal() (total int64) {
	for _, n := range g.LostServers() {
		total += int64(n)
	}
	return total
}

// pruneReach forgets the servers that are no longer listed.
func (g *Gateway) pruneReach(view *place.View) {
	r := &g.reach
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.Prune(func(server string) bool { return view.Find(server) != nil }, clock.Now())
}
