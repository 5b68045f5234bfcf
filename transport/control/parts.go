package control

import (
	"time"

	"github.com/weldstream/weldstream/coordination/allot"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// Part allots a gateway its part of what all gateways together may do without a leader, or forwards
// the request of one that uses a relay.
func (u *Uplink) Part(m protocol.PartMsg, reply *protocol.PartReply) error {
	began, leads := u.answerAsLeader(func(now time.Time) {
		reply.Part, reply.Lasts = u.parts.Request(m.Life, m.Holds, now), allot.Lifetime
	})
	reply.Leads = leads
	if r := u.relay.Load(); !began && r != nil {
		*reply = forwardToLeader[protocol.PartReply](r, "Uplink.Part", m)
	}
	return nil
}

// answerAsLeader calls answer with u.mu held if this instance leads, and reports whether it did and
// whether the instance led throughout. If its lease expired meanwhile, another leader may have given
// away the same.
func (u *Uplink) answerAsLeader(answer func(now time.Time)) (began, leads bool) {
	term, ok := u.group.Vouches()
	if !ok {
		return false, false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.enterTerm(term)
	answer(clock.Now())
	still, ok := u.group.Vouches()
	return true, ok && still == term
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
