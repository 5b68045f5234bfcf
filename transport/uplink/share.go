package uplink

import "time"

// syncInterval returns the normal time between two sync requests.
func (c *Client) syncInterval() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return syncIntervalFor(c.links.GatewaysPerInstance(c.gateways))
}

// retryPause returns the time between two sync requests after consecutive failures. With
// relays it backs off exponentially: a relay without a leader refuses immediately, and many
// gateways share few relays.
func (c *Client) retryPause(failures int) time.Duration {
	if !c.mayUseRelay() {
		return minPause
	}
	return min(minSyncInterval, minPause<<min(failures, maxDoublings))
}

// reportRelayOverdue calls Gateway.Overdue if another relay may be tried next. Without
// relays, step makes the call when the search for a leader starts.
func (c *Client) reportRelayOverdue() {
	if c.mayUseRelay() {
		c.gateway.Overdue()
	}
}

// redirectToRelay makes the gateway use a relay, as requested by a leader with many gateways.
func (c *Client) redirectToRelay(address string, gateways int) bool {
	c.log.Info().Str("leader", address).Int("gateways", gateways).Msg("leader redirected the gateway to a relay")
	c.setGateways(gateways)
	c.target = ""
	return false
}

// setGateways records the number of gateways.
func (c *Client) setGateways(n int) {
	c.gateways = n
	c.mu.Lock()
	defer c.mu.Unlock()
	c.links.SetGateways(n)
}

// mayUseRelay reports whether the link selector picks the instance to ask, which may be a
// relay.
func (c *Client) mayUseRelay() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.links.Enabled()
}

// syncIntervalFor returns the time between two sync requests of each gateway if an instance
// serves the given number of them.
func syncIntervalFor(gateways int) time.Duration {
	return max(minSyncInterval, time.Duration(gateways)*intervalPerGateway)
}
