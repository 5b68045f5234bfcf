package rollout

import (
	"math"
	"time"
)

const (
	// budgetPart of the allowed share is used: what gateways send while their reports are
	// on the way, and what comes of a gateway that is lost, is left.
	budgetPart = 0.9
	// slackPart of the requests that are allowed besides is used, for the first
	// evidence, or for any at all on a service that is asked little. With 0.4, at 56
	// requests a second, a version whose servers began to fail after twelve answers each
	// was completed by 22 answers, one of them bad.
	slackPart = 0.8
	// CreditLease is how long a gateway may use credits behind the leader's last answer: a
	// few questions.
	CreditLease = time.Second
)

// Pool bounds what all gateways together send to a version on trial. Each credit
// that it grants is one send. Credits are earned by the service's requests that were
// sent to any server, so that the bound holds at every moment: whatever becomes of a
// gateway, a leader or a report, it can only leave credits unused.
type Pool struct {
	share    float64 // share of the requests may go to the version at the most.
	slack    float64 // slack are credits besides, which come evenly over the trial.
	begun    float64 // begun is the part of the trial whose slack was given.
	earned   float64 // earned are the credits that all requests so far allow.
	released float64 // released are those of them that the pace of the trial allows.
	granted  float64
	gateways map[gatewayLife]*account
}

// gatewayLife is one life of a gateway.
type gatewayLife struct {
	name string
	life uint64
}

// account is what one gateway reported, and what it was granted.
type account struct {
	arrived int64
	granted int64
}

// NewPool returns a pool for a version that may get a share of the requests and some
// more.
func NewPool(share, slack float64) *Pool {
	return &Pool{share: budgetPart * share, slack: slackPart * slack, gateways: map[gatewayLife]*account{}}
}

// ReportMsg is what a gateway tells of its sends since it heard of the roll-out.
type ReportMsg struct {
	Gateway  string
	Life     uint64
	Arrived  int64   // Arrived are the requests that were sent to any server.
	Tried    int64   // Tried are sends to the version.
	Wants    int     // Wants are credits that it asks for.
	Share    float64 // Pace is the part of the requests that the trial takes now.
	Progress float64 // Part is how much of the trial is over, 0 to 1.
	CanGrant bool    // Grants says that the leader has led for long enough that earlier leaders' credits ran out.
}

// Grant takes a report and returns how many credits the gateway was granted here, in
// all. Sends that an earlier leader granted count as granted.
func (p *Pool) Grant(m ReportMsg) int64 {
	key := gatewayLife{m.Gateway, m.Life}
	a := p.gateways[key]
	if a == nil {
		a = &account{}
		p.gateways[key] = a
		p.granted += float64(m.Tried)
	}
	if more := float64(m.Arrived - a.arrived); more > 0 {
		a.arrived = m.Arrived
		p.earned += p.share * more
		p.released = min(p.earned, p.released+m.Share*more)
	}
	if more := p.slack * (m.Progress - p.begun); more > 0 {
		p.begun = m.Progress
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

// turnBackTime is how long a bad version that all requests go to may stay unnoticed: one
// that fails half of its answers behind the twelfth of each of six servers was turned back
// from 1.6 s behind the move.
const turnBackTime = 2 * time.Second

// ExpectedRequests returns how many requests the service will get until the limit, or until a bad
// version would be turned back from, at the mean rate since the order.
func (p *Pool) ExpectedRequests(elapsed, limit time.Duration) float64 {
	if elapsed <= 0 {
		return 0
	}
	rest := max(limit-elapsed, turnBackTime)
	arrived := 0.0
	for _, a := range p.gateways {
		arrived += float64(a.arrived)
	}
	return arrived * float64(rest) / float64(elapsed)
}

// Headroom returns how many more requests the version may be sent, if it is bad, once as many
// as are coming have come.
func (p *Pool) Headroom(coming float64) float64 {
	return p.earned + p.share*coming + p.slack*(1-p.begun) - p.granted
}

// Credits holds one gateway's credits.
type Credits struct {
	term    uint64
	granted int64 // granted are those of the leader of the term, in all.
	spent   int64 // spent are those of them that were used.
	until   time.Time
}

// Renew takes a leader's answer to a question that was sent at a time. Credits of
// another leader are gone.
func (p *Credits) Renew(term uint64, credits int64, asked time.Time) {
	if term != p.term {
		*p = Credits{term: term}
	}
	p.granted = max(p.granted, credits)
	p.until = asked.Add(CreditLease)
}

// Available returns how many credits can be spent.
func (p *Credits) Available(now time.Time) int64 {
	if !now.Before(p.until) {
		return 0
	}
	return p.granted - p.spent
}

// Spend takes one credit, if there is one.
func (p *Credits) Spend(now time.Time) bool {
	if p.Available(now) <= 0 {
		return false
	}
	p.spent++
	return true
}

// Refund returns a credit that was not used.
func (p *Credits) Refund() {
	if p.spent > 0 {
		p.spent--
	}
}
