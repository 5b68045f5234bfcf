package forward

import (
	"github.com/weldstream/weldstream/coordination/move"
	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// continuation is where a stopped run continues from its copy.
type continuation struct {
	run     *activeRun
	server  *place.Server
	handle  string
	weights string // weights is the version that produced the run's memory; empty if unknown.
	sent    bool   // sent reports that an attempt was sent to the server.
}

// startContinuation reports whether the answer continues from a copy after its stream broke.
// If a stop has not been answered yet, it waits for that answer.
func (t *serverAttempt) startContinuation() bool {
	r := t.activeRun
	if r == nil || t.x.ctx.Err() != nil {
		return false
	}
	cmds := r.apply(move.StreamBrokenMsg{})
	r.mu.Lock()
	answered := r.stopAnswered
	r.mu.Unlock()
	if len(cmds) == 0 && answered != nil {
		select {
		case <-answered: // The stop was answered or timed out.
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

// runStopped reports whether the server stopped the run, or may have, because it was told to. It waits
// for the answer to the stop.
func (t *serverAttempt) runStopped() bool {
	r := t.activeRun
	if r == nil {
		return false
	}
	r.mu.Lock()
	answered := r.stopAnswered
	r.mu.Unlock()
	if answered == nil {
		return false
	}
	select {
	case <-answered: // The stop was answered or timed out.
	case <-t.x.ctx.Done():
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopReply != move.NoRun
}

// stopOutcome returns the command to continue, for a stream that had ended before the stop
// was answered.
func (r *activeRun) stopOutcome() []move.Cmd {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state.Phase != move.Going {
		return nil
	}
	return []move.Cmd{move.ContinueCmd{Target: r.state.Target, AtSource: r.state.AtSource, Handle: r.state.Handle}}
}

// tooLateForSource reports whether the source is too close to its end to receive the run.
func (r *activeRun) tooLateForSource() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return clock.Since(r.noticedAt) >= maxSourceReturn
}

// weightsOf returns the version of the weights that a server named in its last answer.
func (m *runMoves) weightsOf(server string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastWeights[server]
}

// continueAt directs the next attempt to the server that holds the run's copy, and reports
// whether there is one. The run may have started, so no later refusal may claim that it has
// not run.
func (x *exchange) continueAt(r *activeRun, c move.ContinueCmd) bool {
	server, weights := r.server, r.weights
	if !c.AtSource {
		server = x.g.view.Load().Find(c.Target)
		if weights == "" {
			weights = x.g.moves.weightsOf(r.server.ID) // The run has not started.
		}
	}
	x.state.MayHaveRun = true
	x.continuation = &continuation{run: r, server: server, handle: c.Handle, weights: weights}
	switch {
	case server == nil:
		return x.retryContinuation(protocol.NotRun) // The target is no longer listed.
	case c.AtSource && r.tooLateForSource():
		return x.retryContinuation(protocol.MayHaveRun) // No server may continue the run.
	}
	return true
}

// dropContinuation frees the copy of a run that does not continue, as its request has ended.
func (x *exchange) dropContinuation() {
	if x.continuation != nil {
		x.continuation.run.apply(move.EndedMsg{})
		x.continuation = nil
	}
}

// continuationServer returns the server at which a moved run continues, once for each server,
// or nil.
func (x *exchange) continuationServer() *place.Server {
	if x.continuation == nil || x.continuation.sent {
		return nil
	}
	x.continuation.sent = true
	return x.continuation.server
}

// continuationName names the copy from which the attempt continues; empty for none.
func (x *exchange) continuationName() string {
	if x.continuation == nil {
		return ""
	}
	return x.g.moves.mover.CopyName(x.continuation.run.server.Address, x.continuation.handle)
}

// continuationWeights returns the only version of the weights that may continue from the
// copy: with the memory of another version the answer would differ.
func (x *exchange) continuationWeights() string {
	if x.continuation == nil {
		return ""
	}
	return x.continuation.weights
}

// weightsMatch reports whether a server continues a moved run with the weights that produced
// its memory, as far as both are known. The server was told to refuse the run otherwise.
func (x *exchange) weightsMatch(weights string) bool {
	return x.continuation == nil || weights == "" || x.continuation.weights == "" || weights == x.continuation.weights
}

// continuationAccepted records that a server answers the run that was moved to it. After a
// status other than 2xx the copy is kept until the exchange ends.
func (x *exchange) continuationAccepted(status int) {
	if x.continuation == nil || status < 200 || status >= 300 {
		return
	}
	r := x.continuation.run
	x.continuation = nil
	r.apply(move.AcceptedMsg{})
	r.mu.Lock()
	took := r.since()
	r.mu.Unlock()
	x.g.meters.movesDone.Inc(1)
	x.g.meters.movedTokens.Inc(int64(x.call.PromptTokens))
	x.g.meters.moveDuration.Update(took)
}

// retryContinuation reports whether a moved run that was not accepted is sent once more, to
// the source that stopped it.
func (x *exchange) retryContinuation(v protocol.Verdict) bool {
	if x.continuation == nil {
		return false
	}
	r, server := x.continuation.run, x.continuation.server
	x.continuation = nil
	var m move.Msg = move.RefusedMsg{}
	if v != protocol.NotRun {
		m = move.LostMsg{}
		x.tried = append(x.tried, server.ID)
	}
	for _, c := range r.apply(m) {
		if c, ok := c.(move.ContinueCmd); ok {
			return x.continueAt(r, c)
		}
	}
	x.g.meters.moveFailed.Inc(1)
	return false
}
