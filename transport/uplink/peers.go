package uplink

import (
	"context"
	"time"

	"github.com/weldstream/weldstream/coordination/reach"
	"github.com/weldstream/weldstream/internal/pause"
	"github.com/weldstream/weldstream/protocol"
)

// PeerFinder is a gateway that may pass requests on to other gateways.
type PeerFinder interface {
	// ReportPeers returns what other gateways need to know of this one.
	ReportPeers() protocol.PeersMsg
	// SetPeers sets the gateways that requests may be passed on to, best first.
	SetPeers(peers []protocol.Peer)
	// SetKeepers sets the gateways that keep the origins of streams.
	SetKeepers(keepers []protocol.Peer)
}

// WithPeerFinder sets the gateway that may pass requests on. Without it, no other gateways are
// asked for.
func WithPeerFinder(f PeerFinder) Option { return func(c *Client) { c.peerFinder = f } }

// FindPeersNow makes RunPeers contact the leader immediately.
func (c *Client) FindPeersNow() {
	select {
	case c.peersNow <- struct{}{}:
	default: // A request is already pending.
	}
}

// minPeersInterval bounds how often FindPeersNow has an effect.
const minPeersInterval = 100 * time.Millisecond

// RunPeers tells the leader what the gateway does not reach and asks it for other gateways, until
// ctx ends. While no leader answers, the gateways named last stay in use.
func (c *Client) RunPeers(ctx context.Context) error {
	interval := time.Duration(0)
	var keepers []protocol.Peer
	var digest uint64
	for pause.Until(ctx, interval, c.peersNow) && pause.For(ctx, min(interval, minPeersInterval)) {
		m := c.peerFinder.ReportPeers()
		m.Life, m.Keepers = c.incarnation, digest
		var reply protocol.PeersReply
		err := c.callLink("Uplink.Peers", m, &reply)
		answered := err == nil && reply.Leads
		changed := answered && reply.KeepersDigest != digest
		interval = nextPeersInterval(interval, answered, changed, len(m.Lost) > 0)
		if !answered {
			c.log.Debug().Err(err).Msg("no leader answered the request for other gateways")
			continue
		}
		if changed {
			keepers, digest = reply.Keepers, reply.KeepersDigest
		}
		c.peerFinder.SetPeers(reply.Peers)
		if digest != 0 { // An earlier build names none.
			c.peerFinder.SetKeepers(keepers)
		}
	}
	return nil
}

// nextPeersInterval returns the time until the next report. Right after a start, and after a change of
// the keepers, others have yet to report to the leader; the interval then grows from the shortest one.
func nextPeersInterval(last time.Duration, answered, changed, lost bool) time.Duration {
	next := min(max(2*last, minPeersInterval), reach.ReportInterval)
	if changed {
		next = minPeersInterval
	}
	if lost || !answered {
		next = min(next, reach.LossReportInterval)
	}
	return next
}
