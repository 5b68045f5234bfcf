package transport

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/weldstream/weldstream/coordination/limit"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/state"
)

// TestGrantRequestRateIsLimited keeps requests waiting, each of which starts a
// round immediately. The coordinator must still not be asked more often than once
// per quarter of the interval, however fast the machine is.
func TestGrantRequestRateIsLimited(t *testing.T) {
	tables := state.NewTables()
	tables.Backends.SetList([]protocol.Instance{{ID: "e", Kind: protocol.InstanceEngine}}, time.Now())
	tables.Backends.SetReports([]state.ReportRow{{Server: "e", Report: protocol.LoadReport{Models: []string{"m"}, Slots: 1}, At: time.Now()}})
	l := NewLimits(tables, nil, zerolog.Nop(), "entry-1", limit.Config{MaxQueued: 10})
	for range 3 {
		l.Enter("m", limit.ArriveMsg{Workspace: "w", Share: 1, StartBy: time.Now().Add(time.Hour)})
	}
	ctx, stop := context.WithCancel(context.Background())
	began := time.Now()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = l.Run(ctx)
	}()
	const enough = 8
	arrivals := time.NewTicker(time.Millisecond)
	defer arrivals.Stop()
	for l.requests.Load() < enough {
		<-arrivals.C
		l.requestRound()
	}
	asks := l.requests.Load()
	most := int64(time.Since(began)/(limit.Interval(1)/minPauseDivisor)) + 1
	stop()
	<-done
	if asks > most {
		t.Errorf("%d grant requests, want at most %d in this time", asks, most)
	}
}
