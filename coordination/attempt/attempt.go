// Package attempt follows one request through its attempts.
//
// A request is a [State]. [Update] takes a message (a chunk arrived, an attempt
// failed, the server is leaving, the caller hung up) and returns the new state
// with the commands to carry out (dispatch, emit, export, cancel, finish,
// refuse). It does no I/O and reads no clock.
//
// Three rules carry the promises:
//
//   - Attempts are numbered. Only the current attempt's chunks count, and only
//     at the next token offset; later ones wait, earlier ones are dropped. So a
//     late or reordered answer never reaches the caller twice or out of order.
//   - A failed attempt carries a verdict. A request that is not repeatable is
//     tried again only on "not run".
//   - A running stream moves in two steps. The old server first confirms that
//     it has ended the request (export); only then is the next attempt sent. So
//     two attempts of one request never run side by side.
package attempt

import (
	"slices"

	"github.com/weldstream/weldstream/protocol"
)

// maxHeld bounds the chunks that wait for an earlier one.
const maxHeld = 64

// Phase is where a request stands.
type Phase uint8

// The phases of a request.
const (
	PhaseNew Phase = iota
	PhaseRunning
	PhaseExporting
	PhaseWaiting // PhaseWaiting is between a failed attempt and the next.
	PhaseGiven   // PhaseGiven is after a hand-over; only the refusal is left.
	PhaseEnded
)

// State is one request. The zero value is not useful; see [New].
type State struct {
	Repeatable   bool
	MaxAttempts  int
	Phase        Phase
	Attempt      int // Attempt is the number of the current attempt, from 1.
	AttemptsSent int // Count is how many attempts were sent.
	Hedge        int // Hedge is the hedge's number while one runs beside the current attempt; else 0.
	HedgeServer  string
	HedgeDomain  string
	Received     int // Held counts the tokens of the answer that this process has.
	Floor        int // Floor is the token offset up to which the caller has the answer.
	Server       string
	Domain       string
	Failed       []string         // Failed are servers that failed this request.
	FailedIn     []string         // FailedIn are their failure domains.
	MoveFrom     string           // MoveFrom is the server that exported the request, until it goes on elsewhere.
	MoveAttempt  int              // MoveAttempt is the attempt that ran there.
	HandingOver  bool             // GivingUp says that the request is to be handed over.
	MayHaveRun   bool             // MayHaveRun says that some attempt may have run.
	Exported     bool             // Exported says that the request ran in part and was moved.
	waiting      map[int]ChunkMsg // waiting are chunks beyond the next offset.
}

// New returns the state of a request that has not been dispatched. The floor is
// the token offset that a resuming caller already holds; held is how many
// tokens of the answer this process was handed.
func New(repeatable bool, maxAttempts, floor, held int) State {
	return State{Repeatable: repeatable, MaxAttempts: maxAttempts, Floor: floor, Received: held}
}

// Update applies a message and returns the new state and what to do.
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

// live reports whether the current attempt may still bring chunks. While an
// export is asked for, the old server goes on until it confirms.
func (s State) live() bool { return s.Phase == PhaseRunning || s.Phase == PhaseExporting }

func (s State) dispatch() (State, []Cmd) {
	s.AttemptsSent++
	s.Attempt = s.AttemptsSent
	s.Phase = PhaseRunning
	s.waiting = nil
	cmd := DispatchCmd{
		Attempt:      s.Attempt,
		Resume:       s.Received,
		AvoidServers: s.Failed,
		AvoidDomains: s.FailedIn,
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
	case s.Hedge:
		s.HedgeServer, s.HedgeDomain = m.Server, m.Domain
	}
	return s, nil
}

func (s State) chunk(m ChunkMsg) (State, []Cmd) {
	if !s.live() {
		return s, nil
	}
	if m.Attempt == s.Hedge && s.Hedge != 0 && s.Received == 0 && m.Offset == 0 && m.Finish != "" {
		s = s.promote()
	}
	if m.Attempt != s.Attempt {
		return s, nil
	}
	if m.Offset > s.Received {
		return s.hold(m)
	}
	if m.Offset < s.Received {
		return s, nil
	}
	return s.accept(m)
}

// hold keeps a chunk that came before its predecessor.
func (s State) hold(m ChunkMsg) (State, []Cmd) {
	if len(s.waiting) >= maxHeld {
		return s.failed(FailedMsg{Attempt: m.Attempt, Verdict: protocol.MayHaveRun, Reason: "a part of the answer is missing"})
	}
	waiting := make(map[int]ChunkMsg, len(s.waiting)+1)
	for offset, c := range s.waiting {
		waiting[offset] = c
	}
	waiting[m.Offset] = m
	s.waiting = waiting
	return s, nil
}

// accept takes the chunk at the next offset and those that waited for it.
func (s State) accept(m ChunkMsg) (State, []Cmd) {
	var cmds []Cmd
	s.MoveFrom, s.MoveAttempt = "", 0 // The move is done; until now it could be tried again.
	for {
		var ended bool
		s, cmds, ended = s.take(m, cmds)
		if ended {
			return s, cmds
		}
		next, ok := s.waiting[s.Received]
		if !ok || m.Tokens == 0 {
			return s, cmds
		}
		m = next
	}
}

func (s State) take(m ChunkMsg, cmds []Cmd) (State, []Cmd, bool) {
	if s.Received < s.Floor && s.Received+m.Tokens > s.Floor {
		// The text of a chunk cannot be cut between its tokens.
		next, more := s.failed(FailedMsg{Attempt: m.Attempt, Verdict: protocol.MayHaveRun, Reason: "the answer cannot be resumed at this offset", Final: true})
		return next, append(cmds, more...), true
	}
	s.Received += m.Tokens
	if m.Finish != "" && s.Received < s.Floor {
		next, more := s.stop(NoSuchEvent(s.Floor, s.Received))
		return next, append(cmds, more...), true
	}
	if s.Received > s.Floor || m.Tokens == 0 {
		cmds = append(cmds, EmitCmd{Chunk: m, Offset: s.Received})
		s.Floor = max(s.Floor, s.Received)
	} else {
		cmds = append(cmds, KeepCmd{Chunk: m})
	}
	if m.Finish == "" {
		return s, cmds, false
	}
	s.Phase = PhaseEnded
	if s.Hedge != 0 {
		cmds = append(cmds, CancelCmd{Attempt: s.Hedge})
	}
	return s, append(cmds, FinishCmd{Attempt: s.Attempt, Finish: m.Finish}), true
}

func (s State) failed(m FailedMsg) (State, []Cmd) {
	if m.Attempt == 0 || (m.Attempt != s.Attempt && m.Attempt != s.Hedge) || !s.live() {
		return s, nil
	}
	if s.Hedge != 0 {
		return s.oneFailed(m)
	}
	s.MayHaveRun = s.MayHaveRun || m.Verdict != protocol.NotRun
	verdict := s.verdict(m.Verdict)
	s = s.blame(s.Server, s.Domain)
	s.Server, s.Domain = "", ""
	if m.Final || !m.Verdict.AllowsRetry(s.Repeatable) || s.AttemptsSent >= s.MaxAttempts {
		return s.refuse(m.refusal().WithVerdict(verdict))
	}
	s.Phase = PhaseWaiting
	return s, []Cmd{CancelCmd{Attempt: m.Attempt}, RetryCmd{Attempt: m.Attempt, Cause: m}}
}

// NoSuchEvent refuses to resume behind an event that the answer never had: an empty
// rest would look like a whole answer.
func NoSuchEvent(event, tokens int) *protocol.Refusal {
	return protocol.NewRefusal(protocol.StatusBadRequest, protocol.CodeNoEvent, "the answer has no event %d: it ends at %d", event, tokens)
}

// verdict widens an attempt's verdict to the whole request: once a token was
// delivered, a move was made, or an earlier attempt may have run, so may the
// request.
func (s State) verdict(v protocol.Verdict) protocol.Verdict {
	if s.Received > 0 || s.Exported || s.MayHaveRun {
		return protocol.MayHaveRun
	}
	return v
}

// retry is the answer to a [RetryCmd]: the budget allows another attempt.
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

// exported goes on elsewhere once the old server said that it ended the
// request. If it did not, the old attempt goes on for as long as it lives.
func (s State) exported(m ExportedMsg) (State, []Cmd) {
	if m.Attempt != s.Attempt || !s.live() {
		return s, nil
	}
	if s.HandingOver {
		return s.give(m.Ended)
	}
	if !m.Ended {
		s.Phase = PhaseRunning
		return s, nil
	}
	old := s.Server
	s.MoveFrom, s.MoveAttempt = old, s.Attempt
	s.Failed = append(slices.Clip(s.Failed), old)
	s.Server, s.Domain = "", ""
	s.MaxAttempts++ // A move is no failure and spends no attempt.
	cancel := CancelCmd{Attempt: m.Attempt}
	next, cmds := s.dispatch()
	return next, append([]Cmd{cancel}, cmds...)
}

// handOver has the server end the request before another instance goes on. One
// that runs nowhere at the moment can be given at once.
func (s State) handOver() (State, []Cmd) {
	s.HandingOver = true
	switch {
	case s.Phase == PhaseRunning && s.Server != "":
		s.Phase = PhaseExporting
		return s, []Cmd{ExportCmd{Attempt: s.Attempt, Server: s.Server}}
	case s.Phase == PhaseExporting:
		return s, nil
	}
	return s.give(true)
}

// give hands the request over. A repeatable one goes even if the server did
// not confirm its end; any other then stays, and runs here to its end.
func (s State) give(ended bool) (State, []Cmd) {
	if !ended && !s.Repeatable {
		s.HandingOver, s.Phase = false, PhaseRunning
		return s, nil
	}
	s.Phase = PhaseGiven
	cmd := HandOverCmd{Attempt: s.Attempt, Server: s.Server, Ended: ended && s.Server != ""}
	return s, append(s.cancels(), cmd)
}

// stop ends the request for a reason outside the attempt.
func (s State) stop(r *protocol.Refusal) (State, []Cmd) {
	verdict := protocol.MayHaveRun
	if s.Attempt == 0 {
		verdict = protocol.NotRun
	}
	return s.refuse(r.WithVerdict(verdict))
}

func (s State) refuse(r *protocol.Refusal) (State, []Cmd) {
	s.Phase = PhaseEnded
	return s, append(s.cancels(), RefuseCmd{Refusal: r})
}
