package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// read returns the time since the machine was started, suspensions included.
func read() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("no clock that counts suspensions: " + err.Error()) // Linux has had it since 2.6.39.
	}
	return time.Duration(ts.Nano())
}
