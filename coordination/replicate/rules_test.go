package replicate

import (
	"testing"
	"time"
)

var (
	idA          = ID{Name: "a", Incarnation: 1}
	idB          = ID{Name: "b", Incarnation: 2}
	idC          = ID{Name: "c", Incarnation: 3}
	threeMembers = Members{Voters: []ID{idA, idB, idC}}
)

// replicaOf returns a replica of a group of three that started so long ago that it may
// vote at once.
func replicaOf(id ID, hard HardState, entries ...Entry) *Replica {
	r := New(testConfig, Start{ID: id, Hard: hard, Snapshot: SnapshotMeta{Members: threeMembers}, Entries: entries})
	r.leaderContactAt = -time.Hour
	return r
}

func sentMessages(cmds []Cmd) []SendCmd {
	var out []SendCmd
	for _, c := range cmds {
		if s, ok := c.(SendCmd); ok {
			out = append(out, s)
		}
	}
	return out
}

// elect makes a replica the leader with the vote of b.
func elect(t *testing.T, r *Replica) {
	t.Helper()
	r.Update(TickMsg{Now: time.Second})
	r.Update(StepMsg{Message: Message{Kind: PreVoteReply, From: idB, To: r.id, Term: r.hard.Term + 1}, Now: time.Second})
	r.Update(SyncedMsg{})
	r.Update(StepMsg{Message: Message{Kind: VoteReply, From: idB, To: r.id, Term: r.hard.Term}, Now: time.Second})
	if r.role != Leader {
		t.Fatalf("not elected: %+v", r.Status())
	}
}

// TestVoteIsOnDiskFirst checks that a granted vote is persisted before it is sent, and
// that only one vote is granted per term.
func TestVoteIsOnDiskFirst(t *testing.T) {
	r := replicaOf(idB, HardState{Term: 4})
	cmds := r.Update(StepMsg{Message: Message{Kind: Vote, From: idA, To: idB, Term: 5}})
	written := false
	for _, c := range cmds {
		switch c := c.(type) {
		case PersistCmd:
			written = c.Hard == HardState{Term: 5, Vote: idA}
		case SendCmd:
			if c.Message.Reject || !c.Durable || !written {
				t.Errorf("the vote was sent as %+v, written before: %v", c, written)
			}
		}
	}
	second := sentMessages(r.Update(StepMsg{Message: Message{Kind: Vote, From: idC, To: idB, Term: 5}}))
	if len(second) != 1 || !second[0].Message.Reject {
		t.Errorf("a second candidate of the term got %+v", second)
	}
}

// TestNoVoteWithinLease checks that a replica that heard from a leader, or may have heard
// from one before its restart, grants no vote within the election timeout.
func TestNoVoteWithinLease(t *testing.T) {
	heard := replicaOf(idB, HardState{Term: 4})
	heard.Update(StepMsg{Message: Message{Kind: Append, From: idA, To: idB, Term: 4}, Now: time.Second})
	restarted := New(testConfig, Start{ID: idB, Hard: HardState{Term: 4}, Snapshot: SnapshotMeta{Members: threeMembers}, Now: time.Second})
	for name, r := range map[string]*Replica{"heard": heard, "restarted": restarted} {
		for _, kind := range []MessageKind{PreVote, Vote} {
			at := time.Second + testConfig.Election - time.Millisecond
			for _, s := range sentMessages(r.Update(StepMsg{Message: Message{Kind: kind, From: idC, To: idB, Term: 5, Index: 9, LogTerm: 9}, Now: at})) {
				if !s.Message.Reject {
					t.Errorf("%s: granted %+v within the lease", name, s.Message)
				}
			}
		}
		after := time.Second + testConfig.Election
		late := sentMessages(r.Update(StepMsg{Message: Message{Kind: Vote, From: idC, To: idB, Term: 6, Index: 9, LogTerm: 9}, Now: after}))
		if len(late) != 1 || late[0].Message.Reject {
			t.Errorf("%s: after the lease the vote is %+v", name, late)
		}
	}
}

// TestOldTermCommitsNothing checks that an entry of an earlier term is not committed
// because a quorum has it: a replica with an entry of a later term could still be elected
// and replace it.
func TestOldTermCommitsNothing(t *testing.T) {
	r := replicaOf(idA, HardState{Term: 2}, Entry{Index: 1, Term: 2, Kind: EntryCommand})
	elect(t, r)
	r.Update(SyncedMsg{Index: 1, Term: 2})
	r.Update(StepMsg{Message: Message{Kind: AppendReply, From: idB, To: idA, Term: r.hard.Term, Index: 1}, Now: time.Second})
	if r.commit != 0 {
		t.Fatalf("committed up to %d with an entry of an old term", r.commit)
	}
	r.Update(SyncedMsg{Index: 2, Term: r.hard.Term})
	r.Update(StepMsg{Message: Message{Kind: AppendReply, From: idB, To: idA, Term: r.hard.Term, Index: 2}, Now: time.Second})
	if r.commit != 2 {
		t.Errorf("committed up to %d, want 2", r.commit)
	}
}

// TestReplacementTakesTwoChanges checks that after a lost disk the old incarnation is
// removed before the new one is promoted, that each change is committed before the next,
// and that no change is made before an entry of the term is committed.
func TestReplacementTakesTwoChanges(t *testing.T) {
	r := replicaOf(idA, HardState{Term: 2})
	elect(t, r)
	fresh := ID{Name: "c", Incarnation: 9}
	r.Update(JoinMsg{ID: fresh})
	if r.log.Members().IsLearner(fresh) {
		t.Fatal("members changed before an entry of the term was committed")
	}
	ack := func() {
		last := r.log.Last()
		r.Update(SyncedMsg{Index: last, Term: r.hard.Term})
		for id := range r.peers {
			r.Update(StepMsg{Message: Message{Kind: AppendReply, From: id, To: idA, Term: r.hard.Term, Index: last}, Now: r.now})
		}
	}
	ack()
	r.Update(JoinMsg{ID: fresh})
	var steps []Members
	for range 4 {
		steps = append(steps, r.log.Members())
		ack()
		r.Update(TickMsg{Now: r.now + time.Millisecond})
	}
	want := []struct{ old, learner, voter bool }{{true, true, false}, {false, true, false}, {false, false, true}, {false, false, true}}
	for i, w := range want {
		got := struct{ old, learner, voter bool }{steps[i].IsVoter(idC), steps[i].IsLearner(fresh), steps[i].IsVoter(fresh)}
		if got != w {
			t.Errorf("step %d: %+v, want %+v", i, got, w)
		}
	}
}

// TestLateSnapshotKeepsAcknowledgedEntries guards against a fault found by the long runs:
// a delayed snapshot removed later entries that the replica had already acknowledged.
func TestLateSnapshotKeepsAcknowledgedEntries(t *testing.T) {
	r := replicaOf(idB, HardState{Term: 1})
	entries := []Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1}, {Index: 3, Term: 1}}
	r.Update(StepMsg{Message: Message{Kind: Append, From: idA, To: idB, Term: 1, Entries: entries}})
	r.Update(StepMsg{Message: Message{Kind: Snapshot, From: idA, To: idB, Term: 1, Snapshot: SnapshotMeta{Index: 2, Term: 1, Members: threeMembers}}})
	if r.log.Last() != 3 {
		t.Errorf("the log ends at %d, want 3", r.log.Last())
	}
}

// TestConfirmedRead checks that a read waits until a quorum answers a message that was
// sent after the read was requested.
func TestConfirmedRead(t *testing.T) {
	r := replicaOf(idA, HardState{Term: 2})
	elect(t, r)
	r.Update(SyncedMsg{Index: 1, Term: r.hard.Term})
	r.Update(StepMsg{Message: Message{Kind: AppendReply, From: idB, To: idA, Term: r.hard.Term, Index: 1, Round: r.round}, Now: r.now})
	before := r.round
	answered := func(cmds []Cmd) bool {
		for _, c := range cmds {
			if rd, ok := c.(ReadCmd); ok && rd.Err == nil {
				return true
			}
		}
		return false
	}
	if answered(r.Update(ReadMsg{Token: 1})) {
		t.Error("the read was answered without a quorum")
	}
	if answered(r.Update(StepMsg{Message: Message{Kind: AppendReply, From: idB, To: idA, Term: r.hard.Term, Index: 1, Round: before}, Now: r.now})) {
		t.Error("the read was answered by an older round")
	}
	if !answered(r.Update(StepMsg{Message: Message{Kind: AppendReply, From: idB, To: idA, Term: r.hard.Term, Index: 1, Round: r.round}, Now: r.now})) {
		t.Error("the read was not answered by a quorum")
	}
}

// TestOldRoundRenewsNoLease guards against a fault found by the long runs: a leader sent
// a message, restarted and was elected again, and the answer to the old message counted
// for a round that it had not sent yet, and extended its lease from then on.
func TestOldRoundRenewsNoLease(t *testing.T) {
	a, b := replicaOf(idA, HardState{Term: 5}), replicaOf(idB, HardState{Term: 6})
	elect(t, a)
	lease := a.leaseUntil
	late := Message{Kind: Append, From: idA, To: idB, Term: 5, Round: 14}
	for _, reply := range sentMessages(b.Update(StepMsg{Message: late, Now: time.Second})) {
		a.Update(StepMsg{Message: reply.Message, Now: time.Second})
	}
	for i := range time.Duration(5) {
		a.Update(TickMsg{Now: time.Second + i*testConfig.Heartbeat})
	}
	if a.hard.Term != 6 || a.leaseUntil != lease {
		t.Errorf("in term %d the lease was extended from %v to %v without an answer", a.hard.Term, lease, a.leaseUntil)
	}
}
