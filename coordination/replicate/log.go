package replicate

import (
	"encoding/json"
	"slices"
)

// Log is the in-memory part of the log: the entries after the latest snapshot.
type Log struct {
	snapshot     SnapshotMeta
	entries      []Entry
	members      Members
	membersIndex uint64 // membersIndex is the index of the latest membership change.
}

// NewLog returns a log of the entries after a snapshot.
func NewLog(s SnapshotMeta, entries []Entry) Log {
	l := Log{snapshot: s, entries: slices.Clone(entries)}
	l.refreshMembers()
	return l
}

// Snapshot returns the snapshot that the log starts after.
func (l *Log) Snapshot() SnapshotMeta { return l.snapshot }

// Last returns the index of the last entry.
func (l *Log) Last() uint64 { return l.snapshot.Index + uint64(len(l.entries)) }

// LastTerm returns the term of the last entry.
func (l *Log) LastTerm() uint64 {
	term, _ := l.Term(l.Last())
	return term
}

// Term returns the term of the entry at an index; ok is false when the log does not have
// it.
func (l *Log) Term(index uint64) (term uint64, ok bool) {
	if index == l.snapshot.Index {
		return l.snapshot.Term, true
	}
	if index < l.snapshot.Index || index > l.Last() {
		return 0, false
	}
	return l.at(index).Term, true
}

func (l *Log) at(index uint64) *Entry { return &l.entries[index-l.snapshot.Index-1] }

// Slice returns the entries from first to last, limited to a number of bytes but at least
// one entry.
func (l *Log) Slice(first, last uint64, bytes int) []Entry {
	last = min(last, l.Last())
	if first > last || first <= l.snapshot.Index {
		return nil
	}
	out := l.entries[first-l.snapshot.Index-1 : last-l.snapshot.Index]
	size := 0
	for i := range out {
		size += len(out[i].Data)
		if size > bytes && i > 0 {
			return slices.Clone(out[:i])
		}
	}
	return slices.Clone(out)
}

// Append replaces everything from the index of the first given entry on with the given
// entries.
func (l *Log) Append(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	keep := entries[0].Index - l.snapshot.Index - 1
	truncated := keep < uint64(len(l.entries))
	l.entries = append(l.entries[:keep:keep], entries...)
	if truncated || slices.ContainsFunc(entries, func(e Entry) bool { return e.Kind == EntryMembers }) {
		l.refreshMembers()
	}
}

// Members returns the current members: the latest in the log, committed or not.
func (l *Log) Members() Members { return l.members }

// MembersIndex returns the index of the latest membership change.
func (l *Log) MembersIndex() uint64 { return l.membersIndex }

func (l *Log) refreshMembers() {
	l.members, l.membersIndex = l.snapshot.Members, l.snapshot.Index
	for i := len(l.entries) - 1; i >= 0; i-- {
		e := &l.entries[i]
		if e.Kind != EntryMembers {
			continue
		}
		var m Members
		if json.Unmarshal(e.Data, &m) == nil {
			l.members, l.membersIndex = m, e.Index
			return
		}
	}
}

// MembersAt returns the members as of an index of the log.
func (l *Log) MembersAt(index uint64) Members {
	m := l.snapshot.Members
	for i := range l.entries {
		e := &l.entries[i]
		if e.Index > index {
			break
		}
		if e.Kind == EntryMembers {
			var next Members
			if json.Unmarshal(e.Data, &next) == nil {
				m = next
			}
		}
	}
	return m
}

// Compact drops the entries that a snapshot covers.
func (l *Log) Compact(s SnapshotMeta) {
	if s.Index <= l.snapshot.Index {
		return
	}
	if s.Index >= l.Last() {
		l.entries = nil
	} else {
		l.entries = slices.Clone(l.entries[s.Index-l.snapshot.Index:])
	}
	l.snapshot = s
	l.refreshMembers()
}

// Reset replaces the whole log with a snapshot.
func (l *Log) Reset(s SnapshotMeta) { *l = NewLog(s, nil) }

// encodeMembers encodes members as the data of an entry.
func encodeMembers(m Members) []byte {
	data, err := json.Marshal(m)
	if err != nil {
		panic(err) // Members hold only names and numbers, which can always be encoded.
	}
	return data
}
