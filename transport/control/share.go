package control

import (
	"time"

	"github.com/weldstream/weldstream/coordination/link"
	"github.com/weldstream/weldstream/protocol"
)

// sendToRelays redirects a gateway without a leader to a relay if this instance already serves
// as many gateways as it can at the usual interval. When all gateways start at the same time,
// each first answer contains the complete list, and a relay receives it once for many of them.
// A gateway that knows the number of gateways has found no relay and is answered. The caller
// holds u.mu.
func (u *Uplink) sendToRelays(m *protocol.SyncMsg, reply *protocol.SyncReply, now time.Time) bool {
	if m.Gateways > 0 || !m.Features.Has(protocol.FeatureLocalRelays) || u.topology.MultiRegion() || len(reply.Controls) < 2 {
		return false
	}
	n := u.countGateways(now)
	if n < link.MaxDirectGateways {
		return false
	}
	reply.Gateways = n + 1
	return true
}

// gatherDelay returns how long requests are collected for a batch. Within one region no request
// waits for a batch, and the relays together call the leader as rarely as gateways would.
func (r *Relay) gatherDelay() time.Duration {
	if r.uplink.topology.MultiRegion() {
		return batchDelay
	}
	_, all := r.uplink.peers()
	return max(batchDelay, time.Duration(len(all)-1)*link.IntervalPerGateway)
}
