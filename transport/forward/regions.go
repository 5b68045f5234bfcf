package forward

import (
	"fmt"
	"slices"
	"sync/atomic"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/coordination/topology"
)

// distances are all that there are.
var distances = [...]topology.Distance{topology.SameDomain, topology.SameRegion, topology.OtherRegion}

// distanceMeters count by how far away servers are.
type distanceMeters struct {
	attempts [len(distances)]metrics.Counter
	bytes    [len(distances)]serverBytes
	unplaced atomic.Int64 // unplaced are domains of servers that have no region, though there are several.
}

// serverBytes implements backend.Meter.
type serverBytes struct {
	requests metrics.Counter
	answers  metrics.Counter
}

// Sent implements backend.Meter.
func (b *serverBytes) Sent(n int) { b.requests.Inc(int64(n)) }

// Received implements backend.Meter.
func (b *serverBytes) Received(n int) { b.answers.Inc(int64(n)) }

func newDistanceMeters(r metrics.Registry) *distanceMeters {
	m := &distanceMeters{}
	counter := func(name string, d topology.Distance, cause string) metrics.Counter {
		return metrics.GetOrRegisterCounter(fmt.Sprintf("%s{%sdistance=%q}", name, cause, d), r)
	}
	for _, d := range distances {
		m.attempts[d] = counter("servers.attempts", d, "")
		m.bytes[d].requests = counter("servers.bytes", d, `cause="request",`)
		m.bytes[d].answers = counter("servers.bytes", d, `cause="answer",`)
	}
	metrics.NewRegisteredFunctionalGauge("domains.unplaced", r, m.unplaced.Load)
	return m
}

// checkRegions warns of servers in domains whose region the settings do not tell,
// when there are others than before. They count as near.
func (g *Gateway) checkRegions(view *place.View) {
	domains := make([]string, 0, len(view.Servers))
	for i := range view.Servers {
		domains = append(domains, view.Servers[i].Domain)
	}
	unplaced := g.cfg.Topology.Unplaced(domains)
	g.mu.Lock()
	same := slices.Equal(g.unplaced, unplaced)
	g.unplaced = unplaced
	g.mu.Unlock()
	if same {
		return
	}
	g.meters.distances.unplaced.Store(int64(len(unplaced)))
	if len(unplaced) > 0 {
		g.log.Warn().Strs("domains", unplaced).Msg("domains without a region")
	}
}

// Region returns the gateway's region; empty where all domains lie in one.
func (g *Gateway) Region() string { return g.cfg.Topology.Region(g.cfg.Domain) }

// distance returns how far a server is.
func (g *Gateway) distance(s *place.Server) topology.Distance {
	return g.cfg.Topology.Distance(g.cfg.Domain, s.Domain)
}
