package forward

import (
	"math/rand/v2"
	"time"

	"github.com/weldstream/weldstream/coordination/backpressure"
	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

const (
	// permitTime is how long a request waits for the leader's answers to whether servers that
	// limit their requests take it, before others are chosen.
	permitTime = 100 * time.Millisecond
	// roomTime is how long a request waits until one of the servers takes requests again,
	// where none does; one that would wait for longer is refused at once.
	roomTime = 250 * time.Millisecond
	// backSpread is by how much longer than until there is room callers are told to wait, at
	// the most, as a part of that: those that were refused together do not come together.
	backSpread = 0.5
)

// WithLimitsTrigger sets what has the leader asked for permits at once.
func WithLimitsTrigger(f func()) Option { return func(g *Gateway) { g.limitsNow = f } }

// takePermit takes a permit for the request to a server, and asks the leader for one until a
// time where the server limits its requests. Without one, wait is when there may be one.
func (x *exchange) takePermit(server string, until time.Time) (ok bool, wait time.Duration) {
	verdict, wait, answered := x.g.words.take(server)
	for verdict == backpressure.NeedPermit {
		if !x.askPermit(answered, until) {
			return false, permitTime
		}
		verdict, wait, answered = x.g.words.take(server)
	}
	return verdict == backpressure.Send, wait
}

// askPermit has the leader asked for permits, and reports whether it answered by a time.
func (x *exchange) askPermit(answered <-chan struct{}, until time.Time) bool {
	left := clock.Until(until)
	if left <= 0 {
		return false // It was asked for another server, and did not answer.
	}
	end := time.NewTimer(left)
	defer end.Stop()
	x.g.limitsNow()
	select {
	case <-answered:
		return true
	case <-end.C:
	case <-x.ctx.Done():
	}
	return false
}

// take takes a permit for a request to a server. With Ask, the leader's next answer closes
// the channel.
func (w *words) take(server string) (backpressure.Decision, time.Duration, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := clock.Now()
	if w.departures.IsLeaving(server) {
		return backpressure.Wait, forGood, nil
	}
	if left := w.rests.Remaining(server, now); left > 0 {
		return backpressure.Wait, left, nil
	}
	verdict, wait := w.limits.Acquire(server, now)
	return verdict, wait, w.answered
}

// noteSent counts a request that is sent to a server: limits are kept to over what came
// ahead of them, too.
func (g *Gateway) noteSent(server string) {
	w := &g.words
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limits.RecordSent(server, clock.Now())
}

// spare takes a permit for a question to a server, and reports whether there was one. A
// server that leaves is asked: its answer tells when it ends.
func (g *Gateway) spare(server string) bool {
	w := &g.words
	w.mu.Lock()
	defer w.mu.Unlock()
	now := clock.Now()
	if w.rests.Remaining(server, now) > 0 {
		return false
	}
	verdict, _ := w.limits.Acquire(server, now) // A question does not wait: it comes again in the next round.
	return verdict == backpressure.Send
}

// forcePermit takes a permit for a run that goes on at a server which has its memory
// already, or notes that there was none.
func (g *Gateway) forcePermit(server string) {
	w := &g.words
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limits.ForceAcquire(server, clock.Now())
}

// LimitedServers returns the servers that limit their requests, sorted.
func (g *Gateway) LimitedServers() []string {
	w := &g.words
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.limits.Limited()
}

// LimitsBehind reports whether the leader of a term has limits that are not known here.
func (g *Gateway) LimitsBehind(term, change uint64) bool {
	w := &g.words
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.limits.IsStale(term, change)
}

// ReportLimits returns what the leader lacks of the servers' limits, and what permits are
// wanted. It is false where no server is known to limit its requests.
func (g *Gateway) ReportLimits() (m protocol.LimitsMsg, any bool) {
	w := &g.words
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limits.SetGateways(int(g.gateways.Load()))
	m, any = w.limits.Report(clock.Now())
	m.Gateway = g.cfg.Name
	return m, any
}

// Words returns what servers said to this gateway of their limits.
func (g *Gateway) Words() []protocol.ReportedLimit {
	w := &g.words
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.limits.DirectLimits(clock.Now())
}

// TakePassed takes what servers said to other gateways.
func (g *Gateway) TakePassed(rows []protocol.ReportedLimit) {
	w := &g.words
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limits.MergeForwarded(rows, clock.Now())
}

// AnsweredLimits takes the leader's answer to a report that was made at a time; it is nil
// where none came. Requests that wait look again.
func (g *Gateway) AnsweredLimits(m *protocol.LimitsMsg, reply *protocol.LimitsReply, asked time.Time) {
	w := &g.words
	w.mu.Lock()
	defer w.mu.Unlock()
	if reply != nil {
		w.limits.HandleReply(m, reply, asked, clock.Now())
	}
	close(w.answered)
	w.answered = make(chan struct{})
}

// permitted returns a server that the request may be sent to now: one that pick returns
// and that takes it. Where none does, it waits for a short while.
func (x *exchange) permitted(pick func() (*place.Server, *protocol.Refusal)) (*place.Server, *protocol.Refusal) {
	for end := clock.Now().Add(roomTime); ; {
		s, wait, refusal := x.pickPermitted(pick)
		if refusal == nil || wait == forGood {
			return s, refusal
		}
		if clock.Now().Add(wait).After(end) || !x.waitFor(wait) {
			return nil, x.noneTakes(wait)
		}
	}
}

// pickPermitted has pick choose among the servers until it returns one that takes the
// request. Where it finds none, wait is when one of those that were passed over may take
// it; forGood where none was passed over that will.
func (x *exchange) pickPermitted(pick func() (*place.Server, *protocol.Refusal)) (s *place.Server, wait time.Duration, refusal *protocol.Refusal) {
	x.closed, wait = x.g.words.closed(x.g.view.Load(), x.service)
	for until := clock.Now().Add(permitTime); ; {
		s, refusal = pick()
		if refusal != nil {
			return nil, wait, refusal
		}
		ok, free := x.takePermit(s.ID, until)
		if ok {
			return s, 0, nil
		}
		x.ended() // A place that the leader gave is not taken.
		x.creditBack()
		wait = min(wait, free)
		x.closed = append(x.closed, s.ID)
	}
}

// waitFor waits for a time. It is false where the request ended meanwhile.
func (x *exchange) waitFor(d time.Duration) bool {
	timer := time.NewTimer(max(d, leastRoomWait))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-x.ctx.Done():
		return false
	}
}

// leastRoomWait is the least time between two looks for room.
const leastRoomWait = 10 * time.Millisecond

// noneTakes refuses a request that no server takes for a while.
func (x *exchange) noneTakes(wait time.Duration) *protocol.Refusal {
	x.g.meters.refusedLimited.Inc(1)
	x.log.Info().Int("servers", len(x.closed)).Dur("wait", wait).Msg("no server takes a request at present")
	back := max(leastRoomWait, wait)
	back += time.Duration(backSpread * rand.Float64() * float64(back))
	return protocol.NewRefusal(protocol.StatusServiceUnavailable, protocol.CodeOverloaded, "the servers take no more requests at present").WithRetryAfter(back)
}

// turnedBack goes on after a server that was chosen takes nothing any more: another one is
// chosen, and a moved run goes back to its source.
func (x *exchange) turnedBack() *protocol.Refusal {
	x.ended()
	x.creditBack()
	if x.continuation != nil && !x.movedFailed(protocol.NotRun) {
		return x.afterEarlierAttempts(protocol.NewRefusal(protocol.StatusServiceUnavailable, protocol.CodeNoBackend, "the server that the answer was moved to takes no requests"))
	}
	return errAgain
}
