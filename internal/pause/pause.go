// Package pause provides sleeps that end with a context.
package pause

import (
	"context"
	"time"
)

// For waits for d, or until ctx ends if that is earlier. It returns false if ctx
// ended.
func For(ctx context.Context, d time.Duration) bool { return Until(ctx, d, nil) }

// Until waits like [For] and also returns, with true, as soon as wake can be received
// from. A nil wake never ends the wait.
func Until(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	case <-ctx.Done():
		return false
	}
	return true
}
