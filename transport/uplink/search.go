package uplink

import (
	"context"
	"slices"
	"time"

	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// search asks all control instances that are known who leads, those that are not
// being asked already, and waits a while for the first to name one.
func (c *Client) search(ctx context.Context) string {
	m := protocol.LeaderMsg{}
	if clock.Since(c.silentAt) < silentFor {
		m.Besides = c.silent
	}
	c.askWho(m, "")
	end := time.NewTimer(searchPause)
	defer end.Stop()
	for {
		select {
		case n := <-c.found:
			if n.byItself || n.leader != m.Besides {
				return n.leader
			}
		case <-end.C:
			return ""
		case <-ctx.Done():
			return ""
		}
	}
}

// askWho asks all control instances that are known who leads, but for one that did
// not answer and those that are being asked already.
func (c *Client) askWho(m protocol.LeaderMsg, except string) {
	for _, address := range c.candidates(except) {
		go c.askLeader(address, m)
	}
}

// candidates returns the instances to ask who leads, and notes that they are asked.
func (c *Client) candidates(except string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for _, address := range slices.Concat(c.seeds, c.controls) {
		if address != except && !c.asking[address] {
			c.asking[address] = true
			list = append(list, address)
		}
	}
	return list
}

// askLeader asks one instance who leads.
func (c *Client) askLeader(address string, m protocol.LeaderMsg) {
	var reply protocol.LeaderReply
	err := c.caller.Call(address, "Uplink.Leader", m, &reply, leaderTime)
	c.mu.Lock()
	delete(c.asking, address)
	c.mu.Unlock()
	if err != nil {
		return // It is asked again in the next round.
	}
	c.learn(reply.Controls, reply.Domains)
	if reply.Leader == "" {
		return
	}
	select {
	case c.found <- named{leader: reply.Leader, byItself: reply.Leader == address}:
	default: // Another was faster.
	}
}
