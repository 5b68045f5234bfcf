package e2e

import (
	"fmt"
	"syscall"
	"testing"
)

// TestCallWhileLeaderIsSuspended suspends the leader and sends a call that must run at most once
// through each other instance. The suspended leader used up the whole time of the claim, and the
// call was refused although another replica led within a second.
func TestCallWhileLeaderIsSuspended(t *testing.T) {
	c := newCluster(t, clusterSpec{daemons: 3, engines: 1, services: 1})
	c.apply(1, configText())
	for round := range 3 {
		leader := c.leader()
		leader.signal(syscall.SIGSTOP)
		for _, d := range c.others(leader) {
			key := fmt.Sprint("suspended-", round, d.name)
			a := d.send(request{path: "/services/gantry/charge", body: "x"}.atMostOnce(key))
			if a.status != 200 {
				t.Errorf("round %d, leader %s suspended: %s answered %d %s", round, leader.name, d.name, a.status, a.body)
			}
		}
		leader.signal(syscall.SIGCONT)
		c.awaitMembers()
		c.awaitNumber(1)
	}
}
