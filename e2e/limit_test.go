package e2e

import (
	"fmt"
	"strings"
	"testing"

	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/transport"
)

const smallKey = "key-of-the-small-workspace"

// twoWorkspaces adds a second workspace with the same share.
func twoWorkspaces() string {
	return configText() + fmt.Sprintf("  - name: small\n    key_sha256: [%s]\n    share: 3\n", digestOf(smallKey))
}

// used adds up, over all instances, the slots that a workspace holds.
func (c *cluster) used(workspace string) (running, queued int) {
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
// through three instances. Another one with the same share that comes through
// a single instance gets its half as slots fall free, and what cannot begin in
// time is refused at once, with when to come back, and does not run.
func TestSharesOverAllInstances(t *testing.T) {
	c := newCluster(t, clusterSpec{daemons: 3, engines: 2, engine: []string{"-max-batch", "6", "-token-time", "20ms"}, settings: "limits: {queue: 12, queue_wait: 1h}\n"})
	c.apply(1, twoWorkspaces())
	ask := func(workspace string, i, tokens int) ask {
		return completion("docket-summary", fmt.Sprintf("%s %d", workspace, i), tokens, true)
	}
	for i := range 36 {
		d, a := c.daemons[i%3], ask("large", i, 60)
		go func() {
			for {
				s, err := d.tryOpen(a) // Each ends after a while and comes again, until the test is over.
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
		running, queued := c.used("eastbr")
		return running >= 12 && queued > 0
	})
	for i := range 8 {
		a := ask("small", i, 20000)
		a.key = smallKey
		go func() {
			if s, err := c.daemons[1].tryOpen(a); err == nil {
				for s.next() {
				}
			}
		}()
	}
	eventually(t, "the small workspace has its half", func() bool {
		running, _ := c.used("small")
		return running >= 6
	})
	running, _ := c.used("small")
	if running > 8 {
		t.Errorf("the small workspace holds %d slots of 12, its half is 6", running)
	}
	c.refusedWhenFull(t)
}

// refusedWhenFull sends requests that would wait too long.
func (c *cluster) refusedWhenFull(t *testing.T) {
	t.Helper()
	late := completion("docket-summary", "too late", 50, false).with(protocol.HeaderDeadline, "1500ms")
	var got answer
	eventually(t, "a request that cannot begin in time is refused", func() bool {
		got = c.daemons[0].send(late)
		return got.status == 429
	})
	if code := got.code(t); code != protocol.CodeOverloaded || got.header.Get("Retry-After") == "" || got.header.Get(protocol.HeaderVerdict) != protocol.NotRun.String() {
		t.Errorf("refused with %s, headers %v", code, got.header)
	}
	if !strings.Contains(string(got.body), "retry_after_ms") {
		t.Errorf("the refusal does not say when to come back: %s", got.body)
	}
}

// TestRefusedForRoomRunsLater has a request that must run at most once find no
// slot in time. It was claimed before it waited; the refusal says that it was not
// run and gives the claim back, so the same key runs once there is room.
func TestRefusedForRoomRunsLater(t *testing.T) {
	c := newCluster(t, clusterSpec{daemons: 1, engines: 1, engine: []string{"-max-batch", "2", "-token-time", "20ms"}})
	c.apply(1, configText())
	d := c.daemons[0]
	var held []*stream
	for i := range 2 {
		held = append(held, d.open(completion("docket-summary", fmt.Sprint("held ", i), 20000, true)))
	}
	// A limiter may always lend one slot more; this one waits in the engine.
	lent := make(chan struct{})
	go func() {
		defer close(lent)
		if s, err := d.tryOpen(completion("docket-summary", "lent", 5, true)); err == nil {
			s.close()
		}
	}()
	eventually(t, "the pool is full", func() bool {
		running, _ := c.used("eastbr")
		return running == 3
	})
	notice := completion("notice", "once", 5, false).once("notice-1")
	got := d.send(notice.with(protocol.HeaderDeadline, "1500ms"))
	if got.status != 429 || got.verdict != protocol.NotRun.String() {
		t.Fatalf("without room it got %d, verdict %s: %s", got.status, got.verdict, got.body)
	}
	for _, s := range held {
		s.close()
	}
	eventually(t, "the same key runs once there is room", func() bool {
		got = d.send(notice.with(protocol.HeaderDeadline, "5s"))
		return got.status == 200
	})
	if runs := c.engines[0].engineStats().Runs["notice-1"]; runs != 1 {
		t.Errorf("the notice ran %d times", runs)
	}
	<-lent
}
