package quota

import "time"

const (
	// A gateway without a reply for standaloneAfter switches to standalone mode. With many
	// gateways, replies are less frequent, and the limit is standalonePerGateway for each
	// of them.
	standaloneAfter      = 400 * time.Millisecond
	standalonePerGateway = 4 * time.Millisecond
	// standaloneAfterOverdue after a reply became overdue, a gateway switches as well: by
	// then most elections are over. Without it, 295 gateways admitted next to nothing for
	// 1.2 s while no control instance was running, and everything that had been waiting at
	// once afterwards.
	standaloneAfterOverdue = 150 * time.Millisecond
	// standaloneShare is the fraction of a quota that all standalone gateways together admit,
	// each by the part that the leader allotted it, or its recent use if that is more: the use
	// of all gateways together was within the quota.
	standaloneShare = 0.5
	// standaloneRetention is how long the units admitted in standalone mode are remembered.
	standaloneRetention = 10 * time.Second
	// standaloneMaxWait is the usual time until the coordinator is back after a gateway has
	// switched: control instances that were all killed are back within 1.6 s.
	standaloneMaxWait = 1200 * time.Millisecond
)

// standaloneQuota limits what a gateway admits of a quota in standalone mode.
type standaloneQuota struct {
	rate       float64   // rate is the refill of level in units a second.
	capacity   float64   // capacity is the largest level, unless a single request needs more.
	level      float64   // level is the number of units that may be admitted now.
	updatedAt  time.Time // updatedAt is the time that level refers to.
	lastReply  time.Time // lastReply is the coordinator's last reply at the time when rate was set.
	onCredit   bool      // onCredit admits the next request regardless of level.
	unreported float64   // unreported counts admitted units that the coordinator does not know of.
}

// isStandalone reports whether the coordinator has been silent for so long that the gateway
// admits requests on its own.
func (a *Allowance) isStandalone(now time.Time) bool {
	if !a.overdueSince.IsZero() && now.Sub(a.overdueSince) > standaloneAfterOverdue {
		return true
	}
	return now.Sub(a.lastReply) > max(standaloneAfter, time.Duration(a.gateways)*standalonePerGateway)
}

// startStandalone sets the gateway's own limit on a quota, once after each last reply of
// the coordinator: a share of the rate, or the gateway's recent use if that is more. The
// first request is admitted on credit if the gateway has a part and the quota was not nearly exhausted; otherwise a
// gateway that sees a workspace once in a few seconds would refuse every request. If the
// quota was nearly exhausted, the level starts at a random value below one request. If
// hundreds of gateways each admitted one request immediately, they would spend several
// times the rate; if all started at zero, none of them might ever admit one.
func (a *Allowance) startStandalone(s *workspaceQuota, credit bool, units float64, now time.Time) {
	p, part := &s.standalone, a.part.Size(now)
	if p.updatedAt.IsZero() || now.Sub(p.updatedAt) > standaloneRetention {
		p.updatedAt, p.level, p.onCredit = now, a.random()*units, credit && part > 0
	}
	if p.lastReply.IsZero() || !p.lastReply.Equal(a.lastReply) {
		share := standaloneShare * part
		p.lastReply = a.lastReply
		p.rate = max(s.rate*share, s.decayed(s.steadyUse, a.steadyWindow, now))
		p.capacity = max(s.burst*share, p.rate)
	}
}

// take admits a request if level covers all of it.
func (p *standaloneQuota) take(units float64, now time.Time) bool {
	p.level = min(max(p.capacity, units), p.level+p.rate*now.Sub(p.updatedAt).Seconds())
	p.updatedAt = now
	if p.level < units && !p.onCredit {
		return false
	}
	p.onCredit = false // Later requests wait until the credit is refilled.
	p.level -= units
	p.unreported += units
	return true
}

// wait returns when level covers the units, or the usual time until the coordinator is back
// if that is earlier.
func (p *standaloneQuota) wait(units float64) time.Duration {
	if p.rate <= 0 {
		return standaloneMaxWait
	}
	return min(standaloneMaxWait, time.Duration((units-p.level)/p.rate*float64(time.Second)))
}
