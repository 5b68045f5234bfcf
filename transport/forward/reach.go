package forward

import (
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/coordination/reach"
	"github.com/weldstream/weldstream/internal/clock"
)

// reachState holds which servers the gateway does not reach.
type reachState struct {
	mu      sync.Mutex // mu guards the fields below; no other lock is taken while it is held.
	tracker *reach.Tracker
	probing bool                // probing reports that probeLost runs.
	silence map[string]*silence // silence is keyed by service.
}

// silence tells whether the servers of a service have stopped sending anything.
type silence struct {
	heardAt   time.Time // heardAt is when a server last sent anything.
	suspectAt time.Time // suspectAt is when the path to the servers was last suspected.
	checkedAt time.Time // checkedAt is when servers were last probed for it.
}

// silenceOf returns the silence of a service. The caller must hold r.mu.
func (r *reachState) silenceOf(service string) *silence {
	s := r.silence[service]
	if s == nil {
		s = &silence{}
		r.silence[service] = s
	}
	return s
}

const (
	// silenceTimeout is how long no server of a service may send anything while a request is
	// under way, before the path is checked: requests on kept connections show a cut no earlier
	// than ackTimeout.
	silenceTimeout = 400 * time.Millisecond
	// silenceProbes is the number of servers that are then probed.
	silenceProbes = 2
)

// heard records that a server sent something.
func (g *Gateway) heard(service string) {
	r, now := &g.reach, clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silenceOf(service).heardAt = now
}

// checkSilence probes some servers if none has sent anything since a request was sent, at most once
// in silenceTimeout.
func (g *Gateway) checkSilence(service string, sentAt time.Time) {
	r, now := &g.reach, clock.Now()
	r.mu.Lock()
	s := r.silenceOf(service)
	silent := s.heardAt.Before(sentAt) && now.Sub(s.checkedAt) >= silenceTimeout && !r.probing
	if silent {
		s.checkedAt = now
	}
	r.mu.Unlock()
	if silent {
		g.probeSome(service, silenceProbes)
	}
}

// recordLost records that a server could not be reached over a new connection.
func (g *Gateway) recordLost(s *place.Server, err error) {
	r, now := &g.reach, clock.Now()
	r.mu.Lock()
	isNew := r.tracker.Lost(s.ID, s.Service, errors.Is(err, syscall.ECONNREFUSED), now)
	lost := r.tracker.Count(s.Service, now)
	suspected := r.tracker.Suspected(s.Service, now)
	if suspected {
		r.silenceOf(s.Service).suspectAt = now
	}
	probe := suspected && !r.probing
	r.probing = r.probing || probe
	r.mu.Unlock()
	if probe {
		go g.probeLost() // It ends when no path is suspected any more.
	}
	if isNew {
		g.log.Warn().Str("server", s.ID).Str("service", s.Service).Int("lost", lost).Int("listed", g.view.Load().Listed(s.Service)).
			Str("reason", err.Error()).Msg("server not reached")
	}
}

// recordReached records that a server answered or accepted a connection and kept it.
func (g *Gateway) recordReached(s *place.Server) {
	r, now := &g.reach, clock.Now()
	r.mu.Lock()
	after, wasLost := r.tracker.Reached(s.ID, now)
	r.silenceOf(s.Service).heardAt = now
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

// lostServers returns the servers of a service that the gateway does not reach, if the path to them
// is suspected.
func (g *Gateway) lostServers(service string) []string {
	r := &g.reach
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.Servers(service, clock.Now())
}

// pathSuspected reports whether the path to the servers of a service may be gone.
func (g *Gateway) pathSuspected(service string) bool { return len(g.lostServers(service)) > 0 }

// failedByPath reports whether a connection to a server that broke at a time broke with the path to
// the servers: the path was suspected since, and the server is still there or another gateway reaches
// more of them.
func (g *Gateway) failedByPath(s *place.Server, at time.Time) bool {
	r, now := &g.reach, clock.Now()
	r.mu.Lock()
	suspected := !r.silenceOf(s.Service).suspectAt.Before(at)
	lost := r.tracker.IsLost(s.ID, now)
	r.mu.Unlock()
	return suspected && (!lost || reach.LacksPath(s.Service, g.lostOf(s.Service), g.peers.all()))
}

// pruneReach forgets the servers that are no longer listed.
func (g *Gateway) pruneReach(view *place.View) {
	r := &g.reach
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.Prune(func(server string) bool { return view.Find(server) != nil }, clock.Now())
}

// reportableDistrusts returns the servers that the gateway distrusts, without those that it does
// not reach while other gateways do: others must not avoid them for that.
func (g *Gateway) reportableDistrusts(now time.Time) []string {
	view := g.view.Load()
	return slices.DeleteFunc(view.Distrusts(now), func(id string) bool {
		s := view.Find(id)
		return slices.Contains(g.lostServers(s.Service), id) && g.passShare(s.Service) > 0
	})
}
