package place

import (
	"testing"
	"time"
)

// TestDistrust checks when a server is skipped, and for how long.
func TestDistrust(t *testing.T) {
	var soft, hard ServerStats
	if soft.RequestFailed(false, start) || soft.Suspect(start) {
		t.Error("suspect after a single failure that the request may have caused")
	}
	if !soft.RequestFailed(false, start) || !soft.Suspect(start) {
		t.Error("not suspect after two consecutive failures")
	}
	if !hard.RequestFailed(true, start) || !hard.Suspect(start) {
		t.Error("not suspect after a hard failure")
	}
	if hard.Suspect(start.Add(minDistrust)) {
		t.Error("still suspect after the minimum distrust")
	}
}

// TestDistrustGrows checks that a server which keeps failing is skipped for longer each
// time, up to maxDistrust, and trusted at its first answer.
func TestDistrustGrows(t *testing.T) {
	var c ServerStats
	last := time.Duration(0)
	for range 12 {
		c.RequestFailed(true, start)
		wait := c.distrustedUntil.Sub(start)
		if wait < last || wait > maxDistrust || (wait == last && wait != maxDistrust) {
			t.Fatalf("distrusted for %v after %v", wait, last)
		}
		last = wait
	}
	if last != maxDistrust {
		t.Errorf("distrusted for %v in the end", last)
	}
	if !c.RequestSucceeded() || c.Suspect(start) {
		t.Error("suspect after an answer")
	}
}

// TestReportedLoad checks that a reported load adds only the requests of other gateways,
// with a weight that falls with its age.
func TestReportedLoad(t *testing.T) {
	var c ServerStats
	c.RequestStarted()
	c.RequestStarted()
	c.SetReportedLoad(8, start) // Two of them are this gateway's.
	c.RequestEnded()
	for age, want := range map[time.Duration]float64{0: 7, reportDecayTime: 4} {
		if got, _, _, _ := c.load(start.Add(age)); got != want {
			t.Errorf("at age %v the load is %v, want %v", age, got, want)
		}
	}
}
