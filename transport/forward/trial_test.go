package forward

import (
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// versioned adds a server of a version and counts its runs.
func (w *world) versioned(id, version string, serve func(net.Conn, *fasthttp.Request)) *backendServer {
	b := w.backend(id, serve)
	w.servers[len(w.servers)-1].Version = version
	w.g.SetServers(w.servers)
	return b
}

// tell hands the gateway a leader's answer on a roll-out to v2.
func (w *world) tell(changes uint64, r protocol.Rollout, credits int64) {
	r.Number, r.Service, r.Version, r.LimitMS = 1, "s", "v2", 60_000
	w.g.SetRollouts(&protocol.SyncReply{Term: 1, Changes: changes, Rollouts: []protocol.Rollout{r}, Trials: []protocol.TrialGrant{{Number: 1, Share: 0.05, Credits: credits}}}, clock.Now())
}

func (w *world) askMany(n int) {
	w.t.Helper()
	for range n {
		if got := w.ask(); got.status != 200 {
			w.t.Fatalf("got %+v", got)
		}
	}
}

// TestTrialGetsItsCreditsOnly checks which version gets the requests in each stage:
// on trial the new one gets as many as the leader granted, and none without a word of
// it, also from a gateway that has just started.
func TestTrialGetsItsCreditsOnly(t *testing.T) {
	w := newWorld(t)
	w.install(protocol.PathRoute{Attempts: 1})
	w.tell(1, protocol.Rollout{Stage: protocol.RolloutTrial}, 0)
	before, after := w.versioned("a", "v1", good), w.versioned("b", "v2", good)
	counts := func(want1, want2 int64) {
		t.Helper()
		if got1, got2 := before.runs.Load(), after.runs.Load(); got1 != want1 || got2 != want2 {
			t.Fatalf("%d requests to the former version and %d to the new one, want %d and %d", got1, got2, want1, want2)
		}
	}
	w.askMany(5)
	counts(5, 0)
	w.tell(1, protocol.Rollout{Stage: protocol.RolloutTrial}, 3) // The list of roll-outs is not newer, the credits are.
	w.askMany(5)
	counts(7, 3)
	w.tell(2, protocol.Rollout{Stage: protocol.RolloutMoving, Former: []string{"v1"}}, 0)
	w.askMany(4)
	counts(7, 7)
	w.tell(1, protocol.Rollout{Stage: protocol.RolloutTrial}, 0) // An old answer.
	w.askMany(1)
	counts(7, 8)
	w.tell(3, protocol.Rollout{Stage: protocol.RolloutRolledBack, Former: []string{"v1"}}, 0)
	w.askMany(4)
	counts(11, 8)
}

// TestTrialRetriesCount checks that a request which is sent again takes another credit
// to reach the version on trial.
func TestTrialRetriesCount(t *testing.T) {
	w := newWorld(t)
	w.install(protocol.PathRoute{Attempts: 5, Kind: protocol.RouteRepeatable})
	w.tell(1, protocol.Rollout{Stage: protocol.RolloutTrial}, 0)
	w.versioned("a", "v1", good)
	tried := w.versioned("b", "v2", full)
	w.versioned("c", "v2", full)
	w.tell(1, protocol.Rollout{Stage: protocol.RolloutTrial}, 1)
	w.askMany(3)
	if got := tried.runs.Load(); got > 1 {
		t.Errorf("%d sends for one credit", got)
	}
	m := w.g.Report(1)
	if len(m.Trials) != 1 || m.Trials[0].Tried != 1 || m.Trials[0].Arrived != 3 || m.Trials[0].Held != protocol.RolloutTrial {
		t.Errorf("reported %+v", m.Trials)
	}
}

// TestEvidenceIsReported checks what is counted of either version's answers: failures,
// answers that break off, times, and nothing of requests that were turned away.
func TestEvidenceIsReported(t *testing.T) {
	fails := func(c net.Conn, _ *fasthttp.Request) { say(c, 500, "", "") }
	for name, c := range map[string]struct {
		serve     func(net.Conn, *fasthttp.Request)
		kind      protocol.RouteKind
		good, bad int64
		paced     bool
	}{
		"good":            {serve: good, good: 1},
		"fails":           {serve: fails, bad: 1},
		"closes":          {serve: silent, bad: 1},
		"turned away":     {serve: full},
		"a whole stream":  {serve: streamOf(6, true), kind: protocol.RouteStream, good: 1, paced: true},
		"a broken stream": {serve: streamOf(6, false), kind: protocol.RouteStream, bad: 1},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.install(protocol.PathRoute{Name: "r", Attempts: 1, Kind: c.kind})
			w.tell(1, protocol.Rollout{Stage: protocol.RolloutTrial}, 0)
			w.versioned("b", "v2", c.serve)
			w.tell(1, protocol.Rollout{Stage: protocol.RolloutTrial}, 1)
			w.ask()
			rows := w.awaitRows(c.good + c.bad)
			if c.good+c.bad == 0 {
				if len(rows) > 0 {
					t.Fatalf("reported %+v", rows)
				}
				return
			}
			a := rows[0].Answers
			if !rows[0].New || rows[0].Server != "b" || rows[0].Route != "r" || a.Good != c.good || a.Bad != c.bad {
				t.Errorf("reported %+v", rows[0])
			}
			if timed := len(a.First) > 0; timed != (c.good > 0) || (len(a.Pace) > 0) != c.paced {
				t.Errorf("times %v, paces %v", a.First, a.Pace)
			}
		})
	}
}

// awaitRows reports until as many answers are told, or once where none are expected.
func (w *world) awaitRows(answers int64) []protocol.EvidenceRow {
	for end := time.Now().Add(patience); ; {
		rows := w.g.Report(1).Trials[0].Rows
		told := int64(0)
		for _, r := range rows {
			told += r.Answers.Good + r.Answers.Bad
		}
		if told >= answers || time.Now().After(end) {
			return rows
		}
	}
}

// streamOf answers with some events, and ends the stream or breaks off.
func streamOf(events int, whole bool) func(net.Conn, *fasthttp.Request) {
	return func(c net.Conn, _ *fasthttp.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: 7\r\nTransfer-Encoding: chunked\r\n\r\n")
		for n := range events {
			event := fmt.Sprintf("id: %d\ndata: x\n\n", n+1)
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
			time.Sleep(20 * time.Millisecond) // An engine makes its events one by one.
		}
		if !whole {
			_ = c.Close()
			return
		}
		_, _ = fmt.Fprint(c, "0\r\n\r\n")
	}
}

// TestEvidenceIsToldOnce checks that rows which the leader has are not told again, that
// a row is told whole once it changed, and that another leader is told all.
func TestEvidenceIsToldOnce(t *testing.T) {
	w := newWorld(t)
	w.install(protocol.PathRoute{Name: "r", Attempts: 1})
	w.tell(1, protocol.Rollout{Stage: protocol.RolloutTrial}, 0)
	w.versioned("a", "v1", good)
	w.askMany(2)
	told := func(term uint64, want ...int64) protocol.SyncMsg {
		t.Helper()
		m := w.g.Report(term)
		var got []int64
		for _, r := range m.Trials[0].Rows {
			got = append(got, r.Answers.Good)
		}
		if !slices.Equal(got, want) {
			t.Errorf("term %d is told %v, want %v", term, got, want)
		}
		return m
	}
	m := told(1, 2)
	told(1, 2) // The answer was lost.
	w.g.HandleSyncReply(&m, &protocol.SyncReply{Term: 1}, clock.Now())
	told(1)
	w.askMany(1)
	m = told(1, 3)
	w.g.HandleSyncReply(&m, &protocol.SyncReply{Term: 1}, clock.Now())
	told(2, 3)
}

// TestMovedRunCountsOnce checks that a run which is sent on to where its memory lies is
// not counted for a roll-out once more.
func TestMovedRunCountsOnce(t *testing.T) {
	w := newWorld(t)
	w.install(protocol.PathRoute{Attempts: 1})
	w.versioned("a", "v1", good)
	w.versioned("b", "v2", good)
	w.tell(1, protocol.Rollout{Stage: protocol.RolloutTrial}, 1)
	x := &exchange{g: w.g, service: "s"}
	server := w.g.view.Load().Find("b")
	x.sentTo(server)
	x.continuation = &continuation{server: server}
	x.sentTo(server)
	if m := w.g.Report(1); len(m.Trials) != 1 || m.Trials[0].Arrived != 1 || m.Trials[0].Tried != 1 {
		t.Errorf("reported %+v", m.Trials)
	}
}
