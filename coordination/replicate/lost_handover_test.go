package replicate

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// regionConfig has the default settings of replicas in one region.
var regionConfig = Config{Election: 200 * time.Millisecond, Heartbeat: 40 * time.Millisecond, Batch: 1 << 16, Window: 16}

// TestHandoverFaults hands over for a planned stop while messages are lost or voters are
// suspended. A healthy voter must lead sooner than after an election timeout. Before, the leader
// told one voter once, which may have been suspended all along; then it waited for its own
// promise to end, led again and ended without a successor.
func TestHandoverFaults(t *testing.T) {
	type cluster struct {
		w      *timedSim
		leader *node
		first  string // first is the voter that the leader prefers, other the remaining one.
		other  string
	}
	loseFirst := func(kind MessageKind) func(*cluster) {
		return func(c *cluster) {
			lost := false
			c.w.drops = func(m Message) bool {
				drop := m.Kind == kind && !lost
				lost = lost || drop
				return drop
			}
		}
	}
	for name, disturb := range map[string]func(*cluster){
		"nothing is lost":               func(*cluster) {},
		"the handover message is lost":  loseFirst(Handover),
		"a vote request is lost":        loseFirst(Vote),
		"a vote is lost":                loseFirst(VoteReply),
		"the first voter is suspended":  func(c *cluster) { c.w.down[c.first] = true },
		"the second voter is suspended": func(c *cluster) { c.w.down[c.other] = true },
		"the first voter is suspended and lacks an entry": func(c *cluster) {
			c.w.down[c.first] = true
			c.w.step(c.leader, ProposeMsg{Token: 2, Data: []byte("x")})
		},
		"the first voter is suspended as it is told": func(c *cluster) {
			c.w.drops = func(m Message) bool {
				if m.Kind == Handover && m.To.Name == c.first {
					c.w.down[c.first] = true
				}
				return false
			}
		},
		"the first voter is suspended as it campaigns": func(c *cluster) {
			c.w.drops = func(m Message) bool {
				if m.Kind == Vote && m.From.Name == c.first {
					c.w.down[c.first] = true
					return true
				}
				return false
			}
		},
	} {
		for seed := range uint64(10) {
			w := newTimedSim(seedTB{TB: t, seed: seed}, seed, regionConfig, 3, uniformDelay(time.Millisecond))
			w.runUntil("a first leader", 5*time.Second, w.hasLeader)
			w.run(time.Second)
			c := &cluster{w: w, leader: w.leader()}
			to, ok := c.leader.r.successor("")
			if !ok {
				t.Fatal("the leader has no successor")
			}
			c.first = to.Name
			for _, n := range w.names() {
				if n != c.first && n != c.leader.id.Name {
					c.other = n
				}
			}
			disturb(c)
			w.step(c.leader, HandoverMsg{Token: 1, Retire: true})
			took := w.runUntil(name, 3*time.Second, func() bool { return w.hasLeader() && w.leader() != c.leader })
			if took >= regionConfig.Election {
				t.Errorf("%s, seed %d: another replica led after %v, want less than an election timeout of %v", name, seed, took, regionConfig.Election)
			}
		}
	}
}

// TestRetiringReplicaDoesNotLeadAgain checks that a replica that is about to end does not
// campaign, but still votes.
func TestRetiringReplicaDoesNotLeadAgain(t *testing.T) {
	for seed := range uint64(10) {
		w := newTimedSim(seedTB{TB: t, seed: seed}, seed, regionConfig, 3, uniformDelay(time.Millisecond))
		w.runUntil("a first leader", 5*time.Second, w.hasLeader)
		n := w.leader()
		w.drops = func(m Message) bool { return m.Kind == Handover || m.Kind == PreVote }
		w.step(n, HandoverMsg{Token: 1, Retire: true})
		for range 200 {
			w.run(10 * time.Millisecond)
			if role := n.r.role; role != Follower {
				t.Fatalf("seed %d: the retiring replica is a %v", seed, role)
			}
		}
		w.drops = nil
		w.runUntil(fmt.Sprintf("seed %d: an election with the vote of the retiring replica", seed), 2*time.Second, w.hasLeader)
	}
}

// TestSilentVoterIsNotChosen checks that a handover prefers a voter that answers to one that
// has been silent for some heartbeats.
func TestSilentVoterIsNotChosen(t *testing.T) {
	for silent, want := range map[ID]ID{idB: idC, idC: idB} {
		r := replicaOf(idA, HardState{Term: 2})
		elect(t, r)
		r.Update(SyncedMsg{Index: 1, Term: r.hard.Term})
		acknowledge(r, idB, 1)
		acknowledge(r, idC, 1)
		r.peers[silent].lastContact = r.now - answerHeartbeats*testConfig.Heartbeat
		if got, ok := r.successor(""); !ok || got != want {
			t.Errorf("%v is silent: the successor is %v (%v), want %v", silent, got, ok, want)
		}
	}
}

// TestRetiringReplicaIgnoresHandover checks that a replica that is about to end does not
// campaign when a leader tells it to.
func TestRetiringReplicaIgnoresHandover(t *testing.T) {
	b := replicaOf(idB, HardState{Term: 4})
	b.Update(HandoverMsg{Token: 1, Retire: true})
	b.Update(StepMsg{Message: Message{Kind: Handover, From: idA, To: idB, Term: 4}, Now: time.Second})
	if b.role != Follower {
		t.Errorf("the retiring replica is a %v", b.role)
	}
}

// TestMissingVotesAreRequestedAgain checks that a candidate repeats its request to the voters
// that have not answered, and to no others: a lost message cost an election timeout.
func TestMissingVotesAreRequestedAgain(t *testing.T) {
	b := replicaOf(idB, HardState{Term: 4})
	b.Update(StepMsg{Message: Message{Kind: Handover, From: idA, To: idB, Term: 4}, Now: time.Second})
	b.Update(StepMsg{Message: Message{Kind: VoteReply, From: idA, To: idB, Term: 5, Reject: true}, Now: time.Second})
	var to []ID
	for _, s := range sentMessages(b.Update(TickMsg{Now: time.Second + voteRequestHeartbeats*testConfig.Heartbeat})) {
		if s.Message.Kind == Vote {
			to = append(to, s.Message.To)
		}
	}
	if !slices.Equal(to, []ID{idC}) {
		t.Errorf("votes were requested again of %v, want %v", to, idC)
	}
}
