package control

import (
	"context"
	"sync/atomic"

	"github.com/weldstream/weldstream/protocol"
)

// CallTracker is a [Source] that knows whether a call which changes something is under way:
// leadership does not move meanwhile.
type CallTracker struct {
	source Source
	open   atomic.Int64
}

// NewCallTracker returns a source that passes everything on to another one.
func NewCallTracker(s Source) *CallTracker { return &CallTracker{source: s} }

// Busy reports whether a report or an order is under way.
func (c *CallTracker) Busy() bool { return c.open.Load() > 0 }

// List implements [Source].
func (c *CallTracker) List(ctx context.Context) (list []protocol.Instance, calls int, err error) {
	return c.source.List(ctx)
}

// Report implements [Source].
func (c *CallTracker) Report(ctx context.Context, d Duty, window int64, counts map[string]int64) error {
	c.open.Add(1)
	defer c.open.Add(-1)
	return c.source.Report(ctx, d, window, counts)
}

// Order implements [Source].
func (c *CallTracker) Order(ctx context.Context, d Duty, o Order) error {
	c.open.Add(1)
	defer c.open.Add(-1)
	return c.source.Order(ctx, d, o)
}
