package e2e

import (
	"fmt"
	"strings"
	"testing"

	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/transport"
)

const smallKey = "key-of-the-small-workspace"

// twoWorkspaces returns the test configuration with a second workspace of the
// same share.
func twoWorkspaces() string {
	return configText() + fmt.Sprintf("  - name: small\n    key_sha256: [%s]\n    share: 3\n", digestOf(smallKey))
}

// workspaceSlots sums a workspace's running and queued requests over all
// instances.
func (c *cluster) workspaceSlots(workspace string) (running, queued int) {
	for _, d := range c.daemons {
		var v struct{ Pools []transport.PoolRow }
		d.adminGet("/dump", &v)
		for _, p := range v.Pools {
			for _, row := range p.Demand {
				if row.Workspace == workspace {
					running += row.Running[protocol.ClassRegular]
					queued += row.Queued[protocol.ClassRegular]
				}
			}
		}
	}
	return running, queued
}

// TestSharesOverAllInstances fills a pool of twelve slots from one workspace
// through three instances. A second workspace with the same share, which sends
// through a single instance, gets half of the slots as they become free. Requests
// that cannot start before their deadline are refused with a retry delay and do
// not run.
func TestSharesOverAllInstances(t *testing.T) {
	c := newCluster(t, clusterSpec{daemons: 3, engines: 2, engineFlags: []string{"-max-batch", "6", "-token-time", "20ms"}, settings: "limits: {queue: 12, queue_wait: 1h}\n"})
	c.apply(1, twoWorkspaces())
	newRequest := func(workspace string, i, tokens int) request {
		return completion("docket-summary", fmt.Sprintf("%s %d", workspace, i), tokens, true)
	}
	for i := range 36 {
		d, a := c.daemons[i%3], newRequest("large", i, 60)
		go func() {
			for {
				s, err := d.tryOpenStream(a) // Reopen each stream when it ends, until the test is over.
				if err != nil {
					return
				}
				for s.next() {
				}
				s.close()
			}
		}()
	}
	eventually(t, "the large workspace fills the pool", func() bool {
		running, queued := c.workspaceSlots("eastbr")
		return running >= 12 && queued > 0
	})
	for i := range 8 {
		a := newRequest("small", i, 20000)
		a.key = smallKey
		go func() {
			if s, err := c.daemons[1].tryOpenStream(a); err == nil {
				for s.next() {
				}
			}
		}()
	}
	eventually(t, "the small workspace holds half of the slots", func() bool {
		running, _ := c.workspaceSlots("small")
		return running >= 6
	})
	running, _ := c.workspaceSlots("small")
	if running > 8 {
		t.Errorf("the small workspace holds %d of 12 slots, want at most 8", running)
	}
	c.checkRefusedWhenFull(t)
}

// checkRefusedWhenFull checks the refusal of a request that cannot start before
// its deadline.
func (c *cluster) checkRefusedWhenFull(t *testing.T) {
	t.Helper()
	late := completion("docket-summary", "too late", 50, false).with(protocol.HeaderDeadline, "1500ms")
	var got answer
	eventually(t, "a request that cannot start in time is refused", func() bool {
		got = c.daemons[0].send(late)
		return got.status == 429
	})
	if code := got.code(t); code != protocol.CodeOverloaded || got.header.Get("Retry-After") == "" || got.header.Get(protocol.HeaderVerdict) != protocol.NotRun.String() {
		t.Errorf("refused with %s, headers %v", code, got.header)
	}
	if !strings.Contains(string(got.body), "retry_after_ms") {
		t.Errorf("the refusal has no retry_after_ms: %s", got.body)
	}
}

// TestRefusedForCapacityRunsLater sends a request that must run at most once while
// no slot is free. It is claimed before it waits for a slot. The refusal reports it
// as not run and releases the claim, so that a resend under the same key runs once
// slots are free.
func TestRefusedForCapacityRunsLater(t *testing.T) {
	c := newCluster(t, clusterSpec{daemons: 1, engines: 1, engineFlags: []string{"-max-batch", "2", "-token-time", "20ms"}})
	c.apply(1, configText())
	d := c.daemons[0]
	var held []*stream
	for i := range 2 {
		held = append(held, d.openStream(completion("docket-summary", fmt.Sprint("held ", i), 20000, true)))
	}
	// The limiter may grant one slot above the engine's batch size; this request
	// takes it and waits in the engine.
	lent := make(chan struct{})
	go func() {
		defer close(lent)
		if s, err := d.tryOpenStream(completion("docket-summary", "lent", 5, true)); err == nil {
			s.close()
		}
	}()
	eventually(t, "the pool is full", func() bool {
		running, _ := c.workspaceSlots("eastbr")
		return running == 3
	})
	notice := completion("notice", "once", 5, false).atMostOnce("notice-1")
	got := d.send(notice.with(protocol.HeaderDeadline, "1500ms"))
	if got.status != 429 || got.verdict != protocol.NotRun.String() {
		t.Fatalf("without a free slot: status %d, verdict %s: %s", got.status, got.verdict, got.body)
	}
	for _, s := range held {
		s.close()
	}
	eventually(t, "the same key runs once slots are free", func() bool {
		got = d.send(notice.with(protocol.HeaderDeadline, "5s"))
		return got.status == 200
	})
	if runs := c.engines[0].engineStats().Runs["notice-1"]; runs != 1 {
		t.Errorf("the notice ran %d times", runs)
	}
	<-lent
}
