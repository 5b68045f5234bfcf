package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// cluster simulates instances and their network, in which instances can be down.
type cluster struct {
	t       testing.TB
	rnd     *rand.Rand
	now     time.Time
	views   []*State
	down    map[string]bool
	apart   map[string]bool // apart are the instances on the other side of a partition.
	sent    int
	known   map[string]map[string]bool // known are the leaving and new servers that each instance knows of.
	fetched map[string]uint64
}

const tick = 200 * time.Millisecond

func newCluster(t testing.TB, n int, seed uint64) *cluster {
	c := &cluster{
		t:       t,
		rnd:     rand.New(rand.NewPCG(seed, 0)),
		now:     time.Unix(1000, 0),
		down:    map[string]bool{},
		apart:   map[string]bool{},
		known:   map[string]map[string]bool{},
		fetched: map[string]uint64{},
	}
	seeds := []protocol.Member{{Name: "m0", Address: "m0"}, {Name: "m1", Address: "m1"}}
	for i := range n {
		name := fmt.Sprint("m", i)
		c.known[name] = map[string]bool{}
		c.views = append(c.views, New(DefaultConfig(3*time.Second), protocol.Member{Name: name, Address: name, Incarnation: 1}, seeds))
	}
	return c
}

func (c *cluster) view(name string) *State {
	for _, v := range c.views {
		if v.self == name {
			return v
		}
	}
	c.t.Fatalf("no instance with the name %s", name)
	return nil
}

func (c *cluster) update(v *State, m Msg) {
	for _, cmd := range v.Update(m) {
		c.execute(v, cmd)
	}
}

// deliver delivers gossip to an instance and reports whether the instance could be reached.
func (c *cluster) deliver(from, address string, n protocol.GossipMsg) bool {
	if c.down[address] || c.apart[from] != c.apart[address] {
		return false
	}
	c.sent++
	c.update(c.view(address), GossipMsg{Gossip: n, Now: c.now, Rand: c.rnd.Uint64()})
	return true
}

func (c *cluster) execute(v *State, cmd Cmd) {
	switch cmd := cmd.(type) {
	case ProbeCmd:
		c.update(v, ProbedMsg{Name: cmd.Name, Alive: c.deliver(v.self, cmd.Address, cmd.Gossip), Now: c.now, Rand: c.rnd.Uint64()})
	case PushCmd:
		c.deliver(v.self, cmd.Address, cmd.Gossip)
	case SyncCmd:
		if c.deliver(v.self, cmd.Address, cmd.Gossip) {
			c.update(v, GossipMsg{Gossip: c.view(cmd.Address).Full(), Now: c.now, Rand: c.rnd.Uint64()})
		}
	case ServerLeavingCmd:
		c.known[v.self][cmd.Leaving.Server] = true
	case ServerJoinedCmd:
		c.known[v.self][cmd.Joined.Instance.ID] = true
	case FetchConfigCmd:
		c.fetched[v.self] = max(c.fetched[v.self], cmd.Number)
	}
}

func (c *cluster) run(ticks int) {
	for range ticks {
		c.now = c.now.Add(tick)
		for _, v := range c.views {
			if !c.down[v.self] {
				c.update(v, TickMsg{Now: c.now, Rand: c.rnd.Uint64()})
			}
		}
	}
}

// states returns how many live instances have a member in a state.
func (c *cluster) states(name string, st protocol.MemberState) int {
	n := 0
	for _, v := range c.views {
		if c.down[v.self] {
			continue
		}
		for _, row := range v.Rows() {
			if row.Name == name && row.State == st {
				n++
			}
		}
	}
	return n
}

// TestViewsConverge checks that instances which start with two seeds all see one another
// as alive after 20 s.
func TestViewsConverge(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t, 25, seed)
		c.run(100)
		for i := range c.views {
			if got := c.states(fmt.Sprint("m", i), protocol.MemberAlive); got != 25 {
				t.Errorf("seed %d: m%d is alive for %d of 25 instances", seed, i, got)
			}
		}
	}
}

// ticksPerSecond is the time in which the tests expect an update to reach all instances:
// half of the documented limit.
const ticksPerSecond = 5

// TestLeavingReachesAll checks that a leaving backend server, reported to one instance, is
// known to all within a second: pushes reach nearly all at once, and probes the rest. The
// number of messages must grow linearly with the number of instances.
func TestLeavingReachesAll(t *testing.T) {
	for _, n := range []int{9, 36, 100} {
		for seed := range uint64(5) {
			c := newCluster(t, n, seed)
			c.run(150)
			c.sent = 0
			c.update(c.views[n/2], ServerLeavingMsg{Leaving: protocol.Leaving{Server: "e1", Seen: c.now}, Rand: c.rnd.Uint64()})
			c.run(ticksPerSecond)
			for name, known := range c.known {
				if !known["e1"] {
					t.Errorf("%d instances, seed %d: %s does not know the leaving server", n, seed, name)
				}
			}
			if limit := n * (4 + 2*ticksPerSecond); c.sent > limit {
				t.Errorf("%d instances, seed %d: %d messages, more than %d", n, seed, c.sent, limit)
			}
		}
	}
}

// TestJoinedReachesAll checks that a new backend server, found by one instance, is known
// to all within a second, that the record expires, and that a late copy does not restore
// it.
func TestJoinedReachesAll(t *testing.T) {
	for _, n := range []int{9, 36, 100} {
		c := newCluster(t, n, 7)
		c.run(150)
		joined := protocol.Joined{Instance: protocol.Instance{ID: "e9"}, Seen: c.now}
		c.known[c.views[1].self]["e9"] = true // It found the server itself.
		c.update(c.views[1], ServerJoinedMsg{Joined: joined, Rand: c.rnd.Uint64()})
		c.run(ticksPerSecond)
		for name, known := range c.known {
			if !known["e9"] {
				t.Errorf("%d instances: %s does not know the new server", n, name)
			}
		}
		c.now = c.now.Add(protocol.JoinedRetention)
		c.run(5)
		c.views[0].Update(GossipMsg{Gossip: protocol.GossipMsg{From: "late", Joined: []protocol.Joined{joined}}, Now: c.now})
		for _, v := range c.views {
			if rows := v.Full().Joined; len(rows) != 0 {
				t.Errorf("%d instances: %s still has expired records %v", n, v.self, rows)
			}
		}
	}
}

// TestDeathAndRestart checks that all instances detect the death and the restart of one,
// and that a live instance refutes a false suspicion.
func TestDeathAndRestart(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t, 12, seed)
		c.run(60)
		c.down["m5"] = true
		c.run(60)
		if got := c.states("m5", protocol.MemberDead); got != 11 {
			t.Errorf("seed %d: %d of 11 instances see the stopped one as dead", seed, got)
		}
		for i, v := range c.views {
			if v.self == "m5" {
				c.views[i] = New(DefaultConfig(3*time.Second), protocol.Member{Name: "m5", Address: "m5", Incarnation: 2}, v.seeds)
			}
		}
		delete(c.down, "m5")
		c.run(60)
		if got := c.states("m5", protocol.MemberAlive); got != 12 {
			t.Errorf("seed %d: %d of 12 instances see the restarted one as alive", seed, got)
		}
		c.update(c.view("m1"), ProbedMsg{Name: "m7", Now: c.now, Rand: c.rnd.Uint64()})
		c.run(60)
		if got := c.states("m7", protocol.MemberAlive); got != 12 {
			t.Errorf("seed %d: %d of 12 instances accepted the refutation", seed, got)
		}
	}
}

// TestPartitionedSidesMeetAgain guards against an instance that stays alone: it was cut off, each side took
// the other for dead, and the seeds of both ended meanwhile.
func TestPartitionedSidesMeetAgain(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t, 8, seed)
		c.run(60)
		c.apart["m5"] = true
		c.run(60)
		if got := c.states("m5", protocol.MemberDead); got != 7 {
			t.Errorf("seed %d: %d of 7 instances take the one that is cut off for dead", seed, got)
		}
		c.down["m0"], c.down["m1"] = true, true
		c.run(60)
		clear(c.apart)
		c.run(10 * DefaultConfig(0).SyncEvery)
		for i := 2; i < 8; i++ {
			if got := c.states(fmt.Sprint("m", i), protocol.MemberAlive); got != 6 {
				t.Errorf("seed %d: m%d is alive for %d of 6 instances", seed, i, got)
			}
		}
	}
}

// TestRevisionIsFetched checks that a new configuration at one instance makes all others
// fetch it.
func TestRevisionIsFetched(t *testing.T) {
	c := newCluster(t, 30, 1)
	c.run(100)
	c.update(c.views[3], SetSelfMsg{Revision: 8, Now: c.now, Rand: c.rnd.Uint64()})
	c.run(ticksPerSecond)
	for _, v := range c.views {
		if v.self != "m3" && c.fetched[v.self] != 8 {
			t.Errorf("%s fetched configuration %d, want 8", v.self, c.fetched[v.self])
		}
	}
}

// TestLeavingExpires checks that the record of a leaving server expires everywhere after
// its retention, and that neither synchronization nor a late copy restores it.
func TestLeavingExpires(t *testing.T) {
	c := newCluster(t, 9, 1)
	c.run(50)
	c.update(c.views[0], ServerLeavingMsg{Leaving: protocol.Leaving{Server: "e1", Seen: c.now}, Rand: c.rnd.Uint64()})
	c.run(20)
	c.now = c.now.Add(protocol.LeavingRetention)
	c.run(200)
	for _, v := range c.views {
		if rows := v.Full().Leaving; len(rows) != 0 {
			t.Errorf("%s still has expired records %v", v.self, rows)
		}
	}
	expired := protocol.GossipMsg{From: "late", Leaving: []protocol.Leaving{{Server: "e1", Seen: c.now.Add(-2 * protocol.LeavingRetention)}}}
	if cmds := c.views[0].Update(GossipMsg{Gossip: expired, Now: c.now}); len(cmds) > 0 || len(c.views[0].Full().Leaving) > 0 {
		t.Errorf("a late copy of an expired record was accepted: %v", cmds)
	}
}
