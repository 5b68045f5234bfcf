package roundtrip

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/weldstream/weldstream/internal/testseed" // Fixes the seed.
)

const ms = time.Millisecond

// TestOutlierIsBounded checks that the late answer of a replica that was suspended hardly
// changes its round trip.
func TestOutlierIsBounded(t *testing.T) {
	table := New()
	for i := range 50 {
		table.Observe("a", "b", 16*ms, time.Duration(i)*40*ms)
	}
	table.Observe("a", "b", 2*time.Second, 2*time.Second)
	if trip, ok := table.Trip("a", "b", 2*time.Second); !ok || trip.Smoothed > 20*ms || trip.UpperBound() > 70*ms {
		t.Errorf("round trip %+v, %v after a late answer; upper bound %v", trip, ok, trip.UpperBound())
	}
}

// TestWarmupTakesMinimum checks that the time in which the first answers waited, for
// example for a connection to open, does not count as round trip.
func TestWarmupTakesMinimum(t *testing.T) {
	table := New()
	for i, trip := range []time.Duration{time.Second, 900 * ms, 16 * ms, 18 * ms} {
		table.Observe("a", "b", trip, time.Duration(i)*40*ms)
	}
	if trip, ok := table.Trip("a", "b", time.Second); !ok || trip.Smoothed != 16*ms || trip.UpperBound() != 32*ms {
		t.Errorf("round trip %+v, %v after the first answers; upper bound %v", trip, ok, trip.UpperBound())
	}
}

func TestQuorumRoundTrip(t *testing.T) {
	table := New()
	for to, trip := range map[string]time.Duration{"b": 2 * ms, "c": 16 * ms, "d": 80 * ms} {
		table.Observe("a", to, trip, 0)
	}
	for range 10 {
		table.RecordLoss("a", "c", 1)
	}
	for _, tt := range []struct {
		answers int
		now     time.Duration
		want    time.Duration
		ok      bool
	}{{0, 0, 0, true}, {1, 0, 2 * ms, true}, {2, 0, 80 * ms, true}, {3, 0, 0, false}, {1, time.Minute, 0, false}} {
		if got, ok := table.QuorumRoundTrip("a", []string{"a", "b", "c", "d"}, tt.answers, tt.now); got != tt.want || ok != tt.ok {
			t.Errorf("round trip of %d answers at %v: %v, %v", tt.answers, tt.now, got, ok)
		}
	}
}

func TestMergeTakesOnlyOwnRows(t *testing.T) {
	table := New()
	table.Merge("b", []Trip{{From: "b", To: "c", Smoothed: ms}, {From: "a", To: "c", Smoothed: ms}}, 0)
	if got := table.All(0); len(got) != 1 || got[0].From != "b" {
		t.Errorf("rows after the merge: %+v; want only the one from b", got)
	}
}

// decideAfter makes a decision each second with the same round trips, and returns the last
// one.
func decideAfter(a, b time.Duration, lead, steady time.Duration) bool {
	var p Placer
	moved := false
	for now := lead; now <= lead+steady; now += time.Second {
		table := New()
		table.Observe("a", "b", a, now)
		table.Observe("a", "c", a, now)
		table.Observe("b", "a", a, now)
		table.Observe("b", "c", b, now)
		_, moved = p.Decide(table, DecideMsg{Now: now, Leader: "a", Voters: []string{"a", "b", "c"}, Eligible: func(string) bool { return true }})
	}
	return moved
}

func TestDecide(t *testing.T) {
	for name, tt := range map[string]struct {
		a, b         time.Duration
		lead, steady time.Duration
		want         bool
	}{
		"far better":          {80 * ms, 2 * ms, minTenure, minBetterDuration, true},
		"not for long enough": {80 * ms, 2 * ms, minTenure, minBetterDuration - time.Second, false},
		"new leader":          {80 * ms, 2 * ms, 0, minBetterDuration, false},
		"small absolute gain": {6 * ms, 2 * ms, minTenure, minBetterDuration, false},
		"small relative gain": {160 * ms, 130 * ms, minTenure, minBetterDuration, false},
		"no better":           {16 * ms, 16 * ms, minTenure, minBetterDuration, false},
	} {
		if got := decideAfter(tt.a, tt.b, tt.lead, tt.steady); got != tt.want {
			t.Errorf("%s: decided to move: %v, want the opposite", name, got)
		}
	}
}

// TestNoRepeatedMoves checks that leadership does not move back and forth: with round trips
// that vary by up to a tenth from their mean in either direction, there are at most as many
// moves as other voters, and no two within minTenure.
func TestNoRepeatedMoves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		voters := []string{"a", "b", "c", "d", "e"}[:rapid.SampledFrom([]int{3, 5}).Draw(t, "voters")]
		trip := map[pair]time.Duration{}
		for i, from := range voters {
			for _, to := range voters[:i] {
				d := time.Duration(rapid.IntRange(1, 160).Draw(t, "trip")) * ms
				trip[pair{from, to}], trip[pair{to, from}] = d, d
			}
		}
		table, leader, led := New(), "a", time.Duration(0)
		place, moves := Placer{}, 0
		for now := time.Duration(0); now < 10*time.Minute; now += time.Second {
			for p, d := range trip {
				noise := time.Duration(rapid.IntRange(-10, 10).Draw(t, "noise"))
				table.Observe(p.from, p.to, d+d*noise/100, now)
			}
			m, ok := place.Decide(table, DecideMsg{Now: now, Since: led, Leader: leader, Voters: voters, Eligible: func(string) bool { return true }})
			if !ok {
				continue
			}
			if m.To == leader || now-led < minTenure || m.Before-m.After < minGain {
				t.Fatalf("moved from %s to %+v after %v", leader, m, now-led)
			}
			leader, led, place = m.To, now, Placer{}
			moves++
		}
		if moves > len(voters)-1 {
			t.Fatalf("%d moves, more than there are other voters", moves)
		}
	})
}
