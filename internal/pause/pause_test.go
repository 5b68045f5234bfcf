package pause_test

import (
	"context"
	"testing"
	"time"

	"github.com/weldstream/weldstream/internal/pause"
)

func TestUntil(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	cut := make(chan struct{}, 1)
	cut <- struct{}{}
	for _, tc := range []struct {
		name string
		ctx  context.Context
		d    time.Duration
		cut  chan struct{}
		want bool
	}{
		{"the time passes", context.Background(), time.Millisecond, nil, true},
		{"no time", context.Background(), 0, nil, true},
		{"the context ends", ended, time.Hour, nil, false},
		{"no time after the context", ended, 0, nil, false},
		{"cut short", context.Background(), time.Hour, cut, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := pause.Until(tc.ctx, tc.d, tc.cut); got != tc.want {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}
