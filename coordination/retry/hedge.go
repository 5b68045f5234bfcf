package retry

import "time"

const (
	// hedgeQuantile is the fraction of answers that arrive before the hedge delay,
	// so that one call in twenty is hedged.
	hedgeQuantile = 0.95
	// hedgeStepFraction scales the adjustment that one answer makes, as a fraction
	// of the delay.
	hedgeStepFraction = 0.05
	// InitialHedgeDelay is the delay before the first observation.
	InitialHedgeDelay = 50 * time.Millisecond
	minHedgeDelay     = time.Millisecond
	maxHedgeDelay     = 2 * time.Second
)

// HedgeDelay is a streaming estimate of a high quantile of a service's response
// time. It keeps one number: a slower answer raises it by a large step, a faster
// one lowers it by a small step, in the ratio that balances at the quantile.
//
//	delay = delay.Observe(took)
//	wait := delay.Wait()
type HedgeDelay struct{ delay time.Duration }

// Wait returns how long to wait for an answer before sending a hedge to another
// replica.
func (d HedgeDelay) Wait() time.Duration {
	if d.delay == 0 {
		return InitialHedgeDelay
	}
	return d.delay
}

// Observe returns the delay updated with the response time of one answer.
func (d HedgeDelay) Observe(took time.Duration) HedgeDelay {
	step := hedgeStepFraction * float64(d.Wait())
	adjustment := -step * (1 - hedgeQuantile)
	if took > d.Wait() {
		adjustment = step * hedgeQuantile
	}
	return HedgeDelay{delay: min(maxHedgeDelay, max(minHedgeDelay, d.Wait()+time.Duration(adjustment)))}
}
