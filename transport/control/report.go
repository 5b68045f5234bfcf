package control

import (
	"context"
	"time"

	"github.com/weldstream/weldstream/coordination/usage"
	"github.com/weldstream/weldstream/protocol"
)

const (
	// settleShare is the part of the time until a report is due that is left for counts to
	// come in from gateways that are frozen or cut off. With 0.45 windows in which gateways were frozen
	// for four seconds were off by up to 34 in 100; the rest is enough for two calls to a
	// silent platform.
	settleShare = 0.7
	// windowsBack is how many windows behind a leader looks for one that is not
	// reported yet.
	windowsBack = 6
	// dutyRetry is the pause before a report that failed is sent again.
	dutyRetry = 400 * time.Millisecond
)

// reports are what a leader has sent of the usage, by window.
type reports struct {
	term   uint64
	done   map[int64]bool      // done are the windows whose reports were taken in this term.
	retry  map[int64]time.Time // retry tells when reports that failed are sent again.
	logged map[int64]bool      // logged are those of which a log line tells that gateways are missing.
}

// newReports returns the reports of a term in which none was sent.
func newReports(term uint64) reports {
	return reports{term: term, done: map[int64]bool{}, retry: map[int64]time.Time{}, logged: map[int64]bool{}}
}

// enter forgets what an earlier term knew.
func (r *reports) enter(term uint64) {
	if r.term != term {
		*r = newReports(term)
	}
}

// waits notes that a window waits for gateways, and reports whether that is news.
func (r *reports) waits(window int64) bool {
	known := r.logged[window]
	r.logged[window] = true
	return !known
}

// forget drops the windows before one.
func (r *reports) forget(before int64) {
	for _, windows := range []map[int64]bool{r.done, r.logged} {
		for w := range windows {
			if w < before {
				delete(windows, w)
			}
		}
	}
	for w := range r.retry {
		if w < before {
			delete(r.retry, w)
		}
	}
}

// report sends the reports that are owed: the counts are settled in the log
// first, so that every repeat is the same.
func (d *Duties) report(ctx context.Context) {
	r := &d.reports
	r.enter(d.tenure.current())
	now := d.uplink.Clock()
	current := usage.Window(now, d.limits.UsageWindow)
	for w := current - windowsBack; w < current; w++ {
		if r.done[w] || now.Before(r.retry[w]) || !d.settles(w, now) {
			continue
		}
		if !d.reportWindow(ctx, w) {
			r.retry[w] = now.Add(dutyRetry)
		}
	}
	r.forget(current - 2*windowsBack)
}

// settles reports whether a window's counts are to be settled now: when all gateways
// have told them, or when waiting for those that have not would make the report late.
func (d *Duties) settles(window int64, now time.Time) bool {
	late := time.Duration(settleShare * float64(d.limits.UsageDue))
	if !now.Before(usage.End(window, d.limits.UsageWindow).Add(late)) {
		return true
	}
	missing, whole := d.uplink.Missing(window, d.limits.UsageWindow)
	if len(missing) > 0 && d.reports.waits(window) {
		d.log.Info().Int64("window", window).Strs("gateways", missing).Msg("usage waits for the counts of gateways")
	}
	return whole
}

// reportWindow settles the counts of a window in the log and sends its report, and reports
// whether that is done, here or by an earlier holder of the duties.
func (d *Duties) reportWindow(ctx context.Context, window int64) bool {
	limit, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	counts := d.uplink.Used(window)
	result, err := d.group.Propose(limit, protocol.Command{Settle: &protocol.SettleUsageMsg{Window: window, Counts: counts}})
	if err != nil || result.Settle == nil {
		d.log.Warn().Err(err).Int64("window", window).Msg("usage not settled")
		return false
	}
	if result.Settle.Sent {
		d.reports.done[window] = true
		return true
	}
	duty, ok := d.duty()
	if !ok {
		return false
	}
	if err := d.source.Report(limit, duty, window, result.Settle.Counts); err != nil {
		d.refused(duty, err)
		d.log.Warn().Err(err).Int64("window", window).Uint64("token", duty.Token).Msg("usage report not taken")
		return false
	}
	d.log.Info().Int64("window", window).Uint64("token", duty.Token).Interface("counts", result.Settle.Counts).Msg("usage reported")
	d.reports.done[window] = true
	_, _ = d.group.Propose(limit, protocol.Command{Settle: &protocol.SettleUsageMsg{Window: window, Sent: true}}) // Only saves a repeat.
	return true
}
