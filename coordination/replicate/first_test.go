package replicate

import "testing"

// TestFirstLeader checks that only a leader whose log was empty when it was elected counts as the
// group's first one, for as long as it leads.
func TestFirstLeader(t *testing.T) {
	r := replicaOf(idA, HardState{Term: 2})
	if r.Status().First {
		t.Error("a follower counts as the first leader")
	}
	elect(t, r)
	if !r.Status().First {
		t.Error("the leader of an empty log does not count as the first one")
	}
	r.Update(StepMsg{Message: Message{Kind: Append, From: idB, To: idA, Term: r.hard.Term + 1}, Now: r.now})
	if r.Status().First {
		t.Error("a former leader still counts as the first one")
	}
	next := replicaOf(idA, HardState{Term: 2}, Entry{Index: 1, Term: 2})
	elect(t, next)
	if next.Status().First {
		t.Error("a leader with entries of an earlier term counts as the first one")
	}
}
