package pause_test

import (
	"context"
	"testing"
	"time"

	"github.com/weldstream/weldstream/internal/pause"
)

// TestUntil checks what Until returns for each way in which a wait ends.
func TestUntil(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	wake := make(chan struct{}, 1)
	wake <- struct{}{}
	for _, tc := range []struct {
		name string
		ctx  context.Context
		d    time.Duration
		wake chan struct{}
		want bool
	}{
		{"duration elapses", context.Background(), time.Millisecond, nil, true},
		{"zero duration", context.Background(), 0, nil, true},
		{"context ended", ended, time.Hour, nil, false},
		{"zero duration, context ended", ended, 0, nil, false},
		{"woken early", context.Background(), time.Hour, wake, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := pause.Until(tc.ctx, tc.d, tc.wake); got != tc.want {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}
