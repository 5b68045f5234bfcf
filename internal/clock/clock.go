// Package clock provides a clock that keeps running while the machine is suspended.
//
// The monotonic clock behind time.Now stops while a machine is suspended or migrated. A
// lease, an expiry or an age measured with it appears no older after such a pause, while
// time has passed for all other machines. The clock of this package counts the pause. Its
// times carry no monotonic reading: compare them only with one another, by [Since], [Until]
// and the methods of time.Time, never with time.Now or by time.Since. Durations within the
// process, and the time-outs of timers and connections, use the monotonic clock.
package clock

import (
	"sync/atomic"
	"time"
)

// origin is the time of day at the start of the process, without a monotonic reading, and
// originReading is what read returned at that moment.
var (
	origin        = time.Now().Round(0)
	originReading = read()
)

// testOffset is the time by which tests have advanced the clock.
var testOffset atomic.Int64

// Now returns the current time of this clock.
func Now() time.Time { return origin.Add(read() - originReading + time.Duration(testOffset.Load())) }

// Since returns the time elapsed since t, a time of this clock.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the duration until t, a time of this clock.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Monotonic converts a time of this clock to one with a monotonic reading, as the deadlines
// of connections need.
func Monotonic(t time.Time) time.Time { return time.Now().Add(Until(t)) }

// Skip advances the clock by d and leaves the monotonic clock as it is, as a suspension
// does. It is for tests.
func Skip(d time.Duration) { testOffset.Add(int64(d)) }
