package attempt

import (
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// Msg is a message to [Update].
type Msg interface{ msg() }

// StartMsg begins the first attempt.
type StartMsg struct{}

// SentMsg tells to which server an attempt went.
type SentMsg struct {
	Attempt int
	Server  string
	Domain  string
}

// ChunkMsg is a part of an answer. A plain service's answer is one chunk.
type ChunkMsg struct {
	Attempt int
	Offset  int    // Offset counts the tokens before this chunk.
	Tokens  int    // Tokens counts the tokens in this chunk.
	Text    string // Text is the tokens' text.
	Finish  string // Finish is the reason of the end, empty before it.
}

// FailedMsg ends an attempt without an answer.
type FailedMsg struct {
	Attempt    int
	Verdict    protocol.Verdict
	Status     int           // Status is the HTTP status for the caller; 0 means 502.
	Code       protocol.Code // Code is for the caller; empty means backend_failed.
	Reason     string
	RetryAfter time.Duration
	Final      bool // Final says that another attempt cannot do better.
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

// HedgeMsg says that the answer to a short call is late enough for a second
// attempt beside the first.
type HedgeMsg struct{}

// LeavingMsg tells that a server takes no new work and will go.
type LeavingMsg struct{ Server string }

// ExportedMsg answers an [ExportCmd].
type ExportedMsg struct {
	Attempt int
	Ended   bool // Ended says that the server confirmed the end of the request there.
}

// RetryMsg answers a [RetryCmd], after its delay.
type RetryMsg struct {
	Refused *protocol.Refusal // Refused is set when the retry budget is spent.
}

// CallerGoneMsg tells that the caller hung up.
type CallerGoneMsg struct{}

// DeadlineMsg tells that the caller's deadline passed.
type DeadlineMsg struct{}

// HandOverMsg asks for the request to be given to another instance.
type HandOverMsg struct{}

// StopMsg ends the request with a refusal, such as on a hand-over.
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

// Cmd is a command from [Update] to the layer that does I/O.
type Cmd interface{ cmd() }

// DispatchCmd sends the request to a server, to be chosen now.
type DispatchCmd struct {
	Attempt      int
	Resume       int // Resume is the token offset to go on from.
	AvoidServers []string
	AvoidDomains []string
	MoveFrom     string // MoveFrom is a server to import the KV cache from.
	MoveAttempt  int    // MoveAttempt is the attempt that ran there.
	Hedge        bool   // Hedge says that another attempt runs beside it.
}

// EmitCmd delivers a chunk to the caller, whose offset is then Offset.
type EmitCmd struct {
	Chunk  ChunkMsg
	Offset int
}

// KeepCmd keeps a chunk that the caller already has, as part of the text.
type KeepCmd struct{ Chunk ChunkMsg }

// CancelCmd drops an attempt's connection.
type CancelCmd struct{ Attempt int }

// ExportCmd asks a server to end the request and keep its KV cache to fetch.
type ExportCmd struct {
	Attempt int
	Server  string
}

// HandOverCmd gives the request to another instance. Ended says that the server
// confirmed the end of the request there, so that it can go on elsewhere.
type HandOverCmd struct {
	Attempt int
	Server  string
	Ended   bool
}

// RetryCmd asks the retry budget for another attempt.
type RetryCmd struct {
	Attempt int
	Cause   FailedMsg
}

// FinishCmd ends the request with its whole answer delivered.
type FinishCmd struct {
	Attempt int
	Finish  string
}

// RefuseCmd ends the request without its whole answer.
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
