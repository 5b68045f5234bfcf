package e2e

import (
	"fmt"
	"testing"

	"github.com/weldstream/weldstream/internal/standin"
)

// TestReclaimMovesStreams reclaims a whole failure domain while it streams.
// Every answer arrives whole, and what moved was imported, not recomputed.
func TestReclaimMovesStreams(t *testing.T) {
	c := newCluster(t, clusterSpec{daemons: 2, engines: 6, engine: []string{"-token-time", "20ms"}})
	c.apply(1, configText())
	const tokens = 200 // So that none ends before the domain is reclaimed.
	var streams []*stream
	for i := range 12 {
		s := c.daemons[i%2].open(completion("docket-summary", fmt.Sprint("case ", i), tokens, true))
		s.next()
		streams = append(streams, s)
	}
	c.reclaim(standin.ReclaimOrder{Domain: "zone-a", InMS: 5000})
	// The servers are there for as long as the notice says: until what they ended
	// runs elsewhere, at the least. It may go by way of the domain's other server.
	imported, recomputed := 0, 0
	eventually(t, "what ran in the domain goes on elsewhere", func() bool {
		exported, elsewhere := 0, 0
		imported, recomputed = 0, 0
		for i, e := range c.engines {
			stats := e.engineStats()
			imported += stats.Imported
			recomputed += stats.Recomputed
			elsewhere += stats.Finished
			if i%3 == 0 {
				exported += stats.Exported
			} else {
				elsewhere += stats.Running
			}
		}
		return exported > 0 && elsewhere == len(streams)
	})
	c.engines[0].kill()
	c.engines[3].kill()
	for i, s := range streams {
		if got, want := s.rest(), standin.AnswerText(fmt.Sprint("case ", i), tokens); got != want || !s.done {
			t.Errorf("answer %d: got %q (%+v), want %q", i, got, s.err, want)
		}
	}
	for i, e := range c.engines {
		if i%3 != 0 {
			recomputed += e.engineStats().Recomputed // Those of before count twice, which is as wrong as once.
		}
	}
	if imported == 0 || recomputed > 0 {
		t.Errorf("imported %d requests and recomputed %d tokens, want some and none", imported, recomputed)
	}
}

// TestReorderedChunks lets engines swap the chunks of every answer.
func TestReorderedChunks(t *testing.T) {
	c := newCluster(t, clusterSpec{daemons: 1, engines: 1})
	c.apply(1, configText())
	c.engines[0].faults(standin.Faults{Reorder: true})
	if got, want := c.daemons[0].open(completion("docket-summary", "swap", 21, true)).rest(), standin.AnswerText("swap", 21); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// TestNotRepeatableRunsOnce loses the answer of a call that must not be
// repeated, and then one that was refused before it ran.
func TestNotRepeatableRunsOnce(t *testing.T) {
	c := newCluster(t, clusterSpec{daemons: 1, services: 2})
	c.apply(1, configText())
	call := func(key string) answer {
		a := ask{path: "/services/gantry/charge", body: "ABCD-12"}
		return c.daemons[0].send(a.once(key))
	}
	for _, s := range c.services {
		s.faults(standin.Faults{DropAnswer: true})
	}
	if a := call("lost"); a.status != 502 || a.verdict != "may-have-run" {
		t.Errorf("lost answer: got %d %s %s", a.status, a.verdict, a.body)
	}
	for _, s := range c.services {
		s.faults(standin.Faults{Refuse: true})
	}
	if a := call("refused"); a.verdict != "not-run" {
		t.Errorf("refused call: got %d %s %s", a.status, a.verdict, a.body)
	}
	lost, refused := 0, 0
	for _, s := range c.services {
		lost += s.serviceStats().Runs["lost"]
		refused += s.serviceStats().Runs["refused"]
	}
	if lost != 1 || refused != 0 {
		t.Errorf("the lost call ran %d times, the refused one %d; want 1 and 0", lost, refused)
	}
}

// TestJoinedIsKnownEverywhere adds an engine to the platform's list, which one
// of four instances reads: the others learn of it from that one, and keep it.
func TestJoinedIsKnownEverywhere(t *testing.T) {
	c := newCluster(t, clusterSpec{daemons: 4, engines: 1, blind: true})
	c.apply(1, configText())
	c.addEngine(1, nil)
	c.list()
	for _, d := range c.daemons {
		eventually(t, d.name+" knows the new engine", func() bool { return d.held() == "engine-1 engine-2" })
	}
	c.engines[0].kill()
	for _, d := range c.daemons {
		eventually(t, d.name+" sends to the new engine", func() bool { // Its first report may be on the way.
			got := d.send(completion("docket-summary", "through "+d.name, 5, false))
			return got.status == 200 && got.text(t) == standin.AnswerText("through "+d.name, 5)
		})
	}
}
