// Package retry implements retry and hedge budgets, so that retries do not add
// load to a failing system.
//
// The budget of a service applies to all gateways together. Each gateway has an
// [Allowance], which its own requests fill with credit; the leader's [Ledger]
// lends single retries beside it.
//
// An entry instance has budgets of its own: its retries are limited to a fraction
// of its recent successes. A [Budget] is an immutable value. Each update returns the new one:
//
//	budget = budget.Success(now)
//	budget, ok := budget.Spend(now)
package retry

import "time"

const (
	// Ratio is the fraction of a retry that one success earns.
	Ratio = 0.2
	// Floor is the number of retries earned per second regardless of successes,
	// so that a system with little traffic can retry at all.
	Floor = 2.0
	// MaxSaved limits the retries that can accumulate.
	MaxSaved = 50.0
	// HedgeRatio is the fraction of a hedge that one success earns.
	HedgeRatio = 0.05
	// HedgeMaxSaved limits the hedges that can accumulate.
	HedgeMaxSaved = 10.0
)

// Budget is a token bucket of retries, refilled by successes and by time.
type Budget struct {
	ratio    float64 // ratio is what one success earns.
	floor    float64 // floor is earned each second, regardless of successes.
	maxSaved float64
	saved    float64
	at       time.Time
}

// New returns a budget that starts with one second's worth of Floor.
func New(now time.Time) Budget {
	return Budget{ratio: Ratio, floor: Floor, maxSaved: MaxSaved, saved: Floor, at: now}
}

// NewHedges returns the budget of hedges. It is much smaller than that of
// retries: a retry follows a failure, while hedges are sent when a service is
// slow, possibly because of its load, and must not add to that load. See
// docs/design/0008-hedging.md for the effect of a larger one.
func NewHedges(now time.Time) Budget {
	return Budget{ratio: HedgeRatio, maxSaved: HedgeMaxSaved, saved: 1, at: now}
}

func (b Budget) refill(now time.Time) Budget {
	if d := now.Sub(b.at); d > 0 {
		b.saved = min(b.maxSaved, b.saved+b.floor*d.Seconds())
		b.at = now
	}
	return b
}

// Success adds what one success earns.
func (b Budget) Success(now time.Time) Budget {
	b = b.refill(now)
	b.saved = min(b.maxSaved, b.saved+b.ratio)
	return b
}

// Spend takes one retry from the budget and reports whether one was available.
func (b Budget) Spend(now time.Time) (Budget, bool) {
	b = b.refill(now)
	if b.saved < 1 {
		return b, false
	}
	b.saved--
	return b, true
}

// Saved returns the number of available retries.
func (b Budget) Saved() float64 { return b.saved }
