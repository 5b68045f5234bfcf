package replicate

import (
	"testing"
	"time"
)

// restarted returns a replica that has just been started from what is on its disk.
func restarted(id ID, hard HardState, now time.Duration) *Replica {
	return New(testConfig, Start{ID: id, Hard: hard, Snapshot: SnapshotMeta{Members: abc}, Now: now})
}

// TestFormerLeaderIsElectedAtOnce checks that after all processes were killed the
// former leader is elected as soon as a quorum is up, without an election timeout.
func TestFormerLeaderIsElectedAtOnce(t *testing.T) {
	now := time.Second
	a := restarted(idA, HardState{Term: 4, Vote: idA, Led: true}, now)
	asked := sends(a.Update(TickMsg{Now: now}))
	if len(asked) != 2 || asked[0].Message.Kind != PreVote || asked[0].Message.Void != 4 {
		t.Fatalf("the former leader sent %+v", asked)
	}
	// Nobody was up to hear that. It asks again soon.
	now += testConfig.Election / 5
	asked = sends(a.Update(TickMsg{Now: now}))
	if len(asked) != 2 {
		t.Fatalf("it did not ask again: %+v", asked)
	}
	b := restarted(idB, HardState{Term: 4, Vote: idA}, now)
	for range 2 { // First whether the vote would be given, then in earnest.
		for _, m := range asked {
			if m.Message.To != idB {
				continue
			}
			for _, r := range sends(b.Update(StepMsg{Message: m.Message, Now: now})) {
				asked = sends(a.Update(StepMsg{Message: r.Message, Now: now}))
			}
		}
		a.Update(SyncedMsg{})
	}
	if term, leads := a.Leads(); !leads || term != 5 {
		t.Errorf("it is not the leader of the next term: %+v", a.Status())
	}
}

// TestPromiseToAnotherStands checks that a voter waits out its promise where the
// leader whom it promised is not the one that says that its lease has ended.
func TestPromiseToAnotherStands(t *testing.T) {
	now := time.Second
	for name, c := range map[string]struct {
		hard    HardState
		void    uint64
		granted bool
	}{
		"to the leader of the same term":    {HardState{Term: 4}, 4, true},
		"to a leader before it":             {HardState{Term: 3}, 4, true},
		"to the leader of a later term":     {HardState{Term: 5}, 4, false},
		"the candidate led no term":         {HardState{Term: 4}, 0, false},
		"the candidate led one before that": {HardState{Term: 4}, 3, false},
	} {
		b := restarted(idB, c.hard, now)
		m := Message{Kind: PreVote, From: idA, To: idB, Term: 6, Index: 9, LogTerm: 9, Void: c.void}
		replies := sends(b.Update(StepMsg{Message: m, Now: now}))
		if len(replies) != 1 || replies[0].Message.Reject == c.granted {
			t.Errorf("%s: %+v", name, replies)
		}
	}
}

// TestOnlyALeaderClaims checks that a replica that voted for itself and was not
// elected waits like any other: whoever was elected may still lead.
func TestOnlyALeaderClaims(t *testing.T) {
	r := restarted(idA, HardState{Term: 4, Vote: idA}, time.Second)
	if asked := sends(r.Update(TickMsg{Now: time.Second})); len(asked) > 0 {
		t.Errorf("it campaigns at once: %+v", asked)
	}
}

// TestLedIsOnDisk checks that a leader has written that it leads before it can
// count its own entry.
func TestLedIsOnDisk(t *testing.T) {
	r := replicaOf(idA, HardState{Term: 2})
	r.Update(TickMsg{Now: time.Second})
	r.Update(StepMsg{Message: Message{Kind: PreVoteReply, From: idB, To: r.id, Term: r.hard.Term + 1}, Now: time.Second})
	r.Update(SyncedMsg{})
	led := false
	for _, c := range r.Update(StepMsg{Message: Message{Kind: VoteReply, From: idB, To: r.id, Term: r.hard.Term}, Now: time.Second}) {
		if p, ok := c.(PersistCmd); ok && len(p.Entries) > 0 {
			led = p.Hard.Led
		}
	}
	if !led {
		t.Error("the first entry of the term was written without it")
	}
}

// TestStartedTogether checks that of replicas that were started together the first of
// the members that are up is elected, one election timeout after the start, and that
// no two campaign at once.
func TestStartedTogether(t *testing.T) {
	now := time.Second
	replicas := map[ID]*Replica{}
	for _, id := range []ID{idB, idC} { // The first member is down.
		replicas[id] = restarted(id, HardState{Term: 4}, now)
	}
	campaigns := 0
	for end := now + 2*testConfig.Election; now < end && replicas[idB].role != Leader; now += time.Millisecond {
		for _, id := range []ID{idC, idB} {
			asked := sends(replicas[id].Update(TickMsg{Now: now}))
			if len(asked) > 0 {
				campaigns++
			}
			for len(asked) > 0 { // What is sent is answered at once.
				m := asked[0].Message
				asked = asked[1:]
				if to := replicas[m.To]; to != nil {
					asked = append(asked, sends(to.Update(StepMsg{Message: m, Now: now}))...)
					asked = append(asked, sends(to.Update(SyncedMsg{}))...)
				}
			}
		}
	}
	took := now - time.Second
	if replicas[idB].role != Leader || campaigns != 1 || took > testConfig.Election+2*testConfig.Election/turnShare {
		t.Errorf("%s after %v and %d campaigns", replicas[idB].role, took, campaigns)
	}
}
