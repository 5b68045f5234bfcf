package soak

import (
	"testing"
	"time"
)

// leaderOf waits until a control instance besides one leads and vouches, and returns it.
func leaderOf(t *testing.T, c *Cluster, besides int) int {
	t.Helper()
	for end := time.Now().Add(readyTime); time.Now().Before(end); time.Sleep(time.Millisecond) {
		for i := range c.Size.Controls {
			if i == besides {
				continue
			}
			if s, err := c.Status(i); err == nil && s.Role == "leader" && s.Settled && s.LeaseLeftMS > 0 {
				return i
			}
		}
	}
	t.Fatal("no control instance leads")
	return 0
}

// leads reports whether any control instance besides one leads in a term right now.
func leads(c *Cluster, besides int, term uint64) bool {
	for i := range c.Size.Controls {
		if i == besides {
			continue // It does not run: asking it would take a second.
		}
		if s, err := c.Status(i); err == nil && s.Role == "leader" && s.Term == term {
			return true
		}
	}
	return false
}

// TestStoppingLeaderHandsOver stops the leader as planned, again and again. When its
// process has ended, another one leads already, in the next term: nobody had to find
// out that the leader is gone.
func TestStoppingLeaderHandsOver(t *testing.T) {
	t.Setenv("GORACE", "atexit_sleep_ms=0") // Else each process takes a second longer to end.
	c, k, o := cluster(t, small)
	leader := leaderOf(t, c, -1)
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
		if !leads(c, leader, before.Term+1) {
			t.Errorf("no other led when the leader of term %d had ended", before.Term)
		}
		next := leaderOf(t, c, leader)
		t.Logf("another one led %v behind the signal", time.Since(began))
		takes(t, o, number)
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		readsBack(t, o, leader)
		leader = next
	}
	for _, b := range append(k.Breaches(), c.API.Breaches()...) {
		t.Error(b)
	}
}
