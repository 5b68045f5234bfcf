package control

import (
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// Peers records what a gateway tells of itself and returns the gateways that it may pass requests
// on to and those that keep the origins of streams, or forwards the request of one that uses a relay.
func (u *Uplink) Peers(m protocol.PeersMsg, reply *protocol.PeersReply) error {
	began, leads := u.answerAsLeader(func(now time.Time) {
		reply.Peers = u.directory.Report(&m, now)
		reply.Keepers, reply.KeepersDigest = u.directory.Keepers(now)
		if reply.KeepersDigest == m.Keepers {
			reply.Keepers = nil
		}
	})
	reply.Leads = leads
	if r := u.relay.Load(); !began && r != nil {
		*reply = forwardToLeader[protocol.PeersReply](r, "Uplink.Peers", m)
	}
	return nil
}
