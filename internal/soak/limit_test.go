package soak

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/weldstream/weldstream/platform/standin"
)

const (
	// limitEffectTime is how long after the first announcement a limit must hold.
	limitEffectTime = 3 * time.Second
	// limitPause is the pause between two requests at each gateway: together the gateways send
	// a server two to three times the limit of the test.
	limitPause = 100 * time.Millisecond
	// testLimit is in requests per second.
	testLimit = 4.0
)

// TestServerThatNamesALimit replays an incident: two servers that had announced limits of
// 2.4 and 2.6 requests per second in their answers each got 22 in 4 s. Gateways sent them
// as many requests as before, and as many as other servers: nothing read the announced
// limit, and no gateway knew what the others sent. The evidence: gateways that log what
// servers announce log the limit in this test, and each continues as before.
func TestServerThatNamesALimit(t *testing.T) {
	for name, disturb := range map[string]func(t *testing.T, c *Cluster){
		"no faults": func(*testing.T, *Cluster) {},
		"leader killed": func(t *testing.T, c *Cluster) {
			c.procs[waitForLeader(t, c, -1)].Kill()
		},
		"no quorum": func(t *testing.T, c *Cluster) {
			leader := waitForLeader(t, c, -1)
			c.procs[leader].Kill()
			c.procs[(leader+1)%c.Size.Controls].Kill()
		},
	} {
		t.Run(name, func(t *testing.T) {
			c, k, _ := startCluster(t, Size{Controls: 3, Gateways: 4, Backends: 4})
			for g, address := range c.Callers() {
				waitUntilServed(t, address, fmt.Sprint("before-", g))
			}
			ctx, stop := context.WithCancel(t.Context())
			wait := startCallers(ctx, c, k)
			time.Sleep(limitWindow / 4) // The servers have their usual load.
			limited := c.Backends[:2]
			for _, b := range limited {
				b.SetLimit(testLimit)
			}
			named := time.Now()
			time.Sleep(limitEffectTime / 2)
			disturb(t, c)
			time.Sleep(limitEffectTime + limitWindow)
			stop()
			wait()
			for _, b := range limited {
				checkLimit(t, b, named)
			}
			reportBreaches(t, c, k)
		})
	}
}

// startCallers starts a caller at each gateway that sends requests until ctx ends. The
// returned function waits for the last answers.
func startCallers(ctx context.Context, c *Cluster, k *Checker) (wait func()) {
	var callers sync.WaitGroup
	for g, address := range c.Callers() {
		callers.Go(func() {
			client := standin.NewClient(address)
			defer client.Close()
			for n := 0; ctx.Err() == nil; n++ {
				a := requestKinds[n%len(requestKinds)]
				a.ID = fmt.Sprintf("g%d-%d", g, n)
				k.Observe(a, client.Ask(a.ID, a.Path))
				time.Sleep(limitPause)
			}
		})
	}
	return callers.Wait
}

// checkLimit checks that a server got no more requests in any window than it tolerates,
// and that it still got some.
func checkLimit(t *testing.T, b *standin.Backend, named time.Time) {
	t.Helper()
	taken := b.ReceivedTimes()
	allowed := int(limitFactor*testLimit*limitWindow.Seconds() + limitBurst)
	most, behind := 0, 0
	for i, at := range taken {
		if at.Sub(named) < limitEffectTime {
			continue
		}
		behind++
		first, _ := slices.BinarySearchFunc(taken, at.Add(-limitWindow), time.Time.Compare)
		most = max(most, i+1-first)
	}
	t.Logf("%s got at most %d requests in a window, %d after the first %v", b.ID, most, behind, limitEffectTime)
	if most > allowed {
		t.Errorf("%s got %d requests in %v, want at most %d", b.ID, most, limitWindow, allowed)
	}
	if behind == 0 {
		t.Errorf("%s got no requests after the limit took effect", b.ID)
	}
}
