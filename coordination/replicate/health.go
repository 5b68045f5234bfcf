package replicate

// Health counts the members of a group as its leader sees them. It is zero at replicas that do not lead.
type Health struct {
	Voters   int `json:"voters"`   // Voters is the number of voters in the member list.
	InTouch  int `json:"in_touch"` // InTouch is how many of them, the leader included, answered within an election timeout.
	Learners int `json:"learners"` // Learners is the number of learners in the member list.
	Spares   int `json:"spares"`   // Spares is how many learners answer and have caught up, so that they can replace a voter.
}

// Health returns what the leader knows of the members.
func (r *Replica) Health() Health {
	if r.role != Leader {
		return Health{}
	}
	members := r.log.Members()
	h := Health{Voters: len(members.Voters), InTouch: len(members.Voters) - len(r.SilentVoters()), Learners: len(members.Learners)}
	for _, id := range members.Learners {
		if r.caughtUp(id) {
			h.Spares++
		}
	}
	return h
}

// SilentVoters returns the voters that have not answered the leader within an election timeout.
func (r *Replica) SilentVoters() []ID {
	if r.role != Leader {
		return nil
	}
	var silent []ID
	for _, id := range r.log.Members().Voters {
		if p := r.peers[id]; id != r.id && (p == nil || r.now-p.lastContact >= r.electionTimeout()) {
			silent = append(silent, id)
		}
	}
	return silent
}
