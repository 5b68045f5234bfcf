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

// plainReporter speaks of a server's state in plain words: "stays", or how long it runs.
type plainReporter struct{}

func (plainReporter) StateRequest(out *fasthttp.Request) {
	out.SetRequestURI("/state")
	out.Header.SetHost("h")
}

func (plainReporter) ReadState(status int, body []byte) (ServerState, bool) {
	left, err := time.ParseDuration(string(body))
	if status != 200 || (err != nil && string(body) != "stays") {
		return ServerState{}, false
	}
	return ServerState{Leaving: err == nil, Left: left}, true
}

// teller is a server with a stream that runs until it is released, and that tells its state.
type teller struct {
	mu    sync.Mutex
	state string
	asked atomic.Int64
}

func (s *teller) set(state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
}

func (s *teller) tell(c net.Conn) {
	s.asked.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	say(c, 200, "", s.state)
}

// newTellers returns a world whose server a has a run and tells what it is set to. No
// list ever says that it leaves.
func newTellers(t *testing.T) (w *world, a *teller) {
	t.Helper()
	w, a = newWorld(t), &teller{state: "stays"}
	w.g.moves.mover, w.g.moves.reporter = plainMover{}, plainReporter{}
	w.backend("a", func(c net.Conn, req *fasthttp.Request) {
		if strings.HasPrefix(string(req.URI().Path()), "/state") {
			a.tell(c)
			return
		}
		say(c, 503, "", "")
	})
	w.backend("b", good)
	r := &running{g: w.g, server: w.g.view.Load().Find("a")}
	r.begun.Store(true)
	r.busy.Store(true) // It is not moved: the tests are of notices.
	w.g.moves.runs["a"] = map[*running]struct{}{r: {}}
	return w, a
}

// leaving waits until a server counts as leaving, or as staying.
func (w *world) awaitLeaving(server string, want bool) *protocol.Instance {
	w.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if s := w.g.view.Load().Find(server); s != nil && s.Leaving == want {
			return &s.Instance
		}
	}
	w.t.Fatalf("%s does not count as leaving %v", server, want)
	return nil
}

// TestServerTellsItsEnd checks that a server which tells that it leaves, while no leader
// answers, counts as leaving until its end: for moves, and for new requests, also behind
// a list that does not know it yet. One that is still there then takes requests again.
func TestServerTellsItsEnd(t *testing.T) {
	w, a := newTellers(t)
	a.set("300ms")
	w.g.Overdue()
	if s := w.awaitLeaving("a", true); s.LeftMS <= 0 || s.LeftMS > 300 {
		t.Errorf("it runs for %d ms more", s.LeftMS)
	}
	w.g.SetServers(slices.Clone(w.servers))
	if s := w.g.view.Load().Find("a"); !s.Leaving {
		t.Error("an older list had it stay")
	}
	w.g.moves.mu.Lock()
	_, noticed := w.g.moves.notices["a"]
	w.g.moves.mu.Unlock()
	if !noticed {
		t.Error("its runs are not to be moved")
	}
	w.awaitLeaving("a", false)
}

// TestServersAreAskedWhileNoLeaderAnswers checks who is asked for its state, and how often:
// servers with runs that gave no notice, once in a round, and nobody while a leader answers.
func TestServersAreAskedWhileNoLeaderAnswers(t *testing.T) {
	w, a := newTellers(t)
	now := clock.Now()
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{0, 1}, {time.Millisecond, 0}, {noticeEvery - time.Millisecond, 0}, {noticeEvery, 1}} {
		if got := len(w.g.moves.toAsk(now.Add(c.after))); got != c.want {
			t.Errorf("behind %v: %d servers are asked, want %d", c.after, got, c.want)
		}
	}
	w.g.Confirm(now, 1)
	if n := a.asked.Load(); n != 0 {
		t.Errorf("asked %d times though a leader answers", n)
	}
	w.leaves(w.servers[0].Address)
	if got := w.g.moves.toAsk(now.Add(time.Hour)); len(got) != 0 {
		t.Errorf("%d servers are asked whose notice is known", len(got))
	}
}

// TestNoticeOfAnotherStart checks that a server which started again under its name, or came
// to the address, does not have the former one count as leaving.
func TestNoticeOfAnotherStart(t *testing.T) {
	former := protocol.Incarnation{Name: "a", Start: 5}.String()
	for start, want := range map[int64]bool{0: true, 5: true, 6: false} {
		if got := sameStart(former, start); got != want {
			t.Errorf("start %d: %v", start, got)
		}
	}
	if !sameStart("a", 7) {
		t.Error("a server whose start is not known does not count")
	}
}

// TestLeadersOfOtherBuilds has the leader's list tell a server's start, then not, and again,
// as leaders of two builds do by turns. The server serves throughout, did not start again,
// and its runs are found under each name when it leaves.
func TestLeadersOfOtherBuilds(t *testing.T) {
	w, _ := newTellers(t)
	r := &running{listed: "a"}
	w.g.moves.mu.Lock()
	w.g.moves.runs["a"] = map[*running]struct{}{r: {}}
	w.g.moves.mu.Unlock()
	address := w.servers[0].Address
	for _, id := range []string{"a", "a@5", "a", "a@5"} {
		w.g.SetServers([]protocol.Instance{{ID: id, Service: "s", Address: address}})
		if w.g.view.Load().Find(id) == nil {
			t.Fatalf("%s is left out", id)
		}
		w.g.moves.mu.Lock()
		if len(w.g.moves.runs[id]) != 1 || r.listed != id || len(w.g.moves.runs) != 1 {
			t.Errorf("as %s: runs %v", id, w.g.moves.runs)
		}
		w.g.moves.mu.Unlock()
	}
	if n := w.g.meters.restarted.Count(); n != 0 {
		t.Errorf("%d servers started again", n)
	}
}
