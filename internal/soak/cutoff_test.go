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
	// cutEffectTime is the time within which a gateway must have noticed that it is cut off.
	cutEffectTime = 2 * time.Second
	// cutPause is the pause between two requests of a caller.
	cutPause = 20 * time.Millisecond
	// minServedRatio is how often a gateway that is cut off must serve requests at the first
	// attempt, compared with the others.
	minServedRatio = 2.0 / 3
)

// TestCutOffGatewayStillServes guards against gateways that answer nothing while they reach no
// backend server, though callers, the leader and gateways that reach all servers reach them.
func TestCutOffGatewayStillServes(t *testing.T) {
	for name, prepare := range map[string]func(t *testing.T, c *Cluster){
		"with a leader": func(*testing.T, *Cluster) {},
		"leader killed": func(t *testing.T, c *Cluster) { c.procs[waitForLeader(t, c, -1)].Kill() },
	} {
		t.Run(name, func(t *testing.T) {
			c, k, _ := startCluster(t, Size{Controls: 3, Gateways: 3, Backends: 4, Sources: true})
			for g, address := range c.Callers() {
				waitUntilServed(t, address, fmt.Sprint("before-", g))
			}
			o := observeGateways(t.Context(), c, k)
			restore := c.CutOff(0)
			prepare(t, c)
			time.Sleep(cutEffectTime)
			from := time.Now()
			time.Sleep(cutEffectTime)
			cut, others := o.servedSince(from, 0), o.servedSince(from, 1, 2)
			restore()
			time.Sleep(cutEffectTime)
			from = time.Now()
			time.Sleep(cutEffectTime / 2)
			again := o.servedSince(from, 0)
			o.stop()
			t.Logf("served: cut off %.2f, others %.2f, afterwards %.2f", cut, others, again)
			if cut < minServedRatio*others {
				t.Errorf("the gateway that is cut off served %.2f of its requests, the others %.2f", cut, others)
			}
			if again < minServedRatio*others {
				t.Errorf("after the cut the gateway served %.2f of its requests, the others %.2f", again, others)
			}
			reportBreaches(t, c, k)
		})
	}
}

// gatewayObserver sends requests to all gateways and records which were served.
type gatewayObserver struct {
	stop func() // stop ends the callers.

	mu      sync.Mutex // mu guards replies.
	replies [][]observedReply
}

// observedReply is the outcome of one attempt.
type observedReply struct {
	at     time.Time // at is when the request was sent.
	served bool
}

// observeGateways starts clientsPerGateway callers at each gateway.
func observeGateways(ctx context.Context, c *Cluster, k *Checker) *gatewayObserver {
	ctx, cancel := context.WithCancel(ctx)
	var callers sync.WaitGroup
	o := &gatewayObserver{replies: make([][]observedReply, c.Size.Gateways)}
	o.stop = func() {
		cancel()
		callers.Wait()
	}
	for g, address := range c.Callers() {
		for i := range clientsPerGateway {
			callers.Go(func() { o.send(ctx, k, address, g, i) })
		}
	}
	return o
}

func (o *gatewayObserver) send(ctx context.Context, k *Checker, address string, g, i int) {
	client := standin.NewClient(address)
	defer client.Close()
	for n := 0; ctx.Err() == nil; n++ {
		a := requestKinds[n%len(requestKinds)]
		a.ID = fmt.Sprintf("o%d-%d-%d", g, i, n)
		at := time.Now()
		reply := client.Ask(a.ID, a.Path)
		k.Observe(a, reply)
		o.mu.Lock()
		o.replies[g] = append(o.replies[g], observedReply{at, reply.Complete && reply.Status == 200})
		o.mu.Unlock()
		time.Sleep(cutPause)
	}
}

// servedSince returns the part of the requests sent to some gateways since a time that was
// served.
func (o *gatewayObserver) servedSince(from time.Time, gateways ...int) float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	sent, served := 0, 0
	for _, g := range gateways {
		for _, r := range o.replies[g] {
			if r.at.Before(from) {
				continue
			}
			sent++
			if r.served {
				served++
			}
		}
	}
	return float64(served) / float64(max(1, sent))
}
