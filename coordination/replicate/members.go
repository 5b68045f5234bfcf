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
	r.sendNew()
	r.advance()
}

// reconcile promotes learners that have caught up. One that replaces a former
// incarnation first has that one taken out: exchanging them at once would
// allow two quorums without a replica in common.
func (r *Replica) reconcile() {
	members := r.log.Members()
	if len(members.Learners) == 0 || !r.mayChange() {
		return
	}
	for _, id := range members.Learners {
		p := r.peers[id]
		if p == nil || p.match+catchUpSlack < r.log.Last() || p.match < r.log.Changed() {
			continue
		}
		if r.now-p.heard >= r.cfg.Election {
			continue // It has caught up and gone again.
		}
		next := members.Clone()
		former := slices.IndexFunc(next.Voters, func(v ID) bool { return v.Name == id.Name })
		if former >= 0 {
			next.Voters = slices.Delete(next.Voters, former, former+1)
		} else {
			next.Learners = slices.DeleteFunc(next.Learners, func(l ID) bool { return l == id })
			next.Voters = append(next.Voters, id)
		}
		r.change(next)
		return
	}
}
