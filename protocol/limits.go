package protocol

import "time"

// LimitsMsg is what a gateway tells the leader of servers that limit their requests, and
// the permits that it asks for. Each is sent only once the answer to the one before it
// came, or its time was over.
type LimitsMsg struct {
	Gateway string // Gateway is empty in the question of a relay, which asks for Change alone.
	Life    uint64 // Life differs with each start of the gateway.
	Term    uint64 // Term is the leader's that Held is of.
	Held    uint64 // Held is the change of the leader's limits that the gateway holds.
	Heard   []ReportedLimit
	Sent    []SentRequests
	Wants   []PermitRequest
}

// LimitsVersion names the limits that the leader of a term knows.
type LimitsVersion struct {
	Term   uint64
	Change uint64 // Change is 0 where it knows none.
}

// SharedLimitsMsg asks a control instance what servers said of their limits to other gateways,
// while no leader answers.
type SharedLimitsMsg struct {
	Held  SharedLimitsVersion // Held is what the gateway has of this control instance.
	Heard []ReportedLimit     // Heard is what servers said to the gateway itself.
}

// SharedLimitsReply is the answer.
type SharedLimitsReply struct {
	Holds SharedLimitsVersion
	Heard []ReportedLimit // Heard is what came behind the mark that the gateway held.
}

// SharedLimitsVersion names the limits that a control instance passes on.
type SharedLimitsVersion struct {
	Incarnation uint64 // Incarnation differs with each start of the instance.
	Change      uint64
}

// ReportedLimit is what a server said of its limit in an answer to a gateway.
type ReportedLimit struct {
	Server string
	Limit  RateLimit
	Ago    time.Duration
}

// SentInterval is the time that each number in SentRequests is of.
const SentInterval = 250 * time.Millisecond

// SentRequests tells how many requests a gateway sent to a server.
type SentRequests struct {
	Server string
	Slots  []int // Slots are by age, the latest SentSlot first.
}

// PermitRequest asks for permits to send requests to a server that limits them.
type PermitRequest struct {
	Server string
	Count  int
	Back   int // Back are earlier permits that expired unused.
	Alone  int // Alone are requests that were sent without a permit.
}

// LimitsReply is the leader's answer. Leads is false from an instance that cannot vouch to
// lead; then nothing else counts.
type LimitsReply struct {
	Leads  bool
	Term   uint64
	Change uint64 // Change is that of the limits which the gateway holds with this answer.
	Limits []ServerLimit
	Grants []PermitGrant

	ListLate bool // ListLate is as in SyncReply: a batch has no place for it.
}

// ServerLimit is the limit of a server that holds now, or that none does.
type ServerLimit struct {
	Server string
	Limit  RateLimit
}

// PermitGrant are permits for one gateway, each for one request.
type PermitGrant struct {
	Server string
	Count  int
	Lasts  time.Duration // Lasts is how long they may be used, from when they were asked for.
	Wait   time.Duration // Wait is when more are to be had, where Count falls short.
}
