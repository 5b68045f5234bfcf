package protocol

import "time"

// ClaimState is what became of a claim.
type ClaimState uint8

// The states of a claim, as a reply tells them.
const (
	// ClaimGranted means that the asker, and nobody else, may run the request.
	ClaimGranted ClaimState = iota
	// ClaimRunning means that another instance runs it.
	ClaimRunning
	// ClaimRan means that it ran to its end; Answer is set if it was kept.
	ClaimRan
	// ClaimMayHaveRun means that its outcome is not known.
	ClaimMayHaveRun
	// ClaimConflict means that the key was used for another request.
	ClaimConflict
	// ClaimExpired means that the request is older than claims are kept, so
	// that nobody can know whether it ran.
	ClaimExpired
	// ClaimFuture means that the caller's clock runs too far ahead.
	ClaimFuture
	// ClaimFull means that no more claims can be kept at the moment.
	ClaimFull
	// ClaimReleased means that the request was not run and may be claimed anew.
	ClaimReleased
)

// Owner is who runs a claimed request: one run on one life of an instance.
type Owner struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	Request     string `json:"request"`
}

// ClaimMsg asks to run a request that must run at most once.
type ClaimMsg struct {
	Key      Key         `json:"key"`
	Body     Digest      `json:"body"`
	Owner    Owner       `json:"owner"`
	IssuedAt int64       `json:"issued_at"` // IssuedAt is the caller's time, in ms.
	Limits   ClaimLimits `json:"limits"`
}

// ClaimLimits bound the claims. They come with each message, so that replicas
// with different settings still agree.
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

// Answer is an answer that is kept for resends.
type Answer struct {
	Status      int      `json:"status,omitempty"`       // Status is a plain service's.
	ContentType string   `json:"content_type,omitempty"` // ContentType is a plain service's.
	Body        []byte   `json:"body,omitempty"`         // Body is a plain service's.
	Text        string   `json:"text,omitempty"`         // Text is a model's.
	Tokens      int      `json:"tokens,omitempty"`
	Finish      string   `json:"finish,omitempty"`
	Ends        []uint32 `json:"ends,omitempty"` // Ends are the lengths of Text after each token.
}

// Size returns about how many bytes the answer takes.
func (a *Answer) Size() int {
	return len(a.Body) + len(a.Text) + len(a.ContentType) + 4*len(a.Ends) + 64
}

// FinishMsg records what became of a claimed request. Not-run releases it.
type FinishMsg struct {
	Key      Key         `json:"key"`
	Owner    Owner       `json:"owner"`
	Verdict  Verdict     `json:"verdict"`
	IssuedAt int64       `json:"issued_at"`
	Answer   *Answer     `json:"answer,omitempty"`
	Limits   ClaimLimits `json:"limits"`
}

// ApplyMsg asks for a configuration to be accepted.
type ApplyMsg struct {
	Number uint64 `json:"number"`
	Config []byte `json:"config"` // Config is the canonical form.
}

// ApplyReplyMsg answers an [ApplyMsg]: accepted, or what is in force instead.
type ApplyReplyMsg struct {
	Accepted bool   `json:"accepted"`
	Number   uint64 `json:"number"` // Number is the one in force.
	Digest   Digest `json:"digest"`
}

// Command is what the replicated log carries: one of its parts is set.
type Command struct {
	At       int64           `json:"at"` // At is the leader's time, in ms.
	Apply    *ApplyMsg       `json:"apply,omitempty"`
	Claim    *ClaimMsg       `json:"claim,omitempty"`
	Finish   *FinishMsg      `json:"finish,omitempty"`
	Transfer *TransferMsg    `json:"transfer,omitempty"`
	Put      *PutDocumentMsg `json:"put,omitempty"`
	Settle   *SettleUsageMsg `json:"settle,omitempty"`
	Base     *BaselineMsg    `json:"base,omitempty"`
	Hold     *DutyHolderMsg  `json:"hold,omitempty"`
	Tally    *TallyMsg       `json:"tally,omitempty"`

	BeginRollout *BeginRolloutMsg `json:"begin_rollout,omitempty"`
	StageRollout *StageRolloutMsg `json:"stage_rollout,omitempty"`
	Versions     *VersionsMsg     `json:"versions,omitempty"`
	Quarantine   *QuarantineMsg   `json:"quarantine,omitempty"`
}

// Result is what a command came to.
type Result struct {
	Apply *ApplyReplyMsg    `json:"apply,omitempty"`
	Claim *ClaimReply       `json:"claim,omitempty"`
	Put   *PutDocumentReply `json:"put,omitempty"`

	Settle *SettleUsageReply `json:"settle,omitempty"`
	Base   *BaselineReply    `json:"base,omitempty"`
	Hold   *DutyHolderReply  `json:"hold,omitempty"`
	Tally  *TallyReply       `json:"tally,omitempty"`

	BeginRollout *BeginRolloutReply `json:"begin_rollout,omitempty"`
	StageRollout *StageRolloutReply `json:"stage_rollout,omitempty"`
}

// Millis returns a time as the log carries it.
func Millis(t time.Time) int64 { return t.UnixMilli() }
