package forward

import (
	"testing"
	"time"

	"github.com/weldstream/weldstream/internal/clock"
)

// setRest makes a server ask the gateway for backoff.
func (w *testGateway) setRest(server string, d time.Duration) {
	w.g.feedback.mu.Lock()
	defer w.g.feedback.mu.Unlock()
	w.g.feedback.backoffs.Add(server, d, clock.Now())
}

// TestRunIsNotMovedToRestingServer checks that a run is not moved to a server that asked for
// backoff, and ends at its own server.
func TestRunIsNotMovedToRestingServer(t *testing.T) {
	f := newFakeEngines(t, moveFaults{stop: 200, target: 200}, "a", "b")
	f.w.installMoves(false)
	f.onLeave = func() {
		for _, s := range f.w.servers {
			if s.Address != f.source {
				f.w.setRest(s.ID, testTimeout)
			}
		}
		time.AfterFunc(5*moveInterval, func() { close(f.finished) })
	}
	if got := f.w.ask(); got.status != 200 || got.broken {
		t.Fatalf("got %+v", got)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.copied != 0 || len(f.starts) != 1 {
		t.Errorf("%d copies were requested, and %q ran", f.copied, f.starts)
	}
}

// TestRunIsNotMovedOffRestingServer checks that a run is not moved while its server wants no
// requests from the gateway, and is moved afterwards.
func TestRunIsNotMovedOffRestingServer(t *testing.T) {
	const rest = 200 * time.Millisecond // The move starts well before the server is considered gone.
	f := newFakeEngines(t, moveFaults{stop: 200, target: 200}, "a", "b")
	f.w.installMoves(false)
	var asked time.Time
	f.onLeave = func() {
		for _, s := range f.w.servers {
			if s.Address == f.source {
				asked = time.Now()
				f.w.setRest(s.ID, rest)
			}
		}
	}
	if got := f.w.ask(); got.status != 200 || got.broken {
		t.Fatalf("got %+v", got)
	}
	if took := time.Since(asked); took < rest {
		t.Errorf("the run was moved and ended %v after the request for %v of backoff", took, rest)
	}
}
