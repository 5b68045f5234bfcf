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

// Errors that a Source tells apart.
var (
	// ErrFenced is returned when the platform has seen a higher fencing token.
	ErrFenced = errors.New("the platform has seen a higher fencing token")
	// ErrNoCapacity is returned when there is no server to be had now.
	ErrNoCapacity = errors.New("the platform has none to give now")
)

const (
	dutyTick = 100 * time.Millisecond
	// callTime bounds a call to the platform.
	callTime = 1500 * time.Millisecond
	// listEvery is between two reads of the list, at the least, and listPart the
	// part of the platform's rate that they may take: another instance may read too.
	listEvery = 500 * time.Millisecond
	listPart  = 0.6
	// listSlack is how much later than expected the list may be read before it counts as
	// out of date: some answers of the platform. Notices are of a second or more.
	listSlack = 250 * time.Millisecond
)

// Duties is what the leader does. The list, the usage reports, the orders for servers
// and the log of counts each have a goroutine, so that a call that hangs holds up only
// its own kind: with reports behind orders, each order to a silent platform held them
// up for callTime.
type Duties struct {
	limits DutyConfig
	holder string
	group  Group
	source Source
	uplink *Uplink
	fleet  *Fleet
	log    zerolog.Logger

	recalled atomic.Uint64 // recalled is the term in which the logged counts were recalled.
	tenure   tenure

	reports reports // reports belong to the loop of the reports.
	ordered uint64  // ordered is the term that the orders belong to; the loop of the orders owns it.
}

// NewDuties returns duties that nobody carries out yet.
func NewDuties(l DutyConfig, holder string, g Group, s Source, u *Uplink, log zerolog.Logger) *Duties {
	d := &Duties{limits: l, holder: holder, group: g, source: s, uplink: u, log: log, reports: newReports(0)}
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
		wait := d.listPause(calls)
		d.uplink.ExpectList(term, err == nil, wait)
		pause.For(ctx, wait)
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

// RunReports sends the usage reports while this instance leads.
func (d *Duties) RunReports(ctx context.Context) error {
	return d.run(ctx, d.limits.Usage, d.report)
}

// RunOrders orders servers while this instance leads.
func (d *Duties) RunOrders(ctx context.Context) error {
	return d.run(ctx, d.fleet != nil, d.scale)
}

// run does one kind of duty while this instance leads.
func (d *Duties) run(ctx context.Context, owed bool, duty func(context.Context)) error {
	for ctx.Err() == nil {
		if owed && d.mayAct(ctx) {
			duty(ctx)
		}
		pause.For(ctx, dutyTick)
	}
	return nil
}

// scale sends the orders that the planner wants.
func (d *Duties) scale(ctx context.Context) {
	if term := d.tenure.current(); term != d.ordered {
		d.ordered = term
		d.fleet.Reset(clock.Now())
	}
	d.settleBases(ctx)
	for _, o := range d.fleet.Plan(clock.Now()) {
		duty, ok := d.duty()
		if !ok {
			return
		}
		limit, cancel := context.WithTimeout(ctx, callTime)
		err := d.source.Order(limit, duty, o)
		cancel()
		d.refused(duty, err)
		d.log.Info().Err(err).Str("service", o.Service).Str("domain", o.Domain).Int("count", o.Count).Bool("reclaimable", o.Reclaimable).
			Uint64("token", duty.Token).Msg("servers ordered")
		d.fleet.Ordered(o, err, clock.Now())
	}
}

// tallyEvery is between two logged states of the counts.
const tallyEvery = 400 * time.Millisecond

// RunUsageLog logs the counts while this instance leads, beside the duties: these wait
// for the platform, and for the end of a former holder's lease.
func (d *Duties) RunUsageLog(ctx context.Context) error {
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
	rows := d.uplink.Changes(usage.Window(d.uplink.Clock(), d.limits.UsageWindow)-windowsBack, d.limits.UsageWindow)
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
	for _, m := range d.fleet.Unsettled(clock.Now()) {
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
