package control

import (
	"time"

	"github.com/weldstream/weldstream/coordination/usage"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// Used returns a window's counts by workspace.
func (u *Uplink) Used(window int64) map[string]int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ledger.Total(window)
}

// Missing returns the gateways that may have counted in a window of a length and have
// not told all of it, and whether the window is whole. It is not while a new leader
// has heard fewer gateways than the one before, or none at all.
func (u *Uplink) Missing(window int64, length time.Duration) (gateways []string, whole bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	gateways = u.marks.Missing(window, length)
	met := clock.Since(u.entered) > gatewayKept || u.marks.Known() >= u.earlier
	return gateways, met && u.marks.Known() > 0 && len(gateways) == 0
}

// Changes returns the counts that are to be logged, and forgets windows of a length
// before one.
func (u *Uplink) Changes(before int64, length time.Duration) []protocol.TallyRow {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ledger.Forget(before)
	u.marks.Forget(usage.End(before-1, length))
	return u.ledger.Changes()
}

// Recall takes the counts of windows of a length that were logged up to a term.
func (u *Uplink) Recall(term uint64, length time.Duration, rows []protocol.TallyRow) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.enter(term)
	u.ledger.Restore(rows)
	for _, r := range rows {
		u.marks.Expect(r.Gateway, usage.End(r.Window-1, length))
	}
}
