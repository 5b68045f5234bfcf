package replicate

import (
	"slices"
	"time"

	"github.com/weldstream/weldstream/coordination/roundtrip"
)

// In a handover the leader accepts no new requests, waits until the successor has its
// whole log and all of it is committed, steps down and tells the successor to campaign at
// once. Requests that arrive meanwhile are held, and refused with ErrNotLeader once the
// leader has stepped down.
//
// Why this breaks no promise: the leader of a term that stepped down never leads that term
// again, so no lease of the term is valid. Message.Void says so, and renew.go explains why
// voters may then vote. The successor sends it on the leader's behalf. If the message to
// the successor is lost, nobody sends it, and the voters wait until their promises end, as
// for a leader that failed.

// handoverElections is how many election timeouts a handover may take before the leader
// aborts it and continues to lead. A successor that keeps up needs a few round trips.
const handoverElections = 2

// handover is the state of a leader that hands over.
type handover struct {
	token     uint64
	to        ID            // to is the successor; zero while no handover is in progress.
	deadline  time.Duration // deadline is when the leader aborts the handover.
	proposals []ProposeMsg  // proposals are held until the handover ends.
	reads     []ReadMsg     // reads are held until the handover ends.
}

func (h *handover) active() bool { return !h.to.IsZero() }

func (r *Replica) startHandover(m HandoverMsg) {
	if r.role != Leader {
		r.emit(HandoverCmd{Token: m.Token, Err: ErrNotLeader})
		return
	}
	to, ok := r.successor(m.To)
	if r.handover.active() || !r.canChangeMembers() || !ok {
		r.emit(HandoverCmd{Token: m.Token, Err: ErrBusy})
		return
	}
	r.handover = handover{token: m.Token, to: to, deadline: r.now + handoverElections*r.electionTimeout()}
	r.broadcast()
	r.advanceHandover()
}

// successor returns the voter with the given name if it answers, or without a name the
// best of those that answer.
func (r *Replica) successor(name string) (ID, bool) {
	members := r.log.Members()
	var best ID
	for _, id := range members.Voters {
		p := r.peers[id]
		if id == r.id || p == nil || r.now-p.lastContact >= r.electionTimeout() || (name != "" && id.Name != name) {
			continue
		}
		if best.IsZero() || r.betterSuccessor(id, best) {
			best = id
		}
	}
	return best, !best.IsZero()
}

// betterSuccessor reports whether the first replica is the better successor. One that has
// nearly caught up is preferred, then the one with the shorter round trip to a quorum.
func (r *Replica) betterSuccessor(id, than ID) bool {
	a, b := r.peers[id], r.peers[than]
	if behindA, behindB := a.match+maxLearnerLag < r.log.Last(), b.match+maxLearnerLag < r.log.Last(); behindA != behindB {
		return behindB
	}
	names := r.otherVoterNames()
	quorum := r.log.Members().Quorum() - 1
	tripA, okA := r.pingTrips.QuorumRoundTrip(id.Name, names, quorum, r.now)
	tripB, okB := r.pingTrips.QuorumRoundTrip(than.Name, names, quorum, r.now)
	if okA != okB {
		return okA
	}
	return okA && tripA < tripB
}

// otherVoterNames returns the names of the voters other than this replica, which remain
// after a planned stop.
func (r *Replica) otherVoterNames() []string {
	var names []string
	for _, id := range r.log.Members().Voters {
		if id != r.id {
			names = append(names, id.Name)
		}
	}
	return names
}

// advanceHandover steps down once the successor has the whole log, or aborts the handover
// at its deadline.
func (r *Replica) advanceHandover() {
	if r.role != Leader || !r.handover.active() {
		return
	}
	p := r.peers[r.handover.to]
	last := r.log.Last()
	switch {
	case p == nil || r.now >= r.handover.deadline:
		r.cancelHandover()
		return
	case p.match != last || r.commit != last || len(r.reads) > 0:
		return
	}
	to, token := r.handover.to, r.handover.token
	r.voidTerm = r.hard.Term // No lease of this term is valid from now on.
	r.handover.to = ID{}
	r.becomeFollower(r.hard.Term, ID{})
	term, _ := r.log.Term(last) // The log always has its last entry.
	r.emit(SendCmd{Message: Message{Kind: Handover, From: r.id, To: to, Term: r.hard.Term, Index: last, LogTerm: term}})
	r.emit(HandoverCmd{Token: token, To: to})
}

// cancelHandover continues to lead and processes the held requests. Resetting leaderSince
// delays the next change of placement as after an election, since each attempt delays
// proposals for up to handoverElections.
func (r *Replica) cancelHandover() {
	h := r.handover
	r.handover = handover{}
	r.leaderSince, r.placement = r.now, roundtrip.Placer{}
	r.emit(HandoverCmd{Token: h.token, Err: ErrBusy})
	for _, m := range h.proposals {
		r.propose(m)
	}
	for _, m := range h.reads {
		r.read(m)
	}
}

// rejectHeldRequests refuses the requests held during a handover, once this replica has
// stopped leading. None of them was proposed.
func (r *Replica) rejectHeldRequests() {
	h := r.handover
	r.handover = handover{}
	if h.active() {
		r.emit(HandoverCmd{Token: h.token, Err: ErrNotLeader})
	}
	for _, m := range h.proposals {
		r.emit(ProposedCmd{Token: m.Token, Err: ErrNotLeader})
	}
	for _, m := range h.reads {
		r.emit(ReadCmd{Token: m.Token, Err: ErrNotLeader})
	}
}

// stepDownWithoutQuorum steps down because no quorum answers. The other replicas may
// still hear this one, as when only the path to it is cut, and would wait until their
// promises end. So, with Config.Wide, the voter known to have most of the log is told to
// campaign.
func (r *Replica) stepDownWithoutQuorum() {
	var best ID
	for _, id := range r.peerIDs() {
		if r.log.Members().IsVoter(id) && (best.IsZero() || r.peers[id].match > r.peers[best].match) {
			best = id
		}
	}
	var match uint64
	if !best.IsZero() {
		match = r.peers[best].match
	}
	r.becomeFollower(r.hard.Term, ID{})
	term, ok := r.log.Term(match)
	if !r.cfg.Wide || best.IsZero() || !ok {
		return
	}
	r.voidTerm = r.hard.Term // It no longer leads this term, so no lease of the term is valid.
	r.emit(SendCmd{Message: Message{Kind: Handover, From: r.id, To: best, Term: r.hard.Term, Index: match, LogTerm: term}})
}

// improvePlacement hands over to the replica with a clearly shorter round trip to a
// quorum, unless an operation is in progress that should finish first.
func (r *Replica) improvePlacement() {
	if !r.cfg.Wide || r.now < r.nextPlacementCheckAt {
		return
	}
	r.nextPlacementCheckAt = r.now + pingInterval
	voters := append(r.otherVoterNames(), r.id.Name)
	move, ok := r.placement.Decide(r.pingTrips, roundtrip.DecideMsg{Now: r.now, Since: r.leaderSince, Leader: r.id.Name, Voters: voters, Eligible: r.canTakeOver})
	if !ok || r.busy || !r.canChangeMembers() {
		return
	}
	r.emit(MoveCmd{Move: move})
	r.startHandover(HandoverMsg{To: move.To})
}

// canTakeOver reports whether a voter has nearly the whole log and still answers.
func (r *Replica) canTakeOver(name string) bool {
	for id, p := range r.peers {
		if id.Name == name && p.match+maxLearnerLag >= r.log.Last() && r.now-p.lastContact < r.electionTimeout() {
			return true
		}
	}
	return false
}

// handleHandover campaigns at once after the leader has handed over, if this replica has
// the leader's whole log.
func (r *Replica) handleHandover(m Message) {
	term, ok := r.log.Term(m.Index)
	campaigns := slices.Contains(r.log.Members().Voters, r.id) && ok && term == m.LogTerm && r.role != Leader
	r.emit(HandoverReceivedCmd{From: m.From, Term: m.Term, Index: m.Index, Campaigns: campaigns})
	if !campaigns {
		return
	}
	r.voidTerm = m.Term
	r.clearPromises()
	r.campaign(Candidate)
}
