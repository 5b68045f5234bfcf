package protocol

import (
	"slices"
	"time"
)

// ReplicaID identifies a replica by its name and the incarnation of its data directory.
// A replica whose data directory was lost comes back with another incarnation.
type ReplicaID struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

// IsZero reports whether the identity is unset.
func (id ReplicaID) IsZero() bool { return id.Name == "" }

// ReplicaMembers is the membership of a replication group.
type ReplicaMembers struct {
	Voters   []ReplicaID `json:"voters"`
	Learners []ReplicaID `json:"learners,omitempty"`
}

// IsVoter reports whether this incarnation of the replica is a voter.
func (m ReplicaMembers) IsVoter(id ReplicaID) bool { return slices.Contains(m.Voters, id) }

// IsLearner reports whether this incarnation of the replica is a learner.
func (m ReplicaMembers) IsLearner(id ReplicaID) bool { return slices.Contains(m.Learners, id) }

// Quorum returns the number of voters that form a majority.
func (m ReplicaMembers) Quorum() int { return len(m.Voters)/2 + 1 }

// Clone returns a deep copy of m.
func (m ReplicaMembers) Clone() ReplicaMembers {
	return ReplicaMembers{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners)}
}

// HardState must be durable before a vote or a term is announced to other replicas.
type HardState struct {
	Term uint64
	Vote ReplicaID
	Led  bool // this replica was the leader of Term
	// Promise is the longest time for which this replica may have promised a leader not
	// to elect another one; 0 if it never exceeded the minimum election timeout.
	Promise time.Duration
}

// EntryKind is the kind of a log entry.
type EntryKind uint8

// The kinds of log entries.
const (
	EntryCommand EntryKind = iota // command for the state machine
	EntryMembers                  // changes or repeats the membership; Data is its JSON encoding
)

// LogEntry is one entry of the replicated log.
type LogEntry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// SnapshotMeta describes a snapshot of the state machine.
type SnapshotMeta struct {
	Index   uint64         `json:"index"` // index of the last entry that the snapshot covers
	Term    uint64         `json:"term"`
	Members ReplicaMembers `json:"members"`
}
