package transport

import (
	"sync"
	"time"

	"github.com/weldstream/weldstream/coordination/retry"
)

// budgetBox shares the retry budget between exchanges.
type budgetBox struct {
	mu     sync.Mutex
	budget retry.Budget
}

func (b *budgetBox) success(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget = b.budget.Success(now)
}

// spend takes one resend out of the budget and reports whether there was one.
func (b *budgetBox) spend(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ok bool
	b.budget, ok = b.budget.Spend(now)
	return ok
}

// hedgeBox shares each plain service's hedge delay between exchanges, and the
// budget of hedges. Its lock is the budget's.
type hedgeBox struct {
	budgetBox
	delays map[string]retry.HedgeDelay
}

func (b *hedgeBox) wait(service string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.delays[service].Wait()
}

func (b *hedgeBox) observe(service string, took time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget = b.budget.Success(now)
	b.delays[service] = b.delays[service].Observe(took)
}
