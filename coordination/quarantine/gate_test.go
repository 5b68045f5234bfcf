package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// gateway is a gate in a time of its own.
type gateway struct {
	*Filter
	now time.Time
}

func newGateway() *gateway { return &gateway{Filter: NewFilter("g", day), now: day} }

// passes asks for a request, and uses up a trial.
func (g *gateway) passes(name string, alone bool) bool {
	return !g.Check(named(name).Quick, func() protocol.Fingerprint { return named(name) }, true, alone, g.now).Held
}

// endsWell has a request be answered.
func (g *gateway) endsWell(name string) {
	g.RecordSuccess(named(name).Quick, func() protocol.Fingerprint { return named(name) }, g.now)
}

// hears tells the gate of requests that are held, tried so often at gateway "g".
func (g *gateway) hears(change uint64, whole bool, trials int, names ...string) {
	n := &protocol.QuarantineUpdate{Changes: change, Whole: whole}
	for _, name := range names {
		n.Held = append(n.Held, protocol.HeldRequest{Fingerprint: named(name), Servers: 3, Trials: trials, Trial: "g"})
	}
	g.ApplyUpdate(n, nil, g.now)
}

// TestGateFollowsTheLeader checks what passes behind news of changes, of the whole, and of
// a request that is free.
func TestGateFollowsTheLeader(t *testing.T) {
	g := newGateway()
	g.hears(1, true, 0, "a")
	g.hears(2, false, 0, "b")
	if g.passes("a", false) || g.passes("b", false) || !g.passes("c", false) {
		t.Error("behind changes not just a and b are held")
	}
	g.hears(3, true, 0, "c")
	if !g.passes("a", false) || g.passes("c", false) || g.Held() != 1 {
		t.Error("behind the whole not just c is held")
	}
	g.ApplyUpdate(&protocol.QuarantineUpdate{Changes: 4, Free: []protocol.Fingerprint{named("c")}}, nil, g.now)
	if !g.passes("c", false) {
		t.Error("c is held though it is free")
	}
	if changes, _ := g.SyncState(); changes != 4 {
		t.Errorf("keeps to change %d", changes)
	}
}

// TestTrialsAreUsedOnce checks that a trial passes once however often it is told, that the
// next one passes again, and that those of a request which was freed and is held anew count
// from the start.
func TestTrialsAreUsedOnce(t *testing.T) {
	g := newGateway()
	for i, step := range []struct {
		trials int
		passes bool
	}{{0, false}, {1, true}, {1, false}, {2, true}, {2, false}, {0, false}, {1, true}, {1, false}} {
		g.hears(uint64(i+1), false, step.trials, "a")
		if got := g.passes("a", false); got != step.passes {
			t.Errorf("step %d, trial %d: passes %v", i, step.trials, got)
		}
	}
}

// TestGoodEndsAreTold checks which good ends a gateway tells: those of requests that are
// held or watched, also of a moment before they were.
func TestGoodEndsAreTold(t *testing.T) {
	told := func(g *gateway) int { return len(g.Report(1, g.now)) }
	g := newGateway()
	g.endsWell("a")
	if told(g) != 0 {
		t.Error("told of a request that nobody asks for")
	}
	g.ApplyUpdate(nil, &protocol.WatchUpdate{Requests: []protocol.Fingerprint{named("a")}}, g.now.Add(time.Second))
	if told(g) != 1 {
		t.Error("not told of a good end of a moment ago")
	}
	g.hears(1, false, 1, "b")
	g.endsWell("b")
	if told(g) != 2 {
		t.Error("not told of a trial that ended well")
	}
	late := newGateway()
	late.endsWell("a")
	late.ApplyUpdate(nil, &protocol.WatchUpdate{Requests: []protocol.Fingerprint{named("a")}}, late.now.Add(2*trustTime))
	if told(late) != 0 {
		t.Error("told of a good end of long ago")
	}
}

// TestGateAlone checks that a gateway without a leader holds a request under which it saw
// enough servers end, and none that ended well of late; with a leader it goes by his word.
func TestGateAlone(t *testing.T) {
	for _, well := range []bool{false, true} {
		g := newGateway()
		for i := range holdAfter {
			g.RecordCrash(fmt.Sprint("server-", i), []protocol.ObservedRun{{Fingerprint: named("a"), Age: time.Millisecond}}, g.now)
			g.now = g.now.Add(time.Second)
		}
		if well {
			g.endsWell("a")
		}
		if got := g.passes("a", true); got != well {
			t.Errorf("ended well %v: passes %v alone", well, got)
		}
		if !g.passes("a", false) {
			t.Errorf("ended well %v: held though a leader says nothing of it", well)
		}
	}
}

// TestGoodEndsBeforeAnEndAreTold checks that an observation tells when its requests had
// last ended well.
func TestGoodEndsBeforeAnEndAreTold(t *testing.T) {
	g := newGateway()
	g.endsWell("a")
	g.now = g.now.Add(2 * time.Second)
	g.RecordCrash("server", []protocol.ObservedRun{{Fingerprint: named("a")}, {Fingerprint: named("b")}}, g.now)
	runs := g.Report(1, g.now)[0].Runs
	if runs[0].Well != 2*time.Second || runs[1].Well != 0 {
		t.Errorf("told %+v", runs)
	}
}

// TestPassageRefusal checks that a refusal is of this send alone and says when the request
// is tried next, or that a gateway alone does not know.
func TestPassageRefusal(t *testing.T) {
	for until, want := range map[time.Time]time.Duration{{}: leastHeld, day.Add(-time.Second): leastHeld, day.Add(time.Minute): time.Minute} {
		p := Decision{Held: true, Servers: 3}
		if !until.IsZero() {
			p.Until = until.UnixMilli()
		}
		r := p.Refusal(day)
		if r.RetryAfter != want || r.Verdict != protocol.NotRun || r.Status != protocol.StatusServiceUnavailable {
			t.Errorf("until %v: %+v", until, r)
		}
	}
}
