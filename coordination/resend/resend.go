// Package resend decides what follows an attempt that failed.
//
// [Next] is a function of what the request allows and of what became of the
// attempt: send it once more, or refuse it with a status that tells the truth.
// A refusal says "not run" only if no attempt may have run, which the state
// remembers over all attempts.
package resend

import (
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// State is what is known of a request between attempts. The zero value is a
// request that was not sent yet and may run once.
type State struct {
	Repeatable bool
	MaxServers int  // Most is to how many servers it may be sent.
	Sent       int  // Sent is to how many it was.
	Connects   int  // Connects counts servers that could not be reached at all.
	MayHaveRun bool // MayHaveRun says that some attempt may have run.
}

// FailedMsg is the outcome of an attempt without an answer that counts.
type FailedMsg struct {
	Verdict  protocol.Verdict
	Reached  bool // Reached says that the server got any of it.
	Reason   string
	Budget   func() bool // Budget takes a retry, if there is one.
	TimeLeft time.Duration
	Target   time.Duration // Target is the route's aim, by which a caller is told when to come back.
}

// mostConnects bounds the servers that are tried in vain for one request.
const mostConnects = 3

// leastLeft is what must be left of the deadline for another attempt.
const leastLeft = 20 * time.Millisecond

// Next returns the state after a failed attempt, and the refusal that ends the
// request, or nil if it is to be sent once more.
func Next(s State, m FailedMsg) (State, *protocol.Refusal) {
	if m.Verdict != protocol.NotRun {
		s.MayHaveRun = true
	}
	if m.Reached {
		s.Sent++
	} else {
		s.Connects++
	}
	if s.may(m) {
		return s, nil
	}
	return s, s.refusal(m)
}

func (s State) may(m FailedMsg) bool {
	if !m.Verdict.AllowsRetry(s.Repeatable) || (s.MayHaveRun && !s.Repeatable) || m.TimeLeft < leastLeft {
		return false
	}
	if s.Sent >= s.MaxServers || s.Connects >= mostConnects {
		return false
	}
	return s.Sent == 0 || m.Budget()
}

// refusal tells what became of the request as a whole.
func (s State) refusal(m FailedMsg) *protocol.Refusal {
	switch {
	case !s.MayHaveRun:
		r := protocol.NewRefusal(protocol.StatusServiceUnavailable, protocol.CodeNoBackend, "%s", m.Reason)
		return r.WithRetryAfter(RetryAfter(m.Target))
	case m.TimeLeft <= 0:
		r := protocol.NewRefusal(protocol.StatusGatewayTimeout, protocol.CodeDeadline, "%s", m.Reason)
		return r.WithVerdict(protocol.MayHaveRun)
	}
	r := protocol.NewRefusal(protocol.StatusBadGateway, protocol.CodeBackendFailed, "%s", m.Reason)
	return r.WithVerdict(protocol.MayHaveRun)
}

const (
	soonest = 50 * time.Millisecond
	latest  = time.Second
)

// RetryAfter is when a caller that found no place is told to come back: after a part
// of the time that its answer may take.
func RetryAfter(target time.Duration) time.Duration {
	return max(soonest, min(target/4, latest))
}
