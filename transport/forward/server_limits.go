package forward

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/weldstream/weldstream/coordination/backpressure"
	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/coordination/resend"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

const (
	// permitTimeout is how long a request waits for the leader to grant permits for servers
	// that limit their requests, before other servers are chosen.
	permitTimeout = 100 * time.Millisecond
	// availabilityTimeout is how long a request waits for a server if none accepts requests
	// at present. A request that would have to wait longer is refused at once.
	availabilityTimeout = 250 * time.Millisecond
	// retryAfterJitter is the largest random addition to a caller's retry delay, as a
	// fraction of the delay, so that requests refused together are not retried together.
	retryAfterJitter = 0.5
)

// WithLimitsTrigger sets the function that asks the leader for permits at once.
func WithLimitsTrigger(f func()) Option { return func(g *Gateway) { g.triggerLimits = f } }

// acquirePermit acquires a permit to send the request to a server. If the server limits its
// requests, it asks the leader for a permit until the deadline. Without a permit, wait is the
// time after which one may be available.
func (x *exchange) acquirePermit(server string, deadline time.Time) (ok bool, wait time.Duration) {
	p, answered := x.g.feedback.acquire(x.ticketRequest(server))
	for p.decision == backpressure.NeedPermit {
		if !x.requestPermit(answered, deadline) {
			return false, permitTimeout
		}
		p, answered = x.g.feedback.acquire(x.ticketRequest(server))
	}
	x.ticket = p.ticket
	return p.decision == backpressure.Send, p.wait
}

// ticketRequest returns the request for a ticket at a server, which is needed if it is brittle.
func (x *exchange) ticketRequest(server string) *backpressure.TicketRequest {
	m := &backpressure.TicketRequest{Server: server, Service: x.service, Urgent: x.isUrgent(), Settle: backpressure.MinSettleTime}
	if x.waitsForRoom {
		m.Waited = clock.Since(x.roomWaitSince)
	}
	if s := x.g.view.Load().Find(server); s != nil {
		m.Slots, m.Running = s.SlotCount(), s.Stats.Outstanding()
		trip := time.Duration(x.g.meters.distances.roundTrips[x.g.distance(s)].Load()) * time.Microsecond
		m.Settle = max(m.Settle, settleRoundTrips*trip)
	}
	return m
}

// isUrgent reports whether no request is more urgent.
func (x *exchange) isUrgent() bool { return x.priority() <= 0 }

// settleRoundTrips is the number of round trips to a server after which a request that it has not
// rejected counts as accepted.
const settleRoundTrips = 4

// acceptTicket records that the server did not reject the request of the current attempt.
func (x *exchange) acceptTicket() {
	if x.ticket != nil {
		w := &x.g.feedback
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.limits.AcceptTicket(x.ticket, clock.Now()) {
			w.wakeWaiting()
			x.g.triggerLimits()
		}
	}
}

// settleTicket accepts a ticket on whose request the server has said nothing for its settle time.
func (g *Gateway) settleTicket(t *backpressure.Ticket) {
	w := &g.feedback
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.limits.AcceptTicket(t, clock.Now()) {
		w.wakeWaiting()
		g.triggerLimits()
	}
}

// wakeWaiting makes requests that wait check again. The caller holds w.mu.
func (w *feedbackState) wakeWaiting() {
	close(w.replied)
	w.replied = make(chan struct{})
}

// endTicket returns the ticket of the current attempt, if it has one that was not returned.
func (x *exchange) endTicket() {
	if x.ticket != nil {
		w := &x.g.feedback
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.limits.EndTicket(x.ticket, clock.Now()) {
			w.wakeWaiting()
			x.g.triggerLimits()
		}
		x.ticket = nil
	}
}

// requestPermit asks the leader for permits and reports whether it answered before the
// deadline.
func (x *exchange) requestPermit(answered <-chan struct{}, deadline time.Time) bool {
	remaining := clock.Until(deadline)
	if remaining <= 0 {
		return false // The time was used up for another server; the leader did not answer.
	}
	end := time.NewTimer(remaining)
	defer end.Stop()
	x.g.triggerLimits()
	select {
	case <-answered:
		return true
	case <-end.C:
	case <-x.ctx.Done():
	}
	return false
}

// permission is whether a request may be sent to a server.
type permission struct {
	decision backpressure.Decision
	wait     time.Duration        // wait is the time until the server may accept the request.
	ticket   *backpressure.Ticket // ticket is nil unless the server is brittle.
}

// acquire acquires a permit and a ticket for a request to a server, if it needs them. If the
// decision is NeedPermit, the channel is closed by the leader's next answer.
func (w *feedbackState) acquire(m *backpressure.TicketRequest) (permission, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := clock.Now()
	if w.departures.IsLeaving(m.Server) {
		return permission{decision: backpressure.Wait, wait: unboundedWait}, nil
	}
	if remaining := w.backoffs.Remaining(m.Server, now); remaining > 0 {
		return permission{decision: backpressure.Wait, wait: remaining}, nil
	}
	ticket, decision, wait := w.limits.Admit(m, now)
	if decision != backpressure.Send {
		return permission{decision: decision, wait: wait}, w.replied
	}
	decision, wait = w.limits.Acquire(m.Server, now)
	if decision != backpressure.Send {
		w.limits.EndTicket(ticket, now)
		ticket = nil
	}
	return permission{decision, wait, ticket}, w.replied
}

// recordSent counts a request sent to a server. The count is needed even for servers without
// a limit: when one names a limit, the requests sent before count against it. The ticket is nil if
// the request was sent without one.
func (g *Gateway) recordSent(server string, ticket *backpressure.Ticket) {
	w, now := &g.feedback, clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limits.RecordSent(server, now)
	if ticket != nil {
		w.limits.RecordTicketSent(ticket, now)
		time.AfterFunc(ticket.Settle(), func() { g.settleTicket(ticket) })
	}
}

// recordRejection records that a server rejected a request, and how many it says it has; 0 if it does not
// say.
func (g *Gateway) recordRejection(server string, load int) {
	w := &g.feedback
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.limits.RecordRejection(server, load, clock.Now()) {
		g.triggerLimits() // Other gateways learn that it has less room.
	}
}

// acquireProbePermit acquires a permit for a state request and reports whether there was one.
// A leaving server may be asked: its answer says when it ends.
func (g *Gateway) acquireProbePermit(server string) bool {
	w := &g.feedback
	w.mu.Lock()
	defer w.mu.Unlock()
	now := clock.Now()
	if w.backoffs.Remaining(server, now) > 0 {
		return false
	}
	decision, _ := w.limits.Acquire(server, now) // A state request does not wait: it is repeated in the next round.
	return decision == backpressure.Send
}

// forcePermit acquires a permit for a run that continues at a server which already has its
// memory, or records that the run goes ahead without one.
func (g *Gateway) forcePermit(server string) {
	w := &g.feedback
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limits.ForceAcquire(server, clock.Now())
}

// limitOf returns the limit of a server, as known to this gateway.
func (g *Gateway) limitOf(server string) protocol.RateLimit {
	w := &g.feedback
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.limits.Limit(server)
}

// LimitedServers returns the servers that limit their requests, sorted.
func (g *Gateway) LimitedServers() []string {
	w := &g.feedback
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.limits.Limited()
}

// BrittleServers returns the servers that are brittle, sorted.
func (g *Gateway) BrittleServers() []string {
	w := &g.feedback
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.limits.Brittle()
}

// LimitsOutdated records and reports whether the leader of a term has limits that are not known here.
func (g *Gateway) LimitsOutdated(term, change uint64) bool {
	w := &g.feedback
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.limits.IsStale(term, change)
}

// ReportLimits returns the limits that the leader lacks and the permits wanted. It returns
// false if no server is known to limit its requests.
func (g *Gateway) ReportLimits() (m protocol.LimitsMsg, any bool) {
	w := &g.feedback
	w.mu.Lock()
	defer w.mu.Unlock()
	view := g.view.Load()
	w.limits.SetRunning(func(server string) int {
		if s := view.Find(server); s != nil {
			return s.Stats.Outstanding()
		}
		return 0
	})
	m, any = w.limits.Report(clock.Now())
	m.Gateway = g.cfg.Name
	return m, any
}

// ObservedLimits returns the limits that servers reported directly to this gateway.
func (g *Gateway) ObservedLimits() []protocol.ReportedLimit {
	w := &g.feedback
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.limits.DirectLimits(clock.Now())
}

// AddSharedLimits merges limits that servers reported to other gateways.
func (g *Gateway) AddSharedLimits(rows []protocol.ReportedLimit) {
	w := &g.feedback
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limits.MergeForwarded(rows, clock.Now())
}

// HandleLimitsReply applies the leader's answer to a report made at the given time, or nil if
// there was none. Waiting requests then check again.
func (g *Gateway) HandleLimitsReply(m *protocol.LimitsMsg, reply *protocol.LimitsReply, asked time.Time) {
	w := &g.feedback
	w.mu.Lock()
	defer w.mu.Unlock()
	if reply != nil {
		w.limits.HandleReply(m, reply, asked, clock.Now())
	}
	w.wakeWaiting()
}

// choosePermitted returns a server returned by pick that accepts the request now. If there is
// none, it waits for a short time.
func (x *exchange) choosePermitted(pick func() (*place.Server, *protocol.Refusal)) (*place.Server, *protocol.Refusal) {
	defer x.endRoomWait()
	for deadline := clock.Now().Add(availabilityTimeout); ; {
		s, wait, refusal := x.pickPermitted(pick)
		if refusal == nil || wait == unboundedWait {
			return s, refusal
		}
		if !x.waitForServer(wait, deadline) {
			return nil, x.refuseAllLimited(wait)
		}
	}
}

// waitForServer waits until a server may accept the request, which is expected in the given time. It
// returns false if that is later than the deadline, or if the request ended.
func (x *exchange) waitForServer(wait time.Duration, deadline time.Time) bool {
	if !x.beginRoomWait() {
		return !clock.Now().Add(wait).After(deadline) && x.sleep(wait)
	}
	w := &x.g.feedback
	w.mu.Lock()
	untilAsk, changed := w.limits.UntilAsk(x.service, clock.Now()), w.replied
	w.mu.Unlock()
	wait = max(wait, minAvailabilityWait)
	if untilAsk == 0 {
		x.g.triggerLimits()
	} else {
		wait = min(wait, untilAsk)
	}
	timer := time.NewTimer(min(wait, clock.Until(deadline)))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-x.ctx.Done():
		return false
	}
	return clock.Now().Before(deadline)
}

// beginRoomWait records that the request waits for room at any brittle server of its service, and reports
// whether the leader grants such room.
func (x *exchange) beginRoomWait() bool {
	if x.waitsForRoom {
		return true
	}
	avoid := x.unsuitable()
	w := &x.g.feedback
	w.mu.Lock()
	defer w.mu.Unlock()
	x.waitsForRoom = w.limits.BeginWait(x.service, x.isUrgent(), avoid, clock.Now())
	if x.waitsForRoom {
		x.roomWaitSince = clock.Now()
		x.g.meters.roomWaits.Inc(1)
	}
	return x.waitsForRoom
}

func (x *exchange) endRoomWait() {
	if !x.waitsForRoom {
		return
	}
	x.waitsForRoom = false
	w := &x.g.feedback
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.limits.EndWait(x.service, x.isUrgent()) {
		x.g.triggerLimits()
	}
}

// unsuitable returns the servers of the service that the request is not sent to even if they have room.
func (x *exchange) unsuitable() []string {
	list := slices.Concat(x.tried, x.fullServers(), x.g.lostServers(x.service))
	view, version := x.g.view.Load(), x.requiredVersion()
	for _, i := range view.Service(x.service) {
		if s := &view.Servers[i]; s.Leaving || version != nil && s.Version != *version || x.g.feedback.backingOff(s.ID) {
			list = append(list, s.ID)
		}
	}
	return list
}

// pickPermitted calls pick until it returns a server that accepts the request. If there is
// none, wait is the time until one of the skipped servers may accept it, or unboundedWait if
// none of them will.
func (x *exchange) pickPermitted(pick func() (*place.Server, *protocol.Refusal)) (s *place.Server, wait time.Duration, refusal *protocol.Refusal) {
	view := x.g.view.Load()
	x.unavailable, wait = x.g.feedback.unavailable(view, x.service)
	if wait != unboundedWait && x.noneAvailable(view) {
		return nil, wait, protocol.NewRefusal(protocol.StatusServiceUnavailable, protocol.CodeOverloaded, "no server of the service takes a request at present")
	}
	for deadline := clock.Now().Add(permitTimeout); ; {
		s, refusal = pick()
		if refusal != nil {
			return nil, wait, refusal
		}
		ok, free := x.acquirePermit(s.ID, deadline)
		if ok {
			return s, 0, nil
		}
		x.reportPlacementEnd() // The leader's placement is not used.
		x.refundTrialCredit()
		wait = min(wait, free)
		x.unavailable = append(x.unavailable, s.ID)
	}
}

// noneAvailable reports whether the request cannot be sent to any server of its service at present.
func (x *exchange) noneAvailable(view *place.View) bool {
	if view.HasTrials(x.service) {
		return false
	}
	return !slices.ContainsFunc(view.Service(x.service), func(i int) bool { return !slices.Contains(x.unavailable, view.Servers[i].ID) })
}

// sleep waits for a duration. It returns false if the request ended in the meantime.
func (x *exchange) sleep(d time.Duration) bool {
	timer := time.NewTimer(max(d, minAvailabilityWait))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-x.ctx.Done():
		return false
	}
}

// minAvailabilityWait is the shortest wait between two checks for an available server.
const minAvailabilityWait = 10 * time.Millisecond

// refuseAllLimited refuses a request that no server accepts for a while.
func (x *exchange) refuseAllLimited(wait time.Duration) *protocol.Refusal {
	x.g.meters.limitRefused.Inc(1)
	x.log.Info().Int("servers", len(x.unavailable)).Dur("wait", wait).Msg("no server takes a request at present")
	retryAfter := max(minAvailabilityWait, wait)
	if len(x.g.BrittleServers()) > 0 {
		retryAfter = max(retryAfter, resend.RetryAfter(x.route.Target)) // A place becomes free when a request ends.
	}
	retryAfter += time.Duration(retryAfterJitter * rand.Float64() * float64(retryAfter))
	return protocol.NewRefusal(protocol.StatusServiceUnavailable, protocol.CodeOverloaded, "the servers take no more requests at present").WithRetryAfter(retryAfter)
}

// placeAgain continues after the chosen server turned out not to accept requests: another one
// is chosen, and a moved run returns to its source.
func (x *exchange) placeAgain() *protocol.Refusal {
	x.reportPlacementEnd()
	x.refundTrialCredit()
	if x.continuation != nil && !x.retryContinuation(protocol.NotRun) {
		return x.afterEarlierAttempts(protocol.NewRefusal(protocol.StatusServiceUnavailable, protocol.CodeNoBackend, "the server that the answer was moved to takes no requests"))
	}
	return errRetry
}
