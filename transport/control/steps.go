package control

import (
	"context"
	"maps"
	"slices"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/coordination/rollout"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/internal/pause"
	"github.com/weldstream/weldstream/protocol"
)

// rolloutInterval is the interval at which running roll-outs are evaluated. Evidence against a
// version takes effect within a tenth of a second plus the gateways' next request, far below
// the 5 s that operators allow.
const rolloutInterval = 100 * time.Millisecond

// RunRollouts advances roll-outs while this instance leads.
func (u *Uplink) RunRollouts(ctx context.Context) error {
	for ctx.Err() == nil {
		pause.For(ctx, rolloutInterval)
		term, ok := u.group.Vouches()
		if !ok {
			continue
		}
		for _, m := range u.versionsToLog(term, clock.Now()) {
			u.logVersions(ctx, m)
		}
		for _, step := range u.nextSteps(term, clock.Now()) {
			u.logStep(ctx, step)
		}
	}
	return nil
}

// nextSteps returns the due transitions of the roll-outs.
func (u *Uplink) nextSteps(term uint64, now time.Time) []protocol.StageRolloutMsg {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.enterTerm(term)
	u.applyRollouts()
	var steps []protocol.StageRolloutMsg
	for _, number := range slices.Sorted(maps.Keys(u.activeRollouts)) {
		t := u.activeRollouts[number]
		m := u.tickMsg(t, now)
		step, ok := rollout.Next(&t.record, m)
		if !ok {
			continue
		}
		steps = append(steps, step)
		u.log.Info().Str("service", step.Service).Uint64("rollout", step.Number).Str("version", t.record.Version).Stringer("from", t.record.Stage).
			Stringer("to", step.Stage).Str("reason", step.Reason).Dur("elapsed", m.Elapsed).Int64("new", m.Assessment.New).Int64("new_failed", m.Assessment.NewFailed).
			Int64("old", m.Assessment.Old).Int64("old_failed", m.Assessment.OldFailed).Float64("failures", m.Assessment.Failures).Float64("slowness", m.Assessment.Slowness).
			Int("slots", m.Slots).Float64("running", m.Running).Msg("roll-out advances")
	}
	return steps
}

// tickMsg collects the state of a roll-out for [rollout.Next]. The caller holds u.mu.
func (u *Uplink) tickMsg(t *activeRollout, now time.Time) rollout.TickMsg {
	m := rollout.TickMsg{
		Elapsed:       now.Sub(t.startedAt),
		LeadingFor:    now.Sub(u.enteredAt),
		Assessment:    t.analyzer.Assessment(),
		Running:       u.serviceLoad(t.record.Service).Work,
		InSync:        u.gatewaysInSync(t, now),
		MaxAnswerTime: u.maxAnswerTime(t.record.Service),
	}
	m.ExpectedRequests = t.pool.ExpectedRequests(m.Elapsed, t.record.Limit())
	m.Headroom = t.pool.Headroom(m.ExpectedRequests)
	for i := range u.servers {
		s := &u.servers[i]
		switch {
		case s.Service != t.record.Service:
		case s.Version == t.record.Version:
			if !s.Leaving {
				m.Slots += serverWidth(s)
			}
		default:
			m.OldRunning += u.loads.Running(s.ID)
			if !slices.Contains(m.OtherVersions, s.Version) {
				m.OtherVersions = append(m.OtherVersions, s.Version)
			}
		}
	}
	switch {
	case m.OldRunning > 0:
		t.idleSince = time.Time{}
	case t.idleSince.IsZero():
		t.idleSince = now
	default:
		m.IdleFor = now.Sub(t.idleSince)
	}
	if !t.movingSince.IsZero() {
		m.MovingFor = now.Sub(t.movingSince)
	}
	return m
}

func serverWidth(in *protocol.Instance) int {
	s := place.Server{Instance: *in}
	return s.SlotCount()
}

// gatewaysInSync reports whether all active gateways follow the current stage. The caller
// holds u.mu.
func (u *Uplink) gatewaysInSync(t *activeRollout, now time.Time) bool {
	u.countGateways(now)
	for name := range u.gateways {
		if held, ok := t.heldStages[name]; !ok || held != t.record.Stage {
			return false
		}
	}
	return len(u.gateways) > 0
}

// maxAnswerTime returns the longest time-out of the routes to a service. The caller holds u.mu.
func (u *Uplink) maxAnswerTime(service string) time.Duration {
	longest := time.Duration(0)
	if u.catalog == nil {
		return longest
	}
	for i := range u.catalog.Routes {
		r := &u.catalog.Routes[i]
		if slices.ContainsFunc(r.Split, func(w protocol.WeightedService) bool { return w.Service == service }) {
			longest = max(longest, r.Timeout)
		}
	}
	return longest
}

// logStep commits a transition to the log. If that fails, the next tick decides again.
func (u *Uplink) logStep(ctx context.Context, step protocol.StageRolloutMsg) {
	limit, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := u.group.Propose(limit, protocol.Command{StageRollout: &step}); err != nil {
		u.log.Warn().Err(err).Str("service", step.Service).Uint64("rollout", step.Number).Msg("cannot append a roll-out step to the replicated log")
		return
	}
	switch step.Stage {
	case protocol.RolloutCompleted:
		u.meters.completed.Inc(1)
	case protocol.RolloutRolledBack:
		u.meters.rolledBack.Inc(1)
	}
}

// rolloutMeters count the results of roll-outs that this instance led.
type rolloutMeters struct {
	completed  metrics.Counter
	rolledBack metrics.Counter
}

func newRolloutMeters(r metrics.Registry) rolloutMeters {
	return rolloutMeters{
		completed:  metrics.GetOrRegisterCounter("rollouts.completed", r),
		rolledBack: metrics.GetOrRegisterCounter("rollouts.rolled_back", r),
	}
}

// Progress returns the progress of the roll-outs. Only the leader knows it; others return none.
func (u *Uplink) Progress(_ bool, reply *[]protocol.RolloutProgress) error {
	term, ok := u.group.Vouches()
	if !ok {
		return nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.enterTerm(term)
	u.applyRollouts()
	now := clock.Now()
	for _, number := range slices.Sorted(maps.Keys(u.activeRollouts)) {
		t := u.activeRollouts[number]
		m := u.tickMsg(t, now)
		*reply = append(*reply, protocol.RolloutProgress{
			Rollout:    t.record,
			LeftMS:     (t.record.Limit() - m.Elapsed).Milliseconds(),
			Share:      rollout.TrialShare(&t.record, m.Elapsed),
			New:        m.Assessment.New,
			NewFailed:  m.Assessment.NewFailed,
			Old:        m.Assessment.Old,
			OldFailed:  m.Assessment.OldFailed,
			Failures:   m.Assessment.Failures,
			Slowness:   m.Assessment.Slowness,
			Slots:      m.Slots,
			OldRunning: m.OldRunning,
		})
	}
	return nil
}
