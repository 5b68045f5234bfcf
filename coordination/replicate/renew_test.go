package replicate

import (
	"testing"
	"time"
)

// restarted returns a replica that has just restarted with the given hard state on disk.
func restarted(id ID, hard HardState, now time.Duration) *Replica {
	return New(testConfig, Start{ID: id, Hard: hard, Snapshot: SnapshotMeta{Members: threeMembers}, Now: now})
}

// TestFormerLeaderIsElectedAtOnce checks that after all processes were killed, the former
// leader is elected as soon as a quorum is up, without waiting for an election timeout.
func TestFormerLeaderIsElectedAtOnce(t *testing.T) {
	now := time.Second
	a := restarted(idA, HardState{Term: 4, Vote: idA, Led: true}, now)
	sent := sentMessages(a.Update(TickMsg{Now: now}))
	if len(sent) != 2 || sent[0].Message.Kind != PreVote || sent[0].Message.Void != 4 {
		t.Fatalf("the former leader sent %+v", sent)
	}
	// No other replica was up yet. It asks again soon.
	now += testConfig.Election / 5
	sent = sentMessages(a.Update(TickMsg{Now: now}))
	if len(sent) != 2 {
		t.Fatalf("it did not ask again: %+v", sent)
	}
	b := restarted(idB, HardState{Term: 4, Vote: idA}, now)
	for range 2 { // The pre-vote, then the vote.
		for _, m := range sent {
			if m.Message.To != idB {
				continue
			}
			for _, r := range sentMessages(b.Update(StepMsg{Message: m.Message, Now: now})) {
				sent = sentMessages(a.Update(StepMsg{Message: r.Message, Now: now}))
			}
		}
		a.Update(SyncedMsg{})
	}
	if term, leads := a.Leads(); !leads || term != 5 {
		t.Errorf("it is not the leader of the next term: %+v", a.Status())
	}
}

// TestPromiseToAnotherStands checks that a voter waits until its promise ends unless the
// leader it made the promise to, or a later one, reports that its lease has ended.
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
		replies := sentMessages(b.Update(StepMsg{Message: m, Now: now}))
		if len(replies) != 1 || replies[0].Message.Reject == c.granted {
			t.Errorf("%s: the pre-vote replies are %+v", name, replies)
		}
	}
}

// TestOnlyFormerLeaderCampaignsAtOnce checks that a replica that voted for itself and was
// not elected waits like any other: whoever was elected may still be the leader.
func TestOnlyFormerLeaderCampaignsAtOnce(t *testing.T) {
	r := restarted(idA, HardState{Term: 4, Vote: idA}, time.Second)
	if sent := sentMessages(r.Update(TickMsg{Now: time.Second})); len(sent) > 0 {
		t.Errorf("it campaigned at once: %+v", sent)
	}
}

// TestLedIsOnDisk checks that a leader persists that it led the term no later than the
// first entry of that term.
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
		t.Error("the first entry of the term was written without the Led flag")
	}
}

// TestStartedTogether checks that of replicas that start together, the first running one
// in the member list is elected after one election timeout, and that no two campaign at
// once.
func TestStartedTogether(t *testing.T) {
	now := time.Second
	replicas := map[ID]*Replica{}
	for _, id := range []ID{idB, idC} { // The first member is down.
		replicas[id] = restarted(id, HardState{Term: 4}, now)
	}
	campaigns := 0
	for end := now + 2*testConfig.Election; now < end && replicas[idB].role != Leader; now += time.Millisecond {
		for _, id := range []ID{idC, idB} {
			queue := sentMessages(replicas[id].Update(TickMsg{Now: now}))
			if len(queue) > 0 {
				campaigns++
			}
			for len(queue) > 0 { // Messages are delivered at once.
				m := queue[0].Message
				queue = queue[1:]
				if to := replicas[m.To]; to != nil {
					queue = append(queue, sentMessages(to.Update(StepMsg{Message: m, Now: now}))...)
					queue = append(queue, sentMessages(to.Update(SyncedMsg{}))...)
				}
			}
		}
	}
	took := now - time.Second
	if replicas[idB].role != Leader || campaigns != 1 || took > testConfig.Election+2*testConfig.Election/startStaggerDivisor {
		t.Errorf("the first running member is %s after %v and %d campaigns", replicas[idB].role, took, campaigns)
	}
}
