package e2e

import (
	"syscall"
	"testing"
)

// TestStoppingEntryHandsLeadershipOver stops the entry instance that leads the replication
// group. Another one must lead when its process has ended. Before, claims waited for an election
// after each planned stop of the leader.
func TestStoppingEntryHandsLeadershipOver(t *testing.T) {
	t.Setenv("GORACE", "atexit_sleep_ms=0") // Without this each process takes a second longer to end.
	c := newCluster(t, clusterSpec{daemons: 3, engines: 1, services: 1})
	c.apply(1, configText())
	for range 2 {
		old := c.leader()
		term := old.groupStatus().Term
		old.signal(syscall.SIGTERM)
		if code := old.wait(); code != 0 {
			t.Errorf("exit code %d", code)
		}
		led := false
		for _, d := range c.others(old) {
			s := d.groupStatus()
			led = led || (s.Role == "leader" && s.Term == term+1)
		}
		if !led {
			t.Errorf("no other instance led when the leader of term %d had ended", term)
		}
		old.launch()
		c.awaitMembers()
		c.awaitNumber(1)
	}
}
