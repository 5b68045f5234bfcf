package uplink

import (
	"context"
	"time"

	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// RetryBorrower is a gateway that borrows retries from the leader.
type RetryBorrower interface {
	// ReportRetries returns the retries to request, and false if there are none.
	ReportRetries() (m protocol.RetryMsg, any bool)
	// HandleRetryReply processes the leader's reply to the request m, which was sent at the time
	// asked. The reply is nil if none arrived.
	HandleRetryReply(m *protocol.RetryMsg, reply *protocol.RetryReply, asked time.Time)
}

// WithRetries sets the gateway that borrows retries. Without it, none are requested.
func WithRetries(b RetryBorrower) Option { return func(c *Client) { c.retries = b } }

// RequestRetriesNow makes RunRetries request the retries that are wanted.
func (c *Client) RequestRetriesNow() {
	select {
	case c.retriesNow <- struct{}{}:
	default: // A request is already pending.
	}
}

// RunRetries requests retries when they are wanted, until ctx ends.
func (c *Client) RunRetries(ctx context.Context) error {
	for {
		select {
		case <-c.retriesNow:
			c.requestRetries()
		case <-ctx.Done():
			return nil
		}
	}
}

// requestRetries requests the wanted retries from the leader or the relay in use.
func (c *Client) requestRetries() {
	m, any := c.retries.ReportRetries()
	if !any {
		return
	}
	asked := clock.Now()
	var reply protocol.RetryReply
	err := c.callLink("Uplink.Retries", m, &reply)
	if err == nil && reply.Leads {
		c.retries.HandleRetryReply(&m, &reply, asked)
		return
	}
	c.log.Debug().Err(err).Msg("no leader answered the request for retries")
	c.retries.HandleRetryReply(&m, nil, asked)
}
