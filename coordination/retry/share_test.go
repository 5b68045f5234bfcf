package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestSharesStayWithinBudget checks that all gateways together, one of which
// restarts, never retry more than the budget of any window allows.
func TestSharesStayWithinBudget(t *testing.T) {
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
		var requests, retries []time.Time
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
					retries = append(retries, now)
				}
			}
		}
		for _, from := range retries {
			// A window's budget may follow from the requests of the preceding one.
			requested := max(within(requests, from, window), within(requests, from.Add(-window), window))
			if n := within(retries, from, window); float64(n) > ratio*float64(requested)+extra {
				t.Fatalf("%d retries for %d requests in a window exceed the budget", n, requested)
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

// TestRetriesDoNotAccumulate checks that retries earned in one window are not
// available in a later one.
func TestRetriesDoNotAccumulate(t *testing.T) {
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
		t.Errorf("%d retries are available two windows later, want at most 10", spent)
	}
}
