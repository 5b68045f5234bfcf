package e2e

import (
	"fmt"
	"testing"

	"github.com/weldstream/weldstream/internal/standin"
)

// TestReclaimMovesStreams reclaims a whole failure domain while its engines
// stream. Every answer arrives complete, and the moved requests are imported with
// their KV cache instead of recomputed.
func TestReclaimMovesStreams(t *testing.T) {
	c := newCluster(t, clusterSpec{daemons: 2, engines: 6, engineFlags: []string{"-token-time", "20ms"}})
	c.apply(1, configText())
	const tokens = 200 // Long enough that no stream ends before the domain is reclaimed.
	var streams []*stream
	for i := range 12 {
		s := c.daemons[i%2].openStream(completion("docket-summary", fmt.Sprint("case ", i), tokens, true))
		s.next()
		streams = append(streams, s)
	}
	c.reclaim(standin.ReclaimOrder{Domain: "zone-a", InMS: 5000})
	// The reclaimed engines stay up until their requests run elsewhere, within the
	// notice period. A request may move by way of the domain's other engine.
	imported, recomputed := 0, 0
	eventually(t, "the requests of the reclaimed domain run elsewhere", func() bool {
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
		if got, want := s.readRest(), standin.AnswerText(fmt.Sprint("case ", i), tokens); got != want || !s.done {
			t.Errorf("answer %d: got %q (%+v), want %q", i, got, s.err, want)
		}
	}
	for i, e := range c.engines {
		if i%3 != 0 {
			recomputed += e.engineStats().Recomputed // Tokens counted above count twice; any value above 0 fails the test.
		}
	}
	if imported == 0 || recomputed > 0 {
		t.Errorf("imported %d requests and recomputed %d tokens, want at least 1 and 0", imported, recomputed)
	}
}

// TestReorderedChunks has the engine send the chunks of an answer out of order.
// The caller gets them in order.
func TestReorderedChunks(t *testing.T) {
	c := newCluster(t, clusterSpec{daemons: 1, engines: 1})
	c.apply(1, configText())
	c.engines[0].faults(standin.Faults{Reorder: true})
	if got, want := c.daemons[0].openStream(completion("docket-summary", "swap", 21, true)).readRest(), standin.AnswerText("swap", 21); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// TestNotRepeatableRunsOnce drops the answer of a call that must not be repeated,
// and then has a call refused before it runs. The first is reported as maybe run
// and not repeated, the second as not run.
func TestNotRepeatableRunsOnce(t *testing.T) {
	c := newCluster(t, clusterSpec{daemons: 1, services: 2})
	c.apply(1, configText())
	call := func(key string) answer {
		a := request{path: "/services/gantry/charge", body: "ABCD-12"}
		return c.daemons[0].send(a.atMostOnce(key))
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

// TestJoinedIsKnownEverywhere adds an engine to the platform's list, which only
// one of four instances reads. The others learn of the engine from that instance
// and send requests to it.
func TestJoinedIsKnownEverywhere(t *testing.T) {
	c := newCluster(t, clusterSpec{daemons: 4, engines: 1, oneListReader: true})
	c.apply(1, configText())
	c.addEngine(1, nil)
	c.publishInstances()
	for _, d := range c.daemons {
		eventually(t, d.name+" knows the new engine", func() bool { return d.remainingServers() == "engine-1 engine-2" })
	}
	c.engines[0].kill()
	for _, d := range c.daemons {
		eventually(t, d.name+" sends to the new engine", func() bool { // Its first load report may not have arrived yet.
			got := d.send(completion("docket-summary", "through "+d.name, 5, false))
			return got.status == 200 && got.text(t) == standin.AnswerText("through "+d.name, 5)
		})
	}
}
