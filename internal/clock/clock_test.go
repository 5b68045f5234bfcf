package clock

import (
	"testing"
	"time"
)

// TestClockCountsSuspensions checks that the clock advances with the monotonic clock, counts
// suspensions that the monotonic clock does not, and converts its times to monotonic ones.
func TestClockCountsSuspensions(t *testing.T) {
	first, monotonic := Now(), time.Now()
	if d := Since(first); d < 0 || d > time.Since(monotonic)+time.Second {
		t.Errorf("elapsed time is %v immediately after the start", d)
	}
	Skip(time.Hour)
	defer Skip(-time.Hour)
	if d := Since(first); d < time.Hour || d > time.Hour+time.Since(monotonic)+time.Second {
		t.Errorf("elapsed time is %v after a suspension of one hour", d)
	}
	end := Now().Add(time.Minute)
	if d := Until(end); d <= 0 || d > time.Minute {
		t.Errorf("Until is %v for a time one minute ahead", d)
	}
	if d := time.Until(Monotonic(end)); d <= 0 || d > time.Minute {
		t.Errorf("time.Until is %v for the converted time one minute ahead", d)
	}
}
