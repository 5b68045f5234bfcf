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

// restingOnce turns the first request away and asks for rest, and answers well from then on.
func restingOnce(seconds string) func(net.Conn, *fasthttp.Request) {
	var turned atomic.Bool
	return func(c net.Conn, req *fasthttp.Request) {
		if !turned.Swap(true) {
			say(c, 503, "Not-Run: 1\r\nRest: "+seconds+"\r\n", "")
			return
		}
		good(c, req)
	}
}

// TestRestIsKept checks that a server which asked for rest gets nothing before its end, that
// it is not distrusted for it, and that it gets requests again behind it.
func TestRestIsKept(t *testing.T) {
	const rest = time.Second
	w := newWorld(t)
	w.install(protocol.PathRoute{Attempts: 2})
	tired := w.backend("tired", restingOnce("1"))
	w.backend("other", good)
	for tired.runs.Load() == 0 {
		if got := w.ask(); got.status != 200 {
			t.Fatalf("got %+v", got)
		}
	}
	if w.g.view.Load().Find("tired").Stats.Suspect(clock.Now()) {
		t.Error("the server is distrusted")
	}
	asked := time.Now()
	for tired.runs.Load() == 1 {
		if time.Since(asked) > patience {
			t.Fatal("no request came behind the rest")
		}
		if got := w.ask(); got.status != 200 {
			t.Fatalf("got %+v", got)
		}
	}
	if d := time.Since(asked); d < rest*9/10 {
		t.Errorf("a request came %v behind the wish for %v of rest", d, rest)
	}
}

// TestAllServersRest checks that a request is refused at once as not run while all servers
// rest, with a time at which one takes it.
func TestAllServersRest(t *testing.T) {
	w := newWorld(t)
	w.install(protocol.PathRoute{Attempts: 2})
	a, b := w.backend("a", restingOnce("3")), w.backend("b", restingOnce("5"))
	w.ask() // Both turn it away.
	if a.runs.Load() != 1 || b.runs.Load() != 1 {
		t.Fatalf("%d and %d requests came", a.runs.Load(), b.runs.Load())
	}
	began := time.Now()
	got := w.ask()
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("the refusal took %v, as long as the servers rest", took)
	}
	wait, _ := strconv.ParseFloat(got.retry, 64)
	if got.status != 503 || got.verdict != "not-run" || wait < 0.5 {
		t.Fatalf("got %+v", got)
	}
	time.Sleep(time.Duration(wait * float64(time.Second)))
	if got := w.ask(); got.status != 200 {
		t.Errorf("behind the time that it was told: %+v", got)
	}
}

// TestServerSaysItLeaves checks that a server which says in an answer that it leaves gets
// nothing more, also no brief request while the others are full, and that no list takes
// that back for the same start of it.
func TestServerSaysItLeaves(t *testing.T) {
	w := newWorld(t)
	w.install(protocol.PathRoute{Kind: protocol.RouteRepeatable, Attempts: 1})
	leaver := w.backend("leaver@1", func(c net.Conn, _ *fasthttp.Request) { say(c, 200, "Leaving: 1\r\n", "fine") })
	w.backend("other@1", good)
	for leaver.runs.Load() == 0 {
		w.ask()
	}
	other := w.g.view.Load().Find("other@1")
	for range 100 {
		other.Stats.RequestStarted() // It has more to do than it does at once.
	}
	ask := func(when string) {
		t.Helper()
		for range 10 {
			if got := w.ask(); got.status != 200 {
				t.Fatalf("%s: %+v", when, got)
			}
		}
		if n := leaver.runs.Load(); n != 1 {
			t.Errorf("%s: %d requests came to it", when, n)
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

// TestUnreadIsLoggedOnce checks that what a server says of itself and cannot be read is logged
// once for each start, and anew behind a list that no longer had the server.
func TestUnreadIsLoggedOnce(t *testing.T) {
	w := newWorld(t)
	w.backend("a", good)
	words := &w.g.words
	for _, c := range []struct {
		server string
		want   bool
	}{{"a", true}, {"a", false}, {"b", true}, {"a", false}} {
		if got := words.firstUnread(c.server); got != c.want {
			t.Errorf("server %s: logged %v, want %v", c.server, got, c.want)
		}
	}
	words.keep(w.g.view.Load(), time.Now()) // Server a is listed.
	if words.firstUnread("a") || !words.firstUnread("b") {
		t.Error("what was logged is not kept for the listed servers alone")
	}
}
