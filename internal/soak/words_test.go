package soak

import (
	"testing"
	"time"
)

// TestWordSeeds plays plans in which servers name limits and ask for rest all the while,
// beside all other faults. The other steps of a seed stay as they are.
func TestWordSeeds(t *testing.T) {
	limits := 0
	for _, seed := range []uint64{1, 2} {
		limits += played(t, small, DrawPlan(seed, 12*time.Second, small).WithBackpressure()).LimitsChecked
	}
	if limits == 0 {
		t.Error("no limit was named for long enough to be checked")
	}
}
