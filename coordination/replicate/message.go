package replicate

import (
	"time"

	"github.com/weldstream/weldstream/coordination/roundtrip"
)

// MessageKind tells messages between replicas apart.
type MessageKind uint8

// The kinds of messages between replicas.
const (
	PreVote MessageKind = iota
	PreVoteReply
	Vote
	VoteReply
	Append
	AppendReply
	Snapshot
	Handover // Handover tells the receiver to campaign at once: the leader of the term leads no more.
	Ping     // Ping is answered at once, with the same Round.
	Pong
)

// Message is what replicas send each other. It is for exactly one incarnation. What is
// zero is left out on the wire, which halves a heartbeat.
type Message struct {
	Kind     MessageKind
	From     ID
	To       ID
	Term     uint64
	Index    uint64           `cbor:",omitempty"` // Index is of the entry before Entries; in a reply, the last that matches.
	LogTerm  uint64           `cbor:",omitempty"` // LogTerm is the term of the entry at Index.
	Entries  []Entry          `cbor:",omitempty"`
	Commit   uint64           `cbor:",omitempty"`
	Reject   bool             `cbor:",omitempty"`
	Rejected uint64           `cbor:",omitempty"` // Rejected is the Index of the message that is refused.
	Round    uint64           `cbor:",omitempty"` // Round pairs a leader's message with its answer.
	Void     uint64           `cbor:",omitempty"` // Void is a term whose leader leads no more, 0 without one: no lease of that term runs.
	Promise  time.Duration    `cbor:",omitempty"` // Promise is for how long the receiver is to elect no other; in a reply, for how long it will not.
	Trips    []roundtrip.Trip `cbor:",omitempty"` // Trips are the sender's own round trips, in a Pong.
	Snapshot SnapshotMeta     `cbor:",omitzero"`
	Data     []byte           `cbor:",omitempty"` // Data is the state machine's snapshot.
}

// Msg is a message to [Replica.Update].
type Msg interface{ msg() }

// TickMsg is the passing of time, on a monotonic clock.
type TickMsg struct {
	Now  time.Duration
	Rand uint64
	Busy bool // Busy says that an order is under way: the leader does not move meanwhile.
}

// StepMsg is a message from another replica.
type StepMsg struct {
	Message Message
	Now     time.Duration
}

// ProposeMsg asks for a command to be committed. The answer is a [ProposedCmd].
type ProposeMsg struct {
	Token uint64
	Data  []byte
}

// ReadMsg asks for an index at which a read sees everything committed before
// it was asked. The answer is a [ReadCmd].
type ReadMsg struct{ Token uint64 }

// JoinMsg asks for a replica to be taken in, as a learner first. A former
// incarnation of the same name is replaced.
type JoinMsg struct{ ID ID }

// RemoveMsg asks for all incarnations of a name to be taken out. The answer is
// a [RemoveCmd].
type RemoveMsg struct {
	Token uint64
	Name  string
}

// HandoverMsg asks the leader to hand over. The answer is a [HandoverCmd]; the next
// leader is elected later.
type HandoverMsg struct {
	Token uint64
	To    string // To is the name of the replica that is to lead; empty for the best one.
}

// SyncedMsg tells that every PersistCmd so far is on this replica's disk. Index
// and Term are of the last entry there.
type SyncedMsg struct {
	Index uint64
	Term  uint64 // Term is the entry's term: a later leader may have replaced it.
}

// CompactedMsg tells that a snapshot is on disk and the log before it is not
// needed any more.
type CompactedMsg struct{ Snapshot SnapshotMeta }

// DiskFailedMsg tells that a write or a sync failed.
type DiskFailedMsg struct{}

func (TickMsg) msg()       {}
func (StepMsg) msg()       {}
func (ProposeMsg) msg()    {}
func (ReadMsg) msg()       {}
func (JoinMsg) msg()       {}
func (RemoveMsg) msg()     {}
func (HandoverMsg) msg()   {}
func (SyncedMsg) msg()     {}
func (CompactedMsg) msg()  {}
func (DiskFailedMsg) msg() {}

// Cmd is a command from [Replica.Update].
type Cmd interface{ cmd() }

// PersistCmd writes the hard state and entries. An entry at an index that is
// already there replaces it and everything behind it.
type PersistCmd struct {
	Hard    HardState
	Entries []Entry
}

// SendCmd sends a message. A durable one must wait for the sync of all
// PersistCmds before it.
type SendCmd struct {
	Message Message
	Durable bool
}

// SendSnapshotCmd sends the latest snapshot on disk to a replica.
type SendSnapshotCmd struct {
	To      ID
	Term    uint64
	Round   uint64
	Promise time.Duration // Promise is as in [Message].
}

// RestoreCmd replaces the state machine, and the log on disk, by a snapshot.
type RestoreCmd struct {
	Snapshot SnapshotMeta
	Data     []byte
}

// ApplyCmd applies committed entries to the state machine.
type ApplyCmd struct{ Entries []Entry }

// ProposedCmd answers a [ProposeMsg]: the command is at Index if the entry that
// is applied there has this term; else it was not committed.
type ProposedCmd struct {
	Token uint64
	Index uint64
	Term  uint64
	Err   error
}

// ReadCmd answers a [ReadMsg]: the read may be made once Index is applied.
type ReadCmd struct {
	Token uint64
	Index uint64
	Err   error
}

// RemoveCmd answers a [RemoveMsg]; the change itself is committed later.
type RemoveCmd struct {
	Token uint64
	Err   error
}

// HandoverCmd answers a [HandoverMsg]: this replica leads no more, and told To to
// campaign; or the error says why not.
type HandoverCmd struct {
	Token uint64
	To    ID
	Err   error
}

// MoveCmd tells that leadership is to move to a better place.
type MoveCmd struct{ Move roundtrip.Move }

// SteppedDownCmd tells that the replica leads no more.
type SteppedDownCmd struct{ Term uint64 }

// ElectedCmd tells that the replica leads.
type ElectedCmd struct{ Term uint64 }

func (PersistCmd) cmd()      {}
func (SendCmd) cmd()         {}
func (SendSnapshotCmd) cmd() {}
func (RestoreCmd) cmd()      {}
func (ApplyCmd) cmd()        {}
func (ProposedCmd) cmd()     {}
func (ReadCmd) cmd()         {}
func (RemoveCmd) cmd()       {}
func (HandoverCmd) cmd()     {}
func (MoveCmd) cmd()         {}
func (SteppedDownCmd) cmd()  {}
func (ElectedCmd) cmd()      {}
