package topology

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRoundTrips checks the shortest round trip over a distance, losses, and domains whose
// round trip contradicts their configured region, each only after enough observations.
func TestRoundTrips(t *testing.T) {
	regions := New(map[string]string{"a-1": "a", "a-2": "a", "a-3": "a", "b-1": "b"})
	for _, c := range []struct {
		name          string
		trips         map[string]time.Duration
		observations  int
		near          time.Duration
		far           time.Duration
		contradicting []string
	}{
		{"as configured", map[string]time.Duration{"a-2": 2 * time.Millisecond, "b-1": 16 * time.Millisecond}, minObservations, 2 * time.Millisecond, 16 * time.Millisecond, nil},
		{"one further away than its region", map[string]time.Duration{"a-2": 2 * time.Millisecond, "a-3": 30 * time.Millisecond, "b-1": 16 * time.Millisecond}, minObservations, 2 * time.Millisecond, 16 * time.Millisecond, []string{"a-3"}},
		{"too few observations", map[string]time.Duration{"a-3": 30 * time.Millisecond, "b-1": 16 * time.Millisecond}, minObservations - 1, 0, 0, nil},
		{"no other region observed", map[string]time.Duration{"a-3": 30 * time.Millisecond}, minObservations, 30 * time.Millisecond, 0, nil},
	} {
		trips := NewRoundTrips(regions, "a-1")
		for domain, took := range c.trips {
			for range c.observations {
				trips.Observe(domain, took)
			}
		}
		if near, far := trips.Shortest(SameRegion), trips.Shortest(OtherRegion); near != c.near || far != c.far {
			t.Errorf("%s: shortest round trip %s in the region, %s to other regions", c.name, near, far)
		}
		if got := trips.Contradicting(); !slices.Equal(got, c.contradicting) {
			t.Errorf("%s: %v contradict the settings, want %v", c.name, got, c.contradicting)
		}
	}
	trips := NewRoundTrips(regions, "a-1")
	trips.RecordLoss("b-1")
	trips.RecordLoss("b-1")
	if here, across := trips.Losses(SameRegion), trips.Losses(OtherRegion); here != 0 || across != 2 {
		t.Errorf("%d losses in the region, %d to other regions, want 0 and 2", here, across)
	}
}

// TestMeanWithinObservedRange checks that a mean round trip is between the shortest and the
// longest observed one.
func TestMeanWithinObservedRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		trips := NewRoundTrips(New(map[string]string{"a": "x", "b": "y"}), "a")
		seen := rapid.SliceOfN(rapid.Int64Range(1, int64(time.Second)), minObservations, 50).Draw(t, "seen")
		for _, took := range seen {
			trips.Observe("b", time.Duration(took))
		}
		if got := int64(trips.Shortest(OtherRegion)); got < slices.Min(seen) || got > slices.Max(seen) {
			t.Fatalf("mean %d is outside the range of %v", got, seen)
		}
	})
}

// TestContradictionHysteresis checks that a domain whose round trips are close to those to
// another region does not alternate, and that a contradicting domain stays so until its
// round trip is shorter than that to the other region.
func TestContradictionHysteresis(t *testing.T) {
	trips := NewRoundTrips(New(map[string]string{"a-1": "a", "a-2": "a", "b-1": "b"}), "a-1")
	changes, before := 0, false
	observe := func(near, far time.Duration) {
		trips.Observe("a-2", near)
		trips.Observe("b-1", far)
		if now := len(trips.Contradicting()) > 0; now != before {
			changes, before = changes+1, now
		}
	}
	for i := range 200 {
		observe(10*time.Millisecond+time.Duration(i%10)*300*time.Microsecond, 10*time.Millisecond+time.Duration(i%7)*400*time.Microsecond)
	}
	if changes != 0 {
		t.Errorf("changed %d times with similar round trips, want none", changes)
	}
	for range 300 {
		observe(40*time.Millisecond, 10*time.Millisecond)
	}
	if changes != 1 || !before {
		t.Errorf("changed %d times with a far longer round trip, want once, to contradicting", changes)
	}
	for range 30 {
		observe(2*time.Millisecond, 10*time.Millisecond)
	}
	if changes != 2 || before {
		t.Errorf("still contradicting with a shorter round trip, or %d changes instead of 2", changes)
	}
}
