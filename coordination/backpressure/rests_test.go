package backpressure

import (
	"testing"
	"time"
)

// TestRests checks how long a server is left alone: each rest to its end, for an hour at the
// most, and for as long as the server is listed.
func TestRests(t *testing.T) {
	for name, c := range map[string]struct {
		asked []time.Duration // asked come a second apart.
		want  time.Duration   // want is from the last one on.
	}{
		"none":                    {nil, 0},
		"one":                     {[]time.Duration{3 * time.Second}, 3 * time.Second},
		"a shorter one behind it": {[]time.Duration{5 * time.Second, time.Second}, 4 * time.Second},
		"a longer one behind it":  {[]time.Duration{time.Second, 5 * time.Second}, 5 * time.Second},
		"absurd":                  {[]time.Duration{1 << 62}, longestRest},
	} {
		var r Backoffs
		now := start
		for i, rest := range c.asked {
			now = start.Add(time.Duration(i) * time.Second)
			r.Add("s", rest, now)
		}
		if got := r.Remaining("s", now); got != c.want {
			t.Errorf("%s: %v left, want %v", name, got, c.want)
		}
		r.Prune(func(string) bool { return false }, now)
		if got := r.Remaining("s", now); got > 0 {
			t.Errorf("%s: %v left of a server that is gone", name, got)
		}
	}
}

// TestDepartures checks that a server which said that it leaves is remembered while it is
// listed, and a while behind that.
func TestDepartures(t *testing.T) {
	var d Departures
	if !d.MarkLeaving("s", start) || d.MarkLeaving("s", start) {
		t.Error("that it leaves is news once")
	}
	listed, gone := func(string) bool { return true }, func(string) bool { return false }
	now := start.Add(time.Hour)
	d.Prune(listed, now)
	d.Prune(gone, now.Add(leftKept))
	if !d.IsLeaving("s") || d.IsLeaving("other") {
		t.Error("it is forgotten, or another one is taken for it")
	}
	d.Prune(gone, now.Add(leftKept+time.Second))
	if d.IsLeaving("s") {
		t.Error("it is never forgotten")
	}
}
