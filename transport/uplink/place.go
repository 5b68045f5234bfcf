package uplink

import (
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// placeTimeout bounds a placement request. Without a reply in that time, the gateway picks a
// server by itself.
const placeTimeout = 60 * time.Millisecond

// Place requests a server for a long prompt from the leader, or from a relay in the gateway's
// region if there are several regions. It returns false if there is no leader, no server, or
// no reply in time.
func (c *Client) Place(m protocol.PlaceMsg) (protocol.PlaceReply, bool) {
	address := c.placementInstance()
	if address == "" {
		return protocol.PlaceReply{}, false
	}
	var reply protocol.PlaceReply
	err := c.caller.Call(address, "Uplink.Place", m, &reply, placeTimeout)
	return reply, err == nil && reply.Server != ""
}

// placementInstance returns the instance that places long prompts, or "" if none is known.
// Within one region it is the leader itself: relays learn of one another's placements only
// with their batches, so several of them would assign the same server in the meantime.
func (c *Client) placementInstance() string {
	if c.topology.MultiRegion() {
		return c.linkedInstance()
	}
	return c.leaderAddress()
}
