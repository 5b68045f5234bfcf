package control

import (
	"slices"
	"time"

	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/coordination/rollout"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// liveOrder is how old an order may be, by the time of day, to count as accepted now:
// a commit takes milliseconds, clocks differ by less than a second.
const liveOrder = 1500 * time.Millisecond

// Exposure bounds what a version on trial may get.
type Exposure struct {
	Share float64 // Share is the part of its service's requests, 0 to 1.
	Slack float64 // Slack are requests besides.
	// Unannounced is for how long servers of a version that no order names are kept from
	// the gateways: the order may be on its way.
	Unannounced time.Duration
}

// logged are the roll-outs as the log has them.
type logged struct {
	protocol.RolloutLog
	began map[uint64]time.Time // began is when each was ordered, by this instance's own clock.
}

// InstallRollouts takes the roll-outs of the log. The replica's loop calls it.
func (u *Uplink) InstallRollouts(l protocol.RolloutLog) {
	before := u.logged.Load()
	next := &logged{RolloutLog: l, began: map[uint64]time.Time{}}
	now := clock.Now()
	for i := range l.Latest {
		r := &l.Latest[i]
		if began, ok := before.began[r.Number]; ok {
			next.began[r.Number] = began
			continue
		}
		age := time.Since(time.UnixMilli(r.BeganAt)) // By the time of day, as the log has it.
		if age < liveOrder {
			age = 0
		}
		next.began[r.Number] = now.Add(-age)
	}
	u.logged.Store(next)
}

// trial is what the leader of a term knows of a roll-out that runs.
type trial struct {
	record     protocol.Rollout
	began      time.Time // began is when it was ordered.
	movedAt    time.Time // movedAt is when this leader saw it move first.
	quietSince time.Time // quietSince is since when nothing runs on the former servers; zero while something does.
	pool       *rollout.Pool
	counters   *rollout.Counters
	analyzer   rollout.Analyzer
	held       map[string]protocol.RolloutStage // held are the stages that the gateways keep to.
}

// renewRollouts takes what changed in the log, and has the view follow. It needs u.mu.
func (u *Uplink) renewRollouts() {
	l := u.logged.Load()
	if u.rolled == l.Changes {
		return
	}
	u.rolled = l.Changes
	trials := map[uint64]*trial{}
	for _, r := range l.Latest {
		if r.Stage.Final() {
			continue
		}
		t := u.trials[r.Number]
		if t == nil {
			t = &trial{
				began:    l.began[r.Number],
				pool:     rollout.NewPool(u.exposure.Share, u.exposure.Slack),
				counters: rollout.NewCounters(),
				analyzer: rollout.NewSequential(),
				held:     map[string]protocol.RolloutStage{},
			}
		}
		if r.Stage == protocol.RolloutMoving && t.movedAt.IsZero() {
			t.movedAt = clock.Now()
		}
		t.record = r
		trials[r.Number] = t
	}
	u.trials = trials
	if u.listed {
		u.view = place.NewView(u.servers, u.view, place.WithRollouts(l.Latest), place.WithRegions(u.topology))
	}
}

// answerChanges answers a gateway that keeps to the roll-outs of a change. It needs u.mu.
func (u *Uplink) answerChanges(held uint64, reply *protocol.SyncReply) {
	l := u.logged.Load()
	reply.Changes = l.Changes
	if held != l.Changes {
		reply.Rollouts = l.Latest
	}
}

// answerTrials answers what a gateway reports of roll-outs. It needs u.mu.
func (u *Uplink) answerTrials(m *protocol.SyncMsg, reply *protocol.SyncReply, now time.Time) {
	u.renewRollouts()
	for i := range m.Trials {
		report := &m.Trials[i]
		t := u.trials[report.Number]
		if t == nil {
			continue // It is over.
		}
		t.held[m.Gateway] = report.Held
		t.analyzer.Observe(t.counters.Update(m.Gateway, m.Life, report.Rows), now)
		if t.record.Stage != protocol.RolloutTrial {
			continue
		}
		elapsed := now.Sub(t.began)
		share := rollout.TrialShare(&t.record, elapsed)
		reply.Trials = append(reply.Trials, protocol.TrialGrant{Number: report.Number, Share: share, Credits: t.pool.Grant(rollout.ReportMsg{
			Gateway:  m.Gateway,
			Life:     m.Life,
			Arrived:  report.Arrived,
			Tried:    report.Tried,
			Wants:    report.Wants,
			Share:    share,
			Progress: rollout.TrialProgress(&t.record, elapsed),
			CanGrant: now.Sub(u.entered) >= rollout.CreditLease,
		})})
	}
}

// planned returns the servers by which a service's number of servers is planned, and
// whether it is to be planned now: those of a version on trial do not count, and
// while requests move from one version to another no order is safe.
func (u *Uplink) planned(service string, servers []protocol.Instance) ([]protocol.Instance, bool) {
	for _, r := range u.logged.Load().Latest {
		if r.Service != service {
			continue
		}
		out := func(in protocol.Instance) bool {
			return in.Service == service && (r.Blocks(in.Version) || r.OnTrial(in.Version))
		}
		return slices.DeleteFunc(slices.Clone(servers), out), r.Stage != protocol.RolloutMoving
	}
	return servers, true
}
