package control

import (
	"time"

	"github.com/weldstream/weldstream/coordination/link"
	"github.com/weldstream/weldstream/protocol"
)

// sharesOut tells a gateway that has heard of no leader yet to ask a relay, where this
// instance has more gateways than it answers at the usual pace. All start at the same time,
// and each first answer holds the whole list: relays get that once for many of them. One that
// knows how many gateways there are has found no relay, and is answered. It needs u.mu.
func (u *Uplink) sharesOut(m *protocol.SyncMsg, reply *protocol.SyncReply, now time.Time) bool {
	if m.Gateways > 0 || !m.Features.Has(protocol.FeatureLocalRelays) || u.topology.MultiRegion() || len(reply.Controls) < 2 {
		return false
	}
	n := u.alive(now)
	if n < link.MaxDirectGateways {
		return false
	}
	reply.Gateways = n + 1
	return true
}

// gather is for how long questions are gathered. Within one region no request waits for a
// batch, and the relays together ask the leader as rarely as gateways would.
func (r *Relay) gather() time.Duration {
	if r.uplink.topology.MultiRegion() {
		return gatherTime
	}
	_, all := r.uplink.peers()
	return max(gatherTime, time.Duration(len(all)-1)*link.IntervalPerGateway)
}
