package group

import (
	"time"

	"github.com/weldstream/weldstream/coordination/replicate"
	"github.com/weldstream/weldstream/protocol"
)

const spaceEvery = 250 * time.Millisecond

// checkSpace asks for the free space now and then. A full disk is found out
// before a write fails, while the outcome of every request is still known.
func (g *Group) checkSpace() {
	if g.now() < g.spaceAt {
		return
	}
	g.spaceAt = g.now() + spaceEvery
	free, err := g.folder.FreeSpace()
	full := err == nil && free < g.cfg.Reserve
	if full != g.full {
		g.log.Warn().Bool("full", full).Uint64("free", free).Msg("free space on the disk")
	}
	g.full = full
}

// askFull refuses what would take up the reserve. For a claim this needs a
// read: only if a quorum confirms that there is none is the request not run.
func (g *Group) askFull(w *waiter) {
	if w.command.Claim == nil {
		g.answer(g.token, outcome{err: ErrFull})
		return
	}
	g.update(replicate.ReadMsg{Token: g.token})
}

// peek is what a claim comes to without being written.
func (g *Group) peek(w *waiter) protocol.Result {
	if w.command == nil || w.command.Claim == nil {
		return protocol.Result{}
	}
	return protocol.Result{Claim: g.machine.PeekClaim(w.command.Claim)}
}
