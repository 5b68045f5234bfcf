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

// suspend simulates a suspension of the machine, which the steady clock does not count.
func suspend(t *testing.T, d time.Duration) {
	t.Helper()
	clock.Skip(d)
	t.Cleanup(func() { clock.Skip(-d) })
}

// TestSuspendedGatewayTrustsNoKey checks that a gateway that was suspended for longer than
// the revocation bound refuses keys until it hears from the leader.
func TestSuspendedGatewayTrustsNoKey(t *testing.T) {
	w := newTestGateway(t)
	w.install(protocol.PathRoute{Attempts: 1}, protocol.WorkspaceSpec{Name: "w", Keys: []string{"k"}})
	w.backend("a", answerOK)
	if got := w.ask("Key: k", "Remaining: 100"); got.status != 200 {
		t.Fatalf("got %+v", got)
	}
	suspend(t, w.g.cfg.KeyRevocationBound)
	if got := w.ask("Key: k", "Remaining: 100"); got.status != 503 || got.verdict != "not-run" {
		t.Errorf("after a suspension: %+v", got)
	}
	w.g.Confirm(clock.Now(), 1)
	if got := w.ask("Key: k", "Remaining: 100"); got.status != 200 {
		t.Errorf("after another confirmation: %+v", got)
	}
}

// TestSuspendedRequestHasLessLeft checks that the second server of a request that was in
// progress during a suspension is told the caller's actual remaining time.
func TestSuspendedRequestHasLessLeft(t *testing.T) {
	w := newTestGateway(t)
	w.install(protocol.PathRoute{Attempts: 2, Kind: protocol.RouteRepeatable})
	var sent, remaining atomic.Int64
	serve := func(c net.Conn, req *fasthttp.Request) {
		if sent.Add(1) == 1 {
			suspend(t, 6*time.Second)
			_ = c.Close()
			return
		}
		ms, _ := strconv.Atoi(string(req.Header.Peek("Remaining")))
		remaining.Store(int64(ms))
		answerOK(c, req)
	}
	w.backend("a", serve)
	w.backend("b", serve)
	got := w.ask("Remaining: 9000")
	if got.status != 200 || remaining.Load() <= 0 || remaining.Load() > 3000 {
		t.Errorf("got %+v; the second server was told %d ms", got, remaining.Load())
	}
}

// TestSuspendedQuotaExpires checks that granted quota that expired during a suspension is not
// used.
func TestSuspendedQuotaExpires(t *testing.T) {
	w := newTestGateway(t)
	w.install(protocol.PathRoute{Attempts: 1}, protocol.WorkspaceSpec{Name: "w", Keys: []string{"k"}, Rate: 1})
	w.backend("a", answerOK)
	m := w.g.Report(1)
	m.Wants = []protocol.QuotaRequest{{Workspace: "w", Units: 5}}
	reply := &protocol.SyncReply{Term: 1, Grants: []protocol.QuotaGrant{{Workspace: "w", Units: 5, Lasts: 10 * time.Second}}}
	w.g.HandleSyncReply(&m, reply, clock.Now())
	if got := w.ask("Key: k"); got.status != 200 {
		t.Fatalf("got %+v", got)
	}
	suspend(t, 20*time.Second)
	w.ask("Key: k")
	if wants := w.g.Report(1).Wants; len(wants) != 1 || wants[0].Back < 4 {
		t.Errorf("after a suspension, returned %+v", wants)
	}
}

// TestSuspendedLeavingServerGetsNothing checks that a server that was about to leave when the
// gateway was suspended counts as gone.
func TestSuspendedLeavingServerGetsNothing(t *testing.T) {
	w := newTestGateway(t)
	w.install(protocol.PathRoute{Attempts: 1, Kind: protocol.RouteRepeatable})
	b := w.backend("a", answerOK)
	w.servers[0].Leaving, w.servers[0].LeftMS = true, 5000
	w.g.SetServers(w.servers)
	if got := w.ask(); got.status != 200 {
		t.Fatalf("a short request to the last server: %+v", got)
	}
	suspend(t, time.Minute)
	if got := w.ask(); got.status != 503 || b.runs.Load() != 1 {
		t.Errorf("after a suspension: %+v after %d runs", got, b.runs.Load())
	}
}
