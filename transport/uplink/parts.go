package uplink

import (
	"context"
	"time"

	"github.com/weldstream/weldstream/coordination/allot"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/internal/pause"
	"github.com/weldstream/weldstream/protocol"
)

// PartHolder is a gateway that holds a part of what all gateways together may do without a leader.
type PartHolder interface {
	// ReportPart returns the request for the next part.
	ReportPart() protocol.PartMsg
	// HandlePartReply processes the leader's reply to a request that was sent at the time asked.
	HandlePartReply(reply *protocol.PartReply, asked time.Time)
}

// WithPartHolder sets the gateway that holds a part. Without it, none is requested.
func WithPartHolder(h PartHolder) Option { return func(c *Client) { c.parts = h } }

// RunParts renews the gateway's part until ctx ends. While there is no leader, the part stays valid
// until it expires.
func (c *Client) RunParts(ctx context.Context) error {
	interval := time.Duration(0)
	for pause.For(ctx, interval) {
		interval = allot.RenewalInterval
		if !c.renewPart() {
			interval = minSyncInterval
		}
	}
	return nil
}

// renewPart requests the gateway's part and reports whether the leader answered.
func (c *Client) renewPart() bool {
	m := c.parts.ReportPart()
	m.Life = c.incarnation
	asked := clock.Now()
	var reply protocol.PartReply
	if err := c.callLink("Uplink.Part", m, &reply); err != nil || !reply.Leads {
		c.log.Debug().Err(err).Msg("no leader answered the request for a part")
		return false
	}
	c.parts.HandlePartReply(&reply, asked)
	return true
}

// callLink calls a method of the leader or of the relay in use.
func (c *Client) callLink(method string, m, reply any) error {
	address := c.linkedInstance()
	if address == "" {
		return errNoLeader
	}
	return c.caller.Call(address, method, m, reply, limitsTimeout)
}
