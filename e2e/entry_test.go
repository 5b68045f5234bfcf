package e2e

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/weldstream/weldstream/internal/standin"
	"github.com/weldstream/weldstream/protocol"
)

// resume requests the part of the answer after the last event that s received.
func (d *daemon) resume(a request, s *stream) *stream {
	return d.openStream(a.with(protocol.HeaderLastEvent, s.lastID))
}

// TestHandOver stops an instance before its streams have finished. Callers resume
// through the other instances with their key and last event ID, and get exactly
// the rest, without the engine recomputing any tokens.
func TestHandOver(t *testing.T) {
	c := newCluster(t, clusterSpec{daemons: 3, engines: 2, engineFlags: []string{"-token-time", "20ms"}})
	c.apply(1, configText())
	d := c.daemons[0]
	requests, streams := []request{}, []*stream{}
	for i := range 6 {
		a := completion("docket-summary", fmt.Sprint("handed ", i), 100, true).with(protocol.HeaderKey, fmt.Sprint("handed-", i))
		s := d.openStream(a)
		s.next()
		requests, streams = append(requests, a), append(streams, s)
	}
	d.signal(syscall.SIGTERM)
	eventually(t, "the instance is not ready", func() bool { return d.readyStatus() != 200 })
	d.signal(syscall.SIGTERM)
	d.signal(syscall.SIGINT)
	for i, s := range streams {
		text := s.readRest()
		if s.done || s.err == nil || s.err.Code != protocol.CodeLeaving {
			t.Fatalf("stream %d ended with done %v, %+v after %d bytes", i, s.done, s.err, len(text))
		}
		rest := c.daemons[1+i%2].resume(requests[i], s)
		if got, want := text+rest.readRest(), standin.AnswerText(fmt.Sprint("handed ", i), 100); got != want || !rest.done {
			t.Errorf("stream %d: got %q (%+v), want %q", i, got, rest.err, want)
		}
	}
	if code := d.wait(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	for _, e := range c.engines {
		if s := e.engineStats(); s.Recomputed > 0 {
			t.Errorf("%s recomputed %d tokens", e.id, s.Recomputed)
		}
	}
}

// TestEntryReclaimed reclaims an entry instance on short notice while it serves
// a stream that must run at most once. Another instance takes over the claim and
// the answer, and the caller resumes by its key.
func TestEntryReclaimed(t *testing.T) {
	c := newCluster(t, clusterSpec{daemons: 3, engines: 2, engineFlags: []string{"-token-time", "20ms"}})
	c.listed = append(c.listed, protocol.Instance{ID: "entry-1", Kind: protocol.InstanceEntry, Domain: "zone-a"})
	c.publishInstances()
	c.apply(1, configText())
	d := c.daemons[0]
	notice := completion("notice", "reclaimed", 250, true).atMostOnce("reclaimed")
	s := d.openStream(notice)
	s.next()
	c.reclaim(standin.ReclaimOrder{Instance: "entry-1", InMS: 2500})
	text := s.readRest()
	if s.err == nil || s.err.Code != protocol.CodeLeaving {
		t.Fatalf("the stream ended with done %v, %+v", s.done, s.err)
	}
	if code := d.wait(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	rest := c.daemons[1].resume(notice, s)
	if got, want := text+rest.readRest(), standin.AnswerText("reclaimed", 250); got != want || !rest.done {
		t.Errorf("got %q (%+v), want %q", got, rest.err, want)
	}
	runs := 0
	for _, e := range c.engines {
		runs += e.engineStats().Runs["reclaimed"]
	}
	if runs != 1 {
		t.Errorf("the request was started %d times, want 1", runs)
	}
}

// TestEntryKilled kills an instance in mid-stream. A repeatable request resumes
// through another instance, which holds no state of it, and gets exactly the
// rest.
func TestEntryKilled(t *testing.T) {
	c := newCluster(t, clusterSpec{daemons: 3, engines: 2, engineFlags: []string{"-token-time", "20ms"}})
	c.apply(1, configText())
	a := completion("docket-summary", "entry killed", 60, true).with(protocol.HeaderKey, "entry-killed")
	s := c.daemons[0].openStream(a)
	for range 10 {
		s.next()
	}
	c.daemons[0].kill()
	text := s.readRest()
	rest := c.daemons[1].resume(a, s)
	if got, want := text+rest.readRest(), standin.AnswerText("entry killed", 60); got != want || !rest.done {
		t.Errorf("got %q (%+v), want %q", got, rest.err, want)
	}
}

// TestLeavingIsKnownEverywhere has a backend server leave while the platform's
// list lags by 30 s, so that one instance learns of it only from a notice, or
// only from the server's refusal. The other instances learn of it from that
// instance, and none sends the server further requests.
func TestLeavingIsKnownEverywhere(t *testing.T) {
	for _, by := range []string{"notice", "refusal"} {
		t.Run(by, func(t *testing.T) {
			c := newCluster(t, clusterSpec{daemons: 4, engines: 2, oneNoticeReader: true, settings: "timeouts: {load_poll: 10m}\n"})
			c.platform.faults(standin.Faults{ListLagMS: 30000, HoldNotices: by == "refusal"})
			c.apply(1, configText())
			leaving := c.engines[0]
			if by == "notice" {
				c.reclaim(standin.ReclaimOrder{Instance: leaving.id, InMS: 60000})
			} else {
				leaving.faults(standin.Faults{Leaving: true})
				for range 4 { // At least one of these is refused and retried on the other engine.
					c.daemons[0].send(completion("docket-summary", "any", 2, false))
				}
			}
			began := time.Now()
			for _, d := range c.daemons {
				eventually(t, d.name+" knows that the server is leaving", func() bool {
					for _, l := range d.dump().Leaving {
						if l.Server == leaving.id {
							return true
						}
					}
					return false
				})
			}
			t.Logf("all 4 instances knew %v after the notice or the first refusal", time.Since(began).Round(time.Millisecond))
			before := leaving.engineStats().Started
			for i := range 40 {
				a := c.daemons[i%4].send(completion("docket-summary", fmt.Sprint("after ", i), 2, false))
				if a.status != 200 {
					t.Errorf("request %d got %d %s", i, a.status, a.body)
				}
			}
			if after := leaving.engineStats().Started; after != before {
				t.Errorf("the leaving server got %d more requests", after-before)
			}
		})
	}
}

// TestDomainReclaimedDuringFailures reclaims a whole failure domain while
// processes fail: an engine is killed before its streams have moved away, and so
// are the leader and an instance of the domain. Every accepted answer arrives
// complete.
func TestDomainReclaimedDuringFailures(t *testing.T) {
	c := newCluster(t, clusterSpec{daemons: 4, replicas: 3, engines: 6, engineFlags: []string{"-token-time", "20ms"}})
	c.apply(1, configText())
	leader := c.leader()
	type caller struct {
		request request
		s       *stream
		key     string
	}
	var callers []caller
	for i := range 24 {
		key := fmt.Sprint("wave-", i)
		a := completion("docket-summary", key, 100, true).with(protocol.HeaderKey, key)
		s := c.daemons[i%4].openStream(a)
		s.next()
		callers = append(callers, caller{a, s, key})
	}
	c.reclaim(standin.ReclaimOrder{Domain: "zone-a", InMS: 4000})
	c.engines[0].kill()
	leader.kill()
	c.daemons[3].kill()
	for _, cl := range callers {
		text := cl.s.readRest()
		if cl.s.done {
			if want := standin.AnswerText(cl.key, 100); text != want {
				t.Errorf("%s: got %q, want %q", cl.key, text, want)
			}
			continue
		}
		d := c.survivor(leader)
		rest := d.resume(cl.request, cl.s)
		if got, want := text+rest.readRest(), standin.AnswerText(cl.key, 100); got != want || !rest.done {
			t.Errorf("%s: got %q (%+v), want %q", cl.key, got, rest.err, want)
		}
	}
	next := c.leader(leader)
	if code, out := next.applyOn(2, numberedConfig(2)); code != 0 {
		t.Errorf("apply after the failures: %d %s", code, out)
	}
}

func (c *cluster) survivor(not *daemon) *daemon {
	for _, d := range c.daemons {
		if d != not && d.alive() {
			return d
		}
	}
	c.t.Fatal("no live instance remains")
	return nil
}

// TestFencedOrders suspends the leader that sends orders to the engines, waits for
// a new leader, and resumes the old one. No engine executes an order of the old
// leader after one of the new leader, whether it checks the fencing token or not.
func TestFencedOrders(t *testing.T) {
	c := newCluster(t, clusterSpec{daemons: 3})
	flags := []string{"-adapters", ""}
	checking := c.addEngine(0, flags)
	ignoring := c.addEngine(1, append(flags, "-ignore-fence"))
	c.publishInstances()
	c.apply(1, configText())
	ordered := func(name string) bool {
		for _, e := range []*standinProcess{checking, ignoring} {
			found := false
			for _, o := range e.engineStats().Orders {
				found = found || (o.Name == name && o.Accepted)
			}
			if !found {
				return false
			}
		}
		return true
	}
	eventually(t, "both engines accept the order of the first adapter", func() bool { return ordered("arraignment") })
	for round := range 3 {
		old := c.leader()
		old.signal(syscall.SIGSTOP)
		next := c.leader(old)
		name := fmt.Sprint("adapter-", round)
		text := strings.Replace(configText(), "adapters:\n", fmt.Sprintf("adapters:\n  - {name: %s, model: docket-8b, version: \"1\"}\n", name), 1)
		if code, out := next.applyOn(2+round, text); code != 0 {
			t.Fatalf("apply: %d %s", code, out)
		}
		eventually(t, "the engines accept the new leader's order of "+name, func() bool { return ordered(name) })
		old.signal(syscall.SIGCONT)
		eventually(t, "the old leader steps down", func() bool { return old.groupStatus().Role != "leader" })
	}
	for _, e := range []*standinProcess{checking, ignoring} {
		highest := uint64(0)
		for _, o := range e.engineStats().Orders {
			if o.Fence < highest && o.Accepted {
				t.Errorf("%s executed order %+v after fencing token %d", e.id, o, highest)
			}
			highest = max(highest, o.Fence)
		}
	}
}
