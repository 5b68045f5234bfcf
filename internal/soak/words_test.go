package soak

import (
	"testing"
	"time"
)

// TestBackpressureSeeds runs plans in which servers announce rate limits and send retry
// delays, next to all other faults. The other steps of a seed stay as they are.
func TestBackpressureSeeds(t *testing.T) {
	limits := 0
	for _, seed := range []uint64{1, 2} {
		limits += runPlan(t, small, DrawPlan(seed, 12*time.Second, small).WithBackpressure()).LimitsChecked
	}
	if limits == 0 {
		t.Error("no limit was in force long enough to be checked")
	}
}
