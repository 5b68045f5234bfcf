package forward

import metrics "github.com/rcrowley/go-metrics"

// meters are the gateway's own figures.
type meters struct {
	requests metrics.Counter
	answered metrics.Counter
	refused  metrics.Counter
	broken   metrics.Counter
	attempts metrics.Counter
	resent   metrics.Counter
	first    metrics.Timer
}

func newMeters(r metrics.Registry) *meters {
	return &meters{
		requests: metrics.GetOrRegisterCounter("requests", r),
		answered: metrics.GetOrRegisterCounter("requests.answered", r),
		refused:  metrics.GetOrRegisterCounter("requests.refused", r),
		broken:   metrics.GetOrRegisterCounter("requests.broken", r),
		attempts: metrics.GetOrRegisterCounter("attempts", r),
		resent:   metrics.GetOrRegisterCounter("attempts.resent", r),
		first:    metrics.GetOrRegisterTimer("first", r),
	}
}
