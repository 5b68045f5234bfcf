package uplink

import (
	"context"
	"errors"
	"net/rpc"
	"time"

	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/internal/pause"
	"github.com/weldstream/weldstream/protocol"
)

// quotaTime bounds a question for parts of quotas, so that requests which wait for a leader
// that is gone still hear of the next one.
const quotaTime = answerDue

// QuotaRequester is a gateway that takes parts of quotas.
type QuotaRequester interface {
	// SetSeparateQuotaCalls has the gateway keep its wants for ReportQuotaDemand, or tell them with its
	// other questions, as leaders of earlier builds need.
	SetSeparateQuotaCalls(bool)
	// ReportQuotaDemand returns the parts of quotas that are to be asked for. It is false where
	// there are none.
	ReportQuotaDemand() (m protocol.QuotaMsg, any bool)
	// HandleQuotaReply takes the leader's answer to wants that were reported at a time; it is nil
	// where none came.
	HandleQuotaReply(m *protocol.QuotaMsg, reply *protocol.QuotaReply, asked time.Time)
}

// WithQuotas sets the gateway that asks for parts of quotas apart from its other questions;
// without it they go with those.
func WithQuotas(q QuotaRequester) Option { return func(c *Client) { c.quotas = q } }

// SyncQuotaNow has the leader asked at once for parts of quotas.
func (c *Client) SyncQuotaNow() {
	if !c.quotaApart.Load() {
		c.SyncNow()
		return
	}
	select {
	case c.quotaNow <- struct{}{}:
	default: // It is about to be asked.
	}
}

// RunQuotas asks for parts of quotas, until ctx ends. It has a loop of its own: requests wait
// for the answers, and those to other questions hold the loads of all servers.
func (c *Client) RunQuotas(ctx context.Context) error {
	for ctx.Err() == nil {
		pause.Until(ctx, askEvery(int(c.members.Load())), c.quotaNow)
		if c.quotaApart.Load() {
			c.askQuota()
		}
	}
	return nil
}

// askQuota asks the leader, if there is anything to ask.
func (c *Client) askQuota() {
	m, any := c.quotas.ReportQuotaDemand()
	if !any {
		return
	}
	asked := clock.Now()
	var reply protocol.QuotaReply
	leader := c.leaderAddress()
	err := errNoLeader
	if leader != "" {
		err = c.caller.Call(leader, "Uplink.Quota", m, &reply, quotaTime)
	}
	if err == nil && reply.Leads {
		c.quotas.HandleQuotaReply(&m, &reply, asked)
		return
	}
	c.log.Debug().Err(err).Str("leader", leader).Msg("no leader grants parts of quotas")
	if server := rpc.ServerError(""); errors.As(err, &server) {
		c.noQuotaCall.Store(leader)
	}
	c.quotas.HandleQuotaReply(&m, nil, asked)
	c.askApart(false)
	c.SyncNow() // It finds the leader that grants them.
}

// mayApart reports whether the leader grants parts of quotas apart, as far as is known. Where
// there are several regions a relay gathers the questions instead: those of single requests do
// not cross regions.
func (c *Client) mayApart(leader string) bool {
	return !c.topology.Several() && c.noQuotaCall.Load() != leader
}

// askApart has parts of quotas asked for apart, or with the other questions.
func (c *Client) askApart(apart bool) {
	if c.quotas != nil && c.quotaApart.Swap(apart) != apart {
		c.quotas.SetSeparateQuotaCalls(apart)
	}
}

// leaderAddress returns the address of the instance that leads, as it was named last; empty while
// none answers.
func (c *Client) leaderAddress() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == "" {
		return ""
	}
	return c.leaderAddr
}
