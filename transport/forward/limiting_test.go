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

// withBook has a leader's book answer the gateway whenever it asks for permits.
func (w *world) withBook() {
	book, ask := backpressure.NewPermitAllocator(), make(chan struct{}, 1)
	w.g.limitsNow = func() {
		select {
		case ask <- struct{}{}:
		default: // It is about to be asked.
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

// limitingAt answers well, and names a limit.
func limitingAt(perSecond string) func(net.Conn, *fasthttp.Request) {
	return func(c net.Conn, _ *fasthttp.Request) { say(c, 200, "Limit: "+perSecond+"\r\n", "fine") }
}

// TestOthersTakeWhatALimitLeaves checks that requests which a server's limit keeps from it
// go to another one, and that none is refused.
func TestOthersTakeWhatALimitLeaves(t *testing.T) {
	w := newWorld(t)
	w.withBook()
	w.install(protocol.PathRoute{Attempts: 1})
	limited := w.backend("limited", limitingAt("2"))
	other := w.backend("other", good)
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

// TestAllServersLimit checks that a request which no server takes within its limit is
// refused at once as not run, and that its caller is told a time at which one does.
func TestAllServersLimit(t *testing.T) {
	w := newWorld(t)
	w.withBook()
	w.install(protocol.PathRoute{Attempts: 1})
	a, b := w.backend("a", limitingAt("0.5")), w.backend("b", limitingAt("0.5"))
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
			t.Errorf("the refusal took %v, as long as a server takes for its next request", took)
		}
	}
	wait, _ := strconv.ParseFloat(refused.retry, 64)
	if refused.status != 503 || refused.verdict != "not-run" || wait <= 0 {
		t.Fatalf("refused with %+v", refused)
	}
	runs := a.runs.Load() + b.runs.Load()
	time.Sleep(time.Duration(wait * float64(time.Second)))
	if got := w.ask(); got.status != 200 {
		t.Errorf("behind the time that it was told: %+v", got)
	}
	if now := a.runs.Load() + b.runs.Load(); now != runs+1 {
		t.Errorf("%d requests came to servers before, %d now", runs, now)
	}
}

// TestLimitWithoutLeader checks that a gateway whose questions get no answer goes on with a
// part of a server's limit, and follows the server when it names none any more.
func TestLimitWithoutLeader(t *testing.T) {
	w := newWorld(t)
	w.g.limitsNow = func() { w.g.ReportLimits() } // No answer comes.
	w.install(protocol.PathRoute{Attempts: 1})
	var limit atomic.Value
	limit.Store("Limit: 20\r\n")
	b := w.backend("b", func(c net.Conn, _ *fasthttp.Request) { say(c, 200, limit.Load().(string), "fine") })
	serve := func(count int64) time.Duration {
		began, before := time.Now(), b.runs.Load()
		for b.runs.Load() < before+count {
			if time.Since(began) > 2*patience {
				t.Fatalf("%d requests of %d within %v", b.runs.Load()-before, count, time.Since(began))
			}
			w.ask()
		}
		return time.Since(began)
	}
	serve(2) // The second one waits until the questions are overdue.
	if took := serve(20); took < time.Second {
		t.Errorf("20 requests in %v to a server that takes 20 a second", took)
	}
	limit.Store("")
	serve(1)
	serve(300) // Within the limit they would take 15 s, and twice that alone.
}

// TestSilentLeaderIsAskedOnce checks that a request waits once for a leader that does not
// answer, and not once for each of the servers that limit their requests.
func TestSilentLeaderIsAskedOnce(t *testing.T) {
	w := newWorld(t)
	w.install(protocol.PathRoute{Attempts: 1})
	var asked atomic.Int64
	w.g.limitsNow = func() { asked.Add(1) }
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		w.backend(id, good)
		w.g.words.limits.UpdateLimit(id, protocol.RateLimit{Named: true, PerSecond: 1}, clock.Now())
	}
	if got := w.ask(); got.status != 503 || got.verdict != "not-run" {
		t.Errorf("got %+v", got)
	}
	if n := asked.Load(); n > 4 { // It looks again while it waits for room.
		t.Errorf("the leader was asked %d times", n)
	}
}
