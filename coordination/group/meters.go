package group

import (
	"fmt"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/weldstream/weldstream/coordination/replicate"
)

// WithRegistry sets the registry of the group's metrics.
func WithRegistry(r metrics.Registry) Option {
	return func(g *Group) { g.meters = newMeters(r) }
}

// meters are the group's metrics.
type meters struct {
	sync      metrics.Timer
	term      metrics.Gauge
	leaseLeft metrics.Gauge // leaseLeft is the remaining time of the lease in milliseconds.

	election        metrics.Timer   // election is the time from this replica's first campaign until a leader is known.
	electionTimeout metrics.Gauge   // electionTimeout is the minimum election timeout in milliseconds.
	handovers       metrics.Counter // handovers counts the completed handovers of this replica's leadership.
	moves           metrics.Counter // moves counts the moves of leadership begun to shorten the quorum round trip.
	registry        metrics.Registry

	// The following are 0 on replicas that do not lead; see [replicate.Health].
	voters        metrics.Gauge
	votersInTouch metrics.Gauge
	learners      metrics.Gauge
	spares        metrics.Gauge
}

// setHealth sets the gauges of the group's members.
func (m *meters) setHealth(h replicate.Health) {
	m.voters.Update(int64(h.Voters))
	m.votersInTouch.Update(int64(h.InTouch))
	m.learners.Update(int64(h.Learners))
	m.spares.Update(int64(h.Spares))
}

// roundTrip returns the gauge of the round-trip time to another replica, in microseconds.
func (m *meters) roundTrip(to string) metrics.Gauge {
	return metrics.GetOrRegisterGauge(fmt.Sprintf("group.round_trip_us{to=%q}", to), m.registry)
}

func newMeters(r metrics.Registry) *meters {
	return &meters{
		sync:      metrics.GetOrRegisterTimer("group.sync", r),
		term:      metrics.GetOrRegisterGauge("group.term", r),
		leaseLeft: metrics.GetOrRegisterGauge("group.lease_left_ms", r),

		election:        metrics.GetOrRegisterTimer("group.election", r),
		electionTimeout: metrics.GetOrRegisterGauge("group.election_timeout_ms", r),
		handovers:       metrics.GetOrRegisterCounter("group.handovers", r),
		moves:           metrics.GetOrRegisterCounter("group.moves", r),
		registry:        r,

		voters:        metrics.GetOrRegisterGauge("group.voters", r),
		votersInTouch: metrics.GetOrRegisterGauge("group.voters_in_touch", r),
		learners:      metrics.GetOrRegisterGauge("group.learners", r),
		spares:        metrics.GetOrRegisterGauge("group.spares", r),
	}
}

// discardMeters returns meters in a registry that is not exported.
func discardMeters() *meters { return newMeters(metrics.NewRegistry()) }
