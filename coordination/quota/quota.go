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

// GrantLasts is how long a granted part may be used.
const GrantLasts = 800 * time.Millisecond

// Coordinator has the buckets of all workspaces.
type Coordinator struct {
	window  time.Duration
	buckets map[string]*bucket
}

// bucket holds units. A quota allows its rate times the window, plus its burst,
// in any window. So the bucket fills at the rate and a part of the burst spread
// over the window, and holds the rest of the burst: both together are the bound.
type bucket struct {
	rate  float64 // rate is in units a second, the spread part of the burst with it.
	size  float64 // size is what the bucket holds at the most.
	level float64 // level may be below 0 after a large request.
	at    time.Time
}

const (
	// spreadPart of the burst fills the bucket, the rest is its size.
	spreadPart = 0.6
	// debt is how far ahead a request may take, so that a large one is let in as
	// often as a small one.
	debt = 600 * time.Millisecond
	// changeTime is how long nobody grants anything while the coordinator changes.
	changeTime = 300 * time.Millisecond
	// leastWait is the least time after which a gateway may ask again.
	leastWait = time.Millisecond
)

// NewCoordinator returns a coordinator without buckets, of quotas that are
// bounded in windows of a length.
func NewCoordinator(window time.Duration) *Coordinator {
	return &Coordinator{window: window, buckets: map[string]*bucket{}}
}

// Configure puts the quotas of a configuration in force. A bucket that is new
// begins with what its rate gave in the time that a change of the coordinator
// takes: an earlier one may have given the rest away just now.
func (c *Coordinator) Configure(workspaces []protocol.Tenancy, now time.Time) {
	kept := map[string]*bucket{}
	for i := range workspaces {
		w := &workspaces[i]
		if w.Rate <= 0 {
			continue
		}
		b := c.buckets[w.Name]
		if b == nil {
			b = &bucket{at: now, level: w.Rate * changeTime.Seconds()}
		}
		b.fill(now)
		b.rate, b.size = w.Rate+spreadPart*w.Burst/c.window.Seconds(), max((1-spreadPart)*w.Burst, w.Rate/10)
		kept[w.Name] = b
	}
	c.buckets = kept
}

func (b *bucket) fill(now time.Time) {
	if d := now.Sub(b.at); d > 0 {
		b.level = min(b.size, b.level+b.rate*d.Seconds())
		b.at = now
	}
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
func (c *Coordinator) Grant(w protocol.QuotaWant, now time.Time) protocol.QuotaGrant {
	g := protocol.QuotaGrant{Workspace: w.Workspace, Lasts: GrantLasts}
	b := c.buckets[w.Workspace]
	if b == nil {
		return g
	}
	b.fill(now)
	b.level = min(b.size, b.level+max(0, w.Back))
	if b.level > 0 {
		g.Units = min(w.Units, b.level+b.rate*debt.Seconds())
		b.level -= g.Units
	}
	if short := w.Units - g.Units; short > 0 {
		g.Wait = max(leastWait, time.Duration((short-min(0, b.level))/b.rate*float64(time.Second)))
	}
	return g
}
