// Package clock tells times that go on while the machine is suspended.
//
// The steady clock, by which time.Now measures, stands still while a machine is suspended
// or moved. A lease, an expiry or an age that is measured by it seems to be as young
// behind such a pause as before, while everybody else has gone on. Times of this package
// count the pause. They carry no steady reading: they are compared with one another
// alone, by [Since], [Until] and the methods of time.Time, and neither with time.Now nor
// by time.Since. How long something took within the process, and the time-outs of timers and
// connections, are left to the steady clock.
package clock

import (
	"sync/atomic"
	"time"
)

// origin is the time of day at the start of the process, without a steady reading, and
// origin0 what the clock read then.
var (
	origin  = time.Now().Round(0)
	origin0 = read()
)

// skipped is by how much tests have the clock go on.
var skipped atomic.Int64

// Now returns the time.
func Now() time.Time { return origin.Add(read() - origin0 + time.Duration(skipped.Load())) }

// Since returns how long ago a time of this clock was.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns how long it is until a time of this clock.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Steady returns a time of this clock by the steady one, for the time-outs of connections.
func Steady(t time.Time) time.Time { return time.Now().Add(Until(t)) }

// Skip has the clock go on by a time that the steady one does not count, as behind a
// suspension. It is for tests.
func Skip(d time.Duration) { skipped.Add(int64(d)) }
