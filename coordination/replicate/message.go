package replicate

import (
	"time"

	"github.com/weldstream/weldstream/coordination/roundtrip"
)

// MessageKind is the type of a message between replicas.
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
	Handover // Handover tells the receiver to campaign at once: the sender has stopped leading the term.
	Ping     // Ping is answered at once with a Pong of the same Round.
	Pong
)

// Message is a message between replicas, addressed to exactly one incarnation. Zero
// fields are omitted when it is encoded, which halves the size of a heartbeat.
type Message struct {
	Kind     MessageKind
	From     ID
	To       ID
	Term     uint64
	Index    uint64           `cbor:",omitempty"` // Index is the index of the entry before Entries; in a reply, the last matching index.
	LogTerm  uint64           `cbor:",omitempty"` // LogTerm is the term of the entry at Index.
	Entries  []Entry          `cbor:",omitempty"`
	Commit   uint64           `cbor:",omitempty"`
	Reject   bool             `cbor:",omitempty"`
	Rejected uint64           `cbor:",omitempty"` // Rejected is the Index of the rejected message.
	Round    uint64           `cbor:",omitempty"` // Round pairs a leader's message with its answer.
	Void     uint64           `cbor:",omitempty"` // Void is a term whose leader has stopped leading, so that no lease of that term is valid; 0 if there is none.
	Promise  time.Duration    `cbor:",omitempty"` // Promise is for how long the receiver is asked to vote for no other candidate; in a reply, for how long the sender will not.
	Trips    []roundtrip.Trip `cbor:",omitempty"` // Trips are the sender's own round-trip times, in a Pong.
	Snapshot SnapshotMeta     `cbor:",omitzero"`
	Data     []byte           `cbor:",omitempty"` // Data is the state machine's snapshot.
}

// Msg is an input of [Replica.Update].
type Msg interface{ msg() }

// TickMsg advances the replica's monotonic clock.
type TickMsg struct {
	Now  time.Duration
	Rand uint64
	Busy bool // Busy says that an operation is in progress; the leader does not move meanwhile.
}

// StepMsg delivers a message from another replica.
type StepMsg struct {
	Message Message
	Now     time.Duration
}

// ProposeMsg proposes a command. The answer is a [ProposedCmd].
type ProposeMsg struct {
	Token uint64
	Data  []byte
}

// ReadMsg requests the index that a read must have applied to see everything committed
// before the request. The answer is a [ReadCmd].
type ReadMsg struct{ Token uint64 }

// JoinMsg asks to add a replica, initially as a learner. It replaces an earlier
// incarnation of the same name.
type JoinMsg struct{ ID ID }

// RemoveMsg asks to remove all incarnations of a name. The answer is a [RemoveCmd].
type RemoveMsg struct {
	Token uint64
	Name  string
}

// HandoverMsg asks the leader to hand over leadership. The answer is a [HandoverCmd],
// which precedes the election of the next leader.
type HandoverMsg struct {
	Token uint64
	To    string // To is the name of the next leader; empty for the best candidate.
	// Retire says that this replica is about to end: it votes, but does not campaign any
	// more.
	Retire bool
}

// SyncedMsg reports that all previous PersistCmds are on this replica's disk. Index and
// Term are those of the last entry on disk.
type SyncedMsg struct {
	Index uint64
	Term  uint64 // Term identifies the entry, which a later leader may have replaced.
}

// CompactedMsg reports that a snapshot is on disk, so that the log before it can be dropped.
type CompactedMsg struct{ Snapshot SnapshotMeta }

// DiskFailedMsg reports that a write or a sync failed.
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

// Cmd is a command returned by [Replica.Update].
type Cmd interface{ cmd() }

// PersistCmd writes the hard state and entries. An entry at an existing index replaces
// that entry and all entries after it.
type PersistCmd struct {
	Hard    HardState
	Entries []Entry
}

// SendCmd sends a message. A durable message must not be sent before all previous
// PersistCmds are synced.
type SendCmd struct {
	Message Message
	Durable bool
}

// SendSnapshotCmd sends the latest snapshot on disk to a replica.
type SendSnapshotCmd struct {
	To      ID
	Term    uint64
	Round   uint64
	Promise time.Duration // Promise is the Promise of the [Message].
}

// RestoreCmd replaces the state machine and the log on disk with a snapshot.
type RestoreCmd struct {
	Snapshot SnapshotMeta
	Data     []byte
}

// ApplyCmd applies committed entries to the state machine.
type ApplyCmd struct{ Entries []Entry }

// ProposedCmd answers a [ProposeMsg]. The command is committed if the entry applied at
// Index has this term; otherwise it was not committed.
type ProposedCmd struct {
	Token uint64
	Index uint64
	Term  uint64
	Err   error
}

// ReadCmd answers a [ReadMsg]. The read may be served once Index is applied.
type ReadCmd struct {
	Token uint64
	Index uint64
	Err   error
}

// RemoveCmd answers a [RemoveMsg]. The change itself is committed later.
type RemoveCmd struct {
	Token uint64
	Err   error
}

// HandoverCmd answers a [HandoverMsg]: either this replica has stopped leading and told
// To to campaign, or Err says why it has not.
type HandoverCmd struct {
	Token uint64
	To    ID
	Err   error
}

// MoveCmd reports that the leader is about to hand over to a better placed replica.
type MoveCmd struct{ Move roundtrip.Move }

// SteppedDownCmd reports that the replica has stopped leading.
type SteppedDownCmd struct{ Term uint64 }

// ElectedCmd reports that the replica has become the leader.
type ElectedCmd struct{ Term uint64 }

// CampaignCmd reports that the replica has begun to request votes.
type CampaignCmd struct {
	Role Role   // Role is PreCandidate or Candidate.
	Term uint64 // Term is the term that it campaigns for.
	Void uint64 // Void is the Void of its messages.
}

// VoteRefusedCmd reports that the replica has refused a vote.
type VoteRefusedCmd struct {
	To      ID
	PreVote bool
	Term    uint64 // Term is the term that To campaigns for.
	Reason  VoteRefusal
}

// VoteRefusal is the reason why a vote was refused.
type VoteRefusal string

// The reasons why a vote is refused.
const (
	VoteRefusedLease   VoteRefusal = "a leader may hold a lease"
	VoteRefusedTerm    VoteRefusal = "the term is not newer"
	VoteRefusedAlready VoteRefusal = "voted for another candidate"
	VoteRefusedLog     VoteRefusal = "the candidate's log lacks entries"
)

// HandoverReceivedCmd reports that a leader has asked the replica to campaign. It campaigns
// if its log has the entry at Index.
type HandoverReceivedCmd struct {
	From      ID
	Term      uint64
	Index     uint64
	Campaigns bool
}

func (CampaignCmd) cmd()         {}
func (VoteRefusedCmd) cmd()      {}
func (HandoverReceivedCmd) cmd() {}

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
