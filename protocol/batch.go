package protocol

import "time"

// LoadVersion identifies a version of the load table of all servers, as published by
// one instance. A client that has this version receives only later changes.
type LoadVersion struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64   // random value for each start of the publishing instance
	Version     uint64   // increases with each change; 0 for none
}

// BatchMsg combines the synchronization requests of the gateways behind a relay into
// one request to the leader. It identifies the batch that its sums are relative to; a
// leader that does not have that batch requests complete sums.
type BatchMsg struct {
	_      struct{} `cbor:",toarray"`
	Relay  string
	Life   uint64 // differs for each start of the relay
	Batch  uint64 // increases with each batch within a life
	Base   uint64 // batch that the sums are relative to; 0 if they are complete
	Number uint64 // number of the document that the relay has
	// Lister and Servers identify the server list that the relay has: the term of the
	// instance that read it, and its version.
	Lister   uint64
	Servers  uint64
	Rollouts uint64      // roll-out change number that the relay has
	Loads    LoadVersion // version of the loads that the relay has
	Sums     SumsMsg
	Placed   []Placement // placements that the relay made since its last batch
	Readings []Prefill   // prefills reported by its gateways and its own placements since
	Parts    []BatchPart

	// Quarantined and Watched are as in [SyncMsg], for the relay itself.
	Quarantined uint64
	Watched     uint64
}

// Placement records that a long prompt was assigned to a server.
type Placement struct {
	_      struct{} `cbor:",toarray"`
	Server string
	Prefix uint64 // hash of the shared parts
	Tokens int    // tokens that the server has to prefill
}

// SumsMsg aggregates what the gateways of a relay report about servers, either
// completely or as changes since the base batch.
type SumsMsg struct {
	_         struct{}      `cbor:",toarray"`
	Running   []ServerSum   // requests in progress by server; 0 if none are left
	Distrusts []DistrustSum // gateways that distrust a server, by domain; 0 if none are left
	Counted   []string      // gateways newly included in the sums
	Gone      []string      // gateways no longer included in the sums
}

// ServerSum is the number of requests in progress at one server, from all gateways of a
// relay.
type ServerSum struct {
	_       struct{} `cbor:",toarray"`
	Server  string
	Running int
}

// DistrustSum is the number of gateways in a domain that distrust a server.
type DistrustSum struct {
	_        struct{} `cbor:",toarray"`
	Server   string
	Domain   string
	Gateways int
}

// BatchPart is the part of a batch that is specific to one gateway; see [SyncMsg].
type BatchPart struct {
	_        struct{} `cbor:",toarray"`
	Gateway  string
	Life     uint64
	Domain   string
	Clock    int64 // gateway's clock when the batch was made, in ns since 1970; 0 if unknown
	Gateways int
	Term     uint64
	Usage    []BatchUsage
	Counted  int64 // in ns since 1970; 0 for none
	Wants    []BatchQuotaRequest
	Pressure []BatchPressure
	Trials   []TrialReport

	Observations []Observation
}

// BatchUsage is a compact [UsageRow], encoded without field names.
type BatchUsage struct {
	_         struct{} `cbor:",toarray"`
	Window    int64
	Workspace string
	Count     int64
}

// BatchQuotaRequest is a compact [QuotaRequest], encoded without field names.
type BatchQuotaRequest struct {
	_         struct{} `cbor:",toarray"`
	Workspace string
	Units     float64
	Waiting   float64
	Back      float64
	Alone     float64
}

// BatchPressure is a compact [Pressure], encoded without field names and with estimates
// in single precision.
type BatchPressure struct {
	_     struct{} `cbor:",toarray"`
	Begun int64
	Slow  int64
	Work  float32
	BatchLanes
}

// BatchLanes is a compact [ServiceLanes], encoded without field names and in single
// precision.
type BatchLanes struct {
	Service string
	Seen    int
	Mean    float32
	Tokens  float32
	Busy    float32 // LaneShares.Work
	Short   float32
}

// BatchReply is the leader's answer to a batch. Leads is false if the instance cannot
// confirm that it is the leader; then only Leader is set.
type BatchReply struct {
	_           struct{} `cbor:",toarray"`
	Leads       bool
	Leader      string // peer address of the leader, as far as known
	Term        uint64
	Number      uint64
	Document    []byte // set if the relay has an older one
	Lister      uint64
	Version     uint64
	Listed      bool // List is set because the relay has an older one
	List        []byte
	Gateways    int
	Clock       int64 // in ns since 1970
	Short       []string
	Lanes       []LanesRow
	Rollouts    []Rollout
	Changes     uint64
	Loads       LoadVersion       // version of the loads that the relay has with this answer
	Whole       []byte            // all loads; empty if LoadChanges is set
	LoadChanges []byte            // changed loads; see place.Vector
	Distrusted  map[string][]byte // servers to avoid, by the domain of the gateways
	Resend      bool              // requests complete sums, as the leader lacks the base of these
	Moved       []string          // gateways in the relay's sums that now use another relay or the leader
	Placed      []Placement       // placements made by others
	// Readings holds prefills from other sources that the relay has not received yet,
	// packed using the order of the server list.
	Readings []byte
	Answers  []BatchAnswer // in the order of the parts

	Quarantine *QuarantineUpdate // changes that the relay lacks; nil for none
	Watch      *WatchUpdate
}

// LanesRow is a [BatchLanes] encoded as an array.
type LanesRow struct {
	_ struct{} `cbor:",toarray"`
	BatchLanes
}

// BatchAnswer is the part of an answer that is specific to one gateway; see
// [SyncReply].
type BatchAnswer struct {
	_      struct{} `cbor:",toarray"`
	Grants []BatchGrant
	Trials []TrialGrant
}

// BatchGrant is a compact [QuotaGrant], encoded without field names.
type BatchGrant struct {
	_         struct{} `cbor:",toarray"`
	Workspace string
	Units     float64
	Lasts     time.Duration
	Wait      time.Duration
}
