// Package quota enforces the quotas of workspaces across all gateways.
//
// A [Coordinator] runs on the control instance that leads and holds a token bucket for each
// workspace. Each gateway has an [Allowance], which leases units from these buckets, sized
// by recent use, and spends them. A lease expires soon, so the units leased by all gateways
// never exceed the bound by much. A gateway that cannot reach the coordinator falls back to
// its allotted part of half of the rate, or to its recent use.
//
// Both types are deterministic: the time is an argument of each call.
package quota

import (
	"slices"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// GrantLifetime is how long granted units may be spent.
const GrantLifetime = 800 * time.Millisecond

// Coordinator holds the buckets of all workspaces.
type Coordinator struct {
	window     time.Duration
	grantPause time.Duration // grantPause is how long nothing was granted before this coordinator started.
	buckets    map[string]*bucket
}

// bucket is the token bucket of a workspace. A quota allows, in any window, its rate times
// the window plus its burst. The bucket holds up to the burst and refills slightly faster
// than the rate, so that a workspace that demands more than its quota receives all of it in
// each window. The limit on the grants of the last window bounds both.
type bucket struct {
	rate         float64 // rate is the quota's rate in units a second.
	capacity     float64 // capacity is the largest level.
	level        float64 // level can be negative after a large request.
	updatedAt    time.Time
	fullWindowAt time.Time // fullWindowAt is when slidingWindow covers a whole window.
	queued       float64   // queued counts the units refused to requests that are expected to return, less the units refilled since.
	slidingWindow
}

const (
	// burstRefillShare is the fraction of the burst by which the bucket refills per window,
	// on top of the rate.
	burstRefillShare = 0.6
	// debtTime is how far ahead of the refill a single request may take units, so that
	// large requests are admitted as often as small ones.
	debtTime = 600 * time.Millisecond
	// minGrantPause is the shortest time without grants when the coordinator changes.
	minGrantPause = 300 * time.Millisecond
	// minWait is the shortest time after which a gateway may ask again.
	minWait = time.Millisecond
)

// CoordinatorOption configures a new coordinator.
type CoordinatorOption func(*Coordinator)

// WithGrantPause sets for how long no coordinator can have granted anything. While all
// instances are down, callers wait, and they return all at once when the instances are
// back. Buckets that started with only the refill of minGrantPause refused 1,500 requests
// in the second after 295 gateways had been down for 1.5 s.
func WithGrantPause(pause time.Duration) CoordinatorOption {
	return func(c *Coordinator) { c.grantPause = max(pause, minGrantPause) }
}

// NewCoordinator returns a coordinator without buckets for quotas that apply to windows of
// the given length.
func NewCoordinator(window time.Duration, opts ...CoordinatorOption) *Coordinator {
	c := &Coordinator{window: window, grantPause: minGrantPause, buckets: map[string]*bucket{}}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Configure applies the quotas of a configuration. A new bucket starts with the refill of
// the time without grants: an earlier coordinator may have granted the rest just before.
func (c *Coordinator) Configure(workspaces []protocol.WorkspaceSpec, now time.Time) {
	kept := map[string]*bucket{}
	for i := range workspaces {
		w := &workspaces[i]
		if w.Rate <= 0 {
			continue
		}
		b := c.buckets[w.Name]
		if b == nil {
			b = &bucket{updatedAt: now, level: w.Rate * c.grantPause.Seconds(), fullWindowAt: now.Add(c.window), slidingWindow: newSlidingWindow(c.window)}
		}
		b.fill(now)
		b.rate, b.capacity = w.Rate, max(w.Burst, w.Rate/10)
		b.level = min(b.level, b.capacity)
		b.limit = w.Rate*c.window.Seconds() + b.capacity
		kept[w.Name] = b
	}
	c.buckets = kept
}

func (b *bucket) fill(now time.Time) {
	if d := now.Sub(b.updatedAt); d > 0 {
		b.queued = max(0, b.queued-b.fillRate(now)*d.Seconds())
		b.level = min(b.capacity, b.level+b.fillRate(now)*d.Seconds())
		b.updatedAt = now
	}
}

// fillRate returns the refill in units a second. It is the plain rate until the grants of a
// whole window are known, because an earlier coordinator may have granted the burst.
func (b *bucket) fillRate(now time.Time) float64 {
	if now.Before(b.fullWindowAt) {
		return b.rate
	}
	return b.rate + burstRefillShare*b.capacity/b.window.Seconds()
}

// take grants the requested units, or as many as are available.
func (b *bucket) take(units float64, now time.Time) float64 {
	if b.level <= 0 {
		return 0
	}
	units = min(units, b.level+b.rate*debtTime.Seconds(), b.remaining(now))
	b.level -= units
	b.add(units, now)
	return units
}

// debit records units that a standalone gateway spent without a grant. It can take the
// level below zero.
func (b *bucket) debit(units float64, now time.Time) {
	b.level -= units
	b.add(units, now)
}

// wait returns how long it takes until the units are available, after all units that were
// refused earlier and may be requested again. Each caller therefore gets a different time.
// A workspace that demands several times its quota waits for seconds; a caller that
// returned immediately would only be refused again. The wait is limited to one window,
// because the demand can change by then.
func (b *bucket) wait(units float64, now time.Time) time.Duration {
	units += b.queued
	filled := time.Duration((units - min(0, b.level)) / b.fillRate(now) * float64(time.Second))
	return min(b.window, max(minWait, filled, b.timeUntil(units, now)))
}

// Short returns the workspaces with less than half of their bucket left, sorted.
func (c *Coordinator) Short(now time.Time) []string {
	var names []string
	for name, b := range c.buckets {
		b.fill(now)
		if b.level < b.capacity/2 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Grant returns the units granted to a gateway for a workspace, and if they fall short, the
// time until more are available.
func (c *Coordinator) Grant(w protocol.QuotaRequest, now time.Time) protocol.QuotaGrant {
	g := protocol.QuotaGrant{Workspace: w.Workspace, Lasts: GrantLifetime}
	b := c.buckets[w.Workspace]
	if b == nil {
		return g
	}
	b.fill(now)
	b.level = min(b.capacity, b.level+max(0, w.Back))
	b.refund(max(0, w.Back))
	b.debit(max(0, w.Alone), now)
	g.Units = b.take(w.Units, now)
	if missing := w.Units - g.Units; missing > 0 {
		g.Wait = b.wait(missing, now)
		b.queued += min(missing, w.Waiting)
	}
	return g
}
