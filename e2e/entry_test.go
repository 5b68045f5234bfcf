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

// resume goes on with an answer through another instance.
func (d *daemon) resume(a ask, s *stream) *stream {
	return d.open(a.with(protocol.HeaderLastEvent, s.lastID))
}

// TestHandOver stops an instance that has no time to finish. A caller resumes
// through each other instance in turn with its key and last event, and gets
// exactly the rest, without the engine computing it again.
func TestHandOver(t *testing.T) {
	c := newCluster(t, clusterSpec{daemons: 3, engines: 2, engine: []string{"-token-time", "20ms"}})
	c.apply(1, configText())
	d := c.daemons[0]
	asks, streams := []ask{}, []*stream{}
	for i := range 6 {
		a := completion("docket-summary", fmt.Sprint("handed ", i), 100, true).with(protocol.HeaderKey, fmt.Sprint("handed-", i))
		s := d.open(a)
		s.next()
		asks, streams = append(asks, a), append(streams, s)
	}
	d.signal(syscall.SIGTERM)
	eventually(t, "the instance is unready", func() bool { return d.readyStatus() != 200 })
	d.signal(syscall.SIGTERM)
	d.signal(syscall.SIGINT)
	for i, s := range streams {
		text := s.rest()
		if s.done || s.err == nil || s.err.Code != protocol.CodeLeaving {
			t.Fatalf("stream %d ended with done %v, %+v after %d bytes", i, s.done, s.err, len(text))
		}
		rest := c.daemons[1+i%2].resume(asks[i], s)
		if got, want := text+rest.rest(), standin.AnswerText(fmt.Sprint("handed ", i), 100); got != want || !rest.done {
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

// TestEntryReclaimed reclaims an entry instance on short notice while it runs
// a stream that must run at most once. Another instance takes over claim and
// answer; the caller finds it by its key.
func TestEntryReclaimed(t *testing.T) {
	c := newCluster(t, clusterSpec{daemons: 3, engines: 2, engine: []string{"-token-time", "20ms"}})
	c.listed = append(c.listed, protocol.Instance{ID: "entry-1", Kind: protocol.InstanceEntry, Domain: "zone-a"})
	c.list()
	c.apply(1, configText())
	d := c.daemons[0]
	notice := completion("notice", "reclaimed", 250, true).once("reclaimed")
	s := d.open(notice)
	s.next()
	c.reclaim(standin.ReclaimOrder{Instance: "entry-1", InMS: 2500})
	text := s.rest()
	if s.err == nil || s.err.Code != protocol.CodeLeaving {
		t.Fatalf("the stream ended with done %v, %+v", s.done, s.err)
	}
	if code := d.wait(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	rest := c.daemons[1].resume(notice, s)
	if got, want := text+rest.rest(), standin.AnswerText("reclaimed", 250); got != want || !rest.done {
		t.Errorf("got %q (%+v), want %q", got, rest.err, want)
	}
	runs := 0
	for _, e := range c.engines {
		runs += e.engineStats().Runs["reclaimed"]
	}
	if runs != 1 {
		t.Errorf("the request was begun %d times, want 1", runs)
	}
}

// TestEntryKilled kills an instance in mid-stream. A repeatable request resumes
// through another one, which has nothing of it, and gets exactly the rest.
func TestEntryKilled(t *testing.T) {
	c := newCluster(t, clusterSpec{daemons: 3, engines: 2, engine: []string{"-token-time", "20ms"}})
	c.apply(1, configText())
	a := completion("docket-summary", "entry killed", 60, true).with(protocol.HeaderKey, "entry-killed")
	s := c.daemons[0].open(a)
	for range 10 {
		s.next()
	}
	c.daemons[0].kill()
	text := s.rest()
	rest := c.daemons[1].resume(a, s)
	if got, want := text+rest.rest(), standin.AnswerText("entry killed", 60); got != want || !rest.done {
		t.Errorf("got %q (%+v), want %q", got, rest.err, want)
	}
}

// TestLeavingIsKnownEverywhere lets a server leave while the platform's list
// is half a minute behind: by notice alone, by its own refusal alone. Every
// instance knows it by way of the others, and sends it nothing more.
func TestLeavingIsKnownEverywhere(t *testing.T) {
	for _, by := range []string{"notice", "refusal"} {
		t.Run(by, func(t *testing.T) {
			c := newCluster(t, clusterSpec{daemons: 4, engines: 2, deaf: true, settings: "timeouts: {load_poll: 10m}\n"})
			c.platform.faults(standin.Faults{ListLagMS: 30000, HoldNotices: by == "refusal"})
			c.apply(1, configText())
			leaving := c.engines[0]
			if by == "notice" {
				c.reclaim(standin.ReclaimOrder{Instance: leaving.id, InMS: 60000})
			} else {
				leaving.faults(standin.Faults{Leaving: true})
				for range 4 { // One of these meets the refusal and goes elsewhere.
					c.daemons[0].send(completion("docket-summary", "any", 2, false))
				}
			}
			began := time.Now()
			for _, d := range c.daemons {
				eventually(t, d.name+" knows", func() bool {
					for _, l := range d.dump().Leaving {
						if l.Server == leaving.id {
							return true
						}
					}
					return false
				})
			}
			t.Logf("known to all 4 instances %v after the first could know", time.Since(began).Round(time.Millisecond))
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

// TestWave reclaims a whole failure domain while processes die: an engine that
// was noticed is killed before it was left, the instance of the domain too, and
// the leader. Every accepted answer arrives whole.
func TestWave(t *testing.T) {
	c := newCluster(t, clusterSpec{daemons: 4, replicas: 3, engines: 6, engine: []string{"-token-time", "20ms"}})
	c.apply(1, configText())
	leader := c.leader()
	type caller struct {
		ask ask
		s   *stream
		key string
	}
	var callers []caller
	for i := range 24 {
		key := fmt.Sprint("wave-", i)
		a := completion("docket-summary", key, 100, true).with(protocol.HeaderKey, key)
		s := c.daemons[i%4].open(a)
		s.next()
		callers = append(callers, caller{a, s, key})
	}
	c.reclaim(standin.ReclaimOrder{Domain: "zone-a", InMS: 4000})
	c.engines[0].kill()
	leader.kill()
	c.daemons[3].kill()
	for _, cl := range callers {
		text := cl.s.rest()
		if cl.s.done {
			if want := standin.AnswerText(cl.key, 100); text != want {
				t.Errorf("%s: got %q, want %q", cl.key, text, want)
			}
			continue
		}
		d := c.survivor(leader)
		rest := d.resume(cl.ask, cl.s)
		if got, want := text+rest.rest(), standin.AnswerText(cl.key, 100); got != want || !rest.done {
			t.Errorf("%s: got %q (%+v), want %q", cl.key, got, rest.err, want)
		}
	}
	next := c.leader(leader)
	if code, out := next.applyOn(2, numbered(2)); code != 0 {
		t.Errorf("apply after the wave: %d %s", code, out)
	}
}

func (c *cluster) survivor(not *daemon) *daemon {
	for _, d := range c.daemons {
		if d != not && d.alive() {
			return d
		}
	}
	c.t.Fatal("no instance is left")
	return nil
}

// TestFencedOrders freezes the leader that gives orders, lets another be
// elected, and wakes it. No engine carries out an order of the old leader
// after one of the new, whether it checks the fence or not.
func TestFencedOrders(t *testing.T) {
	c := newCluster(t, clusterSpec{daemons: 3})
	flags := []string{"-adapters", ""}
	checks := c.addEngine(0, flags)
	blind := c.addEngine(1, append(flags, "-ignore-fence"))
	c.list()
	c.apply(1, configText())
	ordered := func(name string) bool {
		for _, e := range []*standinProcess{checks, blind} {
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
	eventually(t, "the first adapter is ordered", func() bool { return ordered("arraignment") })
	for round := range 3 {
		old := c.leader()
		old.signal(syscall.SIGSTOP)
		next := c.leader(old)
		name := fmt.Sprint("adapter-", round)
		text := strings.Replace(configText(), "adapters:\n", fmt.Sprintf("adapters:\n  - {name: %s, model: docket-8b, version: \"1\"}\n", name), 1)
		if code, out := next.applyOn(2+round, text); code != 0 {
			t.Fatalf("apply: %d %s", code, out)
		}
		eventually(t, "the new leader orders "+name, func() bool { return ordered(name) })
		old.signal(syscall.SIGCONT)
		eventually(t, "the old leader knows that it is not", func() bool { return old.groupOf().Role != "leader" })
	}
	for _, e := range []*standinProcess{checks, blind} {
		highest := uint64(0)
		for _, o := range e.engineStats().Orders {
			if o.Fence < highest && o.Accepted {
				t.Errorf("%s carried out %+v after fence %d", e.id, o, highest)
			}
			highest = max(highest, o.Fence)
		}
	}
}
