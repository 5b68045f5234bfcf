package forward

import (
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// restart lists a server under a new start time.
func (w *testGateway) restart(b *backendServer, start int64) {
	w.t.Helper()
	for i := range w.servers {
		if w.servers[i].ID == b.id {
			in := protocol.ParseIncarnation(b.id)
			in.Start = start
			b.id = in.String()
			w.servers[i].ID = b.id
		}
	}
	w.g.SetServers(w.servers)
}

// TestRestartEndsFormerRequests checks that a request at a server that restarted, and whose
// connection stays silent, does not wait for its deadline: it may have run, and is retried if
// its route allows.
func TestRestartEndsFormerRequests(t *testing.T) {
	for name, c := range map[string]struct {
		kind   protocol.RouteKind
		status int
	}{
		"repeatable": {protocol.RouteRepeatable, 200},
		"once":       {protocol.RouteOnce, 502},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestGateway(t)
			w.install(protocol.PathRoute{Attempts: 2, Kind: c.kind})
			var b *backendServer
			first := true
			b = w.backend("a@1", func(conn net.Conn, req *fasthttp.Request) {
				if first {
					first = false
					go w.restart(b, 2)
					_, _ = conn.Read(make([]byte, 1)) // The former incarnation sends nothing more.
					return
				}
				answerOK(conn, req)
			})
			began := time.Now()
			got := w.ask("Remaining: 8000")
			if got.status != c.status || time.Since(began) > testTimeout/2 {
				t.Errorf("got %+v after %v", got, time.Since(began))
			}
			if len(w.g.Report(1).Observations) != 0 {
				t.Error("the request is suspected of having crashed the partitioned server")
			}
		})
	}
}

// TestEmptyServerList checks that an empty list counts as a list: a platform lists no servers
// until the first ones have started.
func TestEmptyServerList(t *testing.T) {
	w := newTestGateway(t)
	w.install(protocol.PathRoute{Attempts: 1})
	w.g.SetServers(nil)
	w.g.SetServers([]protocol.Instance{})
	if !w.g.configured() {
		t.Error("an empty list does not count as a list")
	}
	if got := w.ask(); got.status != 503 || got.verdict != "not-run" {
		t.Errorf("got %+v", got)
	}
}

// TestFormerIncarnationIsNotListedAgain checks that an older list, for example from a
// partitioned leader, does not bring back a former incarnation, and that the former
// incarnation's statistics are discarded.
func TestFormerIncarnationIsNotListedAgain(t *testing.T) {
	w := newTestGateway(t)
	w.install(protocol.PathRoute{Attempts: 1})
	b := w.backend("a@1", answerOK)
	w.g.view.Load().Find("a@1").Stats.RequestFailed(true, clock.Now())
	former := append([]protocol.Instance(nil), w.servers...)
	w.restart(b, 2)
	if s := w.g.view.Load().Find("a@2"); s == nil || s.Stats.Suspect(clock.Now()) {
		t.Errorf("the new incarnation is %+v", s)
	}
	w.g.SetServers(former)
	if s := w.g.view.Load().Find("a@1"); s != nil {
		t.Errorf("the former incarnation is listed again: %+v", s)
	}
	w.g.SetServers(w.servers)
	if got := w.ask(); got.status != 200 {
		t.Errorf("got %+v", got)
	}
}

// TestQuickRestartCountsAsCrash checks that a server that accepted connections again when it
// was probed counts as crashed once the list shows a new start time, and does not if the list
// shows none.
func TestQuickRestartCountsAsCrash(t *testing.T) {
	for _, again := range []bool{true, false} {
		testQuickRestart(t, again, 0)
	}
	testQuickRestart(t, true, 2*unresolvedTTL) // Too late: any other cause may have ended it since.
}

// testQuickRestart breaks a server's connection and, after a while, lists the server with or
// without a new start time.
func testQuickRestart(t *testing.T, again bool, after time.Duration) {
	t.Helper()
	w := newTestGateway(t)
	log := make(logLines, 100)
	w.setRegions(log)
	w.install(protocol.PathRoute{Attempts: 1})
	b := w.backend("a@1", closeSilently)
	w.send("bad")
	log.await(t, "connections of a server broke")
	suspend(t, after)
	if again {
		w.restart(b, 2)
	} else {
		w.g.SetServers(w.servers)
	}
	reported := w.g.Report(1).Observations
	again = again && after < unresolvedTTL
	if again && (len(reported) != 1 || reported[0].Server != "a@1" || reported[0].Runs[0].Fingerprint != bodyFingerprint("bad")) {
		t.Errorf("reported %+v", reported)
	}
	if !again && len(reported) != 0 {
		t.Errorf("reported a server that did not crash: %+v", reported)
	}
}
