//go:build !linux

package clock

import "time"

// started carries a steady reading.
var started = time.Now()

// read returns the time since the process was started; some systems' steady clocks count
// suspensions, and there is no other one.
func read() time.Duration { return time.Since(started) }
