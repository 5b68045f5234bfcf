// Package usage counts the requests that began to run, by workspace and window
// of wall-clock time.
//
// A [Counter] counts on a gateway. A [Ledger], on the control instance that
// leads, adds the gateways' counts up. Counts are totals since the gateway's
// start and are reported again until a leader has them, so a lost or doubled message
// does no harm. What is reported for a window is settled in the replicated log
// first; see protocol.SettleUsageMsg.
package usage

import (
	"slices"
	"strings"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// Window returns the number of the window that a time lies in.
func Window(t time.Time, length time.Duration) int64 {
	return t.UnixNano() / int64(length)
}

// End returns when a window closes.
func End(window int64, length time.Duration) time.Time {
	return time.Unix(0, (window+1)*int64(length))
}

// key names one count.
type key struct {
	window    int64
	workspace string
}

// Counter counts on one gateway.
type Counter struct {
	length       time.Duration
	kept         int64 // kept is for how many windows counts are reported again.
	counts       map[key]int64
	acknowledged map[key]int64
	term         uint64 // term is of the leader that acknowledged counts were reported to.
}

// NewCounter returns a counter of windows with a length, which tells its counts
// for as long as a report is not due.
func NewCounter(length, due time.Duration) *Counter {
	return &Counter{length: length, kept: int64(due/length) + 2, counts: map[key]int64{}, acknowledged: map[key]int64{}}
}

// RecordStart notes that a request of a workspace began to run.
func (c *Counter) RecordStart(workspace string, now time.Time) {
	c.counts[key{Window(now, c.length), workspace}]++
}

// Rows returns the counts that a leader of a term lacks.
func (c *Counter) Rows(term uint64, now time.Time) []protocol.UsageRow {
	c.forget(Window(now, c.length) - c.kept)
	var rows []protocol.UsageRow
	for k, n := range c.counts {
		if c.term == term && c.acknowledged[k] == n {
			continue
		}
		rows = append(rows, protocol.UsageRow{Window: k.window, Workspace: k.workspace, Count: n})
	}
	slices.SortFunc(rows, func(a, b protocol.UsageRow) int {
		if a.Window != b.Window {
			return int(a.Window - b.Window)
		}
		return strings.Compare(a.Workspace, b.Workspace)
	})
	return rows
}

// Acknowledged notes that the leader of a term has the rows. They may have been made
// for the leader before: what only that one had is told again.
func (c *Counter) Acknowledged(term uint64, rows []protocol.UsageRow) {
	if c.term != term {
		clear(c.acknowledged)
		c.term = term
	}
	for _, r := range rows {
		c.acknowledged[key{r.Window, r.Workspace}] = r.Count
	}
}

func (c *Counter) forget(before int64) {
	for k := range c.counts {
		if k.window < before {
			delete(c.counts, k)
			delete(c.acknowledged, k)
		}
	}
}

// Ledger adds up the counts of all gateways.
type Ledger struct {
	windows map[int64]map[source]map[string]int64
	changed map[change]bool // changed are counts that were not logged yet.
}

// change names a count of a ledger.
type change struct {
	window    int64
	from      source
	workspace string
}

// source is one life of one gateway.
type source struct {
	gateway string
	life    uint64
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{windows: map[int64]map[source]map[string]int64{}, changed: map[change]bool{}}
}

// Record notes the counts of a gateway. Counts only rise, so an old message
// changes nothing.
func (l *Ledger) Record(gateway string, life uint64, rows []protocol.UsageRow) {
	from := source{gateway, life}
	for _, r := range rows {
		w := l.windows[r.Window]
		if w == nil {
			w = map[source]map[string]int64{}
			l.windows[r.Window] = w
		}
		if w[from] == nil {
			w[from] = map[string]int64{}
		}
		if r.Count <= w[from][r.Workspace] {
			continue
		}
		w[from][r.Workspace] = r.Count
		l.changed[change{r.Window, from, r.Workspace}] = true
	}
}

// Changes returns the counts that changed since the last call, to be logged.
func (l *Ledger) Changes() []protocol.TallyRow {
	rows := make([]protocol.TallyRow, 0, len(l.changed))
	for c := range l.changed {
		rows = append(rows, protocol.TallyRow{Gateway: c.from.gateway, Life: c.from.life, Window: c.window, Workspace: c.workspace, Count: l.windows[c.window][c.from][c.workspace]})
	}
	clear(l.changed)
	return rows
}

// Restore takes counts that were logged.
func (l *Ledger) Restore(rows []protocol.TallyRow) {
	for _, r := range rows {
		l.Record(r.Gateway, r.Life, []protocol.UsageRow{{Window: r.Window, Workspace: r.Workspace, Count: r.Count}})
	}
	clear(l.changed)
}

// Total returns a window's counts by workspace.
func (l *Ledger) Total(window int64) map[string]int64 {
	total := map[string]int64{}
	for _, counts := range l.windows[window] {
		for workspace, n := range counts {
			total[workspace] += n
		}
	}
	return total
}

// Forget drops the windows before one.
func (l *Ledger) Forget(before int64) {
	for w := range l.windows {
		if w < before {
			delete(l.windows, w)
		}
	}
	for c := range l.changed {
		if c.window < before {
			delete(l.changed, c)
		}
	}
}
