package tcp

import "time"

// lateTime is how much later than it was set for a time-out of a running process is
// noticed at most: pauses of the scheduler and the collector are far shorter, and those
// of a machine that is moved or frozen are seconds.
const lateTime = 250 * time.Millisecond

// Late reports whether a time-out that was set for end is noticed so late that the process
// itself stood still. It says nothing of the other side then, which may have moved
// meanwhile: each connection that waits would be given up at once.
func Late(end, now time.Time) bool { return now.Sub(end) > lateTime }
