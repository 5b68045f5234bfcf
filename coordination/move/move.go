// Package move is the state machine that moves a running answer (a run) with its KV
// cache from a server that is leaving, the source, to another server, the target.
//
// The source copies the run's KV cache to the target while the run continues. It then
// stops the run and copies what is new. Only after the source has confirmed that the run
// has stopped is the same request sent to the target, with the handle of the copy. If the
// target refuses it without running it, it is sent back to the source, which keeps the KV
// cache of a run that it has stopped. If it cannot be proved that no server runs the
// request, the move ends like any broken stream, and the caller of [Next] decides by the
// route what follows.
//
//	staying ─► copying ─► stopping ─► stopped ─► going ─► over
//	   ▲          │           │                    │
//	   └──────────┴───────────┘                    └─► back at the source ─► over
//
// A copy occupies memory at a server until it is used or freed by a [FreeCmd]. Only if
// the servers cannot be reached is a copy left to expire by their own limit.
package move

// Phase is the phase of a run's move.
type Phase uint8

// The phases.
const (
	Staying  Phase = iota // Staying means that no move is in progress.
	Copying               // Copying means that the KV cache is being copied while the run continues.
	Stopping              // Stopping means that the source was asked to stop the run and has not answered.
	Stopped               // Stopped means that the run has stopped and its copy is at the target or the source.
	Going                 // Going means that the request was sent on and the server has not answered.
	Over                  // Over means that the run was moved, has ended, or will not be moved any more.
)

var phaseNames = [...]string{"staying", "copying", "stopping", "stopped", "going", "over"}

// String returns the phase's name.
func (p Phase) String() string {
	if int(p) < len(phaseNames) {
		return phaseNames[p]
	}
	return "unknown"
}

// Outcome is a server's answer to a copy or stop command.
type Outcome uint8

// The outcomes.
const (
	Failed Outcome = iota // Failed means that there was no answer or that it cannot be parsed.
	Copied                // Copied means that the copy is at the target.
	NoRun                 // NoRun means that the source does not have the run.
	Busy                  // Busy means that a copy of the run is already in progress.
	NoRoom                // NoRoom means that the target is full or cannot be reached.
)

var outcomeNames = [...]string{"failed", "copied", "no run", "busy", "no room"}

// String returns the outcome's name.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "unknown"
}

// State is the state of one run's move. The zero value is a run that is not being moved.
type State struct {
	Phase        Phase
	Target       string // Target is the server that holds or receives the copy.
	Handle       string // Handle identifies the copy; empty without one.
	FailedCopies int    // FailedCopies is the number of failed copies.
	AtSource     bool   // AtSource is set when the run is to continue at the source, which kept its KV cache.
	StreamBroken bool   // StreamBroken is set when the source's stream ended before the end of the answer.
}

// maxFailedCopies limits the failed copies of one run: each loads a link and occupies
// memory at a target for some milliseconds.
const maxFailedCopies = 8

// Msg is an event passed to [Next].
type Msg interface{ msg() }

// LeavingMsg reports that the source will leave before the run ends. Target is a server
// with room for the run; empty if there is none.
type LeavingMsg struct{ Target string }

// CopiedMsg is the answer to a [CopyCmd].
type CopiedMsg struct {
	Outcome Outcome
	Handle  string
}

// StoppedMsg is the answer to a [StopCmd]. NoRoom with a handle means that the run has
// stopped and its KV cache is kept at the source.
type StoppedMsg struct {
	Outcome Outcome
	Handle  string
}

// StreamBrokenMsg reports that the source's stream ended before the end of the answer.
type StreamBrokenMsg struct{}

// AcceptedMsg reports that a server has begun to answer the request that was sent on.
type AcceptedMsg struct{}

// RefusedMsg reports that the server refused the request and proved that it did not run
// it.
type RefusedMsg struct{}

// LostMsg reports that the server did not answer and may have run the request.
type LostMsg struct{}

// EndedMsg reports that the request has ended, with any outcome.
type EndedMsg struct{}

func (LeavingMsg) msg()      {}
func (CopiedMsg) msg()       {}
func (StoppedMsg) msg()      {}
func (StreamBrokenMsg) msg() {}
func (AcceptedMsg) msg()     {}
func (RefusedMsg) msg()      {}
func (LostMsg) msg()         {}
func (EndedMsg) msg()        {}

// Cmd is a command returned by [Next].
type Cmd interface{ cmd() }

// CopyCmd asks the source to copy the run's KV cache while the run continues.
type CopyCmd struct{ Target string }

// StopCmd asks the source to stop the run and to copy what is new.
type StopCmd struct{ Target string }

// ContinueCmd sends the request to the target, or back to the source, to be continued.
type ContinueCmd struct {
	Target   string
	AtSource bool
	Handle   string
}

// BreakCmd ends the move. The stream is treated as broken, and the route decides what
// follows.
type BreakCmd struct{}

// FreeCmd frees an unused copy: through the source, which tells the target, or directly
// at the target if the source is gone.
type FreeCmd struct {
	Handle string
	Target string
}

func (CopyCmd) cmd()     {}
func (StopCmd) cmd()     {}
func (ContinueCmd) cmd() {}
func (BreakCmd) cmd()    {}
func (FreeCmd) cmd()     {}

// Next returns the state after a message and the commands to execute.
func Next(s State, m Msg) (State, []Cmd) {
	switch m := m.(type) {
	case LeavingMsg:
		return s.leaving(m)
	case CopiedMsg:
		return s.copied(m)
	case StoppedMsg:
		return s.stopped(m)
	case StreamBrokenMsg:
		return s.streamBroken()
	case AcceptedMsg:
		return s.accepted()
	case RefusedMsg:
		return s.refused()
	case LostMsg:
		return s.lost()
	case EndedMsg:
		return s.ended()
	}
	return s, nil
}

// leaving starts a copy if there is a target.
func (s State) leaving(m LeavingMsg) (State, []Cmd) {
	if s.Phase != Staying || m.Target == "" {
		return s, nil
	}
	s.Phase, s.Target = Copying, m.Target
	return s, []Cmd{CopyCmd(m)}
}

// copied asks the source to stop the run once a copy is at the target.
func (s State) copied(m CopiedMsg) (State, []Cmd) {
	if s.Phase != Copying {
		return s, s.free(m.Handle) // The run ended or its stream broke meanwhile.
	}
	switch m.Outcome {
	case Copied:
		s.Phase, s.Handle = Stopping, m.Handle
		return s, []Cmd{StopCmd{Target: s.Target}}
	case NoRun:
		s.Phase = Over
		return s, s.free(m.Handle)
	}
	return s.abandonCopy(m.Handle)
}

// abandonCopy abandons a copy. Another one may follow, unless too many have failed: the
// run is then no longer moved, so that other runs of its server can be.
func (s State) abandonCopy(handle string) (State, []Cmd) {
	cmds := s.free(handle)
	s.Phase, s.Target, s.Handle = Staying, "", ""
	s.FailedCopies++
	if s.FailedCopies >= maxFailedCopies {
		s.Phase = Over
	}
	return s, cmds
}

// stopped continues the run elsewhere once its stream has ended, or abandons the copy if
// the run has not stopped.
func (s State) stopped(m StoppedMsg) (State, []Cmd) {
	if s.Phase != Stopping {
		return s, s.free(m.Handle) // The request ended meanwhile.
	}
	switch {
	case m.Outcome == Copied && m.Handle != "":
		s.Phase, s.Handle = Stopped, m.Handle
	case m.Outcome == NoRoom && m.Handle != "":
		s.Phase, s.Handle, s.AtSource = Stopped, m.Handle, true
	case s.StreamBroken:
		// The stream broke without an answer that confirms the stop, so there is no
		// proof that the run has stopped.
		cmds := append([]Cmd{BreakCmd{}}, s.free(s.Handle)...)
		s.Phase, s.Handle = Over, ""
		return s, cmds
	default:
		return s.abandonCopy(s.Handle)
	}
	if s.StreamBroken {
		return s.sendOn()
	}
	return s, nil
}

// streamBroken handles the end of the source's stream. While a stop is unanswered, what
// follows depends on that answer.
func (s State) streamBroken() (State, []Cmd) {
	switch s.Phase {
	case Stopping:
		s.StreamBroken = true
		return s, nil
	case Stopped:
		s.StreamBroken = true
		return s.sendOn()
	}
	s.Phase = Over
	return s, []Cmd{BreakCmd{}}
}

// sendOn sends the request of a stopped run on, once its stream has ended.
func (s State) sendOn() (State, []Cmd) {
	s.Phase = Going
	return s, []Cmd{ContinueCmd{Target: s.Target, AtSource: s.AtSource, Handle: s.Handle}}
}

// accepted ends the move: the copy is in use.
func (s State) accepted() (State, []Cmd) {
	if s.Phase != Going {
		return s, nil
	}
	s.Phase, s.Handle = Over, ""
	return s, nil
}

// refused sends the request back to the source, or ends the move if that refused it.
func (s State) refused() (State, []Cmd) {
	switch {
	case s.Phase != Going:
		return s, nil
	case !s.AtSource:
		s.AtSource = true
		return s, []Cmd{ContinueCmd{Target: s.Target, AtSource: true, Handle: s.Handle}}
	}
	return s.lost()
}

// lost ends the move and frees the copy.
func (s State) lost() (State, []Cmd) {
	if s.Phase != Going {
		return s, nil
	}
	cmds := append([]Cmd{BreakCmd{}}, s.free(s.Handle)...)
	s.Phase, s.Handle = Over, ""
	return s, cmds
}

// ended frees the copy. One in progress is freed when its answer arrives.
func (s State) ended() (State, []Cmd) {
	cmds := s.free(s.Handle)
	s.Phase, s.Handle = Over, ""
	return s, cmds
}

// free returns the command that frees a copy, or none without a handle.
func (s State) free(handle string) []Cmd {
	if handle == "" {
		return nil
	}
	return []Cmd{FreeCmd{Handle: handle, Target: s.Target}}
}
