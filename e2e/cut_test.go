package e2e

import (
	"fmt"
	"testing"

	"github.com/weldstream/weldstream/protocol"
)

// newPartitionCluster starts three daemons that reach each other through proxies,
// which can partition the network.
func newPartitionCluster(t *testing.T) (*cluster, *network) {
	t.Helper()
	n := &network{names: []string{"entry-1", "entry-2", "entry-3", "entry-4"}, blocked: map[string]bool{}}
	c := newCluster(t, clusterSpec{engines: 1, services: 1, replicas: 3})
	for i, name := range n.names[:3] {
		d := &daemon{c: c, name: name, domain: domain(i)}
		r := n.proxy(t, name, func() string { return d.listenPeer.Load().(string) })
		d.data = c.dir + "/" + name
		d.advertise = r.ln.Addr().String()
		d.launch()
		c.daemons = append(c.daemons, d)
	}
	c.apply(1, configText())
	return c, n
}

// TestLeaderPartitioned drops all traffic to and from the leader while its
// connections stay open. The other replicas elect a new leader. The old leader
// refuses requests that need a quorum, serves all others, and rejoins without
// raising the term.
func TestLeaderPartitioned(t *testing.T) {
	c, n := newPartitionCluster(t)
	old := c.leader()
	n.isolate(old.name, true)
	next := c.leader(old)
	for number := 2; number <= 4; number++ {
		if code, out := next.applyOn(number, numberedConfig(number)); code != 0 {
			t.Fatalf("apply during the partition: %d %s", code, out)
		}
	}
	if a := old.send(request{path: "/services/gantry/charge", body: "x"}.atMostOnce("cut-off")); a.code(t) != protocol.CodeNoQuorum {
		t.Errorf("the partitioned instance answered a call that needs a quorum with %d %s", a.status, a.body)
	}
	if a := old.send(request{path: "/services/gantry/plate", body: ""}); a.status != 200 {
		t.Errorf("the partitioned instance refused a repeatable call: %d %s", a.status, a.body)
	}
	eventually(t, "the partitioned leader steps down", func() bool { return old.groupStatus().Role != "leader" })
	term := next.groupStatus().Term
	n.isolate(old.name, false)
	c.awaitNumber(4)
	c.awaitMembers()
	if got := c.leader().groupStatus().Term; got != term {
		t.Errorf("rejoining raised the term from %d to %d", term, got)
	}
	if runs := c.services[0].serviceStats().Runs["cut-off"]; runs != 0 {
		t.Errorf("the refused call ran %d times", runs)
	}
}

// TestOneWayPartition drops only the traffic to the leader, and in a second run
// only the traffic from it. In both, the group elects a new leader and keeps
// accepting configurations.
func TestOneWayPartition(t *testing.T) {
	for _, inbound := range []bool{true, false} {
		t.Run(fmt.Sprintf("inbound=%v", inbound), func(t *testing.T) {
			c, n := newPartitionCluster(t)
			old := c.leader()
			for _, d := range c.daemons {
				if d != old && inbound {
					n.block(d.name, old.name, true)
				} else if d != old {
					n.block(old.name, d.name, true)
				}
			}
			next := c.leader(old)
			if code, out := next.applyOn(2, numberedConfig(2)); code != 0 {
				t.Fatalf("apply during the partition: %d %s", code, out)
			}
			for _, d := range c.daemons {
				n.isolate(d.name, false)
			}
			c.awaitNumber(2)
			c.awaitMembers()
		})
	}
}
