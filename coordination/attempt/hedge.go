package attempt

import (
	"slices"

	"github.com/weldstream/weldstream/protocol"
)

// A hedge is a second attempt beside the first, for a call that may be
// repeated and whose answer is short and whole: the first answer counts, and
// the other attempt is dropped. A stream is never hedged.

// hedge sends the second attempt, to another server and, where there is one,
// in another failure domain.
func (s State) hedge() (State, []Cmd) {
	if s.Phase != PhaseRunning || !s.Repeatable || s.Hedge != 0 || s.Received > 0 || s.HandingOver || s.AttemptsSent >= s.MaxAttempts {
		return s, nil
	}
	s.AttemptsSent++
	s.Hedge = s.AttemptsSent
	return s, []Cmd{DispatchCmd{
		Attempt:      s.Hedge,
		Hedge:        true,
		AvoidServers: append(slices.Clip(s.Failed), s.Server),
		AvoidDomains: append(slices.Clip(s.FailedIn), s.Domain),
	}}
}

// promote makes the hedge the current attempt, and the current one the other one.
func (s State) promote() State {
	s.Attempt, s.Hedge = s.Hedge, s.Attempt
	s.Server, s.HedgeServer = s.HedgeServer, s.Server
	s.Domain, s.HedgeDomain = s.HedgeDomain, s.Domain
	return s
}

// oneFailed drops one of two attempts; the other goes on.
func (s State) oneFailed(m FailedMsg) (State, []Cmd) {
	if m.Attempt == s.Attempt {
		s = s.promote()
	}
	s.MayHaveRun = s.MayHaveRun || m.Verdict != protocol.NotRun
	s = s.blame(s.HedgeServer, s.HedgeDomain)
	s.Hedge, s.HedgeServer, s.HedgeDomain = 0, "", ""
	return s, []Cmd{CancelCmd{Attempt: m.Attempt}}
}

// blame notes a server that failed the request.
func (s State) blame(server, domain string) State {
	if server != "" && !slices.Contains(s.Failed, server) {
		s.Failed = append(slices.Clip(s.Failed), server)
	}
	if domain != "" && !slices.Contains(s.FailedIn, domain) {
		s.FailedIn = append(slices.Clip(s.FailedIn), domain)
	}
	return s
}

// cancels drops all attempts that may run.
func (s State) cancels() []Cmd {
	cmds := []Cmd{CancelCmd{Attempt: s.Attempt}}
	if s.Hedge != 0 {
		cmds = append(cmds, CancelCmd{Attempt: s.Hedge})
	}
	return cmds
}
