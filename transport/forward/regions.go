package forward

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/coordination/topology"
)

// distances are all distances, each at its own index, the nearest first.
var distances = [...]topology.Distance{topology.SameDomain, topology.SameRegion, topology.OtherRegion}

// distanceMeters are the metrics that are kept for each distance to servers.
type distanceMeters struct {
	attempts      [len(distances)]metrics.Counter
	bytes         [len(distances)]serverBytes
	unplaced      atomic.Int64 // unplaced are domains of servers that have no region, though there are several.
	contradicting atomic.Int64 // contradicting are domains whose observed round trips contradict their region.
	trips         [len(distances)]atomic.Int64
	lost          [len(distances)]metrics.Counter
}

// paths are the observed round trips to the servers' domains.
type paths struct {
	mu            sync.Mutex // mu guards all below.
	trips         *topology.Trips
	contradicting []string // contradicting are domains whose round trips contradict their region.
}

// serverBytes counts what goes to servers of one distance, and comes back. It implements
// backend.Meter.
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
	for i, d := range distances {
		metrics.NewRegisteredFunctionalGauge(fmt.Sprintf("servers.trip.us{distance=%q}", d), r, m.trips[i].Load)
		m.lost[d] = counter("servers.connects.failed", d, "")
		m.attempts[d] = counter("servers.attempts", d, "")
		m.bytes[d].requests = counter("servers.bytes", d, `cause="request",`)
		m.bytes[d].answers = counter("servers.bytes", d, `cause="answer",`)
	}
	metrics.NewRegisteredFunctionalGauge("domains.unplaced", r, m.unplaced.Load)
	metrics.NewRegisteredFunctionalGauge("domains.further", r, m.contradicting.Load)
	return m
}

// noteUnplaced warns of servers in domains whose region the settings do not tell,
// when there are others than before. They count as near.
func (g *Gateway) noteUnplaced(view *place.View) {
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

// noteConnect notes how long a new connection to a server took, or that it failed. It
// warns of domains whose round trips contradict their region, when there are others than
// before.
func (g *Gateway) noteConnect(s *place.Server, took time.Duration, failed bool) {
	d, p, m := g.distance(s), &g.paths, g.meters.distances
	p.mu.Lock()
	defer p.mu.Unlock()
	if failed {
		p.trips.Lost(s.Domain)
		m.lost[d].Inc(1)
		return
	}
	p.trips.Observe(s.Domain, took)
	m.trips[d].Store(p.trips.Trip(d).Microseconds())
	contradicting := p.trips.Contradicting()
	if slices.Equal(contradicting, p.contradicting) {
		return
	}
	p.contradicting = contradicting
	m.contradicting.Store(int64(len(contradicting)))
	if len(contradicting) > 0 {
		g.log.Warn().Strs("domains", contradicting).Dur("across", p.trips.Trip(topology.OtherRegion)).Msg("domains whose round trips contradict their region")
	}
}

// Region returns the gateway's region; empty where all domains lie in one.
func (g *Gateway) Region() string { return g.cfg.Topology.Region(g.cfg.Domain) }

// distance returns how far a server is.
func (g *Gateway) distance(s *place.Server) topology.Distance {
	return g.cfg.Topology.Distance(g.cfg.Domain, s.Domain)
}

// DistanceStats is what a gateway has seen of servers at one distance, as dumps show it.
type DistanceStats struct {
	Distance string `json:"distance"`
	TripUS   int64  `json:"trip_us"` // TripUS is the shortest round trip; 0 where none was seen often enough.
	Attempts int64  `json:"attempts"`
	Failed   int64  `json:"connects_failed"`
	Requests int64  `json:"request_bytes"`
	Answers  int64  `json:"answer_bytes"`
}

// StatsByDistance returns what the gateway has seen by distance, the nearest first.
func (g *Gateway) StatsByDistance() []DistanceStats {
	m, ways := g.meters.distances, make([]DistanceStats, len(distances))
	for i, d := range distances {
		ways[i] = DistanceStats{
			Distance: d.String(),
			TripUS:   m.trips[d].Load(),
			Attempts: m.attempts[d].Count(),
			Failed:   m.lost[d].Count(),
			Requests: m.bytes[d].requests.Count(),
			Answers:  m.bytes[d].answers.Count(),
		}
	}
	return ways
}
