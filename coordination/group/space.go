package group

import (
	"time"

	"github.com/weldstream/weldstream/coordination/replicate"
	"github.com/weldstream/weldstream/protocol"
)

// spaceCheckInterval is the time between two checks of the free disk space.
const spaceCheckInterval = 250 * time.Millisecond

// checkSpace checks the free disk space every spaceCheckInterval, so that a full disk is
// detected before a write fails: after a failed write the outcomes of requests are
// unknown.
func (g *Group) checkSpace() {
	if g.now() < g.nextSpaceCheck {
		return
	}
	g.nextSpaceCheck = g.now() + spaceCheckInterval
	free, err := g.folder.FreeSpace()
	full := err == nil && free < g.cfg.Reserve
	if full != g.full {
		g.log.Warn().Bool("full", full).Uint64("free", free).Msg("free disk space crossed the reserve")
	}
	g.full = full
}

// startWithoutSpace rejects a command while only the reserve is left on the disk. A claim
// is answered by a quorum read instead, without a write: the claimed request may be
// reported as not run only if a quorum confirms that no claim of it exists.
func (g *Group) startWithoutSpace(r *request) {
	if r.command.Claim == nil {
		g.answer(g.token, outcome{err: ErrFull})
		return
	}
	g.update(replicate.ReadMsg{Token: g.token})
}

// readResult returns the result of a read: for a claim, what it would return without
// being written.
func (g *Group) readResult(r *request) protocol.Result {
	if r.command == nil || r.command.Claim == nil {
		return protocol.Result{}
	}
	return protocol.Result{Claim: g.machine.PeekClaim(r.command.Claim)}
}
