package forward

import (
	"sync"
	"time"

	"github.com/weldstream/weldstream/coordination/resend"
	"github.com/weldstream/weldstream/coordination/retry"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// retryLoanTimeout is how long a failed request waits for the leader to lend a retry.
const retryLoanTimeout = 100 * time.Millisecond

// retryBudgets holds the gateway's allowance of retries at each service.
type retryBudgets struct {
	ratio  float64
	window time.Duration

	mu         sync.Mutex // mu guards the fields below.
	allowances map[string]*retry.Allowance
	answered   chan struct{} // answered is closed and replaced by the leader's answer, or the lack of one.
}

func (b *retryBudgets) init(ratio float64, window time.Duration) {
	b.ratio, b.window = ratio, window
	b.allowances, b.answered = map[string]*retry.Allowance{}, make(chan struct{})
}

// allowance returns the allowance of a service. The caller must hold b.mu.
func (b *retryBudgets) allowance(service string) *retry.Allowance {
	a := b.allowances[service]
	if a == nil {
		a = retry.NewAllowance(b.ratio, b.window)
		b.allowances[service] = a
	}
	return a
}

func (b *retryBudgets) recordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.allowance(service).RecordRequest(now)
}

// retryDecision is the outcome of an attempt to take a retry from a budget.
type retryDecision struct {
	source   retry.Source
	sendBy   time.Time
	credit   float64         // credit is the credit before the decision.
	lent     int             // lent is the number of lent retries before it.
	answered <-chan struct{} // answered is closed by the leader's next answer; nil if the leader is not to be asked.
}

// take takes a retry at a service. If there is none and mayAsk is set, it requests one from the
// leader unless the leader is not to be asked yet.
func (b *retryBudgets) take(service string, mayAsk bool) retryDecision {
	b.mu.Lock()
	defer b.mu.Unlock()
	a, now := b.allowance(service), clock.Now()
	d := retryDecision{}
	d.credit, d.lent = a.Available(now)
	d.source, d.sendBy = a.Spend(now)
	if d.source == retry.None && mayAsk && a.Request(now) {
		d.answered = b.answered
	}
	return d
}

// WithRetriesTrigger sets the function that asks the leader for retries at once. Without it, the
// gateway retries only what its own requests earn.
func WithRetriesTrigger(f func()) Option { return func(g *Gateway) { g.triggerRetries = f } }

// ReportRetries implements uplink.RetryBorrower.
func (g *Gateway) ReportRetries() (m protocol.RetryMsg, any bool) {
	b := &g.retries
	b.mu.Lock()
	defer b.mu.Unlock()
	m.Gateway = g.cfg.Name
	for service, a := range b.allowances {
		if n := a.TakeWanted(); n > 0 {
			m.Wants = append(m.Wants, protocol.RetryRequest{Service: service, Count: n})
		}
	}
	return m, len(m.Wants) > 0
}

// HandleRetryReply implements uplink.RetryBorrower. Waiting requests then check again.
func (g *Gateway) HandleRetryReply(m *protocol.RetryMsg, reply *protocol.RetryReply, asked time.Time) {
	b := &g.retries
	b.mu.Lock()
	defer b.mu.Unlock()
	now := clock.Now()
	if reply == nil {
		for _, want := range m.Wants {
			b.allowance(want.Service).RequestFailed(now)
		}
	} else {
		for _, l := range reply.Leases {
			b.allowance(l.Service).AddLease(l.Count, l.Lasts, l.Wait, asked, now)
		}
	}
	close(b.answered)
	b.answered = make(chan struct{})
}

// spendRetry takes one retry from the budget of the request's service. If there is none, it waits
// for a short time for the leader to lend one.
func (x *exchange) spendRetry() bool {
	d := x.takeRetry()
	x.retrySendBy = d.sendBy
	granted := d.source != retry.None
	x.g.meters.countRetry(x.service, granted)
	x.log.Info().Str("service", x.service).Bool("granted", granted).Stringer("source", d.source).
		Float64("credit", d.credit).Int("lent", d.lent).Msg("retry budget")
	return granted
}

func (x *exchange) takeRetry() retryDecision {
	d := x.g.retries.take(x.service, x.g.triggerRetries != nil)
	if d.answered == nil {
		return d
	}
	end := time.NewTimer(retryLoanTimeout)
	defer end.Stop()
	for d.answered != nil {
		x.g.triggerRetries()
		select {
		case <-d.answered:
			d = x.g.retries.take(x.service, true)
		case <-end.C:
			return x.g.retries.take(x.service, false)
		case <-x.ctx.Done():
			return d
		}
	}
	return d
}

// renewRetry takes another retry from the budget if the attempt is a retry that is sent too late
// for the one taken before. It returns a refusal if there is none.
func (x *exchange) renewRetry() *protocol.Refusal {
	if x.state.Sent == 0 || x.continuation != nil || clock.Now().Before(x.retrySendBy) || x.spendRetry() {
		return nil
	}
	refusal := protocol.NewRefusal(protocol.StatusServiceUnavailable, protocol.CodeNoBackend, "the service's retry budget is used up")
	return x.afterEarlierAttempts(refusal.WithRetryAfter(resend.RetryAfter(x.route.Target)))
}
