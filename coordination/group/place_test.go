package group

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/weldstream/weldstream/coordination/replicate"
	"github.com/weldstream/weldstream/protocol"
)

// agreeing is a sender whose replicas vote for, and take, whatever they are sent. It
// looks at what the state of the leader tells when its messages go out.
type agreeing struct {
	group   *Group
	told    bool
	leading bool // leading says that the leader vouched for its state at that moment.
	heard   bool // heard says that the leader made itself known.
	hidden  bool // hidden says that others heard of the leader before its state told.
}

// Send implements Sender; it is called in the group's loop.
func (a *agreeing) Send(group uint64, m replicate.Message) {
	reply := replicate.Message{From: m.To, To: m.From, Term: m.Term, Round: m.Round}
	switch m.Kind {
	case replicate.PreVote:
		reply.Kind = replicate.PreVoteReply
	case replicate.Vote:
		reply.Kind = replicate.VoteReply
	case replicate.Append:
		if s := a.group.Status(); !a.heard {
			a.heard, a.hidden = true, s.Role != replicate.Leader.String() || s.Term != m.Term
		}
		reply.Kind, reply.Index = replicate.AppendReply, m.Index+uint64(len(m.Entries))
	case replicate.Handover:
		_, a.leading = a.group.Leads()
		a.told = true
		return
	default:
		return
	}
	_ = a.group.Step(context.Background(), group, reply) // The inbox has room.
}

// TestNoLeaseBehindAHandover checks that whoever asks is told that this replica leads
// no more before another one is told to campaign, which then may lead at once; and that
// it leads before the others hear of that.
func TestNoLeaseBehindAHandover(t *testing.T) {
	cfg := Config{
		Replica:         replicate.Config{Election: time.Second, Heartbeat: 10 * time.Millisecond, Batch: 1 << 20, Window: 8},
		SnapshotEntries: 1 << 20,
	}
	others := &agreeing{}
	g, err := Open(cfg, t.TempDir(), "a", others)
	if err != nil {
		t.Fatal(err)
	}
	others.group = g
	ctx, stop := context.WithTimeout(t.Context(), time.Minute)
	defer stop()
	var loop sync.WaitGroup
	loop.Go(func() {
		if err := g.Run(ctx); err != nil {
			t.Error(err)
		}
	})
	voters := []protocol.ReplicaID{g.ID(), {Name: "b", Incarnation: 1}, {Name: "c", Incarnation: 1}}
	if err := g.Bootstrap(ctx, 7, protocol.ReplicaMembers{Voters: voters}); err != nil {
		t.Fatal(err)
	}
	awaitVouching(ctx, t, g)
	if err := g.HandOver(ctx); err != nil {
		t.Fatal(err)
	}
	stop()
	loop.Wait()
	if !others.told || others.leading {
		t.Errorf("told to campaign: %v, while the lease still counted: %v", others.told, others.leading)
	}
	if others.hidden {
		t.Error("others heard of the leader before its state told that it leads")
	}
}
