// Package attempt is the state machine that drives one request through its
// attempts at backend servers.
//
// A request is a [State]. [Update] takes a message (a chunk arrived, an attempt
// failed, the server is leaving, the caller disconnected) and returns the new
// state with the commands to execute (dispatch, emit, export, cancel, finish,
// refuse). It does no I/O and reads no clock.
//
// Three rules ensure in-order delivery, and at most one run of a request that is
// not repeatable:
//
//   - Attempts are numbered. Only chunks of the current attempt are accepted,
//     and only at the next token offset: chunks beyond it are buffered, chunks
//     before it are dropped. A late or reordered answer therefore never reaches
//     the caller twice or out of order.
//   - A failed attempt carries a verdict. A request that is not repeatable is
//     retried only on "not run".
//   - A running stream moves in two steps. The next attempt is sent only after
//     the old server has confirmed that it ended the request (export). A move
//     therefore never has two attempts of one request run concurrently.
package attempt

import (
	"slices"

	"github.com/weldstream/weldstream/protocol"
)

// maxBuffered bounds the chunks that wait for an earlier one.
const maxBuffered = 64

// Phase is the phase of a request.
type Phase uint8

// The phases of a request.
const (
	PhaseNew Phase = iota
	PhaseRunning
	PhaseExporting
	PhaseWaiting    // PhaseWaiting is between a failed attempt and its retry.
	PhaseHandedOver // PhaseHandedOver follows a hand-over; the request only has to be ended here.
	PhaseEnded
)

// State is the state of one request. The zero value is not usable; see [New].
type State struct {
	Repeatable    bool
	MaxAttempts   int
	Phase         Phase
	Attempt       int // Attempt is the number of the current attempt, from 1.
	AttemptsSent  int // AttemptsSent is the number of attempts sent so far, hedges included.
	HedgeAttempt  int // HedgeAttempt is the number of the hedge that runs concurrently with the current attempt, or 0.
	HedgeServer   string
	HedgeDomain   string
	Received      int // Received is the number of answer tokens that this instance has.
	Delivered     int // Delivered is the token offset up to which the caller has the answer.
	Server        string
	Domain        string
	FailedServers []string         // FailedServers are the servers that the next attempt avoids: they failed this request or exported it.
	FailedDomains []string         // FailedDomains are the failure domains of servers that failed this request.
	MoveFrom      string           // MoveFrom is the server that exported the request, until another server's answer arrives.
	MoveAttempt   int              // MoveAttempt is the number of the exported attempt.
	HandingOver   bool             // HandingOver is set while the request is being handed over to another instance.
	MayHaveRun    bool             // MayHaveRun is set when any attempt may have run.
	Exported      bool             // Exported is set once the request has run in part and moved.
	buffered      map[int]ChunkMsg // buffered are chunks beyond the next offset, by offset.
}

// New returns the state of a request that has not been dispatched. Delivered is
// the token offset up to which a resuming caller already has the answer;
// received is the number of answer tokens that this instance took over from
// another one.
func New(repeatable bool, maxAttempts, delivered, received int) State {
	return State{Repeatable: repeatable, MaxAttempts: maxAttempts, Delivered: delivered, Received: received}
}

// Update applies a message and returns the new state and the commands to
// execute.
func Update(s State, m Msg) (State, []Cmd) {
	if s.Phase == PhaseEnded {
		return s, nil
	}
	switch m := m.(type) {
	case StartMsg:
		return s.dispatch()
	case SentMsg:
		return s.sent(m)
	case ChunkMsg:
		return s.chunk(m)
	case FailedMsg:
		return s.failed(m)
	case HedgeMsg:
		return s.hedge()
	case LeavingMsg:
		return s.leaving(m)
	case ExportedMsg:
		return s.exported(m)
	case RetryMsg:
		return s.retry(m)
	case HandOverMsg:
		return s.handOver()
	case CallerGoneMsg:
		return s.stop(protocol.NewRefusal(protocol.StatusClientClosed, protocol.CodeCallerGone, "the caller hung up"))
	case DeadlineMsg:
		return s.stop(protocol.NewRefusal(protocol.StatusGatewayTimeout, protocol.CodeDeadline, "the deadline passed"))
	case StopMsg:
		return s.stop(m.Refusal)
	}
	return s, nil
}

// live reports whether the current attempt may still deliver chunks. The old
// server keeps generating until it confirms an export.
func (s State) live() bool { return s.Phase == PhaseRunning || s.Phase == PhaseExporting }

func (s State) dispatch() (State, []Cmd) {
	s.AttemptsSent++
	s.Attempt = s.AttemptsSent
	s.Phase = PhaseRunning
	s.buffered = nil
	cmd := DispatchCmd{
		Attempt:      s.Attempt,
		Resume:       s.Received,
		AvoidServers: s.FailedServers,
		AvoidDomains: s.FailedDomains,
		MoveFrom:     s.MoveFrom,
		MoveAttempt:  s.MoveAttempt,
	}
	s.Exported = s.Exported || s.MoveFrom != ""
	return s, []Cmd{cmd}
}

func (s State) sent(m SentMsg) (State, []Cmd) {
	switch m.Attempt {
	case s.Attempt:
		s.Server, s.Domain = m.Server, m.Domain
	case s.HedgeAttempt:
		s.HedgeServer, s.HedgeDomain = m.Server, m.Domain
	}
	return s, nil
}

func (s State) chunk(m ChunkMsg) (State, []Cmd) {
	if !s.live() {
		return s, nil
	}
	if m.Attempt == s.HedgeAttempt && s.HedgeAttempt != 0 && s.Received == 0 && m.Offset == 0 && m.Finish != "" {
		s = s.promote()
	}
	if m.Attempt != s.Attempt {
		return s, nil
	}
	if m.Offset > s.Received {
		return s.buffer(m)
	}
	if m.Offset < s.Received {
		return s, nil
	}
	return s.acceptInOrder(m)
}

// buffer stores a chunk that arrived before its predecessor.
func (s State) buffer(m ChunkMsg) (State, []Cmd) {
	if len(s.buffered) >= maxBuffered {
		return s.failed(FailedMsg{Attempt: m.Attempt, Verdict: protocol.MayHaveRun, Reason: "a part of the answer is missing"})
	}
	buffered := make(map[int]ChunkMsg, len(s.buffered)+1)
	for offset, c := range s.buffered {
		buffered[offset] = c
	}
	buffered[m.Offset] = m
	s.buffered = buffered
	return s, nil
}

// acceptInOrder applies the chunk at the next offset and the buffered chunks
// that follow it.
func (s State) acceptInOrder(m ChunkMsg) (State, []Cmd) {
	var cmds []Cmd
	s.MoveFrom, s.MoveAttempt = "", 0 // The move is complete; until the first chunk it can be retried.
	for {
		var ended bool
		s, cmds, ended = s.apply(m, cmds)
		if ended {
			return s, cmds
		}
		next, ok := s.buffered[s.Received]
		if !ok || m.Tokens == 0 {
			return s, cmds
		}
		m = next
	}
}

func (s State) apply(m ChunkMsg, cmds []Cmd) (State, []Cmd, bool) {
	if s.Received < s.Delivered && s.Received+m.Tokens > s.Delivered {
		// The text of a chunk cannot be split at a token boundary.
		next, more := s.failed(FailedMsg{Attempt: m.Attempt, Verdict: protocol.MayHaveRun, Reason: "the answer cannot be resumed at this offset", Final: true})
		return next, append(cmds, more...), true
	}
	s.Received += m.Tokens
	if m.Finish != "" && s.Received < s.Delivered {
		next, more := s.stop(NoSuchEvent(s.Delivered, s.Received))
		return next, append(cmds, more...), true
	}
	if s.Received > s.Delivered || m.Tokens == 0 {
		cmds = append(cmds, EmitCmd{Chunk: m, Offset: s.Received})
		s.Delivered = max(s.Delivered, s.Received)
	} else {
		cmds = append(cmds, KeepCmd{Chunk: m})
	}
	if m.Finish == "" {
		return s, cmds, false
	}
	s.Phase = PhaseEnded
	if s.HedgeAttempt != 0 {
		cmds = append(cmds, CancelCmd{Attempt: s.HedgeAttempt})
	}
	return s, append(cmds, FinishCmd{Attempt: s.Attempt, Finish: m.Finish}), true
}

func (s State) failed(m FailedMsg) (State, []Cmd) {
	if m.Attempt == 0 || (m.Attempt != s.Attempt && m.Attempt != s.HedgeAttempt) || !s.live() {
		return s, nil
	}
	if s.HedgeAttempt != 0 {
		return s.dropFailed(m)
	}
	s.MayHaveRun = s.MayHaveRun || m.Verdict != protocol.NotRun
	verdict := s.verdict(m.Verdict)
	s = s.recordFailure(s.Server, s.Domain)
	s.Server, s.Domain = "", ""
	if m.Final || !m.Verdict.AllowsRetry(s.Repeatable) || s.AttemptsSent >= s.MaxAttempts {
		return s.refuse(m.refusal().WithVerdict(verdict))
	}
	s.Phase = PhaseWaiting
	return s, []Cmd{CancelCmd{Attempt: m.Attempt}, RetryCmd{Attempt: m.Attempt, Cause: m}}
}

// NoSuchEvent returns the refusal for a caller that resumes after an event that
// the answer never had. Returning an empty remainder instead would look like a
// complete answer.
func NoSuchEvent(event, tokens int) *protocol.Refusal {
	return protocol.NewRefusal(protocol.StatusBadRequest, protocol.CodeNoEvent, "the answer has no event %d: it ends at %d", event, tokens)
}

// verdict returns the verdict of the whole request, given that of its last
// attempt: once a token was received, the request was moved, or an earlier
// attempt may have run, the request may have run.
func (s State) verdict(v protocol.Verdict) protocol.Verdict {
	if s.Received > 0 || s.Exported || s.MayHaveRun {
		return protocol.MayHaveRun
	}
	return v
}

// retry handles the answer to a [RetryCmd]: it dispatches the next attempt, or
// refuses the request when the retry budget is exhausted.
func (s State) retry(m RetryMsg) (State, []Cmd) {
	if s.Phase != PhaseWaiting {
		return s, nil
	}
	if m.Refused != nil {
		return s.refuse(m.Refused.WithVerdict(s.verdict(m.Refused.Verdict)))
	}
	return s.dispatch()
}

func (s State) leaving(m LeavingMsg) (State, []Cmd) {
	if s.Phase != PhaseRunning || s.Server != m.Server {
		return s, nil
	}
	s.Phase = PhaseExporting
	return s, []Cmd{ExportCmd{Attempt: s.Attempt, Server: s.Server}}
}

// exported dispatches the next attempt once the old server has confirmed that it
// ended the request. Without the confirmation the old attempt keeps running.
func (s State) exported(m ExportedMsg) (State, []Cmd) {
	if m.Attempt != s.Attempt || !s.live() {
		return s, nil
	}
	if s.HandingOver {
		return s.completeHandOver(m.Ended)
	}
	if !m.Ended {
		s.Phase = PhaseRunning
		return s, nil
	}
	old := s.Server
	s.MoveFrom, s.MoveAttempt = old, s.Attempt
	s.FailedServers = append(slices.Clip(s.FailedServers), old)
	s.Server, s.Domain = "", ""
	s.MaxAttempts++ // A move is not a failure and does not count against the limit.
	cancel := CancelCmd{Attempt: m.Attempt}
	next, cmds := s.dispatch()
	return next, append([]Cmd{cancel}, cmds...)
}

// handOver asks the server to end the request before another instance takes it
// over. A request without a running attempt is handed over at once.
func (s State) handOver() (State, []Cmd) {
	s.HandingOver = true
	switch {
	case s.Phase == PhaseRunning && s.Server != "":
		s.Phase = PhaseExporting
		return s, []Cmd{ExportCmd{Attempt: s.Attempt, Server: s.Server}}
	case s.Phase == PhaseExporting:
		return s, nil
	}
	return s.completeHandOver(true)
}

// completeHandOver hands the request over. A repeatable request is handed over
// even if the server did not confirm its end; any other then stays on this
// instance until it ends.
func (s State) completeHandOver(ended bool) (State, []Cmd) {
	if !ended && !s.Repeatable {
		s.HandingOver, s.Phase = false, PhaseRunning
		return s, nil
	}
	s.Phase = PhaseHandedOver
	cmd := HandOverCmd{Attempt: s.Attempt, Server: s.Server, Ended: ended && s.Server != ""}
	return s, append(s.cancelAll(), cmd)
}

// stop ends the request for a reason other than a failed attempt.
func (s State) stop(r *protocol.Refusal) (State, []Cmd) {
	verdict := protocol.MayHaveRun
	if s.Attempt == 0 {
		verdict = protocol.NotRun
	}
	return s.refuse(r.WithVerdict(verdict))
}

func (s State) refuse(r *protocol.Refusal) (State, []Cmd) {
	s.Phase = PhaseEnded
	return s, append(s.cancelAll(), RefuseCmd{Refusal: r})
}
