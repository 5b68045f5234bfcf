package control

import (
	"context"
	"time"

	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/internal/pause"
	"github.com/weldstream/weldstream/protocol"
)

const (
	// limitsTime bounds the question that a relay passes on to the leader.
	limitsTime = 250 * time.Millisecond
	// limitsEvery is between two questions of a relay for the change of the leader's limits:
	// its gateways hear of a new limit as soon as those which ask the leader themselves.
	limitsEvery = 200 * time.Millisecond
)

// Limits answers a gateway on the servers that limit their requests, or a relay that passes
// its question on.
func (u *Uplink) Limits(m protocol.LimitsMsg, reply *protocol.LimitsReply) error {
	term, ok := u.group.Vouches()
	if !ok {
		if r := u.relay.Load(); r != nil && m.Gateway != "" {
			r.passLimits(m, reply)
		}
		return nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.enter(term)
	now := clock.Now()
	*reply = u.book.HandleReport(&m, term, now)
	reply.ListLate = now.After(u.due)
	// The lease may have run out meanwhile: then the permits are another one's to give.
	still, ok := u.group.Vouches()
	reply.Leads = ok && still == term
	return nil
}

// Passed tells a gateway that no leader answers what servers said of their limits to
// others.
func (u *Uplink) Passed(m protocol.SharedLimitsMsg, reply *protocol.SharedLimitsReply) error {
	u.passing.Lock()
	defer u.passing.Unlock()
	*reply = u.passed.Exchange(&m, clock.Now())
	return nil
}

// LimitedServers returns the limits that servers name, in requests a second, for dumps;
// nil from an instance that does not lead.
func (u *Uplink) LimitedServers() map[string]float64 {
	if _, ok := u.group.Vouches(); !ok {
		return nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.book.Limits()
}

// keepLimits drops the limits of servers that are listed no more. It needs u.mu.
func (u *Uplink) keepLimits() {
	u.book.Prune(func(server string) bool { return u.view.Find(server) != nil }, clock.Now())
}

// passLimits has the leader answer one of the relay's gateways.
func (r *Relay) passLimits(m protocol.LimitsMsg, reply *protocol.LimitsReply) {
	leader, _ := r.uplink.peers() // The list of all control instances is not needed.
	if leader == "" || leader == r.own {
		return
	}
	if err := r.caller.Call(leader, "Uplink.Limits", m, reply, limitsTime); err != nil {
		r.uplink.log.Debug().Err(err).Str("leader", leader).Msg("no answer on the servers' limits for a gateway")
		*reply = protocol.LimitsReply{}
		return
	}
	r.tookLimits(reply)
}

// tookLimits keeps which limits the leader has.
func (r *Relay) tookLimits(reply *protocol.LimitsReply) {
	if !reply.Leads {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limits, r.listLate = protocol.LimitsVersion{Term: reply.Term, Change: reply.Change}, reply.ListLate
}

// watchLimits asks the leader again and again which limits it has, and whether its list is
// late, while gateways ask this relay. Their answers tell it, and they then ask for what they
// lack.
func (r *Relay) watchLimits(ctx context.Context) {
	for pause.For(ctx, limitsEvery) {
		r.mu.Lock()
		idle, held := len(r.gateways) == 0, r.limits
		r.mu.Unlock()
		if idle {
			continue
		}
		var reply protocol.LimitsReply
		r.passLimits(protocol.LimitsMsg{Term: held.Term, Held: held.Change}, &reply)
	}
}
