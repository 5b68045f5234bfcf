package usage

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

// TestClockFollowsMajority checks that a clock which is far off is corrected to
// the agreed time, and that a difference within normal skew is left as it is.
func TestClockFollowsMajority(t *testing.T) {
	for off, want := range map[time.Duration]time.Duration{
		2 * time.Second:       0,
		-3 * time.Second:      0,
		20 * time.Millisecond: 20 * time.Millisecond,
	} {
		c := NewClock(start.Add(off))
		c.SetAgreed(start.Add(time.Minute), time.Minute)
		if got := c.Now(2 * time.Minute).Sub(start.Add(2 * time.Minute)); got != want {
			t.Errorf("a clock that started off by %v is now off by %v", off, got)
		}
		if own := c.Local(0); !own.Equal(start.Add(off)) {
			t.Errorf("local time is %v, want the uncorrected time", own)
		}
	}
}

// TestMedianToleratesWrongClocks checks that wrong clocks, fewer than half of all,
// shift the agreed time by no more than the spread of the others.
func TestMedianToleratesWrongClocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wrong := rapid.IntRange(0, 10).Draw(t, "wrong")
		right := wrong + 1 + rapid.IntRange(0, 10).Draw(t, "more")
		var list []time.Duration
		for range right {
			list = append(list, time.Duration(rapid.IntRange(-20, 20).Draw(t, "spread"))*time.Millisecond)
		}
		for range wrong {
			list = append(list, time.Duration(rapid.IntRange(-5000, 5000).Draw(t, "jump"))*time.Millisecond)
		}
		if m := Median(list); m.Abs() > 20*time.Millisecond {
			t.Fatalf("the agreed time is off by %v", m)
		}
	})
}
