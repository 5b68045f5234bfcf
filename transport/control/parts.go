package control

import (
	"github.com/weldstream/weldstream/coordination/allot"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// Part allots a gateway its part of what all gateways together may do without a leader, or forwards
// the request of one that uses a relay.
func (u *Uplink) Part(m protocol.PartMsg, reply *protocol.PartReply) error {
	term, ok := u.group.Vouches()
	if !ok {
		if r := u.relay.Load(); r != nil {
			*reply = forwardToLeader[protocol.PartReply](r, "Uplink.Part", m)
		}
		return nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.enterTerm(term)
	reply.Part, reply.Lasts = u.parts.Request(m.Life, m.Holds, clock.Now()), allot.Lifetime
	// The lease may have expired meanwhile: then another leader allots the parts.
	still, ok := u.group.Vouches()
	reply.Leads = ok && still == term
	return nil
}

// forwardToLeader forwards the request of one of the relay's gateways to the leader. It returns the
// zero reply if the leader does not answer.
func forwardToLeader[Reply any](r *Relay, method string, m any) (reply Reply) {
	leader, _ := r.uplink.peers()
	if leader == "" || leader == r.peer {
		return reply
	}
	if err := r.caller.Call(leader, method, m, &reply, forwardTimeout); err != nil {
		r.uplink.log.Debug().Err(err).Str("leader", leader).Str("method", method).Msg("cannot forward a request to the leader")
		var none Reply
		return none
	}
	return reply
}
