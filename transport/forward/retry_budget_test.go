package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// TestRetryBudgetHoldsAcrossStarts guards against gateways that together exceed a service's retry
// budget because each of them takes itself for the only one when it starts.
func TestRetryBudgetHoldsAcrossStarts(t *testing.T) {
	const (
		ratio, extra = 0.2, 56
		starts       = 2
		each         = 30 // requests at each gateway after each of its starts
	)
	for _, gateways := range []int{1, 8, 80} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			cfg := testConfig()
			cfg.RetryRatio, cfg.RetryExtra, cfg.RetryWindow = ratio, extra, time.Hour // All arrivals are in one window.
			first := newConfiguredGateway(t, cfg)
			a, b := first.backend("a", answerNotRun), first.backend("b", answerNotRun)
			requests := 0
			for range starts * gateways {
				w := newConfiguredGateway(t, cfg) // Its first and only answer of a leader counts one gateway.
				w.g.SetServers(first.servers)
				w.install(protocol.PathRoute{Name: "r", Kind: protocol.RouteRepeatable, Attempts: 2})
				for range each {
					w.ask()
					requests++
				}
			}
			repeats := a.runs.Load() + b.runs.Load() - int64(requests)
			if allowed := int64(ratio*float64(requests)) + extra; repeats > allowed {
				t.Errorf("%d gateways started %d times: %d repeats for %d requests, allowed %d", gateways, starts, repeats, requests, allowed)
			}
			if repeats == 0 {
				t.Error("no request was repeated")
			}
		})
	}
}
