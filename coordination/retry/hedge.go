package retry

import "time"

const (
	// hedgeQuantile is the part of the answers that come before a hedge is sent,
	// so that one call in twenty is sent twice.
	hedgeQuantile = 0.95
	// hedgeStep is how far one answer moves the delay, as a part of it.
	hedgeStep = 0.05
	// FirstHedge is the delay before any answer was seen.
	FirstHedge = 50 * time.Millisecond
	leastHedge = time.Millisecond
	mostHedge  = 2 * time.Second
)

// HedgeDelay follows how long nearly all answers of a service take. It keeps
// one number: an answer that took longer raises it by much, one that took less
// lowers it by little, in the proportion that balances at the quantile.
//
//	delay = delay.Observe(took)
//	wait := delay.Wait()
type HedgeDelay struct{ wait time.Duration }

// Wait returns how long to wait for an answer before the call is sent to
// another replica as well.
func (d HedgeDelay) Wait() time.Duration {
	if d.wait == 0 {
		return FirstHedge
	}
	return d.wait
}

// Observe returns the delay after an answer that took so long.
func (d HedgeDelay) Observe(took time.Duration) HedgeDelay {
	step := hedgeStep * float64(d.Wait())
	move := -step * (1 - hedgeQuantile)
	if took > d.Wait() {
		move = step * hedgeQuantile
	}
	return HedgeDelay{wait: min(mostHedge, max(leastHedge, d.Wait()+time.Duration(move)))}
}
