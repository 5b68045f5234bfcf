package forward

import (
	"testing"
	"time"

	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// sharingExchange returns a request whose prompt has 1,000 shared tokens, placed by the
// gateway itself.
func sharingExchange(w *testGateway) *exchange {
	return &exchange{g: w.g, index: w.g.index.Load(), service: "s", promptChain: place.Chain([]protocol.PromptPart{{ID: 1, Tokens: 1000}, {ID: 2, Tokens: 10}})}
}

// TestPlanCopyForLocalPlacement checks that a server is told to copy what another one has
// read for this gateway or for others. It is not told so if it holds the parts itself, if
// copies are disabled, or if the other server refused the prompt.
func TestPlanCopyForLocalPlacement(t *testing.T) {
	past := clock.Now().Add(-time.Second)
	for name, c := range map[string]struct {
		learn func(w *testGateway, x *exchange)
		want  bool
	}{
		"read for this gateway": {func(w *testGateway, x *exchange) { w.g.prompts.holders.Record("b", x.promptChain, past) }, true},
		"read for another gateway": {func(w *testGateway, x *exchange) {
			w.g.prompts.holders.RecordPacked(w.g.view.Load(), packedPrefill(x, 1), past)
		}, true},
		"from another leader's log": {func(w *testGateway, x *exchange) { w.g.applyPrefills(&protocol.SyncReply{Term: 3}, past) }, false},
		"held by the server itself": {func(w *testGateway, x *exchange) {
			w.g.prompts.holders.Record("a", x.promptChain, past)
			w.g.prompts.holders.Record("b", x.promptChain, past)
		}, false},
		"copies disabled": {func(w *testGateway, x *exchange) {
			w.g.prompts.holders.Record("b", x.promptChain, past)
			w.g.cfg.DisablePromptCopies = true
		}, false},
		"refused by the holder": {func(w *testGateway, x *exchange) {
			other := sharingExchange(w)
			other.planCopy(w.g.view.Load().Find("b"))
			other.recordPrefill(w.g.view.Load().Find("b"), false)
		}, false},
		"held by another version": {func(w *testGateway, x *exchange) {
			w.g.prompts.holders.Record("b", x.promptChain, past)
			w.servers[1].Version = "2"
			w.g.SetServers(w.servers)
		}, false},
		"a moved run": {func(w *testGateway, x *exchange) {
			w.g.prompts.holders.Record("b", x.promptChain, past)
			x.continuation = &continuation{}
		}, false},
		"no holder": {func(*testGateway, *exchange) {}, false},
	} {
		w := newTestGateway(t)
		w.installMoves(true)
		w.backend("a", answerOK)
		b := w.backend("b", answerOK)
		x := sharingExchange(w)
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

// packedPrefill returns an entry of the leader's prefill log: the server at an index of the
// list has read the chain.
func packedPrefill(x *exchange, server byte) []byte {
	key := uint32(x.promptChain[0].Hash >> 32)
	return []byte{byte(key), byte(key >> 8), byte(key >> 16), byte(key >> 24), server, 0}
}

// TestPrefillsAreReportedOnce checks that the leader is told once what a server has read,
// after the server answered, and that a new leader's log is requested from its start.
func TestPrefillsAreReportedOnce(t *testing.T) {
	w := newTestGateway(t)
	w.installMoves(true)
	w.backend("a", answerOK)
	a := w.g.view.Load().Find("a")
	x := sharingExchange(w)
	x.planCopy(a)
	if m := w.g.Report(1); len(m.Readings) != 0 {
		t.Errorf("%+v is reported before the answer", m.Readings)
	}
	x.recordPrefill(a, true)
	m := w.g.Report(1)
	if len(m.Readings) != 1 || m.Readings[0].Server != "a" || len(m.Readings[0].Links) != 1 {
		t.Errorf("reported %+v", m.Readings)
	}
	w.g.HandleSyncReply(&m, &protocol.SyncReply{Term: 1, ReadingsAt: 40}, clock.Now())
	if m := w.g.Report(1); len(m.Readings) != 0 || m.ReadingsAt != 40 {
		t.Errorf("reported %+v again, requested the log from %d", m.Readings, m.ReadingsAt)
	}
	if m := w.g.Report(2); m.ReadingsAt != 0 {
		t.Errorf("another leader's log is requested from %d", m.ReadingsAt)
	}
	again := sharingExchange(w)
	again.planCopy(a)
	again.recordPrefill(a, true)
	if m := w.g.Report(2); len(m.Readings) != 0 {
		t.Errorf("reported known prefills: %+v", m.Readings)
	}
}
