package forward

import (
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// startsAgain lists a server under its next start.
func (w *world) startsAgain(b *backendServer, start int64) {
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

// TestRunsAtAFormerStartHaveEnded checks that a request at a server which started again
// behind a silent connection does not wait for it: it may have run, and goes on elsewhere
// where it may.
func TestRunsAtAFormerStartHaveEnded(t *testing.T) {
	for name, c := range map[string]struct {
		kind   protocol.RouteKind
		status int
	}{
		"repeatable": {protocol.RouteRepeatable, 200},
		"once":       {protocol.RouteOnce, 502},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.install(protocol.PathRoute{Attempts: 2, Kind: c.kind})
			var b *backendServer
			first := true
			b = w.backend("a@1", func(conn net.Conn, req *fasthttp.Request) {
				if first {
					first = false
					go w.startsAgain(b, 2)
					_, _ = conn.Read(make([]byte, 1)) // Nothing more comes from the former start.
					return
				}
				good(conn, req)
			})
			began := time.Now()
			got := w.ask("Remaining: 8000")
			if got.status != c.status || time.Since(began) > patience/2 {
				t.Errorf("got %+v after %v", got, time.Since(began))
			}
			if len(w.g.Report(1).Observations) != 0 {
				t.Error("the request is suspected of having ended the server behind the cut")
			}
		})
	}
}

// TestNoServersAreListed checks that an empty list is one: a platform lists none until the
// first servers stand.
func TestNoServersAreListed(t *testing.T) {
	w := newWorld(t)
	w.install(protocol.PathRoute{Attempts: 1})
	w.g.SetServers(nil)
	w.g.SetServers([]protocol.Instance{})
	if !w.g.known() {
		t.Error("a gateway that was told of no servers knows no list")
	}
	if got := w.ask(); got.status != 503 || got.verdict != "not-run" {
		t.Errorf("got %+v", got)
	}
}

// TestFormerStartIsNotListedAgain checks that a list of before, as of a leader that was cut
// off, does not bring a former start back, and that what was known of that is forgotten.
func TestFormerStartIsNotListedAgain(t *testing.T) {
	w := newWorld(t)
	w.install(protocol.PathRoute{Attempts: 1})
	b := w.backend("a@1", good)
	w.g.view.Load().Find("a@1").Stats.RequestFailed(true, clock.Now())
	former := append([]protocol.Instance(nil), w.servers...)
	w.startsAgain(b, 2)
	if s := w.g.view.Load().Find("a@2"); s == nil || s.Stats.Suspect(clock.Now()) {
		t.Errorf("the new start is %+v", s)
	}
	w.g.SetServers(former)
	if s := w.g.view.Load().Find("a@1"); s != nil {
		t.Errorf("the former start is back: %+v", s)
	}
	w.g.SetServers(w.servers)
	if got := w.ask(); got.status != 200 {
		t.Errorf("got %+v", got)
	}
}

// TestServerBackAtOnceHasEnded checks that a server which was up again when its broken
// connections were looked at counts as ended once the list tells its new start, and does not
// where it tells none.
func TestServerBackAtOnceHasEnded(t *testing.T) {
	for _, again := range []bool{true, false} {
		testBackAtOnce(t, again, 0)
	}
	testBackAtOnce(t, true, 2*openKept) // Too late: it may have ended since for any reason.
}

// testBackAtOnce has a server's connection break and, after a while, the list tell its new
// start or none.
func testBackAtOnce(t *testing.T, again bool, after time.Duration) {
	t.Helper()
	w := newWorld(t)
	log := make(lines, 100)
	w.regional(log)
	w.install(protocol.PathRoute{Attempts: 1})
	b := w.backend("a@1", silent)
	w.send("bad")
	log.find(t, "connections of a server broke")
	suspend(t, after)
	if again {
		w.startsAgain(b, 2)
	} else {
		w.g.SetServers(w.servers)
	}
	told := w.g.Report(1).Observations
	again = again && after < openKept
	if again && (len(told) != 1 || told[0].Server != "a@1" || told[0].Runs[0].Fingerprint != bodyPrint("bad")) {
		t.Errorf("told %+v", told)
	}
	if !again && len(told) != 0 {
		t.Errorf("told %+v of a server that did not end", told)
	}
}
