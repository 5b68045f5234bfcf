package attempt

import (
	"slices"

	"github.com/weldstream/weldstream/protocol"
)

// A hedge is a second attempt sent concurrently with the first, for a repeatable
// call whose answer is short and not streamed. The first answer is used and the
// other attempt is canceled. A stream is never hedged.

// hedge dispatches the second attempt to another server, in another failure
// domain if there is one.
func (s State) hedge() (State, []Cmd) {
	if s.Phase != PhaseRunning || !s.Repeatable || s.HedgeAttempt != 0 || s.Received > 0 || s.HandingOver || s.AttemptsSent >= s.MaxAttempts {
		return s, nil
	}
	s.AttemptsSent++
	s.HedgeAttempt = s.AttemptsSent
	return s, []Cmd{DispatchCmd{
		Attempt:      s.HedgeAttempt,
		Hedge:        true,
		AvoidServers: append(slices.Clip(s.FailedServers), s.Server),
		AvoidDomains: append(slices.Clip(s.FailedDomains), s.Domain),
	}}
}

// promote swaps the hedge and the current attempt.
func (s State) promote() State {
	s.Attempt, s.HedgeAttempt = s.HedgeAttempt, s.Attempt
	s.Server, s.HedgeServer = s.HedgeServer, s.Server
	s.Domain, s.HedgeDomain = s.HedgeDomain, s.Domain
	return s
}

// dropFailed cancels the failed one of two concurrent attempts and keeps the
// other.
func (s State) dropFailed(m FailedMsg) (State, []Cmd) {
	if m.Attempt == s.Attempt {
		s = s.promote()
	}
	s.MayHaveRun = s.MayHaveRun || m.Verdict != protocol.NotRun
	s = s.recordFailure(s.HedgeServer, s.HedgeDomain)
	s.HedgeAttempt, s.HedgeServer, s.HedgeDomain = 0, "", ""
	return s, []Cmd{CancelCmd{Attempt: m.Attempt}}
}

// recordFailure adds a server and its failure domain to those that the next
// attempt avoids.
func (s State) recordFailure(server, domain string) State {
	if server != "" && !slices.Contains(s.FailedServers, server) {
		s.FailedServers = append(slices.Clip(s.FailedServers), server)
	}
	if domain != "" && !slices.Contains(s.FailedDomains, domain) {
		s.FailedDomains = append(slices.Clip(s.FailedDomains), domain)
	}
	return s
}

// cancelAll returns the commands that cancel the current attempt and its hedge.
func (s State) cancelAll() []Cmd {
	cmds := []Cmd{CancelCmd{Attempt: s.Attempt}}
	if s.HedgeAttempt != 0 {
		cmds = append(cmds, CancelCmd{Attempt: s.HedgeAttempt})
	}
	return cmds
}
