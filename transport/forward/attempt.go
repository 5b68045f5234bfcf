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
	// backMargin is kept of the deadline for the way back.
	backMargin = 5 * time.Millisecond
	// maxAnswer bounds an answer that is read whole.
	maxAnswer = 16 << 20
	// maxSkipped bounds the answers of other requests that are passed over.
	maxSkipped = 4
)

// try is one attempt at one server.
type try struct {
	x       *exchange
	server  *place.Server
	conn    *backend.Conn
	reply   Reply
	early   bool
	read    bool     // read says that the server has read the prompt.
	running *running // running is nil where the answer cannot be moved.
	extra   bool     // extra says that the connection delivered what was not asked for.

	began    time.Time // began is when the request was sent.
	first    time.Time // first is when the first events came; zero before.
	last     time.Time // last is when the latest events came.
	pieces   int       // pieces are how often events came.
	observed bool      // observed says that the answer was counted for a roll-out.
	left     bool      // left says that the request has left the server.
	done     bool      // done says that its answer was read to its end.
	crashes  int       // crashes are how often the server had crashed when the request was sent.
}

// attempt sends the request to a server. It returns nil when the request is
// answered, errAgain when another attempt is to follow.
func (x *exchange) attempt() *protocol.Refusal {
	x.ended()
	// Each send passes here: the first one, resends, runs that are moved, trials of a version.
	if refusal := x.refusedHeld(false); refusal != nil {
		return x.afterEarlierAttempts(refusal)
	}
	server, refusal := x.choose()
	if refusal != nil {
		return x.afterEarlierAttempts(refusal)
	}
	x.server = server.ID
	if x.continuation == nil {
		x.avoid = append(x.avoid, server.ID) // A moved run may come back to where it was.
	}
	conn, refusal := x.connect(server)
	if refusal != nil {
		return refusal
	}
	if refusal := x.refusedHeld(true); refusal != nil { // Another one was tried meanwhile.
		conn.Close()
		return x.afterEarlierAttempts(refusal)
	}
	if x.g.words.resting(server.ID) { // It asked for rest while the connection was made.
		conn.Close()
		return x.turnedBack()
	}
	x.noteAttempt(server, conn)
	x.sentTo(server)
	x.g.noteSent(server.ID)
	t := &try{x: x, server: server, conn: conn, began: time.Now()}
	return t.run()
}

// connect returns a connection to a server that the request may be sent over, or why
// there is none.
func (x *exchange) connect(server *place.Server) (*backend.Conn, *protocol.Refusal) {
	conn, err := x.g.pool.Get(server.ID, server.Address, clock.Steady(x.deadline))
	if errors.Is(err, backend.ErrFull) {
		return nil, x.noConnection()
	}
	if err != nil {
		x.g.noteConnect(server, 0, true)
		x.distrust(server, true)
		return nil, x.failed(protocol.NotRun, false, "the server cannot be reached: "+err.Error())
	}
	// A moved run was let in when it began, and is the same one.
	if x.workspace != nil && !x.route.Open && x.continuation == nil && !x.g.fresh() {
		conn.Close()
		return nil, x.afterEarlierAttempts(staleCatalog())
	}
	if !conn.Used() {
		x.g.noteConnect(server, conn.ConnectTime(), false)
	}
	return conn, nil
}

// noteAttempt counts and logs an attempt that is about to be sent.
func (x *exchange) noteAttempt(server *place.Server, conn *backend.Conn) {
	distance := x.g.distance(server)
	conn.Count(&x.g.meters.distances.bytes[distance])
	x.g.meters.distances.attempts[distance].Inc(1)
	x.log.Info().Str("server", server.ID).Str("domain", server.Domain).Str("region", x.g.cfg.Topology.Region(server.Domain)).
		Stringer("distance", distance).Int("outstanding", server.Stats.Outstanding()).Bool("placed", x.placed.Server != "").
		Uint8("lane", uint8(x.lane)).Int("sent", x.state.Sent).Bool("kept", conn.Used()).
		Int64("left", x.left().Milliseconds()).Dur("waited", clock.Since(x.start)).Str("go_on", x.copyName()).Msg("attempt")
}

// afterEarlierAttempts returns a refusal to send the request once more. If an earlier
// attempt may have run, the refusal must not say not-run.
func (x *exchange) afterEarlierAttempts(refusal *protocol.Refusal) *protocol.Refusal {
	if !x.state.MayHaveRun {
		return refusal
	}
	return refusal.WithVerdict(protocol.MayHaveRun).WithStatus(protocol.StatusBadGateway)
}

// distrust notes a failure that speaks against a server.
func (x *exchange) distrust(s *place.Server, hard bool) {
	if s.Stats.RequestFailed(hard, clock.Now()) {
		x.log.Warn().Str("server", s.ID).Bool("hard", hard).Int("outstanding", s.Stats.Outstanding()).Msg("server distrusted")
	}
}

// trust notes an answer that speaks for a server.
func (x *exchange) trust(s *place.Server) {
	if s.Stats.RequestSucceeded() {
		x.log.Info().Str("server", s.ID).Msg("server trusted again")
	}
}

// failed decides what follows an attempt without an answer that counts.
func (x *exchange) failed(v protocol.Verdict, reached bool, reason string) *protocol.Refusal {
	if x.gone.Err() != nil {
		return callerGone().WithVerdict(v)
	}
	if x.movedFailed(v) {
		return errAgain
	}
	next, refusal := resend.Next(x.state, resend.FailedMsg{
		Verdict:  v,
		Reached:  reached,
		Reason:   reason,
		Budget:   func() bool { return x.g.retries(x.service) },
		TimeLeft: x.left(),
		Target:   x.route.Target,
	})
	x.state = next
	x.log.Info().Str("server", x.server).Stringer("verdict", v).Bool("reached", reached).Str("reason", reason).
		Int("sent", next.Sent).Bool("again", refusal == nil).Msg("attempt failed")
	if refusal != nil {
		return refusal
	}
	x.g.meters.resent.Inc(1)
	return errAgain
}

func (t *try) run() *protocol.Refusal {
	x := t.x
	x.g.meters.attempts.Inc(1)
	t.server.Stats.RequestStarted()
	t.server.Stats.PrefillStarted(x.size)
	x.takesSlot(t.server.SlotCount())
	t.beginBytes()
	stop := context.AfterFunc(x.ctx, t.conn.Close)
	defer func() {
		stop()
		t.leave()
	}()
	copyFrom := x.planCopy(t.server)
	t.track()
	x.out.Reset()
	x.resp.Reset()
	x.g.dialect.Attempt(x.out, x.in, Attempt{
		Server:    t.server.ID,
		Workspace: x.workspaceName(),
		Remaining: max(time.Millisecond, x.left()-backMargin),
		Priority:  x.priority(),
		CopyFrom:  copyFrom,
		GoOn:      x.copyName(),
		Weights:   x.copyWeights(),
		LastEvent: x.events.last,
	})
	early, err := t.conn.Exchange(x.out, x.resp, clock.Steady(x.deadline).Add(time.Second))
	t.early = early
	for skipped := 0; err == nil; skipped++ {
		t.reply = x.g.dialect.Reply(&x.resp.Header)
		if t.reply.ID == "" || t.reply.ID == x.call.ID || skipped == maxSkipped {
			break
		}
		err = t.skip()
	}
	if err != nil && t.continuesElsewhere() {
		t.conn.Close()
		return errAgain
	}
	if err != nil {
		return t.lost(err)
	}
	return t.answered(stop)
}

// leave notes once that the server has done with the request: its caller may take the
// rest of the answer for much longer.
func (t *try) leave() {
	if t.left {
		return
	}
	t.left = true
	t.untrack()
	t.hasRead()
	t.server.Stats.RequestEnded()
	t.x.givesBack(time.Since(t.began), t.server.SlotCount())
	t.endBytes()
}

// hasRead notes once that the server need not read the prompt any more.
func (t *try) hasRead() {
	if !t.read {
		t.read = true
		if t.running != nil {
			t.running.begun.Store(true)
		}
		t.server.Stats.PrefillDone(t.x.size)
	}
}

func (x *exchange) workspaceName() string {
	if x.workspace == nil {
		return ""
	}
	return x.workspace.Name
}

func (x *exchange) priority() int {
	if x.workspace != nil && x.workspace.HasPriority {
		return x.workspace.Priority
	}
	return x.route.Priority
}

// skip passes over an answer that belongs to another request.
func (t *try) skip() error {
	t.extra = true
	body, err := t.conn.Body(t.x.resp)
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, body); err != nil {
		return err
	}
	t.x.resp.Reset()
	return t.conn.Head(t.x.resp)
}

// lost ends an attempt whose answer did not come.
func (t *try) lost(err error) *protocol.Refusal {
	t.conn.Close()
	if t.x.gone.Err() != nil {
		t.callerLeft(time.Now())
		return callerGone().WithVerdict(protocol.MayHaveRun)
	}
	if t.conn.Wrote() {
		t.failedAnswer()
	}
	if t.x.ctx.Err() != nil {
		return t.x.failed(protocol.MayHaveRun, true, "the deadline passed before the answer")
	}
	if !t.conn.Wrote() {
		t.x.distrust(t.server, true)
		return t.x.failed(protocol.NotRun, false, "nothing could be sent: "+err.Error())
	}
	if t.conn.Sent() {
		// The server read all of it and most likely ran it: of the requests whose answers
		// are lost, only those that a crash catches before they begin did not run.
		t.x.count()
	}
	t.crashed(err)
	t.brokeOff(err)
	t.x.distrust(t.server, false)
	return t.x.failed(protocol.MayHaveRun, true, "the answer did not come: "+err.Error())
}

// answered goes on with the head of an answer.
func (t *try) answered(stop func() bool) *protocol.Refusal {
	x, status := t.x, t.x.resp.StatusCode()
	if t.reply.Load.Known {
		t.server.Stats.SetReportedLoad(t.reply.Load.Requests, clock.Now())
	}
	x.pace = t.reply.Load.Pace
	if t.reply.ID != "" && t.reply.ID != x.call.ID {
		t.conn.Close()
		t.failedAnswer()
		return x.failed(protocol.MayHaveRun, true, "the answer belongs to another request")
	}
	if !t.reply.Foreign {
		x.heard(t.server, &t.reply.Says)
	}
	if t.reply.NotRun {
		return t.turnedAway(stop)
	}
	if !x.sameWeights(t.reply.Weights) {
		t.conn.Close()
		t.failedAnswer()
		return x.failed(protocol.MayHaveRun, true, "the server goes on with other weights")
	}
	x.movedTaken(status)
	t.noteWeights(t.reply.Weights)
	x.notePromptRead(t.server, true)
	x.count()
	if x.route.Kind == protocol.RouteStream && status >= 200 && status < 300 {
		return t.stream(stop)
	}
	return t.whole(stop)
}

// count counts the request among those that began to run, once however often it is
// sent.
func (x *exchange) count() {
	if !x.counted {
		x.counted = true
		x.g.count(x.workspaceName())
	}
}

// turnedAway goes on after a server proved that it did not run the request.
func (t *try) turnedAway(stop func() bool) *protocol.Refusal {
	status := t.x.resp.StatusCode()
	t.x.notePromptRead(t.server, false)
	if t.reply.Foreign && t.x.continuation == nil { // Of a moved run it may say that the weights are others.
		t.x.distrust(t.server, true)
	}
	body, err := t.conn.Body(t.x.resp)
	if err == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(body, maxAnswer))
	}
	t.finish(err == nil, stop)
	return t.x.failed(protocol.NotRun, true, "the server turned the request away with status "+fasthttp.StatusMessage(status))
}

// finish keeps the connection if its answer was read to its end and nothing
// speaks against it.
func (t *try) finish(whole bool, stop func() bool) {
	t.done = whole
	defer t.leave() // Behind the connection's return, so that the next request finds it.
	if !whole || t.early || t.extra || t.reply.Close || !stop() {
		t.conn.Close()
		return
	}
	t.untrack() // From here on the connection may be another request's.
	t.x.g.pool.Put(t.server.ID, t.conn, t.reply.Keeps)
}

// whole relays an answer that is read to its end before a byte of it is passed
// on, so that one that breaks off can still become a refusal.
func (t *try) whole(stop func() bool) *protocol.Refusal {
	x, status := t.x, t.x.resp.StatusCode()
	body, err := t.conn.Body(x.resp)
	defer x.answer.Free()
	var data []byte
	if err == nil {
		data, err = x.readWhole(body, x.resp.Header.ContentLength())
	}
	if errors.Is(err, errNoRoom) {
		return t.noRoomForAnswer()
	}
	if err != nil {
		return t.lost(err)
	}
	t.finish(true, stop)
	x.endedWell()
	failure := status >= 500
	if failure {
		t.x.distrust(t.server, false)
		t.failedAnswer()
	} else {
		t.x.trust(t.server)
		t.observe(t.times(time.Now()))
	}
	if x.headed {
		return x.failed(protocol.MayHaveRun, true, "an answer that had begun got no events any more, but status "+fasthttp.StatusMessage(status))
	}
	if promises(status) || t.reply.Encoded || (failure && x.state.Repeatable) {
		if refusal := x.failed(protocol.MayHaveRun, true, "the server failed with status "+fasthttp.StatusMessage(status)); refusal == errAgain || promises(status) || t.reply.Encoded {
			return refusal
		}
	}
	return x.pass(data)
}

var errTooLarge = errors.New("the answer is too large")

// promises reports whether a status tells a caller that its request has not run,
// which only proof from the server may say.
func promises(status int) bool {
	switch status {
	case fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable, fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest:
		return true
	}
	return false
}

// pass writes a whole answer to the caller.
func (x *exchange) pass(data []byte) *protocol.Refusal {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	x.g.dialect.Answer(resp, x.resp)
	resp.SetBodyRaw(data)
	x.first = clock.Since(x.start)
	x.note()
	if err := x.answer.Whole(resp); err != nil {
		x.log.Info().Err(err).Msg("answer not taken")
	}
	return nil
}

// note logs the end of an answered request.
func (x *exchange) note() {
	x.g.meters.answered.Inc(1)
	x.g.meters.end(outcome{x.routeName(), x.workspaceName(), protocol.Ran})
	x.g.meters.first.Update(x.first)
	x.log.Info().Str("outcome", "answered").Str("server", x.server).Int("status", x.resp.StatusCode()).Int("resent", x.state.Sent).
		Uint64("number", x.index.Number).Int("tokens", x.call.PromptTokens).Float64("pace", float64(x.pace)).Dur("first", x.first).Dur("gap", x.gap).Dur("after", clock.Since(x.start)).Msg("request")
}
