package state

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/weldstream/weldstream/protocol"
)

func begin(m *Machine, at int64, version string) *protocol.BeginRolloutReply {
	order := protocol.BeginRolloutMsg{Service: "s", Version: version, LimitMS: 12_000, RepeatMS: 5000}
	return m.Apply(&protocol.Command{At: at, BeginRollout: &order}).BeginRollout
}

func advance(m *Machine, at int64, number uint64, s protocol.RolloutStage, former ...string) protocol.Rollout {
	msg := protocol.StageRolloutMsg{Service: "s", Number: number, Stage: s, Former: former}
	return m.Apply(&protocol.Command{At: at, StageRollout: &msg}).StageRollout.Rollout
}

// TestRolloutOrders checks which orders begin a roll-out, which are recognized as
// repeated, and which are refused.
func TestRolloutOrders(t *testing.T) {
	m := NewMachine()
	first := begin(m, 1000, "v2")
	if !first.Taken || first.Rollout.Number != 1 || first.Rollout.BeganAt != 1000 {
		t.Fatalf("first order: %+v", first)
	}
	if again := begin(m, 1500, "v2"); !again.Taken || again.Rollout.Number != 1 || again.Rollout.BeganAt != 1000 {
		t.Errorf("repeated while running: %+v", again)
	}
	if conflicting := begin(m, 1500, "v3"); conflicting.Taken || conflicting.Rollout.Version != "v2" {
		t.Errorf("other version while running: %+v", conflicting)
	}
	longer := protocol.BeginRolloutMsg{Service: "s", Version: "v2", LimitMS: 13_000, RepeatMS: 5000}
	if reply := m.Apply(&protocol.Command{At: 1500, BeginRollout: &longer}).BeginRollout; reply.Taken {
		t.Errorf("other limit while running: %+v", reply)
	}
	advance(m, 3000, 1, protocol.RolloutRolledBack)
	if again := begin(m, 5900, "v2"); !again.Taken || again.Rollout.Number != 1 || again.Rollout.Stage != protocol.RolloutRolledBack {
		t.Errorf("repeated after an early end: %+v", again)
	}
	if later := begin(m, 6100, "v2"); !later.Taken || later.Rollout.Number != 2 || later.Rollout.Stage != protocol.RolloutTrial {
		t.Errorf("ordered again after the repeat time: %+v", later)
	}
	advance(m, 7000, 2, protocol.RolloutCompleted)
	if completed := begin(m, 60_000, "v2"); !completed.Taken || completed.Rollout.Number != 2 || completed.Rollout.Stage != protocol.RolloutCompleted {
		t.Errorf("ordered for the version already in use: %+v", completed)
	}
}

// TestRolloutStagesAdvanceOnly checks that a roll-out never returns to an earlier
// stage, that a finished one does not change, and that commands for another roll-out
// have no effect.
func TestRolloutStagesAdvanceOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMachine()
		begin(m, 1, "v2")
		last := protocol.RolloutTrial
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			number := rapid.Uint64Range(0, 2).Draw(t, "number")
			s := protocol.RolloutStage(rapid.IntRange(0, 3).Draw(t, "stage"))
			got := advance(m, 2, number, s, "v1").Stage
			switch {
			case got < last, last.Final() && got != last, number != 1 && got != last:
				t.Fatalf("stage went from %v to %v after a command for stage %v of roll-out %d", last, got, s, number)
			}
			last = got
		}
	})
}

// TestRolloutBlockedVersions checks which versions receive requests during several
// roll-outs, restoring a snapshot after each step.
func TestRolloutBlockedVersions(t *testing.T) {
	m := NewMachine()
	at := int64(0)
	check := func(want map[string]bool) {
		t.Helper()
		data, err := m.Image().Encode()
		if err != nil {
			t.Fatal(err)
		}
		restored := NewMachine()
		if err := restored.Restore(data); err != nil {
			t.Fatal(err)
		}
		list := restored.Rollouts()
		if diff := cmp.Diff(m.RolloutLog(), restored.RolloutLog()); diff != "" {
			t.Fatalf("after restoring a snapshot: %s", diff)
		}
		got := map[string]bool{}
		for version := range want {
			got[version] = list[0].Blocks(version)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatal(diff)
		}
		at += 10_000
		m = restored
	}
	m.Apply(&protocol.Command{Versions: &protocol.VersionsMsg{Service: "s", Versions: []string{"v1", "v0"}}})
	m.Apply(&protocol.Command{Versions: &protocol.VersionsMsg{Service: "s", Versions: []string{"v1"}}})
	if diff := cmp.Diff(map[string][]string{"s": {"v0", "v1"}}, m.RolloutLog().Known); diff != "" {
		t.Error(diff)
	}
	begin(m, at, "v2")
	check(map[string]bool{"v1": false, "v2": false, "v0": false})
	advance(m, at, 1, protocol.RolloutMoving, "v1")
	check(map[string]bool{"v1": true, "v2": false, "v0": false})
	advance(m, at, 1, protocol.RolloutRolledBack)
	check(map[string]bool{"v1": false, "v2": true})
	begin(m, at, "v3")
	check(map[string]bool{"v1": false, "v2": true, "v3": false})
	advance(m, at, 2, protocol.RolloutMoving, "v1")
	advance(m, at, 2, protocol.RolloutCompleted)
	check(map[string]bool{"v1": true, "v2": true, "v3": false})
	begin(m, at, "v1")
	check(map[string]bool{"v1": false, "v2": true, "v3": false})
}

// TestCompletedVersionStaysKnown guards against a fault found by a soak test with
// several regions. The version of a completed roll-out was known only through that
// roll-out. When the next one began, servers of that version were withheld from the
// gateways, no other version seemed to be serving, and the new roll-out completed
// without a trial.
func TestCompletedVersionStaysKnown(t *testing.T) {
	m := NewMachine()
	m.Apply(&protocol.Command{At: 1, Versions: &protocol.VersionsMsg{Service: "s", Versions: []string{"v1"}}})
	begin(m, 1000, "v2")
	advance(m, 3000, 1, protocol.RolloutCompleted, "v1")
	begin(m, 9000, "v3")
	l := m.RolloutLog()
	for version, want := range map[string]bool{"v1": true, "v2": true, "v3": true, "v4": false} {
		if l.Knows("s", version) != want {
			t.Errorf("Knows(%s) = %v", version, !want)
		}
	}
}
