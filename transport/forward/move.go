package forward

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/weldstream/weldstream/coordination/move"
	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

const (
	// unbegunMoveLead is how long before its server ends a run is moved even if its first
	// event has not arrived: until then the move waits for that event.
	unbegunMoveLead = 500 * time.Millisecond
	// maxMoveDelay is the longest time from the departure notice to the start of the moves,
	// so that a run refused by its target can still return to its source.
	maxMoveDelay = 1500 * time.Millisecond
	// maxSourceReturn is how long after the departure notice a run may return to its source:
	// 1.5 s until its move starts plus the duration of most moves. A leaving server may stop
	// accepting requests some seconds after the notice, which itself may arrive a second
	// late.
	maxSourceReturn = 2 * time.Second
	// moveInterval is how often a leaving server is checked for runs to move: some receive
	// their first event only now, and others could not be copied before.
	moveInterval = 40 * time.Millisecond
	// maxConcurrentMoves bounds the runs of one server that a gateway moves at a time, as
	// their copies share the server's link.
	maxConcurrentMoves = 4
	// departureGrace is how long after its expected end a server is still called: the
	// platform's notice is old when it arrives, and servers often run longer.
	departureGrace = time.Second
	// copyTimeout bounds a call that copies a run or frees a copy. A slower call would be too
	// late: platforms give a leaving server only a few seconds.
	copyTimeout = 600 * time.Millisecond
	// streamCloseTimeout is how long the server of a stopped run may take to deliver its last
	// events and end the stream. The next server generates later events again.
	streamCloseTimeout = 150 * time.Millisecond
	// maxCallAnswerBytes bounds the answer to such a call, which holds little more than the
	// copy's handle.
	maxCallAnswerBytes = 64 << 10
)

// runMoves tracks the running answers that can be moved, and the servers that are leaving.
type runMoves struct {
	mover    Mover    // mover is nil if nothing is moved.
	reporter Reporter // reporter is nil if servers are not asked for their state.

	mu          sync.Mutex                         // mu guards the fields below.
	runs        map[string]map[*activeRun]struct{} // runs are the runs by server ID.
	notices     map[string]departureNotice         // notices are the first departure notices of leaving servers.
	selfNotices map[string]departureNotice         // selfNotices are the notices that servers gave themselves.
	askedAt     time.Time                          // askedAt is when servers were last asked for their state.
	moving      map[string]bool                    // moving are the leaving servers for which moveRuns is active.
	lastWeights map[string]string                  // lastWeights are the weight versions that servers named in their last answers.
}

// init initializes the maps.
func (m *runMoves) init() {
	m.runs = map[string]map[*activeRun]struct{}{}
	m.selfNotices = map[string]departureNotice{}
	m.moving = map[string]bool{}
	m.lastWeights = map[string]string{}
}

// departureNotice announces that a server is leaving.
type departureNotice struct {
	at  time.Time // at is when the notice arrived.
	end time.Time // end is when the server ends according to the notice.
}

// WithMover sets the translator of the calls that move runs. Without it, nothing is moved.
func WithMover(m Mover) Option { return func(g *Gateway) { g.moves.mover = m } }

// activeRun is an answer that a server is generating.
type activeRun struct {
	g        *Gateway
	attempt  *serverAttempt
	log      zerolog.Logger
	call     protocol.Call
	server   *place.Server
	listedID string // listedID is the server's ID in the latest list, guarded by runMoves.mu.
	priority int
	noRetry  bool // noRetry reports that the request is not repeatable: without a move its answer is lost.
	// weights is the version of the model's weights that produces the answer; empty if
	// unknown. Only the exchange's goroutine uses it.
	weights string
	begun   atomic.Bool // begun reports that the first event has arrived.
	moving  atomic.Bool // moving reports that a goroutine is moving the run.

	mu            sync.Mutex // mu guards the fields below.
	state         move.State
	stopReply     move.Outcome  // stopReply is the answer to the stop.
	stopAnswered  chan struct{} // stopAnswered is closed when the server answers the stop or copyTimeout has passed; nil before the stop.
	moveStartedAt time.Time     // moveStartedAt is when the move started; zero before that.
	noticedAt     time.Time     // noticedAt is when the departure notice that caused the move arrived.
}

// track registers an answer that is about to start, if it can be moved.
func (t *serverAttempt) track() {
	x := t.x
	if x.g.moves.mover == nil || x.route.Kind != protocol.RouteStream || x.copyRate() <= 0 {
		return
	}
	r := &activeRun{g: x.g, attempt: t, log: x.log, call: x.call, server: t.server, listedID: t.server.ID, priority: x.priority(), noRetry: !x.state.Repeatable}
	t.activeRun = r
	m := &x.g.moves
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.runs[t.server.ID] == nil {
		m.runs[t.server.ID] = map[*activeRun]struct{}{}
	}
	m.runs[t.server.ID][r] = struct{}{}
	x.g.startMoving(t.server)
}

// recordWeights records the version of the weights with which a server generates the answer,
// if the server names it.
func (t *serverAttempt) recordWeights(weights string) {
	if t.activeRun == nil || weights == "" {
		return
	}
	t.activeRun.weights = weights
	m := &t.x.g.moves
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastWeights[t.server.ID] = weights
}

// untrack removes an answer that has ended at its server. A run that continues elsewhere
// keeps its copy until the next server answers.
func (t *serverAttempt) untrack() {
	r := t.activeRun
	if r == nil {
		return
	}
	m := &t.x.g.moves
	m.mu.Lock()
	delete(m.runs[r.listedID], r)
	if len(m.runs[r.listedID]) == 0 {
		delete(m.runs, r.listedID)
	}
	m.mu.Unlock()
	if t.x.continuation == nil || t.x.continuation.run != r {
		r.apply(move.EndedMsg{})
	}
}

// apply advances the move's state by a message. It frees copies itself, as their order does
// not matter, and returns the other commands to its caller.
func (r *activeRun) apply(m move.Msg) (rest []move.Cmd) {
	r.mu.Lock()
	next, cmds := move.Next(r.state, m)
	if next.Phase != r.state.Phase && !r.moveStartedAt.IsZero() {
		r.log.Info().Str("server", r.server.ID).Str("target", next.Target).Stringer("phase", next.Phase).Bool("at_source", next.AtSource).
			Int("tries", next.FailedCopies).Dur("after", r.since()).Msg("move: phase changed")
	}
	r.g.meters.copiesHeld.Inc(copiesHeld(next) - copiesHeld(r.state))
	r.state = next
	for _, c := range cmds {
		if _, ok := c.(move.StopCmd); ok {
			r.stopAnswered = make(chan struct{})
		}
	}
	r.mu.Unlock()
	for _, c := range cmds {
		switch c := c.(type) {
		case move.FreeCmd:
			r.g.meters.copiesFreed.Inc(1)
			go r.free(c)
		default:
			rest = append(rest, c)
		}
	}
	return rest
}

// copiesHeld returns 1 for a run of which a copy exists, and 0 otherwise.
func copiesHeld(s move.State) int64 {
	if s.Handle == "" {
		return 0
	}
	return 1
}

// since returns the time since the move started; 0 before that. The caller must hold r.mu.
func (r *activeRun) since() time.Duration {
	if r.moveStartedAt.IsZero() {
		return 0
	}
	return clock.Since(r.moveStartedAt)
}

// phase returns the phase of the run's move.
func (r *activeRun) phase() move.Phase {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Phase
}

// move copies a run to another server and stops it at its own server. It reports whether the
// copy was made.
func (r *activeRun) move(n departureNotice) (copied bool) {
	if r.g.feedback.backingOff(r.server.ID) {
		return false // Retried after the backoff, if the server still exists then.
	}
	view, now := r.g.view.Load(), clock.Now()
	target := place.MoveTarget(view, r.server, place.ChooseMsg{Rand: rand.Uint64(), Now: now, Avoid: r.g.feedback.excludedTargets()})
	if target == nil {
		return false // Retried after moveInterval.
	}
	r.mu.Lock()
	if r.moveStartedAt.IsZero() {
		r.moveStartedAt = now
	}
	r.noticedAt = n.at
	r.mu.Unlock()
	for _, c := range r.apply(move.LeavingMsg{Target: target.ID}) {
		if _, ok := c.(move.CopyCmd); !ok {
			continue
		}
		r.g.meters.moves.Inc(1)
		reply := r.requestCopy(target, false)
		if reply.Outcome == move.NoRun && !r.begun.Load() {
			reply.Outcome = move.Busy // The run is queued and may start at any moment.
		}
		for _, c := range r.apply(move.CopiedMsg{Outcome: reply.Outcome, Handle: reply.Handle}) {
			if _, ok := c.(move.StopCmd); ok {
				copied = true
				r.stop(target)
			}
		}
	}
	return copied
}

// stop makes the server stop the run and copy the rest of its memory. The run continues at
// the target once its stream has ended, which closeStream enforces.
func (r *activeRun) stop(target *place.Server) {
	reply := r.requestCopy(target, true)
	r.apply(move.StoppedMsg{Outcome: reply.Outcome, Handle: reply.Handle})
	r.mu.Lock()
	r.stopReply = reply.Outcome
	close(r.stopAnswered)
	stopped := r.state.Phase == move.Stopped || r.state.Phase == move.Going
	r.mu.Unlock()
	if !stopped {
		return
	}
	time.AfterFunc(streamCloseTimeout, r.closeStream)
}

// closeStream closes the stream of a stopped run that has not ended by itself.
func (r *activeRun) closeStream() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state.Phase == move.Stopped {
		r.attempt.conn.Close()
	}
}
