package uplink

import (
	"context"
	"time"

	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/internal/pause"
	"github.com/weldstream/weldstream/protocol"
)

// limitsTimeout bounds a request for permits: two round trips between regions with a one-way
// latency of 80 ms.
const limitsTimeout = 320 * time.Millisecond

// Limiter is a gateway that enforces the request limits reported by backend servers.
type Limiter interface {
	// LimitsOutdated records and reports whether the leader of the given term has limits that the
	// gateway does not have yet.
	LimitsOutdated(term, change uint64) bool
	// ReportLimits returns the report and requests to send to the leader, and false if no
	// server is known to limit its requests.
	ReportLimits() (m protocol.LimitsMsg, any bool)
	// HandleLimitsReply processes the leader's reply to the report m, which was sent at the
	// time asked. The reply is nil if none arrived.
	HandleLimitsReply(m *protocol.LimitsMsg, reply *protocol.LimitsReply, asked time.Time)
	// ObservedLimits returns the limits that servers reported to this gateway.
	ObservedLimits() []protocol.ReportedLimit
	// AddSharedLimits adds limits that servers reported to other gateways. It is called while
	// no leader answers.
	AddSharedLimits(rows []protocol.ReportedLimit)
}

// WithLimiter sets the gateway that enforces the servers' limits. Without it, no
// limits are exchanged.
func WithLimiter(l Limiter) Option { return func(c *Client) { c.limiter = l } }

// SyncLimitsNow makes RunLimits contact the leader immediately.
func (c *Client) SyncLimitsNow() {
	select {
	case c.limitsNow <- struct{}{}:
	default: // A request is already pending.
	}
}

// RunLimits exchanges the servers' limits with the leader until ctx ends. It is separate from
// the main loop because client requests wait for its replies, while a reply to the main loop
// may be delayed by a server list. While no leader answers, it polls the control instances in
// turn for limits that servers reported to other gateways. Each of them is polled at the rate
// at which a leader would be.
func (c *Client) RunLimits(ctx context.Context) error {
	interval := minSyncInterval
	for ctx.Err() == nil {
		pause.Until(ctx, interval, c.limitsNow)
		interval = syncIntervalFor(int(c.gatewayCount.Load()))
		if !c.syncLimits() {
			c.syncSharedLimits()
			interval /= time.Duration(max(1, len(c.knownControls())))
			pause.For(ctx, searchPause) // Waiting requests call SyncLimitsNow again immediately.
		}
	}
	return nil
}

// syncLimits exchanges limits with the leader or a relay if there is anything to send or
// fetch. It returns false if no leader answers.
func (c *Client) syncLimits() bool {
	m, any := c.limiter.ReportLimits()
	outdated := c.limitsOutdated.Swap(false)
	if !any && !outdated {
		return c.linkedInstance() != ""
	}
	m.Life = c.incarnation
	asked := clock.Now()
	reply, err := c.callLeaderLimits(m)
	if err != nil {
		c.log.Debug().Err(err).Msg("no leader answered the request for server limits")
	}
	c.limiter.HandleLimitsReply(&m, reply, asked)
	return err == nil
}

// linkedInstance returns the address of the leader or of the relay in use, or "" if there is
// none.
func (c *Client) linkedInstance() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.linkAddr
}

// knownControls returns the known control instances, or the seeds until the first list of
// control instances arrives.
func (c *Client) knownControls() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.controls) > 0 {
		return c.controls
	}
	return c.seeds
}

// syncSharedLimits polls the next control instance for limits that servers reported to other
// gateways. A gateway that was never linked serves no requests and polls nobody,
// since all gateways may start at the same time.
func (c *Client) syncSharedLimits() {
	controls := c.knownControls()
	if len(controls) == 0 || c.gatewayCount.Load() == 0 {
		return
	}
	c.controlTurn++
	address := controls[c.controlTurn%len(controls)]
	m := protocol.SharedLimitsMsg{Held: c.sharedVersions[address], Heard: c.limiter.ObservedLimits()}
	var reply protocol.SharedLimitsReply
	if err := c.caller.Call(address, "Uplink.Passed", m, &reply, limitsTimeout); err != nil {
		c.log.Debug().Err(err).Str("instance", address).Msg("control instance did not return shared server limits")
		return
	}
	c.sharedVersions[address] = reply.Holds
	if len(reply.Heard) > 0 {
		c.log.Info().Str("instance", address).Int("limits", len(reply.Heard)).Msg("received server limits reported to other gateways")
		c.limiter.AddSharedLimits(reply.Heard)
	}
}

// callLeaderLimits sends the report to the leader or relay in use and returns its reply.
func (c *Client) callLeaderLimits(m protocol.LimitsMsg) (*protocol.LimitsReply, error) {
	var reply protocol.LimitsReply
	if err := c.callLink("Uplink.Limits", m, &reply); err != nil {
		return nil, err
	}
	if !reply.Leads {
		return nil, errNoLeader
	}
	return &reply, nil
}

// checkLimits triggers a limits exchange if the reply shows that the leader has limits that
// the gateway does not have yet.
func (c *Client) checkLimits(reply *protocol.SyncReply) {
	if c.limiter != nil && c.limiter.LimitsOutdated(reply.Term, reply.Limits) {
		c.limitsOutdated.Store(true)
		c.SyncLimitsNow()
	}
}
