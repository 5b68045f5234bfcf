package replicate

// campaign requests votes: as a pre-candidate it asks whether they would be granted, for
// a term that nobody adopts because of it; as a candidate it requests them.
func (r *Replica) campaign(role Role) {
	term := r.hard.Term + 1
	if role == Candidate {
		r.hard = HardState{Term: term, Vote: r.id, Promise: r.hard.Promise}
		r.persist(nil)
	}
	r.emit(CampaignCmd{Role: role, Term: term, Void: r.voidTerm})
	r.role, r.leader = role, ID{}
	r.votes = map[ID]bool{}
	if role == PreCandidate {
		r.votes[r.id] = true // The vote of a candidate for itself counts once it is on disk; see handleSynced.
	}
	r.electionDeadline = r.now + r.electionTimeout() + r.electionJitter
	if role == PreCandidate && r.seeksReelection() {
		r.electionDeadline = r.now + r.reelectionInterval()
	}
	r.requestVotes()
	r.tallyVotes()
}

// requestVotes requests the votes that are not known yet.
func (r *Replica) requestVotes() {
	kind, term := Vote, r.hard.Term
	if r.role == PreCandidate {
		kind, term = PreVote, r.hard.Term+1
	}
	for _, id := range r.log.Members().Voters {
		if _, known := r.votes[id]; id != r.id && !known {
			m := Message{Kind: kind, From: r.id, To: id, Term: term, Index: r.log.Last(), LogTerm: r.log.LastTerm(), Void: r.voidTerm}
			r.emit(SendCmd{Message: m, Durable: true})
		}
	}
	r.voteRequestsAt = r.now + voteRequestHeartbeats*r.cfg.Heartbeat
}

// voteRequestHeartbeats is after how many heartbeat intervals a candidate requests missing
// votes again: a lost message would otherwise cost a whole election timeout.
const voteRequestHeartbeats = 2

func (r *Replica) repeatVoteRequests() {
	if (r.role == PreCandidate || r.role == Candidate) && r.now >= r.voteRequestsAt {
		r.requestVotes()
	}
}

// tallyVotes continues the campaign once a quorum has granted the vote, and ends it once
// a quorum has refused. Only the votes of the incarnations in the member list count.
func (r *Replica) tallyVotes() {
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

// step processes a message from another replica. A message for another incarnation is
// dropped.
func (r *Replica) step(m Message) {
	if m.To != r.id || r.diskFailed {
		return
	}
	if r.handlePing(m) {
		return
	}
	r.releasePromise(m)
	if r.rejectStale(m) || !r.adoptTerm(m) {
		return
	}
	switch m.Kind {
	case PreVote, Vote:
		r.handleVote(m)
	case PreVoteReply, VoteReply:
		r.handleVoteReply(m)
	case Append:
		r.handleAppend(m)
	case AppendReply:
		r.handleAppendReply(m)
	case Snapshot:
		r.handleSnapshot(m)
	case Handover:
		r.handleHandover(m)
	case Ping, Pong:
	}
}

// rejectStale answers messages of an older term, so that their sender learns of the newer
// one, and reports whether m was such a message.
func (r *Replica) rejectStale(m Message) bool {
	if m.Term >= r.hard.Term {
		return false
	}
	switch m.Kind {
	case PreVote, Vote:
		r.replyVote(m, r.hard.Term, true)
	case Append, Snapshot:
		// The reply carries no round: after a restart the sender may lead the newer term
		// and have started to number its rounds from the beginning.
		r.emit(SendCmd{Message: Message{Kind: AppendReply, From: r.id, To: m.From, Term: r.hard.Term, Reject: true}, Durable: true})
	case PreVoteReply, VoteReply, AppendReply, Handover, Ping, Pong:
	}
	return true
}

// adoptTerm adopts a newer term, unless that would let a replica that was partitioned
// disrupt a working leader. It reports whether the message is to be processed.
func (r *Replica) adoptTerm(m Message) bool {
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
		if r.leaderMayHoldLease() {
			r.emit(VoteRefusedCmd{To: m.From, Term: m.Term, Reason: VoteRefusedLease})
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

// leaderMayHoldLease reports whether a leader was heard from so recently that its lease
// may still be valid.
func (r *Replica) leaderMayHoldLease() bool {
	return r.role == Leader || r.now-r.leaderContactAt < r.cfg.Election || r.now < r.promisedUntil
}

func (r *Replica) handleVote(m Message) {
	refusal := r.refuseVote(m)
	grant := refusal == ""
	if !grant {
		r.emit(VoteRefusedCmd{To: m.From, PreVote: m.Kind == PreVote, Term: m.Term, Reason: refusal})
	}
	if m.Kind == PreVote {
		term := m.Term
		if !grant {
			term = r.hard.Term
		}
		r.replyVote(m, term, !grant)
		return
	}
	if grant && r.hard.Vote.IsZero() { // A repeated request does not delay this replica's own campaign.
		r.hard.Vote = m.From
		r.persist(nil)
		r.electionDeadline = r.now + r.electionTimeout() + r.electionJitter
	}
	r.replyVote(m, r.hard.Term, !grant)
}

// refuseVote returns the reason why this replica refuses a vote, or "" if it grants it.
func (r *Replica) refuseVote(m Message) VoteRefusal {
	switch {
	case r.leaderMayHoldLease():
		return VoteRefusedLease
	case m.Kind == PreVote && m.Term <= r.hard.Term:
		return VoteRefusedTerm
	case m.Kind == Vote && !r.hard.Vote.IsZero() && r.hard.Vote != m.From:
		return VoteRefusedAlready
	case !r.upToDate(m):
		return VoteRefusedLog
	}
	return ""
}

// upToDate reports whether a candidate's log has everything that this replica may have
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
	r.emit(SendCmd{Message: reply, Durable: true})
}

func (r *Replica) handleVoteReply(m Message) {
	switch {
	case m.Kind == PreVoteReply && r.role == PreCandidate && (m.Reject || m.Term == r.hard.Term+1):
	case m.Kind == VoteReply && r.role == Candidate && m.Term == r.hard.Term:
	default:
		return
	}
	r.votes[m.From] = !m.Reject
	r.tallyVotes()
}
