package protocol

import "time"

// ClaimState is the outcome of a claim.
type ClaimState uint8

// The claim states that a reply can have.
const (
	// ClaimGranted means that the claimant, and no other instance, may execute the
	// request.
	ClaimGranted ClaimState = iota
	// ClaimRunning means that another instance is executing the request.
	ClaimRunning
	// ClaimRan means that the request was executed to completion. Answer is set if it
	// was retained.
	ClaimRan
	// ClaimMayHaveRun means that the outcome of the request is unknown.
	ClaimMayHaveRun
	// ClaimConflict means that the key was used for a different request.
	ClaimConflict
	// ClaimExpired means that the request is older than claims are retained, so it is
	// unknown whether it was executed.
	ClaimExpired
	// ClaimFuture means that the caller's clock is too far ahead.
	ClaimFuture
	// ClaimFull means that the claim table is full at the moment.
	ClaimFull
	// ClaimReleased means that the request was not executed and can be claimed again.
	ClaimReleased
)

// Owner identifies one execution of a claimed request by one incarnation of an
// instance.
type Owner struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	Request     string `json:"request"`
}

// ClaimMsg claims a request that must be executed at most once.
type ClaimMsg struct {
	Key      Key         `json:"key"`
	Body     Digest      `json:"body"`
	Owner    Owner       `json:"owner"`
	IssuedAt int64       `json:"issued_at"` // caller's time of first issue, in ms since 1970
	Limits   ClaimLimits `json:"limits"`
}

// ClaimLimits bounds the claim table. The limits are part of each message, so that
// replicas with different settings still reach the same state.
type ClaimLimits struct {
	WindowMS    int64 `json:"window_ms"`
	SkewMS      int64 `json:"skew_ms"`
	Count       int   `json:"count"`
	AnswerBytes int   `json:"answer_bytes"`
}

// ClaimReply answers a [ClaimMsg].
type ClaimReply struct {
	State  ClaimState `json:"state"`
	Owner  Owner      `json:"owner"`
	Answer *Answer    `json:"answer,omitempty"`
}

// Answer is an answer that is retained for resends.
type Answer struct {
	Status      int      `json:"status,omitempty"`       // plain services only
	ContentType string   `json:"content_type,omitempty"` // plain services only
	Body        []byte   `json:"body,omitempty"`         // plain services only
	Text        string   `json:"text,omitempty"`         // models only
	Tokens      int      `json:"tokens,omitempty"`
	Finish      string   `json:"finish,omitempty"`
	Ends        []uint32 `json:"ends,omitempty"` // length of Text after each token
}

// Size returns the approximate size of the answer in bytes.
func (a *Answer) Size() int {
	return len(a.Body) + len(a.Text) + len(a.ContentType) + 4*len(a.Ends) + 64
}

// FinishClaimMsg records the outcome of a claimed request. The verdict not-run releases
// the claim.
type FinishClaimMsg struct {
	Key      Key         `json:"key"`
	Owner    Owner       `json:"owner"`
	Verdict  Verdict     `json:"verdict"`
	IssuedAt int64       `json:"issued_at"`
	Answer   *Answer     `json:"answer,omitempty"`
	Limits   ClaimLimits `json:"limits"`
}

// ApplyConfigMsg proposes a configuration.
type ApplyConfigMsg struct {
	Number uint64 `json:"number"`
	Config []byte `json:"config"` // canonical form
}

// ApplyConfigReplyMsg answers an [ApplyConfigMsg]: the proposal was accepted, or
// another configuration is in force.
type ApplyConfigReplyMsg struct {
	Accepted bool   `json:"accepted"`
	Number   uint64 `json:"number"` // number of the configuration in force
	Digest   Digest `json:"digest"`
}

// Command is a command in the replicated log. Exactly one of its pointer fields is set.
type Command struct {
	At       int64             `json:"at"` // leader's time, in ms since 1970
	Apply    *ApplyConfigMsg   `json:"apply,omitempty"`
	Claim    *ClaimMsg         `json:"claim,omitempty"`
	Finish   *FinishClaimMsg   `json:"finish,omitempty"`
	Transfer *TransferClaimMsg `json:"transfer,omitempty"`
	Put      *PutDocumentMsg   `json:"put,omitempty"`
	Settle   *SettleUsageMsg   `json:"settle,omitempty"`
	Base     *BaselineMsg      `json:"base,omitempty"`
	Hold     *DutyHolderMsg    `json:"hold,omitempty"`
	Tally    *TallyMsg         `json:"tally,omitempty"`

	BeginRollout *BeginRolloutMsg `json:"begin_rollout,omitempty"`
	StageRollout *StageRolloutMsg `json:"stage_rollout,omitempty"`
	Versions     *VersionsMsg     `json:"versions,omitempty"`
	Quarantine   *QuarantineMsg   `json:"quarantine,omitempty"`

	Brittle *BrittleServicesMsg `json:"brittle,omitempty"`
}

// Result is the result of applying a [Command].
type Result struct {
	Apply *ApplyConfigReplyMsg `json:"apply,omitempty"`
	Claim *ClaimReply          `json:"claim,omitempty"`
	Put   *PutDocumentReply    `json:"put,omitempty"`

	Settle *SettleUsageReply `json:"settle,omitempty"`
	Base   *BaselineReply    `json:"base,omitempty"`
	Hold   *DutyHolderReply  `json:"hold,omitempty"`
	Tally  *TallyReply       `json:"tally,omitempty"`

	BeginRollout *BeginRolloutReply `json:"begin_rollout,omitempty"`
	StageRollout *StageRolloutReply `json:"stage_rollout,omitempty"`
}

// Millis returns t in the form used in the log: ms since 1970.
func Millis(t time.Time) int64 { return t.UnixMilli() }
