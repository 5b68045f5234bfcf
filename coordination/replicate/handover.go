package replicate

import (
	"slices"
	"time"

	"github.com/weldstream/weldstream/coordination/roundtrip"
)

// In a handover the leader accepts no new requests, waits until a voter that still answers
// has its whole log and all of it is committed, steps down and tells that voter to campaign
// at once. Requests that arrive meanwhile are held, and refused with ErrNotLeader once the
// leader has stepped down.
//
// Why this breaks no promise: the leader of a term that stepped down never leads that term
// again, so no lease of the term is valid. Message.Void says so, and renew.go explains why
// voters may then vote. The successor sends it on the leader's behalf.
//
// The message to the successor may be lost, and the successor may fail. So the former leader
// repeats the message until it hears of a newer term, and tells the other voters that have
// its log in turn. Several candidates do no harm: a voter votes once in a term.

// handoverElections is how many election timeouts a handover may take before the leader
// aborts it and continues to lead. A successor that keeps up needs a few round trips.
const handoverElections = 2

// answerHeartbeats is for how many heartbeat intervals a successor may have been silent.
const answerHeartbeats = 2

// handover is the state of a leader that hands over.
type handover struct {
	token     uint64
	to        ID            // to is the successor; zero while no handover is in progress.
	named     bool          // named says that no other successor may be chosen.
	switchAt  time.Duration // switchAt is when another voter that is ready is preferred to one that is not.
	deadline  time.Duration // deadline is when the leader aborts the handover.
	proposals []ProposeMsg  // proposals are held until the handover ends.
	reads     []ReadMsg     // reads are held until the handover ends.
}

func (h *handover) active() bool { return !h.to.IsZero() }

func (r *Replica) startHandover(m HandoverMsg) {
	r.retiring = r.retiring || m.Retire
	if r.role != Leader {
		r.emit(HandoverCmd{Token: m.Token, Err: ErrNotLeader})
		return
	}
	to, ok := r.successor(m.To)
	if r.handover.active() || !r.canChangeMembers() || !ok {
		r.emit(HandoverCmd{Token: m.Token, Err: ErrBusy})
		return
	}
	r.handover = handover{
		token:    m.Token,
		to:       to,
		named:    m.To != "",
		switchAt: r.now + r.electionTimeout()/2,
		deadline: r.now + handoverElections*r.electionTimeout(),
	}
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

// betterSuccessor reports whether the first replica is the better successor. One that answers
// is preferred, then one that has nearly caught up, then the one with the shorter round trip to
// a quorum.
func (r *Replica) betterSuccessor(id, than ID) bool {
	a, b := r.peers[id], r.peers[than]
	if answersA, answersB := r.answers(a), r.answers(b); answersA != answersB {
		return answersA
	}
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

// advanceHandover steps down once a successor is ready, or aborts the handover at its
// deadline.
func (r *Replica) advanceHandover() {
	if r.role != Leader || !r.handover.active() {
		return
	}
	if r.peers[r.handover.to] == nil || r.now >= r.handover.deadline {
		r.cancelHandover()
		return
	}
	to, ok := r.readySuccessor()
	last := r.log.Last()
	if !ok || r.commit != last || len(r.reads) > 0 {
		return
	}
	token := r.handover.token
	targets := r.handoverTargets(to)
	r.handover.to = ID{}
	r.becomeFollower(r.hard.Term, ID{})
	r.emit(HandoverCmd{Token: token, To: to})
	r.offerLeadership(targets, last)
}

// ready reports whether a voter has the whole log and still answers.
func (r *Replica) ready(id ID) bool {
	p := r.peers[id]
	return p != nil && p.match == r.log.Last() && r.answers(p)
}

// answers reports whether a replica has answered one of the latest heartbeats.
func (r *Replica) answers(p *progress) bool {
	return r.now-p.lastContact < answerHeartbeats*r.cfg.Heartbeat
}

// readySuccessor returns the chosen successor if it is ready. If it is not ready by
// handover.switchAt, as when it is suspended, it returns the best voter that is.
func (r *Replica) readySuccessor() (ID, bool) {
	if r.ready(r.handover.to) {
		return r.handover.to, true
	}
	if r.handover.named || r.now < r.handover.switchAt {
		return ID{}, false
	}
	var best ID
	for _, id := range r.log.Members().Voters {
		if id != r.id && r.ready(id) && (best.IsZero() || r.betterSuccessor(id, best)) {
			best = id
		}
	}
	return best, !best.IsZero()
}

// handoverTargets returns the voters to tell to campaign: the successor, and then the
// others that have the whole log, unless the successor was named.
func (r *Replica) handoverTargets(to ID) []ID {
	targets := []ID{to}
	for _, id := range r.log.Members().Voters {
		if p := r.peers[id]; !r.handover.named && id != to && p != nil && p.match == r.log.Last() {
			targets = append(targets, id)
		}
	}
	return targets
}

// leadershipOffer is the handover message of a former leader, which it repeats until it hears
// of a newer term.
type leadershipOffer struct {
	targets  []ID // targets are the voters to tell, in turn; empty if there is no offer.
	index    uint64
	logTerm  uint64
	sent     int // sent counts the messages.
	repeatAt time.Duration
	until    time.Duration // until is when voters campaign by themselves.
}

// offerLeadership tells the first target to campaign, and the others in turn unless a newer
// term begins. Only a target whose log has the entry at index campaigns. No lease of this
// replica's term is valid from now on.
func (r *Replica) offerLeadership(targets []ID, index uint64) {
	term, ok := r.log.Term(index)
	if !ok || len(targets) == 0 {
		return
	}
	r.voidTerm = r.hard.Term
	r.offer = leadershipOffer{targets: targets, index: index, logTerm: term, until: r.now + handoverElections*r.electionTimeout()}
	r.sendOffer()
}

func (r *Replica) sendOffer() {
	o := &r.offer
	to := o.targets[o.sent%len(o.targets)]
	o.sent++
	o.repeatAt = r.now + r.cfg.Heartbeat
	r.emit(SendCmd{Message: Message{Kind: Handover, From: r.id, To: to, Term: r.hard.Term, Index: o.index, LogTerm: o.logTerm}})
}

// repeatOffer sends the offer again while no newer term is known.
func (r *Replica) repeatOffer() {
	switch {
	case len(r.offer.targets) == 0:
	case r.hard.Term != r.voidTerm || r.role == Leader || r.now >= r.offer.until:
		r.offer = leadershipOffer{}
	case r.now >= r.offer.repeatAt:
		r.sendOffer()
	}
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
	if r.cfg.Wide && !best.IsZero() {
		r.offerLeadership([]ID{best}, match)
	}
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
	campaigns := slices.Contains(r.log.Members().Voters, r.id) && ok && term == m.LogTerm && r.role != Leader && !r.retiring
	r.emit(HandoverReceivedCmd{From: m.From, Term: m.Term, Index: m.Index, Campaigns: campaigns})
	if !campaigns {
		return
	}
	r.voidTerm = m.Term
	r.clearPromises()
	r.campaign(Candidate)
}
