package topology

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestTrips checks what is told of observed round trips: the shortest over a distance,
// losses, and domains that are further than their region says, each only after enough
// observations.
func TestTrips(t *testing.T) {
	regions := New(map[string]string{"a-1": "a", "a-2": "a", "a-3": "a", "b-1": "b"})
	for _, c := range []struct {
		name  string
		trips map[string]time.Duration
		seen  int
		near  time.Duration
		far   time.Duration
		wrong []string
	}{
		{"as configured", map[string]time.Duration{"a-2": 2 * time.Millisecond, "b-1": 16 * time.Millisecond}, tripsLeast, 2 * time.Millisecond, 16 * time.Millisecond, nil},
		{"one further than its region", map[string]time.Duration{"a-2": 2 * time.Millisecond, "a-3": 30 * time.Millisecond, "b-1": 16 * time.Millisecond}, tripsLeast, 2 * time.Millisecond, 16 * time.Millisecond, []string{"a-3"}},
		{"seen too seldom", map[string]time.Duration{"a-3": 30 * time.Millisecond, "b-1": 16 * time.Millisecond}, tripsLeast - 1, 0, 0, nil},
		{"no other region seen", map[string]time.Duration{"a-3": 30 * time.Millisecond}, tripsLeast, 30 * time.Millisecond, 0, nil},
	} {
		trips := NewRoundTrips(regions, "a-1")
		for domain, took := range c.trips {
			for range c.seen {
				trips.Observe(domain, took)
			}
		}
		if near, far := trips.Shortest(SameRegion), trips.Shortest(OtherRegion); near != c.near || far != c.far {
			t.Errorf("%s: %s in the region, %s across", c.name, near, far)
		}
		if got := trips.Contradicting(); !slices.Equal(got, c.wrong) {
			t.Errorf("%s: %v are further than configured, want %v", c.name, got, c.wrong)
		}
	}
	trips := NewRoundTrips(regions, "a-1")
	trips.RecordLoss("b-1")
	trips.RecordLoss("b-1")
	if here, across := trips.Losses(SameRegion), trips.Losses(OtherRegion); here != 0 || across != 2 {
		t.Errorf("%d lost in the region, %d across, want 0 and 2", here, across)
	}
}

// TestTripsStayWithinWhatWasSeen checks that a learned round trip is between the
// shortest and the longest that was observed.
func TestTripsStayWithinWhatWasSeen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		trips := NewRoundTrips(New(map[string]string{"a": "x", "b": "y"}), "a")
		seen := rapid.SliceOfN(rapid.Int64Range(1, int64(time.Second)), tripsLeast, 50).Draw(t, "seen")
		for _, took := range seen {
			trips.Observe("b", time.Duration(took))
		}
		if got := int64(trips.Shortest(OtherRegion)); got < slices.Min(seen) || got > slices.Max(seen) {
			t.Fatalf("learned %d of %v", got, seen)
		}
	})
}

// TestContradictionIsSteady checks that a domain whose round trips are about those to
// another region is not told and taken back in turn, and that one that is told stays so
// until it is nearer than the other region.
func TestContradictionIsSteady(t *testing.T) {
	trips := NewRoundTrips(New(map[string]string{"a-1": "a", "a-2": "a", "b-1": "b"}), "a-1")
	turns, before := 0, false
	look := func(near, far time.Duration) {
		trips.Observe("a-2", near)
		trips.Observe("b-1", far)
		if now := len(trips.Contradicting()) > 0; now != before {
			turns, before = turns+1, now
		}
	}
	for i := range 200 {
		look(10*time.Millisecond+time.Duration(i%10)*300*time.Microsecond, 10*time.Millisecond+time.Duration(i%7)*400*time.Microsecond)
	}
	if turns != 0 {
		t.Errorf("told and taken back %d times", turns)
	}
	for range 300 {
		look(40*time.Millisecond, 10*time.Millisecond)
	}
	if turns != 1 || !before {
		t.Errorf("not told once but %d times though it is further by far", turns)
	}
	for range 30 {
		look(2*time.Millisecond, 10*time.Millisecond)
	}
	if turns != 2 || before {
		t.Errorf("still told though it is nearer, after %d turns", turns)
	}
}
