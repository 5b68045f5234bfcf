package replicate

import "time"

// appendFrom takes a leader's entries.
func (r *Replica) appendFrom(m Message) {
	promise := r.hear(m)
	reply := Message{Kind: AppendReply, From: r.id, To: m.From, Term: r.hard.Term, Round: m.Round, Promise: promise}
	if m.Index < r.log.Snapshot().Index {
		m = r.skipCovered(m)
	}
	if term, ok := r.log.Term(m.Index); !ok || term != m.LogTerm {
		reply.Reject, reply.Rejected, reply.Index = true, m.Index, r.hint(m.Index)
		r.do(SendCmd{Message: reply, Durable: true})
		return
	}
	r.take(m.Entries)
	reply.Index = m.Index + uint64(len(m.Entries))
	r.do(SendCmd{Message: reply, Durable: true})
	r.commitTo(min(m.Commit, reply.Index))
}

// hear notes a sign of life of the leader, and returns for how long from now on this
// replica elects no other.
func (r *Replica) hear(m Message) time.Duration {
	if r.role != Follower || r.leader != m.From {
		r.becomeFollower(m.Term, m.From)
	}
	r.heardAt = r.now
	promise := r.promise(m.Promise)
	r.electionAt = r.now + r.timeout() + r.spread
	return promise
}

// skipCovered drops the entries that this replica's snapshot covers; they are
// committed, so they are the same.
func (r *Replica) skipCovered(m Message) Message {
	snap := r.log.Snapshot()
	covered := min(snap.Index-m.Index, uint64(len(m.Entries)))
	if m.Index+covered < snap.Index {
		m.Entries = nil
	} else {
		m.Entries = m.Entries[covered:]
	}
	m.Index, m.LogTerm = snap.Index, snap.Term
	return m
}

// hint is an index at which the leader may try next: before the conflicting
// term, or the end of a short log.
func (r *Replica) hint(index uint64) uint64 {
	if index > r.log.Last() {
		return r.log.Last()
	}
	conflict, ok := r.log.Term(index)
	for ok && index > r.log.Snapshot().Index {
		index--
		if term, _ := r.log.Term(index); term != conflict {
			break
		}
	}
	return index
}

// take appends the entries that are not there yet. What conflicts with them
// was never committed and goes.
func (r *Replica) take(entries []Entry) {
	for i := range entries {
		if term, ok := r.log.Term(entries[i].Index); ok && term == entries[i].Term {
			continue
		}
		r.stable = min(r.stable, entries[i].Index-1)
		r.log.Append(entries[i:])
		r.persist(entries[i:])
		return
	}
}

// restore takes a leader's snapshot in place of a log that is too far behind.
func (r *Replica) restore(m Message) {
	promise := r.hear(m)
	reply := Message{Kind: AppendReply, From: r.id, To: m.From, Term: r.hard.Term, Round: m.Round, Promise: promise}
	switch term, ok := r.log.Term(m.Snapshot.Index); {
	case m.Snapshot.Index <= r.commit:
	case ok && term == m.Snapshot.Term:
		// The log has it, and perhaps more, which was promised: a late snapshot
		// must not take that away.
		r.commitTo(m.Snapshot.Index)
	default:
		r.log.Reset(m.Snapshot)
		r.commit, r.stable = m.Snapshot.Index, m.Snapshot.Index
		r.do(RestoreCmd{Snapshot: m.Snapshot, Data: m.Data})
	}
	reply.Index = r.commit
	r.do(SendCmd{Message: reply, Durable: true})
}
