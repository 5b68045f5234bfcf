package forward

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/coordination/resend"
	"github.com/weldstream/weldstream/internal/clock"
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
			cfg.RetryRatio, cfg.RetryWindow = ratio, time.Hour // All arrivals are in one window.
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

// newBorrower returns a gateway without credit, in front of two servers that reject requests. Its
// requests for retries go to ask.
func newBorrower(t *testing.T, ask func(g *Gateway)) (w *testGateway, runs func() int64) {
	t.Helper()
	cfg := testConfig()
	cfg.RetryRatio = 0
	w = newConfiguredGateway(t, cfg)
	w.g.triggerRetries = func() { go ask(w.g) }
	a, b := w.backend("a", answerNotRun), w.backend("b", answerNotRun)
	w.install(protocol.PathRoute{Name: "r", Kind: protocol.RouteRepeatable, Attempts: 2})
	return w, func() int64 { return a.runs.Load() + b.runs.Load() }
}

// TestLentRetryIsSent checks that a gateway without credit borrows a retry from the leader, also
// if its first answer lends none, and refuses the request if there is none to be had.
func TestLentRetryIsSent(t *testing.T) {
	for name, c := range map[string]struct {
		lends []int // lends are the retries lent by the leader's answers in turn.
		runs  int64
	}{"lent": {[]int{1}, 2}, "lent at once to others": {[]int{0, 1}, 2}, "none": {[]int{-1}, 1}} {
		answers := make(chan int, len(c.lends))
		for _, n := range c.lends {
			answers <- n
		}
		w, runs := newBorrower(t, func(g *Gateway) {
			m, any := g.ReportRetries()
			if !any {
				return // The answer to an earlier request covered it.
			}
			if len(m.Wants) != 1 || m.Wants[0] != (protocol.RetryRequest{Service: "s", Count: 1}) {
				t.Errorf("%s: requested %+v", name, m.Wants)
			}
			lease := protocol.RetryLease{Service: "s", Count: <-answers, Lasts: time.Minute}
			if lease.Count < 0 {
				lease.Count, lease.Wait = 0, time.Minute
			}
			g.HandleRetryReply(&m, &protocol.RetryReply{Leads: true, Leases: []protocol.RetryLease{lease}}, clock.Now())
		})
		if got := w.ask(); got.status != 503 || runs() != c.runs {
			t.Errorf("%s: got %+v after %d runs, want %d", name, got, runs(), c.runs)
		}
	}
}

// TestNoRetryWithoutLeader checks that a request is refused as soon as it is known that no leader
// lends, and that the leader is not asked for each failed request.
func TestNoRetryWithoutLeader(t *testing.T) {
	asked := make(chan struct{}, 10)
	w, runs := newBorrower(t, func(g *Gateway) {
		asked <- struct{}{}
		m, _ := g.ReportRetries()
		g.HandleRetryReply(&m, nil, clock.Now())
	})
	for range 3 {
		if got := w.ask(); got.status != 503 || got.verdict != "not-run" {
			t.Errorf("got %+v", got)
		}
	}
	if runs() != 3 {
		t.Errorf("%d runs of 3 requests", runs())
	}
	if n := len(asked); n == 3 {
		t.Errorf("the leader was asked %d times for 3 requests", n)
	}
}

// TestLateRetryIsRenewed checks that a retry that is not sent in time takes another one from the
// budget, and is refused if there is none.
func TestLateRetryIsRenewed(t *testing.T) {
	w := newTestGateway(t)
	x := sharingExchange(w)
	x.route = &protocol.PathRoute{Target: time.Second}
	x.service, x.state.Sent = "s", 1
	x.retrySendBy = clock.Now().Add(-time.Second)
	if got := x.renewRetry(); got == nil || got.Status != 503 || got.Verdict != protocol.NotRun || got.RetryAfter <= 0 {
		t.Errorf("without another retry: got %+v", got)
	}
	x.state.MayHaveRun = true
	if got := x.renewRetry(); got == nil || got.Verdict != protocol.MayHaveRun {
		t.Errorf("after an attempt that may have run: got %+v", got)
	}
	w.g.retries.recordRequest("s", clock.Now())
	if got := x.renewRetry(); got != nil || !x.retrySendBy.After(clock.Now()) {
		t.Errorf("with another retry: got %+v, to be sent by %v", got, x.retrySendBy)
	}
	if got := x.renewRetry(); got != nil {
		t.Errorf("in time: got %+v", got)
	}
}

// TestLateRetryIsNotSent checks that an attempt which is a retry and too late for the budget ends
// before anything is sent.
func TestLateRetryIsNotSent(t *testing.T) {
	cfg := testConfig()
	cfg.RetryRatio = 0
	w := newConfiguredGateway(t, cfg)
	b := w.backend("b", answerOK)
	w.install(protocol.PathRoute{Name: "r", Kind: protocol.RouteRepeatable, Attempts: 2})
	x := newExchange(t.Context(), w.g, &fasthttp.Request{}, nil)
	defer x.release()
	x.index = w.g.index.Load()
	x.route, x.service, x.deadline = x.index.Route("h", "/r/x"), "s", clock.Now().Add(testTimeout)
	x.state = resend.State{Repeatable: true, MaxServers: 2, Sent: 1}
	x.retrySendBy = clock.Now().Add(-time.Second)
	if got := x.attempt(); got == nil || got.Status != 503 || !strings.Contains(got.Message, "retry budget") {
		t.Errorf("got %+v", got)
	}
	if n := b.runs.Load(); n != 0 {
		t.Errorf("the server received %d requests", n)
	}
}
