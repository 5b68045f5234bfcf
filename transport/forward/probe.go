package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/coordination/reach"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/internal/pause"
	"github.com/weldstream/weldstream/transport/backend"
)

const (
	// probeInterval is the time between two rounds of probes while a path is suspected.
	probeInterval = 250 * time.Millisecond
	// maxProbes bounds the servers of one service that are probed in a round.
	maxProbes = 16
	// probeTimeout bounds a probe: many round trips within a region.
	probeTimeout = 300 * time.Millisecond
	// probeSkip is how long a server that was reached is not probed.
	probeSkip = time.Second
)

// probeLost probes the servers of all services whose path is suspected, until none is: those that
// are lost, to see when the path is back without sending callers' requests into it, and those that
// were not heard of lately, to see how far the loss goes.
func (g *Gateway) probeLost() {
	g.log.Warn().Interface("lost", g.LostServers()).Msg("path to servers suspected")
	began, before := clock.Now(), map[string]int{}
	for {
		services := g.suspectedServices()
		if len(services) == 0 {
			break
		}
		g.probeAll(g.serversToProbe(services))
		before = g.reportLoss(before)
		pause.For(context.Background(), probeInterval)
	}
	g.reportLoss(before)
	g.log.Info().Dur("after", clock.Since(began)).Msg("path to servers no longer suspected")
}

// reportLoss tells the leader which servers are lost if that changed.
func (g *Gateway) reportLoss(before map[string]int) map[string]int {
	lost := g.LostServers()
	changed := len(lost) != len(before)
	for service, n := range lost {
		changed = changed || before[service] != n
	}
	if changed && g.peers.trigger != nil {
		g.peers.trigger()
	}
	return lost
}

// suspectedServices returns the services whose path is suspected. If there are none, the next loss
// starts probeLost again.
func (g *Gateway) suspectedServices() map[string]bool {
	r, now := &g.reach, clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	services := map[string]bool{}
	for service := range r.tracker.Counts(now) {
		if r.tracker.Suspected(service, now) {
			services[service] = true
		}
	}
	r.probing = len(services) > 0 && !g.closed.Load()
	if !r.probing {
		return nil
	}
	return services
}

// serversToProbe returns at most maxProbes servers of each of the services, drawn at random.
func (g *Gateway) serversToProbe(services map[string]bool) (servers []*place.Server) {
	view, now := g.view.Load(), clock.Now()
	left := map[string]int{}
	for service := range services {
		left[service] = maxProbes
	}
	r := &g.reach
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, i := range rand.Perm(len(view.Servers)) {
		s := &view.Servers[i]
		if left[s.Service] == 0 || s.Leaving || r.tracker.AnsweredWithin(s.ID, probeSkip, now) {
			continue
		}
		left[s.Service]--
		servers = append(servers, s)
	}
	return servers
}

// probe opens a connection to a server, records whether that succeeded, and reports it.
func (g *Gateway) probe(s *place.Server) (reached bool) {
	g.meters.probes.Inc(1)
	err := g.pool.Probe(context.Background(), s.ID, s.Address, probeTimeout)
	if errors.Is(err, backend.ErrTooManyConnections) {
		return false
	}
	if err != nil {
		g.recordLost(s, eris.Wrap(err, "probe"))
		return false
	}
	g.recordReached(s)
	return true
}

// referenceProbes is the number of other servers that are probed before a refused connection is
// taken for the end of a server.
const referenceProbes = 2

// refusedByPath reports whether a server refuses connections because of the path to it: other
// servers of the service do so as well, and another gateway reaches more of them.
func (g *Gateway) refusedByPath(s *place.Server) bool {
	others := g.drawServers(s.Service, s.ID, referenceProbes)
	if len(others) == 0 || g.probeAll(others) {
		return false
	}
	return reach.LacksPath(s.Service, g.lostOf(s.Service), g.peers.all())
}

// probeSome probes some servers of a service, drawn at random.
func (g *Gateway) probeSome(service string, n int) { g.probeAll(g.drawServers(service, "", n)) }

// drawServers returns at most n servers of a service that are not leaving, at random, without the
// one named.
func (g *Gateway) drawServers(service, except string, n int) (drawn []*place.Server) {
	view := g.view.Load()
	for _, i := range view.Service(service) {
		if s := &view.Servers[i]; s.ID != except && !s.Leaving {
			drawn = append(drawn, s)
		}
	}
	rand.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
	return drawn[:min(len(drawn), n)]
}

// probeAll probes servers at once and reports whether one of them was reached.
func (g *Gateway) probeAll(servers []*place.Server) bool {
	var probes sync.WaitGroup
	var reached atomic.Bool
	for _, s := range servers {
		probes.Go(func() {
			if g.probe(s) {
				reached.Store(true)
			}
		})
	}
	probes.Wait()
	return reached.Load()
}
