package control

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/weldstream/weldstream/coordination/usage"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/internal/pause"
	"github.com/weldstream/weldstream/protocol"
)

// Errors that implementations of Source return.
var (
	// ErrFenced is returned if the platform has seen a higher fencing token.
	ErrFenced = errors.New("the platform has seen a higher fencing token")
	// ErrNoCapacity is returned if no server is available now.
	ErrNoCapacity = errors.New("the platform has no server available")
)

const (
	dutyInterval = 100 * time.Millisecond
	// callTimeout bounds a call to the platform.
	callTimeout = 1500 * time.Millisecond
	// minListInterval is the minimum time between two reads of the list. listRateShare is
	// the share of the platform's rate limit that reads may use, since another instance
	// may be reading as well.
	minListInterval = 500 * time.Millisecond
	listRateShare   = 0.6
	// listGrace is how much later than expected the list may be read before it counts as
	// out of date: several response times of the platform. Notices of leaving servers are
	// given a second or more ahead.
	listGrace = 250 * time.Millisecond
)

// Duties carries out the leader's duties. Reading the list, reporting usage, ordering
// servers and logging counts each have a goroutine, so that a call that hangs delays only
// its own kind: when one goroutine sent both orders and reports, every order to an
// unresponsive platform delayed the reports by callTimeout.
type Duties struct {
	config DutyConfig
	holder string
	group  Group
	source Source
	uplink *Uplink
	fleet  *Fleet
	log    zerolog.Logger

	restoredTerm atomic.Uint64 // restoredTerm is the term in which the logged counts were restored.
	tenure       tenure

	reports    reportLog // reports is used only by the loop that sends reports.
	ordersTerm uint64    // ordersTerm is the term of the planner's orders; only the loop that sends orders uses it.
}

// NewDuties returns the duties; they are carried out by the Run methods.
func NewDuties(l DutyConfig, holder string, g Group, s Source, u *Uplink, log zerolog.Logger) *Duties {
	d := &Duties{config: l, holder: holder, group: g, source: s, uplink: u, log: log, reports: newReports(0)}
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
			pause.Until(ctx, dutyInterval, changed)
			continue
		}
		limit, cancel := context.WithTimeout(ctx, callTimeout)
		list, calls, err := d.source.List(limit)
		cancel()
		if err == nil {
			d.uplink.SetServers(term, list)
		}
		if (err != nil) != failing {
			failing = err != nil
			d.log.Warn().Err(err).Bool("failing", failing).Msg("platform list read status changed")
		}
		wait := d.listInterval(calls)
		d.uplink.RecordListRead(term, err == nil, wait)
		pause.For(ctx, wait)
	}
	return nil
}

// listInterval returns the time between two reads of the list, chosen so that the calls for
// its pages stay within a share of the platform's rate limit.
func (d *Duties) listInterval(calls int) time.Duration {
	if d.config.ListRate <= 0 {
		return minListInterval
	}
	return max(minListInterval, time.Duration(float64(calls)/(listRateShare*d.config.ListRate)*float64(time.Second)))
}

// RunReports sends the usage reports while this instance leads.
func (d *Duties) RunReports(ctx context.Context) error {
	return d.run(ctx, d.config.Usage, d.sendReports)
}

// RunOrders orders servers while this instance leads.
func (d *Duties) RunOrders(ctx context.Context) error {
	return d.run(ctx, d.fleet != nil, d.sendOrders)
}

// run carries out one kind of duty while this instance leads.
func (d *Duties) run(ctx context.Context, enabled bool, duty func(context.Context)) error {
	for ctx.Err() == nil {
		if enabled && d.mayAct(ctx) {
			duty(ctx)
		}
		pause.For(ctx, dutyInterval)
	}
	return nil
}

// sendOrders sends the orders that the planner returns.
func (d *Duties) sendOrders(ctx context.Context) {
	if term := d.tenure.current(); term != d.ordersTerm {
		d.ordersTerm = term
		d.fleet.Reset(clock.Now())
	}
	d.settleBaselines(ctx)
	for _, o := range d.fleet.Plan(clock.Now()) {
		duty, ok := d.currentDuty()
		if !ok {
			return
		}
		limit, cancel := context.WithTimeout(ctx, callTimeout)
		err := d.source.Order(limit, duty, o)
		cancel()
		d.checkFenced(duty, err)
		d.log.Info().Err(err).Str("service", o.Service).Str("domain", o.Domain).Int("count", o.Count).Bool("reclaimable", o.Reclaimable).
			Uint64("token", duty.Token).Msg("servers ordered")
		d.fleet.RecordOrder(o, err, clock.Now())
	}
}

// usageLogInterval is the time between two log entries for the counts.
const usageLogInterval = 400 * time.Millisecond

// RunUsageLog logs the usage counts while this instance leads. It has its own loop because
// the duties wait for the platform and for the expiry of a former holder's lease.
func (d *Duties) RunUsageLog(ctx context.Context) error {
	for ctx.Err() == nil {
		pause.For(ctx, usageLogInterval)
		if term, ok := d.group.Vouches(); ok && term == d.restoredTerm.Load() {
			d.logUsage(ctx)
		}
	}
	return nil
}

// logUsage logs the counts that are not settled yet, because a power failure everywhere
// would destroy the gateways' copies.
func (d *Duties) logUsage(ctx context.Context) {
	if !d.config.Usage {
		return
	}
	rows := d.uplink.UnloggedCounts(usage.Window(d.uplink.Clock(), d.config.UsageWindow)-windowLookback, d.config.UsageWindow)
	if len(rows) == 0 {
		return
	}
	limit, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := d.group.Propose(limit, protocol.Command{Tally: &protocol.TallyMsg{Rows: rows}}); err != nil {
		d.log.Warn().Err(err).Int("rows", len(rows)).Msg("cannot append usage counts to the replicated log")
		d.uplink.MarkUnlogged(rows)
	}
}

// settleBaselines commits the initial number of servers of each service to the log, so that
// all later leaders plan from the same number.
func (d *Duties) settleBaselines(ctx context.Context) {
	for _, m := range d.fleet.PendingBaselines(clock.Now()) {
		limit, cancel := context.WithTimeout(ctx, callTimeout)
		result, err := d.group.Propose(limit, protocol.Command{Base: &m})
		cancel()
		if err != nil || result.Base == nil {
			return
		}
		d.fleet.SetBaseline(m.Service, result.Base.Servers)
		if result.Base.Servers == 0 {
			continue
		}
		d.log.Info().Str("service", m.Service).Int("servers", result.Base.Servers).Msg("initial number of servers committed")
	}
}
