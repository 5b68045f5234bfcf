package group

import metrics "github.com/rcrowley/go-metrics"

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
}

func newMeters(r metrics.Registry) *meters {
	return &meters{
		sync:  metrics.GetOrRegisterTimer("group.sync", r),
		term:  metrics.GetOrRegisterGauge("group.term", r),
		lease: metrics.GetOrRegisterGauge("group.lease_left_ms", r),
	}
}

// noMeters returns meters that nobody reads.
func noMeters() *meters { return newMeters(metrics.NewRegistry()) }
