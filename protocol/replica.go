package protocol

import (
	"slices"
	"time"
)

// ReplicaID is the identity of a replica: a name and the incarnation of its
// data folder. A folder that was lost comes back under another incarnation.
type ReplicaID struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

// IsZero reports whether the identity is unset.
func (id ReplicaID) IsZero() bool { return id.Name == "" }

// ReplicaMembers are the replicas of a group.
type ReplicaMembers struct {
	Voters   []ReplicaID `json:"voters"`
	Learners []ReplicaID `json:"learners,omitempty"`
}

// IsVoter reports whether exactly this incarnation votes.
func (m ReplicaMembers) IsVoter(id ReplicaID) bool { return slices.Contains(m.Voters, id) }

// IsLearner reports whether exactly this incarnation learns.
func (m ReplicaMembers) IsLearner(id ReplicaID) bool { return slices.Contains(m.Learners, id) }

// Quorum is the number of voters that make a majority.
func (m ReplicaMembers) Quorum() int { return len(m.Voters)/2 + 1 }

// Clone returns a copy that shares nothing with m.
func (m ReplicaMembers) Clone() ReplicaMembers {
	return ReplicaMembers{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners)}
}

// HardState is what must be on disk before a vote or a term is made known.
type HardState struct {
	Term uint64
	Vote ReplicaID
	Led  bool // Led says that this replica was the leader of Term.
	// Promise is the longest time that this replica may have promised a leader to elect
	// no other; 0 where it never was longer than the least election timeout.
	Promise time.Duration
}

// EntryKind tells entries of the log apart.
type EntryKind uint8

// The kinds of entries.
const (
	EntryCommand EntryKind = iota // EntryCommand is for the state machine.
	EntryMembers                  // EntryMembers changes or restates the members; Data is their JSON.
)

// LogEntry is one position of the replicated log.
type LogEntry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// SnapshotMeta describes a snapshot of the state machine.
type SnapshotMeta struct {
	Index   uint64         `json:"index"` // Index is the last entry that the snapshot covers.
	Term    uint64         `json:"term"`
	Members ReplicaMembers `json:"members"`
}
