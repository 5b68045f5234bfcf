package protocol

import "time"

// SyncMsg is what a gateway reports to the control role a few times a second. Its
// contents are repeated until they are too old, so lost or duplicated messages do no
// harm.
type SyncMsg struct {
	Gateway string
	Life    uint64 // differs for each start of the gateway
	Number  uint64 // number of the document that the gateway has
	Servers uint64 // version of the server list that it has
	Lister  uint64 // distinguishes versions from different readers of the list
	Term    uint64 // leader's term that Usage refers to; what that leader has is omitted
	Usage   []UsageRow
	// Counted is the time up to which Usage is complete, by the clock that the gateway
	// counts by.
	Counted    time.Time
	Wants      []QuotaRequest
	Pressure   []Pressure
	Done       []PlaceDone
	Domain     string       // failure domain of the gateway
	Distrusts  []string     // servers that the gateway avoids
	Running    []ServerLoad // requests in progress by server
	Clock      time.Time    // gateway's wall-clock time
	Gateways   int          // number of gateways in the last answer from a leader; 0 before the first
	Rollouts   uint64       // roll-out change that the gateway has applied; 0 before the first
	Trials     []TrialReport
	Loads      LoadVersion // version of the loads that the gateway has
	Relayed    bool        // asks an instance that does not lead to forward the request to the leader
	Readings   []Prefill   // prefills of prompts that the gateway placed itself, not yet reported
	ReadingsAt uint64      // position up to which it has received the term's log of prefills

	// Observations are those that the leader of Term lacks: servers that terminated
	// while requests were in progress, and later outcomes of such requests.
	Observations []Observation
	// Quarantined is the quarantine change that the gateway has applied, 0 before the
	// first. It is nil from a build without the quarantine.
	Quarantined *uint64
	// Watched identifies the list of requests whose successful completions the gateway
	// reports; see [WatchHash].
	Watched uint64
	Asks    []TrialAsk // trials that the gateway could make

	Features Features // features of the gateway's build
}

// SupportsIncarnations reports whether the gateway's build identifies servers by their
// starts. The first build to do so sent no features. It is recognized by its
// quarantine, which was introduced at the same time.
func (m *SyncMsg) SupportsIncarnations() bool {
	return m.Quarantined != nil || m.Features.Has(FeatureIncarnations)
}

// QuarantineChange returns the quarantine change that the gateway has applied.
func (m *SyncMsg) QuarantineChange() uint64 {
	if m.Quarantined == nil {
		return 0
	}
	return *m.Quarantined
}

// Prefill records that a server was given shared prompt parts to prefill.
type Prefill struct {
	_      struct{} `cbor:",toarray"`
	Server string
	Links  []uint32 // upper halves of the hashes of prompt links
}

// ServerLoad is the number of requests in progress at one server.
type ServerLoad struct {
	Server  string
	Running int
}

// PlaceMsg requests a server for a long prompt; see place.PromptMsg.
type PlaceMsg struct {
	Service string
	Prompt  int    // length in tokens
	Shared  int    // tokens in the parts that other requests may have in common
	Answer  int    // maximum tokens of the answer
	Prefix  uint64 // hash of the shared parts
	Chain   []PromptLink
	Domain  string   // failure domain of the gateway
	Avoid   []string // servers that the request was sent to before
	Copies  float64  // tokens per millisecond that a server copies from another; 0 if it cannot
	Parts   LaneShares
	Target  time.Duration // latency target for the first event
	Gap     time.Duration // latency target for the gap between events
	Version *string       // only software version that may take the request; nil for any
}

// PlaceReply names the selected server. Server is empty if none was found or if this
// instance is not the leader.
type PlaceReply struct {
	Server string
	Holder string // server that has the prompt's shared parts cached, if Server does not
	Term   uint64 // term of the leader that made the placement
	Number uint64 // identifies the placement within the term
	Placer uint64 // instance that made the placement: the leader or a relay
}

// PlaceDone reports that a placed request ended.
type PlaceDone struct {
	Term   uint64
	Number uint64
	Placer uint64
	First  time.Duration // time to the first event; 0 if there was none
	Took   time.Duration // time to the end
}

// UsageRow counts the requests that began execution since the start of the gateway.
type UsageRow struct {
	Window    int64 // number of the wall-clock time window
	Workspace string
	Count     int64
}

// QuotaRequest asks for a portion of a workspace's quota.
type QuotaRequest struct {
	Workspace string
	Units     float64 // requests or tokens, depending on the quota
	Waiting   float64 // units needed by waiting requests; the rest is requested in advance
	Back      float64 // units of earlier grants that expired unused
	Alone     float64 // units spent without a grant while none could be obtained
}

// QuotaMsg asks the leader for portions of quotas. It is separate from SyncMsg because
// requests wait for the answer, and the size of a SyncReply grows with the number of
// servers.
type QuotaMsg struct {
	Gateway string
	Wants   []QuotaRequest
	Done    []PlaceDone // requests placed by the leader that have ended
}

// QuotaReply answers a [QuotaMsg] with one grant for each request. Leads is false if
// the instance cannot confirm that it is the leader; the other fields are then
// meaningless.
type QuotaReply struct {
	Leads  bool
	Grants []QuotaGrant
}

// Pressure is the load that a service's requests through one gateway put on its
// servers.
type Pressure struct {
	Service string
	Begun   int64   // answers that began since the start of the gateway
	Slow    int64   // those that used up much of their latency target
	Work    float64 // mean number of running requests over the last second
	Lanes   LaneParams
}

// LaneParams defines which prompts of a service are long, and their share of the load.
type LaneParams struct {
	Mean  float64 // mean prompt length in tokens; longer prompts count as long
	Seen  int     // number of prompts that the parameters are based on
	Parts LaneShares
}

// LaneShares describes how a service's servers are divided between long and short
// prompts.
type LaneShares struct {
	Tokens float64 // fraction of all prefill tokens that belong to long prompts, 0 to 1
	Work   float64 // fraction of all server time spent on long prompts, 0 to 1
	Short  float64 // number of servers that the short prompts keep busy
}

// ServiceLanes are a service's lane parameters, which all gateways use.
type ServiceLanes struct {
	Service string
	Terms   LaneParams
}

// LeaderMsg asks a control instance for the current leader. An instance that does not
// know it holds the request for a while and answers as soon as it does.
type LeaderMsg struct {
	Besides string // peer address of a leader that did not answer the sender
}

// LeaderReply names the leader, as far as it is known.
type LeaderReply struct {
	Leader   string   // peer address; empty if none was known in time
	Controls []string // peer addresses of the control instances
	Domains  []string // failure domains of Controls, in the same order, if there are several regions
}

// SyncReply is the control role's answer to a [SyncMsg]. Leads is false if the instance
// cannot confirm that its document is the latest; then only Leader, Controls and
// Domains are set.
type SyncReply struct {
	Leads    bool
	Leader   string   // peer address of the leader, as far as known
	Controls []string // peer addresses of the control instances
	Domains  []string // failure domains of Controls, in the same order, if there are several regions
	Term     uint64
	Number   uint64
	Document []byte // set if the gateway has an older one
	Lister   uint64
	Version  uint64
	Listed   bool   // List is set, to the complete list or to its changes
	List     []byte // packed ServerList
	// ListLate says that the list could not be read for a while, so it may show servers
	// as available that are leaving.
	ListLate   bool
	Gateways   int       // number of gateways that synchronized recently
	Clock      time.Time // time of day that most instances agree on
	Grants     []QuotaGrant
	Short      []string // workspaces whose quota is almost used up
	Lanes      []ServiceLanes
	Distrusted []byte    // servers to avoid, one bit each in list order; empty for none
	Rollouts   []Rollout // most recent of each service, if the gateway has others
	Changes    uint64    // roll-out change that the leader confirms as current
	Trials     []TrialGrant
	// Loads are the requests in progress at the servers from all gateways, ordered by
	// server name. It is empty if the gateway has another list, or if LoadChanges is
	// set.
	Loads  []byte
	Loaded LoadVersion // version of the loads that the gateway has with this answer
	// LoadChanges are the changes relative to the loads that the gateway has; see
	// place.Vector.
	LoadChanges []byte
	// Readings holds prefills from other gateways since the position that the gateway
	// sent, packed using the order of its list.
	Readings   []byte
	ReadingsAt uint64 // position after Readings; 0 if the answer includes none

	Quarantine *QuarantineUpdate // changes that the gateway lacks; nil for none
	Watch      *WatchUpdate      // requests whose completions to report; nil if unchanged
	Pending    []HoldRequest     // parts of prompts to hold that the leader is writing to its log

	// Limits is the version of the servers' rate limits known to the leader of Term; 0
	// for none.
	Limits uint64
}

// ServerList is the platform's list, or its changes since a version that the recipient
// has.
type ServerList struct {
	Whole   bool       `json:"w,omitempty"` // the list is complete, not a set of changes
	Servers []Instance `json:"s,omitempty"` // all servers, or those that changed
	Gone    []string   `json:"g,omitempty"` // servers no longer listed
}

// QuotaGrant grants a gateway a portion of a workspace's quota.
type QuotaGrant struct {
	Workspace string
	Units     float64
	Lasts     time.Duration // validity of the grant
	Wait      time.Duration // when more becomes available, if Units falls short
}

// PutDocumentMsg proposes an opaque document. The document with the highest number is
// in force.
type PutDocumentMsg struct {
	Number uint64 `json:"number"`
	Data   []byte `json:"data"`
}

// PutDocumentReply returns the number of the document in force.
type PutDocumentReply struct {
	Number uint64 `json:"number"`
}

// SettleUsageMsg fixes the usage counts of a window before they are first reported, so
// that every retry of the report is identical.
type SettleUsageMsg struct {
	Window int64            `json:"window"`
	Counts map[string]int64 `json:"counts"`
	Sent   bool             `json:"sent,omitempty"` // the platform has accepted the report
}

// TallyRow is a usage count from one life of a gateway. The log receives hundreds of
// rows per second, so they are encoded without field names.
type TallyRow struct {
	_         struct{} `cbor:",toarray"`
	Gateway   string   `json:"g"`
	Life      uint64   `json:"l"`
	Window    int64    `json:"w"`
	Workspace string   `json:"s"`
	Count     int64    `json:"n"`
}

// TallyMsg stores usage counts that are not settled yet, so that they survive a power
// failure of all instances.
type TallyMsg struct {
	Rows []TallyRow `json:"rows"`
}

// TallyReply returns all stored counts if the message contained none.
type TallyReply struct {
	Rows []TallyRow `json:"rows"`
}

// DutyHolderMsg records the instance that holds the leader's duties, and its fencing
// token. It is committed before the holder takes any action.
type DutyHolderMsg struct {
	Holder string `json:"holder"`
	Token  uint64 `json:"token"`
}

// DutyHolderReply returns the highest token, and the holder before the current one.
type DutyHolderReply struct {
	Token  uint64 `json:"token"`
	Former string `json:"former,omitempty"`
}

// BaselineMsg records how many servers a service had when it was first seen, which is
// what its operators considered sufficient. With 0 servers it only queries the value.
type BaselineMsg struct {
	Service string `json:"service"`
	Servers int    `json:"servers"`
}

// BaselineReply returns the recorded baseline.
type BaselineReply struct {
	Servers int `json:"servers"`
}

// SettleUsageReply returns the settled counts of the window.
type SettleUsageReply struct {
	Counts map[string]int64 `json:"counts"`
	Sent   bool             `json:"sent,omitempty"`
}
