package retry

import "time"

// Allowance is what one gateway may retry at one service. The budget applies to all gateways
// together: in each window, their retries are at most a fraction (the ratio) of the requests plus
// a fixed number (the extra).
//
// A retry comes from one of two sources. Each request earns credit at the gateway that received
// it, and the leader's [Ledger] lends the extra, retry by retry. A gateway that starts has neither,
// so the budget holds for any number of gateways and starts, with or without a leader, and nobody
// has to know how many gateways there are.
//
// Credit expires within a window. The retries sent in one window were therefore earned in it or
// in the window before, and each request earns half of the ratio.
type Allowance struct {
	creditPerRequest float64
	window           time.Duration
	credits          []credit // credits are ordered by time.
	leases           []lease
	wanted           int       // wanted counts the retries to request from the leader.
	nextRequest      time.Time // nextRequest is when the leader may be asked again.
}

// credit is what the requests of a short period earned, in retries.
type credit struct {
	amount   float64
	earnedAt time.Time // earnedAt is the start of the period.
}

// lease is a number of retries that the leader lent.
type lease struct {
	count   int
	spendBy time.Time
	sendBy  time.Time
}

const (
	// creditPeriods is the number of periods in a window by which credit is added up.
	creditPeriods = 64
	// creditSpendDivisor and creditSendNumerator/creditSendDivisor are the fractions of a window
	// within which credit has to be spent and the retry sent. The rest of the window is for
	// requests that waited before their gateway read them.
	creditSpendDivisor  = 2
	creditSendNumerator = 3
	creditSendDivisor   = 4
	// oneRetry is the least credit for a retry; ten tenths may add up to less than 1.
	oneRetry = 1 - 1e-9
	// requestPause is how long the leader is not asked again after it did not answer.
	requestPause = 250 * time.Millisecond
)

// Source says where a retry came from.
type Source uint8

// The sources of retries.
const (
	None   Source = iota // None means that there was no retry.
	Credit               // Credit means that requests at this gateway earned it.
	Lent                 // Lent means that the leader lent it.
)

var sourceNames = [...]string{"none", "credit", "lent"}

func (s Source) String() string { return sourceNames[s] }

// NewAllowance returns the allowance of a gateway that has received no request yet.
func NewAllowance(ratio float64, window time.Duration) *Allowance {
	return &Allowance{creditPerRequest: ratio / 2, window: window}
}

// RecordRequest adds the credit that a request earns.
func (a *Allowance) RecordRequest(now time.Time) {
	a.expire(now)
	if n := len(a.credits); n > 0 && now.Sub(a.credits[n-1].earnedAt) < a.window/creditPeriods {
		a.credits[n-1].amount += a.creditPerRequest
		return
	}
	a.credits = append(a.credits, credit{a.creditPerRequest, now})
}

// Spend takes one retry. It returns None if there is none, and otherwise the time by which the
// retry has to be sent.
func (a *Allowance) Spend(now time.Time) (s Source, sendBy time.Time) {
	a.expire(now)
	if a.credit() >= oneRetry {
		return Credit, a.spendCredit()
	}
	if len(a.leases) == 0 {
		return None, time.Time{}
	}
	l := &a.leases[0]
	l.count--
	return Lent, l.sendBy
}

// spendCredit takes the credit of one retry, the oldest first, and returns the time by which the
// retry has to be sent.
func (a *Allowance) spendCredit() time.Time {
	sendBy := a.credits[0].earnedAt.Add(creditSendNumerator * a.window / creditSendDivisor)
	rest := 1.0
	for i := range a.credits {
		n := min(rest, a.credits[i].amount)
		a.credits[i].amount -= n
		rest -= n
	}
	return sendBy
}

// Request records that a retry is wanted from the leader. It returns false if the leader is not
// to be asked yet.
func (a *Allowance) Request(now time.Time) bool {
	if now.Before(a.nextRequest) {
		return false
	}
	a.wanted++
	return true
}

// TakeWanted returns the number of retries to request from the leader, and resets it.
func (a *Allowance) TakeWanted() int {
	n := a.wanted
	a.wanted = 0
	return n
}

// AddLease adds retries that the leader lent for a time that began when they were requested. If
// they were fewer than requested, the leader is not asked again for the given wait.
func (a *Allowance) AddLease(count int, lasts, wait time.Duration, requested, now time.Time) {
	if count > 0 {
		a.leases = append(a.leases, lease{count: count, spendBy: requested.Add(lasts / 2), sendBy: requested.Add(lasts)})
	}
	if wait > 0 {
		a.nextRequest = now.Add(min(wait, a.window))
	}
}

// RequestFailed records that no leader answered a request.
func (a *Allowance) RequestFailed(now time.Time) { a.nextRequest = now.Add(requestPause) }

// Available returns the credit and the lent retries that may be spent.
func (a *Allowance) Available(now time.Time) (credit float64, lent int) {
	a.expire(now)
	for _, l := range a.leases {
		lent += l.count
	}
	return a.credit(), lent
}

func (a *Allowance) credit() float64 {
	sum := 0.0
	for _, c := range a.credits {
		sum += c.amount
	}
	return sum
}

// expire drops the credit and the leases that may no longer be spent.
func (a *Allowance) expire(now time.Time) {
	kept := 0
	for _, c := range a.credits {
		if c.amount > 0 && now.Sub(c.earnedAt) < a.window/creditSpendDivisor {
			a.credits[kept] = c
			kept++
		}
	}
	a.credits = a.credits[:kept]
	kept = 0
	for _, l := range a.leases {
		if l.count > 0 && now.Before(l.spendBy) {
			a.leases[kept] = l
			kept++
		}
	}
	a.leases = a.leases[:kept]
}
