package transport

import (
	"sync"
	"time"

	"github.com/weldstream/weldstream/coordination/retry"
)

// sharedBudget guards the retry budget that all exchanges share.
type sharedBudget struct {
	mu     sync.Mutex
	budget retry.Budget
}

func (b *sharedBudget) recordSuccess(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget = b.budget.Success(now)
}

// spend takes one retry from the budget and reports whether one was left.
func (b *sharedBudget) spend(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ok bool
	b.budget, ok = b.budget.Spend(now)
	return ok
}

// sharedHedging guards the hedge delay of each plain service and the hedge budget,
// which all exchanges share. The embedded budget's mutex guards both.
type sharedHedging struct {
	sharedBudget
	delays map[string]retry.HedgeDelay
}

func (b *sharedHedging) delay(service string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.delays[service].Wait()
}

func (b *sharedHedging) observe(service string, took time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget = b.budget.Success(now)
	b.delays[service] = b.delays[service].Observe(took)
}
