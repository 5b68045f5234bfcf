package control

import (
	"time"

	"github.com/weldstream/weldstream/coordination/usage"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// UsageTotals returns the counts of a window by workspace.
func (u *Uplink) UsageTotals(window int64) map[string]int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ledger.Total(window)
}

// MissingGateways returns the gateways that may have counted requests in a window and have
// not reported all of them, and whether the window's counts are complete. They are not
// while a new leader has heard from fewer gateways than its predecessor, or from none.
func (u *Uplink) MissingGateways(window int64, length time.Duration) (gateways []string, whole bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	gateways = u.watermarks.Missing(window, length)
	allHeard := clock.Since(u.enteredAt) > gatewayTTL || u.watermarks.Known() >= u.reportedGateways
	return gateways, allHeard && u.watermarks.Known() > 0 && len(gateways) == 0
}

// UnloggedCounts returns the counts that have yet to be logged, and discards the windows
// before the given one.
func (u *Uplink) UnloggedCounts(before int64, length time.Duration) []protocol.TallyRow {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ledger.Forget(before)
	u.watermarks.Forget(usage.End(before-1, length))
	return u.ledger.Changes()
}

// MarkUnlogged makes UnloggedCounts return counts again that could not be logged.
func (u *Uplink) MarkUnlogged(rows []protocol.TallyRow) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ledger.MarkUnlogged(rows)
}

// RestoreCounts loads the counts that were logged before a term began.
func (u *Uplink) RestoreCounts(term uint64, length time.Duration, rows []protocol.TallyRow) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.enterTerm(term)
	u.ledger.Restore(rows)
	for _, r := range rows {
		u.watermarks.Expect(r.Gateway, usage.End(r.Window-1, length))
	}
}
