package soak

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/weldstream/weldstream/platform/standin"
)

const (
	// brittleSlots is how many requests a brittle server runs at once, and brittlePause how long
	// one takes: the servers of the test complete 64 requests a second.
	brittleSlots = 4
	brittlePause = 250 * time.Millisecond
	// brittleRejections is the number of rejections a second that a server bears; it is below
	// the number of gateways in some of the tests.
	brittleRejections = 3
	// brittleDown is how long a server is down after it fell over.
	brittleDown = time.Second
	// brittleEffectTime is the time within which all gateways must know that servers are
	// brittle. Until then the room is large enough for all requests.
	brittleEffectTime = 3 * time.Second
	// brittleCallers is the number of callers at each gateway: together they ask for three times
	// as much as the servers can do.
	brittleCallers = 20
	// minRoomUsed is the part of the servers' capacity that must be used while more is asked for.
	minRoomUsed = 0.6
)

// TestBrittleServersStayUp guards against servers that fall over under the requests that they have
// to reject: gateways sent them more than they had room for, each without regard to the others.
func TestBrittleServersStayUp(t *testing.T) {
	for name, disturb := range map[string]func(t *testing.T, c *Cluster){
		"no faults":     func(*testing.T, *Cluster) {},
		"leader killed": func(t *testing.T, c *Cluster) { c.procs[waitForLeader(t, c, -1)].Kill() },
		"all gateways started": func(_ *testing.T, c *Cluster) {
			(&run{cluster: c, checker: NewChecker(c.Record)}).restartGateways(false, 0)
		},
		"and the leader": func(_ *testing.T, c *Cluster) {
			(&run{cluster: c, checker: NewChecker(c.Record)}).restartGateways(true, 0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c, k, _ := startCluster(t, Size{Controls: 3, Gateways: 4, Backends: 4})
			for _, b := range c.Backends {
				b.Pause = brittlePause
				b.SetBrittle(brittleSlots, unlimitedRoom, brittleRejections, brittleDown)
			}
			for g, address := range c.Callers() {
				waitUntilServed(t, address, fmt.Sprint("before-", g))
			}
			ctx, stop := context.WithCancel(t.Context())
			wait := startManyCallers(ctx, c, k, brittleCallers)
			time.Sleep(brittleEffectTime)
			for _, b := range c.Backends {
				b.SetBrittle(brittleSlots, brittleSlots, brittleRejections, brittleDown)
			}
			from := time.Now()
			time.Sleep(brittleEffectTime)
			disturb(t, c)
			time.Sleep(brittleEffectTime)
			until := time.Now()
			stop()
			wait()
			checkBrittle(t, c, from, until)
			reportBreaches(t, c, k)
		})
	}
}

// startManyCallers starts a number of callers at each gateway, which send plain requests until ctx ends.
// The returned function waits for the last answers.
func startManyCallers(ctx context.Context, c *Cluster, k *Checker, count int) (wait func()) {
	var callers sync.WaitGroup
	for g, address := range c.Callers() {
		for i := range count {
			callers.Go(func() {
				client := standin.NewClient(address)
				defer client.Close()
				for n := 0; ctx.Err() == nil; n++ {
					a := requestKinds[n%2] // Plain requests, all of which take brittlePause.
					a.ID = fmt.Sprintf("g%d-%d-%d", g, i, n)
					k.Observe(a, client.Ask(a.ID, a.Path))
					sleepContext(ctx, cutPause)
				}
			})
		}
	}
	return callers.Wait
}

// checkBrittle checks how often servers fell over, and how much of their room was used.
func checkBrittle(t *testing.T, c *Cluster, from, until time.Time) {
	t.Helper()
	falls, rejected := 0, 0
	for _, b := range c.Backends {
		r := b.Room()
		falls, rejected = falls+len(r.Falls), rejected+r.Rejected
	}
	ran := c.Record.Count(from, until)
	capacity := float64(len(c.Backends)*brittleSlots) * float64(until.Sub(from)) / float64(brittlePause)
	t.Logf("%d falls, %d rejections, %d runs of %.0f possible", falls, rejected, ran, capacity)
	if allowed := AllowedFalls(len(c.Backends)); falls > allowed {
		t.Errorf("brittle servers fell over %d times, allowed %d", falls, allowed)
	}
	if float64(ran) < minRoomUsed*capacity {
		t.Errorf("%d requests ran where there was room for %.0f", ran, capacity)
	}
}
