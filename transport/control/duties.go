package control

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/weldstream/weldstream/coordination/usage"
	"github.com/weldstream/weldstream/internal/pause"
	"github.com/weldstream/weldstream/protocol"
)

// Errors that a Source tells apart.
var (
	// ErrFenced is returned when the platform has seen a higher fencing token.
	ErrFenced = errors.New("the platform has seen a higher fencing token")
	// ErrNoneLeft is returned when there is no server to be had now.
	ErrNoneLeft = errors.New("the platform has none to give now")
)

const (
	dutyTick = 100 * time.Millisecond
	// callTime bounds a call to the platform.
	callTime = 1500 * time.Millisecond
	// listEvery is between two reads of the list, at the least, and listPart the
	// part of the platform's rate that they may take: another instance may read too.
	listEvery = 500 * time.Millisecond
	listPart  = 0.6
	// settleShare of the time until a report is due is left for counts to come in.
	settleShare = 0.45
	// windowsBack is how many windows behind a leader looks for one that is not
	// reported yet.
	windowsBack = 6
)

// Duties is what the leader does. One goroutine runs the list, another the
// duties, so that a call that hangs holds up only its own kind.
type Duties struct {
	limits Limits
	holder string
	group  Group
	source Source
	uplink *Uplink
	fleet  *Fleet
	log    zerolog.Logger

	recalled atomic.Uint64 // recalled is the term in which the logged counts were recalled.

	// The duty loop's own.
	term   uint64
	since  time.Time      // since is when this instance began to lead in the term.
	held   bool           // held says that the log names this instance as the holder of the term.
	former string         // former is the holder before.
	fenced bool           // fenced says that the term's token was refused.
	done   map[int64]bool // done are the windows whose reports were taken in this term.
	retry  map[int64]time.Time
}

// NewDuties returns duties that nobody carries out yet.
func NewDuties(l Limits, holder string, g Group, s Source, u *Uplink, log zerolog.Logger) *Duties {
	d := &Duties{limits: l, holder: holder, group: g, source: s, uplink: u, log: log}
	if l.Fleet {
		d.fleet = NewFleet(u, log)
	}
	return d
}

// RunList reads the platform's list while this instance leads.
func (d *Duties) RunList(ctx context.Context) error {
	failing := false
	for ctx.Err() == nil {
		changed := d.group.Changed()
		term, ok := d.group.Vouches()
		if !ok {
			pause.Until(ctx, dutyTick, changed)
			continue
		}
		limit, cancel := context.WithTimeout(ctx, callTime)
		list, calls, err := d.source.List(limit)
		cancel()
		if err == nil {
			d.uplink.SetServers(term, list)
		}
		if (err != nil) != failing {
			failing = err != nil
			d.log.Warn().Err(err).Bool("failing", failing).Msg("the platform's list")
		}
		pause.For(ctx, d.listPause(calls))
	}
	return nil
}

// listPause is between two reads of the list, so that the calls for its pages keep
// to a part of the platform's rate.
func (d *Duties) listPause(calls int) time.Duration {
	if d.limits.ListRate <= 0 {
		return listEvery
	}
	return max(listEvery, time.Duration(float64(calls)/(listPart*d.limits.ListRate)*float64(time.Second)))
}

// RunDuties carries out the duties while this instance leads.
func (d *Duties) RunDuties(ctx context.Context) error {
	for ctx.Err() == nil {
		if d.mayAct(ctx) {
			d.report(ctx)
			d.scale(ctx)
		}
		pause.For(ctx, dutyTick)
	}
	return nil
}

// mayAct reports whether this instance holds the duties: it leads, its lease
// runs, the log names it as the holder, and the former holder's lease is over.
func (d *Duties) mayAct(ctx context.Context) bool {
	term, ok := d.group.Vouches()
	if !ok {
		return false
	}
	now := time.Now()
	if term != d.term {
		d.term, d.since, d.held, d.fenced = term, now, false, false
		d.done, d.retry = map[int64]bool{}, map[int64]time.Time{}
		if d.fleet != nil {
			d.fleet.Reset(now)
		}
	}
	if d.fenced || (!d.held && !d.hold(ctx)) {
		return false
	}
	return d.former == "" || d.former == d.holder || now.Sub(d.since) >= d.limits.Lease
}

// hold has the log name this instance as the holder. Nobody acts before, so the
// one named before is the last that may have acted.
func (d *Duties) hold(ctx context.Context) bool {
	limit, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	result, err := d.group.Propose(limit, protocol.Command{Hold: &protocol.HoldMsg{Holder: d.holder, Token: d.term}})
	if err != nil || result.Hold == nil || result.Hold.Token != d.term {
		return false
	}
	tally, err := d.group.Propose(limit, protocol.Command{Tally: &protocol.TallyMsg{}})
	if err != nil || tally.Tally == nil {
		return false
	}
	d.uplink.Recall(d.term, tally.Tally.Rows)
	d.recalled.Store(d.term)
	d.held, d.former = true, result.Hold.Former
	d.log.Info().Uint64("token", d.term).Str("former", d.former).Msg("duties held")
	return true
}

// duty returns the token to act with, if this instance still may, right now.
func (d *Duties) duty() (Duty, bool) {
	term, ok := d.group.Vouches()
	return Duty{Holder: d.holder, Token: term}, ok && term == d.term && !d.fenced
}

// refused notes an error of a call that carried a token.
func (d *Duties) refused(err error) {
	if errors.Is(err, ErrFenced) {
		d.fenced = true
		d.log.Warn().Uint64("term", d.term).Msg("the platform refused the fencing token")
	}
}

// report sends the reports that are owed: the counts are settled in the log
// first, so that every repeat is the same.
func (d *Duties) report(ctx context.Context) {
	if !d.limits.Usage {
		return
	}
	now := d.uplink.Clock()
	late := time.Duration(settleShare * float64(d.limits.UsageDue))
	current := usage.Window(now, d.limits.UsageWindow)
	for w := current - windowsBack; w < current; w++ {
		if d.done[w] || now.Before(usage.End(w, d.limits.UsageWindow).Add(late)) || now.Before(d.retry[w]) {
			continue
		}
		if !d.reportWindow(ctx, w) {
			d.retry[w] = now.Add(dutyRetry)
		}
	}
	for w := range d.done {
		if w < current-2*windowsBack {
			delete(d.done, w)
			delete(d.retry, w)
		}
	}
}

const dutyRetry = 400 * time.Millisecond

func (d *Duties) reportWindow(ctx context.Context, window int64) bool {
	limit, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	counts := d.uplink.Used(window)
	result, err := d.group.Propose(limit, protocol.Command{Settle: &protocol.SettleMsg{Window: window, Counts: counts}})
	if err != nil || result.Settle == nil {
		d.log.Warn().Err(err).Int64("window", window).Msg("usage not settled")
		return false
	}
	if result.Settle.Sent {
		d.done[window] = true
		return true
	}
	duty, ok := d.duty()
	if !ok {
		return false
	}
	if err := d.source.Report(limit, duty, window, result.Settle.Counts); err != nil {
		d.refused(err)
		d.log.Warn().Err(err).Int64("window", window).Uint64("token", duty.Token).Msg("usage report not taken")
		return false
	}
	d.log.Info().Int64("window", window).Uint64("token", duty.Token).Interface("counts", result.Settle.Counts).Msg("usage reported")
	d.done[window] = true
	_, _ = d.group.Propose(limit, protocol.Command{Settle: &protocol.SettleMsg{Window: window, Sent: true}}) // Only saves a repeat.
	return true
}

// scale sends the orders that the planner wants.
func (d *Duties) scale(ctx context.Context) {
	if d.fleet == nil {
		return
	}
	d.settleBases(ctx)
	for _, o := range d.fleet.Plan(time.Now()) {
		duty, ok := d.duty()
		if !ok {
			return
		}
		limit, cancel := context.WithTimeout(ctx, callTime)
		err := d.source.Order(limit, duty, o)
		cancel()
		d.refused(err)
		d.log.Info().Err(err).Str("service", o.Service).Str("domain", o.Domain).Int("count", o.Count).Bool("reclaimable", o.Reclaimable).
			Uint64("token", duty.Token).Msg("servers ordered")
		d.fleet.Ordered(o, err, time.Now())
	}
}

// tallyEvery is between two logged states of the counts.
const tallyEvery = 400 * time.Millisecond

// RunTally logs the counts while this instance leads, beside the duties: these wait
// for the platform, and for the end of a former holder's lease.
func (d *Duties) RunTally(ctx context.Context) error {
	for ctx.Err() == nil {
		pause.For(ctx, tallyEvery)
		if term, ok := d.group.Vouches(); ok && term == d.recalled.Load() {
			d.tally(ctx)
		}
	}
	return nil
}

// tally logs the counts that are not settled yet: a loss of power everywhere
// takes the gateways' own.
func (d *Duties) tally(ctx context.Context) {
	if !d.limits.Usage {
		return
	}
	rows := d.uplink.Changes(usage.Window(d.uplink.Clock(), d.limits.UsageWindow) - windowsBack)
	if len(rows) == 0 {
		return
	}
	limit, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	if _, err := d.group.Propose(limit, protocol.Command{Tally: &protocol.TallyMsg{Rows: rows}}); err != nil {
		d.log.Warn().Err(err).Int("rows", len(rows)).Msg("counts not logged")
	}
}

// settleBases has the first number of servers of each service settled in the
// log, so that every later leader plans from the same.
func (d *Duties) settleBases(ctx context.Context) {
	for _, m := range d.fleet.Unsettled(time.Now()) {
		limit, cancel := context.WithTimeout(ctx, callTime)
		result, err := d.group.Propose(limit, protocol.Command{Base: &m})
		cancel()
		if err != nil || result.Base == nil {
			return
		}
		d.fleet.Settled(m.Service, result.Base.Servers)
		if result.Base.Servers == 0 {
			continue
		}
		d.log.Info().Str("service", m.Service).Int("servers", result.Base.Servers).Msg("first number of servers settled")
	}
}
