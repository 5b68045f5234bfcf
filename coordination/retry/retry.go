// Package retry holds the retry budget: retries are a part of the recent
// successes, so that a failing system is not loaded further by its own
// retries.
//
// A [Budget] is a value. Each update returns the new one:
//
//	budget = budget.Success(now)
//	budget, ok := budget.Spend(now)
package retry

import "time"

const (
	// Ratio is the part of a retry that one success earns.
	Ratio = 0.2
	// Floor is how many retries a second are earned whatever the successes, so
	// that a quiet system can retry at all.
	Floor = 2.0
	// Most bounds what can be saved up.
	Most = 50.0
	// HedgeRatio is the part of a hedge that one success earns.
	HedgeRatio = 0.05
	// HedgeMost bounds the hedges that can be saved up.
	HedgeMost = 10.0
)

// Budget is the number of retries that may be made now.
type Budget struct {
	ratio float64 // ratio is what one success earns.
	floor float64 // floor is earned each second, whatever the successes.
	most  float64
	saved float64
	at    time.Time
}

// New returns a budget with a second's floor in it.
func New(now time.Time) Budget {
	return Budget{ratio: Ratio, floor: Floor, most: Most, saved: Floor, at: now}
}

// NewHedges returns the budget of hedges. It is far smaller than that of
// retries: a retry answers a failure, while hedges come when a service is slow,
// which may be because of its load, and must not add to that. See
// docs/design/0008-hedging.md for what a larger one does.
func NewHedges(now time.Time) Budget {
	return Budget{ratio: HedgeRatio, most: HedgeMost, saved: 1, at: now}
}

func (b Budget) refill(now time.Time) Budget {
	if d := now.Sub(b.at); d > 0 {
		b.saved = min(b.most, b.saved+b.floor*d.Seconds())
		b.at = now
	}
	return b
}

// Success adds what one success earns.
func (b Budget) Success(now time.Time) Budget {
	b = b.refill(now)
	b.saved = min(b.most, b.saved+b.ratio)
	return b
}

// Spend takes one retry out and reports whether there was one.
func (b Budget) Spend(now time.Time) (Budget, bool) {
	b = b.refill(now)
	if b.saved < 1 {
		return b, false
	}
	b.saved--
	return b, true
}

// Saved returns how many retries are left.
func (b Budget) Saved() float64 { return b.saved }
