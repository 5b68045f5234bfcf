package replicate

import "time"

// handleAppend processes a leader's append message.
func (r *Replica) handleAppend(m Message) {
	promise := r.recordLeaderContact(m)
	reply := Message{Kind: AppendReply, From: r.id, To: m.From, Term: r.hard.Term, Round: m.Round, Promise: promise}
	if m.Index < r.log.Snapshot().Index {
		m = r.skipSnapshotted(m)
	}
	if term, ok := r.log.Term(m.Index); !ok || term != m.LogTerm {
		reply.Reject, reply.Rejected, reply.Index = true, m.Index, r.rejectHint(m.Index)
		r.emit(SendCmd{Message: reply, Durable: true})
		return
	}
	r.appendMissing(m.Entries)
	reply.Index = m.Index + uint64(len(m.Entries))
	r.emit(SendCmd{Message: reply, Durable: true})
	r.commitTo(min(m.Commit, reply.Index))
}

// recordLeaderContact records a message from the leader, and returns for how long from
// now on this replica votes for no other candidate.
func (r *Replica) recordLeaderContact(m Message) time.Duration {
	if r.role != Follower || r.leader != m.From {
		r.becomeFollower(m.Term, m.From)
	}
	r.leaderContactAt = r.now
	promise := r.makePromise(m.Promise)
	r.electionDeadline = r.now + r.electionTimeout() + r.electionJitter
	return promise
}

// skipSnapshotted drops the entries that this replica's snapshot covers. They are
// committed, and so they are the same.
func (r *Replica) skipSnapshotted(m Message) Message {
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

// rejectHint returns the index that the leader should try next: the last index before the
// conflicting term, or the end of a shorter log.
func (r *Replica) rejectHint(index uint64) uint64 {
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

// appendMissing appends the entries that the log lacks. Existing entries that conflict
// with them were never committed and are removed.
func (r *Replica) appendMissing(entries []Entry) {
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

// handleSnapshot installs a leader's snapshot in place of a log that is too far behind.
func (r *Replica) handleSnapshot(m Message) {
	promise := r.recordLeaderContact(m)
	reply := Message{Kind: AppendReply, From: r.id, To: m.From, Term: r.hard.Term, Round: m.Round, Promise: promise}
	switch term, ok := r.log.Term(m.Snapshot.Index); {
	case m.Snapshot.Index <= r.commit:
	case ok && term == m.Snapshot.Term:
		// The log has the snapshot's last entry, and perhaps later ones that this replica
		// has acknowledged. A delayed snapshot must not remove those.
		r.commitTo(m.Snapshot.Index)
	default:
		r.log.Reset(m.Snapshot)
		r.commit, r.stable = m.Snapshot.Index, m.Snapshot.Index
		r.emit(RestoreCmd{Snapshot: m.Snapshot, Data: m.Data})
	}
	reply.Index = r.commit
	r.emit(SendCmd{Message: reply, Durable: true})
}
