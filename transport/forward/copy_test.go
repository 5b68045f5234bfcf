package forward

import (
	"testing"
	"time"

	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// sharing is a request whose prompt shares 1,000 tokens, placed by the gateway itself.
func sharing(w *world) *exchange {
	return &exchange{g: w.g, index: w.g.index.Load(), service: "s", chain: place.Chain([]protocol.PromptPart{{ID: 1, Tokens: 1000}, {ID: 2, Tokens: 10}})}
}

// TestOwnPlacingsAreCopied checks that a server is told to copy what another one has read
// for this gateway or for others, and is not where it holds it, where copies are switched
// off, or where the other one turned the prompt away.
func TestOwnPlacingsAreCopied(t *testing.T) {
	past := clock.Now().Add(-time.Second)
	for name, c := range map[string]struct {
		learn func(w *world, x *exchange)
		want  bool
	}{
		"read for this gateway":   {func(w *world, x *exchange) { w.g.prompts.holders.Record("b", x.chain, past) }, true},
		"read for another one":    {func(w *world, x *exchange) { w.g.prompts.holders.RecordPacked(w.g.view.Load(), packed(x, 1), past) }, true},
		"of another leader's log": {func(w *world, x *exchange) { w.g.takeReadings(&protocol.SyncReply{Term: 3}, past) }, false},
		"read by itself": {func(w *world, x *exchange) {
			w.g.prompts.holders.Record("a", x.chain, past)
			w.g.prompts.holders.Record("b", x.chain, past)
		}, false},
		"switched off": {func(w *world, x *exchange) {
			w.g.prompts.holders.Record("b", x.chain, past)
			w.g.cfg.DisablePromptCopies = true
		}, false},
		"turned away": {func(w *world, x *exchange) {
			other := sharing(w)
			other.planCopy(w.g.view.Load().Find("b"))
			other.notePromptRead(w.g.view.Load().Find("b"), false)
		}, false},
		"of another version": {func(w *world, x *exchange) {
			w.g.prompts.holders.Record("b", x.chain, past)
			w.servers[1].Version = "2"
			w.g.SetServers(w.servers)
		}, false},
		"a moved run": {func(w *world, x *exchange) {
			w.g.prompts.holders.Record("b", x.chain, past)
			x.continuation = &continuation{}
		}, false},
		"nobody": {func(*world, *exchange) {}, false},
	} {
		w := newWorld(t)
		w.installMoves(true)
		w.backend("a", good)
		b := w.backend("b", good)
		x := sharing(w)
		c.learn(w, x)
		want := ""
		if c.want {
			want = b.address
		}
		if got := x.planCopy(w.g.view.Load().Find("a")); got != want {
			t.Errorf("%s: copied from %q, want %q", name, got, want)
		}
	}
}

// packed is a row of the leader's log: the server at a place in the list read the chain.
func packed(x *exchange, server byte) []byte {
	key := uint32(x.chain[0].Hash >> 32)
	return []byte{byte(key), byte(key >> 8), byte(key >> 16), byte(key >> 24), server, 0}
}

// TestReadingsAreReportedOnce checks that the leader is told of what a server has read
// once it answers, once, and is asked from the beginning of its own log.
func TestReadingsAreReportedOnce(t *testing.T) {
	w := newWorld(t)
	w.installMoves(true)
	w.backend("a", good)
	a := w.g.view.Load().Find("a")
	x := sharing(w)
	x.planCopy(a)
	if m := w.g.Report(1); len(m.Readings) != 0 {
		t.Errorf("%+v is told before the answer", m.Readings)
	}
	x.notePromptRead(a, true)
	m := w.g.Report(1)
	if len(m.Readings) != 1 || m.Readings[0].Server != "a" || len(m.Readings[0].Links) != 1 {
		t.Errorf("told %+v", m.Readings)
	}
	w.g.Reported(&m, &protocol.SyncReply{Term: 1, ReadingsAt: 40}, clock.Now())
	if m := w.g.Report(1); len(m.Readings) != 0 || m.ReadingsAt != 40 {
		t.Errorf("told %+v again, asked from %d", m.Readings, m.ReadingsAt)
	}
	if m := w.g.Report(2); m.ReadingsAt != 0 {
		t.Errorf("another leader is asked from %d", m.ReadingsAt)
	}
	again := sharing(w)
	again.planCopy(a)
	again.notePromptRead(a, true)
	if m := w.g.Report(2); len(m.Readings) != 0 {
		t.Errorf("told %+v of what is known", m.Readings)
	}
}
