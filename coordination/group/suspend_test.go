package group

import (
	"testing"
	"time"

	"github.com/weldstream/weldstream/coordination/replicate"
	"github.com/weldstream/weldstream/internal/clock"
)

// TestLeaseExpiresDuringSuspend checks that a lease which ran out while the system was
// suspended is seen as expired right after the resume, before the loop has run.
func TestLeaseExpiresDuringSuspend(t *testing.T) {
	_, g, end := startSingle(t, t.TempDir(), true)
	end()
	g.status.Store(&Status{Settled: true, Status: replicate.Status{Term: 1, Role: replicate.Leader.String(), Lease: g.now() + time.Minute}})
	if _, ok := g.Vouches(); !ok {
		t.Fatal("Vouches is false while the lease is valid")
	}
	clock.Skip(2 * time.Minute)
	defer clock.Skip(-2 * time.Minute)
	if _, ok := g.Vouches(); ok {
		t.Error("Vouches is true two minutes into a lease of one minute")
	}
}
