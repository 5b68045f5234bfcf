package uplink

import "time"

// askEvery is the usual time between two questions.
func (c *Client) askEvery() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return askEvery(c.links.GatewaysPerInstance(c.gateways))
}

// failedPause is the time between two questions behind some that failed in a row. Relays
// that have lost the leader refuse at once, and many gateways share few of them.
func (c *Client) failedPause(failed int) time.Duration {
	if !c.nears() {
		return leastPause
	}
	return min(every, leastPause<<min(failed, mostDoublings))
}

// overdueNear tells the gateway that nobody answers where another instance of the own region
// is asked next: with none known it is told as soon as the search begins.
func (c *Client) overdueNear() {
	if c.nears() {
		c.gateway.Overdue()
	}
}

// shareOut has the gateway ask one of the relays, as a leader with many gateways wants it.
func (c *Client) shareOut(address string, gateways int) bool {
	c.log.Info().Str("leader", address).Int("gateways", gateways).Msg("the leader has a relay asked")
	c.setGateways(gateways)
	c.target = ""
	return false
}

// setGateways notes how many gateways there are.
func (c *Client) setGateways(n int) {
	c.gateways = n
	c.mu.Lock()
	defer c.mu.Unlock()
	c.links.SetGateways(n)
}

// nears reports whether an instance of the own region is asked, which may be a relay.
func (c *Client) nears() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.links.Enabled()
}

// askEvery is the time between two questions of each of some gateways.
func askEvery(gateways int) time.Duration {
	return max(every, time.Duration(gateways)*everyMember)
}
