package forward

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/coordination/resend"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/transport/backend"
)

const (
	// returnMargin is the part of the deadline reserved for sending the answer back.
	returnMargin = 5 * time.Millisecond
	// maxAnswerBytes bounds an answer, or an event of a stream, that is buffered as a whole.
	maxAnswerBytes = 16 << 20
	// maxSkippedAnswers bounds how many answers to other requests are skipped on a
	// connection.
	maxSkippedAnswers = 4
)

// serverAttempt is one attempt to send a request to one server.
type serverAttempt struct {
	x           *exchange
	server      *place.Server
	conn        *backend.Conn
	reply       Reply
	earlyAnswer bool
	prefillDone bool       // prefillDone reports that the server has read the prompt.
	activeRun   *activeRun // activeRun is nil if the answer cannot be moved.
	unsolicited bool       // unsolicited reports that the connection delivered data that was not requested.

	headAt        time.Time // headAt is when the head of the answer arrived; zero before that.
	sentAt        time.Time // sentAt is when the request was sent.
	firstEventAt  time.Time // firstEventAt is when the first events arrived; zero before that.
	lastEventAt   time.Time // lastEventAt is when the latest events arrived.
	eventReads    int       // eventReads is the number of reads that delivered events.
	partsStarted  bool      // partsStarted reports that the start of an answer on the prompt's parts was recorded.
	partsProven   bool      // partsProven reports that the success of the prompt's parts was recorded.
	observed      bool      // observed reports that the answer was counted for a rollout.
	released      bool      // released reports that the server has finished with the request.
	complete      bool      // complete reports that the answer was read to its end.
	heardBefore   bool      // heardBefore reports that the server had answered this gateway before.
	crashesAtSend int       // crashesAtSend is the server's crash count when the request was sent.
}

// attempt sends the request to a server. It returns nil if the request was answered, and
// errRetry if another attempt is to follow.
func (x *exchange) attempt() *protocol.Refusal {
	x.reportPlacementEnd()
	x.endTicket()
	// Every send passes this check: the first attempt, retries, moved runs and rollout
	// trials.
	if refusal := x.quarantineRefusal(false); refusal != nil {
		return x.afterEarlierAttempts(refusal)
	}
	if refusal := x.refuseVanishedVersion(nil); refusal != nil {
		return x.afterEarlierAttempts(refusal)
	}
	server, refusal := x.choose()
	if refusal != nil {
		return x.afterEarlierAttempts(refusal)
	}
	x.server = server.ID
	if x.continuation == nil {
		x.tried = append(x.tried, server.ID) // A moved run may return to its source.
	}
	conn, refusal := x.connect(server)
	if conn == nil {
		return refusal // It is nil if another gateway answered.
	}
	if refusal := x.quarantineRefusal(true); refusal != nil { // Another send of the same request took the trial in the meantime.
		conn.Close()
		return x.afterEarlierAttempts(refusal)
	}
	if x.g.feedback.backingOff(server.ID) { // The server asked for backoff while the connection was established.
		conn.Close()
		return x.placeAgain()
	}
	if refusal := x.renewRetry(); refusal != nil {
		conn.Close()
		return refusal
	}
	x.recordAttempt(server, conn)
	x.recordFirstContact(server.ID)
	x.countTrialSend(server)
	x.g.recordSent(server.ID, x.ticket)
	t := &serverAttempt{x: x, server: server, conn: conn, sentAt: time.Now()}
	return t.run()
}

// connect returns a connection to a server over which the request may be sent, or the reason
// why there is none. It returns neither if another gateway answered the request.
func (x *exchange) connect(server *place.Server) (*backend.Conn, *protocol.Refusal) {
	conn, err := x.g.pool.Get(server.ID, server.Address, clock.Monotonic(x.deadline))
	if errors.Is(err, backend.ErrTooManyConnections) {
		return nil, x.refuseNoConnection()
	}
	if err != nil {
		x.g.recordConnect(server, 0, true)
		if x.timeLeft() > 0 { // Otherwise the connect may have had too little time.
			x.g.recordLost(server, err)
		}
		x.distrust(server, true)
		return nil, x.unreachable(err)
	}
	// A moved run was authorized when it started, and is still the same run.
	if x.workspace != nil && !x.route.Open && x.continuation == nil && !x.g.catalogFresh() {
		conn.Close()
		return nil, x.afterEarlierAttempts(staleCatalog())
	}
	if !conn.Used() {
		x.g.recordConnect(server, conn.ConnectTime(), false)
	}
	return conn, nil
}

// afterEarlierAttempts returns the refusal for a request that is not sent again. If an
// earlier attempt may have run, the refusal must not claim that the request has not run.
func (x *exchange) afterEarlierAttempts(refusal *protocol.Refusal) *protocol.Refusal {
	if !x.state.MayHaveRun {
		return refusal
	}
	return refusal.WithVerdict(protocol.MayHaveRun).WithStatus(protocol.StatusBadGateway)
}

// afterFailure decides what follows a failed attempt: a retry or a refusal.
func (x *exchange) afterFailure(v protocol.Verdict, reached bool, reason string) *protocol.Refusal {
	if x.callerCtx.Err() != nil {
		return callerGone().WithVerdict(v)
	}
	if x.retryContinuation(v) {
		return errRetry
	}
	if x.headWritten { // The answer is cut at once rather than after another retry was taken.
		if refusal := x.refuseVanishedVersion(x.tried); refusal != nil {
			return refusal.WithVerdict(protocol.MayHaveRun).WithStatus(protocol.StatusBadGateway)
		}
	}
	next, refusal := resend.Next(x.state, resend.FailedMsg{
		Verdict:  v,
		Reached:  reached,
		Reason:   reason,
		Budget:   x.spendRetry,
		TimeLeft: x.timeLeft(),
		Target:   x.route.Target,
	})
	x.state = next
	x.log.Info().Str("server", x.server).Stringer("verdict", v).Bool("reached", reached).Str("reason", reason).
		Int("sent", next.Sent).Bool("again", refusal == nil).Msg("attempt failed")
	if refusal != nil {
		return refusal
	}
	x.g.meters.retried.Inc(1)
	return errRetry
}

func (t *serverAttempt) run() *protocol.Refusal {
	x := t.x
	x.g.meters.attempts.Inc(1)
	t.server.Stats.RequestStarted()
	t.server.Stats.PrefillStarted(x.relativeSize)
	x.slotTaken(t.server.SlotCount())
	t.addBodyInFlight()
	stop := context.AfterFunc(x.ctx, t.conn.Close)
	defer func() {
		stop()
		t.release()
	}()
	copyFrom := x.planCopy(t.server)
	t.track()
	x.out.Reset()
	x.resp.Reset()
	x.g.dialect.Attempt(x.out, x.in, Attempt{
		Server:       t.server.ID,
		Workspace:    x.workspaceName(),
		Remaining:    max(time.Millisecond, x.timeLeft()-returnMargin),
		Priority:     x.priority(),
		CopyFrom:     copyFrom,
		ContinueFrom: x.continuationName(),
		Weights:      x.continuationWeights(),
		LastEvent:    x.events.last,
	})
	sentAt := clock.Now()
	unheard := time.AfterFunc(silenceTimeout, func() { x.g.checkSilence(x.service, sentAt) })
	defer unheard.Stop()
	early, err := t.conn.Exchange(x.out, x.resp, clock.Monotonic(x.deadline).Add(time.Second))
	unheard.Stop()
	t.earlyAnswer = early
	for skipped := 0; err == nil; skipped++ {
		t.reply = x.g.dialect.Reply(&x.resp.Header)
		if t.reply.ID == "" || t.reply.ID == x.call.ID || skipped == maxSkippedAnswers {
			break
		}
		err = t.skipAnswer()
	}
	if err != nil && t.startContinuation() {
		t.conn.Close()
		return errRetry
	}
	if err != nil {
		return t.answerLost(err)
	}
	t.headAt = time.Now()
	return t.handleAnswer(stop)
}

// release records once that the server has finished with the request. The caller may take
// much longer to read the rest of the answer.
func (t *serverAttempt) release() {
	if t.released {
		return
	}
	t.released = true
	t.untrack()
	t.markPrefillDone()
	t.server.Stats.RequestEnded()
	t.x.endTicket()
	t.x.slotReleased(time.Since(t.sentAt), t.server.SlotCount())
	t.removeBodyInFlight()
}

// markPrefillDone records once that the server no longer has to read the prompt.
func (t *serverAttempt) markPrefillDone() {
	if !t.prefillDone {
		t.prefillDone = true
		if t.activeRun != nil {
			t.activeRun.begun.Store(true)
		}
		t.server.Stats.PrefillDone(t.x.relativeSize)
	}
}

// skipAnswer discards an answer that belongs to another request.
func (t *serverAttempt) skipAnswer() error {
	t.unsolicited = true
	if err := discard(t.conn.Body(t.x.resp)); err != nil {
		return err
	}
	t.x.resp.Reset()
	return t.conn.ReadHead(t.x.resp)
}

// discard reads a body to its end. It returns errTooLarge for one that is larger than an answer may be.
func discard(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxAnswerBytes+1))
	if err == nil && n > maxAnswerBytes {
		return errTooLarge
	}
	return err
}

// answerLost ends an attempt whose answer did not arrive.
func (t *serverAttempt) answerLost(err error) *protocol.Refusal {
	t.conn.Close()
	if t.x.callerCtx.Err() != nil {
		t.observeCallerGone(time.Now())
		return callerGone().WithVerdict(protocol.MayHaveRun)
	}
	if t.x.g.requestsEnded() { // The server is not at fault.
		return t.x.afterFailure(protocol.MayHaveRun, true, "the gateway stopped before the answer")
	}
	t.recordUnanswered(err)
	if t.conn.Wrote() {
		t.observeBroken()
	}
	if t.x.ctx.Err() != nil {
		return t.x.afterFailure(protocol.MayHaveRun, true, "the deadline passed before the answer")
	}
	if !t.conn.Wrote() {
		t.x.distrust(t.server, true)
		return t.x.afterFailure(protocol.NotRun, false, "nothing could be sent: "+err.Error())
	}
	if t.conn.Sent() {
		// The server read the whole request and most likely ran it. Of the requests whose
		// answers are lost, only those that a crash hits before they start did not run.
		t.x.countUsage()
	}
	t.recordBodyCrash(err)
	t.recordBrokenConnection(err)
	t.x.distrust(t.server, false)
	return t.x.afterFailure(protocol.MayHaveRun, true, "the answer did not come: "+err.Error())
}

// handleAnswer processes the head of an answer.
func (t *serverAttempt) handleAnswer(stop func() bool) *protocol.Refusal {
	x, status := t.x, t.x.resp.StatusCode()
	if t.reply.Load.Known {
		t.server.Stats.SetReportedLoad(t.reply.Load.Requests, clock.Now())
	}
	x.pace = t.reply.Load.Pace
	if t.reply.ID != "" && t.reply.ID != x.call.ID {
		t.conn.Close()
		t.observeFailure()
		return x.afterFailure(protocol.MayHaveRun, true, "the answer belongs to another request")
	}
	if !t.reply.Foreign {
		x.g.recordReached(t.server)
		t.heardBefore = x.g.contacts.recordAnswer(t.server.ID)
		x.applyFeedback(t.server, &t.reply.Feedback)
	}
	if t.reply.NotRun && !t.reply.Foreign {
		x.g.recordRejection(t.server.ID, t.reply.Load.Requests) // Before the ticket's credit is free.
	}
	x.acceptTicket()
	if t.reply.NotRun {
		return t.handleNotRun(stop)
	}
	if t.reply.Foreign {
		t.conn.Close()
		x.distrust(t.server, true)
		t.observeFailure()
		return x.afterFailure(protocol.MayHaveRun, true, "another process answers at the server's address")
	}
	if !x.weightsMatch(t.reply.Weights) {
		t.conn.Close()
		t.observeFailure()
		return x.afterFailure(protocol.MayHaveRun, true, "the server goes on with other weights")
	}
	x.continuationAccepted(status)
	t.recordWeights(t.reply.Weights)
	x.recordPrefill(t.server, true)
	x.countUsage()
	if x.route.Kind == protocol.RouteStream && status >= 200 && status < 300 {
		return t.relayStream(stop)
	}
	return t.relayWhole(stop)
}

// countUsage counts the request as one that started to run, once regardless of how often it
// is sent.
func (x *exchange) countUsage() {
	if !x.usageCounted {
		x.usageCounted = true
		x.g.countUsage(x.workspaceName())
	}
}

// handleNotRun continues after the server proved that it did not run the request.
func (t *serverAttempt) handleNotRun(stop func() bool) *protocol.Refusal {
	status := t.x.resp.StatusCode()
	t.x.recordPrefill(t.server, false)
	if t.reply.Foreign && t.x.continuation == nil { // For a moved run, this status may also mean that the weights differ.
		t.x.distrust(t.server, true)
	}
	err := discard(t.conn.Body(t.x.resp))
	t.closeOrReuse(err == nil, stop)
	t.recordRejection()
	return t.x.afterFailure(protocol.NotRun, true, "the server turned the request away with status "+fasthttp.StatusMessage(status))
}

// closeOrReuse returns the connection to the pool if its answer was read to the end and the
// connection is still usable, and closes it otherwise.
func (t *serverAttempt) closeOrReuse(readToEnd bool, stop func() bool) {
	t.complete = readToEnd
	defer t.release() // Runs after the connection is returned to the pool, so that the next request finds it.
	if !readToEnd || t.earlyAnswer || t.unsolicited || t.reply.Close || !stop() {
		t.conn.Close()
		return
	}
	t.untrack() // From here on, another request may use the connection.
	t.x.g.pool.Put(t.server.ID, t.conn, t.reply.IdleTimeout)
}

// relayWhole reads an answer to its end before passing any of it on, so that a truncated
// answer can still become a refusal.
func (t *serverAttempt) relayWhole(stop func() bool) *protocol.Refusal {
	x, status := t.x, t.x.resp.StatusCode()
	defer x.answer.Release()
	data, err := x.readWhole(t.conn.Body(x.resp), x.resp.Header.ContentLength())
	t.recordEnd(err)
	err = t.verifyEnd(err)
	if errors.Is(err, errOutOfMemory) {
		return t.refuseForAnswerMemory()
	}
	if err != nil {
		return t.answerLost(err)
	}
	t.closeOrReuse(true, stop)
	x.recordSuccess()
	failure := status >= 500
	if failure {
		t.x.distrust(t.server, false)
		t.observeFailure()
	} else {
		t.x.trust(t.server)
		t.observe(t.answerTimes(time.Now()))
		x.recordPartSuccess()
	}
	if x.headWritten {
		return x.afterFailure(protocol.MayHaveRun, true, "an answer that had begun got no events any more, but status "+fasthttp.StatusMessage(status))
	}
	if impliesNotRun(status) || t.reply.Encoded || (failure && x.state.Repeatable) {
		if refusal := x.afterFailure(protocol.MayHaveRun, true, "the server failed with status "+fasthttp.StatusMessage(status)); refusal == errRetry || impliesNotRun(status) || t.reply.Encoded {
			return refusal
		}
	}
	return x.sendWhole(data)
}

var errTooLarge = errors.New("the answer is too large")

// impliesNotRun reports whether a status tells the caller that its request has not run. Only
// proof from the server justifies such a status.
func impliesNotRun(status int) bool {
	switch status {
	case fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable, fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest:
		return true
	}
	return false
}

// sendWhole writes a complete answer to the caller.
func (x *exchange) sendWhole(data []byte) *protocol.Refusal {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	x.g.dialect.Answer(resp, x.resp)
	resp.SetBodyRaw(data)
	x.firstByte = clock.Since(x.start)
	x.recordAnswered()
	if err := x.answer.WriteResponse(resp); err != nil {
		x.log.Info().Err(err).Msg("caller did not take the answer")
	}
	return nil
}

// recordAnswered counts and logs an answered request.
func (x *exchange) recordAnswered() {
	x.g.meters.answered.Inc(1)
	x.g.meters.countOutcome(outcome{x.routeName(), x.workspaceName(), protocol.Ran})
	x.g.meters.firstByte.Update(x.firstByte)
	x.log.Info().Str("outcome", "answered").Str("server", x.server).Int("status", x.resp.StatusCode()).Int("resent", x.state.Sent).Stringer("framing", x.end.framing).
		Uint64("number", x.index.Number).Int("tokens", x.call.PromptTokens).Float64("pace", float64(x.pace)).Dur("first", x.firstByte).Dur("gap", x.maxGap).Dur("after", clock.Since(x.start)).Msg("request")
}
