package replicate

import (
	"slices"
	"time"

	"github.com/weldstream/weldstream/coordination/roundtrip"
)

// A leader that is to lead no more hands over: it takes nothing new, waits until the
// replica that is to follow has all of its log and what it has is committed, steps down
// and tells that replica to campaign at once. What came meanwhile is held, and answered
// as not proposed once the leader has stepped down.
//
// Why no promise is broken. The leader of a term that stepped down never leads that
// term again, so no lease of it runs: that is what Message.Void says, and renew.go why
// voters may then vote. The successor says it for the leader. If its message is lost,
// nobody says so, and the voters wait out their promises as for a leader that died.

// handoverTimes is for how many election timeouts a leader tries to hand over before
// it goes on as before: a successor that keeps up needs some round trips.
const handoverTimes = 2

// handover is what a leader holds that is about to hand over.
type handover struct {
	token     uint64
	to        ID            // to is the successor; zero while none is under way.
	end       time.Duration // end is when the leader gives up.
	proposals []ProposeMsg  // proposals came meanwhile, and wait.
	reads     []ReadMsg     // reads came meanwhile, and wait.
}

func (h *handover) active() bool { return !h.to.IsZero() }

// handOver begins to hand over.
func (r *Replica) handOver(m HandoverMsg) {
	if r.role != Leader {
		r.do(HandoverCmd{Token: m.Token, Err: ErrNotLeader})
		return
	}
	to, ok := r.successor(m.To)
	if r.handover.active() || !r.mayChange() || !ok {
		r.do(HandoverCmd{Token: m.Token, Err: ErrBusy})
		return
	}
	r.handover = handover{token: m.Token, to: to, end: r.now + handoverTimes*r.timeout()}
	r.broadcast()
	r.continueHandover()
}

// successor returns the voter of a name if it answers; without a name, the best of those
// that answer.
func (r *Replica) successor(name string) (ID, bool) {
	members := r.log.Members()
	var best ID
	for _, id := range members.Voters {
		p := r.peers[id]
		if id == r.id || p == nil || r.now-p.heard >= r.timeout() || (name != "" && id.Name != name) {
			continue
		}
		if best.IsZero() || r.better(id, best) {
			best = id
		}
	}
	return best, !best.IsZero()
}

// better reports whether a replica is the better successor: one that lacks little of
// the log before one that lacks more, and then the one that is nearer to a quorum.
func (r *Replica) better(id, than ID) bool {
	a, b := r.peers[id], r.peers[than]
	if lacksA, lacksB := a.match+catchUpSlack < r.log.Last(), b.match+catchUpSlack < r.log.Last(); lacksA != lacksB {
		return lacksB
	}
	names := r.others()
	quorum := r.log.Members().Quorum() - 1
	tripA, okA := r.trips.Quorum(id.Name, names, quorum, r.now)
	tripB, okB := r.trips.Quorum(than.Name, names, quorum, r.now)
	if okA != okB {
		return okA
	}
	return okA && tripA < tripB
}

// others are the names of the voters besides this replica: who is left behind a
// planned stop.
func (r *Replica) others() []string {
	var names []string
	for _, id := range r.log.Members().Voters {
		if id != r.id {
			names = append(names, id.Name)
		}
	}
	return names
}

// continueHandover steps down once the successor has everything, or gives up in the end.
func (r *Replica) continueHandover() {
	if r.role != Leader || !r.handover.active() {
		return
	}
	p := r.peers[r.handover.to]
	last := r.log.Last()
	switch {
	case p == nil || r.now >= r.handover.end:
		r.cancelHandover()
		return
	case p.match != last || r.commit != last || len(r.reads) > 0:
		return
	}
	to, token := r.handover.to, r.handover.token
	r.void = r.hard.Term // No lease of the term runs from now on.
	r.handover.to = ID{}
	r.becomeFollower(r.hard.Term, ID{})
	term, _ := r.log.Term(last) // The log holds its last entry.
	r.do(SendCmd{Message: Message{Kind: Handover, From: r.id, To: to, Term: r.hard.Term, Index: last, LogTerm: term}})
	r.do(HandoverCmd{Token: token, To: to})
}

// cancelHandover goes on as the leader, with what was held. It moves no sooner than if
// it had just begun to lead: each try holds up proposals for handoverTimes.
func (r *Replica) cancelHandover() {
	h := r.handover
	r.handover = handover{}
	r.leadSince, r.place = r.now, roundtrip.Place{}
	r.do(HandoverCmd{Token: h.token, Err: ErrBusy})
	for _, m := range h.proposals {
		r.propose(m)
	}
	for _, m := range h.reads {
		r.read(m)
	}
}

// refuseHeld answers what was held during a hand-over as not proposed, once this replica
// leads no more.
func (r *Replica) refuseHeld() {
	h := r.handover
	r.handover = handover{}
	if h.active() {
		r.do(HandoverCmd{Token: h.token, Err: ErrNotLeader})
	}
	for _, m := range h.proposals {
		r.do(ProposedCmd{Token: m.Token, Err: ErrNotLeader})
	}
	for _, m := range h.reads {
		r.do(ReadCmd{Token: m.Token, Err: ErrNotLeader})
	}
}

// stepDownWithoutQuorum steps down since no quorum answers. Where the others still hear
// this replica, as when only the way to it is cut, they would wait out their promises; so
// the one that has most of the log, as far as is known, is told to campaign.
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
	r.void = r.hard.Term // It leads this term no more, so no lease of it runs.
	r.do(SendCmd{Message: Message{Kind: Handover, From: r.id, To: best, Term: r.hard.Term, Index: match, LogTerm: term}})
}

// choosePlace hands over to where a quorum's round trip is clearly less, unless
// something is under way that had better be finished first.
func (r *Replica) choosePlace() {
	if !r.cfg.Wide || r.now < r.placeCheckAt {
		return
	}
	r.placeCheckAt = r.now + pingEvery
	voters := append(r.others(), r.id.Name)
	move, ok := r.place.Decide(r.trips, roundtrip.PlaceMsg{Now: r.now, Since: r.leadSince, Leader: r.id.Name, Voters: voters, Able: r.able})
	if !ok || r.busy || !r.mayChange() {
		return
	}
	r.do(MoveCmd{Move: move})
	r.handOver(HandoverMsg{To: move.To})
}

// able reports whether a voter has nearly all of the log, and answers.
func (r *Replica) able(name string) bool {
	for id, p := range r.peers {
		if id.Name == name && p.match+catchUpSlack >= r.log.Last() && r.now-p.heard < r.timeout() {
			return true
		}
	}
	return false
}

// takeOver campaigns at once when the leader has handed over, if this replica has what
// the leader had.
func (r *Replica) takeOver(m Message) {
	term, ok := r.log.Term(m.Index)
	if !slices.Contains(r.log.Members().Voters, r.id) || !ok || term != m.LogTerm || r.role == Leader {
		return
	}
	r.void = m.Term
	r.clearPromises()
	r.campaign(Candidate)
}
