package forward

import (
	"testing"
	"time"

	"github.com/weldstream/weldstream/internal/clock"
)

// rest has a server ask the gateway for rest.
func (w *world) rest(server string, d time.Duration) {
	w.g.words.mu.Lock()
	defer w.g.words.mu.Unlock()
	w.g.words.rests.Add(server, d, clock.Now())
}

// TestRunsAreMovedToWillingServers checks that a run is not moved to a server that rests: it
// ends at its own.
func TestRunsAreMovedToWillingServers(t *testing.T) {
	f := newFakeEngines(t, moveFaults{stop: 200, target: 200}, "a", "b")
	f.w.installMoves(false)
	f.onLeave = func() {
		for _, s := range f.w.servers {
			if s.Address != f.source {
				f.w.rest(s.ID, patience)
			}
		}
		time.AfterFunc(5*moveTick, func() { close(f.finished) })
	}
	if got := f.w.ask(); got.status != 200 || got.broken {
		t.Fatalf("got %+v", got)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.copied != 0 || len(f.starts) != 1 {
		t.Errorf("%d copies were asked for, and %q ran", f.copied, f.starts)
	}
}

// TestRestingSourceIsNotCalled checks that a run is not moved off a server while that wants
// nothing from the gateway, and is moved once it does.
func TestRestingSourceIsNotCalled(t *testing.T) {
	const rest = 200 * time.Millisecond // The move begins well before the server is taken for gone.
	f := newFakeEngines(t, moveFaults{stop: 200, target: 200}, "a", "b")
	f.w.installMoves(false)
	var asked time.Time
	f.onLeave = func() {
		for _, s := range f.w.servers {
			if s.Address == f.source {
				asked = time.Now()
				f.w.rest(s.ID, rest)
			}
		}
	}
	if got := f.w.ask(); got.status != 200 || got.broken {
		t.Fatalf("got %+v", got)
	}
	if took := time.Since(asked); took < rest {
		t.Errorf("the run was moved and ended %v behind the wish for %v of rest", took, rest)
	}
}
