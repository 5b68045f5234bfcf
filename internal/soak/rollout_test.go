package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/weldstream/weldstream/platform/standin"
)

// underLoad runs f while callers send requests to both gateways, and checks the
// guarantees.
func underLoad(t *testing.T, f func(c *Cluster, r *Rollouts)) *Checker {
	t.Helper()
	return underLoadOf(t, Size{Controls: 3, Gateways: 2, Backends: 4}, f)
}

func underLoadOf(t *testing.T, size Size, f func(c *Cluster, r *Rollouts)) *Checker {
	t.Helper()
	c, k, _ := startCluster(t, size)
	for g, address := range c.Callers() {
		waitUntilServed(t, address, fmt.Sprint("first-", g))
	}
	run := &run{cluster: c, checker: k}
	ctx, cancel := context.WithCancel(context.Background())
	var load sync.WaitGroup
	for g := range c.Size.Gateways {
		for i := range 2 * clientsPerGateway {
			load.Go(func() { run.sendRequests(ctx, g, fmt.Sprintf("%d-%d", g, i), 7) })
		}
	}
	r := NewRollouts(c, k)
	f(c, r)
	cancel()
	load.Wait()
	k.Finish()
	r.Finish()
	for _, b := range k.Breaches() {
		t.Error(b)
	}
	return k
}

// countFailed counts the requests without a complete answer of status 200.
func countFailed(k *Checker) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := 0
	for _, r := range k.replies {
		if !r.Complete || r.Status != http.StatusOK {
			n++
		}
	}
	return n
}

// TestGoodVersionIsCompleted checks that a service moves to a good version, twice and
// within the limit, and that no caller loses an answer though the former servers stop at
// once.
func TestGoodVersionIsCompleted(t *testing.T) {
	k := underLoad(t, func(_ *Cluster, r *Rollouts) {
		for range 2 {
			if state := r.RunOne(standin.Flaw{}); state != "completed" {
				t.Errorf("a good version ended as %q", state)
			}
		}
	})
	if n := countFailed(k); n > 0 {
		t.Errorf("%d requests got no complete answer", n)
	}
}

// TestBadVersionIsRolledBack checks every kind of bad version.
func TestBadVersionIsRolledBack(t *testing.T) {
	underLoad(t, func(_ *Cluster, r *Rollouts) {
		for _, f := range flaws[1:] {
			if state := r.RunOne(f); state != "rolled_back" {
				t.Errorf("%+v ended as %q", f, state)
			}
		}
	})
}

// TestRolloutSurvivesControlRestarts checks that roll-outs continue, and end as they
// should, while the control instances are killed and restarted one after the other.
func TestRolloutSurvivesControlRestarts(t *testing.T) {
	underLoad(t, func(c *Cluster, r *Rollouts) {
		for _, f := range []standin.Flaw{{}, {Fail: 3}} {
			var harm sync.WaitGroup
			harm.Go(func() {
				for i := range c.Size.Controls {
					restartControl(t, c, i)
				}
			})
			state := r.RunOne(f)
			harm.Wait()
			if want := map[bool]string{false: "completed", true: "rolled_back"}[isBad(f)]; state != want {
				t.Errorf("%+v ended as %q", f, state)
			}
		}
	})
}

// restartControl kills a control instance and starts it again once another one answers.
func restartControl(t *testing.T, c *Cluster, i int) {
	p := c.Proc(fmt.Sprintf("control-%d", i))
	p.Kill()
	client := http.Client{Timeout: time.Second}
	other := c.Operators()[(i+1)%c.Size.Controls]
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(requestPause) {
		if _, ok := standin.Fetch(&client, other); ok {
			break
		}
	}
	if err := p.Start(); err != nil {
		t.Error(err)
	}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(requestPause) {
		if _, ok := standin.Fetch(&client, c.Operators()[i]); ok {
			return
		}
	}
	t.Errorf("control instance %d did not come back", i)
}
