package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// read returns the time since the machine booted, suspensions included.
func read() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("read CLOCK_BOOTTIME: " + err.Error()) // Linux has this clock since 2.6.39.
	}
	return time.Duration(ts.Nano())
}
