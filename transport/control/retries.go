package control

import (
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// RetryBudget is the part of the services' retry budgets that the leader lends to gateways.
type RetryBudget struct {
	Extra  float64       // Extra is the number of retries a service and window, beyond the fraction of its requests.
	Window time.Duration // Window is the window over which retries are counted.
}

// WithRetryBudget sets the retries that a leader lends; by default none.
func WithRetryBudget(b RetryBudget) UplinkOption { return func(u *Uplink) { u.retryBudget = b } }

// Retries lends retries to a gateway, or forwards the request of one that uses a relay.
func (u *Uplink) Retries(m protocol.RetryMsg, reply *protocol.RetryReply) error {
	began, leads := u.answerAsLeader(func(now time.Time) {
		for _, want := range m.Wants {
			lease := protocol.RetryLease{Service: want.Service}
			lease.Count, lease.Lasts, lease.Wait = u.retries.Lend(want.Service, want.Count, now)
			reply.Leases = append(reply.Leases, lease)
		}
	})
	reply.Leads = leads
	if r := u.relay.Load(); !began && r != nil {
		*reply = forwardToLeader[protocol.RetryReply](r, "Uplink.Retries", m)
	}
	return nil
}
