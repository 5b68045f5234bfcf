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

// distances are all distances, nearest first. Each one is its own index.
var distances = [...]topology.Distance{topology.SameDomain, topology.SameRegion, topology.OtherRegion}

// distanceMeters are the metrics kept for each distance to servers.
type distanceMeters struct {
	attempts       [len(distances)]metrics.Counter
	bytes          [len(distances)]serverBytes
	unplaced       atomic.Int64 // unplaced is the number of servers' failure domains that have no region although there are several regions.
	contradicting  atomic.Int64 // contradicting is the number of failure domains whose measured round trips contradict their region.
	roundTrips     [len(distances)]atomic.Int64
	failedConnects [len(distances)]metrics.Counter
}

// domainRoundTrips holds the measured round trips to the servers' failure domains.
type domainRoundTrips struct {
	mu            sync.Mutex // mu guards the fields below.
	roundTrips    *topology.RoundTrips
	contradicting []string // contradicting are failure domains whose round trips contradict their region.
}

// serverBytes counts the bytes sent to and received from servers at one distance. It
// implements backend.Meter.
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
		metrics.NewRegisteredFunctionalGauge(fmt.Sprintf("servers.trip.us{distance=%q}", d), r, m.roundTrips[i].Load)
		m.failedConnects[d] = counter("servers.connects.failed", d, "")
		m.attempts[d] = counter("servers.attempts", d, "")
		m.bytes[d].requests = counter("servers.bytes", d, `cause="request",`)
		m.bytes[d].answers = counter("servers.bytes", d, `cause="answer",`)
	}
	metrics.NewRegisteredFunctionalGauge("domains.unplaced", r, m.unplaced.Load)
	metrics.NewRegisteredFunctionalGauge("domains.further", r, m.contradicting.Load)
	return m
}

// warnUnplaced logs the failure domains of servers that have no region in the settings,
// whenever the set changes. Such domains count as near.
func (g *Gateway) warnUnplaced(view *place.View) {
	domains := make([]string, 0, len(view.Servers))
	for i := range view.Servers {
		domains = append(domains, view.Servers[i].Domain)
	}
	unplaced := g.cfg.Topology.WithoutRegion(domains)
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

// recordConnect records the duration of a connect to a server, or its failure. It logs the
// failure domains whose round trips contradict their region, whenever the set changes.
func (g *Gateway) recordConnect(s *place.Server, took time.Duration, failed bool) {
	d, p, m := g.distance(s), &g.roundTrips, g.meters.distances
	p.mu.Lock()
	defer p.mu.Unlock()
	if failed {
		p.roundTrips.RecordLoss(s.Domain)
		m.failedConnects[d].Inc(1)
		return
	}
	p.roundTrips.Observe(s.Domain, took)
	m.roundTrips[d].Store(p.roundTrips.Shortest(d).Microseconds())
	contradicting := p.roundTrips.Contradicting()
	if slices.Equal(contradicting, p.contradicting) {
		return
	}
	p.contradicting = contradicting
	m.contradicting.Store(int64(len(contradicting)))
	if len(contradicting) > 0 {
		g.log.Warn().Strs("domains", contradicting).Dur("across", p.roundTrips.Shortest(topology.OtherRegion)).Msg("domains whose round trips contradict their region")
	}
}

// Region returns the gateway's region; empty if all failure domains are in one region.
func (g *Gateway) Region() string { return g.cfg.Topology.Region(g.cfg.Domain) }

// distance returns the distance to a server.
func (g *Gateway) distance(s *place.Server) topology.Distance {
	return g.cfg.Topology.Distance(g.cfg.Domain, s.Domain)
}

// DistanceStats are a gateway's statistics on servers at one distance, as shown in dumps.
type DistanceStats struct {
	Distance string `json:"distance"`
	TripUS   int64  `json:"trip_us"` // TripUS is the shortest round trip in microseconds; 0 if there are too few samples.
	Attempts int64  `json:"attempts"`
	Failed   int64  `json:"connects_failed"`
	Requests int64  `json:"request_bytes"`
	Answers  int64  `json:"answer_bytes"`
}

// StatsByDistance returns the statistics for each distance, nearest first.
func (g *Gateway) StatsByDistance() []DistanceStats {
	m, ways := g.meters.distances, make([]DistanceStats, len(distances))
	for i, d := range distances {
		ways[i] = DistanceStats{
			Distance: d.String(),
			TripUS:   m.roundTrips[d].Load(),
			Attempts: m.attempts[d].Count(),
			Failed:   m.failedConnects[d].Count(),
			Requests: m.bytes[d].requests.Count(),
			Answers:  m.bytes[d].answers.Count(),
		}
	}
	return ways
}
