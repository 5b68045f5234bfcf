package forward

import (
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/coordination/backpressure"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// grantPermits answers the gateway's permit requests from a leader's permit allocator.
func (w *testGateway) grantPermits() {
	book, ask := backpressure.NewPermitAllocator(), make(chan struct{}, 1)
	w.g.triggerLimits = func() {
		select {
		case ask <- struct{}{}:
		default: // A request is already pending.
		}
	}
	w.t.Cleanup(func() { close(ask) })
	go func() {
		for range ask {
			m, _ := w.g.ReportLimits()
			asked := clock.Now()
			reply := book.HandleReport(&m, 1, asked)
			w.g.HandleLimitsReply(&m, &reply, asked)
		}
	}()
}

// withLimit returns a server that answers and names a request limit.
func withLimit(perSecond string) func(net.Conn, *fasthttp.Request) {
	return func(c net.Conn, _ *fasthttp.Request) { writeAnswer(c, 200, "Limit: "+perSecond+"\r\n", "fine") }
}

// TestRequestsBeyondLimitGoElsewhere checks that requests beyond a server's limit go to
// another server, and that none is refused.
func TestRequestsBeyondLimitGoElsewhere(t *testing.T) {
	w := newTestGateway(t)
	w.grantPermits()
	w.install(protocol.PathRoute{Attempts: 1})
	limited := w.backend("limited", withLimit("2"))
	other := w.backend("other", answerOK)
	const requests = 60
	for n := range requests {
		if got := w.ask(); got.status != 200 {
			t.Fatalf("request %d: %+v", n, got)
		}
	}
	if limited.runs.Load() > 5 || other.runs.Load() < requests-5 {
		t.Errorf("%d requests to the server that limits them, %d to the other", limited.runs.Load(), other.runs.Load())
	}
}

// TestAllServersAtLimit checks that a request is refused at once as not run if all servers
// are at their limits, and that the retry delay names a time at which a server accepts it.
func TestAllServersAtLimit(t *testing.T) {
	w := newTestGateway(t)
	w.grantPermits()
	w.install(protocol.PathRoute{Attempts: 1})
	a, b := w.backend("a", withLimit("0.5")), w.backend("b", withLimit("0.5"))
	var refused reply
	for n := 0; refused.status == 0; n++ {
		if n > 10 {
			t.Fatal("no request was refused")
		}
		began := time.Now()
		got := w.ask()
		if got.status == 200 {
			continue
		}
		refused = got
		if took := time.Since(began); took > 2*time.Second {
			t.Errorf("the refusal took %v, as long as the wait for the next permit", took)
		}
	}
	wait, _ := strconv.ParseFloat(refused.retry, 64)
	if refused.status != 503 || refused.verdict != "not-run" || wait <= 0 {
		t.Fatalf("refused with %+v", refused)
	}
	runs := a.runs.Load() + b.runs.Load()
	time.Sleep(time.Duration(wait * float64(time.Second)))
	if got := w.ask(); got.status != 200 {
		t.Errorf("after the retry delay: %+v", got)
	}
	if now := a.runs.Load() + b.runs.Load(); now != runs+1 {
		t.Errorf("servers had received %d requests, now %d", runs, now)
	}
}

// TestLimitWithoutLeader checks that a gateway without answers from the leader continues with
// a part of a server's limit, and stops limiting when the server no longer names a limit.
func TestLimitWithoutLeader(t *testing.T) {
	w := newTestGateway(t)
	w.g.triggerLimits = func() { w.g.ReportLimits() } // The report gets no answer.
	w.g.HandlePartReply(&protocol.PartReply{Leads: true, Part: 1, Lasts: time.Hour}, clock.Now())
	w.install(protocol.PathRoute{Attempts: 1})
	var limit atomic.Value
	limit.Store("Limit: 20\r\n")
	b := w.backend("b", func(c net.Conn, _ *fasthttp.Request) { writeAnswer(c, 200, limit.Load().(string), "fine") })
	serve := func(count int64) time.Duration {
		began, before := time.Now(), b.runs.Load()
		for b.runs.Load() < before+count {
			if time.Since(began) > 2*testTimeout {
				t.Fatalf("%d requests of %d within %v", b.runs.Load()-before, count, time.Since(began))
			}
			w.ask()
		}
		return time.Since(began)
	}
	serve(2) // The second request waits until the leader's answer is overdue.
	if took := serve(20); took < time.Second {
		t.Errorf("20 requests in %v to a server with a limit of 20 per second", took)
	}
	limit.Store("")
	serve(1)
	serve(300) // With the full limit this would take 15 s, and twice that without the leader.
}

// TestSilentLeaderDelaysRequestOnce checks that a request waits once for a leader that does
// not answer, not once for each server that limits its requests.
func TestSilentLeaderDelaysRequestOnce(t *testing.T) {
	w := newTestGateway(t)
	w.install(protocol.PathRoute{Attempts: 1})
	var asked atomic.Int64
	w.g.triggerLimits = func() { asked.Add(1) }
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		w.backend(id, answerOK)
		w.g.feedback.limits.UpdateLimit(id, protocol.RateLimit{Named: true, PerSecond: 1}, clock.Now())
	}
	if got := w.ask(); got.status != 503 || got.verdict != "not-run" {
		t.Errorf("got %+v", got)
	}
	if n := asked.Load(); n > 4 { // The gateway asks again while the request waits for an available server.
		t.Errorf("the leader was asked %d times", n)
	}
}
