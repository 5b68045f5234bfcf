// Package pause waits, for no longer than a context lasts.
package pause

import (
	"context"
	"time"
)

// For waits for a time, or until ctx ends if that is earlier. It reports false
// where ctx ended.
func For(ctx context.Context, d time.Duration) bool { return Until(ctx, d, nil) }

// Until waits like [For], and no longer than until cut delivers. A nil cut never
// does.
func Until(ctx context.Context, d time.Duration, cut <-chan struct{}) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-cut:
	case <-ctx.Done():
		return false
	}
	return true
}
