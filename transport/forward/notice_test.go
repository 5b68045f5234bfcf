package forward

import (
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// testReporter uses a simple state format: "stays", or the duration until the server ends.
type testReporter struct{}

func (testReporter) StateRequest(out *fasthttp.Request) {
	out.SetRequestURI("/state")
	out.Header.SetHost("h")
}

func (testReporter) ReadState(status int, body []byte) (ServerState, bool) {
	left, err := time.ParseDuration(string(body))
	if status != 200 || (err != nil && string(body) != "stays") {
		return ServerState{}, false
	}
	return ServerState{Leaving: err == nil, Left: left}, true
}

// stateServer is a server with a running stream that reports a configurable state.
type stateServer struct {
	mu    sync.Mutex
	state string
	asked atomic.Int64
}

func (s *stateServer) set(state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
}

func (s *stateServer) tell(c net.Conn) {
	s.asked.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	writeAnswer(c, 200, "", s.state)
}

// newStateServers returns a gateway whose server a has a run and reports the state that is
// set. No list ever reports that server as leaving.
func newStateServers(t *testing.T) (w *testGateway, a *stateServer) {
	t.Helper()
	w, a = newTestGateway(t), &stateServer{state: "stays"}
	w.g.moves.mover, w.g.moves.reporter = testMover{}, testReporter{}
	w.backend("a", func(c net.Conn, req *fasthttp.Request) {
		if strings.HasPrefix(string(req.URI().Path()), "/state") {
			a.tell(c)
			return
		}
		writeAnswer(c, 503, "", "")
	})
	w.backend("b", answerOK)
	r := &activeRun{g: w.g, server: w.g.view.Load().Find("a")}
	r.begun.Store(true)
	r.moving.Store(true) // Keeps the run from being moved.
	w.g.moves.runs["a"] = map[*activeRun]struct{}{r: {}}
	return w, a
}

// awaitLeaving waits until a server counts as leaving or as staying.
func (w *testGateway) awaitLeaving(server string, want bool) *protocol.Instance {
	w.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if s := w.g.view.Load().Find(server); s != nil && s.Leaving == want {
			return &s.Instance
		}
	}
	w.t.Fatalf("%s does not count as leaving %v", server, want)
	return nil
}

// TestServerReportsItsDeparture checks that a server that reports its departure while no
// leader answers counts as leaving until its end, for moves and for new requests, even if an
// older list follows. If it still exists afterwards, it gets requests again.
func TestServerReportsItsDeparture(t *testing.T) {
	w, a := newStateServers(t)
	a.set("300ms")
	w.g.Overdue()
	if s := w.awaitLeaving("a", true); s.LeftMS <= 0 || s.LeftMS > 300 {
		t.Errorf("%d ms left", s.LeftMS)
	}
	w.g.SetServers(slices.Clone(w.servers))
	if s := w.g.view.Load().Find("a"); !s.Leaving {
		t.Error("an older list reverted the departure")
	}
	w.g.moves.mu.Lock()
	_, noticed := w.g.moves.notices["a"]
	w.g.moves.mu.Unlock()
	if !noticed {
		t.Error("its departure was not recorded for moves")
	}
	w.awaitLeaving("a", false)
}

// TestServersArePolledWithoutLeader checks which servers are asked for their state and how
// often: those with runs and without a notice, once in a round, and none while a leader
// answers.
func TestServersArePolledWithoutLeader(t *testing.T) {
	w, a := newStateServers(t)
	now := clock.Now()
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{0, 1}, {time.Millisecond, 0}, {noticeInterval - time.Millisecond, 0}, {noticeInterval, 1}} {
		if got := len(w.g.moves.serversToAsk(now.Add(c.after))); got != c.want {
			t.Errorf("after %v: %d servers are asked, want %d", c.after, got, c.want)
		}
	}
	w.g.Confirm(now, 1)
	if n := a.asked.Load(); n != 0 {
		t.Errorf("asked %d times although a leader answers", n)
	}
	w.markLeaving(w.servers[0].Address)
	if got := w.g.moves.serversToAsk(now.Add(time.Hour)); len(got) != 0 {
		t.Errorf("%d servers with a known notice are asked", len(got))
	}
}

// TestNoticeOfOtherIncarnation checks that the notice of a restarted server, or of another
// server at the same address, does not apply to the former incarnation.
func TestNoticeOfOtherIncarnation(t *testing.T) {
	former := protocol.Incarnation{Name: "a", Start: 5}.String()
	for start, want := range map[int64]bool{0: true, 5: true, 6: false} {
		if got := sameStart(former, start); got != want {
			t.Errorf("start %d: %v", start, got)
		}
	}
	if !sameStart("a", 7) {
		t.Error("a server with an unknown start time does not match")
	}
}

// TestLeadersOfDifferentBuilds alternates between lists with and without a server's start
// time, as leaders of two builds send them. The server must stay in service without counting
// as restarted, and its runs must be found under each ID.
func TestLeadersOfDifferentBuilds(t *testing.T) {
	w, _ := newStateServers(t)
	r := &activeRun{listedID: "a"}
	w.g.moves.mu.Lock()
	w.g.moves.runs["a"] = map[*activeRun]struct{}{r: {}}
	w.g.moves.mu.Unlock()
	address := w.servers[0].Address
	for _, id := range []string{"a", "a@5", "a", "a@5"} {
		w.g.SetServers([]protocol.Instance{{ID: id, Service: "s", Address: address}})
		if w.g.view.Load().Find(id) == nil {
			t.Fatalf("%s is missing from the view", id)
		}
		w.g.moves.mu.Lock()
		if len(w.g.moves.runs[id]) != 1 || r.listedID != id || len(w.g.moves.runs) != 1 {
			t.Errorf("as %s: runs %v", id, w.g.moves.runs)
		}
		w.g.moves.mu.Unlock()
	}
	if n := w.g.meters.serversRestarted.Count(); n != 0 {
		t.Errorf("%d servers restarted", n)
	}
}
