package replicate

// NeedsToJoin reports whether this replica has to ask the group to add it: it is not a voter by its own
// log, or it is one and hears of no leader. A replica whose disk failed could not take part.
//
// A voter that is replaced while it cannot be reached gets no entry that says so, because leaders send
// only to members. Its own log therefore lists it for good, and only the present leader can tell it from
// a voter that was merely cut off. The leader ignores the request of a replica that is a member.
func (r *Replica) NeedsToJoin() bool {
	if r.role == Leader || r.diskFailed {
		return false
	}
	return !r.log.Members().IsVoter(r.id) || r.now-r.leaderContactAt >= r.electionTimeout()
}
