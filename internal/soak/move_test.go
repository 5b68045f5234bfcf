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
	// movePause is between two events of a stream that is long enough to be moved.
	movePause = 160 * time.Millisecond
	// moveNotice is how long ahead a server is known to be taken away: less than a
	// stream lasts, and little more than the time ahead at which moves begin.
	moveNotice = 1200 * time.Millisecond
	// streamsEach is how many streams run through each gateway.
	streamsEach = 6
)

// TestReclaimedServerCutsNothing takes a server away while streams run there, half of
// them on a route whose callers cannot resume. The callers see whole streams, each event
// once, also while the leader dies or copies fail where another way is left; where the
// answer to a stop is lost none is left, and what is cut is cut, not doubled.
func TestReclaimedServerCutsNothing(t *testing.T) {
	for name, c := range map[string]struct {
		moves standin.CopyFaults
		kill  bool // kill has the leader die as a run is moved.
		cuts  bool // cuts says that streams which cannot be resumed may be cut.
	}{
		"all is well":           {},
		"the leader dies":       {kill: true},
		"targets are full":      {moves: standin.CopyFaults{Full: 3}},
		"targets refuse":        {moves: standin.CopyFaults{Refuse: 2}},
		"answers are lost":      {moves: standin.CopyFaults{Lose: 4}, cuts: true},
		"everything goes wrong": {moves: standin.CopyFaults{Full: 3, Refuse: 2, Lose: 5}, cuts: true},
	} {
		t.Run(name, func(t *testing.T) {
			c0, k, _ := cluster(t, small)
			for g, address := range c0.Callers() {
				served(t, address, fmt.Sprint("before-", g))
			}
			for _, b := range c0.Backends {
				b.Pause = movePause
				b.SetCopyFaults(c.moves)
			}
			var streams sync.WaitGroup
			for g, address := range c0.Callers() {
				for i := range streamsEach {
					a := paths[2+i%2]
					a.ID = fmt.Sprintf("moved-%d-%d", g, i)
					streams.Go(func() {
						client := standin.NewClient(address)
						defer client.Close()
						r := client.Ask(a.ID, a.Path)
						k.Note(a, r)
						if whole := r.Complete && r.Status == 200; !whole && (!c.cuts || !a.Once) {
							t.Errorf("%s on %s: %+v", a.ID, a.Path, r)
						}
					})
				}
			}
			leaver := busiest(t, c0)
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
				t.Error("no run was moved")
			}
			k.Finish()
			for _, b := range append(append(k.Breaches(), c0.API.Breaches()...), c0.Record.Breaches()...) {
				t.Error(b)
			}
			// A copy whose name was lost can be dropped by the servers alone.
			limit := 2 * time.Second
			if c.moves.Lose > 0 {
				limit = readyTime
			}
			noneSetAside(t, c0, limit)
		})
	}
}

// busiest waits until all streams run and returns the server with the most of them.
func busiest(t *testing.T, c *Cluster) *standin.Backend {
	t.Helper()
	for end := time.Now().Add(readyTime); time.Now().Before(end); time.Sleep(time.Millisecond) {
		all, most := 0, c.Backends[0]
		for _, b := range c.Backends {
			all += b.Running()
			if b.Running() > most.Running() {
				most = b
			}
		}
		if all == c.Size.Gateways*streamsEach {
			return most
		}
	}
	t.Fatal("the streams did not begin")
	return nil
}

// killLeader kills the leader once a run is being moved.
func killLeader(t *testing.T, c *Cluster) {
	t.Helper()
	for end := time.Now().Add(readyTime); time.Now().Before(end); time.Sleep(time.Millisecond) {
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
	t.Error("no leader could be killed while a run was moved")
}

// noneSetAside waits until no server holds a copy that serves nobody.
func noneSetAside(t *testing.T, c *Cluster, limit time.Duration) {
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
	t.Errorf("%d copies are set aside for nobody", left)
}

// TestReclaimSeeds plays plans that take servers away with what runs there, beside all
// other faults. The other steps of a seed stay as they are.
func TestReclaimSeeds(t *testing.T) {
	moved := 0 // moved are those of all seeds: a server may be taken away while nothing runs there.
	for _, seed := range []uint64{1, 2} {
		plain := DrawPlan(seed, 6*time.Second, small)
		plan := plain.WithReclaims(small)
		others := slices.DeleteFunc(slices.Clone(plan.Steps), func(s Step) bool { return s.Fault == FaultReclaim })
		if !slices.Equal(others, plain.Steps) || len(others) == len(plan.Steps) {
			t.Fatalf("the plan changed:\n%s%s", plain, plan)
		}
		result := played(t, small, plan)
		if result.Served == 0 {
			t.Errorf("seed %d: nothing was served", seed)
		}
		moved += result.Moved
	}
	if moved == 0 {
		t.Error("no answer was moved")
	}
}
