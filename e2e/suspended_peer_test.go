package e2e

import (
	"slices"
	"syscall"
	"testing"

	"github.com/weldstream/weldstream/coordination/member"
	"github.com/weldstream/weldstream/internal/standin"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/state"
)

// firstPeer returns the instance that d offers a request with the key to first.
func (c *cluster) firstPeer(d *daemon, key string) *daemon {
	c.t.Helper()
	var rows []state.MemberRow
	for _, p := range c.daemons {
		rows = append(rows, state.MemberRow{Member: protocol.Member{Name: p.name}})
	}
	first := member.Rendezvous(rows, protocol.Key{Workspace: "eastbr", ID: key}.String(), d.name, 1)[0]
	for _, p := range c.daemons {
		if p.name == first.Name {
			return p
		}
	}
	c.t.Fatalf("no instance %s", first.Name)
	return nil
}

// others returns the instances other than those given.
func (c *cluster) others(not ...*daemon) []*daemon {
	var list []*daemon
	for _, d := range c.daemons {
		if !slices.Contains(not, d) {
			list = append(list, d)
		}
	}
	return list
}

// TestHandOverWhilePeerIsSuspended stops an instance while it serves a stream that must run at
// most once and the peer that is offered the request first is suspended. The record was offered
// to that peer alone, and the stream was lost although another peer could have continued it.
func TestHandOverWhilePeerIsSuspended(t *testing.T) {
	c := newCluster(t, clusterSpec{daemons: 3, engines: 2, engineFlags: []string{"-token-time", "20ms"}})
	c.apply(1, configText())
	d := c.daemons[0]
	key := "suspended-peer"
	suspended := c.firstPeer(d, key)
	healthy := c.others(d, suspended)[0]
	notice := completion("notice", key, 250, true).atMostOnce(key)
	s := d.openStream(notice)
	s.next()
	d.signal(syscall.SIGTERM)
	eventually(t, "the instance is not ready", func() bool { return d.readyStatus() != 200 })
	suspended.signal(syscall.SIGSTOP)
	d.signal(syscall.SIGTERM)
	d.signal(syscall.SIGINT)
	text := s.readRest()
	if s.err == nil || s.err.Code != protocol.CodeLeaving {
		t.Fatalf("the stream ended with done %v, %+v", s.done, s.err)
	}
	d.wait()
	suspended.signal(syscall.SIGCONT)
	rest := healthy.resume(notice, s)
	if got, want := text+rest.readRest(), standin.AnswerText(key, 250); got != want || !rest.done {
		t.Errorf("got %q (%+v), want %q", got, rest.err, want)
	}
	runs := 0
	for _, e := range c.engines {
		runs += e.engineStats().Runs[key]
	}
	if runs != 1 {
		t.Errorf("the request was started %d times, want 1", runs)
	}
}
