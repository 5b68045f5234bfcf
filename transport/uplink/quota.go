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

// quotaTimeout bounds a quota request, so that client requests waiting for a failed leader can
// still be served by its successor.
const quotaTimeout = overdueTimeout

// QuotaRequester is a gateway that leases quota units from the leader.
type QuotaRequester interface {
	// SetSeparateQuotaCalls selects whether the gateway reports its quota demand through
	// ReportQuotaDemand or in its sync reports, as leaders of earlier builds require.
	SetSeparateQuotaCalls(bool)
	// ReportQuotaDemand returns the quota units to request, and false if there are none.
	ReportQuotaDemand() (m protocol.QuotaMsg, any bool)
	// HandleQuotaReply processes the leader's reply to the request m, which was sent at the time
	// asked. The reply is nil if none arrived.
	HandleQuotaReply(m *protocol.QuotaMsg, reply *protocol.QuotaReply, asked time.Time)
}

// WithQuotas sets the gateway that requests quota in separate calls. Without it, quota demand
// is part of the sync reports.
func WithQuotas(q QuotaRequester) Option { return func(c *Client) { c.quotas = q } }

// SyncQuotaNow requests quota from the leader immediately.
func (c *Client) SyncQuotaNow() {
	if !c.separateQuota.Load() {
		c.SyncNow()
		return
	}
	select {
	case c.quotaNow <- struct{}{}:
	default: // A request is already pending.
	}
}

// RunQuotas requests quota until ctx ends. It is separate from the main loop because client
// requests wait for its replies, while sync replies carry the loads of all servers.
func (c *Client) RunQuotas(ctx context.Context) error {
	for ctx.Err() == nil {
		pause.Until(ctx, syncIntervalFor(int(c.gatewayCount.Load())), c.quotaNow)
		if c.separateQuota.Load() {
			c.requestQuota()
		}
	}
	return nil
}

// requestQuota sends a quota request to the leader if there is demand.
func (c *Client) requestQuota() {
	m, any := c.quotas.ReportQuotaDemand()
	if !any {
		return
	}
	asked := clock.Now()
	var reply protocol.QuotaReply
	leader := c.leaderAddress()
	err := errNoLeader
	if leader != "" {
		err = c.caller.Call(leader, "Uplink.Quota", m, &reply, quotaTimeout)
	}
	if err == nil && reply.Leads {
		c.quotas.HandleQuotaReply(&m, &reply, asked)
		return
	}
	c.log.Debug().Err(err).Str("leader", leader).Msg("no leader granted the quota request")
	if server := rpc.ServerError(""); errors.As(err, &server) {
		c.noQuotaLeader.Store(leader)
	}
	c.quotas.HandleQuotaReply(&m, nil, asked)
	c.setSeparateQuota(false)
	c.SyncNow() // It finds the leader that grants quota.
}

// supportsSeparateQuota reports whether the leader is assumed to serve separate quota calls.
// With several regions a relay batches quota demand instead, so that calls for single requests
// do not cross regions.
func (c *Client) supportsSeparateQuota(leader string) bool {
	return !c.topology.MultiRegion() && c.noQuotaLeader.Load() != leader
}

// setSeparateQuota selects whether quota is requested in separate calls or with the sync
// reports.
func (c *Client) setSeparateQuota(separate bool) {
	if c.quotas != nil && c.separateQuota.Swap(separate) != separate {
		c.quotas.SetSeparateQuotaCalls(separate)
	}
}

// leaderAddress returns the last reported address of the leader itself, or "" if there is no
// link.
func (c *Client) leaderAddress() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.linkAddr == "" {
		return ""
	}
	return c.leaderAddr
}
