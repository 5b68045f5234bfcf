package uplink

import (
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// placeTime bounds the question for a place: a gateway that gets no answer in
// that time chooses by itself.
const placeTime = 60 * time.Millisecond

// Place asks the leader for a server for a long prompt. It returns false where
// there is no leader or no answer in time.
func (c *Client) Place(m protocol.PlaceMsg) (protocol.PlaceReply, bool) {
	c.mu.Lock()
	leader := c.leader
	c.mu.Unlock()
	if leader == "" {
		return protocol.PlaceReply{}, false
	}
	var reply protocol.PlaceReply
	err := c.caller.Call(leader, "Uplink.Place", m, &reply, placeTime)
	return reply, err == nil && reply.Server != ""
}
