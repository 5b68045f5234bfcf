package forward

import (
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/coordination/quarantine"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/transport/backend"
)

// bodyPrint is the fingerprint of what world.send sends.
func bodyPrint(body string) protocol.Fingerprint {
	return (&quarantine.Request{Host: "h", Path: "/r/x", Body: []byte(body)}).Fingerprint()
}

// quarantine has the gateway told of a quarantine.
func (w *world) quarantine(n *protocol.QuarantineUpdate, watched ...protocol.Fingerprint) {
	w.g.SetQuarantine(&protocol.SyncReply{Leads: true, Quarantine: n, Watch: &protocol.WatchUpdate{Requests: watched}})
}

// heldNews are the news that a request is held.
func heldNews(change uint64, body string, trials int, gateway string) *protocol.QuarantineUpdate {
	return &protocol.QuarantineUpdate{Changes: change, Held: []protocol.HeldRequest{{
		Fingerprint: bodyPrint(body),
		Servers:     3,
		Trials:      trials,
		Trial:       gateway,
		Until:       time.Now().Add(time.Minute).UnixMilli(),
	}}}
}

// TestHeldRequest checks that a request that is held gets its final answer at once, as not
// run and with the time of the next trial, that others are served, and that it is once it
// is freed.
func TestHeldRequest(t *testing.T) {
	w := newWorld(t)
	w.install(protocol.PathRoute{Attempts: 2, Kind: protocol.RouteRepeatable})
	b := w.backend("a", good)
	w.quarantine(heldNews(1, "bad", 0, ""))
	got := w.send("bad")
	if got.status != 503 || got.verdict != "not-run" || got.retry == "" || b.runs.Load() != 0 {
		t.Errorf("got %+v after %d runs", got, b.runs.Load())
	}
	if got := w.send("other"); got.status != 200 {
		t.Errorf("another request got %+v", got)
	}
	w.quarantine(&protocol.QuarantineUpdate{Changes: 2, Free: []protocol.Fingerprint{bodyPrint("bad")}})
	if got := w.send("bad"); got.status != 200 {
		t.Errorf("once it is free it got %+v", got)
	}
}

// TestHeldRequestTakesNoQuota checks that what is refused for that reason leaves the quota
// to others.
func TestHeldRequestTakesNoQuota(t *testing.T) {
	w := newWorld(t)
	w.install(protocol.PathRoute{Attempts: 1}, protocol.WorkspaceSpec{Name: "w", Keys: []string{"k"}, Rate: 1})
	w.backend("a", good)
	bad := (&quarantine.Request{Caller: "w", Host: "h", Path: "/r/x", Body: []byte("bad")}).Fingerprint()
	w.quarantine(&protocol.QuarantineUpdate{Changes: 1, Held: []protocol.HeldRequest{{Fingerprint: bad, Servers: 3}}})
	for range 3 {
		if got := w.send("bad", "Key: k"); got.status != 503 {
			t.Fatalf("got %+v", got)
		}
	}
	if wants := w.g.Report(1).Wants; len(wants) > 0 {
		t.Errorf("it asks for %+v", wants)
	}
}

// TestTrialOfAHeldRequest checks that the gateway that may try a request sends it once for
// each trial, to one server, and that another one does not.
func TestTrialOfAHeldRequest(t *testing.T) {
	for name, c := range map[string]struct {
		gateway string
		ends    bool
		status  int
		verdict string
		runs    int64
	}{
		"another gateway":       {"other", false, 503, "not-run", 0},
		"it ends well":          {"g", false, 200, "", 1},
		"it ends the server":    {"g", true, 502, "may-have-run", 1},
		"nobody may, so far":    {"", false, 503, "not-run", 0},
		"a gateway without one": {"gg", false, 503, "not-run", 0},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.install(protocol.PathRoute{Attempts: 3, Kind: protocol.RouteRepeatable})
			serve := good
			if c.ends {
				serve = silent
			}
			a, b := w.backend("a", serve), w.backend("b", serve)
			w.quarantine(heldNews(1, "bad", 1, c.gateway))
			got := w.send("bad")
			if runs := a.runs.Load() + b.runs.Load(); got.status != c.status || got.verdict != c.verdict || runs != c.runs {
				t.Errorf("got %+v after %d runs", got, runs)
			}
			if got := w.send("bad"); got.status != 503 || got.verdict != "not-run" {
				t.Errorf("the second time got %+v", got)
			}
			w.quarantine(heldNews(2, "bad", 1, c.gateway)) // The same trial, told again.
			if got := w.send("bad"); got.status != 503 {
				t.Errorf("told again got %+v", got)
			}
		})
	}
}

// TestHeldMeanwhile checks that a request that is held while it runs is sent to no further
// server, and that its refusal does not say that it has not run.
func TestHeldMeanwhile(t *testing.T) {
	w := newWorld(t)
	w.install(protocol.PathRoute{Attempts: 3, Kind: protocol.RouteRepeatable})
	serve := func(c net.Conn, _ *fasthttp.Request) {
		w.quarantine(heldNews(1, "bad", 0, ""))
		_ = c.Close()
	}
	a, b := w.backend("a", serve), w.backend("b", serve)
	got := w.send("bad")
	if runs := a.runs.Load() + b.runs.Load(); got.status != 502 || got.verdict != "may-have-run" || runs != 1 {
		t.Errorf("got %+v after %d runs", got, runs)
	}
	if n := w.g.pool.Opens(); n != 1 {
		t.Errorf("%d connections were opened for it", n)
	}
}

// TestOneTrialAtATime checks that of several sends of a request that may be tried, which
// come at once, one reaches a server.
func TestOneTrialAtATime(t *testing.T) {
	w := newWorld(t)
	w.install(protocol.PathRoute{Attempts: 1})
	goOn := make(chan struct{})
	w.backend("slow", func(c net.Conn, req *fasthttp.Request) {
		<-goOn
		good(c, req)
	})
	w.quarantine(heldNews(1, "bad", 1, "g"))
	first := make(chan reply, 1)
	go func() { first <- w.send("bad") }()
	for end := time.Now().Add(patience); w.g.meters.triedHeld.Count() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("it is not tried")
		}
	}
	if got := w.send("bad"); got.status != 503 {
		t.Errorf("the second one got %+v", got)
	}
	close(goOn)
	if got := <-first; got.status != 200 {
		t.Errorf("the first one got %+v", got)
	}
	x := newExchange(t.Context(), w.g, fasthttp.AcquireRequest(), nil)
	x.in.SetRequestURI("/r/x")
	x.in.Header.SetHost("h")
	x.in.SetBodyString("bad")
	x.call = w.g.dialect.Call(x.in)
	w.quarantine(heldNews(2, "bad", 2, "g"))
	if peeked, used, again := x.refusedHeld(false), x.refusedHeld(true), x.refusedHeld(true); peeked != nil || used != nil || again == nil {
		t.Errorf("a look is refused with %v, the use with %v, a second use with %v", peeked, used, again)
	}
}

// TestGatewayTellsWhatEnded checks that a gateway tells the leader which requests were at a
// server that ended, when they last ended well, and the good ends of those that are watched;
// and that a new leader is told again.
func TestGatewayTellsWhatEnded(t *testing.T) {
	w := newWorld(t)
	w.install(protocol.PathRoute{Attempts: 1})
	var b *backendServer
	b = w.backend("a", func(c net.Conn, req *fasthttp.Request) {
		if string(req.Body()) == "bad" {
			_ = b.listener.Close()
			_ = c.Close()
			return
		}
		good(c, req)
	})
	if got := w.send("fine"); got.status != 200 {
		t.Fatalf("got %+v", got)
	}
	w.quarantine(nil, bodyPrint("fine"))
	w.send("bad")
	var told []protocol.Observation
	for end := time.Now().Add(patience); len(told) < 2; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("told %+v", told)
		}
		told = w.g.Report(1).Observations
	}
	if o := told[0]; o.Server != "" || o.Runs[0].Fingerprint != bodyPrint("fine") {
		t.Errorf("the good end of a moment ago: %+v", o)
	}
	if o := told[1]; o.Server != "a" || o.Runs[0].Fingerprint != bodyPrint("bad") || o.Runs[0].Well != 0 || o.Runs[0].Age <= 0 {
		t.Errorf("the server's end: %+v", o)
	}
	m := protocol.SyncMsg{Observations: told}
	w.g.HandleSyncReply(&m, &protocol.SyncReply{Term: 1}, clock.Now())
	if again := w.g.Report(1).Observations; len(again) != 0 {
		t.Errorf("told again: %+v", again)
	}
	if next := w.g.Report(2).Observations; len(next) != 2 {
		t.Errorf("the next leader is told %+v", next)
	}
}

// TestAloneByOwnSight checks that a gateway that hears of no leader holds a request by what
// it saw itself, and lets it pass again once a leader answers, who decides for all.
func TestAloneByOwnSight(t *testing.T) {
	w := newWorld(t)
	w.install(protocol.PathRoute{Attempts: 1})
	w.g.Confirm(clock.Now(), 1)
	for i := range 3 {
		var b *backendServer
		b = w.backend(string(rune('a'+i)), func(c net.Conn, req *fasthttp.Request) {
			_ = b.listener.Close()
			_ = c.Close()
		})
		w.servers = w.servers[len(w.servers)-1:]
		w.g.SetServers(w.servers)
		w.send("bad")
		for end := time.Now().Add(patience); w.g.meters.serversEnded.Count() <= int64(i); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("the server's end was not seen")
			}
		}
	}
	b := w.backend("sound", good)
	for end := time.Now().Add(patience); !w.g.alone(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the gateway is not alone")
		}
	}
	if got := w.send("bad"); got.status != 503 || got.verdict != "not-run" || b.runs.Load() != 0 {
		t.Errorf("alone it got %+v", got)
	}
	if got := w.send("other"); got.status != 200 {
		t.Errorf("another request got %+v", got)
	}
	w.g.Confirm(clock.Now(), 1)
	if got := w.send("bad"); got.status != 200 || b.runs.Load() == 0 {
		t.Errorf("with a leader got %+v", got)
	}
}

// smallSocket is what the kernel may keep of a connection each way, in bytes.
const smallSocket = 16 << 10

// TestManyAtOnceUseOneTrial checks that of many sends that come at the same moment one is
// tried, also where several were on their way to a server by then.
func TestManyAtOnceUseOneTrial(t *testing.T) {
	w := newWorld(t)
	w.install(protocol.PathRoute{Attempts: 1})
	b := w.backend("a", good)
	for trial := range 20 {
		w.quarantine(heldNews(uint64(trial+1), "bad", trial+1, "g"))
		var all sync.WaitGroup
		for range 30 {
			all.Go(func() { w.send("bad") })
		}
		all.Wait()
		if n := b.runs.Load(); n != int64(trial+1) {
			t.Fatalf("%d runs in %d trials", n, trial+1)
		}
	}
}

// TestErrorsThatSuspectARequest checks behind which errors a request that was sent is taken
// for one under which its server may have ended.
func TestErrorsThatSuspectARequest(t *testing.T) {
	for err, want := range map[error]int{io.EOF: 1, syscall.ETIMEDOUT: 0, net.ErrClosed: 0, errTooLarge: 0} {
		w := newWorld(t)
		b := w.backend("a", good)
		conn, failed := w.g.pool.Get(b.id, b.address, time.Now().Add(patience))
		if failed != nil {
			t.Fatal(failed)
		}
		var req fasthttp.Request
		var resp fasthttp.Response
		req.SetRequestURI("/r/x")
		req.Header.SetHost("h")
		if _, failed := conn.Exchange(&req, &resp, time.Now().Add(patience)); failed != nil {
			t.Fatal(failed)
		}
		x := newExchange(t.Context(), w.g, &req, nil)
		x.call = w.g.dialect.Call(&req)
		tr := &try{x: x, server: w.g.view.Load().Find(b.id), conn: conn, began: time.Now()}
		tr.brokeOff(err)
		w.g.crashes.mu.Lock()
		if n := w.g.crashes.broken.Len(); n != want {
			t.Errorf("%v: %d servers are in question", err, n)
		}
		w.g.crashes.mu.Unlock()
	}
}

// TestEndsThatSpeakAgainstNobody checks that a gateway tells of no request where a server
// ended that was to leave, or before it had the whole request.
func TestEndsThatSpeakAgainstNobody(t *testing.T) {
	for name, c := range map[string]struct {
		body  string
		leave bool
		told  int
	}{
		"a server that stays":         {"bad", false, 1},
		"one that leaves":             {"bad", true, 0},
		"one without all of the body": {strings.Repeat("x", 3<<20), false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.g.pool = backend.NewPool(dialTime, backend.WithSocket(smallSocket)) // A large body does not fit into it.
			log := make(lines, 100)
			w.regional(log)
			w.install(protocol.PathRoute{Attempts: 1, Kind: protocol.RouteRepeatable})
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			go func() {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				_ = conn.(*net.TCPConn).SetReadBuffer(smallSocket)
				_, _ = conn.Read(make([]byte, 1))
				if len(c.body) < 1<<20 {
					_, _ = conn.Read(make([]byte, 1<<10))
				}
				_ = ln.Close()
				_ = conn.Close()
			}()
			w.servers = []protocol.Instance{{ID: "a", Service: "s", Address: ln.Addr().String(), Domain: "a", Slots: 4, Leaving: c.leave, LeftMS: 60_000}}
			w.g.SetServers(w.servers)
			w.send(c.body)
			// A second server ends behind that, whose probe began behind the first one's.
			w.servers = nil
			var z *backendServer
			z = w.backend("z", func(conn net.Conn, _ *fasthttp.Request) {
				_ = z.listener.Close()
				_ = conn.Close()
			})
			w.send("other")
			for range 1 + c.told { // The probes may end in any order.
				log.find(t, "connections of a server broke")
			}
			if told := w.g.Report(1).Observations; len(told) != 1+c.told {
				t.Errorf("told %+v", told)
			}
		})
	}
}

// TestIsCrash checks which errors of a connection can follow from the server's end.
func TestIsCrash(t *testing.T) {
	for err, want := range map[error]bool{
		io.EOF:                 true,
		io.ErrUnexpectedEOF:    true,
		syscall.ECONNRESET:     true,
		backend.ErrStalled:     true,
		syscall.ETIMEDOUT:      false,
		os.ErrDeadlineExceeded: false,
		net.ErrClosed:          false,
		errTooLarge:            false,
	} {
		if got := isCrash(eris.Wrap(err, "read answer")); got != want {
			t.Errorf("%v: %v", err, got)
		}
	}
}

// TestLeaderIsAskedAtOnce checks that a gateway which saw a server end tells at once.
func TestLeaderIsAskedAtOnce(t *testing.T) {
	w := newWorld(t)
	asked := make(chan struct{}, 10)
	w.g.syncNow = func() { asked <- struct{}{} }
	w.install(protocol.PathRoute{Attempts: 1})
	var b *backendServer
	b = w.backend("a", func(c net.Conn, _ *fasthttp.Request) {
		_ = b.listener.Close()
		_ = c.Close()
	})
	w.send("bad")
	select {
	case <-asked:
	case <-time.After(patience):
		t.Error("the leader is not asked")
	}
}
