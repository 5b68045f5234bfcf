package control

import (
	"context"
	"time"

	"github.com/weldstream/weldstream/coordination/usage"
	"github.com/weldstream/weldstream/protocol"
)

const (
	// settleFraction is the fraction of the time until a report is due during which counts
	// are awaited from gateways that are frozen or disconnected. With 0.45, windows in which
	// gateways were frozen for four seconds were off by up to 34 in 100. The remaining time
	// is enough for two calls to a platform that does not answer.
	settleFraction = 0.7
	// windowLookback is how many past windows a leader checks for one that has not been
	// reported.
	windowLookback = 6
	// reportRetryDelay is the delay before a failed report is sent again.
	reportRetryDelay = 400 * time.Millisecond
)

// reportLog holds the state of a leader's usage reports, by window.
type reportLog struct {
	term    uint64
	done    map[int64]bool      // done are the windows whose reports were accepted in this term.
	retryAt map[int64]time.Time // retryAt is when reports that failed are sent again.
	logged  map[int64]bool      // logged are the windows for which missing gateways have been logged.
}

// newReports returns a reportLog for a term in which nothing was reported.
func newReports(term uint64) reportLog {
	return reportLog{term: term, done: map[int64]bool{}, retryAt: map[int64]time.Time{}, logged: map[int64]bool{}}
}

// enter discards the state of an earlier term.
func (r *reportLog) enter(term uint64) {
	if r.term != term {
		*r = newReports(term)
	}
}

// firstWait marks a window as waiting for gateways, and reports whether it was not before.
func (r *reportLog) firstWait(window int64) bool {
	known := r.logged[window]
	r.logged[window] = true
	return !known
}

// forget discards the windows before the given one.
func (r *reportLog) forget(before int64) {
	for _, windows := range []map[int64]bool{r.done, r.logged} {
		for w := range windows {
			if w < before {
				delete(windows, w)
			}
		}
	}
	for w := range r.retryAt {
		if w < before {
			delete(r.retryAt, w)
		}
	}
}

// sendReports sends the reports that are due. The counts are first committed to the log, so
// that all retries report the same counts.
func (d *Duties) sendReports(ctx context.Context) {
	r := &d.reports
	r.enter(d.tenure.current())
	now := d.uplink.Clock()
	current := usage.Window(now, d.config.UsageWindow)
	for w := current - windowLookback; w < current; w++ {
		if r.done[w] || now.Before(r.retryAt[w]) || !d.canSettle(w, now) {
			continue
		}
		if !d.reportWindow(ctx, w) {
			r.retryAt[w] = now.Add(reportRetryDelay)
		}
	}
	r.forget(current - 2*windowLookback)
}

// canSettle reports whether a window's counts are to be committed now: all gateways have
// reported them, or waiting for the others would make the report late.
func (d *Duties) canSettle(window int64, now time.Time) bool {
	late := time.Duration(settleFraction * float64(d.config.UsageDue))
	if !now.Before(usage.End(window, d.config.UsageWindow).Add(late)) {
		return true
	}
	missing, whole := d.uplink.MissingGateways(window, d.config.UsageWindow)
	if len(missing) > 0 && d.reports.firstWait(window) {
		d.log.Info().Int64("window", window).Strs("gateways", missing).Msg("usage report waits for counts of gateways")
	}
	return whole
}

// reportWindow commits the counts of a window to the log and sends its report. It reports
// whether the report was accepted, from this or an earlier holder of the duties.
func (d *Duties) reportWindow(ctx context.Context, window int64) bool {
	limit, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	counts := d.uplink.UsageTotals(window)
	result, err := d.group.Propose(limit, protocol.Command{Settle: &protocol.SettleUsageMsg{Window: window, Counts: counts}})
	if err != nil || result.Settle == nil {
		d.log.Warn().Err(err).Int64("window", window).Msg("cannot settle usage counts in the replicated log")
		return false
	}
	if result.Settle.Sent {
		d.reports.done[window] = true
		return true
	}
	duty, ok := d.currentDuty()
	if !ok {
		return false
	}
	if err := d.source.Report(limit, duty, window, result.Settle.Counts); err != nil {
		d.checkFenced(duty, err)
		d.log.Warn().Err(err).Int64("window", window).Uint64("token", duty.Token).Msg("usage report failed")
		return false
	}
	d.log.Info().Int64("window", window).Uint64("token", duty.Token).Interface("counts", result.Settle.Counts).Msg("usage reported")
	d.reports.done[window] = true
	_, _ = d.group.Propose(limit, protocol.Command{Settle: &protocol.SettleUsageMsg{Window: window, Sent: true}}) // If this fails, the report is only sent again.
	return true
}
