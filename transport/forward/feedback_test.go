package forward

import (
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// restOnce returns a server that refuses its first request, asks for backoff, and answers all
// later requests.
func restOnce(seconds string) func(net.Conn, *fasthttp.Request) {
	var turned atomic.Bool
	return func(c net.Conn, req *fasthttp.Request) {
		if !turned.Swap(true) {
			writeAnswer(c, 503, "Not-Run: 1\r\nRest: "+seconds+"\r\n", "")
			return
		}
		answerOK(c, req)
	}
}

// TestRestIsHonored checks that a server that asked for backoff gets no requests until its
// end, is not suspected because of it, and gets requests again afterwards.
func TestRestIsHonored(t *testing.T) {
	const rest = time.Second
	w := newTestGateway(t)
	w.install(protocol.PathRoute{Attempts: 2})
	tired := w.backend("tired", restOnce("1"))
	w.backend("other", answerOK)
	for tired.runs.Load() == 0 {
		if got := w.ask(); got.status != 200 {
			t.Fatalf("got %+v", got)
		}
	}
	if w.g.view.Load().Find("tired").Stats.Suspect(clock.Now()) {
		t.Error("the server is suspected")
	}
	asked := time.Now()
	for tired.runs.Load() == 1 {
		if time.Since(asked) > testTimeout {
			t.Fatal("no request arrived after the backoff")
		}
		if got := w.ask(); got.status != 200 {
			t.Fatalf("got %+v", got)
		}
	}
	if d := time.Since(asked); d < rest*9/10 {
		t.Errorf("a request arrived %v after the request for %v of backoff", d, rest)
	}
}

// TestAllServersRest checks that a request is refused at once as not run while all servers
// ask for backoff, with a retry delay after which one accepts it.
func TestAllServersRest(t *testing.T) {
	w := newTestGateway(t)
	w.install(protocol.PathRoute{Attempts: 2})
	a, b := w.backend("a", restOnce("3")), w.backend("b", restOnce("5"))
	w.ask() // Both servers refuse it.
	if a.runs.Load() != 1 || b.runs.Load() != 1 {
		t.Fatalf("received %d and %d requests", a.runs.Load(), b.runs.Load())
	}
	began := time.Now()
	got := w.ask()
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("the refusal took %v, as long as the servers' backoff", took)
	}
	wait, _ := strconv.ParseFloat(got.retry, 64)
	if got.status != 503 || got.verdict != "not-run" || wait < 0.5 {
		t.Fatalf("got %+v", got)
	}
	time.Sleep(time.Duration(wait * float64(time.Second)))
	if got := w.ask(); got.status != 200 {
		t.Errorf("after the retry delay: %+v", got)
	}
}

// TestDepartureInAnswer checks that a server that announces its departure in an answer gets
// no more requests, not even short ones while all others are full, and that no later list
// reverts this for the same incarnation.
func TestDepartureInAnswer(t *testing.T) {
	w := newTestGateway(t)
	w.install(protocol.PathRoute{Kind: protocol.RouteRepeatable, Attempts: 1})
	leaver := w.backend("leaver@1", func(c net.Conn, _ *fasthttp.Request) { writeAnswer(c, 200, "Leaving: 1\r\n", "fine") })
	w.backend("other@1", answerOK)
	for leaver.runs.Load() == 0 {
		w.ask()
	}
	other := w.g.view.Load().Find("other@1")
	for range 100 {
		other.Stats.RequestStarted() // The server has more requests than it runs at once.
	}
	ask := func(when string) {
		t.Helper()
		for range 10 {
			if got := w.ask(); got.status != 200 {
				t.Fatalf("%s: %+v", when, got)
			}
		}
		if n := leaver.runs.Load(); n != 1 {
			t.Errorf("%s: it received %d requests", when, n)
		}
	}
	ask("at once")
	w.g.SetServers(w.servers)
	ask("listed as staying")
	leaving := append([]protocol.Instance(nil), w.servers...)
	for i := range leaving {
		if leaving[i].ID == "leaver@1" {
			leaving[i].Leaving, leaving[i].LeftMS = true, 5000
		}
	}
	w.g.SetServers(leaving)
	ask("listed with its end")
	w.g.SetServers(leaving[1:])
	w.g.SetServers(w.servers)
	ask("listed again")
}

// TestUnparsedFeedbackIsLoggedOnce checks that unparsable feedback is logged once for each
// incarnation of a server, and again after a list without the server.
func TestUnparsedFeedbackIsLoggedOnce(t *testing.T) {
	w := newTestGateway(t)
	w.backend("a", answerOK)
	feedback := &w.g.feedback
	for _, c := range []struct {
		server string
		want   bool
	}{{"a", true}, {"a", false}, {"b", true}, {"a", false}} {
		if got := feedback.firstUnparsed(c.server); got != c.want {
			t.Errorf("server %s: logged %v, want %v", c.server, got, c.want)
		}
	}
	feedback.prune(w.g.view.Load(), time.Now()) // Server a is listed.
	if feedback.firstUnparsed("a") || !feedback.firstUnparsed("b") {
		t.Error("prune did not keep exactly the listed servers")
	}
}
