package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// cluster is a number of views with a network that can lose whole instances.
type cluster struct {
	t     testing.TB
	rnd   *rand.Rand
	now   time.Time
	views []*State
	down  map[string]bool
	sent  int
	told  map[string]map[string]bool // told are the leaving servers that each instance knows.
	fetch map[string]uint64
}

const tick = 200 * time.Millisecond

func newCluster(t testing.TB, n int, seed uint64) *cluster {
	c := &cluster{
		t:     t,
		rnd:   rand.New(rand.NewPCG(seed, 0)),
		now:   time.Unix(1000, 0),
		down:  map[string]bool{},
		told:  map[string]map[string]bool{},
		fetch: map[string]uint64{},
	}
	seeds := []protocol.Member{{Name: "m0", Address: "m0"}, {Name: "m1", Address: "m1"}}
	for i := range n {
		name := fmt.Sprint("m", i)
		c.told[name] = map[string]bool{}
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
	c.t.Fatalf("no instance %s", name)
	return nil
}

func (c *cluster) update(v *State, m Msg) {
	for _, cmd := range v.Update(m) {
		c.execute(v, cmd)
	}
}

// reach delivers news and reports whether the instance answered.
func (c *cluster) reach(address string, n protocol.GossipMsg) bool {
	if c.down[address] {
		return false
	}
	c.sent++
	c.update(c.view(address), GossipMsg{Gossip: n, Now: c.now, Rand: c.rnd.Uint64()})
	return true
}

func (c *cluster) execute(v *State, cmd Cmd) {
	switch cmd := cmd.(type) {
	case ProbeCmd:
		c.update(v, ProbedMsg{Name: cmd.Name, Alive: c.reach(cmd.Address, cmd.Gossip), Now: c.now, Rand: c.rnd.Uint64()})
	case PushCmd:
		c.reach(cmd.Address, cmd.Gossip)
	case SyncCmd:
		if c.reach(cmd.Address, cmd.Gossip) {
			c.update(v, GossipMsg{Gossip: c.view(cmd.Address).Full(), Now: c.now, Rand: c.rnd.Uint64()})
		}
	case ServerLeavingCmd:
		c.told[v.self][cmd.Leaving.Server] = true
	case ServerJoinedCmd:
		c.told[v.self][cmd.Joined.Instance.ID] = true
	case FetchConfigCmd:
		c.fetch[v.self] = max(c.fetch[v.self], cmd.Number)
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

// states returns how many live instances hold a member to be in a state.
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

// TestAllMeet starts instances that know two seeds; soon all know all, and what
// each says of itself.
func TestAllMeet(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t, 25, seed)
		c.run(100)
		for i := range c.views {
			if got := c.states(fmt.Sprint("m", i), protocol.MemberAlive); got != 25 {
				t.Errorf("seed %d: m%d is known to %d of 25", seed, i, got)
			}
		}
	}
}

// withinTicks is a second, half of what is promised.
const withinTicks = 5

// TestLeavingReachesAll marks a backend server at one instance. Nearly all know
// it at once, by pushes, and all within a second, by the probes; with a number
// of messages that grows with the instances and not with their square.
func TestLeavingReachesAll(t *testing.T) {
	for _, n := range []int{9, 36, 100} {
		for seed := range uint64(5) {
			c := newCluster(t, n, seed)
			c.run(150)
			c.sent = 0
			c.update(c.views[n/2], ServerLeavingMsg{Leaving: protocol.Leaving{Server: "e1", Seen: c.now}, Rand: c.rnd.Uint64()})
			c.run(withinTicks)
			for name, told := range c.told {
				if !told["e1"] {
					t.Errorf("%d instances, seed %d: %s does not know", n, seed, name)
				}
			}
			if most := n * (4 + 2*withinTicks); c.sent > most {
				t.Errorf("%d instances, seed %d: %d messages, more than %d", n, seed, c.sent, most)
			}
		}
	}
}

// TestJoinedReachesAll has one instance find a new backend server in the list.
// All others are told within a second; after a while the record is forgotten,
// and a late copy does not bring it back.
func TestJoinedReachesAll(t *testing.T) {
	for _, n := range []int{9, 36, 100} {
		c := newCluster(t, n, 7)
		c.run(150)
		joined := protocol.Joined{Instance: protocol.Instance{ID: "e9"}, Seen: c.now}
		c.told[c.views[1].self]["e9"] = true // It found the server itself.
		c.update(c.views[1], ServerJoinedMsg{Joined: joined, Rand: c.rnd.Uint64()})
		c.run(withinTicks)
		for name, told := range c.told {
			if !told["e9"] {
				t.Errorf("%d instances: %s does not know", n, name)
			}
		}
		c.now = c.now.Add(protocol.JoinedRetention)
		c.run(5)
		c.views[0].Update(GossipMsg{Gossip: protocol.GossipMsg{From: "late", Joined: []protocol.Joined{joined}}, Now: c.now})
		for _, v := range c.views {
			if rows := v.Full().Joined; len(rows) != 0 {
				t.Errorf("%d instances: %s keeps %v", n, v.self, rows)
			}
		}
	}
}

// TestDeadAndBack kills an instance and starts it again: all find out both, and
// a suspicion of one that lives is refuted.
func TestDeadAndBack(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t, 12, seed)
		c.run(60)
		c.down["m5"] = true
		c.run(60)
		if got := c.states("m5", protocol.MemberDead); got != 11 {
			t.Errorf("seed %d: %d of 11 hold the dead one dead", seed, got)
		}
		for i, v := range c.views {
			if v.self == "m5" {
				c.views[i] = New(DefaultConfig(3*time.Second), protocol.Member{Name: "m5", Address: "m5", Incarnation: 2}, v.seeds)
			}
		}
		delete(c.down, "m5")
		c.run(60)
		if got := c.states("m5", protocol.MemberAlive); got != 12 {
			t.Errorf("seed %d: %d of 12 hold the returned one alive", seed, got)
		}
		c.update(c.view("m1"), ProbedMsg{Name: "m7", Now: c.now, Rand: c.rnd.Uint64()})
		c.run(60)
		if got := c.states("m7", protocol.MemberAlive); got != 12 {
			t.Errorf("seed %d: %d of 12 took the refutation", seed, got)
		}
	}
}

// TestRevisionIsFetched raises the configuration at one instance: all others
// are told to fetch it.
func TestRevisionIsFetched(t *testing.T) {
	c := newCluster(t, 30, 1)
	c.run(100)
	c.update(c.views[3], SetSelfMsg{Revision: 8, Now: c.now, Rand: c.rnd.Uint64()})
	c.run(withinTicks)
	for _, v := range c.views {
		if v.self != "m3" && c.fetch[v.self] != 8 {
			t.Errorf("%s fetches %d", v.self, c.fetch[v.self])
		}
	}
}

// TestLeavingIsForgotten lets an hour pass: the mark goes everywhere, and no
// synchronization brings it back.
func TestLeavingIsForgotten(t *testing.T) {
	c := newCluster(t, 9, 1)
	c.run(50)
	c.update(c.views[0], ServerLeavingMsg{Leaving: protocol.Leaving{Server: "e1", Seen: c.now}, Rand: c.rnd.Uint64()})
	c.run(20)
	c.now = c.now.Add(protocol.LeavingRetention)
	c.run(200)
	for _, v := range c.views {
		if marks := v.Full().Leaving; len(marks) != 0 {
			t.Errorf("%s keeps %v", v.self, marks)
		}
	}
	old := protocol.GossipMsg{From: "late", Leaving: []protocol.Leaving{{Server: "e1", Seen: c.now.Add(-2 * protocol.LeavingRetention)}}}
	if cmds := c.views[0].Update(GossipMsg{Gossip: old, Now: c.now}); len(cmds) > 0 || len(c.views[0].Full().Leaving) > 0 {
		t.Errorf("a late copy was taken in: %v", cmds)
	}
}
