package usage

import (
	"slices"
	"time"
)

// Clock tells the time of day by which requests are counted into windows. The
// machine's time of day may jump, and differ from that of others, while windows
// are to mean the same everywhere. So a clock goes by the steady clock since its
// start, and takes the time that most instances agree on if its own is far off.
type Clock struct {
	start time.Time
	shift time.Duration
}

// farOff is a difference that neither the way of a message nor the usual spread
// of clocks explains.
const farOff = 250 * time.Millisecond

// NewClock returns a clock that starts at a time of day.
func NewClock(start time.Time) *Clock { return &Clock{start: start.Round(0)} }

// Local returns the time of day some time after the start, as this instance alone
// knows it.
func (c *Clock) Local(since time.Duration) time.Time { return c.start.Add(since) }

// Now returns the time of day some time after the start.
func (c *Clock) Now(since time.Duration) time.Time { return c.Local(since).Add(c.shift) }

// SetAgreed takes the time of day that most instances agree on.
func (c *Clock) SetAgreed(at time.Time, since time.Duration) {
	if at.IsZero() {
		return // None was received.
	}
	c.shift = at.Sub(c.Local(since))
	if c.shift.Abs() < farOff {
		c.shift = 0
	}
}

// Median returns the middle one of some differences between clocks, 0 without
// any. Fewer than half of them may be wrong by any amount.
func Median(differences []time.Duration) time.Duration {
	if len(differences) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(differences))
	return sorted[len(sorted)/2]
}
