package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestBudget checks that the retries spent never exceed those earned initially,
// by successes and by time.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		b := New(now)
		earned, spent := Floor, 0.0
		t.Repeat(map[string]func(*rapid.T){
			"success": func(*rapid.T) {
				b = b.Success(now)
				earned += Ratio
			},
			"spend": func(*rapid.T) {
				var ok bool
				if b, ok = b.Spend(now); ok {
					spent++
				}
			},
			"time": func(t *rapid.T) {
				d := time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond
				now = now.Add(d)
				earned += Floor * d.Seconds()
			},
			"": func(t *rapid.T) {
				if b.Saved() < 0 || b.Saved() > MaxSaved || spent > earned+1e-9 {
					t.Fatalf("saved %v, spent %v of %v earned", b.Saved(), spent, earned)
				}
			},
		})
	})
}

// TestBudgetPreventsRetryStorm fails every request for one second: only the first
// few are retried.
func TestBudgetPreventsRetryStorm(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(now)
	retried := 0
	for range 1000 {
		now = now.Add(time.Millisecond)
		var ok bool
		if b, ok = b.Spend(now); ok {
			retried++
		}
	}
	if retried < 2 || retried > 4 {
		t.Errorf("%d of 1000 requests were retried, want 2 to 4", retried)
	}
}
