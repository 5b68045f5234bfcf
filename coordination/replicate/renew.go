package replicate

import "time"

// When all processes of a group were killed, its replicas restart one after the other, and
// each must wait out an election timeout before it votes, since it may have promised a
// leader not to elect another one meanwhile. That leader knows better: its lease ended with
// its process. So a replica whose disk says that it led the latest term it knows campaigns
// as soon as it starts, and its messages say that no lease of that term is valid
// (Message.Void). A voter that made its promise to a leader of that term or an earlier one
// need not wait any longer.
//
// Why this is safe: a voter in term T can be bound by a promise only to the leader of T.
// It entered T in one of three ways. It granted a vote, which it did only after its promise
// to an earlier leader had ended. Or it received a message from the leader of T, whose
// electing quorum shares a voter with every earlier lease, and that voter's promise had
// ended. Or it was a candidate, after an election timeout without a leader. So if the
// leader of T, or of a later term, says that its lease has ended, the voter is bound by no
// promise.

// A restarted former leader campaigns every 1/reelectionIntervalDivisor of an election
// timeout, since the voters that it needs may start at any moment.
const reelectionIntervalDivisor = 10

// reelectionElections is for how many election timeouts after its start a former leader
// campaigns at that interval.
const reelectionElections = 10

// startReelection makes a former leader campaign without waiting.
func (r *Replica) startReelection() {
	if !r.hard.Led {
		return
	}
	r.voidTerm = r.hard.Term
	r.clearPromises() // As the leader, it promised nothing to any other replica.
	r.electionDeadline = r.now
	r.reelectionUntil = r.now + reelectionElections*r.electionTimeout()
}

// seeksReelection reports whether this replica was restarted recently and led the latest
// term it knows.
func (r *Replica) seeksReelection() bool {
	return r.voidTerm != 0 && r.voidTerm == r.hard.Term && r.now < r.reelectionUntil
}

// reelectionInterval returns the time between two campaigns of a former leader.
func (r *Replica) reelectionInterval() time.Duration {
	return r.electionTimeout() / reelectionIntervalDivisor
}

// releasePromise ends the promise to a leader whose lease is reported as ended.
func (r *Replica) releasePromise(m Message) {
	if m.Void != 0 && m.Void >= r.hard.Term && r.role != Leader {
		r.clearPromises()
	}
}
