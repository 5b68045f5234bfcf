package backpressure

import (
	"testing"
	"time"
)

// TestBackoffs checks how long a server gets no requests: until the last back-off ends, for
// at most maxBackoff, and only while the server is listed.
func TestBackoffs(t *testing.T) {
	for name, c := range map[string]struct {
		asked []time.Duration // asked are the requested times, one second apart.
		want  time.Duration   // want is the remaining time after the last request.
	}{
		"none":                {nil, 0},
		"one":                 {[]time.Duration{3 * time.Second}, 3 * time.Second},
		"a shorter one later": {[]time.Duration{5 * time.Second, time.Second}, 4 * time.Second},
		"a longer one later":  {[]time.Duration{time.Second, 5 * time.Second}, 5 * time.Second},
		"above the maximum":   {[]time.Duration{1 << 62}, maxBackoff},
	} {
		var r Backoffs
		now := start
		for i, backoff := range c.asked {
			now = start.Add(time.Duration(i) * time.Second)
			r.Add("s", backoff, now)
		}
		if got := r.Remaining("s", now); got != c.want {
			t.Errorf("%s: %v left, want %v", name, got, c.want)
		}
		r.Prune(func(string) bool { return false }, now)
		if got := r.Remaining("s", now); got > 0 {
			t.Errorf("%s: %v left for a server that is no longer listed", name, got)
		}
	}
}

// TestDepartures checks that the departure of a server is remembered while it is listed, and
// for departureRetention after that.
func TestDepartures(t *testing.T) {
	var d Departures
	if !d.MarkLeaving("s", start) || d.MarkLeaving("s", start) {
		t.Error("want true for the first announcement only")
	}
	listed, unlisted := func(string) bool { return true }, func(string) bool { return false }
	now := start.Add(time.Hour)
	d.Prune(listed, now)
	d.Prune(unlisted, now.Add(departureRetention))
	if !d.IsLeaving("s") || d.IsLeaving("other") {
		t.Error("the departure is forgotten, or attributed to another server")
	}
	d.Prune(unlisted, now.Add(departureRetention+time.Second))
	if d.IsLeaving("s") {
		t.Error("the departure is still remembered after departureRetention")
	}
}
