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
	// moveUnbegun is how long before its server ends a run is moved although its first
	// event has not come: until then the move waits for it.
	moveUnbegun = 500 * time.Millisecond
	// moveLatest is how long behind the notice moves begin at the latest, so that a run
	// which its target refuses can go back to its source.
	moveLatest = 1500 * time.Millisecond
	// sourceLatest is how long behind the notice a run may go back to its source: 1.5 s
	// until its move begins and what most moves take. Leaving servers may be sent nothing
	// some seconds behind the notice, which itself may come a second late.
	sourceLatest = 2 * time.Second
	// moveTick is how often a leaving server is checked for runs to move: some have their
	// first event only now, and some could not be copied before.
	moveTick = 40 * time.Millisecond
	// moveAtOnce bounds the runs of one server that a gateway moves at a time: their copies
	// share the server's link.
	moveAtOnce = 4
	// moveGrace is how long after its expected end a server is still asked: the
	// platform's word is old when it arrives, and servers often run for longer.
	moveGrace = time.Second
	// copyTime bounds a call that copies a run or drops a copy. What takes longer comes too
	// late: platforms give a leaving server some seconds.
	copyTime = 600 * time.Millisecond
	// closeTime is how long the server of a stopped run may take to deliver its last events
	// and end the stream. What comes later is made again by the next server.
	closeTime = 150 * time.Millisecond
	// maxCopied bounds the answer to such a call, in bytes: it holds
	// little more than the copy's name.
	maxCopied = 64 << 10
)

// moves are the running answers that can be moved, and the servers that are leaving.
type moves struct {
	mover    Mover    // mover is nil where nothing is moved.
	reporter Reporter // reporter is nil where servers are not asked for their state.

	mu      sync.Mutex                       // mu guards all below.
	runs    map[string]map[*running]struct{} // runs are by their server.
	notices map[string]notice                // notices are the first ones of leaving servers.
	own     map[string]notice                // own are those that servers gave themselves.
	askedAt time.Time                        // askedAt is when servers were asked for theirs last.
	watched map[string]bool                  // watched are the leaving servers that have a goroutine in moveRuns.
	weights map[string]string                // weights are the versions that servers told with their last answers.
}

// init makes the tables.
func (m *moves) init() {
	m.runs = map[string]map[*running]struct{}{}
	m.own = map[string]notice{}
	m.watched = map[string]bool{}
	m.weights = map[string]string{}
}

// notice tells that a server leaves.
type notice struct {
	at  time.Time // at is when it came here,
	end time.Time // and end is when the server ends by it.
}

// WithMover sets what translates the calls of moves; without it nothing is moved.
func WithMover(m Mover) Option { return func(g *Gateway) { g.moves.mover = m } }

// running is one answer that runs at a server.
type running struct {
	g       *Gateway
	try     *try
	log     zerolog.Logger
	call    protocol.Call
	server  *place.Server
	listed  string // listed is the server's identity in the latest list; the lock of the moves guards it.
	rank    int
	noRetry bool // noRetry says that the request is not repeatable: without a move its answer is lost.
	// weights is the version of the model's weights that makes the answer; empty where it
	// is not known. Only the exchange's goroutine uses it.
	weights string
	begun   atomic.Bool // begun says that the first event has come.
	busy    atomic.Bool // busy says that a goroutine moves it.

	mu           sync.Mutex // mu guards all below.
	state        move.State
	stopAnswered chan struct{} // stopAnswered is closed when the server answered the stop, or copyTime is over; nil before the stop.
	moveBegan    time.Time     // moveBegan is when the move began; zero before.
	noticed      time.Time     // noticed is when the notice came for which it is moved.
}

// track notes an answer that begins, if it could be moved.
func (t *try) track() {
	x := t.x
	if x.g.moves.mover == nil || x.route.Kind != protocol.RouteStream || x.copyRate() <= 0 {
		return
	}
	r := &running{g: x.g, try: t, log: x.log, call: x.call, server: t.server, listed: t.server.ID, rank: x.priority(), noRetry: !x.state.Repeatable}
	t.running = r
	m := &x.g.moves
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.runs[t.server.ID] == nil {
		m.runs[t.server.ID] = map[*running]struct{}{}
	}
	m.runs[t.server.ID][r] = struct{}{}
	x.g.startMoving(t.server)
}

// noteWeights notes the version of the weights that a server makes the answer with, if it says so.
func (t *try) noteWeights(weights string) {
	if t.running == nil || weights == "" {
		return
	}
	t.running.weights = weights
	m := &t.x.g.moves
	m.mu.Lock()
	defer m.mu.Unlock()
	m.weights[t.server.ID] = weights
}

// untrack notes that the answer of one server has ended. A run that goes on elsewhere
// keeps its copy until that server answers.
func (t *try) untrack() {
	r := t.running
	if r == nil {
		return
	}
	m := &t.x.g.moves
	m.mu.Lock()
	delete(m.runs[r.listed], r)
	if len(m.runs[r.listed]) == 0 {
		delete(m.runs, r.listed)
	}
	m.mu.Unlock()
	if t.x.continuation == nil || t.x.continuation.run != r {
		r.apply(move.EndedMsg{})
	}
}

// apply steps the move's state by a message. It drops copies itself, as that needs no
// order, and returns the other commands for its caller to carry out.
func (r *running) apply(m move.Msg) (rest []move.Cmd) {
	r.mu.Lock()
	next, cmds := move.Next(r.state, m)
	if next.Phase != r.state.Phase && !r.moveBegan.IsZero() {
		r.log.Info().Str("server", r.server.ID).Str("target", next.Target).Stringer("phase", next.Phase).Bool("at_source", next.AtSource).
			Int("tries", next.FailedCopies).Dur("after", r.since()).Msg("move: phase changed")
	}
	r.g.meters.moveHeld.Inc(held(next) - held(r.state))
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
			r.g.meters.moveFreed.Inc(1)
			go r.free(c)
		default:
			rest = append(rest, c)
		}
	}
	return rest
}

// held is 1 for a run of which a copy is set aside.
func held(s move.State) int64 {
	if s.Handle == "" {
		return 0
	}
	return 1
}

// since returns how long ago the move began; 0 before it. It needs r.mu.
func (r *running) since() time.Duration {
	if r.moveBegan.IsZero() {
		return 0
	}
	return clock.Since(r.moveBegan)
}

// phase returns how far the run is.
func (r *running) phase() move.Phase {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Phase
}

// move copies a run to another server and stops it at its own. It reports whether the
// copy was made.
func (r *running) move(n notice) (copied bool) {
	if r.g.words.resting(r.server.ID) {
		return false // It is tried again behind the rest, if the server is there for so long.
	}
	view, now := r.g.view.Load(), clock.Now()
	target := place.MoveTarget(view, r.server, place.ChooseMsg{Rand: rand.Uint64(), Now: now, Avoid: r.g.words.unwilling()})
	if target == nil {
		return false // It is tried again in a while.
	}
	r.mu.Lock()
	if r.moveBegan.IsZero() {
		r.moveBegan = now
	}
	r.noticed = n.at
	r.mu.Unlock()
	for _, c := range r.apply(move.LeavingMsg{Target: target.ID}) {
		if _, ok := c.(move.CopyCmd); !ok {
			continue
		}
		r.g.meters.moves.Inc(1)
		reply := r.copy(target, false)
		if reply.Outcome == move.NoRun && !r.begun.Load() {
			reply.Outcome = move.Busy // It waits, and may run in a moment.
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

// stop has the server stop the run and copy the rest. The run goes on at the target once
// its stream has ended, which hangUp sees to.
func (r *running) stop(target *place.Server) {
	reply := r.copy(target, true)
	r.apply(move.StoppedMsg{Outcome: reply.Outcome, Handle: reply.Handle})
	r.mu.Lock()
	close(r.stopAnswered)
	stopped := r.state.Phase == move.Stopped || r.state.Phase == move.Going
	r.mu.Unlock()
	if !stopped {
		return
	}
	time.AfterFunc(closeTime, r.hangUp)
}

// hangUp ends the stream of a run that has stopped and did not end it by itself.
func (r *running) hangUp() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state.Phase == move.Stopped {
		r.try.conn.Close()
	}
}
