package retry

import "time"

// leaseDivisor is the fraction of a window for which a lent retry may be sent.
const leaseDivisor = 4

// Ledger lends the extra of the retry budgets to gateways. It belongs to one term of a leader.
//
// A retry that was lent counts until no window can contain both its sending and that of a retry
// lent later. A new ledger does not know what its predecessor lent, and lends nothing for that
// time.
type Ledger struct {
	extra    int
	lasts    time.Duration // lasts is the time from the request to the sending of a lent retry.
	span     time.Duration // span is how long a lent retry counts.
	opensAt  time.Time
	services map[string][]loan // services holds the loans by service, ordered by time.
}

// loan is a number of retries that were lent at the same time.
type loan struct {
	count int
	at    time.Time
}

// LedgerOption configures a new ledger.
type LedgerOption func(*Ledger)

// WithoutPredecessor makes the ledger lend at once: there was no earlier leader.
func WithoutPredecessor() LedgerOption { return func(l *Ledger) { l.opensAt = time.Time{} } }

// NewLedger returns the ledger of a leader whose term began at the given time. It lends up to
// extra retries a service in each window.
func NewLedger(extra float64, window time.Duration, began time.Time, opts ...LedgerOption) *Ledger {
	lasts := window / leaseDivisor
	span := window + lasts
	l := &Ledger{extra: int(extra), lasts: lasts, span: span, opensAt: began.Add(span), services: map[string][]loan{}}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Lend lends up to the requested number of retries at a service. They may be sent until lasts
// after the gateway requested them. If fewer were lent than requested, wait is the time until
// there may be more.
func (l *Ledger) Lend(service string, requested int, now time.Time) (count int, lasts, wait time.Duration) {
	if now.Before(l.opensAt) {
		return 0, l.lasts, l.opensAt.Sub(now)
	}
	l.expire(now)
	count = min(max(0, requested), l.extra-l.lent(service))
	if count > 0 {
		l.services[service] = append(l.services[service], loan{count, now})
	}
	if count < requested {
		wait = l.untilNext(service, now)
	}
	return count, l.lasts, wait
}

func (l *Ledger) lent(service string) int {
	sum := 0
	for _, loan := range l.services[service] {
		sum += loan.count
	}
	return sum
}

// untilNext returns the time until the oldest loan of a service no longer counts.
func (l *Ledger) untilNext(service string, now time.Time) time.Duration {
	loans := l.services[service]
	if len(loans) == 0 {
		return l.span // The extra is zero.
	}
	return loans[0].at.Add(l.span).Sub(now)
}

// expire drops the loans that no longer count.
func (l *Ledger) expire(now time.Time) {
	for service, loans := range l.services {
		expired := 0
		for expired < len(loans) && now.Sub(loans[expired].at) > l.span {
			expired++
		}
		if loans = loans[expired:]; len(loans) == 0 {
			delete(l.services, service)
			continue
		}
		l.services[service] = loans
	}
}
