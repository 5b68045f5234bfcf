package group

import (
	"testing"
	"time"

	"github.com/weldstream/weldstream/coordination/replicate"
	"github.com/weldstream/weldstream/internal/clock"
)

// TestSuspendedLeaderVouchesForNothing checks that a lease ends while the machine is
// suspended, at the first look behind that, before the loop has run.
func TestSuspendedLeaderVouchesForNothing(t *testing.T) {
	_, g, end := startAlone(t, t.TempDir(), true)
	end()
	g.status.Store(&Status{Settled: true, Status: replicate.Status{Term: 1, Role: replicate.Leader.String(), Lease: g.now() + time.Minute}})
	if _, ok := g.Vouches(); !ok {
		t.Fatal("the lease runs and it does not vouch")
	}
	clock.Skip(2 * time.Minute)
	defer clock.Skip(-2 * time.Minute)
	if _, ok := g.Vouches(); ok {
		t.Error("it vouches two minutes behind a lease of one")
	}
}
