package protocol

import (
	"fmt"
	"time"
)

// The HTTP status codes of refusals. Decision code names them, and the transport
// sends them.
const (
	StatusBadRequest         = 400
	StatusConflict           = 409
	StatusGone               = 410
	StatusTooManyRequests    = 429
	StatusClientClosed       = 499
	StatusBadGateway         = 502
	StatusServiceUnavailable = 503
	StatusGatewayTimeout     = 504
)

// Code is the reason for a refusal. Scripts depend on it, so a code is never renamed.
type Code string

// The refusal codes that a caller can receive.
const (
	CodeBadRequest     Code = "bad_request"
	CodeUnauthorized   Code = "unauthorized"
	CodeUnknownModel   Code = "unknown_model"
	CodeUnknownService Code = "unknown_service"
	CodeNotFound       Code = "not_found"
	CodeMethod         Code = "method_not_allowed"
	CodeTooLarge       Code = "too_large"
	CodeOverloaded     Code = "overloaded"
	CodeMemory         Code = "memory"
	CodeNoBackend      Code = "no_backend"
	CodeNoPath         Code = "no_path"
	CodeBackendFailed  Code = "backend_failed"
	CodeDeadline       Code = "deadline"
	CodeLeaving        Code = "instance_leaving"
	CodeNotReady       Code = "not_ready"
	CodeNoQuorum       Code = "no_quorum"
	CodeKeyReused      Code = "key_reused"
	CodeKeyExpired     Code = "key_expired"
	CodeKeyUndated     Code = "key_undated"
	CodeClaimLost      Code = "claim_lost"
	CodeAnswerDropped  Code = "answer_not_kept"
	CodeNoEvent        Code = "no_such_event"
	CodeDiskFull       Code = "disk_full"
	CodeConflict       Code = "config_conflict"
	CodeStale          Code = "config_stale"
	CodeCallerGone     Code = "caller_gone"
	CodeQuarantined    Code = "quarantined"
	CodeVersionUnknown Code = "version_unknown"
	CodeVersionGone    Code = "version_gone"
)

// Refusal is the typed error for a request that does not receive its complete answer.
// It is sent as soon as the reason is known.
type Refusal struct {
	Verdict    Verdict       // whether the request may have been executed
	Code       Code          // reason
	Status     int           // HTTP status, 4xx or 5xx
	Message    string        // human-readable description
	RetryAfter time.Duration // when to retry; 0 if not specified
	// SendNotRun says that this send had no effect. An earlier send with the same key
	// may still have been executed; Verdict covers that as well.
	SendNotRun bool
}

// NewRefusal returns a refusal with the verdict not-run. That is correct for every
// condition that is detected before the first byte goes to a backend server.
func NewRefusal(status int, code Code, format string, args ...any) *Refusal {
	return &Refusal{Verdict: NotRun, Code: code, Status: status, Message: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Verdict, r.Message)
}

// WithVerdict returns a copy of r with verdict v.
func (r *Refusal) WithVerdict(v Verdict) *Refusal {
	c := *r
	c.Verdict = v
	return &c
}

// WithRetryAfter returns a copy of r with a retry delay.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	c := *r
	c.RetryAfter = d
	return &c
}

// ErrorBody is the JSON body of a refusal. It has the error format of the OpenAI API,
// which clients already parse, with the verdict added.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the error object of an [ErrorBody].
type ErrorDetail struct {
	Message      string  `json:"message"`
	Type         string  `json:"type"`
	Code         Code    `json:"code"`
	Verdict      Verdict `json:"verdict"`
	RetryAfterMS int64   `json:"retry_after_ms,omitempty"`
	ThisSend     string  `json:"this_send,omitempty"` // "not-run" if this send had no effect
}

// Body returns the JSON body for r.
func (r *Refusal) Body() ErrorBody {
	send := ""
	if r.SendNotRun || r.Verdict == NotRun {
		send = NotRun.String()
	}
	return ErrorBody{Error: ErrorDetail{
		ThisSend:     send,
		Message:      r.Message,
		Type:         "weldstream_error",
		Code:         r.Code,
		Verdict:      r.Verdict,
		RetryAfterMS: r.RetryAfter.Milliseconds(),
	}}
}

// WithStatus returns a copy of r with another HTTP status.
func (r *Refusal) WithStatus(status int) *Refusal {
	c := *r
	c.Status = status
	return &c
}
