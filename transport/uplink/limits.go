package uplink

import (
	"context"
	"time"

	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/internal/pause"
	"github.com/weldstream/weldstream/protocol"
)

// limitsTime bounds a question for permits: two round trips between regions 80 ms apart.
const limitsTime = 320 * time.Millisecond

// Limiter is a gateway that keeps to the limits which servers name.
type Limiter interface {
	// LimitsOutdated reports whether the leader of a term has limits that the gateway lacks.
	LimitsOutdated(term, change uint64) bool
	// ReportLimits returns what the leader is to be told and asked. It is false where no
	// server is known to limit its requests.
	ReportLimits() (m protocol.LimitsMsg, any bool)
	// HandleLimitsReply takes the leader's answer to a report that was made at a time; it is
	// nil where none came.
	HandleLimitsReply(m *protocol.LimitsMsg, reply *protocol.LimitsReply, asked time.Time)
	// ObservedLimits returns what servers said to the gateway itself of their limits.
	ObservedLimits() []protocol.ReportedLimit
	// AddSharedLimits takes what servers said to other gateways, while no leader answers.
	AddSharedLimits(rows []protocol.ReportedLimit)
}

// WithLimiter sets the gateway that keeps to the servers' limits; without it none is kept.
func WithLimiter(l Limiter) Option { return func(c *Client) { c.limiter = l } }

// SyncLimitsNow has the leader asked at once for what the limits of servers need.
func (c *Client) SyncLimitsNow() {
	select {
	case c.limitsNow <- struct{}{}:
	default: // It is about to be asked.
	}
}

// RunLimits keeps the gateway's part in the servers' limits up to date, until ctx ends. It
// has a loop of its own: requests wait for its answers, and a question to the leader may
// wait for a list. While no leader answers, the control instances are asked in turn what
// servers said to other gateways, each of them as often as a leader would be.
func (c *Client) RunLimits(ctx context.Context) error {
	most := every
	for ctx.Err() == nil {
		pause.Until(ctx, most, c.limitsNow)
		most = askEvery(int(c.members.Load()))
		if !c.askLimits() {
			c.askPassed()
			most /= time.Duration(max(1, len(c.known())))
			pause.For(ctx, searchPause) // Requests that wait ask again at once.
		}
	}
	return nil
}

// askLimits asks the leader, or a relay, if there is anything to ask or to tell. It is
// false where no leader answers.
func (c *Client) askLimits() bool {
	m, any := c.limiter.ReportLimits()
	behind := c.limitsBehind.Swap(false)
	if !any && !behind {
		return c.linkAddress() != ""
	}
	m.Life = c.life
	asked := clock.Now()
	reply, err := c.callLimits(m)
	if err != nil {
		c.log.Debug().Err(err).Msg("no leader answers on the servers' limits")
	}
	c.limiter.HandleLimitsReply(&m, reply, asked)
	return err == nil
}

// linkAddress returns the instance that answers for the leader; empty while there is none.
func (c *Client) linkAddress() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

// known returns the control instances that are known: the seeds before one told of others.
func (c *Client) known() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.controls) > 0 {
		return c.controls
	}
	return c.seeds
}

// askPassed asks the next control instance what servers said to other gateways. A gateway
// that was never linked serves nothing, and asks none: all of them start at the same time.
func (c *Client) askPassed() {
	all := c.known()
	if len(all) == 0 || c.members.Load() == 0 {
		return
	}
	c.passedTurn++
	address := all[c.passedTurn%len(all)]
	m := protocol.SharedLimitsMsg{Held: c.passed[address], Heard: c.limiter.ObservedLimits()}
	var reply protocol.SharedLimitsReply
	if err := c.caller.Call(address, "Uplink.Passed", m, &reply, limitsTime); err != nil {
		c.log.Debug().Err(err).Str("instance", address).Msg("a control instance does not pass on the servers' limits")
		return
	}
	c.passed[address] = reply.Holds
	if len(reply.Heard) > 0 {
		c.log.Info().Str("instance", address).Int("limits", len(reply.Heard)).Msg("limits of servers that other gateways heard of")
		c.limiter.AddSharedLimits(reply.Heard)
	}
}

// callLimits returns the answer of a leader, or why there is none.
func (c *Client) callLimits(m protocol.LimitsMsg) (*protocol.LimitsReply, error) {
	leader := c.linkAddress()
	if leader == "" {
		return nil, errNoLeader
	}
	var reply protocol.LimitsReply
	if err := c.caller.Call(leader, "Uplink.Limits", m, &reply, limitsTime); err != nil {
		return nil, err
	}
	if !reply.Leads {
		return nil, errNoLeader
	}
	return &reply, nil
}

// noteLimits has the leader asked where it has limits that the gateway lacks.
func (c *Client) noteLimits(reply *protocol.SyncReply) {
	if c.limiter != nil && c.limiter.LimitsOutdated(reply.Term, reply.Limits) {
		c.limitsBehind.Store(true)
		c.SyncLimitsNow()
	}
}
