package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestBudget compares with a plain account: what was earned by the start, by
// successes and by time, less what was spent.
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
				if b.Saved() < 0 || b.Saved() > Most || spent > earned+1e-9 {
					t.Fatalf("saved %v, spent %v of %v", b.Saved(), spent, earned)
				}
			},
		})
	})
}

// TestBudgetStopsAStorm fails every request of a second: after the first few,
// nothing is retried any more.
func TestBudgetStopsAStorm(t *testing.T) {
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
		t.Errorf("%d of 1000 were retried, want 2 to 4", retried)
	}
}
