package usage

import (
	"slices"
	"time"
)

// Clock provides the wall-clock time by which requests are assigned to windows.
// The system's wall clock may jump and may differ between instances, but windows
// have to be the same on all of them. A Clock therefore advances with the
// monotonic clock from its start, and uses the time that most instances agree on
// if its own is far off.
type Clock struct {
	start      time.Time
	correction time.Duration
}

// maxSkew is the largest difference that message latency and normal clock skew
// can explain.
const maxSkew = 250 * time.Millisecond

// NewClock returns a clock that starts at the given wall-clock time.
func NewClock(start time.Time) *Clock { return &Clock{start: start.Round(0)} }

// Local returns the wall-clock time at a duration since the start, by this
// instance's clock alone.
func (c *Clock) Local(since time.Duration) time.Time { return c.start.Add(since) }

// Now returns the wall-clock time at a duration since the start, corrected to the
// time agreed on.
func (c *Clock) Now(since time.Duration) time.Time { return c.Local(since).Add(c.correction) }

// SetAgreed sets the wall-clock time that most instances agree on. A difference
// below maxSkew is ignored.
func (c *Clock) SetAgreed(agreed time.Time, since time.Duration) {
	if agreed.IsZero() {
		return // No agreed time was received.
	}
	c.correction = agreed.Sub(c.Local(since))
	if c.correction.Abs() < maxSkew {
		c.correction = 0
	}
}

// Median returns the median of differences between clocks, or 0 if there are
// none. It tolerates arbitrary errors in fewer than half of them.
func Median(differences []time.Duration) time.Duration {
	if len(differences) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(differences))
	return sorted[len(sorted)/2]
}
