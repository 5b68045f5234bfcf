// Package move decides how a running answer (a run) goes on at another server with its
// memory while its own server is leaving: the source has the run, the target takes it.
//
// A run is copied to a target while it goes on, then copied once more and stopped, and
// only behind the answer that says that it has stopped is the same request sent on with
// the name of the copy. Where the target turns it away unrun, it goes back to the source,
// which keeps the memory of a run that it has stopped. Whatever cannot be proved ends as
// any broken stream does: the caller of [Next] decides that by the route.
//
//	staying ─► copying ─► stopping ─► stopped ─► going ─► over
//	   ▲          │           │                    │
//	   └──────────┴───────────┘                    └─► back at the source ─► over
//
// A copy is set aside at a server, so each has an end: it is used, or a [FreeCmd] names
// it. Only a run whose servers cannot be reached leaves that to their own limit.
package move

// Phase is how far a run is.
type Phase uint8

// The phases.
const (
	Staying  Phase = iota // Staying is a run that is not being moved.
	Copying               // Copying is one that is copied while it goes on.
	Stopping              // Stopping was asked to stop and has not confirmed it.
	Stopped               // Stopped is one that has, and that lies at the target or at the source.
	Going                 // Going is one that was sent on; the server's answer is not here yet.
	Over                  // Over is one that is moved, has ended, or is not moved any more.
)

var phaseNames = [...]string{"staying", "copying", "stopping", "stopped", "going", "over"}

// String returns the phase's name.
func (p Phase) String() string {
	if int(p) < len(phaseNames) {
		return phaseNames[p]
	}
	return "unknown"
}

// Outcome is what a server answered to a copy.
type Outcome uint8

// The outcomes.
const (
	Failed Outcome = iota // Failed is no answer, or one that cannot be read.
	Copied                // Copied is a copy that lies at the target.
	NoRun                 // NoRun is a run that the source does not have.
	Busy                  // Busy is a copy that is under way already.
	NoRoom                // NoRoom is a target without room, or that cannot be reached.
)

var outcomeNames = [...]string{"failed", "copied", "no run", "busy", "no room"}

// String returns the outcome's name.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "unknown"
}

// State is what is known of one run. The zero value stays where it is.
type State struct {
	Phase        Phase
	Target       string // Target is the server that the copy lies at, or is made at.
	Handle       string // Handle names the copy; empty without one.
	FailedCopies int    // Tries are copies that came to nothing.
	AtSource     bool   // AtSource says that the run is to go on at the source, which kept its memory.
	Broke        bool   // Broke says that the source's stream broke off: it ended before the end of the answer.
}

// mostTries bounds the failed copies of one run: each loads a link and holds a target's
// memory for some milliseconds.
const mostTries = 8

// Msg is what happened.
type Msg interface{ msg() }

// LeavingMsg tells that the source leaves before the run will have ended, and which
// server has room; none where it is empty.
type LeavingMsg struct{ Target string }

// CopiedMsg is the answer to a [CopyCmd].
type CopiedMsg struct {
	Outcome Outcome
	Handle  string
}

// StoppedMsg is the answer to a [StopCmd]. With NoRoom and a handle the run has
// stopped and lies at the source.
type StoppedMsg struct {
	Outcome Outcome
	Handle  string
}

// StreamBrokenMsg tells that the source's stream broke off.
type StreamBrokenMsg struct{}

// AcceptedMsg tells that a server answers the run that was sent on.
type AcceptedMsg struct{}

// RefusedMsg tells that the server turned it away, and proved that it did not run it.
type RefusedMsg struct{}

// LostMsg tells that the server may have run it, and did not answer.
type LostMsg struct{}

// EndedMsg tells that the request has ended, whatever it ended with.
type EndedMsg struct{}

func (LeavingMsg) msg()      {}
func (CopiedMsg) msg()       {}
func (StoppedMsg) msg()      {}
func (StreamBrokenMsg) msg() {}
func (AcceptedMsg) msg()     {}
func (RefusedMsg) msg()      {}
func (LostMsg) msg()         {}
func (EndedMsg) msg()        {}

// Cmd is what is to be done.
type Cmd interface{ cmd() }

// CopyCmd has the source copy the run while it goes on.
type CopyCmd struct{ Target string }

// StopCmd has the source stop the run and copy what is new.
type StopCmd struct{ Target string }

// ContinueCmd sends the request on: to the target, or back to the source.
type ContinueCmd struct {
	Target   string
	AtSource bool
	Handle   string
}

// BreakCmd ends the move: the stream counts as broken, and the route decides what follows.
type BreakCmd struct{}

// FreeCmd has a copy that nobody uses dropped: by the source, which tells the target, or
// by the target alone where the source is gone.
type FreeCmd struct {
	Handle string
	Target string
}

func (CopyCmd) cmd()     {}
func (StopCmd) cmd()     {}
func (ContinueCmd) cmd() {}
func (BreakCmd) cmd()    {}
func (FreeCmd) cmd()     {}

// Next returns the state behind a message, and what is to be done.
func Next(s State, m Msg) (State, []Cmd) {
	switch m := m.(type) {
	case LeavingMsg:
		return s.leaves(m)
	case CopiedMsg:
		return s.copied(m)
	case StoppedMsg:
		return s.stopped(m)
	case StreamBrokenMsg:
		return s.broke()
	case AcceptedMsg:
		return s.taken()
	case RefusedMsg:
		return s.refused()
	case LostMsg:
		return s.lost()
	case EndedMsg:
		return s.ended()
	}
	return s, nil
}

// leaves begins a copy, if there is a target.
func (s State) leaves(m LeavingMsg) (State, []Cmd) {
	if s.Phase != Staying || m.Target == "" {
		return s, nil
	}
	s.Phase, s.Target = Copying, m.Target
	return s, []Cmd{CopyCmd(m)}
}

// copied goes on to stop a run of which a copy lies at the target.
func (s State) copied(m CopiedMsg) (State, []Cmd) {
	if s.Phase != Copying {
		return s, s.free(m.Handle) // The run ended, or broke off, meanwhile.
	}
	switch m.Outcome {
	case Copied:
		s.Phase, s.Handle = Stopping, m.Handle
		return s, []Cmd{StopCmd{Target: s.Target}}
	case NoRun:
		s.Phase = Over
		return s, s.free(m.Handle)
	}
	return s.stays(m.Handle)
}

// stays gives up a copy; another one may follow, unless too many came to nothing: the
// run is then left alone, so that others of its server are moved.
func (s State) stays(handle string) (State, []Cmd) {
	cmds := s.free(handle)
	s.Phase, s.Target, s.Handle = Staying, "", ""
	s.FailedCopies++
	if s.FailedCopies >= mostTries {
		s.Phase = Over
	}
	return s, cmds
}

// stopped sends the run on once its stream has ended, or gives the copy up.
func (s State) stopped(m StoppedMsg) (State, []Cmd) {
	if s.Phase != Stopping {
		return s, s.free(m.Handle) // The request ended meanwhile.
	}
	switch {
	case m.Outcome == Copied && m.Handle != "":
		s.Phase, s.Handle = Stopped, m.Handle
	case m.Outcome == NoRoom && m.Handle != "":
		s.Phase, s.Handle, s.AtSource = Stopped, m.Handle, true
	case s.Broke:
		// A request to stop does not prove that the run has stopped.
		cmds := append([]Cmd{BreakCmd{}}, s.free(s.Handle)...)
		s.Phase, s.Handle = Over, ""
		return s, cmds
	default:
		return s.stays(s.Handle)
	}
	if s.Broke {
		return s.continues()
	}
	return s, nil
}

// broke answers the end of the source's stream. While it is not known whether the run
// was stopped nothing follows: the answer to the stop does.
func (s State) broke() (State, []Cmd) {
	switch s.Phase {
	case Stopping:
		s.Broke = true
		return s, nil
	case Stopped:
		s.Broke = true
		return s.continues()
	}
	s.Phase = Over
	return s, []Cmd{BreakCmd{}}
}

// continues sends the stopped run on, once its stream has ended.
func (s State) continues() (State, []Cmd) {
	s.Phase = Going
	return s, []Cmd{ContinueCmd{Target: s.Target, AtSource: s.AtSource, Handle: s.Handle}}
}

// taken notes that the copy is used.
func (s State) taken() (State, []Cmd) {
	if s.Phase != Going {
		return s, nil
	}
	s.Phase, s.Handle = Over, ""
	return s, nil
}

// refused goes back to the source, or ends the move there.
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

// lost ends the move.
func (s State) lost() (State, []Cmd) {
	if s.Phase != Going {
		return s, nil
	}
	cmds := append([]Cmd{BreakCmd{}}, s.free(s.Handle)...)
	s.Phase, s.Handle = Over, ""
	return s, cmds
}

// ended frees what was set aside. A copy under way is freed when its answer comes.
func (s State) ended() (State, []Cmd) {
	cmds := s.free(s.Handle)
	s.Phase, s.Handle = Over, ""
	return s, cmds
}

// free returns the command that drops a copy, or none without a handle.
func (s State) free(handle string) []Cmd {
	if handle == "" {
		return nil
	}
	return []Cmd{FreeCmd{Handle: handle, Target: s.Target}}
}
