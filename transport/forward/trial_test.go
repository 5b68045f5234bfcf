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

// backendVersion adds a server of the given version.
func (w *testGateway) backendVersion(id, version string, serve func(net.Conn, *fasthttp.Request)) *backendServer {
	b := w.backend(id, serve)
	w.servers[len(w.servers)-1].Version = version
	w.g.SetServers(slices.Clone(w.servers))
	return b
}

// setRollout applies a leader's answer with a rollout to v2.
func (w *testGateway) setRollout(changes uint64, r protocol.Rollout, credits int64) {
	r.Number, r.Service, r.Version, r.LimitMS = 1, "s", "v2", 60_000
	w.g.SetRollouts(&protocol.SyncReply{Term: 1, Changes: changes, Rollouts: []protocol.Rollout{r}, Trials: []protocol.TrialGrant{{Number: 1, Share: 0.05, Credits: credits}}}, clock.Now())
}

func (w *testGateway) askMany(n int) {
	w.t.Helper()
	for range n {
		if got := w.ask(); got.status != 200 {
			w.t.Fatalf("got %+v", got)
		}
	}
}

// TestTrialUsesGrantedCredits checks which version gets the requests in each stage: during
// the trial, the new version gets as many as the leader granted. It gets none without a
// grant, even from a gateway that has just started.
func TestTrialUsesGrantedCredits(t *testing.T) {
	w := newTestGateway(t)
	w.install(protocol.PathRoute{Attempts: 1})
	w.setRollout(1, protocol.Rollout{Stage: protocol.RolloutTrial}, 0)
	before, after := w.backendVersion("a", "v1", answerOK), w.backendVersion("b", "v2", answerOK)
	counts := func(want1, want2 int64) {
		t.Helper()
		if got1, got2 := before.runs.Load(), after.runs.Load(); got1 != want1 || got2 != want2 {
			t.Fatalf("%d requests to the former version and %d to the new one, want %d and %d", got1, got2, want1, want2)
		}
	}
	w.askMany(5)
	counts(5, 0)
	w.setRollout(1, protocol.Rollout{Stage: protocol.RolloutTrial}, 3) // The rollout list is not newer, but the credits are.
	w.askMany(5)
	counts(7, 3)
	w.setRollout(2, protocol.Rollout{Stage: protocol.RolloutMoving, Former: []string{"v1"}}, 0)
	w.askMany(4)
	counts(7, 7)
	w.setRollout(1, protocol.Rollout{Stage: protocol.RolloutTrial}, 0) // An outdated answer.
	w.askMany(1)
	counts(7, 8)
	w.setRollout(3, protocol.Rollout{Stage: protocol.RolloutRolledBack, Former: []string{"v1"}}, 0)
	w.askMany(4)
	counts(11, 8)
}

// TestTrialRetriesTakeCredits checks that a retry needs another credit to reach the version
// on trial.
func TestTrialRetriesTakeCredits(t *testing.T) {
	w := newTestGateway(t)
	w.install(protocol.PathRoute{Attempts: 5, Kind: protocol.RouteRepeatable})
	w.setRollout(1, protocol.Rollout{Stage: protocol.RolloutTrial}, 0)
	w.backendVersion("a", "v1", answerOK)
	tried := w.backendVersion("b", "v2", answerNotRun)
	w.backendVersion("c", "v2", answerNotRun)
	w.setRollout(1, protocol.Rollout{Stage: protocol.RolloutTrial}, 1)
	w.askMany(3)
	if got := tried.runs.Load(); got > 1 {
		t.Errorf("%d attempts for one credit", got)
	}
	m := w.g.Report(1)
	if len(m.Trials) != 1 || m.Trials[0].Tried != 1 || m.Trials[0].Arrived != 3 || m.Trials[0].Held != protocol.RolloutTrial {
		t.Errorf("reported %+v", m.Trials)
	}
}

// TestEvidenceIsReported checks what is counted for the answers of either version: failures,
// truncated answers and latencies, but no refused requests.
func TestEvidenceIsReported(t *testing.T) {
	fails := func(c net.Conn, _ *fasthttp.Request) { writeAnswer(c, 500, "", "") }
	for name, c := range map[string]struct {
		serve     func(net.Conn, *fasthttp.Request)
		kind      protocol.RouteKind
		good, bad int64
		paced     bool
	}{
		"good":              {serve: answerOK, good: 1},
		"fails":             {serve: fails, bad: 1},
		"closes":            {serve: closeSilently, bad: 1},
		"refused":           {serve: answerNotRun},
		"a complete stream": {serve: streamOf(6, true), kind: protocol.RouteStream, good: 1, paced: true},
		"a broken stream":   {serve: streamOf(6, false), kind: protocol.RouteStream, bad: 1},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestGateway(t)
			w.install(protocol.PathRoute{Name: "r", Attempts: 1, Kind: c.kind})
			w.setRollout(1, protocol.Rollout{Stage: protocol.RolloutTrial}, 0)
			w.backendVersion("b", "v2", c.serve)
			w.setRollout(1, protocol.Rollout{Stage: protocol.RolloutTrial}, 1)
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

// awaitRows reports until the given number of answers is reported, or once if none are
// expected.
func (w *testGateway) awaitRows(answers int64) []protocol.EvidenceRow {
	for end := time.Now().Add(testTimeout); ; {
		rows := w.g.Report(1).Trials[0].Rows
		reported := int64(0)
		for _, r := range rows {
			reported += r.Answers.Good + r.Answers.Bad
		}
		if reported >= answers || time.Now().After(end) {
			return rows
		}
	}
}

// streamOf returns a server that streams events, and then ends the stream or breaks it.
func streamOf(events int, whole bool) func(net.Conn, *fasthttp.Request) {
	return func(c net.Conn, _ *fasthttp.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: 7\r\nTransfer-Encoding: chunked\r\n\r\n")
		for n := range events {
			event := fmt.Sprintf("id: %d\ndata: x\n\n", n+1)
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
			time.Sleep(20 * time.Millisecond) // An engine generates its events one by one.
		}
		if !whole {
			_ = c.Close()
			return
		}
		_, _ = fmt.Fprint(c, "0\r\n\r\n")
	}
}

// TestEvidenceIsReportedOnce checks that rows that the leader has are not reported again,
// that a changed row is reported in full, and that a new leader gets all rows.
func TestEvidenceIsReportedOnce(t *testing.T) {
	w := newTestGateway(t)
	w.install(protocol.PathRoute{Name: "r", Attempts: 1})
	w.setRollout(1, protocol.Rollout{Stage: protocol.RolloutTrial}, 0)
	w.backendVersion("a", "v1", answerOK)
	w.askMany(2)
	report := func(term uint64, want ...int64) protocol.SyncMsg {
		t.Helper()
		m := w.g.Report(term)
		var got []int64
		for _, r := range m.Trials[0].Rows {
			got = append(got, r.Answers.Good)
		}
		if !slices.Equal(got, want) {
			t.Errorf("reported to term %d: %v, want %v", term, got, want)
		}
		return m
	}
	m := report(1, 2)
	report(1, 2) // The answer was lost.
	w.g.HandleSyncReply(&m, &protocol.SyncReply{Term: 1}, clock.Now())
	report(1)
	w.askMany(1)
	m = report(1, 3)
	w.g.HandleSyncReply(&m, &protocol.SyncReply{Term: 1}, clock.Now())
	report(2, 3)
}

// TestMovedRunCountsOnce checks that a moved run that continues at another server is not
// counted again for a rollout.
func TestMovedRunCountsOnce(t *testing.T) {
	w := newTestGateway(t)
	w.install(protocol.PathRoute{Attempts: 1})
	w.backendVersion("a", "v1", answerOK)
	w.backendVersion("b", "v2", answerOK)
	w.setRollout(1, protocol.Rollout{Stage: protocol.RolloutTrial}, 1)
	x := &exchange{g: w.g, service: "s"}
	server := w.g.view.Load().Find("b")
	x.countTrialSend(server)
	x.continuation = &continuation{server: server}
	x.countTrialSend(server)
	if m := w.g.Report(1); len(m.Trials) != 1 || m.Trials[0].Arrived != 1 || m.Trials[0].Tried != 1 {
		t.Errorf("reported %+v", m.Trials)
	}
}
