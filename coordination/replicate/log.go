package replicate

import (
	"encoding/json"
	"slices"
)

// Log is the part of the log in memory: what follows the latest snapshot.
type Log struct {
	snapshot SnapshotMeta
	entries  []Entry
	members  Members
	changed  uint64 // changed is the index of the latest change of members.
}

// NewLog returns a log of the entries that follow a snapshot.
func NewLog(s SnapshotMeta, entries []Entry) Log {
	l := Log{snapshot: s, entries: slices.Clone(entries)}
	l.findMembers()
	return l
}

// Snapshot returns what the log begins after.
func (l *Log) Snapshot() SnapshotMeta { return l.snapshot }

// Last returns the index of the last entry.
func (l *Log) Last() uint64 { return l.snapshot.Index + uint64(len(l.entries)) }

// LastTerm returns the term of the last entry.
func (l *Log) LastTerm() uint64 {
	term, _ := l.Term(l.Last())
	return term
}

// Term returns the term of an entry; ok is false when the log does not have it.
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

// Slice returns the entries from first on, up to last and to a number of bytes,
// but at least one.
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

// Append puts entries behind the entry before the first of them and drops what
// was there.
func (l *Log) Append(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	keep := entries[0].Index - l.snapshot.Index - 1
	truncated := keep < uint64(len(l.entries))
	l.entries = append(l.entries[:keep:keep], entries...)
	if truncated || slices.ContainsFunc(entries, func(e Entry) bool { return e.Kind == EntryMembers }) {
		l.findMembers()
	}
}

// Members returns the members in force: the latest in the log, committed or not.
func (l *Log) Members() Members { return l.members }

// Changed returns the index of the latest change of members.
func (l *Log) Changed() uint64 { return l.changed }

func (l *Log) findMembers() {
	l.members, l.changed = l.snapshot.Members, l.snapshot.Index
	for i := len(l.entries) - 1; i >= 0; i-- {
		e := &l.entries[i]
		if e.Kind != EntryMembers {
			continue
		}
		var m Members
		if json.Unmarshal(e.Data, &m) == nil {
			l.members, l.changed = m, e.Index
			return
		}
	}
}

// MembersAt returns the members in force at an index of the log.
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
	l.findMembers()
}

// Reset replaces the whole log by a snapshot.
func (l *Log) Reset(s SnapshotMeta) { *l = NewLog(s, nil) }

// encodeMembers renders members as an entry's data.
func encodeMembers(m Members) []byte {
	data, err := json.Marshal(m)
	if err != nil {
		panic(err) // Members hold only names and numbers.
	}
	return data
}
