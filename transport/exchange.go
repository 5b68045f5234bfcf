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
	// messageQueue bounds the chunks that wait for a slow caller; beyond it the
	// backend server's connection is not read.
	messageQueue = 32
	// urgentQueue is longer than the urgent messages that a request can get before
	// they are read.
	urgentQueue = 16
	// exportTimeout bounds the question whether a server ended a request.
	exportTimeout = 2 * time.Second
	// moveRetry is between two looks for a server to move a request to.
	moveRetry = 250 * time.Millisecond
)

// exchange carries one request: it feeds messages to attempt.Update and
// carries out its commands. One goroutine at a time runs it.
type exchange struct {
	g       *Gateway
	request *protocol.Request
	row     state.Stream
	log     zerolog.Logger
	started time.Time

	state     attempt.State
	msgs      chan attempt.Msg
	urgent    chan attempt.Msg // urgent overtakes the chunks: hang-up, leaving, deadline.
	done      chan struct{}
	finished  sync.Once
	owner     protocol.Owner // owner is this run's name in its claim.
	leavePool func()         // leavePool gives the slot of the pool back.
	claimed   bool           // claimed says that an outcome is owed to the claim.
	server    atomic.Pointer[state.Server]

	sentAt time.Time // sentAt is when the current attempt was sent.

	mu    sync.Mutex // mu guards wires and answers.
	wires map[int]*wire

	movedAt int                   // movedAt is the attempt that moveID belongs to.
	moveID  string                // moveID is the request's name at the server to import from; empty means its own.
	ends    []uint32              // ends are the lengths of text after each token.
	text    strings.Builder       // text is the answer so far.
	ready   []attempt.EmitCmd     // ready are chunks not yet written to the caller.
	answers map[int]serviceAnswer // answers are a plain service's, by attempt.
	answer  serviceAnswer
	finish  string
	refusal *protocol.Refusal
	over    bool
	emitted bool
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
		msgs:    make(chan attempt.Msg, messageQueue),
		urgent:  make(chan attempt.Msg, urgentQueue),
		done:    make(chan struct{}),
		wires:   map[int]*wire{},
		answers: map[int]serviceAnswer{},

		leavePool: func() {},
	}
}

// post sends an urgent message without waiting; see urgentQueue.
func (x *exchange) post(m attempt.Msg) {
	select {
	case x.urgent <- m:
	default:
		x.log.Error().Msg("urgent message dropped")
	}
}

// deliver sends a message in its order, or gives up when the request is over.
func (x *exchange) deliver(m attempt.Msg) bool {
	select {
	case x.msgs <- m:
		return true
	case <-x.done:
		return false
	}
}

// watch starts the deadline. The returned func releases what the exchange
// holds.
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

// idle reports whether no message waits, so that a flush is due.
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
		x.keep(cmd.Chunk)
		x.ready = append(x.ready, cmd)
		x.emitted = true
	case attempt.KeepCmd:
		x.keep(cmd.Chunk)
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
		x.refusal, x.over = cmd.Refusal, true
	}
}

// keep adds a chunk to the answer so far. The end of each token is kept too; a
// chunk of several tokens can only be cut at its end.
func (x *exchange) keep(c attempt.ChunkMsg) {
	x.text.WriteString(c.Text)
	for range c.Tokens {
		x.ends = append(x.ends, uint32(x.text.Len()))
	}
}

// dispatch chooses a server and starts the attempt's goroutine.
func (x *exchange) dispatch(cmd attempt.DispatchCmd) {
	if cmd.Hedge && !x.g.hedges.spend(clock.Now()) {
		x.apply(attempt.FailedMsg{Attempt: cmd.Attempt, Verdict: protocol.NotRun, Reason: "too many hedges"})
		return
	}
	// Each attempt passes here: the first one, retries, hedges, runs that are moved or handed over.
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
	x.follow(server, cmd)
	x.log.Debug().Int("attempt", cmd.Attempt).Str("server", server.ID).Int("resume", cmd.Resume).Str("move_from", cmd.MoveFrom).Msg("attempt sent")
	c := &call{
		request: x.request,
		id:      x.row.Request,
		cmd:     cmd,
		server:  server,
		moveAt:  x.addressOf(cmd.MoveFrom),
		moveID:  x.moveIDOf(cmd),
		text:    x.text.String(),
		send:    x.deliver,
		opened:  func(w *wire) bool { return x.hold(cmd.Attempt, w) },
		leaving: x.g.leaving,
		rests:   x.g.rests,
		broke:   x.broke,
		sent:    time.Now(),
		release: func() bool { return x.release(cmd.Attempt) },
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

// broke notes that the server's connection ended under the request. A server that leaves
// ends requests for that reason.
func (x *exchange) broke(c *call, err error) {
	if !x.g.isLeaving(c.server.ID) {
		x.g.quarantine.broke(x.request, c.server, c.sent, err)
	}
}

// follow notes where the request runs, and has a late answer asked for a
// second time.
func (x *exchange) follow(server *state.Server, cmd attempt.DispatchCmd) {
	if cmd.Hedge {
		x.g.metrics.hedges.Inc(1)
		return
	}
	x.server.Store(server)
	x.row.Server, x.row.Attempt, x.row.Tokens = server.ID, cmd.Attempt, x.state.Received
	x.g.tables.Streams.Update(x.row)
	x.sentAt = clock.Now()
	if x.request.Hedge {
		time.AfterFunc(x.g.hedges.wait(x.request.Route), func() { x.deliver(attempt.HedgeMsg{}) })
	}
}

// end notes the whole answer.
func (x *exchange) end(cmd attempt.FinishCmd) {
	x.finish, x.over = cmd.Finish, true
	x.g.quarantine.endedWell(x.request)
	x.g.budget.success(clock.Now())
	if x.request.Hedge {
		x.g.hedges.observe(x.request.Route, clock.Since(x.sentAt), clock.Now())
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.answer = x.answers[cmd.Attempt]
}

// moveIDOf returns the name under which the server to import from knows the
// request: another one only if it was handed over.
func (x *exchange) moveIDOf(cmd attempt.DispatchCmd) string {
	if x.moveID != "" && cmd.MoveAttempt == x.movedAt {
		return x.moveID
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

// hold remembers an attempt's connection, so that it can be dropped. It
// reports false when the request is over already.
func (x *exchange) hold(attempt int, w *wire) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	select {
	case <-x.done:
		_ = w.conn.Close()
		return false
	default:
	}
	x.wires[attempt] = w
	return true
}

// release gives up an attempt's connection that was read to its end. It
// reports false when the connection was dropped in the meantime.
func (x *exchange) release(attempt int) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.wires[attempt] == nil {
		return false
	}
	delete(x.wires, attempt)
	return true
}

// cancel drops an attempt's connection, by which the server learns of it.
func (x *exchange) cancel(attempt int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if w := x.wires[attempt]; w != nil {
		_ = w.conn.Close()
		delete(x.wires, attempt)
	}
}

func (x *exchange) cancelAll() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, w := range x.wires {
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
		x.askExport(address, cmd)
		return
	}
	elsewhere := attempt.DispatchCmd{AvoidServers: append([]string{cmd.Server}, x.state.FailedServers...)}
	if _, _, err := x.g.choose(x.request, elsewhere); err != nil {
		// Nowhere to go yet: the old server goes on, and is asked again later.
		x.post(attempt.ExportedMsg{Attempt: cmd.Attempt})
		time.AfterFunc(moveRetry, func() { x.post(attempt.LeavingMsg{Server: cmd.Server}) })
		return
	}
	x.askExport(address, cmd)
}

func (x *exchange) askExport(address string, cmd attempt.ExportCmd) {
	path := "/v1/requests/" + engineRequestID(x.row.Request, cmd.Attempt) + "/export"
	go func() {
		status, _, err := x.g.wires.call(address, "POST", path, nil, exportTimeout)
		ended := err == nil && status == 200
		if ended {
			x.g.metrics.moves.Inc(1)
		}
		x.deliver(attempt.ExportedMsg{Attempt: cmd.Attempt, Ended: ended})
	}()
}

// retry asks the budget. An answer that has begun goes on without asking: it
// adds no request that the system had not taken on.
func (x *exchange) retry(cmd attempt.RetryCmd) {
	x.g.metrics.failures.Inc(1)
	if s := x.server.Load(); s != nil {
		s.Counters.Failed.Add(1)
	}
	x.log.Info().Int("attempt", cmd.Attempt).Stringer("verdict", cmd.Cause.Verdict).Str("cause", cmd.Cause.Reason).Int("held", x.state.Received).Msg("attempt failed")
	if x.state.Received == 0 && !x.g.budget.spend(clock.Now()) {
		r := protocol.NewRefusal(503, protocol.CodeOverloaded, "too many retries: %s", cmd.Cause.Reason)
		x.apply(attempt.RetryMsg{Refused: r.WithVerdict(cmd.Cause.Verdict).WithRetryAfter(retryOverload)})
		return
	}
	x.g.metrics.retries.Inc(1)
	delay := backoff(cmd.Attempt)
	time.AfterFunc(delay, func() { x.deliver(attempt.RetryMsg{}) })
}

const (
	backoffBase    = 10 * time.Millisecond
	backoffMost    = time.Second
	retryNoBackend = 2 * time.Second
	retryOverload  = time.Second
)

// backoff returns a delay with full jitter before the attempt after n.
func backoff(n int) time.Duration {
	most := min(backoffBase<<min(n, 10), backoffMost)
	return rand.N(most)
}

// choose copies the counts and asks the chooser. With an error, wait is when there may be a
// server.
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
	i, err := g.chooser.Choose(view, *counts, g.rests.avoid(m))
	if err == nil {
		return &view.Servers[i], 0, nil
	}
	g.rests.forget(view)
	if wait, rests := g.rests.free(view, m); rests {
		return nil, wait, err
	}
	return nil, retryNoBackend, err
}

func (g *Gateway) isLeaving(server string) bool {
	s := g.tables.Backends.View().Find(server)
	return s == nil || s.Leaving
}
