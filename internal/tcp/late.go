package tcp

import "time"

// lateThreshold separates a running process from one that was stopped: pauses of the
// scheduler and the garbage collector are far shorter, and those of a machine that is
// migrated or frozen last seconds.
const lateThreshold = 250 * time.Millisecond

// Late reports whether a time-out due at end is noticed so late that this process itself
// must have been stopped. Such a time-out says nothing about the peer, which may have made
// progress meanwhile; acting on it would close every waiting connection at once.
func Late(end, now time.Time) bool { return now.Sub(end) > lateThreshold }
