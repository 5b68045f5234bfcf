package transport

import (
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/weldstream/weldstream/coordination/attempt"
	"github.com/weldstream/weldstream/coordination/route"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/state"
)

const (
	// messageQueueSize limits the chunks buffered for a slow caller; when it is
	// full, the backend server's connection is not read.
	messageQueueSize = 32
	// urgentQueueSize exceeds the number of urgent messages that a request can
	// receive before they are read.
	urgentQueueSize = 16
	// exportTimeout limits the call that exports a request from a server.
	exportTimeout = 2 * time.Second
	// moveRetryInterval is the delay before another search for a server to move a
	// request to.
	moveRetryInterval = 250 * time.Millisecond
)

// exchange handles one request: it passes messages to attempt.Update and executes
// the returned commands. Only one goroutine at a time runs it.
type exchange struct {
	g       *Gateway
	request *protocol.Request
	row     state.Stream
	log     zerolog.Logger
	started time.Time

	state       attempt.State
	msgs        chan attempt.Msg
	urgent      chan attempt.Msg // urgent messages precede chunks: disconnect, leaving, deadline.
	done        chan struct{}
	finished    sync.Once
	owner       protocol.Owner // owner identifies this run in its claim.
	releaseSlot func()         // releaseSlot returns the slot to the pool.
	claimed     bool           // claimed is set while the claim's outcome is still to be recorded.
	server      atomic.Pointer[state.Server]

	sentAt time.Time // sentAt is the time of the current attempt.

	mu    sync.Mutex // mu guards conns and answers.
	conns map[int]*serverConn

	importAttempt int                   // importAttempt is the attempt that importID belongs to.
	importID      string                // importID is the request's ID on the server to import from; empty if it is the same.
	ends          []uint32              // ends holds the length of text after each token.
	text          strings.Builder       // text is the answer so far.
	ready         []attempt.EmitCmd     // ready holds chunks not yet written to the caller.
	answers       map[int]serviceAnswer // answers holds a plain service's answers by attempt.
	answer        serviceAnswer
	finish        string
	refusal       *protocol.Refusal
	ended         bool
	emitted       bool
}

func (g *Gateway) newExchange(r *protocol.Request, id string) *exchange {
	now := clock.Now()
	return &exchange{
		g:       g,
		request: r,
		row:     state.Stream{Request: id, Key: r.Key, Route: r.Route, Started: now},
		log:     g.log.With().Str("request", id).Str("key", r.Key.String()).Logger(),
		started: now,
		state:   attempt.New(r.Repeatable, g.settings.Limits.Attempts, r.Resume, 0),
		msgs:    make(chan attempt.Msg, messageQueueSize),
		urgent:  make(chan attempt.Msg, urgentQueueSize),
		done:    make(chan struct{}),
		conns:   map[int]*serverConn{},
		answers: map[int]serviceAnswer{},

		releaseSlot: func() {},
	}
}

// post queues an urgent message without blocking; see urgentQueueSize.
func (x *exchange) post(m attempt.Msg) {
	select {
	case x.urgent <- m:
	default:
		x.log.Error().Msg("urgent message dropped")
	}
}

// deliver queues a message in order. It returns false if the request has ended.
func (x *exchange) deliver(m attempt.Msg) bool {
	select {
	case x.msgs <- m:
		return true
	case <-x.done:
		return false
	}
}

// watch starts the deadline timer. The returned function stops it and closes the
// exchange's connections.
func (x *exchange) watch() (end func()) {
	timer := time.AfterFunc(clock.Until(x.request.Deadline), func() { x.post(attempt.DeadlineMsg{}) })
	return func() {
		timer.Stop()
		x.finished.Do(func() { close(x.done) })
		x.cancelAll()
	}
}

// step waits for one message and applies it.
func (x *exchange) step() {
	select {
	case m := <-x.urgent:
		x.apply(m)
		return
	default:
	}
	select {
	case m := <-x.urgent:
		x.apply(m)
	case m := <-x.msgs:
		x.apply(m)
	}
}

// idle reports whether no message is queued, so that the output should be flushed.
func (x *exchange) idle() bool { return len(x.msgs) == 0 && len(x.urgent) == 0 }

func (x *exchange) apply(m attempt.Msg) {
	next, cmds := attempt.Update(x.state, m)
	x.state = next
	for _, cmd := range cmds {
		x.execute(cmd)
	}
}

func (x *exchange) execute(cmd attempt.Cmd) {
	switch cmd := cmd.(type) {
	case attempt.DispatchCmd:
		x.dispatch(cmd)
	case attempt.EmitCmd:
		x.appendChunk(cmd.Chunk)
		x.ready = append(x.ready, cmd)
		x.emitted = true
	case attempt.KeepCmd:
		x.appendChunk(cmd.Chunk)
	case attempt.CancelCmd:
		x.cancel(cmd.Attempt)
	case attempt.ExportCmd:
		x.export(cmd)
	case attempt.RetryCmd:
		x.retry(cmd)
	case attempt.HandOverCmd:
		x.handOver(cmd)
	case attempt.FinishCmd:
		x.end(cmd)
	case attempt.RefuseCmd:
		x.refusal, x.ended = cmd.Refusal, true
	}
}

// appendChunk adds a chunk to the answer. It also records where each token ends; a
// chunk of several tokens can only be split at its end.
func (x *exchange) appendChunk(c attempt.ChunkMsg) {
	x.text.WriteString(c.Text)
	for range c.Tokens {
		x.ends = append(x.ends, uint32(x.text.Len()))
	}
}

// dispatch selects a server and starts the attempt in a goroutine.
func (x *exchange) dispatch(cmd attempt.DispatchCmd) {
	if cmd.Hedge && !x.g.hedging.spend(clock.Now()) {
		x.apply(attempt.FailedMsg{Attempt: cmd.Attempt, Verdict: protocol.NotRun, Reason: "too many hedges"})
		return
	}
	// Every attempt passes this check: the first one, retries, hedges, moves and
	// hand-overs.
	if p := x.g.quarantine.check(x.request); p.Held {
		x.apply(heldMsg(cmd.Attempt, p))
		return
	}
	server, wait, err := x.g.choose(x.request, cmd)
	if err != nil {
		r := protocol.NewRefusal(503, protocol.CodeNoBackend, "%v", err).WithRetryAfter(wait)
		x.apply(attempt.FailedMsg{Attempt: cmd.Attempt, Verdict: protocol.NotRun, Status: r.Status, Code: r.Code, Reason: r.Message, RetryAfter: r.RetryAfter, Final: true})
		return
	}
	x.apply(attempt.SentMsg{Attempt: cmd.Attempt, Server: server.ID, Domain: server.Domain})
	x.trackAttempt(server, cmd)
	x.log.Debug().Int("attempt", cmd.Attempt).Str("server", server.ID).Int("resume", cmd.Resume).Str("move_from", cmd.MoveFrom).Msg("attempt sent")
	c := &call{
		request:       x.request,
		id:            x.row.Request,
		cmd:           cmd,
		server:        server,
		importAddress: x.addressOf(cmd.MoveFrom),
		importID:      x.importIDOf(cmd),
		text:          x.text.String(),
		send:          x.deliver,
		opened:        func(w *serverConn) bool { return x.trackConn(cmd.Attempt, w) },
		leaving:       x.g.leaving,
		backoffs:      x.g.backoffs,
		connBroken:    x.connBroken,
		sent:          time.Now(),
		release:       func() bool { return x.releaseConn(cmd.Attempt) },
	}
	server.Counters.Outstanding.Add(1)
	server.Counters.Sent.Add(1)
	x.g.metrics.attempts.Inc(1)
	go func() {
		defer server.Counters.Outstanding.Add(-1)
		x.run(c)
	}()
	if x.g.isLeaving(server.ID) {
		x.post(attempt.LeavingMsg{Server: server.ID})
	}
}

// connBroken reports to the quarantine that the server's connection ended during
// the request. A leaving server ends requests because it is leaving, so it is not
// reported.
func (x *exchange) connBroken(c *call, err error) {
	if !x.g.isLeaving(c.server.ID) {
		x.g.quarantine.connBroken(x.request, c.server, c.sent, err)
	}
}

// trackAttempt records the server of the current attempt and schedules a hedge.
func (x *exchange) trackAttempt(server *state.Server, cmd attempt.DispatchCmd) {
	if cmd.Hedge {
		x.g.metrics.hedges.Inc(1)
		return
	}
	x.server.Store(server)
	x.row.Server, x.row.Attempt, x.row.Tokens = server.ID, cmd.Attempt, x.state.Received
	x.g.tables.Streams.Update(x.row)
	x.sentAt = clock.Now()
	if x.request.Hedge {
		time.AfterFunc(x.g.hedging.delay(x.request.Route), func() { x.deliver(attempt.HedgeMsg{}) })
	}
}

// end records a complete answer.
func (x *exchange) end(cmd attempt.FinishCmd) {
	x.finish, x.ended = cmd.Finish, true
	x.g.quarantine.recordSuccess(x.request)
	x.g.budget.recordSuccess(clock.Now())
	if x.request.Hedge {
		x.g.hedging.observe(x.request.Route, clock.Since(x.sentAt), clock.Now())
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.answer = x.answers[cmd.Attempt]
}

// importIDOf returns the request's ID on the server to import from. It differs
// from this process's ID only if the request was handed over.
func (x *exchange) importIDOf(cmd attempt.DispatchCmd) string {
	if x.importID != "" && cmd.MoveAttempt == x.importAttempt {
		return x.importID
	}
	return x.row.Request
}

func (x *exchange) run(c *call) {
	if x.request.Kind == protocol.KindService {
		x.g.runService(c, func(a serviceAnswer) {
			x.mu.Lock()
			defer x.mu.Unlock()
			x.answers[c.cmd.Attempt] = a
		})
		return
	}
	x.g.runEngine(c)
}

func (x *exchange) addressOf(server string) string {
	if server == "" {
		return ""
	}
	if s := x.g.tables.Backends.View().Find(server); s != nil {
		return s.Address
	}
	return ""
}

// trackConn registers an attempt's connection for cancellation. If the request has
// already ended, it closes the connection and returns false.
func (x *exchange) trackConn(attempt int, w *serverConn) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	select {
	case <-x.done:
		_ = w.conn.Close()
		return false
	default:
	}
	x.conns[attempt] = w
	return true
}

// releaseConn unregisters an attempt's connection after its response was read to
// the end. It returns false if the connection was closed in the meantime.
func (x *exchange) releaseConn(attempt int) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conns[attempt] == nil {
		return false
	}
	delete(x.conns, attempt)
	return true
}

// cancel closes an attempt's connection, which tells the server to stop.
func (x *exchange) cancel(attempt int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if w := x.conns[attempt]; w != nil {
		_ = w.conn.Close()
		delete(x.conns, attempt)
	}
}

func (x *exchange) cancelAll() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, w := range x.conns {
		_ = w.conn.Close()
	}
}

// export asks the server to end the request and keep its KV cache.
func (x *exchange) export(cmd attempt.ExportCmd) {
	address := x.addressOf(cmd.Server)
	if x.request.Kind == protocol.KindService || address == "" {
		x.post(attempt.ExportedMsg{Attempt: cmd.Attempt})
		return
	}
	if x.state.HandingOver {
		x.requestExport(address, cmd)
		return
	}
	elsewhere := attempt.DispatchCmd{AvoidServers: append([]string{cmd.Server}, x.state.FailedServers...)}
	if _, _, err := x.g.choose(x.request, elsewhere); err != nil {
		// No other server is available: the request stays on the old one and the
		// move is tried again later.
		x.post(attempt.ExportedMsg{Attempt: cmd.Attempt})
		time.AfterFunc(moveRetryInterval, func() { x.post(attempt.LeavingMsg{Server: cmd.Server}) })
		return
	}
	x.requestExport(address, cmd)
}

func (x *exchange) requestExport(address string, cmd attempt.ExportCmd) {
	path := "/v1/requests/" + engineRequestID(x.row.Request, cmd.Attempt) + "/export"
	go func() {
		status, _, err := x.g.pool.call(address, "POST", path, nil, exportTimeout)
		ended := err == nil && status == 200
		if ended {
			x.g.metrics.moves.Inc(1)
		}
		x.deliver(attempt.ExportedMsg{Attempt: cmd.Attempt, Ended: ended})
	}()
}

// retry spends from the retry budget. An answer that has begun is retried without
// spending, since it adds no request that the system had not already accepted.
func (x *exchange) retry(cmd attempt.RetryCmd) {
	x.g.metrics.failures.Inc(1)
	if s := x.server.Load(); s != nil {
		s.Counters.Failed.Add(1)
	}
	x.log.Info().Int("attempt", cmd.Attempt).Stringer("verdict", cmd.Cause.Verdict).Str("cause", cmd.Cause.Reason).Int("held", x.state.Received).Msg("attempt failed")
	if x.state.Received == 0 && !x.g.budget.spend(clock.Now()) {
		r := protocol.NewRefusal(503, protocol.CodeOverloaded, "too many retries: %s", cmd.Cause.Reason)
		x.apply(attempt.RetryMsg{Refused: r.WithVerdict(cmd.Cause.Verdict).WithRetryAfter(retryAfterOverload)})
		return
	}
	x.g.metrics.retries.Inc(1)
	delay := backoff(cmd.Attempt)
	time.AfterFunc(delay, func() { x.deliver(attempt.RetryMsg{}) })
}

const (
	backoffBase         = 10 * time.Millisecond
	maxBackoff          = time.Second
	retryAfterNoBackend = 2 * time.Second
	retryAfterOverload  = time.Second
)

// backoff returns the delay after attempt n, with full jitter.
func backoff(n int) time.Duration {
	ceiling := min(backoffBase<<min(n, 10), maxBackoff)
	return rand.N(ceiling)
}

// choose selects a server by the current outstanding requests. On an error, wait
// is the time after which a server may be available.
func (g *Gateway) choose(r *protocol.Request, cmd attempt.DispatchCmd) (s *state.Server, wait time.Duration, err error) {
	began := clock.Now()
	defer func() { g.metrics.decision.UpdateSince(began) }()
	view := g.tables.Backends.View()
	m := route.ChooseMsg{
		Model:        r.Model,
		Adapter:      r.Adapter,
		Prefix:       r.PrefixHash,
		Rand:         rand.Uint64(),
		Sheddable:    r.Priority < protocol.PriorityNormal,
		AvoidServers: cmd.AvoidServers,
		AvoidDomains: cmd.AvoidDomains,
	}
	if r.Kind == protocol.KindService {
		m.Service = r.Route
	}
	counts := g.counts.Get().(*[]int32)
	defer g.counts.Put(counts)
	*counts = view.Outstanding(*counts)
	i, err := g.chooser.Choose(view, *counts, g.backoffs.avoid(m))
	if err == nil {
		return &view.Servers[i], 0, nil
	}
	g.backoffs.prune(view)
	if wait, backingOff := g.backoffs.shortestWait(view, m); backingOff {
		return nil, wait, err
	}
	return nil, retryAfterNoBackend, err
}

func (g *Gateway) isLeaving(server string) bool {
	s := g.tables.Backends.View().Find(server)
	return s == nil || s.Leaving
}
