// Package quota keeps the quotas of workspaces over all gateways.
//
// A [Coordinator], on the control instance that leads, has a bucket for each
// workspace. An [Allowance], one a gateway, asks it for a part of what the bucket
// holds, sized by recent use, and spends it. A part expires soon, so what is
// held anywhere never adds up to much more than the bound. A gateway that cannot
// reach the coordinator goes on with half of its even part of the rate.
//
// Both are pure: time comes in with each call.
package quota

import (
	"slices"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// GrantLifetime is how long a granted part may be used.
const GrantLifetime = 800 * time.Millisecond

// Coordinator has the buckets of all workspaces.
type Coordinator struct {
	window  time.Duration
	quiet   time.Duration // quiet is for how long nothing was granted before.
	buckets map[string]*bucket
}

// bucket holds units. A quota allows its rate times the window, plus its burst,
// in any window. The bucket holds the burst; it fills by a little more than the
// rate, so that a workspace that asks for more than its quota gets all of it in each
// window, and what was granted in the last window bounds both.
type bucket struct {
	rate  float64 // rate is the quota's, in units a second.
	size  float64 // size is what the bucket holds at the most.
	level float64 // level may be below 0 after a large request.
	at    time.Time
	whole time.Time // whole is when recent covers a whole window.
	queue float64   // queue is what was refused and may come back, less what there was room for since.
	recent
}

const (
	// spreadPart of the burst is spread over the window and fills the bucket beside
	// the rate.
	spreadPart = 0.6
	// debt is how far ahead a request may take, so that a large one is let in as
	// often as a small one.
	debt = 600 * time.Millisecond
	// changeTime is how long nobody grants anything while the coordinator changes, at
	// the least.
	changeTime = 300 * time.Millisecond
	// leastWait is the least time after which a gateway may ask again.
	leastWait = time.Millisecond
)

// CoordinatorOption changes a new coordinator.
type CoordinatorOption func(*Coordinator)

// WithGrantPause sets for how long no coordinator can have granted anything. While all
// instances are off, callers wait, and come at once when they are back: buckets that
// began with what the rate gave in changeTime refused 1,500 tries in the second
// after 295 gateways were off for 1.5 s.
func WithGrantPause(quiet time.Duration) CoordinatorOption {
	return func(c *Coordinator) { c.quiet = max(quiet, changeTime) }
}

// NewCoordinator returns a coordinator without buckets, of quotas that are
// bounded in windows of a length.
func NewCoordinator(window time.Duration, opts ...CoordinatorOption) *Coordinator {
	c := &Coordinator{window: window, quiet: changeTime, buckets: map[string]*bucket{}}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Configure puts the quotas of a configuration in force. A bucket that is new
// begins with what its rate gave in the time in which nothing was granted: an earlier
// coordinator may have given the rest away just before.
func (c *Coordinator) Configure(workspaces []protocol.WorkspaceSpec, now time.Time) {
	kept := map[string]*bucket{}
	for i := range workspaces {
		w := &workspaces[i]
		if w.Rate <= 0 {
			continue
		}
		b := c.buckets[w.Name]
		if b == nil {
			b = &bucket{at: now, level: w.Rate * c.quiet.Seconds(), whole: now.Add(c.window), recent: newRecent(c.window)}
		}
		b.fill(now)
		b.rate, b.size = w.Rate, max(w.Burst, w.Rate/10)
		b.level = min(b.level, b.size)
		b.most = w.Rate*c.window.Seconds() + b.size
		kept[w.Name] = b
	}
	c.buckets = kept
}

func (b *bucket) fill(now time.Time) {
	if d := now.Sub(b.at); d > 0 {
		b.queue = max(0, b.queue-b.pace(now)*d.Seconds())
		b.level = min(b.size, b.level+b.pace(now)*d.Seconds())
		b.at = now
	}
}

// pace is by how much the bucket fills in a second. It is the rate alone until all
// that was granted in the last window is known: an earlier coordinator may have
// granted the burst.
func (b *bucket) pace(now time.Time) float64 {
	if now.Before(b.whole) {
		return b.rate
	}
	return b.rate + spreadPart*b.size/b.window.Seconds()
}

// take grants some units, or as many as there are.
func (b *bucket) take(units float64, now time.Time) float64 {
	if b.level <= 0 {
		return 0
	}
	units = min(units, b.level+b.rate*debt.Seconds(), b.room(now))
	b.level -= units
	b.add(units, now)
	return units
}

// spent notes units that a gateway spent without a part: the bucket may owe them.
func (b *bucket) spent(units float64, now time.Time) {
	b.level -= units
	b.add(units, now)
}

// wait is how long it takes until some more units are there, behind all that were
// refused before and may come back: each caller gets another moment. For a workspace
// that asks for several times its quota that is seconds; one that came back at once
// would only be refused again. After a whole window everything may be different.
func (b *bucket) wait(units float64, now time.Time) time.Duration {
	units += b.queue
	filled := time.Duration((units - min(0, b.level)) / b.pace(now) * float64(time.Second))
	return min(b.window, max(leastWait, filled, b.free(units, now)))
}

// Short returns the workspaces of whose quota little is left right now, sorted.
func (c *Coordinator) Short(now time.Time) []string {
	var names []string
	for name, b := range c.buckets {
		b.fill(now)
		if b.level < b.size/2 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Grant returns a part of a workspace's quota, and where it falls short, when
// more is to be had.
func (c *Coordinator) Grant(w protocol.QuotaRequest, now time.Time) protocol.QuotaGrant {
	g := protocol.QuotaGrant{Workspace: w.Workspace, Lasts: GrantLifetime}
	b := c.buckets[w.Workspace]
	if b == nil {
		return g
	}
	b.fill(now)
	b.level = min(b.size, b.level+max(0, w.Back))
	b.back(max(0, w.Back))
	b.spent(max(0, w.Alone), now)
	g.Units = b.take(w.Units, now)
	if short := w.Units - g.Units; short > 0 {
		g.Wait = b.wait(short, now)
		b.queue += min(short, w.Waiting)
	}
	return g
}
