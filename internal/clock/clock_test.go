package clock

import (
	"testing"
	"time"
)

// TestClockGoesOn checks that times rise as the steady clock does, count what that does
// not, and are turned into those of the steady clock.
func TestClockGoesOn(t *testing.T) {
	first, steady := Now(), time.Now()
	if d := Since(first); d < 0 || d > time.Since(steady)+time.Second {
		t.Errorf("%v passed at once", d)
	}
	Skip(time.Hour)
	defer Skip(-time.Hour)
	if d := Since(first); d < time.Hour || d > time.Hour+time.Since(steady)+time.Second {
		t.Errorf("an hour's suspension is told as %v", d)
	}
	end := Now().Add(time.Minute)
	if d := Until(end); d <= 0 || d > time.Minute {
		t.Errorf("until a minute from now are %v", d)
	}
	if d := time.Until(Steady(end)); d <= 0 || d > time.Minute {
		t.Errorf("by the steady clock they are %v", d)
	}
}
