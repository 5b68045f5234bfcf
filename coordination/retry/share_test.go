package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestShareKeepsToTheBudget checks that all gateways together, one of them
// started anew, retry at most what the budget of any window allows.
func TestShareKeepsToTheBudget(t *testing.T) {
	const (
		ratio, extra = 0.2, 56
		window       = 10 * time.Second
		gateways     = 8
	)
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_700_000_000, 0)
		var shares []*Share
		for range gateways {
			shares = append(shares, NewShare(ratio, extra, window, gateways, now))
		}
		restart := rapid.IntRange(0, 300).Draw(t, "restart")
		var requests, spent []time.Time
		for step := range 600 {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "pause")) * time.Millisecond)
			i := rapid.IntRange(0, gateways-1).Draw(t, "gateway")
			if step == restart {
				shares[i] = NewShare(ratio, extra, window, gateways, now)
			}
			shares[i].Request(now)
			requests = append(requests, now)
			for range rapid.IntRange(0, 2).Draw(t, "tries") {
				if shares[i].Spend(now) {
					spent = append(spent, now)
				}
			}
		}
		for _, from := range spent {
			// A window may count the requests of the one before it.
			asked := max(within(requests, from, window), within(requests, from.Add(-window), window))
			if n := within(spent, from, window); float64(n) > ratio*float64(asked)+extra {
				t.Fatalf("%d retries for %d requests in a window", n, asked)
			}
		}
	})
}

func within(times []time.Time, from time.Time, window time.Duration) int {
	n := 0
	for _, t := range times {
		if d := t.Sub(from); d >= 0 && d < window {
			n++
		}
	}
	return n
}

// TestNothingIsSavedUp checks that retries earned in one window do not add to
// those of a later one.
func TestNothingIsSavedUp(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	s := NewShare(0.2, 10, time.Second, 1, now)
	for range 1000 {
		s.Request(now)
	}
	now = now.Add(2 * time.Second)
	spent := 0
	for s.Spend(now) {
		spent++
	}
	if spent > 10 {
		t.Errorf("%d retries are left of an earlier window", spent)
	}
}
