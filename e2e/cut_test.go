package e2e

import (
	"fmt"
	"testing"

	"github.com/weldstream/weldstream/protocol"
)

// newCutCluster starts three daemons whose links run through relays.
func newCutCluster(t *testing.T) (*cluster, *network) {
	t.Helper()
	n := &network{names: []string{"entry-1", "entry-2", "entry-3", "entry-4"}, cuts: map[string]bool{}}
	c := newCluster(t, clusterSpec{engines: 1, services: 1, replicas: 3})
	for i, name := range n.names[:3] {
		d := &daemon{c: c, name: name, domain: domain(i)}
		r := n.relay(t, name, func() string { return d.direct.Load().(string) })
		d.data = c.dir + "/" + name
		d.advertise = r.ln.Addr().String()
		d.launch()
		c.daemons = append(c.daemons, d)
	}
	c.apply(1, configText())
	return c, n
}

// TestLeaderCutOff cuts the leader off in silence, both ways. The others elect
// another; the one that was cut off refuses what needs a quorum, serves the
// rest, and comes back without confusion.
func TestLeaderCutOff(t *testing.T) {
	c, n := newCutCluster(t)
	old := c.leader()
	n.isolate(old.name, true)
	next := c.leader(old)
	for number := 2; number <= 4; number++ {
		if code, out := next.applyOn(number, numbered(number)); code != 0 {
			t.Fatalf("apply beside the cut: %d %s", code, out)
		}
	}
	if a := old.send(ask{path: "/services/gantry/charge", body: "x"}.once("cut-off")); a.code(t) != protocol.CodeNoQuorum {
		t.Errorf("the cut-off instance answered %d %s", a.status, a.body)
	}
	if a := old.send(ask{path: "/services/gantry/plate", body: ""}); a.status != 200 {
		t.Errorf("the cut-off instance refused a repeatable call: %d %s", a.status, a.body)
	}
	eventually(t, "the cut-off leader steps down", func() bool { return old.groupOf().Role != "leader" })
	term := next.groupOf().Term
	n.isolate(old.name, false)
	c.awaitNumber(4)
	c.awaitMembers()
	if got := c.leader().groupOf().Term; got != term {
		t.Errorf("the return raised the term from %d to %d", term, got)
	}
	if runs := c.services[0].serviceStats().Runs["cut-off"]; runs != 0 {
		t.Errorf("the refused call ran %d times", runs)
	}
}

// TestOneWayCut lets the leader hear nobody while all hear it, and then the
// other way round. Each time the group goes on, and nothing is lost.
func TestOneWayCut(t *testing.T) {
	for _, deaf := range []bool{true, false} {
		t.Run(fmt.Sprintf("deaf=%v", deaf), func(t *testing.T) {
			c, n := newCutCluster(t)
			old := c.leader()
			for _, d := range c.daemons {
				if d != old && deaf {
					n.cut(d.name, old.name, true)
				} else if d != old {
					n.cut(old.name, d.name, true)
				}
			}
			next := c.leader(old)
			if code, out := next.applyOn(2, numbered(2)); code != 0 {
				t.Fatalf("apply beside the cut: %d %s", code, out)
			}
			for _, d := range c.daemons {
				n.isolate(d.name, false)
			}
			c.awaitNumber(2)
			c.awaitMembers()
		})
	}
}
