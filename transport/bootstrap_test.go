package transport

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/weldstream/weldstream/coordination/group"
	"github.com/weldstream/weldstream/coordination/replicate"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/state"
)

// joinCounter counts the requests to join that reach an instance.
type joinCounter struct{ joins atomic.Int64 }

// Join receives requests like [GroupService].
func (j *joinCounter) Join(_ ReplicaInfo, done *bool) error {
	j.joins.Add(1)
	*done = true
	return nil
}

// startJoinCounter serves a joinCounter and returns it with its address.
func startJoinCounter(t *testing.T) (*joinCounter, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	j := &joinCounter{}
	server := NewLinks("server", []byte(echoKey), time.Second, zerolog.Nop())
	if err := server.Register("Group", j); err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(t.Context(), ln) }()
	return j, ln.Addr().String()
}

// noSender drops all messages between replicas.
type noSender struct{}

// Send implements group.Sender.
func (noSender) Send(uint64, replicate.Message) {}

// TestJoinReachesAllThatMayLead guards against a replica that asks only the instances it takes for alive
// to let it join: after a cut the leader may be one that it takes for dead, one that its log alone names as
// a voter or a learner, or one behind others that do not answer.
func TestJoinReachesAllThatMayLead(t *testing.T) {
	dead, deadAddress := startJoinCounter(t)
	voter, voterAddress := startJoinCounter(t)
	learner, learnerAddress := startJoinCounter(t)
	tables := state.NewTables()
	tables.Members.Set([]state.MemberRow{{Member: protocol.Member{Name: "dead", Address: deadAddress, State: protocol.MemberDead}}})
	g, err := group.Open(group.Config{Replica: replicate.Config{Election: time.Second, Heartbeat: time.Second}}, t.TempDir(), "self", noSender{})
	if err != nil {
		t.Fatal(err)
	}
	links := NewLinks("self", []byte(echoKey), time.Second, zerolog.Nop())
	t.Cleanup(links.closeAll)
	addresses := map[string]string{"voter": voterAddress, "learner": learnerAddress}
	b := NewBootstrap(g, tables, links, zerolog.Nop(), "self", []string{"self", "unknown"}, WithAllMembers(),
		WithMemberAddresses(func(name string) (string, bool) {
			address, ok := addresses[name]
			return address, ok
		}))
	s := g.Status()
	s.Members = protocol.ReplicaMembers{Voters: []protocol.ReplicaID{{Name: "self"}, {Name: "voter"}}, Learners: []protocol.ReplicaID{{Name: "learner"}}}
	b.join(&s)
	for name, j := range map[string]*joinCounter{"dead": dead, "voter": voter, "learner": learner} {
		if n := j.joins.Load(); n != 1 {
			t.Errorf("%s was asked %d times, want once", name, n)
		}
	}
}
