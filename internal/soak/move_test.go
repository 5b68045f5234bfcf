package soak

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/weldstream/weldstream/platform/standin"
)

const (
	// movePause is the pause between two events of a stream that is long enough to be moved.
	movePause = 160 * time.Millisecond
	// moveNotice is the notice before a server is taken away: less than a stream lasts, and
	// little more than the lead time of moves.
	moveNotice = 1200 * time.Millisecond
	// streamsPerGateway is the number of streams through each gateway.
	streamsPerGateway = 6
)

// TestReclaimedServerCutsNothing takes a server away while streams run there, half of them
// on a route whose callers cannot resume. Callers must get complete streams with each
// event once, also while the leader is killed, or copies fail and another way to move the
// stream is left. Where the reply to a stop is lost none is left: such a stream may be
// cut, but not duplicated.
func TestReclaimedServerCutsNothing(t *testing.T) {
	for name, c := range map[string]struct {
		moves standin.CopyFaults
		kill  bool // kill makes the leader die while a run is moved.
		cuts  bool // cuts allows streams that cannot be resumed to be cut.
	}{
		"no faults":       {},
		"leader killed":   {kill: true},
		"targets full":    {moves: standin.CopyFaults{Full: 3}},
		"targets refuse":  {moves: standin.CopyFaults{Refuse: 2}},
		"replies lost":    {moves: standin.CopyFaults{Lose: 4}, cuts: true},
		"all copy faults": {moves: standin.CopyFaults{Full: 3, Refuse: 2, Lose: 5}, cuts: true},
	} {
		t.Run(name, func(t *testing.T) {
			c0, k, _ := startCluster(t, small)
			for g, address := range c0.Callers() {
				waitUntilServed(t, address, fmt.Sprint("before-", g))
			}
			for _, b := range c0.Backends {
				b.Pause = movePause
				b.SetCopyFaults(c.moves)
			}
			var streams sync.WaitGroup
			for g, address := range c0.Callers() {
				for i := range streamsPerGateway {
					a := requestKinds[2+i%2]
					a.ID = fmt.Sprintf("moved-%d-%d", g, i)
					streams.Go(func() {
						client := standin.NewClient(address)
						defer client.Close()
						r := client.Ask(a.ID, a.Path)
						k.Observe(a, r)
						if whole := r.Complete && r.Status == 200; !whole && (!c.cuts || !a.AtMostOnce) {
							t.Errorf("%s on %s: %+v", a.ID, a.Path, r)
						}
					})
				}
			}
			leaver := busiestServer(t, c0)
			leaver.Reclaim(moveNotice)
			gone := time.After(moveNotice)
			if c.kill {
				killLeader(t, c0)
			}
			<-gone
			leaver.AbortStreams()
			c0.API.Remove(leaver)
			streams.Wait()
			if c0.Record.Moved() == 0 {
				t.Error("no stream was moved")
			}
			k.Finish()
			for _, b := range append(append(k.Breaches(), c0.API.Breaches()...), c0.Record.Breaches()...) {
				t.Error(b)
			}
			// A copy whose name was lost can be dropped by the servers only.
			limit := 2 * time.Second
			if c.moves.Lose > 0 {
				limit = readyTimeout
			}
			waitForNoCopies(t, c0, limit)
		})
	}
}

// busiestServer waits until all streams run and returns the server with the most of them.
func busiestServer(t *testing.T, c *Cluster) *standin.Backend {
	t.Helper()
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		all, most := 0, c.Backends[0]
		for _, b := range c.Backends {
			all += b.Running()
			if b.Running() > most.Running() {
				most = b
			}
		}
		if all == c.Size.Gateways*streamsPerGateway {
			return most
		}
	}
	t.Fatal("the streams did not start")
	return nil
}

// killLeader kills the leader once a run is being moved.
func killLeader(t *testing.T, c *Cluster) {
	t.Helper()
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		copies := c.Record.Moved()
		for _, b := range c.Backends {
			copies += b.Copies()
		}
		if copies == 0 {
			continue
		}
		for i := range c.Size.Controls {
			if s, err := c.Status(i); err == nil && s.LeaseLeftMS > 0 {
				c.Proc(fmt.Sprintf("control-%d", i)).Kill()
				return
			}
		}
	}
	t.Error("found no leader to kill while a run was moved")
}

// waitForNoCopies waits until no server holds a copy that serves no caller.
func waitForNoCopies(t *testing.T, c *Cluster, limit time.Duration) {
	t.Helper()
	left := 0
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(time.Millisecond) {
		left = 0
		for _, b := range c.Backends {
			left += b.Copies()
		}
		if left == 0 {
			return
		}
	}
	t.Errorf("%d unused copies are still held", left)
}

// TestReclaimSeeds runs plans that take servers away with the requests that run on them,
// next to all other faults. The other steps of a seed stay as they are.
func TestReclaimSeeds(t *testing.T) {
	moved := 0 // moved counts over all seeds: a server may be taken away while it is idle.
	for _, seed := range []uint64{1, 2} {
		plain := DrawPlan(seed, 6*time.Second, small)
		plan := plain.WithReclaims(small)
		others := slices.DeleteFunc(slices.Clone(plan.Steps), func(s Step) bool { return s.Fault == FaultReclaim })
		if !slices.Equal(others, plain.Steps) || len(others) == len(plan.Steps) {
			t.Fatalf("reclaims changed the plan's other steps:\n%s%s", plain, plan)
		}
		result := runPlan(t, small, plan)
		if result.Served == 0 {
			t.Errorf("seed %d: no request was served", seed)
		}
		moved += result.Moved
	}
	if moved == 0 {
		t.Error("no answer was moved")
	}
}
