package forward

import (
	"github.com/weldstream/weldstream/coordination/move"
	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// continuation is where a stopped run goes on from its copy.
type continuation struct {
	run     *running
	server  *place.Server
	handle  string
	weights string // weights is the version that made the run's memory; empty where it is not known.
	sent    bool   // sent says that an attempt was sent there.
}

// continuesElsewhere reports whether the answer goes on from a copy, after its stream
// broke off. While a stop is not answered it waits for that.
func (t *try) continuesElsewhere() bool {
	r := t.running
	if r == nil || t.x.ctx.Err() != nil {
		return false
	}
	cmds := r.apply(move.StreamBrokenMsg{})
	r.mu.Lock()
	known := r.stopAnswered
	r.mu.Unlock()
	if len(cmds) == 0 && known != nil {
		select {
		case <-known: // The answer to the stop, or the end of its time.
		case <-t.x.ctx.Done():
			return false
		}
		cmds = r.stopOutcome()
	}
	for _, c := range cmds {
		if c, ok := c.(move.ContinueCmd); ok {
			return t.x.continueAt(r, c)
		}
	}
	return false
}

// stopOutcome returns the command to go on that the answer to a stop gave, where the
// stream had ended before that answer.
func (r *running) stopOutcome() []move.Cmd {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state.Phase != move.Going {
		return nil
	}
	return []move.Cmd{move.ContinueCmd{Target: r.state.Target, AtSource: r.state.AtSource, Handle: r.state.Handle}}
}

// tooLateForSource reports whether the source is too near its end to be sent the run.
func (r *running) tooLateForSource() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return clock.Since(r.noticed) >= sourceLatest
}

// weightsOf returns the version of the weights that a server named with its last answer.
func (m *moves) weightsOf(server string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.weights[server]
}

// continueAt has the next attempt go to where the run's copy lies, and reports whether
// there is one. The run may have begun, so that no later refusal says not-run.
func (x *exchange) continueAt(r *running, c move.ContinueCmd) bool {
	server, weights := r.server, r.weights
	if !c.AtSource {
		server = x.g.view.Load().Find(c.Target)
		if weights == "" {
			weights = x.g.moves.weightsOf(r.server.ID) // It has not begun.
		}
	}
	x.state.MayHaveRun = true
	x.continuation = &continuation{run: r, server: server, handle: c.Handle, weights: weights}
	switch {
	case server == nil:
		return x.movedFailed(protocol.NotRun) // The target is listed no more.
	case c.AtSource && r.tooLateForSource():
		return x.movedFailed(protocol.MayHaveRun) // No server may go on with it.
	}
	return true
}

// dropContinuation frees the copy of a run that goes on nowhere, as its request has ended.
func (x *exchange) dropContinuation() {
	if x.continuation != nil {
		x.continuation.run.apply(move.EndedMsg{})
		x.continuation = nil
	}
}

// movedTo returns the server that a moved run goes on at, once for each, or nil.
func (x *exchange) movedTo() *place.Server {
	if x.continuation == nil || x.continuation.sent {
		return nil
	}
	x.continuation.sent = true
	return x.continuation.server
}

// copyName names the copy that the attempt goes on from; empty for none.
func (x *exchange) copyName() string {
	if x.continuation == nil {
		return ""
	}
	return x.g.moves.mover.CopyName(x.continuation.run.server.Address, x.continuation.handle)
}

// copyWeights is the version of the weights that alone may go on from the copy: memory
// that others made would make another answer.
func (x *exchange) copyWeights() string {
	if x.continuation == nil {
		return ""
	}
	return x.continuation.weights
}

// sameWeights reports whether a server goes on with a moved run by the weights that made
// its memory, as far as both are known. It was told to turn the run away otherwise.
func (x *exchange) sameWeights(weights string) bool {
	return x.continuation == nil || weights == "" || x.continuation.weights == "" || weights == x.continuation.weights
}

// movedTaken notes that a server answers the run that was moved there. After another
// status than 2xx the copy is kept until the exchange ends.
func (x *exchange) movedTaken(status int) {
	if x.continuation == nil || status < 200 || status >= 300 {
		return
	}
	r := x.continuation.run
	x.continuation = nil
	r.apply(move.AcceptedMsg{})
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
	if x.continuation == nil {
		return false
	}
	r, server := x.continuation.run, x.continuation.server
	x.continuation = nil
	var m move.Msg = move.RefusedMsg{}
	if v != protocol.NotRun {
		m = move.LostMsg{}
		x.avoid = append(x.avoid, server.ID)
	}
	for _, c := range r.apply(m) {
		if c, ok := c.(move.ContinueCmd); ok {
			return x.continueAt(r, c)
		}
	}
	x.g.meters.moveFailed.Inc(1)
	return false
}
