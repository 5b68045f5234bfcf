package replicate

import (
	"errors"
	"testing"
	"time"
)

// TestShorterPromiseEndsNoLongerOne checks that a voter keeps a promise also when a
// later message asks for less, and what is on its disk until the promise is over.
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
			t.Fatalf("%v is on disk while a promise of %v runs", b.hard.Promise, long)
		}
		for _, s := range sends(b.Update(StepMsg{Message: Message{Kind: Vote, From: idC, To: idB, Term: 5, Index: 9, LogTerm: 9}, Now: began + at})) {
			if s.Message.Reject == want {
				t.Errorf("%v behind the promise the vote is %+v", at, s.Message)
			}
		}
	}
	b := voter()
	b.Update(StepMsg{Message: Message{Kind: Append, From: idA, To: idB, Term: 4}, Now: began + long})
	if b.hard.Promise != 0 {
		t.Errorf("%v stays on disk though only shorter promises run", b.hard.Promise)
	}
}

// handing returns a leader with an entry that is not committed, which was asked to hand
// over to b, and has taken a proposal and a read since.
func handing(t *testing.T) *Replica {
	t.Helper()
	r := replicaOf(idA, HardState{Term: 2})
	elect(t, r)
	answer(r, idB, 1)
	r.Update(SyncedMsg{Index: 1, Term: r.hard.Term})
	r.Update(ProposeMsg{Token: 1})
	r.Update(HandoverMsg{Token: 2, To: "b"})
	if cmds := r.Update(ProposeMsg{Token: 3}); len(cmds) > 0 {
		t.Fatalf("a proposal during the hand-over came to %+v", cmds)
	}
	if cmds := r.Update(ReadMsg{Token: 4}); len(cmds) > 0 {
		t.Fatalf("a read during the hand-over came to %+v", cmds)
	}
	return r
}

// answer has a voter tell that it has the log up to an index.
func answer(r *Replica, from ID, index uint64) []Cmd {
	return r.Update(StepMsg{Message: Message{Kind: AppendReply, From: from, To: r.id, Term: r.hard.Term, Index: index, Round: r.round}, Now: r.now})
}

// outcomes returns how proposals, reads and hand-overs were answered, and whether the
// successor was told.
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

// TestHandoverWaitsForTheLog checks that a leader steps down only once its successor
// has all of the log and all of it is committed, and that what was held is answered as
// not proposed.
func TestHandoverWaitsForTheLog(t *testing.T) {
	r := handing(t)
	if _, told := outcomes(answer(r, idC, 2)); told {
		t.Fatal("told to campaign before it has the log")
	}
	if _, told := outcomes(answer(r, idB, 2)); !told {
		// Two copies on other disks commit the entry; its own is not needed.
		t.Fatal("not told to campaign")
	}
	if _, leads := r.Leads(); leads || r.lease != 0 {
		t.Errorf("still leads, or has a lease: %+v", r.Status())
	}
	alone := handing(t)
	if _, told := outcomes(answer(alone, idB, 2)); told {
		t.Error("told to campaign with an entry that is on one disk only")
	}
	answers, told := outcomes(alone.Update(SyncedMsg{Index: 2, Term: alone.hard.Term}))
	if !told || answers[2] != nil || !errors.Is(answers[3], ErrNotLeader) || !errors.Is(answers[4], ErrNotLeader) {
		t.Errorf("told %v, answers %v", told, answers)
	}
}

// TestHandoverGivesUp checks that a leader whose successor does not catch up goes on
// with what it held.
func TestHandoverGivesUp(t *testing.T) {
	r := handing(t)
	var answers map[uint64]error
	for at := r.now; at <= r.handover.end+testConfig.Heartbeat && answers[2] == nil; at += testConfig.Heartbeat {
		answer(r, idC, 1)
		answers, _ = outcomes(r.Update(TickMsg{Now: at}))
	}
	if _, leads := r.Leads(); !leads || !errors.Is(answers[2], ErrBusy) || answers[3] != nil {
		t.Errorf("answers %v, %+v", answers, r.Status())
	}
	if r.log.Last() != 3 {
		t.Errorf("the log ends at %d, not with the proposal that was held", r.log.Last())
	}
}

// TestHandoverEndsWithLeadership checks that one who waits for a hand-over is told when
// leadership ends in another way.
func TestHandoverEndsWithLeadership(t *testing.T) {
	r := handing(t)
	answers, _ := outcomes(r.Update(StepMsg{Message: Message{Kind: Append, From: idC, To: idA, Term: 9}, Now: r.now}))
	for _, token := range []uint64{2, 3, 4} {
		if !errors.Is(answers[token], ErrNotLeader) {
			t.Errorf("%d is answered %v", token, answers[token])
		}
	}
}

// TestLateHandover checks that a message to campaign is of no use in a later term, or
// to a replica that lacks what the leader had.
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

// TestAbdication checks that a leader without a quorum's answers tells the replica with
// most of the log to campaign, if replicas lie in several regions, and leads no more.
func TestAbdication(t *testing.T) {
	for wide, want := range map[bool]bool{true: true, false: false} {
		r := replicaOf(idA, HardState{Term: 2})
		r.cfg.Wide = wide
		elect(t, r)
		answer(r, idB, 1)
		_, told := outcomes(r.Update(TickMsg{Now: r.now + 2*testConfig.Election}))
		if _, leads := r.Leads(); leads || told != want || r.lease != 0 {
			t.Errorf("wide %v: told %v, %+v", wide, told, r.Status())
		}
	}
}

// TestLoweredPromiseCoversThoseThatRun checks that what is on a voter's disk covers each
// promise that still runs, also one that was neither the longest nor the last.
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
	for _, s := range sends(fresh.Update(StepMsg{Message: Message{Kind: Vote, From: idC, To: idB, Term: 5, Index: 9, LogTerm: 9}, Now: end - time.Millisecond})) {
		if !s.Message.Reject {
			t.Errorf("a vote within a promise, behind a restart: %+v", s.Message)
		}
	}
}

// TestLeaseEndsWithItsQuorum checks that voters that are taken in shorten a lease which
// rests on a promise that they did not make: they may be a quorum without it.
func TestLeaseEndsWithItsQuorum(t *testing.T) {
	r := replicaOf(idA, HardState{Term: 2})
	elect(t, r)
	r.wantPromise = 4 * testConfig.Election
	r.broadcast()
	r.Update(StepMsg{Message: Message{Kind: AppendReply, From: idB, To: idA, Term: r.hard.Term, Index: 1, Round: r.round, Promise: r.wantPromise}, Now: r.now})
	r.Update(SyncedMsg{Index: 1, Term: r.hard.Term})
	if r.lease-r.now <= testConfig.Election {
		t.Fatalf("the lease runs %v only", r.lease-r.now)
	}
	r.wantPromise = testConfig.Election
	idD, idE := ID{Name: "d", Incarnation: 4}, ID{Name: "e", Incarnation: 5}
	catchUp := func(ids ...ID) {
		r.broadcast()
		r.Update(SyncedMsg{Index: r.log.Last(), Term: r.hard.Term})
		for _, id := range ids {
			answer(r, id, r.log.Last())
		}
	}
	catchUp(idC)
	for _, id := range []ID{idD, idE} {
		r.Update(JoinMsg{ID: id})
		catchUp(idC, idD, idE)
		r.Update(TickMsg{Now: r.now}) // It is made a voter.
		catchUp(idC, idD, idE)
	}
	if n := len(r.log.Members().Voters); n != 5 {
		t.Fatalf("%d voters", n)
	}
	if r.lease-r.now > testConfig.Election {
		t.Errorf("the lease runs %v, but three of five elect another after %v", r.lease-r.now, testConfig.Election)
	}
}

// TestFailedMoveIsNotRepeatedAtOnce checks that a leader whose better place answers, but
// does not catch up, leaves it alone for a while: each try holds up what is proposed.
func TestFailedMoveIsNotRepeatedAtOnce(t *testing.T) {
	r := New(wideConfig, Start{ID: idA, Hard: HardState{Term: 2}, Snapshot: SnapshotMeta{Members: abc}})
	r.heardAt = -time.Hour
	elect(t, r)
	r.Update(SyncedMsg{Index: 1, Term: r.hard.Term})
	answer(r, idB, 1)
	r.Update(ProposeMsg{Token: 1}) // Nobody has it on disk.
	moves := 0
	for at := r.now; at < 2*time.Minute; at += wideConfig.Heartbeat {
		for _, id := range []ID{idB, idC} {
			r.Update(StepMsg{Message: Message{Kind: AppendReply, From: id, To: idA, Term: r.hard.Term, Index: 1, Round: r.round}, Now: at})
			r.trips.Observe("a", id.Name, 80*time.Millisecond, at)
		}
		r.trips.Observe("b", "c", 2*time.Millisecond, at)
		for _, c := range r.Update(TickMsg{Now: at}) {
			if _, ok := c.(MoveCmd); ok {
				moves++
			}
		}
	}
	if moves < 1 || moves > 4 {
		t.Errorf("%d moves begun in two minutes, want one to four", moves)
	}
}
