// Package usage counts started requests by workspace and window of wall-clock
// time.
//
// A [Counter] counts on a gateway. A [Ledger], on the leading control instance,
// adds up the gateways' counts. Each count is the total that the gateway has
// counted in the window since it started, and is sent until a leader acknowledges
// it, so lost and duplicate messages do no harm. The usage of a window is
// committed to the replicated log before it is reported; see
// protocol.SettleUsageMsg.
package usage

import (
	"slices"
	"strings"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// Window returns the number of the window that contains a time.
func Window(t time.Time, length time.Duration) int64 {
	return t.UnixNano() / int64(length)
}

// End returns the time at which a window ends.
func End(window int64, length time.Duration) time.Time {
	return time.Unix(0, (window+1)*int64(length))
}

// key identifies a count of a [Counter].
type key struct {
	window    int64
	workspace string
}

// Counter holds the counts of one gateway.
type Counter struct {
	length       time.Duration
	retained     int64 // retained is the number of windows for which counts are kept.
	counts       map[key]int64
	acknowledged map[key]int64
	term         uint64 // term is the term of the leader that sent the acknowledgements.
}

// NewCounter returns a counter for windows of a length. It keeps the counts of a
// window until the report on it is due.
func NewCounter(length, due time.Duration) *Counter {
	return &Counter{length: length, retained: int64(due/length) + 2, counts: map[key]int64{}, acknowledged: map[key]int64{}}
}

// RecordStart counts a request of a workspace that started to run.
func (c *Counter) RecordStart(workspace string, now time.Time) {
	c.counts[key{Window(now, c.length), workspace}]++
}

// Rows returns the counts that the leader of a term has not acknowledged.
func (c *Counter) Rows(term uint64, now time.Time) []protocol.UsageRow {
	c.forget(Window(now, c.length) - c.retained)
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

// Acknowledged records that the leader of a term has the rows. If the rows were built
// for a leader of another term, counts that only that one has acknowledged are sent
// again.
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

// Ledger holds the counts of all gateways.
type Ledger struct {
	windows map[int64]map[incarnation]map[string]int64
	changed map[change]bool // changed are the counts that have not been logged yet.
}

// change identifies a count of a [Ledger].
type change struct {
	window      int64
	incarnation incarnation
	workspace   string
}

// incarnation is one incarnation of one gateway.
type incarnation struct {
	gateway string
	life    uint64
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{windows: map[int64]map[incarnation]map[string]int64{}, changed: map[change]bool{}}
}

// Record merges the counts of a gateway. Counts only increase, so a stale message
// has no effect.
func (l *Ledger) Record(gateway string, life uint64, rows []protocol.UsageRow) {
	from := incarnation{gateway, life}
	for _, r := range rows {
		w := l.windows[r.Window]
		if w == nil {
			w = map[incarnation]map[string]int64{}
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

// Changes returns the counts that have changed since the last call, to be logged.
func (l *Ledger) Changes() []protocol.TallyRow {
	rows := make([]protocol.TallyRow, 0, len(l.changed))
	for c := range l.changed {
		rows = append(rows, protocol.TallyRow{Gateway: c.incarnation.gateway, Life: c.incarnation.life, Window: c.window, Workspace: c.workspace, Count: l.windows[c.window][c.incarnation][c.workspace]})
	}
	clear(l.changed)
	return rows
}

// MarkUnlogged makes the next call of Changes return counts that could not be logged, unless the ledger
// does not have them any more.
func (l *Ledger) MarkUnlogged(rows []protocol.TallyRow) {
	for _, r := range rows {
		from := incarnation{r.Gateway, r.Life}
		if _, known := l.windows[r.Window][from][r.Workspace]; known {
			l.changed[change{r.Window, from, r.Workspace}] = true
		}
	}
}

// Restore merges counts from the log.
func (l *Ledger) Restore(rows []protocol.TallyRow) {
	for _, r := range rows {
		l.Record(r.Gateway, r.Life, []protocol.UsageRow{{Window: r.Window, Workspace: r.Workspace, Count: r.Count}})
	}
	clear(l.changed)
}

// Total returns a window's counts, summed over all gateways, by workspace.
func (l *Ledger) Total(window int64) map[string]int64 {
	total := map[string]int64{}
	for _, counts := range l.windows[window] {
		for workspace, n := range counts {
			total[workspace] += n
		}
	}
	return total
}

// Forget deletes the windows before a given one.
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
