package rollout

import (
	"math"
	"time"
)

const (
	// usableShare is the fraction of the allowed share that the pool hands out. The
	// remainder covers requests sent while reports are in flight, and those of a gateway
	// that is lost.
	usableShare = 0.9
	// usableSlack is the fraction of the slack that the pool hands out. The slack provides
	// the first evidence, and the only evidence for a service with little traffic. At 0.4
	// and 56 requests a second, a version whose servers began to fail after twelve answers
	// each was completed on 22 answers, one of them bad.
	usableSlack = 0.8
	// CreditLease is how long a gateway may spend credits after the leader's last reply. It
	// spans several sync intervals.
	CreditLease = time.Second
)

// Pool bounds how many requests all gateways together send to a version on trial. A credit
// allows one send. Credits are earned by requests of the service that were sent to any
// server, so the bound holds at every moment: the loss of a gateway, a leader or a report
// can only leave credits unused.
type Pool struct {
	maxShare      float64 // maxShare is the largest fraction of the requests that may go to the version.
	slack         float64 // slack is the number of credits on top of maxShare, released evenly over the trial.
	slackProgress float64 // slackProgress is the trial progress up to which slack has been released.
	earned        float64 // earned are the credits that all requests so far allow.
	released      float64 // released are the earned credits that the trial's current share allows to spend.
	granted       float64
	gateways      map[gatewayLife]*gatewayAccount
}

// gatewayLife identifies a gateway between two restarts.
type gatewayLife struct {
	name string
	life uint64
}

// gatewayAccount holds what a gateway has reported and what it was granted.
type gatewayAccount struct {
	arrived int64
	granted int64
}

// NewPool returns a pool for a version that may receive a share of the requests, plus
// slack.
func NewPool(share, slack float64) *Pool {
	return &Pool{maxShare: usableShare * share, slack: usableSlack * slack, gateways: map[gatewayLife]*gatewayAccount{}}
}

// ReportMsg is a gateway's report on its sends since it learned of the roll-out.
type ReportMsg struct {
	Gateway  string
	Life     uint64
	Arrived  int64   // Arrived counts requests sent to any server.
	Tried    int64   // Tried counts sends to the version on trial.
	Wants    int     // Wants is the number of credits requested.
	Share    float64 // Share is the fraction of the requests that the trial takes now.
	Progress float64 // Progress is the elapsed fraction of the trial, 0 to 1.
	CanGrant bool    // CanGrant is set once the credits of earlier leaders have expired.
}

// Grant records a report and returns the total number of credits granted to the gateway by
// this pool. Sends that an earlier leader granted count as granted.
func (p *Pool) Grant(m ReportMsg) int64 {
	key := gatewayLife{m.Gateway, m.Life}
	a := p.gateways[key]
	if a == nil {
		a = &gatewayAccount{}
		p.gateways[key] = a
		p.granted += float64(m.Tried)
	}
	if more := float64(m.Arrived - a.arrived); more > 0 {
		a.arrived = m.Arrived
		p.earned += p.maxShare * more
		p.released = min(p.earned, p.released+m.Share*more)
	}
	if more := p.slack * (m.Progress - p.slackProgress); more > 0 {
		p.slackProgress = m.Progress
		p.earned += more
		p.released = min(p.earned, p.released+more)
	}
	if !m.CanGrant {
		return a.granted
	}
	n := min(float64(m.Wants), math.Floor(p.released-p.granted))
	if n > 0 {
		a.granted += int64(n)
		p.granted += n
	}
	return a.granted
}

// rollbackDelay is how long a bad version that receives all requests may go undetected: one
// that fails half of its answers after the twelfth on each of six servers was rolled back
// 1.6 s after the move.
const rollbackDelay = 2 * time.Second

// ExpectedRequests estimates how many requests the service will receive until the limit, or
// until a bad version would be rolled back, from the mean rate since the order.
func (p *Pool) ExpectedRequests(elapsed, limit time.Duration) float64 {
	if elapsed <= 0 {
		return 0
	}
	remaining := max(limit-elapsed, rollbackDelay)
	arrived := 0.0
	for _, a := range p.gateways {
		arrived += float64(a.arrived)
	}
	return arrived * float64(remaining) / float64(elapsed)
}

// Headroom returns how many more requests a bad version may receive, once the expected
// requests have arrived.
func (p *Pool) Headroom(expected float64) float64 {
	return p.earned + p.maxShare*expected + p.slack*(1-p.slackProgress) - p.granted
}

// Credits holds the credits of one gateway.
type Credits struct {
	term      uint64
	granted   int64 // granted counts all credits granted by the leader of the term.
	spent     int64 // spent counts the granted credits that were used.
	expiresAt time.Time
}

// Renew applies a leader's reply to a request that was sent at the time asked. The credits
// of a previous leader expire.
func (p *Credits) Renew(term uint64, credits int64, asked time.Time) {
	if term != p.term {
		*p = Credits{term: term}
	}
	p.granted = max(p.granted, credits)
	p.expiresAt = asked.Add(CreditLease)
}

// Available returns the number of credits that can be spent.
func (p *Credits) Available(now time.Time) int64 {
	if !now.Before(p.expiresAt) {
		return 0
	}
	return p.granted - p.spent
}

// Spend takes one credit and reports whether there was one.
func (p *Credits) Spend(now time.Time) bool {
	if p.Available(now) <= 0 {
		return false
	}
	p.spent++
	return true
}

// Refund returns an unused credit.
func (p *Credits) Refund() {
	if p.spent > 0 {
		p.spent--
	}
}
