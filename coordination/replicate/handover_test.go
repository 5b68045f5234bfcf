package replicate

import (
	"errors"
	"testing"
	"time"
)

// TestShorterPromiseEndsNoLongerOne checks that a voter keeps a promise when a later
// message requests a shorter one, and keeps it on disk until it has ended.
func TestShorterPromiseEndsNoLongerOne(t *testing.T) {
	long := 4 * testConfig.Election
	began := time.Second
	voter := func() *Replica {
		b := replicaOf(idB, HardState{Term: 4})
		b.Update(StepMsg{Message: Message{Kind: Append, From: idA, To: idB, Term: 4, Promise: long}, Now: began})
		b.Update(StepMsg{Message: Message{Kind: Append, From: idA, To: idB, Term: 4}, Now: began + testConfig.Election/10})
		return b
	}
	for at, want := range map[time.Duration]bool{2 * testConfig.Election: false, long - time.Millisecond: false, long: true} {
		b := voter()
		if b.hard.Promise != long {
			t.Fatalf("the promise on disk is %v, want %v", b.hard.Promise, long)
		}
		for _, s := range sentMessages(b.Update(StepMsg{Message: Message{Kind: Vote, From: idC, To: idB, Term: 5, Index: 9, LogTerm: 9}, Now: began + at})) {
			if s.Message.Reject == want {
				t.Errorf("%v after the promise the vote is %+v", at, s.Message)
			}
		}
	}
	b := voter()
	b.Update(StepMsg{Message: Message{Kind: Append, From: idA, To: idB, Term: 4}, Now: began + long})
	if b.hard.Promise != 0 {
		t.Errorf("the promise on disk is still %v after it ended", b.hard.Promise)
	}
}

// leaderInHandover returns a leader with an uncommitted entry that was asked to hand over
// to b, and has received a proposal and a read since.
func leaderInHandover(t *testing.T) *Replica {
	t.Helper()
	r := replicaOf(idA, HardState{Term: 2})
	elect(t, r)
	acknowledge(r, idB, 1)
	r.Update(SyncedMsg{Index: 1, Term: r.hard.Term})
	r.Update(ProposeMsg{Token: 1})
	r.Update(HandoverMsg{Token: 2, To: "b"})
	if cmds := r.Update(ProposeMsg{Token: 3}); len(cmds) > 0 {
		t.Fatalf("a proposal during the handover returned %+v", cmds)
	}
	if cmds := r.Update(ReadMsg{Token: 4}); len(cmds) > 0 {
		t.Fatalf("a read during the handover returned %+v", cmds)
	}
	return r
}

// acknowledge sends a leader the reply of a voter that has the log up to an index.
func acknowledge(r *Replica, from ID, index uint64) []Cmd {
	return r.Update(StepMsg{Message: Message{Kind: AppendReply, From: from, To: r.id, Term: r.hard.Term, Index: index, Round: r.round}, Now: r.now})
}

// outcomes returns the answers to proposals, reads and handovers by token, and whether b
// was told to campaign.
func outcomes(cmds []Cmd) (answers map[uint64]error, told bool) {
	answers = map[uint64]error{}
	for _, c := range cmds {
		switch c := c.(type) {
		case ProposedCmd:
			answers[c.Token] = c.Err
		case ReadCmd:
			answers[c.Token] = c.Err
		case HandoverCmd:
			answers[c.Token] = c.Err
		case SendCmd:
			told = told || (c.Message.Kind == Handover && c.Message.To == idB)
		}
	}
	return answers, told
}

// TestHandoverWaitsForTheLog checks that a leader steps down only once its successor has
// the whole log and all of it is committed, and that held requests are then refused.
func TestHandoverWaitsForTheLog(t *testing.T) {
	r := leaderInHandover(t)
	if _, told := outcomes(acknowledge(r, idC, 2)); told {
		t.Fatal("the successor was told to campaign before it had the log")
	}
	if _, told := outcomes(acknowledge(r, idB, 2)); !told {
		// Two copies on other disks commit the entry; the leader's own copy is not
		// needed.
		t.Fatal("the successor was not told to campaign")
	}
	if _, leads := r.Leads(); leads || r.leaseUntil != 0 {
		t.Errorf("still leads, or has a lease: %+v", r.Status())
	}
	alone := leaderInHandover(t)
	if _, told := outcomes(acknowledge(alone, idB, 2)); told {
		t.Error("the successor was told to campaign with an entry that is not committed")
	}
	answers, told := outcomes(alone.Update(SyncedMsg{Index: 2, Term: alone.hard.Term}))
	if !told || answers[2] != nil || !errors.Is(answers[3], ErrNotLeader) || !errors.Is(answers[4], ErrNotLeader) {
		t.Errorf("successor told to campaign %v, answers %v", told, answers)
	}
}

// TestHandoverGivesUp checks that a leader whose successor does not catch up continues to
// lead and processes the held requests.
func TestHandoverGivesUp(t *testing.T) {
	r := leaderInHandover(t)
	var answers map[uint64]error
	for at := r.now; at <= r.handover.deadline+testConfig.Heartbeat && answers[2] == nil; at += testConfig.Heartbeat {
		acknowledge(r, idC, 1)
		answers, _ = outcomes(r.Update(TickMsg{Now: at}))
	}
	if _, leads := r.Leads(); !leads || !errors.Is(answers[2], ErrBusy) || answers[3] != nil {
		t.Errorf("at the deadline: answers %v, status %+v", answers, r.Status())
	}
	if r.log.Last() != 3 {
		t.Errorf("the log ends at %d, not with the held proposal", r.log.Last())
	}
}

// TestHandoverEndsWithLeadership checks that pending requests are answered when
// leadership ends during a handover for another reason.
func TestHandoverEndsWithLeadership(t *testing.T) {
	r := leaderInHandover(t)
	answers, _ := outcomes(r.Update(StepMsg{Message: Message{Kind: Append, From: idC, To: idA, Term: 9}, Now: r.now}))
	for _, token := range []uint64{2, 3, 4} {
		if !errors.Is(answers[token], ErrNotLeader) {
			t.Errorf("request %d was answered with %v", token, answers[token])
		}
	}
}

// TestLateHandover checks that a handover message is ignored in a later term and by a
// replica that lacks part of the leader's log.
func TestLateHandover(t *testing.T) {
	for name, tt := range map[string]struct {
		hard HardState
		m    Message
		want Role
	}{
		"in time":      {HardState{Term: 4}, Message{Term: 4, Index: 0}, Candidate},
		"a later term": {HardState{Term: 5}, Message{Term: 4, Index: 0}, Follower},
		"a short log":  {HardState{Term: 4}, Message{Term: 4, Index: 7, LogTerm: 4}, Follower},
	} {
		b := replicaOf(idB, tt.hard)
		tt.m.Kind, tt.m.From, tt.m.To = Handover, idA, idB
		b.Update(StepMsg{Message: tt.m, Now: time.Second})
		if b.role != tt.want {
			t.Errorf("%s: %v, want %v", name, b.role, tt.want)
		}
	}
}

// TestLeaderWithoutQuorumHandsOver checks that a leader that no quorum answers steps
// down, and with Config.Wide tells the replica with most of the log to campaign.
func TestLeaderWithoutQuorumHandsOver(t *testing.T) {
	for wide, want := range map[bool]bool{true: true, false: false} {
		r := replicaOf(idA, HardState{Term: 2})
		r.cfg.Wide = wide
		elect(t, r)
		acknowledge(r, idB, 1)
		_, told := outcomes(r.Update(TickMsg{Now: r.now + 2*testConfig.Election}))
		if _, leads := r.Leads(); leads || told != want || r.leaseUntil != 0 {
			t.Errorf("wide %v: successor told to campaign %v, status %+v", wide, told, r.Status())
		}
	}
}

// TestLoweredPromiseCoversThoseThatRun checks that the promise on disk covers every
// promise that has not ended, including one that was neither the longest nor the latest.
func TestLoweredPromiseCoversThoseThatRun(t *testing.T) {
	b := replicaOf(idB, HardState{Term: 4})
	began := time.Second
	longest, middle := 6*testConfig.Election, 5*testConfig.Election
	ask := func(promise, at time.Duration) {
		b.Update(StepMsg{Message: Message{Kind: Append, From: idA, To: idB, Term: 4, Promise: promise}, Now: began + at})
	}
	ask(longest, 0)
	ask(middle, longest-testConfig.Election)
	ask(2*testConfig.Election, longest)
	end := began + longest - testConfig.Election + middle
	fresh := restarted(idB, b.hard, began+longest)
	for _, s := range sentMessages(fresh.Update(StepMsg{Message: Message{Kind: Vote, From: idC, To: idB, Term: 5, Index: 9, LogTerm: 9}, Now: end - time.Millisecond})) {
		if !s.Message.Reject {
			t.Errorf("a vote was granted within a promise after a restart: %+v", s.Message)
		}
	}
}

// TestLeaseEndsWithItsQuorum checks that new voters shorten a lease that rests on
// promises they did not make: they may form a quorum without the voters that made them.
func TestLeaseEndsWithItsQuorum(t *testing.T) {
	r := replicaOf(idA, HardState{Term: 2})
	elect(t, r)
	r.requestedPromise = 4 * testConfig.Election
	r.broadcast()
	r.Update(StepMsg{Message: Message{Kind: AppendReply, From: idB, To: idA, Term: r.hard.Term, Index: 1, Round: r.round, Promise: r.requestedPromise}, Now: r.now})
	r.Update(SyncedMsg{Index: 1, Term: r.hard.Term})
	if r.leaseUntil-r.now <= testConfig.Election {
		t.Fatalf("the lease lasts only %v", r.leaseUntil-r.now)
	}
	r.requestedPromise = testConfig.Election
	idD, idE := ID{Name: "d", Incarnation: 4}, ID{Name: "e", Incarnation: 5}
	catchUp := func(ids ...ID) {
		r.broadcast()
		r.Update(SyncedMsg{Index: r.log.Last(), Term: r.hard.Term})
		for _, id := range ids {
			acknowledge(r, id, r.log.Last())
		}
	}
	catchUp(idC)
	for _, id := range []ID{idD, idE} {
		r.Update(JoinMsg{ID: id})
		catchUp(idC, idD, idE)
		r.Update(TickMsg{Now: r.now}) // It is promoted.
		catchUp(idC, idD, idE)
	}
	if n := len(r.log.Members().Voters); n != 5 {
		t.Fatalf("%d voters, want 5", n)
	}
	if r.leaseUntil-r.now > testConfig.Election {
		t.Errorf("the lease lasts %v, but three of five voters may elect another leader after %v", r.leaseUntil-r.now, testConfig.Election)
	}
}

// TestFailedMoveIsNotRepeatedAtOnce checks that after a failed handover to a better
// placed replica, which answers but does not catch up, the leader waits before the next
// attempt: each attempt delays proposals.
func TestFailedMoveIsNotRepeatedAtOnce(t *testing.T) {
	r := New(wideConfig, Start{ID: idA, Hard: HardState{Term: 2}, Snapshot: SnapshotMeta{Members: threeMembers}})
	r.leaderContactAt = -time.Hour
	elect(t, r)
	r.Update(SyncedMsg{Index: 1, Term: r.hard.Term})
	acknowledge(r, idB, 1)
	r.Update(ProposeMsg{Token: 1}) // No other replica persists it.
	moves := 0
	for at := r.now; at < 2*time.Minute; at += wideConfig.Heartbeat {
		for _, id := range []ID{idB, idC} {
			r.Update(StepMsg{Message: Message{Kind: AppendReply, From: id, To: idA, Term: r.hard.Term, Index: 1, Round: r.round}, Now: at})
			r.pingTrips.Observe("a", id.Name, 80*time.Millisecond, at)
		}
		r.pingTrips.Observe("b", "c", 2*time.Millisecond, at)
		for _, c := range r.Update(TickMsg{Now: at}) {
			if _, ok := c.(MoveCmd); ok {
				moves++
			}
		}
	}
	if moves < 1 || moves > 4 {
		t.Errorf("%d moves started in two minutes, want one to four", moves)
	}
}
