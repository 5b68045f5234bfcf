package quota

import "time"

const (
	// aloneAfter without an answer a gateway goes on alone; with many gateways,
	// which are answered less often, after so many usual pauses.
	aloneAfter  = 400 * time.Millisecond
	aloneMember = 4 * time.Millisecond
	// aloneOverdue after an answer became overdue a gateway goes on alone as well: by
	// then most elections are over. Without it 295 gateways let in next to nothing for
	// 1.2 s while no control instance ran, and everything that had waited at once then.
	aloneOverdue = 150 * time.Millisecond
	// aloneShare is the part of its even share that it then takes, or as much as it
	// used of late: the use of all gateways was within the quota.
	aloneShare = 0.5
	// aloneMemory is for how long what was let in alone is remembered.
	aloneMemory = 10 * time.Second
	// aloneReturn is how long the coordinator is away as a rule, once a gateway has
	// gone on alone: control instances that were all killed are back within 1.6 s.
	aloneReturn = 1200 * time.Millisecond
)

// ownPart is what a gateway lets in of one quota while it is alone.
type ownPart struct {
	rate  float64   // rate is by how much level grows in a second, up to most.
	most  float64   // most is what level grows to, or one request if that is more.
	level float64   // level is what may be let in now.
	at    time.Time // at is when level was brought up to date.
	since time.Time // since is when the coordinator had been heard last as rate was set.
	lends bool      // lends says that the next request is let in on credit.
	owed  float64   // owed is what was let in and the coordinator does not know of.
}

// alone reports whether the coordinator was not heard of for so long that the
// gateway goes on by itself.
func (a *Allowance) alone(now time.Time) bool {
	if !a.overdue.IsZero() && now.Sub(a.overdue) > aloneOverdue {
		return true
	}
	return now.Sub(a.heard) > max(aloneAfter, time.Duration(a.gateways)*aloneMember)
}

// goAlone sets the gateway's own part of a quota, once after each time that the
// coordinator was heard last: a share of the rate, or what the gateway used of late if
// that is more. The first request is let in on credit, unless little was left: a
// gateway that sees a workspace once in a few seconds would refuse it each time. Where
// little was left, the part begins anywhere between none and one request. Hundreds of
// gateways that each let one in at once would spend several times the rate, and none of
// them might ever if all began with nothing.
func (a *Allowance) goAlone(s *space, credit bool, units float64, now time.Time) {
	p := &s.own
	if p.at.IsZero() || now.Sub(p.at) > aloneMemory {
		p.at, p.level, p.lends = now, a.chance()*units, credit
	}
	if p.since.IsZero() || !p.since.Equal(a.heard) {
		share := aloneShare / float64(a.gateways)
		p.since = a.heard
		p.rate = max(s.rate*share, s.averaged(s.steady, a.memory, now))
		p.most = max(s.burst*share, p.rate)
	}
}

// take lets a request in if there is room for all of it.
func (p *ownPart) take(units float64, now time.Time) bool {
	p.level = min(max(p.most, units), p.level+p.rate*now.Sub(p.at).Seconds())
	p.at = now
	if p.level < units && !p.lends {
		return false
	}
	p.lends = false // The next ones wait for what this one took ahead.
	p.level -= units
	p.owed += units
	return true
}

// wait is when the part has room again, or when the coordinator is back as a rule if
// that is earlier.
func (p *ownPart) wait(units float64) time.Duration {
	if p.rate <= 0 {
		return aloneReturn
	}
	return min(aloneReturn, time.Duration((units-p.level)/p.rate*float64(time.Second)))
}
