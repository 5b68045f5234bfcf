package soak

import (
	"context"
	"testing"
	"time"
)

// TestLimitThroughRelays has servers announce a limit where gateways get permits through
// relays: the leader grants them for all regions.
func TestLimitThroughRelays(t *testing.T) {
	c, k, _ := startCluster(t, twoRegions)
	waitForDomainLinks(t, c)
	ctx, stop := context.WithCancel(t.Context())
	wait := startCallers(ctx, c, k)
	time.Sleep(limitWindow / 4)
	for _, b := range c.Backends[1:] {
		b.SetLimit(testLimit)
	}
	named := time.Now()
	time.Sleep(limitEffectTime + limitWindow)
	stop()
	wait()
	for _, b := range c.Backends[1:] {
		checkLimit(t, b, named)
	}
	reportBreaches(t, c, k)
}
