package protocol

import "time"

// LoadVersion names a version of the loads of all servers, as one instance tells them. An
// asker that holds that version is told only what changed since.
type LoadVersion struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64   // Incarnation is drawn at each start of the instance that tells the loads.
	Version     uint64   // Version rises with each change; 0 for none.
}

// BatchMsg is what a relay asks the leader for the gateways that ask it. It names the
// batch that its sums build on, so that a leader which does not hold that one asks for
// the whole.
type BatchMsg struct {
	_        struct{} `cbor:",toarray"`
	Relay    string
	Life     uint64 // Life differs with each start of the relay.
	Batch    uint64 // Batch rises with each batch of a life.
	Base     uint64 // Base is the batch that the sums build on; 0 where they are whole.
	Number   uint64 // Number is the document that the relay holds.
	Lister   uint64 // Lister and Servers are the term and the version of the list that it holds.
	Servers  uint64
	Rollouts uint64      // Rollouts is the change of the roll-outs that it holds.
	Loads    LoadVersion // Loads are the loads that it holds.
	Sums     SumsMsg
	Placed   []Placement // Placed are places that the relay gave since its last batch.
	Readings []Prefill   // Readings are those that its gateways and its own ledger told since.
	Parts    []BatchPart

	Quarantined uint64 // Quarantined and Watched are as in SyncMsg, of the relay itself.
	Watched     uint64
}

// Placement is a place that was given for a long prompt.
type Placement struct {
	_      struct{} `cbor:",toarray"`
	Server string
	Prefix uint64 // Prefix is the hash of the shared parts.
	Tokens int    // Tokens are those that the server has to read.
}

// SumsMsg is what the gateways of a relay know together of the servers: all of it, or
// what changed.
type SumsMsg struct {
	_         struct{}      `cbor:",toarray"`
	Running   []ServerSum   // Running are requests under way; 0 where none are left.
	Distrusts []DistrustSum // Distrusts count gateways by server and domain; 0 where none is left.
	Counted   []string      // Counted are gateways that the sums hold from now on.
	Gone      []string      // Gone are gateways that they hold no more.
}

// ServerSum is how many requests one server has from the gateways of a relay.
type ServerSum struct {
	_       struct{} `cbor:",toarray"`
	Server  string
	Running int
}

// DistrustSum is how many gateways of a domain distrust a server.
type DistrustSum struct {
	_        struct{} `cbor:",toarray"`
	Server   string
	Domain   string
	Gateways int
}

// BatchPart is what is one gateway's own of its question; see SyncMsg.
type BatchPart struct {
	_        struct{} `cbor:",toarray"`
	Gateway  string
	Life     uint64
	Domain   string
	Clock    int64 // Clock is in nanoseconds since 1970, when the batch was made; 0 for unknown.
	Gateways int
	Term     uint64
	Usage    []BatchUsage
	Counted  int64 // Counted is in nanoseconds since 1970; 0 for none.
	Wants    []BatchQuotaRequest
	Pressure []BatchPressure
	Trials   []TrialReport

	Observations []Observation
}

// BatchUsage is a UsageRow without the names of the fields.
type BatchUsage struct {
	_         struct{} `cbor:",toarray"`
	Window    int64
	Workspace string
	Count     int64
}

// BatchQuotaRequest is a QuotaWant without the names of the fields.
type BatchQuotaRequest struct {
	_         struct{} `cbor:",toarray"`
	Workspace string
	Units     float64
	Waiting   float64
	Back      float64
	Alone     float64
}

// BatchPressure is a Pressure without the names of the fields. Its estimates are of
// single precision.
type BatchPressure struct {
	_     struct{} `cbor:",toarray"`
	Begun int64
	Slow  int64
	Work  float32
	BatchLanes
}

// BatchLanes are ServiceLanes without the names of the fields, of single precision.
type BatchLanes struct {
	Service string
	Seen    int
	Mean    float32
	Tokens  float32
	Busy    float32 // Busy is LaneParts.Work.
	Short   float32
}

// BatchReply is the leader's answer to a batch. Leads is false from one that cannot
// vouch; then only Leader is set.
type BatchReply struct {
	_           struct{} `cbor:",toarray"`
	Leads       bool
	Leader      string // Leader is the peer address of who leads, as far as known.
	Term        uint64
	Number      uint64
	Document    []byte // Document is set when the relay's is older.
	Lister      uint64
	Version     uint64
	Listed      bool // Listed says that List is set: the relay's list is older.
	List        []byte
	Gateways    int
	Clock       int64 // Clock is in nanoseconds since 1970.
	Short       []string
	Lanes       []LanesRow
	Rollouts    []Rollout
	Changes     uint64
	Loads       LoadVersion       // Loads names the loads that the relay holds with this answer.
	Whole       []byte            // Whole are all loads; empty where LoadChanges tells them.
	LoadChanges []byte            // LoadChanges are what changed; see place.Vector.
	Distrusted  map[string][]byte // Distrusted are the servers to pass over, by the gateways' domain.
	Resend      bool              // Resend asks for whole sums: the leader does not hold what they build on.
	Moved       []string          // Moved are gateways in the relay's sums that ask elsewhere now.
	Placed      []Placement       // Placed are places that others gave.
	Readings    []byte            // Readings are those of others that the relay was not told yet, packed by the order of the list.
	Answers     []BatchAnswer     // Answers are in the order of the parts.

	Quarantine *QuarantineUpdate // Quarantine is what the relay lacks of it; nil for nothing.
	Watch      *WatchUpdate
}

// LanesRow is one row of BatchLanes.
type LanesRow struct {
	_ struct{} `cbor:",toarray"`
	BatchLanes
}

// BatchAnswer is what is one gateway's own of an answer; see SyncReply.
type BatchAnswer struct {
	_      struct{} `cbor:",toarray"`
	Grants []BatchGrant
	Trials []TrialGrant
}

// BatchGrant is a QuotaGrant without the names of the fields.
type BatchGrant struct {
	_         struct{} `cbor:",toarray"`
	Workspace string
	Units     float64
	Lasts     time.Duration
	Wait      time.Duration
}
