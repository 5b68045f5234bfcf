package control

import (
	"context"
	"time"

	"github.com/weldstream/weldstream/coordination/backpressure"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/internal/pause"
	"github.com/weldstream/weldstream/protocol"
)

const (
	// forwardTimeout bounds a request that a relay forwards to the leader.
	forwardTimeout = 250 * time.Millisecond
	// limitsInterval is the interval at which a relay polls the version of the leader's
	// limits, so that its gateways learn of a new limit as soon as those that poll the
	// leader directly.
	limitsInterval = 200 * time.Millisecond
)

// Limits answers a gateway's request for the servers' rate limits, or a relay that forwards
// one.
func (u *Uplink) Limits(m protocol.LimitsMsg, reply *protocol.LimitsReply) error {
	term, ok := u.group.Vouches()
	if !ok {
		if r := u.relay.Load(); r != nil && m.Gateway != "" {
			r.forwardLimits(m, reply)
		}
		return nil
	}
	u.mu.Lock()
	u.enterTerm(term)
	u.mu.Unlock()
	u.awaitLimits()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.enterTerm(term)
	now := clock.Now()
	*reply = u.permits.HandleReport(&m, term, now)
	reply.ListLate = now.After(u.staleAt)
	// The lease may have expired meanwhile: then another leader issues the permits.
	still, ok := u.group.Vouches()
	reply.Leads = ok && still == term
	return nil
}

// Passed returns the limits that servers have announced to other gateways, for a gateway
// that reaches no leader.
func (u *Uplink) Passed(m protocol.SharedLimitsMsg, reply *protocol.SharedLimitsReply) error {
	u.sharedMu.Lock()
	defer u.sharedMu.Unlock()
	*reply = u.sharedLimits.Exchange(&m, clock.Now())
	return nil
}

// LimitedServers returns the limits that servers have announced, in requests per second,
// for dumps. It returns nil on an instance that does not lead.
func (u *Uplink) LimitedServers() map[string]float64 {
	if _, ok := u.group.Vouches(); !ok {
		return nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.permits.Limits()
}

// updateLimits tells the limits which servers are listed. The caller holds u.mu.
func (u *Uplink) updateLimits() { u.permits.SetServers(u.view.Listing(), clock.Now()) }

// RoomUse returns the room at brittle servers, for dumps. It returns nil on an instance that does not lead.
func (u *Uplink) RoomUse() []backpressure.RoomUse {
	if _, ok := u.group.Vouches(); !ok {
		return nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.permits.RoomUse(clock.Now())
}

// forwardLimits forwards the request of one of the relay's gateways to the leader.
func (r *Relay) forwardLimits(m protocol.LimitsMsg, reply *protocol.LimitsReply) {
	*reply = forwardToLeader[protocol.LimitsReply](r, "Uplink.Limits", m)
	r.recordLimits(reply)
}

// recordLimits stores the version of the leader's limits.
func (r *Relay) recordLimits(reply *protocol.LimitsReply) {
	if !reply.Leads {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limits, r.listLate = protocol.LimitsVersion{Term: reply.Term, Change: reply.Change}, reply.ListLate
}

// pollLimits polls the version of the leader's limits, and whether its list is out of date,
// while the relay has gateways. The answers to the gateways contain both, so that they
// request what they lack.
func (r *Relay) pollLimits(ctx context.Context) {
	for pause.For(ctx, limitsInterval) {
		r.mu.Lock()
		idle, held := len(r.gateways) == 0, r.limits
		r.mu.Unlock()
		if idle {
			continue
		}
		var reply protocol.LimitsReply
		r.forwardLimits(protocol.LimitsMsg{Term: held.Term, Held: held.Change}, &reply)
	}
}
