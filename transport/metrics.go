package transport

import (
	metrics "github.com/rcrowley/go-metrics"

	"github.com/weldstream/weldstream/protocol"
)

// sampleSize is how many values a timer keeps for its percentiles.
const sampleSize = 1028

// gatewayMetrics holds the metrics of one gateway. Times are in nanoseconds.
type gatewayMetrics struct {
	registry metrics.Registry
	requests metrics.Counter
	attempts metrics.Counter
	failures metrics.Counter
	retries  metrics.Counter
	hedges   metrics.Counter
	moves    metrics.Counter
	resumed  metrics.Counter
	tokens   metrics.Counter
	gone     metrics.Counter
	decision metrics.Timer
	first    metrics.Timer
	total    metrics.Timer
	claims   metrics.Timer
	queued   metrics.Timer
}

func newGatewayMetrics(r metrics.Registry) *gatewayMetrics {
	return &gatewayMetrics{
		registry: r,
		requests: metrics.GetOrRegisterCounter("requests", r),
		attempts: metrics.GetOrRegisterCounter("attempts", r),
		failures: metrics.GetOrRegisterCounter("attempts.failed", r),
		retries:  metrics.GetOrRegisterCounter("retries", r),
		hedges:   metrics.GetOrRegisterCounter("hedges", r),
		moves:    metrics.GetOrRegisterCounter("moves", r),
		resumed:  metrics.GetOrRegisterCounter("resumed", r),
		tokens:   metrics.GetOrRegisterCounter("tokens.relayed", r),
		gone:     metrics.GetOrRegisterCounter("callers.gone", r),
		decision: newTimer("route.decision", r),
		first:    newTimer("first.token", r),
		total:    newTimer("request.total", r),
		claims:   newTimer("claim", r),
		queued:   newTimer("queue.wait", r),
	}
}

func newTimer(name string, r metrics.Registry) metrics.Timer {
	t := metrics.NewCustomTimer(metrics.NewHistogram(metrics.NewUniformSample(sampleSize)), metrics.NewMeter())
	if err := r.Register(name, t); err != nil {
		return metrics.GetOrRegisterTimer(name, r)
	}
	return t
}

func (m *gatewayMetrics) refused(code protocol.Code) {
	metrics.GetOrRegisterCounter("refused."+string(code), m.registry).Inc(1)
}
