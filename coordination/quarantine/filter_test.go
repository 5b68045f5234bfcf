package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// testGateway is a filter with a simulated clock.
type testGateway struct {
	*Filter
	now time.Time
}

func newTestGateway() *testGateway {
	return &testGateway{Filter: NewFilter("g", startTime), now: startTime}
}

// allows checks a request, and uses up a trial.
func (g *testGateway) allows(name string, leaderless bool) bool {
	return !g.Check(fingerprintOf(name).Quick, func() protocol.Fingerprint { return fingerprintOf(name) }, true, leaderless, g.now).Held
}

// succeed records a success of a request.
func (g *testGateway) succeed(name string) {
	g.RecordSuccess(fingerprintOf(name).Quick, func() protocol.Fingerprint { return fingerprintOf(name) }, g.now)
}

// update sends the filter held requests with a number of trials at gateway "g".
func (g *testGateway) update(change uint64, full bool, trials int, names ...string) {
	n := &protocol.QuarantineUpdate{Changes: change, Whole: full}
	for _, name := range names {
		n.Held = append(n.Held, protocol.HeldRequest{Fingerprint: fingerprintOf(name), Servers: 3, Trials: trials, Trial: "g"})
	}
	g.ApplyUpdate(n, nil, g.now)
}

// TestFilterAppliesUpdates checks the decisions after incremental updates, after a full
// update, and after a request was released.
func TestFilterAppliesUpdates(t *testing.T) {
	g := newTestGateway()
	g.update(1, true, 0, "a")
	g.update(2, false, 0, "b")
	if g.allows("a", false) || g.allows("b", false) || !g.allows("c", false) {
		t.Error("after incremental updates: want a and b held, c not held")
	}
	g.update(3, true, 0, "c")
	if !g.allows("a", false) || g.allows("c", false) || g.Held() != 1 {
		t.Error("after a full update: want only c held")
	}
	g.ApplyUpdate(&protocol.QuarantineUpdate{Changes: 4, Free: []protocol.Fingerprint{fingerprintOf("c")}}, nil, g.now)
	if !g.allows("c", false) {
		t.Error("c is still held after it was released")
	}
	if changes, _ := g.SyncState(); changes != 4 {
		t.Errorf("at change %d, want 4", changes)
	}
}

// TestTrialsAreUsedOnce checks that a trial lets a request pass once, however often it is
// announced, that the next trial lets it pass again, and that trials are counted from the
// start if a request was released and is held anew.
func TestTrialsAreUsedOnce(t *testing.T) {
	g := newTestGateway()
	for i, step := range []struct {
		trials  int
		allowed bool
	}{{0, false}, {1, true}, {1, false}, {2, true}, {2, false}, {0, false}, {1, true}, {1, false}} {
		g.update(uint64(i+1), false, step.trials, "a")
		if got := g.allows("a", false); got != step.allowed {
			t.Errorf("step %d, trial %d: allowed %v", i, step.trials, got)
		}
	}
}

// TestSuccessesAreReported checks which successes a gateway reports: those of requests that
// are held or watched, including a success shortly before they were watched.
func TestSuccessesAreReported(t *testing.T) {
	reported := func(g *testGateway) int { return len(g.Report(1, g.now)) }
	g := newTestGateway()
	g.succeed("a")
	if reported(g) != 0 {
		t.Error("reported a success of a request that is not watched")
	}
	g.ApplyUpdate(nil, &protocol.WatchUpdate{Requests: []protocol.Fingerprint{fingerprintOf("a")}}, g.now.Add(time.Second))
	if reported(g) != 1 {
		t.Error("did not report a recent success of a newly watched request")
	}
	g.update(1, false, 1, "b")
	g.succeed("b")
	if reported(g) != 2 {
		t.Error("did not report a successful trial")
	}
	late := newTestGateway()
	late.succeed("a")
	late.ApplyUpdate(nil, &protocol.WatchUpdate{Requests: []protocol.Fingerprint{fingerprintOf("a")}}, late.now.Add(2*trustTime))
	if reported(late) != 0 {
		t.Error("reported a success that is too old")
	}
}

// TestFilterWithoutLeader checks that a gateway without a leader holds a request under which
// it saw enough servers crash, unless the request succeeded recently, and that a gateway
// with a leader holds only what the leader says.
func TestFilterWithoutLeader(t *testing.T) {
	for _, succeeded := range []bool{false, true} {
		g := newTestGateway()
		for i := range holdThreshold {
			g.RecordCrash(fmt.Sprint("server-", i), []protocol.ObservedRun{{Fingerprint: fingerprintOf("a"), Age: time.Millisecond}}, g.now)
			g.now = g.now.Add(time.Second)
		}
		if succeeded {
			g.succeed("a")
		}
		if got := g.allows("a", true); got != succeeded {
			t.Errorf("succeeded %v: allowed %v without a leader", succeeded, got)
		}
		if !g.allows("a", false) {
			t.Errorf("succeeded %v: held, though the leader does not hold it", succeeded)
		}
	}
}

// TestPriorSuccessIsReportedWithCrash checks that the observation of a crash says when its
// requests had last succeeded.
func TestPriorSuccessIsReportedWithCrash(t *testing.T) {
	g := newTestGateway()
	g.succeed("a")
	g.now = g.now.Add(2 * time.Second)
	g.RecordCrash("server", []protocol.ObservedRun{{Fingerprint: fingerprintOf("a")}, {Fingerprint: fingerprintOf("b")}}, g.now)
	runs := g.Report(1, g.now)[0].Runs
	if runs[0].Well != 2*time.Second || runs[1].Well != 0 {
		t.Errorf("reported %+v", runs)
	}
}

// TestDecisionRefusal checks that a refusal is for this send alone, and that its Retry-After
// is the time until the next trial, or the minimum if that time is unknown.
func TestDecisionRefusal(t *testing.T) {
	for until, want := range map[time.Time]time.Duration{{}: minRetryAfter, startTime.Add(-time.Second): minRetryAfter, startTime.Add(time.Minute): time.Minute} {
		d := Decision{Held: true, Servers: 3}
		if !until.IsZero() {
			d.Until = until.UnixMilli()
		}
		r := d.Refusal(startTime)
		if r.RetryAfter != want || r.Verdict != protocol.NotRun || r.Status != protocol.StatusServiceUnavailable {
			t.Errorf("until %v: %+v", until, r)
		}
	}
}
