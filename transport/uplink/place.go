package uplink

import (
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// placeTime bounds the question for a place: a gateway that gets no answer in
// that time chooses by itself.
const placeTime = 60 * time.Millisecond

// Place asks the leader for a server for a long prompt, or a relay of the own region where
// there are several. It returns false where there is no leader or no answer in time.
func (c *Client) Place(m protocol.PlaceMsg) (protocol.PlaceReply, bool) {
	placer := c.placer()
	if placer == "" {
		return protocol.PlaceReply{}, false
	}
	var reply protocol.PlaceReply
	err := c.caller.Call(placer, "Uplink.Place", m, &reply, placeTime)
	return reply, err == nil && reply.Server != ""
}

// placer returns the instance that places long prompts; empty while none is known. In one
// region it is the leader itself: ledgers of several relays hear of one another's places
// only with their batches, and each gives the same server to others meanwhile.
func (c *Client) placer() string {
	if c.topology.MultiRegion() {
		return c.linkAddress()
	}
	return c.leaderAddress()
}
