package uplink

import (
	"context"
	"slices"
	"time"

	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// search queries the known control instances for the leader, except those with a query in
// flight, and waits up to searchPause for the first one that names a leader.
func (c *Client) search(ctx context.Context) string {
	m := protocol.LeaderMsg{}
	if clock.Since(c.silentSince) < silentLeaderTTL {
		m.Besides = c.silentLeader
	}
	c.queryControls(m, "")
	timer := time.NewTimer(searchPause)
	defer timer.Stop()
	for {
		select {
		case n := <-c.leaderHints:
			if n.selfReported || n.leader != m.Besides {
				return n.leader
			}
		case <-timer.C:
			return ""
		case <-ctx.Done():
			return ""
		}
	}
}

// queryControls queries the known control instances for the leader, except the given one,
// which did not answer, and those with a query in flight.
func (c *Client) queryControls(m protocol.LeaderMsg, except string) {
	for _, address := range c.claimCandidates(except) {
		go c.queryLeader(address, m)
	}
}

// claimCandidates returns the instances to query for the leader and marks them as queried.
func (c *Client) claimCandidates(except string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for _, address := range slices.Concat(c.seeds, c.controls) {
		if address != except && !c.queried[address] {
			c.queried[address] = true
			list = append(list, address)
		}
	}
	return list
}

// queryLeader asks one instance for the leader's address.
func (c *Client) queryLeader(address string, m protocol.LeaderMsg) {
	var reply protocol.LeaderReply
	err := c.caller.Call(address, "Uplink.Leader", m, &reply, leaderTimeout)
	c.mu.Lock()
	delete(c.queried, address)
	c.mu.Unlock()
	if err != nil {
		return // The next round queries it again.
	}
	c.setControls(reply.Controls, reply.Domains)
	if reply.Leader == "" {
		return
	}
	select {
	case c.leaderHints <- leaderHint{leader: reply.Leader, selfReported: reply.Leader == address}:
	default: // Another instance answered first.
	}
}
