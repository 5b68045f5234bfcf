package soak

import (
	"testing"
	"time"
)

// waitForLeader waits until a control instance other than except leads with a valid
// lease, and returns it.
func waitForLeader(t *testing.T, c *Cluster, except int) int {
	t.Helper()
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		for i := range c.Size.Controls {
			if i == except {
				continue
			}
			if s, err := c.Status(i); err == nil && s.Role == "leader" && s.Settled && s.LeaseLeftMS > 0 {
				return i
			}
		}
	}
	t.Fatal("no control instance became leader")
	return 0
}

// anyOtherLeads reports whether a control instance other than except leads in the given
// term.
func anyOtherLeads(c *Cluster, except int, term uint64) bool {
	for i := range c.Size.Controls {
		if i == except {
			continue // It does not run: its time-out would take a second.
		}
		if s, err := c.Status(i); err == nil && s.Role == "leader" && s.Term == term {
			return true
		}
	}
	return false
}

// TestStoppingLeaderHandsOver shuts the leader down several times. When its process has
// ended, another instance already leads in the next term, so that no election time-out is
// needed.
func TestStoppingLeaderHandsOver(t *testing.T) {
	t.Setenv("GORACE", "atexit_sleep_ms=0") // Without this each process takes a second longer to end.
	c, k, o := startCluster(t, small)
	leader := waitForLeader(t, c, -1)
	for number := uint64(2); number < 5; number++ {
		before, err := c.Status(leader)
		if err != nil {
			t.Fatal(err)
		}
		p := c.procs[leader]
		began := time.Now()
		if err := p.Stop(); err != nil {
			t.Fatal(err)
		}
		if !anyOtherLeads(c, leader, before.Term+1) {
			t.Errorf("no other instance led when the leader of term %d had ended", before.Term)
		}
		next := waitForLeader(t, c, leader)
		t.Logf("another instance led %v after the signal", time.Since(began))
		putUntilTaken(t, o, number)
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		waitUntilReadBack(t, o, leader)
		leader = next
	}
	for _, b := range append(k.Breaches(), c.API.Breaches()...) {
		t.Error(b)
	}
}
