package replicate

import (
	"slices"

	"github.com/weldstream/weldstream/coordination/roundtrip"
)

// snapshotPatience is how many election timeouts a leader waits for the answer
// to a snapshot before it sends another.
const snapshotPatience = 30

func (r *Replica) becomeLeader() {
	r.role, r.leader = Leader, r.id
	r.votes = nil
	r.leadSince, r.place = r.now, roundtrip.Place{}
	r.peers = map[ID]*progress{}
	r.wantPromise = max(r.cfg.Election, r.hard.Promise)
	r.hard.Led = true // On disk with the entry below.
	r.do(ElectedCmd{Term: r.hard.Term})
	// The term begins with an entry of its own. It restates the members, so that
	// a replica that was told of no founders learns them from the log.
	r.appendEntries(Entry{Kind: EntryMembers, Data: encodeMembers(r.log.Members())})
	r.syncPeers()
	r.broadcast()
}

// syncPeers keeps a progress for each other member.
func (r *Replica) syncPeers() {
	members := r.log.Members()
	keep := map[ID]bool{}
	for _, id := range append(slices.Clone(members.Voters), members.Learners...) {
		keep[id] = true
		if id != r.id && r.peers[id] == nil {
			r.peers[id] = &progress{next: r.log.Last() + 1, heard: r.now}
		}
	}
	for id := range r.peers {
		if !keep[id] {
			delete(r.peers, id)
		}
	}
}

// appendEntries puts entries of this term behind the log.
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
		r.do(ProposedCmd{Token: m.Token, Err: ErrNotLeader})
		return
	}
	if r.handover.active() {
		r.handover.proposals = append(r.handover.proposals, m)
		return
	}
	r.appendEntries(Entry{Kind: EntryCommand, Data: m.Data})
	r.do(ProposedCmd{Token: m.Token, Index: r.log.Last(), Term: r.hard.Term})
	r.sendNew()
}

// sendNew sends new entries to the replicas that keep up.
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

// broadcast sends a round to all others, which counts as a heartbeat.
func (r *Replica) broadcast() {
	r.round++
	r.sent.add(r.round, r.now)
	r.adaptPromise()
	r.beatAt = r.now + r.cfg.Heartbeat
	for _, id := range r.peerIDs() {
		r.sendTo(id, r.peers[id], true)
	}
	r.confirm()
}

// sendTo sends what a replica lacks. A heartbeat goes out even if there is
// nothing, or if the window is full.
func (r *Replica) sendTo(id ID, p *progress, beat bool) {
	if p.snapshot != 0 && r.now-p.snapshot < snapshotPatience*r.cfg.Election {
		if beat {
			r.sendAppend(id, r.log.Snapshot().Index, nil)
		}
		return
	}
	p.snapshot = 0
	if _, ok := r.log.Term(p.next - 1); !ok {
		p.snapshot = r.now
		r.do(SendSnapshotCmd{To: id, Term: r.hard.Term, Round: r.round, Promise: r.wantPromise})
		return
	}
	if p.probing {
		r.probe(id, p, beat)
		return
	}
	var entries []Entry
	if p.inflight < r.cfg.Window {
		entries = r.log.Slice(p.next, r.log.Last(), r.cfg.Batch)
	}
	if len(entries) == 0 && !beat {
		return
	}
	r.sendAppend(id, p.next-1, entries)
	if len(entries) > 0 {
		p.next += uint64(len(entries))
		p.inflight++
	}
}

// probe sends one message at a time until one matches: otherwise each of many
// refused messages would call for another.
func (r *Replica) probe(id ID, p *progress, beat bool) {
	if p.inflight > 0 && !beat {
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
		Promise: r.promiseToSend(),
	}
	r.do(SendCmd{Message: m})
}

func (r *Replica) appendReply(m Message) {
	p := r.peers[m.From]
	if r.role != Leader || p == nil || m.Term != r.hard.Term {
		return
	}
	p.heard = r.now
	r.noteAnswer(m, p)
	p.inflight = max(0, p.inflight-1)
	if m.Reject {
		r.rejected(m, p)
	} else {
		r.matched(m, p)
	}
	r.confirm()
	r.continueHandover()
}

// rejected goes back to where the logs may match. An answer to an older message
// says nothing new.
func (r *Replica) rejected(m Message, p *progress) {
	if m.Rejected <= p.match || (p.probing && m.Rejected != p.next-1) {
		return
	}
	p.probing = true
	p.next = max(p.match, min(m.Index, r.log.Last())) + 1
	p.inflight, p.snapshot = 0, 0
	r.sendTo(m.From, p, false)
}

// matched notes what is on the other's disk and sends on.
func (r *Replica) matched(m Message, p *progress) {
	if m.Index < p.match {
		return
	}
	if p.probing {
		p.probing, p.inflight, p.next = false, 0, m.Index+1
	}
	p.match, p.snapshot = m.Index, 0
	p.next = max(p.next, p.match+1)
	r.advance()
	if p.next <= r.log.Last() {
		r.sendTo(m.From, p, false)
	}
}

// advance commits what a quorum of voters has on disk. Only an entry of this
// term commits those before it.
func (r *Replica) advance() {
	index := r.reached(r.copies(), r.stable, func(p *progress) uint64 { return p.match })
	if term, ok := r.log.Term(index); ok && term == r.hard.Term {
		r.commitTo(index)
	}
}

// copies is how many voters must have an entry on disk: a quorum, and as many
// as were asked for. A group with fewer voters than that asks all of them.
func (r *Replica) copies() int {
	members := r.log.Members()
	return max(members.Quorum(), min(r.cfg.Copies, len(members.Voters)))
}

// reached returns the highest value that so many voters have reached: own is
// this replica's, of the others what of tells. A voter without progress has
// reached nothing.
func (r *Replica) reached(voters int, own uint64, of func(*progress) uint64) uint64 {
	members := r.log.Members()
	values := make([]uint64, 0, len(members.Voters))
	for _, id := range members.Voters {
		switch {
		case id == r.id:
			values = append(values, own)
		case r.peers[id] != nil:
			values = append(values, of(r.peers[id]))
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

// commitTo applies what is newly committed.
func (r *Replica) commitTo(index uint64) {
	index = min(index, r.log.Last())
	if index <= r.commit {
		return
	}
	first := r.commit + 1
	r.commit = index
	const all = 1 << 62
	r.do(ApplyCmd{Entries: r.log.Slice(first, index, all)})
	if r.role == Leader && !r.log.Members().IsVoter(r.id) && r.log.Changed() <= r.commit {
		r.becomeFollower(r.hard.Term, ID{}) // It has removed itself.
	}
}

func (r *Replica) synced(m SyncedMsg) {
	if term, ok := r.log.Term(m.Index); ok && term == m.Term {
		r.stable = max(r.stable, m.Index)
	}
	r.stable = min(r.stable, r.log.Last())
	switch r.role {
	case Leader:
		r.advance()
		r.continueHandover()
	case Candidate:
		r.votes[r.id] = true
		r.count()
	case Follower, PreCandidate:
	}
}

// leaderTick beats, checks the quorum and goes on with changes of members.
func (r *Replica) leaderTick() {
	if r.now >= r.beatAt {
		r.broadcast()
	}
	if !r.quorumHeard() {
		r.stepDownWithoutQuorum()
		return
	}
	r.continueHandover()
	if !r.handover.active() {
		r.reconcile()
		r.choosePlace()
	}
}

func (r *Replica) quorumHeard() bool {
	members := r.log.Members()
	heard := 0
	for _, id := range members.Voters {
		if id == r.id || (r.peers[id] != nil && r.now-r.peers[id].heard < 2*r.wantPromise) {
			heard++
		}
	}
	return heard >= members.Quorum()
}

// confirm finds the latest round that a quorum has answered. It renews the
// lease and answers the reads that waited for it.
func (r *Replica) confirm() {
	if r.role != Leader {
		return
	}
	confirmed := r.reached(r.log.Members().Quorum(), r.round, func(p *progress) uint64 { return p.round })
	r.lease = max(r.lease, r.promised())
	r.sent.forget(confirmed, r.now)
	r.answerReads(confirmed)
}

func (r *Replica) answerReads(confirmed uint64) {
	if term, _ := r.log.Term(r.commit); term != r.hard.Term {
		return // Until an entry of this term is committed, the commit index may lag.
	}
	rest := r.reads[:0]
	for _, rd := range r.reads {
		if rd.round > confirmed {
			rest = append(rest, rd)
			continue
		}
		r.do(ReadCmd{Token: rd.token, Index: max(rd.index, r.termStart())})
	}
	r.reads = rest
}

// termStart is the index up to which a new leader must have applied before a
// read: everything that earlier leaders committed lies before it.
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
		r.do(ReadCmd{Token: m.Token, Err: ErrNotLeader})
		return
	}
	if r.handover.active() {
		r.handover.reads = append(r.handover.reads, m)
		return
	}
	r.reads = append(r.reads, pendingRead{token: m.Token, index: r.commit, round: r.round + 1})
	r.broadcast()
}
