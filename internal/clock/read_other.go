//go:build !linux

package clock

import "time"

// started carries a monotonic reading.
var started = time.Now()

// read returns the time since the process started. Whether it includes suspensions depends
// on the system's monotonic clock; no other clock is available here.
func read() time.Duration { return time.Since(started) }
