package replicate

import "slices"

// catchUpSlack is how many entries a learner may lack and still be promoted.
const catchUpSlack = 64

// join takes in a new incarnation as a learner. A learner that is not the
// latest incarnation of its name gives way.
func (r *Replica) join(m JoinMsg) {
	members := r.log.Members()
	if r.role != Leader || m.ID.Name == r.id.Name || members.IsVoter(m.ID) || members.IsLearner(m.ID) {
		return
	}
	if !r.mayChange() {
		return // The replica asks again.
	}
	next := members.Clone()
	next.Learners = slices.DeleteFunc(next.Learners, func(id ID) bool { return id.Name == m.ID.Name })
	next.Learners = append(next.Learners, m.ID)
	r.change(next)
}

// remove takes a name out.
func (r *Replica) remove(m RemoveMsg) {
	if r.role != Leader {
		r.do(RemoveCmd{Token: m.Token, Err: ErrNotLeader})
		return
	}
	if !r.mayChange() {
		r.do(RemoveCmd{Token: m.Token, Err: ErrBusy})
		return
	}
	next := r.log.Members().Clone()
	gone := func(id ID) bool { return id.Name == m.Name }
	next.Learners = slices.DeleteFunc(next.Learners, gone)
	if i := slices.IndexFunc(next.Voters, gone); i >= 0 && len(next.Voters) > 1 {
		next.Voters = slices.Delete(next.Voters, i, i+1)
	}
	r.change(next)
	r.do(RemoveCmd{Token: m.Token})
}

// mayChange reports whether the last change is committed, and an entry of this
// term, without which two leaders could each make a change of their own.
func (r *Replica) mayChange() bool {
	term, _ := r.log.Term(r.commit)
	return r.log.Changed() <= r.commit && term == r.hard.Term
}

func (r *Replica) change(next Members) {
	r.appendEntries(Entry{Kind: EntryMembers, Data: encodeMembers(next)})
	r.syncPeers()
	r.lease = min(r.lease, r.promised()) // Those it rested on may be no quorum any more.
	r.sendNew()
	r.advance()
}

// reconcile promotes learners that have caught up, and takes out a voter that
// is gone once there is one to take its place. One that replaces a former
// incarnation first has that one taken out: exchanging them at once would
// allow two quorums without a replica in common.
func (r *Replica) reconcile() {
	if !r.mayChange() {
		return
	}
	members := r.log.Members()
	if r.cfg.Voters > 0 && len(members.Voters) > r.cfg.Voters {
		if id, ok := r.longestGone(members); ok {
			r.change(without(members, id))
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
	if p == nil || p.match+catchUpSlack < r.log.Last() || p.match < r.log.Changed() {
		return false
	}
	return r.now-p.heard < r.timeout()
}

// promote makes a learner a voter, or makes room for it, if there is a place.
func (r *Replica) promote(members Members, id ID) bool {
	next := members.Clone()
	former := slices.IndexFunc(next.Voters, func(v ID) bool { return v.Name == id.Name })
	if former >= 0 {
		next.Voters = slices.Delete(next.Voters, former, former+1)
		r.change(next)
		return true
	}
	if r.cfg.Voters > 0 && len(members.Voters) >= r.cfg.Voters {
		if _, gone := r.longestGone(members); !gone {
			return false
		}
	}
	next.Learners = slices.DeleteFunc(next.Learners, func(l ID) bool { return l == id })
	next.Voters = append(next.Voters, id)
	r.change(next)
	return true
}

// longestGone returns the voter that has been silent for longest, if that is
// long enough.
func (r *Replica) longestGone(members Members) (ID, bool) {
	var gone ID
	since := r.now - r.cfg.Gone
	for _, id := range members.Voters {
		if p := r.peers[id]; r.cfg.Gone > 0 && id != r.id && p != nil && p.heard <= since {
			gone, since = id, p.heard
		}
	}
	return gone, !gone.IsZero()
}

// without returns the members less one voter.
func without(members Members, id ID) Members {
	next := members.Clone()
	next.Voters = slices.DeleteFunc(next.Voters, func(v ID) bool { return v == id })
	return next
}
