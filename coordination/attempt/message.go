package attempt

import (
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// Msg is a message to [Update].
type Msg interface{ msg() }

// StartMsg begins the first attempt.
type StartMsg struct{}

// SentMsg reports the server that an attempt was sent to.
type SentMsg struct {
	Attempt int
	Server  string
	Domain  string
}

// ChunkMsg is a part of an answer. The answer of a service that does not stream
// is a single chunk.
type ChunkMsg struct {
	Attempt int
	Offset  int    // Offset is the number of tokens before this chunk.
	Tokens  int    // Tokens is the number of tokens in this chunk.
	Text    string // Text is the tokens' text.
	Finish  string // Finish is the finish reason, empty before the last chunk.
}

// FailedMsg reports an attempt that failed before its answer was complete.
type FailedMsg struct {
	Attempt    int
	Verdict    protocol.Verdict
	Status     int           // Status is the HTTP status returned to the caller; 0 means 502.
	Code       protocol.Code // Code is the error code returned to the caller; empty means backend_failed.
	Reason     string
	RetryAfter time.Duration
	Final      bool // Final is set when a retry cannot succeed.
}

func (m FailedMsg) refusal() *protocol.Refusal {
	r := &protocol.Refusal{
		Verdict:    m.Verdict,
		Code:       m.Code,
		Status:     m.Status,
		Message:    m.Reason,
		RetryAfter: m.RetryAfter,
	}
	if r.Code == "" {
		r.Code = protocol.CodeBackendFailed
	}
	if r.Status == 0 {
		r.Status = protocol.StatusBadGateway
	}
	return r
}

// HedgeMsg reports that the hedge delay of a call has passed without an answer.
type HedgeMsg struct{}

// LeavingMsg reports that a server accepts no new work and is about to shut
// down.
type LeavingMsg struct{ Server string }

// ExportedMsg answers an [ExportCmd].
type ExportedMsg struct {
	Attempt int
	Ended   bool // Ended is set when the server confirmed that it ended the request.
}

// RetryMsg answers a [RetryCmd], after the retry delay.
type RetryMsg struct {
	Refused *protocol.Refusal // Refused is set when the retry budget is exhausted.
}

// CallerGoneMsg reports that the caller disconnected.
type CallerGoneMsg struct{}

// DeadlineMsg reports that the caller's deadline has passed.
type DeadlineMsg struct{}

// HandOverMsg requests a hand-over to another instance.
type HandOverMsg struct{}

// StopMsg ends the request with a refusal, for example after a hand-over.
type StopMsg struct{ Refusal *protocol.Refusal }

func (StartMsg) msg()      {}
func (SentMsg) msg()       {}
func (ChunkMsg) msg()      {}
func (FailedMsg) msg()     {}
func (HedgeMsg) msg()      {}
func (LeavingMsg) msg()    {}
func (ExportedMsg) msg()   {}
func (RetryMsg) msg()      {}
func (CallerGoneMsg) msg() {}
func (DeadlineMsg) msg()   {}
func (HandOverMsg) msg()   {}
func (StopMsg) msg()       {}

// Cmd is a command from [Update] to the I/O layer.
type Cmd interface{ cmd() }

// DispatchCmd sends the request to a server, which the I/O layer chooses.
type DispatchCmd struct {
	Attempt      int
	Resume       int // Resume is the token offset at which generation continues.
	AvoidServers []string
	AvoidDomains []string
	MoveFrom     string // MoveFrom is the server to import the KV cache from.
	MoveAttempt  int    // MoveAttempt is the number of the attempt that ran on MoveFrom.
	Hedge        bool   // Hedge is set when the attempt is a hedge.
}

// EmitCmd delivers a chunk to the caller. Offset is the token offset after it.
type EmitCmd struct {
	Chunk  ChunkMsg
	Offset int
}

// KeepCmd adds a chunk that the caller already has to the text of the answer
// without sending it.
type KeepCmd struct{ Chunk ChunkMsg }

// CancelCmd closes an attempt's connection.
type CancelCmd struct{ Attempt int }

// ExportCmd asks a server to end the request and to keep its KV cache available
// for another server to import.
type ExportCmd struct {
	Attempt int
	Server  string
}

// HandOverCmd hands the request over to another instance. Ended is set when the
// server confirmed that it ended the request, so that another server can
// continue it.
type HandOverCmd struct {
	Attempt int
	Server  string
	Ended   bool
}

// RetryCmd requests another attempt from the retry budget.
type RetryCmd struct {
	Attempt int
	Cause   FailedMsg
}

// FinishCmd ends the request after its complete answer was delivered.
type FinishCmd struct {
	Attempt int
	Finish  string
}

// RefuseCmd ends the request without a complete answer.
type RefuseCmd struct{ Refusal *protocol.Refusal }

func (DispatchCmd) cmd() {}
func (EmitCmd) cmd()     {}
func (KeepCmd) cmd()     {}
func (CancelCmd) cmd()   {}
func (ExportCmd) cmd()   {}
func (HandOverCmd) cmd() {}
func (RetryCmd) cmd()    {}
func (FinishCmd) cmd()   {}
func (RefuseCmd) cmd()   {}
