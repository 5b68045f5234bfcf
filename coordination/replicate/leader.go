package replicate

import (
	"slices"

	"github.com/weldstream/weldstream/coordination/roundtrip"
)

// snapshotRetryElections is how many election timeouts a leader waits for the answer to a
// snapshot before it sends another one.
const snapshotRetryElections = 30

func (r *Replica) becomeLeader() {
	r.role, r.leader = Leader, r.id
	r.firstLeader = r.log.Last() == 0
	r.votes = nil
	r.leaderSince, r.placement = r.now, roundtrip.Placer{}
	r.peers = map[ID]*progress{}
	r.requestedPromise = max(r.cfg.Election, r.hard.Promise)
	r.hard.Led = true // It reaches the disk with the entry below.
	r.emit(ElectedCmd{Term: r.hard.Term})
	// The first entry of a term repeats the members, so that a replica that was started
	// without the initial members learns them from the log.
	r.appendEntries(Entry{Kind: EntryMembers, Data: encodeMembers(r.log.Members())})
	r.syncPeers()
	r.broadcast()
}

// syncPeers makes peers hold a progress for each other member, and for nobody else.
func (r *Replica) syncPeers() {
	members := r.log.Members()
	keep := map[ID]bool{}
	for _, id := range append(slices.Clone(members.Voters), members.Learners...) {
		keep[id] = true
		if id != r.id && r.peers[id] == nil {
			r.peers[id] = &progress{next: r.log.Last() + 1, lastContact: r.now}
		}
	}
	for id := range r.peers {
		if !keep[id] {
			delete(r.peers, id)
		}
	}
}

// appendEntries appends entries of this term to the log.
func (r *Replica) appendEntries(entries ...Entry) {
	next := r.log.Last() + 1
	for i := range entries {
		entries[i].Index, entries[i].Term = next+uint64(i), r.hard.Term
	}
	r.log.Append(entries)
	r.persist(entries)
}

func (r *Replica) propose(m ProposeMsg) {
	if r.role != Leader {
		r.emit(ProposedCmd{Token: m.Token, Err: ErrNotLeader})
		return
	}
	if r.handover.active() {
		r.handover.proposals = append(r.handover.proposals, m)
		return
	}
	r.appendEntries(Entry{Kind: EntryCommand, Data: m.Data})
	r.emit(ProposedCmd{Token: m.Token, Index: r.log.Last(), Term: r.hard.Term})
	r.sendNew()
}

// sendNew sends new entries to the replicas that lack them.
func (r *Replica) sendNew() {
	for _, id := range r.peerIDs() {
		if p := r.peers[id]; p.next <= r.log.Last() {
			r.sendTo(id, p, false)
		}
	}
}

// peerIDs returns the other members in a fixed order.
func (r *Replica) peerIDs() []ID {
	members := r.log.Members()
	ids := append(slices.Clone(members.Voters), members.Learners...)
	return slices.DeleteFunc(ids, func(id ID) bool { return id == r.id })
}

// broadcast starts a heartbeat round to all other members.
func (r *Replica) broadcast() {
	r.round++
	r.sentRounds.add(r.round, r.now)
	r.adjustRequestedPromise()
	r.nextHeartbeatAt = r.now + r.cfg.Heartbeat
	for _, id := range r.peerIDs() {
		r.sendTo(id, r.peers[id], true)
	}
	r.confirmRounds()
}

// sendTo sends the entries that a replica lacks. A heartbeat is sent even if there are no
// entries to send or the window is full.
func (r *Replica) sendTo(id ID, p *progress, heartbeat bool) {
	if p.snapshotSentAt != 0 && r.now-p.snapshotSentAt < snapshotRetryElections*r.cfg.Election {
		if heartbeat {
			r.sendAppend(id, r.log.Snapshot().Index, nil)
		}
		return
	}
	p.snapshotSentAt = 0
	if _, ok := r.log.Term(p.next - 1); !ok {
		p.snapshotSentAt = r.now
		r.emit(SendSnapshotCmd{To: id, Term: r.hard.Term, Round: r.round, Promise: r.requestedPromise})
		return
	}
	if p.probing {
		r.probe(id, p, heartbeat)
		return
	}
	var entries []Entry
	if p.inflight < r.cfg.Window {
		entries = r.log.Slice(p.next, r.log.Last(), r.cfg.Batch)
	}
	if len(entries) == 0 && !heartbeat {
		return
	}
	r.sendAppend(id, p.next-1, entries)
	if len(entries) > 0 {
		p.next += uint64(len(entries))
		p.inflight++
	}
}

// probe sends one message at a time until one matches. Otherwise each of several rejected
// messages would cause a retransmission.
func (r *Replica) probe(id ID, p *progress, heartbeat bool) {
	if p.inflight > 0 && !heartbeat {
		return
	}
	p.inflight = 1
	r.sendAppend(id, p.next-1, r.log.Slice(p.next, r.log.Last(), r.cfg.Batch))
}

func (r *Replica) sendAppend(id ID, prev uint64, entries []Entry) {
	term, _ := r.log.Term(prev)
	m := Message{
		Kind:    Append,
		From:    r.id,
		To:      id,
		Term:    r.hard.Term,
		Index:   prev,
		LogTerm: term,
		Entries: entries,
		Commit:  r.commit,
		Round:   r.round,
		Promise: r.promiseInMessage(),
	}
	r.emit(SendCmd{Message: m})
}

func (r *Replica) handleAppendReply(m Message) {
	p := r.peers[m.From]
	if r.role != Leader || p == nil || m.Term != r.hard.Term {
		return
	}
	p.lastContact = r.now
	r.recordRoundAnswer(m, p)
	p.inflight = max(0, p.inflight-1)
	if m.Reject {
		r.handleReject(m, p)
	} else {
		r.handleMatch(m, p)
	}
	r.confirmRounds()
	r.advanceHandover()
}

// handleReject moves back to where the logs may match. A reply to an older message is
// ignored.
func (r *Replica) handleReject(m Message, p *progress) {
	if m.Rejected <= p.match || (p.probing && m.Rejected != p.next-1) {
		return
	}
	p.probing = true
	p.next = max(p.match, min(m.Index, r.log.Last())) + 1
	p.inflight, p.snapshotSentAt = 0, 0
	r.sendTo(m.From, p, false)
}

// handleMatch records what is on the other replica's disk and sends further entries.
func (r *Replica) handleMatch(m Message, p *progress) {
	if m.Index < p.match {
		return
	}
	if p.probing {
		p.probing, p.inflight, p.next = false, 0, m.Index+1
	}
	p.match, p.snapshotSentAt = m.Index, 0
	p.next = max(p.next, p.match+1)
	r.advanceCommit()
	if p.next <= r.log.Last() {
		r.sendTo(m.From, p, false)
	}
}

// advanceCommit commits what enough voters have on disk. Entries of earlier terms are
// committed only together with an entry of this term.
func (r *Replica) advanceCommit() {
	index := r.quorumValue(r.requiredCopies(), r.stable, func(p *progress) uint64 { return p.match })
	if term, ok := r.log.Term(index); ok && term == r.hard.Term {
		r.commitTo(index)
	}
}

// requiredCopies returns how many voters must have an entry on disk: a quorum, and at
// least Config.Copies. A group with fewer voters than that needs all of them.
func (r *Replica) requiredCopies() int {
	members := r.log.Members()
	return max(members.Quorum(), min(r.cfg.Copies, len(members.Voters)))
}

// quorumValue returns the highest value that the given number of voters have reached. own
// is this replica's value; value returns that of another one. A voter without progress
// counts as 0.
func (r *Replica) quorumValue(voters int, own uint64, value func(*progress) uint64) uint64 {
	members := r.log.Members()
	values := make([]uint64, 0, len(members.Voters))
	for _, id := range members.Voters {
		switch {
		case id == r.id:
			values = append(values, own)
		case r.peers[id] != nil:
			values = append(values, value(r.peers[id]))
		default:
			values = append(values, 0)
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-voters]
}

// commitTo commits entries up to an index and applies them.
func (r *Replica) commitTo(index uint64) {
	index = min(index, r.log.Last())
	if index <= r.commit {
		return
	}
	first := r.commit + 1
	r.commit = index
	const all = 1 << 62
	r.emit(ApplyCmd{Entries: r.log.Slice(first, index, all)})
	if r.role == Leader && !r.log.Members().IsVoter(r.id) && r.log.MembersIndex() <= r.commit {
		r.becomeFollower(r.hard.Term, ID{}) // It has removed itself.
	}
}

func (r *Replica) handleSynced(m SyncedMsg) {
	if term, ok := r.log.Term(m.Index); ok && term == m.Term {
		r.stable = max(r.stable, m.Index)
	}
	r.stable = min(r.stable, r.log.Last())
	switch r.role {
	case Leader:
		r.advanceCommit()
		r.advanceHandover()
	case Candidate:
		r.votes[r.id] = true
		r.tallyVotes()
	case Follower, PreCandidate:
	}
}

// leaderTick sends heartbeats, checks the quorum and continues handovers and membership
// changes.
func (r *Replica) leaderTick() {
	if r.now >= r.nextHeartbeatAt {
		r.broadcast()
	}
	if !r.quorumActive() {
		r.stepDownWithoutQuorum()
		return
	}
	r.advanceHandover()
	if !r.handover.active() {
		r.reconcileMembers()
		r.improvePlacement()
	}
}

func (r *Replica) quorumActive() bool {
	members := r.log.Members()
	active := 0
	for _, id := range members.Voters {
		if id == r.id || (r.peers[id] != nil && r.now-r.peers[id].lastContact < 2*r.requestedPromise) {
			active++
		}
	}
	return active >= members.Quorum()
}

// confirmRounds finds the latest round that a quorum has answered, extends the lease, and
// answers the reads that waited for that round.
func (r *Replica) confirmRounds() {
	if r.role != Leader {
		return
	}
	confirmed := r.quorumValue(r.log.Members().Quorum(), r.round, func(p *progress) uint64 { return p.answeredRound })
	r.leaseUntil = max(r.leaseUntil, r.quorumPromisedUntil())
	r.sentRounds.prune(confirmed, r.now)
	r.answerReads(confirmed)
}

func (r *Replica) answerReads(confirmed uint64) {
	if term, _ := r.log.Term(r.commit); term != r.hard.Term {
		return // Until an entry of this term is committed, the commit index may lag behind.
	}
	waiting := r.reads[:0]
	for _, rd := range r.reads {
		if rd.round > confirmed {
			waiting = append(waiting, rd)
			continue
		}
		r.emit(ReadCmd{Token: rd.token, Index: max(rd.index, r.termStart())})
	}
	r.reads = waiting
}

// termStart returns the index that a new leader must have applied before a read:
// everything that earlier leaders committed precedes it.
func (r *Replica) termStart() uint64 {
	index := r.commit
	for index > r.log.Snapshot().Index {
		if term, ok := r.log.Term(index - 1); !ok || term != r.hard.Term {
			break
		}
		index--
	}
	return index
}

func (r *Replica) read(m ReadMsg) {
	if r.role != Leader {
		r.emit(ReadCmd{Token: m.Token, Err: ErrNotLeader})
		return
	}
	if r.handover.active() {
		r.handover.reads = append(r.handover.reads, m)
		return
	}
	r.reads = append(r.reads, pendingRead{token: m.Token, index: r.commit, round: r.round + 1})
	r.broadcast()
}
