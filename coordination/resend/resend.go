// Package resend decides whether a request is resent after a failed attempt.
//
// From the limits of the request and the outcome of the attempt, [Next] decides
// to send it again or to refuse it. The state covers all attempts: a refusal has
// the verdict "not run" only if none of them may have run.
package resend

import (
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// State is the state of a request between attempts. The zero value is a request
// that has not been sent and must run at most once.
type State struct {
	Repeatable     bool
	MaxServers     int  // MaxServers is the maximum number of servers that may receive the request.
	Sent           int  // Sent is the number of servers that received the request.
	FailedConnects int  // FailedConnects is the number of servers that could not be reached.
	MayHaveRun     bool // MayHaveRun is set when any attempt may have run.
}

// FailedMsg is the outcome of an attempt without a usable answer.
type FailedMsg struct {
	Verdict  protocol.Verdict
	Reached  bool // Reached is set when the server received any part of the request.
	Reason   string
	Budget   func() bool   // Budget takes one retry from the budget, perhaps after a short wait, and reports whether one was available.
	TimeLeft time.Duration // TimeLeft is the time until the request's deadline.
	Target   time.Duration // Target is the route's latency target, from which Retry-After is derived.
}

// maxFailedConnects limits the servers that cannot be reached for one request.
const maxFailedConnects = 3

// minTimeLeft is the time before the deadline that another attempt needs.
const minTimeLeft = 20 * time.Millisecond

// Next returns the state after a failed attempt and the refusal that ends the
// request, or nil if the request is to be sent again.
func Next(s State, m FailedMsg) (State, *protocol.Refusal) {
	if m.Verdict != protocol.NotRun {
		s.MayHaveRun = true
	}
	if m.Reached {
		s.Sent++
	} else {
		s.FailedConnects++
	}
	if s.canRetry(m) {
		return s, nil
	}
	return s, s.refusal(m)
}

func (s State) canRetry(m FailedMsg) bool {
	if !m.Verdict.AllowsRetry(s.Repeatable) || (s.MayHaveRun && !s.Repeatable) || m.TimeLeft < minTimeLeft {
		return false
	}
	if s.Sent >= s.MaxServers || s.FailedConnects >= maxFailedConnects {
		return false
	}
	return s.Sent == 0 || m.Budget()
}

// refusal returns the refusal with the verdict on the request as a whole.
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
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Second
)

// RetryAfter returns the Retry-After of a request for which no server had
// capacity: a quarter of the route's latency target, within bounds.
func RetryAfter(target time.Duration) time.Duration {
	return max(minRetryAfter, min(target/4, maxRetryAfter))
}
