package group

import (
	"fmt"

	metrics "github.com/rcrowley/go-metrics"
)

// WithRegistry sets the registry of the group's meters: how long syncs take, the
// term, and how long the lease still runs.
func WithRegistry(r metrics.Registry) Option {
	return func(g *Group) { g.meters = newMeters(r) }
}

// meters are the group's own figures.
type meters struct {
	sync  metrics.Timer
	term  metrics.Gauge
	lease metrics.Gauge // lease is in milliseconds.

	election  metrics.Timer   // election is from a first campaign until a leader is known.
	timeout   metrics.Gauge   // timeout is the least election timeout, in milliseconds.
	handovers metrics.Counter // handovers are those of this replica's leadership that came off.
	moves     metrics.Counter // moves are those begun for a better place.
	registry  metrics.Registry
}

// trip is the round trip to another replica, in microseconds.
func (m *meters) trip(to string) metrics.Gauge {
	return metrics.GetOrRegisterGauge(fmt.Sprintf("group.round_trip_us{to=%q}", to), m.registry)
}

func newMeters(r metrics.Registry) *meters {
	return &meters{
		sync:  metrics.GetOrRegisterTimer("group.sync", r),
		term:  metrics.GetOrRegisterGauge("group.term", r),
		lease: metrics.GetOrRegisterGauge("group.lease_left_ms", r),

		election:  metrics.GetOrRegisterTimer("group.election", r),
		timeout:   metrics.GetOrRegisterGauge("group.election_timeout_ms", r),
		handovers: metrics.GetOrRegisterCounter("group.handovers", r),
		moves:     metrics.GetOrRegisterCounter("group.moves", r),
		registry:  r,
	}
}

// noMeters returns meters that nobody reads.
func noMeters() *meters { return newMeters(metrics.NewRegistry()) }
