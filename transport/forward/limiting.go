package forward

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/weldstream/weldstream/coordination/backpressure"
	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

const (
	// permitTime is how long a request waits for the leader's answer to whether a server that
	// limits its requests takes it, before another server is chosen.
	permitTime = 100 * time.Millisecond
	// roomTime is how long a request waits until one of the servers takes requests again,
	// where all of them limit theirs; one that would wait for longer is refused at once.
	roomTime = 250 * time.Millisecond
	// backSpread is by how much longer than until there is room callers are told to wait, at
	// the most, as a part of that: those that were refused together do not come together.
	backSpread = 0.5
)

// limiting are the limits that servers name.
type limiting struct {
	mu       sync.Mutex // mu guards all below; no other lock is taken under it.
	limits   *backpressure.Limits
	answered chan struct{} // answered is closed and replaced when the leader answered, or did not in time.
}

// WithLimitsNow sets what has the leader asked for permits at once.
func WithLimitsNow(f func()) Option { return func(g *Gateway) { g.limitsNow = f } }

// heard notes what a server says of itself beside an answer. What cannot be read changes
// nothing.
func (x *exchange) heard(s *place.Server, says *protocol.ServerSays) {
	if says.Unread != "" {
		x.log.Warn().Str("server", s.ID).Str("said", says.Unread).Msg("what a server says of itself cannot be read")
		return
	}
	x.heardLimit(s.ID, says.Limit)
	x.heardRest(s.ID, says.Rest)
	x.heardLeaving(s.ID, says.Leaving)
}

// heardRest notes that a server wants no requests from this gateway for a while.
func (x *exchange) heardRest(server string, rest time.Duration) {
	if rest > 0 {
		x.g.meters.rests.Inc(1)
		x.log.Info().Str("server", server).Dur("rest", rest).Msg("server asks for rest")
	}
}

// heardLeaving notes that a server takes no new requests any more.
func (x *exchange) heardLeaving(server string, leaving bool) {
	if leaving {
		x.log.Info().Str("server", server).Msg("server says that it leaves")
	}
}

// heardLimit notes what a server said of its limit beside an answer to an exchange.
func (x *exchange) heardLimit(server string, limit protocol.RateLimit) {
	l := &x.g.limiting
	l.mu.Lock()
	before := l.limits.Limit(server)
	changed := l.limits.Heard(server, limit, clock.Now())
	l.mu.Unlock()
	if !changed {
		return
	}
	x.g.meters.limits.Inc(1)
	x.log.Info().Str("server", server).Bool("named", limit.Named).Float64("rate", limit.PerSecond).Float64("before", before.PerSecond).Msg("server names another limit")
	x.g.limitsNow() // Others send to the server as well.
}

// takePermit takes a permit for the request to a server, and asks the leader for one where
// the server limits its requests. Without one, wait is when there may be one.
func (x *exchange) takePermit(server string) (ok bool, wait time.Duration) {
	verdict, wait, answered := x.g.limiting.take(server)
	if verdict != backpressure.Ask {
		return verdict == backpressure.Send, wait
	}
	end := time.NewTimer(permitTime)
	defer end.Stop()
	for verdict == backpressure.Ask {
		x.g.limitsNow()
		select {
		case <-answered:
		case <-end.C:
			return false, permitTime
		case <-x.ctx.Done():
			return false, permitTime
		}
		verdict, wait, answered = x.g.limiting.take(server)
	}
	return verdict == backpressure.Send, wait
}

// take takes a permit for a request to a server. With Ask, the leader's next answer closes
// the channel.
func (l *limiting) take(server string) (backpressure.Verdict, time.Duration, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	verdict, wait := l.limits.Take(server, clock.Now())
	return verdict, wait, l.answered
}

// noteSent counts a request that is sent to a server: limits are kept to over what came
// ahead of them, too.
func (g *Gateway) noteSent(server string) {
	l := &g.limiting
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits.Sent(server, clock.Now())
}

// spare takes a permit for a question to a server, and reports whether there was one.
func (g *Gateway) spare(server string) bool {
	verdict, _, _ := g.limiting.take(server)
	return verdict == backpressure.Send
}

// forcePermit takes a permit for a run that goes on at a server which has its memory
// already, or notes that there was none.
func (g *Gateway) forcePermit(server string) {
	l := &g.limiting
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits.Force(server, clock.Now())
}

// keepLimits drops the limits of servers that are listed no more.
func (g *Gateway) keepLimits(view *place.View) {
	l := &g.limiting
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits.Keep(func(server string) bool { return view.Find(server) != nil })
}

// LimitedServers returns the servers that limit their requests, sorted.
func (g *Gateway) LimitedServers() []string {
	l := &g.limiting
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limits.Limited()
}

// LimitsBehind reports whether the leader of a term has limits that are not known here.
func (g *Gateway) LimitsBehind(term, change uint64) bool {
	l := &g.limiting
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limits.Behind(term, change)
}

// ReportLimits returns what the leader lacks of the servers' limits, and what permits are
// wanted. It is false where no server is known to limit its requests.
func (g *Gateway) ReportLimits() (m protocol.LimitsMsg, any bool) {
	l := &g.limiting
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits.SetGateways(int(g.gateways.Load()))
	m, any = l.limits.Report(clock.Now())
	m.Gateway = g.cfg.Name
	return m, any
}

// AnsweredLimits takes the leader's answer to a report that was made at a time; it is nil
// where none came. Requests that wait look again.
func (g *Gateway) AnsweredLimits(m *protocol.LimitsMsg, reply *protocol.LimitsReply, asked time.Time) {
	l := &g.limiting
	l.mu.Lock()
	defer l.mu.Unlock()
	if reply != nil {
		l.limits.Answered(m, reply, asked, clock.Now())
	}
	close(l.answered)
	l.answered = make(chan struct{})
}

// permitted returns a server that the request may be sent to now: one that pick returns
// and that does not limit its requests, or has a permit for it. Where all that are left
// limit theirs and none has, it waits for a short while.
func (x *exchange) permitted(pick func() (*place.Server, *protocol.Refusal)) (*place.Server, *protocol.Refusal) {
	for end := clock.Now().Add(roomTime); ; {
		s, wait, refusal := x.pickPermitted(pick)
		if s != nil || len(x.limited) == 0 {
			return s, refusal
		}
		if clock.Now().Add(wait).After(end) || !x.waitFor(wait) {
			return nil, x.atLimits(wait)
		}
	}
}

// pickPermitted has pick choose among the servers until it returns one that there is a
// permit for. Where there is none, wait is when one of those that it returned may have one,
// or the refusal is pick's for other reasons.
func (x *exchange) pickPermitted(pick func() (*place.Server, *protocol.Refusal)) (s *place.Server, wait time.Duration, refusal *protocol.Refusal) {
	x.limited = nil
	for {
		s, refusal = pick()
		if refusal != nil {
			return nil, wait, refusal
		}
		ok, free := x.takePermit(s.ID)
		if ok {
			return s, 0, nil
		}
		x.ended() // A place that the leader gave is not taken.
		x.creditBack()
		if len(x.limited) == 0 || free < wait {
			wait = free
		}
		x.limited = append(x.limited, s.ID)
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

// atLimits refuses a request that no server takes within its limit for a while.
func (x *exchange) atLimits(wait time.Duration) *protocol.Refusal {
	x.g.meters.refusedLimited.Inc(1)
	x.log.Info().Strs("servers", x.limited).Dur("wait", wait).Msg("all servers are at the limits that they name")
	back := max(leastRoomWait, wait)
	back += time.Duration(backSpread * rand.Float64() * float64(back))
	return protocol.NewRefusal(protocol.StatusServiceUnavailable, protocol.CodeOverloaded, "the servers take no more requests at present").WithRetryAfter(back)
}
