package forward

import (
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/coordination/move"
	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/protocol"
)

// Mover translates the calls by which the memory of a running answer is moved.
type Mover interface {
	// Copy makes out the call that has a server copy a run's memory to another one.
	Copy(out *fasthttp.Request, c CopyCall)
	// Copied reads the answer, whose body is given.
	Copied(status int, body []byte) CopyReply
	// Free makes out the call that drops a copy at both its ends.
	Free(out *fasthttp.Request, handle string)
	// Name names a copy of a source for the request that goes on from it.
	Name(source, handle string) string
}

// CopyCall asks for a copy of a run.
type CopyCall struct {
	Request string // Request is the run's identity.
	Target  string // Target is the address of the server that takes the copy.
	Last    bool   // Last has the run stopped first.
}

// CopyReply is the answer.
type CopyReply struct {
	Outcome move.Outcome
	Handle  string
}

const (
	// moveUnbegun of the end of a leaving server also runs are moved whose first event has
	// not come: it can no longer be waited for.
	moveUnbegun = 500 * time.Millisecond
	// moveLatest is how long behind the notice moves begin at the latest, so that a run
	// which its target refuses can go back to its source.
	moveLatest = 1500 * time.Millisecond
	// sourceLatest is how long behind the notice a run may go back to its source: 1.5 s
	// until its move begins and what most moves take. Leaving servers may be sent nothing
	// some seconds behind the notice, which itself may come a second late.
	sourceLatest = 2 * time.Second
	// moveTick is how often the runs of a leaving server are looked at: some begin, and
	// some could not be copied at once.
	moveTick = 40 * time.Millisecond
	// moveAtOnce are the runs of one server that a gateway moves at a time.
	moveAtOnce = 4
	// moveGrace is how long after its expected end a server is still asked: the
	// platform's word is old when it arrives, and servers often run for longer.
	moveGrace = time.Second
	// copyTime bounds one call. What takes longer comes too late to be of use.
	copyTime = 600 * time.Millisecond
	// closeTime is how long a run that has stopped may take to end its stream. Its last
	// events are on their way; behind it they are made again by the server that goes on.
	closeTime = 150 * time.Millisecond
	// maxCopied bounds the answer to a call.
	maxCopied = 64 << 10
)

// moves are the answers that run at servers which can copy them.
type moves struct {
	mover   Mover                            // mover is nil where nothing is moved.
	mu      sync.Mutex                       // mu guards all below.
	runs    map[string]map[*running]struct{} // runs are by their server.
	notices map[string]notice                // notices are the first ones of leaving servers.
	leaving map[string]bool                  // leaving are servers whose runs are looked at.
	weights map[string]string                // weights are the versions that servers told with their last answers.
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
	g      *Gateway
	try    *try
	log    zerolog.Logger
	call   protocol.Call
	server *place.Server
	rank   int
	lost   bool // lost says that the caller cannot take it up elsewhere.
	// weights is the version of the model's weights that makes the answer; empty where it
	// is not known. It is the exchange's own.
	weights string
	begun   atomic.Bool
	busy    atomic.Bool // busy says that a goroutine moves it.

	mu    sync.Mutex // mu guards all below.
	state move.State
	known chan struct{} // known is closed when the answer to a stop is here; nil before the stop.
	went  time.Time     // went is when the move began.
	// noticed is when the notice came for which it is moved.
	noticed time.Time
}

// track notes an answer that begins, if it could be moved.
func (t *try) track() {
	x := t.x
	if x.g.moves.mover == nil || x.route.Kind != protocol.RouteStream || x.copyRate() <= 0 {
		return
	}
	r := &running{g: x.g, try: t, log: x.log, call: x.call, server: t.server, rank: x.priority(), lost: !x.state.Repeatable}
	t.running = r
	m := &x.g.moves
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.runs[t.server.ID] == nil {
		m.runs[t.server.ID] = map[*running]struct{}{}
	}
	m.runs[t.server.ID][r] = struct{}{}
	x.g.look(t.server)
}

// madeBy notes with which weights a server makes the answer, if it says so.
func (t *try) madeBy(weights string) {
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
	delete(m.runs[r.server.ID], r)
	if len(m.runs[r.server.ID]) == 0 {
		delete(m.runs, r.server.ID)
	}
	m.mu.Unlock()
	if t.x.onward == nil || t.x.onward.run != r {
		r.take(move.EndedMsg{})
	}
}

// onward is where a moved run goes on.
type onward struct {
	run     *running
	server  *place.Server
	handle  string
	weights string // weights is the version that made the run's memory; empty where it is not known.
	sent    bool   // sent says that the server was chosen.
}

// take takes a message and carries out what follows, but for what the goroutine of the
// exchange does: that is returned.
func (r *running) take(m move.Msg) (rest []move.Cmd) {
	r.mu.Lock()
	next, cmds := move.Next(r.state, m)
	if next.Phase != r.state.Phase && !r.went.IsZero() {
		r.log.Info().Str("server", r.server.ID).Str("target", next.Target).Stringer("phase", next.Phase).Bool("at_source", next.AtSource).
			Int("tries", next.Tries).Dur("after", r.since()).Msg("move")
	}
	r.g.meters.moveHeld.Inc(held(next) - held(r.state))
	r.state = next
	for _, c := range cmds {
		if _, ok := c.(move.StopCmd); ok {
			r.known = make(chan struct{})
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

// since needs r.mu.
func (r *running) since() time.Duration {
	if r.went.IsZero() {
		return 0
	}
	return time.Since(r.went)
}

// phase returns how far the run is.
func (r *running) phase() move.Phase {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Phase
}

// evacuate moves the runs of the servers that leave soon, as the list tells.
func (g *Gateway) evacuate(v *place.View, now time.Time) {
	m := &g.moves
	if m.mover == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	notices := map[string]notice{}
	for i := range v.Servers {
		s := &v.Servers[i]
		if !s.Leaving || s.LeftMS <= 0 {
			continue
		}
		notices[s.ID] = notice{at: now, end: now.Add(time.Duration(s.LeftMS) * time.Millisecond)}
		if first, ok := m.notices[s.ID]; ok {
			notices[s.ID] = first
		}
	}
	m.notices = notices
	for id := range m.weights {
		if v.Find(id) == nil {
			delete(m.weights, id)
		}
	}
	for i := range v.Servers {
		g.look(&v.Servers[i])
	}
}

// look begins to look at the runs of a server if it leaves and has any. It needs the
// lock of the moves.
func (g *Gateway) look(s *place.Server) {
	m := &g.moves
	n, leaves := m.notices[s.ID]
	if !leaves || m.leaving[s.ID] || len(m.runs[s.ID]) == 0 {
		return
	}
	m.leaving[s.ID] = true
	go g.moveOff(s, n)
}

// moveOff moves the runs of one server until none is left, or the server is gone.
func (g *Gateway) moveOff(s *place.Server, n notice) {
	m, until := &g.moves, n.end
	g.log.Info().Str("server", s.ID).Int64("left", time.Until(until).Milliseconds()).Msg("server leaves, its runs are moved")
	if g.cfg.MoveAhead > 0 {
		time.Sleep(min(time.Until(until)-g.cfg.MoveAhead, moveLatest))
	}
	underWay, done := 0, make(chan bool, moveAtOnce)
	for m.looks(s.ID, until.Add(moveGrace), g.stays(s.ID)) {
		due := m.due(s.ID, time.Until(until) < moveUnbegun)
		for _, r := range due[:min(len(due), moveAtOnce-underWay)] {
			underWay++
			r.busy.Store(true)
			go func() {
				moved := r.move(n)
				r.busy.Store(false)
				done <- moved
			}()
		}
		underWay -= settled(done, moveTick)
	}
}

// settled waits until a move has come to an end, for a tick at the most, and returns how
// many have. One that came to nothing has the whole tick waited for, so that a server
// whose runs have nowhere to go takes no processor time of the streams beside it.
func settled(done <-chan bool, tick time.Duration) int {
	wait := time.NewTimer(tick)
	defer wait.Stop()
	for ended := 0; ; {
		select {
		case moved := <-done:
			ended++
			if moved {
				return ended
			}
		case <-wait.C:
			return ended
		}
	}
}

// stays reports whether a server is listed as one that does not leave: its notice was
// withdrawn, or it has come back.
func (g *Gateway) stays(server string) bool {
	s := g.view.Load().Find(server)
	return s != nil && !s.Leaving
}

// looks reports whether a leaving server has runs, is not gone and does not stay.
// Otherwise the next run has it looked at anew.
func (m *moves) looks(server string, gone time.Time, stays bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if stays || len(m.runs[server]) == 0 || time.Now().After(gone) {
		delete(m.leaving, server)
		return false
	}
	return true
}

// due returns the runs of a server that are not being moved, the most worthwhile first:
// those that have begun, or all.
func (m *moves) due(server string, all bool) []*running {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []*running
	var rows []move.Run
	for r := range m.runs[server] {
		if (all || r.begun.Load()) && !r.busy.Load() && r.phase() == move.Staying {
			list = append(list, r)
			rows = append(rows, move.Run{Priority: r.rank, Read: r.call.PromptTokens, Left: r.call.AnswerTokens, Lost: r.lost})
		}
	}
	sorted := make([]*running, 0, len(list))
	for _, i := range move.Order(rows) {
		sorted = append(sorted, list[i])
	}
	return sorted
}

// move copies a run to another server and stops it at its own. It reports whether the
// copy was made.
func (r *running) move(n notice) (copied bool) {
	view, now := r.g.view.Load(), time.Now()
	target := place.MoveTarget(view, r.server, place.ChooseMsg{Rand: rand.Uint64(), Now: now})
	if target == nil {
		return false // It is tried again in a while.
	}
	r.mu.Lock()
	if r.went.IsZero() {
		r.went = now
	}
	r.noticed = n.at
	r.mu.Unlock()
	for _, c := range r.take(move.LeavesMsg{Target: target.ID}) {
		if _, ok := c.(move.CopyCmd); !ok {
			continue
		}
		r.g.meters.moves.Inc(1)
		reply := r.copy(target, false)
		if reply.Outcome == move.NoRun && !r.begun.Load() {
			reply.Outcome = move.Busy // It waits, and may run in a moment.
		}
		for _, c := range r.take(move.CopiedMsg{Outcome: reply.Outcome, Handle: reply.Handle}) {
			if _, ok := c.(move.StopCmd); ok {
				copied = true
				r.stop(target)
			}
		}
	}
	return copied
}

// stop stops the run at its server. The exchange goes on when its stream has ended.
func (r *running) stop(target *place.Server) {
	reply := r.copy(target, true)
	r.take(move.StoppedMsg{Outcome: reply.Outcome, Handle: reply.Handle})
	r.mu.Lock()
	close(r.known)
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

// copy has the run's server copy it.
func (r *running) copy(target *place.Server, last bool) CopyReply {
	out := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(out)
	r.g.moves.mover.Copy(out, CopyCall{Request: r.call.ID, Target: target.Address, Last: last})
	began := time.Now()
	status, body, err := r.g.ask(r.server, out, began.Add(copyTime))
	var reply CopyReply
	if err == nil {
		reply = r.g.moves.mover.Copied(status, body)
	}
	r.g.meters.moveCopy.UpdateSince(began)
	r.log.Info().Err(err).Str("server", r.server.ID).Str("target", target.ID).Bool("last", last).Int("status", status).Str("handle", reply.Handle).
		Stringer("outcome", reply.Outcome).Dur("took", time.Since(began)).Msg("run copied")
	return reply
}

// free drops a copy that nobody uses, at its source and with that at both ends, or at
// the target if the source is gone. If both fail it is dropped at the servers' limit.
func (r *running) free(c move.FreeCmd) {
	for _, s := range []*place.Server{r.server, r.g.view.Load().Find(c.Target)} {
		if s != nil && r.freeAt(s, c.Handle) {
			return
		}
	}
}

// freeAt reports whether a server dropped a copy.
func (r *running) freeAt(s *place.Server, handle string) bool {
	out := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(out)
	r.g.moves.mover.Free(out, handle)
	status, _, err := r.g.ask(s, out, time.Now().Add(copyTime))
	r.log.Info().Err(err).Str("server", s.ID).Str("handle", handle).Int("status", status).Msg("copy freed")
	return err == nil && status < fasthttp.StatusBadRequest
}

// ask sends a call to a server and returns the whole answer.
func (g *Gateway) ask(s *place.Server, out *fasthttp.Request, deadline time.Time) (status int, body []byte, err error) {
	conn, err := g.pool.Get(s.ID, s.Address, deadline)
	if err != nil {
		return 0, nil, err
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	early, err := conn.Exchange(out, resp, deadline)
	if err == nil {
		var stream io.Reader
		if stream, err = conn.Body(resp); err == nil {
			body, err = io.ReadAll(io.LimitReader(stream, maxCopied))
		}
	}
	if err != nil {
		conn.Close()
		return 0, nil, eris.Wrap(err, "call a server")
	}
	// A leaving server ends the connection with its answer.
	if early || resp.ConnectionClose() || len(body) == maxCopied {
		conn.Close()
	} else {
		g.pool.Put(s.ID, conn, 0)
	}
	return resp.StatusCode(), body, nil
}

// goesOn reports whether the answer goes on at another server, after its stream ended
// without its end.
func (t *try) goesOn() bool {
	r := t.running
	if r == nil || t.x.ctx.Err() != nil {
		return false
	}
	cmds := r.take(move.BrokeMsg{})
	r.mu.Lock()
	known := r.known
	r.mu.Unlock()
	if len(cmds) == 0 && known != nil {
		select {
		case <-known: // The answer to the stop, or the end of its time.
		case <-t.x.ctx.Done():
			return false
		}
		cmds = r.decided()
	}
	for _, c := range cmds {
		if c, ok := c.(move.GoOnCmd); ok {
			return t.x.goOn(r, c)
		}
	}
	return false
}

// decided returns what the answer to a stop led to, when the stream had ended before.
func (r *running) decided() []move.Cmd {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state.Phase != move.Going {
		return nil
	}
	return []move.Cmd{move.GoOnCmd{Target: r.state.Target, AtSource: r.state.AtSource, Handle: r.state.Handle}}
}

// late reports whether the source may be sent nothing more.
func (r *running) late() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.noticed) >= sourceLatest
}

// told returns the version of the weights that a server told with its last answer.
func (m *moves) told(server string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.weights[server]
}

// goOn has the next attempt go to where the run's memory lies. The run began, so
// nothing may be called unrun from here on.
func (x *exchange) goOn(r *running, c move.GoOnCmd) bool {
	server, weights := r.server, r.weights
	if !c.AtSource {
		server = x.g.view.Load().Find(c.Target)
		if weights == "" {
			weights = x.g.moves.told(r.server.ID) // It has not begun.
		}
	}
	x.state.MayHaveRun = true
	x.onward = &onward{run: r, server: server, handle: c.Handle, weights: weights}
	switch {
	case server == nil:
		return x.movedFailed(protocol.NotRun) // The target is listed no more.
	case c.AtSource && r.late():
		return x.movedFailed(protocol.MayHaveRun) // No server may go on with it.
	}
	return true
}

// dropOnward frees the copy of a run that goes on nowhere, as its request has ended.
func (x *exchange) dropOnward() {
	if x.onward != nil {
		x.onward.run.take(move.EndedMsg{})
		x.onward = nil
	}
}

// movedTo returns the server that a moved run goes on at, once for each, or nil.
func (x *exchange) movedTo() *place.Server {
	if x.onward == nil || x.onward.sent {
		return nil
	}
	x.onward.sent = true
	return x.onward.server
}

// copyName names the copy that the attempt goes on from; empty for none.
func (x *exchange) copyName() string {
	if x.onward == nil {
		return ""
	}
	return x.g.moves.mover.Name(x.onward.run.server.Address, x.onward.handle)
}

// copyWeights is the version of the weights that alone may go on from the copy: memory
// that others made would make another answer.
func (x *exchange) copyWeights() string {
	if x.onward == nil {
		return ""
	}
	return x.onward.weights
}

// sameWeights reports whether a server goes on with a moved run by the weights that made
// its memory, as far as both are known. It was told to turn the run away otherwise.
func (x *exchange) sameWeights(weights string) bool {
	return x.onward == nil || weights == "" || x.onward.weights == "" || weights == x.onward.weights
}

// movedTaken notes that a server answers the run that was moved there. What is no good
// answer ends the move when the attempt has failed.
func (x *exchange) movedTaken(status int) {
	if x.onward == nil || status < 200 || status >= 300 {
		return
	}
	r := x.onward.run
	x.onward = nil
	r.take(move.TakenMsg{})
	r.mu.Lock()
	took := r.since()
	r.mu.Unlock()
	x.g.meters.moved.Inc(1)
	x.g.meters.moveTokens.Inc(int64(x.call.PromptTokens))
	x.g.meters.moveTime.Update(took)
}

// movedFailed reports whether a run that was sent on and not taken is to be sent on
// once more, to the source that stopped it.
func (x *exchange) movedFailed(v protocol.Verdict) bool {
	if x.onward == nil {
		return false
	}
	r, server := x.onward.run, x.onward.server
	x.onward = nil
	var m move.Msg = move.RefusedMsg{}
	if v != protocol.NotRun {
		m = move.LostMsg{}
		x.avoid = append(x.avoid, server.ID)
	}
	for _, c := range r.take(m) {
		if c, ok := c.(move.GoOnCmd); ok {
			return x.goOn(r, c)
		}
	}
	x.g.meters.moveFailed.Inc(1)
	return false
}

// Dump is what a gateway tells of prompt memory on request.
type Dump struct {
	Links int       `json:"links"` // Links are the parts of prompts whose holders are remembered.
	Moves []MoveRow `json:"moves"` // Moves are the answers that are being moved.
}

// MoveRow is one answer that is being moved.
type MoveRow struct {
	Request string `json:"request"`
	Server  string `json:"server"`
	Target  string `json:"target"`
	Phase   string `json:"phase"`
	Tokens  int    `json:"tokens"`
	AgeMS   int64  `json:"age_ms"`
}

// DumpMemory returns what is known of prompt memory.
func (g *Gateway) DumpMemory() Dump {
	d := Dump{Moves: []MoveRow{}}
	g.mu.Lock()
	d.Links = g.prompts.holders.Len()
	g.mu.Unlock()
	m := &g.moves
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, runs := range m.runs {
		for r := range runs {
			r.mu.Lock()
			if !r.went.IsZero() {
				d.Moves = append(d.Moves, MoveRow{Request: r.call.ID, Server: r.server.ID, Target: r.state.Target, Phase: r.state.Phase.String(), Tokens: r.call.PromptTokens, AgeMS: r.since().Milliseconds()})
			}
			r.mu.Unlock()
		}
	}
	return d
}
