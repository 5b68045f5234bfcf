package group

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/weldstream/weldstream/coordination/replicate"
	"github.com/weldstream/weldstream/protocol"
)

// agreeingPeers is a sender that answers for peers which grant every vote and accept every
// entry. It records the leader's status at the time when messages are sent.
type agreeingPeers struct {
	group            *Group
	handoverSent     bool
	leasedAtHandover bool // leasedAtHandover reports whether the leader still had a lease at that time.
	appendSent       bool // appendSent reports whether the leader has sent an append message.
	sentBeforeStatus bool // sentBeforeStatus reports whether the first one was sent before the status showed the leader.
}

// Send implements Sender. It is called in the group's loop.
func (a *agreeingPeers) Send(group uint64, m replicate.Message) {
	reply := replicate.Message{From: m.To, To: m.From, Term: m.Term, Round: m.Round}
	switch m.Kind {
	case replicate.PreVote:
		reply.Kind = replicate.PreVoteReply
	case replicate.Vote:
		reply.Kind = replicate.VoteReply
	case replicate.Append:
		if s := a.group.Status(); !a.appendSent {
			a.appendSent, a.sentBeforeStatus = true, s.Role != replicate.Leader.String() || s.Term != m.Term
		}
		reply.Kind, reply.Index = replicate.AppendReply, m.Index+uint64(len(m.Entries))
	case replicate.Handover:
		_, a.leasedAtHandover = a.group.Leads()
		a.handoverSent = true
		return
	default:
		return
	}
	_ = a.group.Step(context.Background(), group, reply) // The inbox has room.
}

// TestLeaseEndsBeforeHandover checks that the status ends the lease before the handover
// message, with which another replica may become leader at once, is sent; and that the
// status shows a new leader before its first append message is sent.
func TestLeaseEndsBeforeHandover(t *testing.T) {
	cfg := Config{
		Replica:         replicate.Config{Election: time.Second, Heartbeat: 10 * time.Millisecond, Batch: 1 << 20, Window: 8},
		SnapshotEntries: 1 << 20,
	}
	others := &agreeingPeers{}
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
	awaitLeadership(ctx, t, g)
	if err := g.HandOver(ctx); err != nil {
		t.Fatal(err)
	}
	stop()
	loop.Wait()
	if !others.handoverSent || others.leasedAtHandover {
		t.Errorf("handover sent: %v, lease still valid at that time: %v; want true, false", others.handoverSent, others.leasedAtHandover)
	}
	if others.sentBeforeStatus {
		t.Error("the first append message was sent before the status showed the leader")
	}
}
