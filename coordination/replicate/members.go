package replicate

import "slices"

// maxLearnerLag is how many entries a learner may lack and still be promoted.
const maxLearnerLag = 64

// handleJoin adds a new incarnation as a learner, in place of any learner of the same
// name.
func (r *Replica) handleJoin(m JoinMsg) {
	members := r.log.Members()
	if r.role != Leader || m.ID.Name == r.id.Name || members.IsVoter(m.ID) || members.IsLearner(m.ID) {
		return
	}
	if !r.canChangeMembers() {
		return // The replica repeats its request.
	}
	next := members.Clone()
	next.Learners = slices.DeleteFunc(next.Learners, func(id ID) bool { return id.Name == m.ID.Name })
	next.Learners = append(next.Learners, m.ID)
	r.changeMembers(next)
}

// handleRemove removes all incarnations of a name.
func (r *Replica) handleRemove(m RemoveMsg) {
	if r.role != Leader {
		r.emit(RemoveCmd{Token: m.Token, Err: ErrNotLeader})
		return
	}
	if !r.canChangeMembers() {
		r.emit(RemoveCmd{Token: m.Token, Err: ErrBusy})
		return
	}
	next := r.log.Members().Clone()
	named := func(id ID) bool { return id.Name == m.Name }
	next.Learners = slices.DeleteFunc(next.Learners, named)
	if i := slices.IndexFunc(next.Voters, named); i >= 0 && len(next.Voters) > 1 {
		next.Voters = slices.Delete(next.Voters, i, i+1)
	}
	r.changeMembers(next)
	r.emit(RemoveCmd{Token: m.Token})
}

// canChangeMembers reports whether the previous change and an entry of this term are
// committed. Without the latter, two leaders could each make a change of their own.
func (r *Replica) canChangeMembers() bool {
	term, _ := r.log.Term(r.commit)
	return r.log.MembersIndex() <= r.commit && term == r.hard.Term
}

func (r *Replica) changeMembers(next Members) {
	r.appendEntries(Entry{Kind: EntryMembers, Data: encodeMembers(next)})
	r.syncPeers()
	r.leaseUntil = min(r.leaseUntil, r.quorumPromisedUntil()) // The voters behind the lease may not be a quorum any more.
	r.sendNew()
	r.advanceCommit()
}

// reconcileMembers promotes learners that have caught up, and removes a silent voter once
// a learner can replace it. Before a new incarnation is promoted, the old incarnation of
// the same name is removed: exchanging them in one change would allow two quorums without
// a replica in common.
func (r *Replica) reconcileMembers() {
	if !r.canChangeMembers() {
		return
	}
	members := r.log.Members()
	if r.cfg.Voters > 0 && len(members.Voters) > r.cfg.Voters {
		if id, ok := r.longestSilentVoter(members); ok {
			r.changeMembers(withoutVoter(members, id))
			return
		}
	}
	for _, id := range members.Learners {
		if r.caughtUp(id) && r.promote(members, id) {
			return
		}
	}
}

// caughtUp reports whether a learner has nearly the whole log and still answers.
func (r *Replica) caughtUp(id ID) bool {
	p := r.peers[id]
	if p == nil || p.match+maxLearnerLag < r.log.Last() || p.match < r.log.MembersIndex() {
		return false
	}
	return r.now-p.lastContact < r.electionTimeout()
}

// promote makes a learner a voter or, if an old incarnation of it is still a voter,
// removes that one first. It reports whether the members changed; they do not when there
// are enough voters.
func (r *Replica) promote(members Members, id ID) bool {
	next := members.Clone()
	old := slices.IndexFunc(next.Voters, func(v ID) bool { return v.Name == id.Name })
	if old >= 0 {
		next.Voters = slices.Delete(next.Voters, old, old+1)
		r.changeMembers(next)
		return true
	}
	if r.cfg.Voters > 0 && len(members.Voters) >= r.cfg.Voters {
		if _, found := r.longestSilentVoter(members); !found {
			return false
		}
	}
	next.Learners = slices.DeleteFunc(next.Learners, func(l ID) bool { return l == id })
	next.Voters = append(next.Voters, id)
	r.changeMembers(next)
	return true
}

// longestSilentVoter returns the voter that has been silent longest, if that exceeds
// [Config.Gone].
func (r *Replica) longestSilentVoter(members Members) (ID, bool) {
	var silent ID
	since := r.now - r.cfg.Gone
	for _, id := range members.Voters {
		if p := r.peers[id]; r.cfg.Gone > 0 && id != r.id && p != nil && p.lastContact <= since {
			silent, since = id, p.lastContact
		}
	}
	return silent, !silent.IsZero()
}

// withoutVoter returns the members without one voter.
func withoutVoter(members Members, id ID) Members {
	next := members.Clone()
	next.Voters = slices.DeleteFunc(next.Voters, func(v ID) bool { return v == id })
	return next
}
