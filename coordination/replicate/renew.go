package replicate

import "time"

// A group whose processes were all killed comes back one replica after the other.
// Each of them must wait out an election timeout before it votes, as it may have
// promised a leader that no other is elected meanwhile. That leader knows better: its
// lease ended with its process. So a replica that finds on its disk that it led the
// latest term that it knows campaigns as soon as it is started, and says in its
// messages that no lease of that term runs (Message.Void). A voter whose promise was
// to a leader of that term, or of one before it, need not wait any more.
//
// Why that is safe. A voter in term T can owe a promise only to the leader of T: it
// came into T by a vote, which it gave only once its promise to an earlier leader was
// over; or by a message of the leader of T, who was elected by a quorum that shares a
// voter with each lease, whose promise was over; or as a candidate, after an election
// timeout without a leader. So if the leader of T says that its lease has ended, or
// the leader of a later term does, the voter owes nothing.

// renewShare of an election timeout is between two campaigns of a former leader:
// the voters it needs may be started any moment.
const renewShare = 10

// renewTimes is for how many election timeouts after its start a former leader
// campaigns at that pace.
const renewTimes = 10

// resume has a former leader begin without waiting.
func (r *Replica) resume() {
	if !r.hard.Led {
		return
	}
	r.void = r.hard.Term
	r.clearPromises() // It promised nothing to anybody else.
	r.electionAt = r.now
	r.renewUntil = r.now + renewTimes*r.timeout()
}

// renews reports whether this replica led the latest term that it knows before it
// was started anew, a short while ago.
func (r *Replica) renews() bool { return r.void != 0 && r.void == r.hard.Term && r.now < r.renewUntil }

// renewPause is between two campaigns of a former leader.
func (r *Replica) renewPause() time.Duration { return r.timeout() / renewShare }

// release ends the promise to a leader that says that its lease has ended.
func (r *Replica) release(m Message) {
	if m.Void != 0 && m.Void >= r.hard.Term && r.role != Leader {
		r.clearPromises()
	}
}
