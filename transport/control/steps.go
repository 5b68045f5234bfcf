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

// rolloutTick is between two looks at a roll-out that runs: an answer that speaks
// against a version is acted on within a tenth of a second and the gateways' next
// question, far within the 5 s that operators allow.
const rolloutTick = 100 * time.Millisecond

// RunRollouts takes roll-outs further while this instance leads.
func (u *Uplink) RunRollouts(ctx context.Context) error {
	for ctx.Err() == nil {
		pause.For(ctx, rolloutTick)
		term, ok := u.group.Vouches()
		if !ok {
			continue
		}
		for _, m := range u.newVersions(term, clock.Now()) {
			u.logVersions(ctx, m)
		}
		for _, step := range u.steps(term, clock.Now()) {
			u.takeStep(ctx, step)
		}
	}
	return nil
}

// steps returns what the roll-outs are to do now.
func (u *Uplink) steps(term uint64, now time.Time) []protocol.StageRolloutMsg {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.enter(term)
	u.renewRollouts()
	var steps []protocol.StageRolloutMsg
	for _, number := range slices.Sorted(maps.Keys(u.trials)) {
		t := u.trials[number]
		m := u.tick(t, now)
		step, ok := rollout.Next(&t.record, m)
		if !ok {
			continue
		}
		steps = append(steps, step)
		u.log.Info().Str("service", step.Service).Uint64("rollout", step.Number).Str("version", t.record.Version).Stringer("from", t.record.Stage).
			Stringer("to", step.Stage).Str("reason", step.Reason).Dur("elapsed", m.Elapsed).Int64("new", m.Assessment.New).Int64("new_failed", m.Assessment.NewFailed).
			Int64("old", m.Assessment.Old).Int64("old_failed", m.Assessment.OldFailed).Float64("failures", m.Assessment.Failures).Float64("slowness", m.Assessment.Slowness).
			Int("slots", m.Slots).Float64("running", m.Running).Msg("roll-out goes on")
	}
	return steps
}

// tick gathers what is known of a roll-out. It needs u.mu.
func (u *Uplink) tick(t *trial, now time.Time) rollout.TickMsg {
	m := rollout.TickMsg{
		Elapsed:       now.Sub(t.began),
		LeadingFor:    now.Sub(u.entered),
		Assessment:    t.analyzer.Assessment(),
		Running:       u.load(t.record.Service).Work,
		InSync:        u.keepTo(t, now),
		MaxAnswerTime: u.longest(t.record.Service),
	}
	m.ExpectedRequests = t.pool.ExpectedRequests(m.Elapsed, t.record.Limit())
	m.Headroom = t.pool.Headroom(m.ExpectedRequests)
	for i := range u.servers {
		s := &u.servers[i]
		switch {
		case s.Service != t.record.Service:
		case s.Version == t.record.Version:
			if !s.Leaving {
				m.Slots += width(s)
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
		t.quietSince = time.Time{}
	case t.quietSince.IsZero():
		t.quietSince = now
	default:
		m.IdleFor = now.Sub(t.quietSince)
	}
	if !t.movedAt.IsZero() {
		m.MovingFor = now.Sub(t.movedAt)
	}
	return m
}

func width(in *protocol.Instance) int {
	s := place.Server{Instance: *in}
	return s.SlotCount()
}

// keepTo reports whether all gateways that ask keep to the stage. It needs u.mu.
func (u *Uplink) keepTo(t *trial, now time.Time) bool {
	u.alive(now)
	for name := range u.gateways {
		if held, ok := t.held[name]; !ok || held != t.record.Stage {
			return false
		}
	}
	return len(u.gateways) > 0
}

// longest is how long an answer of a service may take. It needs u.mu.
func (u *Uplink) longest(service string) time.Duration {
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

// takeStep has a step logged. One that is not is decided anew in the next tick.
func (u *Uplink) takeStep(ctx context.Context, step protocol.StageRolloutMsg) {
	limit, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	if _, err := u.group.Propose(limit, protocol.Command{StageRollout: &step}); err != nil {
		u.log.Warn().Err(err).Str("service", step.Service).Uint64("rollout", step.Number).Msg("step of a roll-out not logged")
		return
	}
	switch step.Stage {
	case protocol.RolloutCompleted:
		u.meters.completed.Inc(1)
	case protocol.RolloutRolledBack:
		u.meters.turnedBack.Inc(1)
	}
}

// rolloutMeters count how roll-outs ended that this instance led.
type rolloutMeters struct {
	completed  metrics.Counter
	turnedBack metrics.Counter
}

func newRolloutMeters(r metrics.Registry) rolloutMeters {
	return rolloutMeters{
		completed:  metrics.GetOrRegisterCounter("rollouts.completed", r),
		turnedBack: metrics.GetOrRegisterCounter("rollouts.rolled_back", r),
	}
}

// Progress tells how the roll-outs go. Only a leader knows it; others return none.
func (u *Uplink) Progress(_ bool, reply *[]protocol.RolloutProgress) error {
	term, ok := u.group.Vouches()
	if !ok {
		return nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.enter(term)
	u.renewRollouts()
	now := clock.Now()
	for _, number := range slices.Sorted(maps.Keys(u.trials)) {
		t := u.trials[number]
		m := u.tick(t, now)
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
