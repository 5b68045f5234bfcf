package protocol

import "time"

// SyncMsg is what a gateway tells the control role a few times a second. All
// of it is repeated until it is too old, so that a lost or doubled one does no
// harm.
type SyncMsg struct {
	Gateway    string
	Life       uint64 // Life differs with each start of the gateway.
	Number     uint64 // Number is the document that the gateway holds.
	Servers    uint64 // Servers is the version of the list that it holds.
	Lister     uint64 // Lister tells versions of different list readers apart.
	Term       uint64 // Term is the leader's that Usage is for: what that one has is left out.
	Usage      []UsageRow
	Counted    time.Time // Counted is up to when Usage tells all that the gateway counted, by the clock that it counts by.
	Wants      []QuotaRequest
	Pressure   []Pressure
	Done       []PlaceDone
	Domain     string       // Domain is the gateway's failure domain.
	Distrusts  []string     // Distrusts are servers that it passes over.
	Running    []ServerLoad // Running are the requests that it has under way.
	Clock      time.Time    // Clock is the gateway's own time of day.
	Gateways   int          // Gateways are how many a leader counted last; 0 before the first answer.
	Rollouts   uint64       // Rollouts is the change of the roll-outs that it keeps to; 0 before the first.
	Trials     []TrialReport
	Loads      LoadVersion // Loads are the loads that the gateway holds.
	Relayed    bool        // Relayed asks an instance that does not lead to pass the question on to the leader.
	Readings   []Prefill   // Readings are of prompts that it placed by itself, those that it did not tell yet.
	ReadingsAt uint64      // ReadingsAt is up to where it has heard of the term's log of readings.

	Observations []Observation // Observations are of servers that ended under requests, and of such requests, that the leader of Term lacks.
	Quarantined  *uint64       // Quarantined is the change of the quarantine that it keeps to, 0 before the first; nil from a build that knows none.
	Watched      uint64        // Watched names the requests whose good ends it tells; see WatchMark.

	Features Features // Features are those of the gateway's build.
}

// SupportsIncarnations reports whether the gateway's build names servers by their starts. The first
// that did told no features; it is known by its quarantine, which came with it.
func (m *SyncMsg) SupportsIncarnations() bool {
	return m.Quarantined != nil || m.Features.Has(FeatureIncarnations)
}

// QuarantineChange is the change of the quarantine that the gateway keeps to.
func (m *SyncMsg) QuarantineChange() uint64 {
	if m.Quarantined == nil {
		return 0
	}
	return *m.Quarantined
}

// Prefill tells that a server was given shared parts of prompts to read.
type Prefill struct {
	_      struct{} `cbor:",toarray"`
	Server string
	Links  []uint32 // Links are the front halves of the hashes of prompt links.
}

// ServerLoad is how many requests one server has.
type ServerLoad struct {
	Server  string
	Running int
}

// PlaceMsg asks for a server for a long prompt; see place.PromptMsg.
type PlaceMsg struct {
	Service string
	Prompt  int    // Prompt is its length in tokens.
	Shared  int    // Shared are the tokens of its parts that other requests may share.
	Answer  int    // Answer is the most tokens of the answer.
	Prefix  uint64 // Prefix is the hash of the shared parts.
	Chain   []PromptLink
	Domain  string   // Domain is the gateway's failure domain.
	Avoid   []string // Avoid are servers that the request was sent to before.
	Copies  float64  // Copies are the tokens a millisecond that a server copies from another; 0 where it cannot.
	Parts   LaneShares
	Target  time.Duration // Target is when the first event is in time.
	Gap     time.Duration // Gap is the longest pause between events in time.
}

// PlaceReply names a server, empty where none was found or this instance does
// not lead.
type PlaceReply struct {
	Server string
	Holder string // Holder is a server that holds the shared parts of the prompt, if Server does not.
	Term   uint64 // Term is the leader's that placed it.
	Number uint64 // Number names the placed request in the term.
	Placer uint64 // Placer is the instance that placed it: the leader, or a relay.
}

// PlaceDone tells that a placed request ended.
type PlaceDone struct {
	Term   uint64
	Number uint64
	Placer uint64
	First  time.Duration // First is until the first event; 0 if none came.
	Took   time.Duration // Took is until the end.
}

// UsageRow counts requests that began to run, since the gateway's start.
type UsageRow struct {
	Window    int64 // Window is the number of the window of wall-clock time.
	Workspace string
	Count     int64
}

// QuotaRequest asks for a part of a workspace's quota.
type QuotaRequest struct {
	Workspace string
	Units     float64 // Units are requests or tokens, as the quota counts.
	Waiting   float64 // Waiting are those of them that requests wait for; the rest is asked for in advance.
	Back      float64 // Back are units of earlier parts that expired unspent.
	Alone     float64 // Alone are units that were spent without a part, while nobody granted any.
}

// QuotaMsg asks the leader for parts of quotas. It is apart from SyncMsg since requests wait
// for the answer, and the size of a SyncReply grows with the number of servers.
type QuotaMsg struct {
	Gateway string
	Wants   []QuotaRequest
	Done    []PlaceDone // Done are ends of requests that the leader placed.
}

// QuotaReply is the answer, a grant for each want. Leads is false from an instance that
// cannot vouch to lead; then nothing else counts.
type QuotaReply struct {
	Leads  bool
	Grants []QuotaGrant
}

// Pressure is what a service's requests ask of its servers through one gateway.
type Pressure struct {
	Service string
	Begun   int64   // Begun counts answers that began, since the gateway's start.
	Slow    int64   // Slow counts those of them that used up much of their target.
	Work    float64 // Work is the mean number running over the last second.
	Lanes   LaneParams
}

// LaneParams say which prompts of a service are long, and what they ask of its
// servers.
type LaneParams struct {
	Mean  float64 // Mean is a prompt's length in tokens; those above it are long.
	Seen  int     // Seen is how many prompts the terms rest on.
	Parts LaneShares
}

// LaneShares say how a service's servers are parted between long and short prompts.
type LaneShares struct {
	Tokens float64 // Tokens is the part that long prompts have of all tokens to be read, 0 to 1.
	Work   float64 // Work is the part that they have of all servers' time, 0 to 1.
	Short  float64 // Short is how many servers the short prompts keep busy.
}

// ServiceLanes are the terms that all gateways keep to.
type ServiceLanes struct {
	Service string
	Terms   LaneParams
}

// LeaderMsg asks a control instance who leads. An instance that does not know keeps
// the question for a while and answers as soon as it does.
type LeaderMsg struct {
	Besides string // Besides is the peer address of a leader that did not answer the asker.
}

// LeaderReply names who leads, as far as it is known.
type LeaderReply struct {
	Leader   string   // Leader is its peer address; empty where none was known in time.
	Controls []string // Controls are the peer addresses of the control instances.
	Domains  []string // Domains are their failure domains, in the same order, where those lie in several regions.
}

// SyncReply is the control role's answer. Leads is false from one that cannot
// vouch for the newest document; then only Leader, Controls and Domains are set.
type SyncReply struct {
	Leads      bool
	Leader     string   // Leader is the peer address of who leads, as far as known.
	Controls   []string // Controls are the peer addresses of the control instances.
	Domains    []string // Domains are their failure domains, in the same order, where those lie in several regions.
	Term       uint64
	Number     uint64
	Document   []byte // Document is set when the gateway's is older.
	Lister     uint64
	Version    uint64
	Listed     bool      // Listed says that the reply holds the list, or what changed of it.
	List       []byte    // List is a packed ServerList.
	ListLate   bool      // ListLate says that the list could not be read for a while: servers may be leaving that it does not show so.
	Gateways   int       // Gateways are how many synchronized lately.
	Clock      time.Time // Clock is the time of day that most instances agree on.
	Grants     []QuotaGrant
	Short      []string // Short are the workspaces of whose quota little is left.
	Lanes      []ServiceLanes
	Distrusted []byte    // Distrusted are the servers to pass over, a bit each in the same order; empty for none.
	Rollouts   []Rollout // Rollouts are the newest of each service, where the gateway keeps to others.
	Changes    uint64    // Changes is the change of the roll-outs that the leader vouches for.
	Trials     []TrialGrant
	Loads      []byte      // Loads are the requests that the servers have from all gateways, in the order of their names; empty to a gateway with another list, or with LoadChanges.
	Loaded     LoadVersion // Loaded names the loads that the gateway holds with this answer.
	// LoadChanges are what changed of the loads that the gateway holds; see place.Vector.
	LoadChanges []byte
	Readings    []byte // Readings are those of other gateways behind where the asker stands, packed by the order of its list.
	ReadingsAt  uint64 // ReadingsAt is where it stands behind them; 0 where the answer tells of none.

	Quarantine *QuarantineUpdate // Quarantine is what the asker lacks of it; nil for nothing.
	Watch      *WatchUpdate      // Watch are the requests whose good ends are to be told, where the asker has others; nil for no change.

	Limits uint64 // Limits is the change of the limits that servers name, as the leader of Term knows them; 0 for none.
}

// ServerList is the platform's list, or what changed of it since a version that the
// asker holds.
type ServerList struct {
	Whole   bool       `json:"w,omitempty"` // Whole says that nothing but this is listed.
	Servers []Instance `json:"s,omitempty"` // Servers are all, or those that changed.
	Gone    []string   `json:"g,omitempty"` // Gone are those that are listed no more.
}

// QuotaGrant is a part of a workspace's quota, for one gateway.
type QuotaGrant struct {
	Workspace string
	Units     float64
	Lasts     time.Duration // Lasts is how long the part may be used.
	Wait      time.Duration // Wait is when more is to be had, where Units falls short.
}

// PutDocumentMsg asks for an opaque document to be accepted; the highest number holds.
type PutDocumentMsg struct {
	Number uint64 `json:"number"`
	Data   []byte `json:"data"`
}

// PutDocumentReply tells which document holds.
type PutDocumentReply struct {
	Number uint64 `json:"number"`
}

// SettleUsageMsg fixes the counts of a window before they are first reported, so
// that every repeat is the same.
type SettleUsageMsg struct {
	Window int64            `json:"window"`
	Counts map[string]int64 `json:"counts"`
	Sent   bool             `json:"sent,omitempty"` // Sent says that the platform has taken the report.
}

// TallyRow is the count of one life of a gateway. The log holds hundreds of them a
// second, without the names of the fields.
type TallyRow struct {
	_         struct{} `cbor:",toarray"`
	Gateway   string   `json:"g"`
	Life      uint64   `json:"l"`
	Window    int64    `json:"w"`
	Workspace string   `json:"s"`
	Count     int64    `json:"n"`
}

// TallyMsg keeps counts that are not settled yet, so that they outlast a loss of
// power everywhere.
type TallyMsg struct {
	Rows []TallyRow `json:"rows"`
}

// TallyReply returns all counts that are kept, where none were given.
type TallyReply struct {
	Rows []TallyRow `json:"rows"`
}

// DutyHolderMsg names the holder of the duties and its fencing token. It is committed
// before the holder's first call.
type DutyHolderMsg struct {
	Holder string `json:"holder"`
	Token  uint64 `json:"token"`
}

// DutyHolderReply tells the highest token, and who held the duties before its holder.
type DutyHolderReply struct {
	Token  uint64 `json:"token"`
	Former string `json:"former,omitempty"`
}

// BaselineMsg fixes how many servers a service had when it was first seen: what its
// operators took for enough. With 0 servers it only asks.
type BaselineMsg struct {
	Service string `json:"service"`
	Servers int    `json:"servers"`
}

// BaselineReply returns what is fixed.
type BaselineReply struct {
	Servers int `json:"servers"`
}

// SettleUsageReply returns what is settled for the window.
type SettleUsageReply struct {
	Counts map[string]int64 `json:"counts"`
	Sent   bool             `json:"sent,omitempty"`
}
