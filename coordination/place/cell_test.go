package place

import (
	"testing"
	"time"
)

// TestDistrust walks through when a server is passed over, and for how long.
func TestDistrust(t *testing.T) {
	var soft, hard ServerStats
	if soft.RequestFailed(false, start) || soft.Suspect(start) {
		t.Error("passed over after one failure that may be the request's own")
	}
	if !soft.RequestFailed(false, start) || !soft.Suspect(start) {
		t.Error("not passed over after two in a row")
	}
	if !hard.RequestFailed(true, start) || !hard.Suspect(start) {
		t.Error("not passed over after a hard failure")
	}
	if hard.Suspect(start.Add(distrustFirst)) {
		t.Error("passed over for too long")
	}
}

// TestDistrustGrows checks that a server which fails again and again is passed
// over for longer each time, up to a bound, and trusted at its first answer.
func TestDistrustGrows(t *testing.T) {
	var c ServerStats
	last := time.Duration(0)
	for range 12 {
		c.RequestFailed(true, start)
		wait := c.until.Sub(start)
		if wait < last || wait > distrustMost || (wait == last && wait != distrustMost) {
			t.Fatalf("passed over for %v after %v", wait, last)
		}
		last = wait
	}
	if last != distrustMost {
		t.Errorf("passed over for %v in the end", last)
	}
	if !c.RequestSucceeded() || c.Suspect(start) {
		t.Error("passed over after an answer")
	}
}

// TestToldLoad checks that a load which a server told counts the requests of
// others only, and less as it grows old.
func TestToldLoad(t *testing.T) {
	var c ServerStats
	c.RequestStarted()
	c.RequestStarted()
	c.SetReportedLoad(8, start) // Two are this gateway's.
	c.RequestEnded()
	for age, want := range map[time.Duration]float64{0: 7, reportHalf: 4} {
		if got, _, _, _ := c.load(start.Add(age)); got != want {
			t.Errorf("after %v the load is %v, want %v", age, got, want)
		}
	}
}
