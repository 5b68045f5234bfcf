// Package quota keeps the quotas of workspaces over all gateways.
//
// A [Coordinator], on the control instance that leads, has a bucket for each
// workspace. A [Purse], one a gateway, asks it for a part of what the bucket
// holds, sized by recent use, and spends it. A part expires soon, so what is
// held anywhere never adds up to much more than the bound. A gateway that cannot
// reach the coordinator goes on with half of its even part of the rate.
//
// Both are pure: time comes in with each call.
package quota

import (
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// GrantLasts is how long a granted part may be used.
const GrantLasts = 800 * time.Millisecond

// Coordinator has the buckets of all workspaces.
type Coordinator struct {
	buckets map[string]*bucket
}

// bucket holds units; it fills at the quota's rate up to its burst.
type bucket struct {
	rate, burst, level float64
	at                 time.Time
}

// NewCoordinator returns a coordinator without buckets.
func NewCoordinator() *Coordinator { return &Coordinator{buckets: map[string]*bucket{}} }

// Configure puts the quotas of a configuration in force. A bucket that is new
// begins empty: an earlier coordinator may have given its burst away just now.
func (c *Coordinator) Configure(workspaces []protocol.Tenancy, now time.Time) {
	kept := map[string]*bucket{}
	for i := range workspaces {
		w := &workspaces[i]
		if w.Rate <= 0 {
			continue
		}
		b := c.buckets[w.Name]
		if b == nil {
			b = &bucket{at: now}
		}
		b.fill(now)
		b.rate, b.burst = w.Rate, max(w.Burst, w.Rate/10)
		b.level = min(b.level, b.burst)
		kept[w.Name] = b
	}
	c.buckets = kept
}

func (b *bucket) fill(now time.Time) {
	if d := now.Sub(b.at); d > 0 {
		b.level = min(b.burst, b.level+b.rate*d.Seconds())
		b.at = now
	}
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
	g.Units = max(0, min(w.Units, b.level))
	b.level -= g.Units
	if short := w.Units - g.Units; short > 0 {
		g.Wait = time.Duration(short / b.rate * float64(time.Second))
	}
	return g
}
