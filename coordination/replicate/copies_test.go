package replicate

import (
	"testing"
	"time"
)

// TestCopies checks that an entry is committed only once it is on as many disks as
// Config.Copies requires, even if a quorum would be fewer.
func TestCopies(t *testing.T) {
	r := replicaOf(idA, HardState{})
	r.cfg.Copies = 3
	elect(t, r)
	last := r.log.Last()
	r.Update(SyncedMsg{Index: last, Term: r.hard.Term})
	r.Update(StepMsg{Message: Message{Kind: AppendReply, From: idB, To: idA, Term: r.hard.Term, Index: last}, Now: time.Second})
	if r.commit == last {
		t.Error("committed on two disks, three are required")
	}
	r.Update(StepMsg{Message: Message{Kind: AppendReply, From: idC, To: idA, Term: r.hard.Term, Index: last}, Now: time.Second})
	if r.commit != last {
		t.Errorf("committed up to %d, want %d", r.commit, last)
	}
}

// TestLearnerReplacesSilentVoter checks that a group with the maximum number of voters
// promotes a learner only in place of a silent voter, which it then removes.
func TestLearnerReplacesSilentVoter(t *testing.T) {
	r := replicaOf(idA, HardState{})
	r.cfg.Voters, r.cfg.Gone = 3, time.Second
	elect(t, r)
	idD := ID{Name: "d", Incarnation: 4}
	now := time.Second
	answer := func(ids ...ID) {
		for range 3 {
			r.Update(SyncedMsg{Index: r.log.Last(), Term: r.hard.Term})
			for _, id := range ids {
				r.Update(StepMsg{Message: Message{Kind: AppendReply, From: id, To: idA, Term: r.hard.Term, Index: r.log.Last()}, Now: now})
			}
		}
		now += testConfig.Heartbeat
		r.Update(TickMsg{Now: now})
	}
	answer(idB, idC)
	r.Update(JoinMsg{ID: idD})
	for range 20 {
		answer(idB, idC, idD)
	}
	if m := r.log.Members(); len(m.Voters) != 3 || !m.IsLearner(idD) {
		t.Fatalf("with all voters answering, the members are %+v", m)
	}
	for range 80 {
		answer(idB, idD)
	}
	m := r.log.Members()
	if len(m.Voters) != 3 || !m.IsVoter(idD) || m.IsVoter(idC) {
		t.Errorf("after a voter went silent, the members are %+v", m)
	}
}
