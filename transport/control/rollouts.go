package control

import (
	"slices"
	"time"

	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/coordination/rollout"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// freshOrderAge is the age, by wall-clock time, below which an order counts as accepted just
// now: a commit takes milliseconds and clocks differ by less than a second.
const freshOrderAge = 1500 * time.Millisecond

// Exposure bounds the requests sent to a version on trial.
type Exposure struct {
	Share float64 // Share is its share of the service's requests, from 0 to 1.
	Slack float64 // Slack is a number of additional requests.
	// Unannounced is how long servers of a version without an order are hidden from the
	// gateways, because the order may not have arrived yet.
	Unannounced time.Duration
}

// loggedRollouts are the roll-outs in the log.
type loggedRollouts struct {
	protocol.RolloutLog
	startedAt map[uint64]time.Time // startedAt is when each was ordered, by this instance's own clock.
}

// InstallRollouts stores the roll-outs of the log. The loop of the replica calls it.
func (u *Uplink) InstallRollouts(l protocol.RolloutLog) {
	before := u.loggedRollouts.Load()
	next := &loggedRollouts{RolloutLog: l, startedAt: map[uint64]time.Time{}}
	now := clock.Now()
	for i := range l.Latest {
		r := &l.Latest[i]
		if began, ok := before.startedAt[r.Number]; ok {
			next.startedAt[r.Number] = began
			continue
		}
		age := time.Since(time.UnixMilli(r.BeganAt)) // The log uses wall-clock time.
		if age < freshOrderAge {
			age = 0
		}
		next.startedAt[r.Number] = now.Add(-age)
	}
	u.loggedRollouts.Store(next)
}

// activeRollout is a leader's state of a running roll-out.
type activeRollout struct {
	record      protocol.Rollout
	startedAt   time.Time // startedAt is when it was ordered.
	movingSince time.Time // movingSince is when this leader first saw it in the moving stage.
	idleSince   time.Time // idleSince is when the servers of the former versions became idle; zero while they are busy.
	pool        *rollout.Pool
	counters    *rollout.Counters
	analyzer    rollout.Analyzer
	heldStages  map[string]protocol.RolloutStage // heldStages are the stages that the gateways follow.
}

// applyRollouts applies changes of the log to the running roll-outs and the view. The caller
// holds u.mu.
func (u *Uplink) applyRollouts() {
	l := u.loggedRollouts.Load()
	if u.appliedRollouts == l.Changes {
		return
	}
	u.appliedRollouts = l.Changes
	trials := map[uint64]*activeRollout{}
	for _, r := range l.Latest {
		if r.Stage.Final() {
			continue
		}
		t := u.activeRollouts[r.Number]
		if t == nil {
			t = &activeRollout{
				startedAt:  l.startedAt[r.Number],
				pool:       rollout.NewPool(u.exposure.Share, u.exposure.Slack),
				counters:   rollout.NewCounters(),
				analyzer:   rollout.NewSequential(),
				heldStages: map[string]protocol.RolloutStage{},
			}
		}
		if r.Stage == protocol.RolloutMoving && t.movingSince.IsZero() {
			t.movingSince = clock.Now()
		}
		t.record = r
		trials[r.Number] = t
	}
	u.activeRollouts = trials
	if u.listed {
		u.view = place.NewView(u.servers, u.view, place.WithRollouts(l.Latest), place.WithRegions(u.topology))
		u.updateLimits()
	}
}

// fillRollouts adds the roll-outs to the answer to a gateway that follows another version of
// them. The caller holds u.mu.
func (u *Uplink) fillRollouts(held uint64, reply *protocol.SyncReply) {
	l := u.loggedRollouts.Load()
	reply.Changes = l.Changes
	if held != l.Changes {
		reply.Rollouts = l.Latest
	}
}

// handleTrials records a gateway's reports on trials and adds the credits to the answer. The
// caller holds u.mu.
func (u *Uplink) handleTrials(m *protocol.SyncMsg, reply *protocol.SyncReply, now time.Time) {
	u.applyRollouts()
	for i := range m.Trials {
		report := &m.Trials[i]
		t := u.activeRollouts[report.Number]
		if t == nil {
			continue // The roll-out has ended.
		}
		t.heldStages[m.Gateway] = report.Held
		t.analyzer.Observe(t.counters.Update(m.Gateway, m.Life, report.Rows), now)
		if t.record.Stage != protocol.RolloutTrial {
			continue
		}
		elapsed := now.Sub(t.startedAt)
		share := rollout.TrialShare(&t.record, elapsed)
		reply.Trials = append(reply.Trials, protocol.TrialGrant{Number: report.Number, Share: share, Credits: t.pool.Grant(rollout.ReportMsg{
			Gateway:  m.Gateway,
			Life:     m.Life,
			Arrived:  report.Arrived,
			Tried:    report.Tried,
			Wants:    report.Wants,
			Share:    share,
			Progress: rollout.TrialProgress(&t.record, elapsed),
			CanGrant: now.Sub(u.enteredAt) >= rollout.CreditLease,
		})})
	}
}

// plannableServers returns the servers that count towards the number of servers of a service,
// and whether that number may be planned now. Servers of a version on trial do not count, and
// while requests move from one version to another no order is safe.
func (u *Uplink) plannableServers(service string, servers []protocol.Instance) ([]protocol.Instance, bool) {
	for _, r := range u.loggedRollouts.Load().Latest {
		if r.Service != service {
			continue
		}
		excluded := func(in protocol.Instance) bool {
			return in.Service == service && (r.Blocks(in.Version) || r.OnTrial(in.Version))
		}
		return slices.DeleteFunc(slices.Clone(servers), excluded), r.Stage != protocol.RolloutMoving
	}
	return servers, true
}
