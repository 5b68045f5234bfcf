package control

import (
	"context"
	"sync/atomic"

	"github.com/weldstream/weldstream/protocol"
)

// CallTracker is a [Source] that tracks whether a call that has side effects is in
// progress. Leadership is not handed over during such a call.
type CallTracker struct {
	source     Source
	inProgress atomic.Int64
}

// NewCallTracker returns a source that forwards all calls to s.
func NewCallTracker(s Source) *CallTracker { return &CallTracker{source: s} }

// Busy reports whether a report or an order is in progress.
func (c *CallTracker) Busy() bool { return c.inProgress.Load() > 0 }

// List implements [Source].
func (c *CallTracker) List(ctx context.Context) (list []protocol.Instance, calls int, err error) {
	return c.source.List(ctx)
}

// Report implements [Source].
func (c *CallTracker) Report(ctx context.Context, d Duty, window int64, counts map[string]int64) error {
	c.inProgress.Add(1)
	defer c.inProgress.Add(-1)
	return c.source.Report(ctx, d, window, counts)
}

// Order implements [Source].
func (c *CallTracker) Order(ctx context.Context, d Duty, o Order) error {
	c.inProgress.Add(1)
	defer c.inProgress.Add(-1)
	return c.source.Order(ctx, d, o)
}
