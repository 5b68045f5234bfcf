package uplink

import (
	"time"

	"github.com/weldstream/weldstream/protocol"
)

const (
	// originTimeout bounds a call on the origins of streams, and farOriginTimeout one where there are
	// several regions: a connect and a round trip.
	originTimeout    = 150 * time.Millisecond
	farOriginTimeout = 500 * time.Millisecond
)

// OriginKeepers implements forward.OriginStore: all control instances keep origins of streams. Each is
// named by its address.
func (c *Client) OriginKeepers() []protocol.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.controls) == 0 {
		return addressedPeers(c.seeds, nil)
	}
	return addressedPeers(c.controls, c.controlDomains)
}

// addressedPeers returns instances by their addresses. The domains are those of the instances in the same
// order, as far as they are known.
func addressedPeers(addresses, domains []string) []protocol.Peer {
	list := make([]protocol.Peer, len(addresses))
	for i, address := range addresses {
		list[i] = protocol.Peer{Name: address, Address: address}
		if i < len(domains) {
			list[i].Domain = domains[i]
		}
	}
	return list
}

// KeepOrigins implements forward.OriginStore.
func (c *Client) KeepOrigins(address string, m *protocol.OriginsMsg) error {
	var reply protocol.KeepOriginsReply
	return c.caller.Call(address, "Uplink.KeepOrigins", *m, &reply, c.originTimeout())
}

// FindOrigin implements forward.OriginStore.
func (c *Client) FindOrigin(address string, q *protocol.OriginQuery, reply *protocol.OriginReply) error {
	return c.caller.Call(address, "Uplink.FindOrigin", *q, reply, c.originTimeout())
}

func (c *Client) originTimeout() time.Duration {
	if c.topology.MultiRegion() {
		return farOriginTimeout
	}
	return originTimeout
}
