package replicate

// campaign asks for votes: first whether they would be given, at a term that
// nobody takes on for it, and then in earnest.
func (r *Replica) campaign(role Role) {
	term := r.hard.Term + 1
	kind := PreVote
	if role == Candidate {
		kind = Vote
		r.hard = HardState{Term: term, Vote: r.id, Promise: r.hard.Promise}
		r.persist(nil)
	}
	r.role, r.leader = role, ID{}
	r.votes = map[ID]bool{}
	if role == PreCandidate {
		r.votes[r.id] = true // A vote in earnest counts once it is on disk; see synced.
	}
	r.electionAt = r.now + r.timeout() + r.spread
	if role == PreCandidate && r.renews() {
		r.electionAt = r.now + r.renewPause()
	}
	for _, id := range r.log.Members().Voters {
		if id != r.id {
			m := Message{Kind: kind, From: r.id, To: id, Term: term, Index: r.log.Last(), LogTerm: r.log.LastTerm(), Void: r.void}
			r.do(SendCmd{Message: m, Durable: true})
		}
	}
	r.count()
}

// count goes on when a quorum of exactly these incarnations agreed.
func (r *Replica) count() {
	members := r.log.Members()
	granted, refused := 0, 0
	for _, id := range members.Voters {
		if vote, ok := r.votes[id]; ok && vote {
			granted++
		} else if ok {
			refused++
		}
	}
	switch {
	case granted >= members.Quorum() && r.role == PreCandidate:
		r.campaign(Candidate)
	case granted >= members.Quorum() && r.role == Candidate:
		r.becomeLeader()
	case refused >= members.Quorum():
		r.becomeFollower(r.hard.Term, ID{})
	}
}

// step takes a message from another replica. One for another incarnation is
// not for this replica.
func (r *Replica) step(m Message) {
	if m.To != r.id || r.broken {
		return
	}
	if r.pinged(m) {
		return
	}
	r.release(m)
	if r.stale(m) || !r.takeTerm(m) {
		return
	}
	switch m.Kind {
	case PreVote, Vote:
		r.vote(m)
	case PreVoteReply, VoteReply:
		r.voteReply(m)
	case Append:
		r.appendFrom(m)
	case AppendReply:
		r.appendReply(m)
	case Snapshot:
		r.restore(m)
	case Handover:
		r.takeOver(m)
	case Ping, Pong:
	}
}

// stale answers messages of an older term, so that their sender learns of the
// newer one.
func (r *Replica) stale(m Message) bool {
	if m.Term >= r.hard.Term {
		return false
	}
	switch m.Kind {
	case PreVote, Vote:
		r.replyVote(m, r.hard.Term, true)
	case Append, Snapshot:
		// It answers no round: the sender may lead the newer term by now, and have
		// begun to count its rounds anew when it was started again.
		r.do(SendCmd{Message: Message{Kind: AppendReply, From: r.id, To: m.From, Term: r.hard.Term, Reject: true}, Durable: true})
	case PreVoteReply, VoteReply, AppendReply, Handover, Ping, Pong:
	}
	return true
}

// takeTerm takes on a newer term, except where that would let a replica that
// was cut off disturb a leader that works. It reports whether to go on.
func (r *Replica) takeTerm(m Message) bool {
	if m.Term <= r.hard.Term {
		return true
	}
	switch m.Kind {
	case PreVote:
		return true
	case PreVoteReply:
		if !m.Reject {
			return true
		}
	case Vote:
		if r.sticky() {
			return false
		}
	case Append, Snapshot, VoteReply, AppendReply, Handover, Ping, Pong:
	}
	leader := ID{}
	if m.Kind == Append || m.Kind == Snapshot {
		leader = m.From
	}
	r.becomeFollower(m.Term, leader)
	return true
}

// sticky reports whether a leader was heard from so lately that its lease may
// still run.
func (r *Replica) sticky() bool {
	return r.role == Leader || r.now-r.heardAt < r.cfg.Election || r.now < r.promisedUntil
}

func (r *Replica) vote(m Message) {
	if m.Kind == PreVote {
		grant := !r.sticky() && m.Term > r.hard.Term && r.upToDate(m)
		term := m.Term
		if !grant {
			term = r.hard.Term
		}
		r.replyVote(m, term, !grant)
		return
	}
	grant := !r.sticky() && (r.hard.Vote.IsZero() || r.hard.Vote == m.From) && r.upToDate(m)
	if grant {
		r.hard.Vote = m.From
		r.persist(nil)
		r.electionAt = r.now + r.timeout() + r.spread
	}
	r.replyVote(m, r.hard.Term, !grant)
}

// upToDate reports whether a candidate's log has all that this one may have
// helped to commit.
func (r *Replica) upToDate(m Message) bool {
	last := r.log.LastTerm()
	return m.LogTerm > last || (m.LogTerm == last && m.Index >= r.log.Last())
}

func (r *Replica) replyVote(m Message, term uint64, reject bool) {
	kind := VoteReply
	if m.Kind == PreVote {
		kind = PreVoteReply
	}
	reply := Message{Kind: kind, From: r.id, To: m.From, Term: term, Reject: reject}
	r.do(SendCmd{Message: reply, Durable: true})
}

func (r *Replica) voteReply(m Message) {
	switch {
	case m.Kind == PreVoteReply && r.role == PreCandidate && (m.Reject || m.Term == r.hard.Term+1):
	case m.Kind == VoteReply && r.role == Candidate && m.Term == r.hard.Term:
	default:
		return
	}
	r.votes[m.From] = !m.Reject
	r.count()
}
