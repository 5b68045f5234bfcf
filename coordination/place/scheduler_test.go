package place

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/weldstream/weldstream/protocol"
)

// longPrompt returns a prompt whose prefill stalls streams.
func longPrompt(tokens int) PromptMsg {
	return PromptMsg{Service: "model", Prompt: tokens, Shared: tokens / 2, Answer: 100, Target: 2 * time.Second, Gap: 500 * time.Millisecond, Parts: protocol.LaneShares{Tokens: 1}}
}

// placeAt places a prompt and fails the test if there is no server.
func placeAt(t *testing.T, ps *PromptScheduler, v *View, m PromptMsg, now time.Time) Placed {
	t.Helper()
	p, ok := ps.Place(v, m, now)
	if !ok {
		t.Fatal("no server")
	}
	return p
}

// TestPromptsSpread checks that prompts which arrive together are placed on different
// servers while there are idle ones.
func TestPromptsSpread(t *testing.T) {
	ps, v := NewPromptScheduler(NewLoads()), fleet(6)
	used := map[string]bool{}
	for range 5 { // One server always remains in the short lane.
		p := placeAt(t, ps, v, longPrompt(20_000), start)
		if used[p.Server] {
			t.Errorf("%s got two prompts while other servers had none", p.Server)
		}
		used[p.Server] = true
	}
}

// TestPromptsAvoidStreams checks that a prompt whose prefill would stall two streams is
// queued behind another prompt at a server without streams.
func TestPromptsAvoidStreams(t *testing.T) {
	ps, v := NewPromptScheduler(NewLoads()), fleet(3)
	lane := inLane(v, candidates(v, ChooseMsg{Service: "model", Now: start}), ChooseMsg{Lane: LaneLong, Parts: protocol.LaneShares{Tokens: 1}})
	a, b := &v.Servers[lane[0].index], &v.Servers[lane[1].index]
	// Two streams run at a; b prefills a short prompt and has no stream.
	for range 2 {
		st := &placedRequest{server: a.ID, prefillEnd: start.Add(-time.Second), expectedEnd: start.Add(time.Minute)}
		ps.lastNumber++
		ps.queue(a.ID).requests[ps.lastNumber], ps.requests[ps.lastNumber] = st, st
	}
	ps.queue(b.ID).prefillUntil = start.Add(300 * time.Millisecond)
	if p := placeAt(t, ps, v, longPrompt(25_000), start); p.Server != b.ID {
		t.Errorf("placed at %s, where two streams run", p.Server)
	}
}

// TestQueuedPrefillsStallStreams checks that consecutive prefills at a server with a stream
// are counted as one block: each alone is within the acceptable gap, together they stall
// the stream.
func TestQueuedPrefillsStallStreams(t *testing.T) {
	ps, v := NewPromptScheduler(NewLoads()), fleet(2)
	lane := inLane(v, candidates(v, ChooseMsg{Service: "model", Now: start}), ChooseMsg{Lane: LaneLong, Parts: protocol.LaneShares{Tokens: 0.5}})
	only := &v.Servers[lane[0].index]
	st := &placedRequest{server: only.ID, prefillEnd: start.Add(-time.Second), expectedEnd: start.Add(time.Minute)}
	ps.queue(only.ID).requests[1], ps.requests[1] = st, st
	m := longPrompt(10_000) // Takes 250 ms at the initial speed; the gap allows 400 ms.
	free := ps.cost(only, m, false, start)
	ps.queue(only.ID).prefillUntil = start.Add(300 * time.Millisecond)
	if busy := ps.cost(only, m, false, start); busy < free+1 {
		t.Errorf("cost %.2f behind another prompt, %.2f alone: the stalled stream is not counted", busy, free)
	}
}

// TestPromptsFollowPrefixes checks that a prompt is placed where its prefix was prefilled.
func TestPromptsFollowPrefixes(t *testing.T) {
	ps, v := NewPromptScheduler(NewLoads()), fleet(8)
	m := longPrompt(8000)
	m.Prefix = 77
	first := placeAt(t, ps, v, m, start)
	ps.Done(DoneMsg{Number: first.Number, First: 200 * time.Millisecond, Took: time.Second})
	later := start.Add(5 * time.Second)
	if again := placeAt(t, ps, v, m, later); again.Server != first.Server {
		t.Errorf("placed at %s, its prefix was prefilled at %s", again.Server, first.Server)
	}
}

// TestPlacementNamesAHolder checks that a server without the shared parts of a prompt is
// told a holder to copy them from. A leaving holder is named; one that fails or is gone is
// not, and none is named if servers cannot copy.
func TestPlacementNamesAHolder(t *testing.T) {
	for name, c := range map[string]struct {
		copies float64
		change func(l *PromptScheduler, list []protocol.Instance, first int) []protocol.Instance
		want   bool
	}{
		"the holder leaves": {500, func(_ *PromptScheduler, list []protocol.Instance, i int) []protocol.Instance {
			list[i].Leaving = true
			return list
		}, true},
		"servers cannot copy": {0, func(_ *PromptScheduler, list []protocol.Instance, i int) []protocol.Instance {
			list[i].Leaving = true
			return list
		}, false},
		"the holder is gone": {500, func(_ *PromptScheduler, list []protocol.Instance, i int) []protocol.Instance {
			return slices.Delete(list, i, i+1)
		}, false},
		"the holder fails": {500, func(l *PromptScheduler, list []protocol.Instance, i int) []protocol.Instance {
			for _, gateway := range []string{"g", "h"} {
				l.loads.SetReport(gateway, GatewayReport{Domain: "a", Distrusts: []string{list[i].ID}})
			}
			return list
		}, false},
	} {
		loads := NewLoads()
		ps, v := NewPromptScheduler(loads), fleet(8)
		m := longPrompt(8000)
		m.Prefix, m.Copies, m.Domain = 77, c.copies, "a"
		first := placeAt(t, ps, v, m, start)
		if first.Holder != "" {
			t.Errorf("%s: the first prompt is copied from %s", name, first.Holder)
		}
		var list []protocol.Instance
		at := 0
		for i := range v.Servers {
			if v.Servers[i].ID == first.Server {
				at = i
			}
			list = append(list, v.Servers[i].Instance)
		}
		v = NewView(c.change(ps, list, at), v)
		ps.Prune(v)
		again := placeAt(t, ps, v, m, start.Add(5*time.Second))
		if again.Server == first.Server || (again.Holder == first.Server) != c.want || (again.Holder != "") != c.want {
			t.Errorf("%s: placed at %s with holder %q, first at %s", name, again.Server, again.Holder, first.Server)
		}
	}
}

// TestCopyCosts checks that a server that can copy the shared parts costs more than their
// holder and less than a server that prefills them, and more the slower the copy.
func TestCopyCosts(t *testing.T) {
	ps, v := NewPromptScheduler(NewLoads()), fleet(4)
	m := longPrompt(8000)
	m.Prefix = 77
	held := &v.Servers[0]
	ps.queue(held.ID).recordPrefix(m.Prefix, start)
	costs := []float64{ps.cost(held, m, false, start)}
	for _, rate := range []float64{100 * initialPrefillSpeed, 2 * initialPrefillSpeed} {
		m.Copies = rate
		costs = append(costs, ps.cost(&v.Servers[1], m, true, start))
	}
	costs = append(costs, ps.cost(&v.Servers[1], m, false, start))
	if !slices.IsSorted(costs) || costs[1] >= costs[2] || costs[2] >= costs[3] {
		t.Errorf("costs for held, copied fast, copied slowly, prefilled: %.3f", costs)
	}
}

// TestSchedulerRemovesEndedRequests checks over random histories that excluded servers get
// no prompts, and that nothing is kept of requests that ended, were never reported as
// ended, or whose server is gone.
func TestSchedulerRemovesEndedRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ps, v, now := NewPromptScheduler(NewLoads()), fleet(rapid.IntRange(1, 8).Draw(t, "servers")), start
		var open []Placed
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0, 1:
				m := longPrompt(rapid.IntRange(4000, 60_000).Draw(t, "tokens"))
				m.Avoid = []string{"server-0"}
				m.Prefix = rapid.Uint64Range(0, 4).Draw(t, "prefix")
				p, ok := ps.Place(v, m, now)
				if ok != (len(v.Servers) > 1) || p.Server == "server-0" {
					t.Fatalf("placed %v at %q of %d servers", ok, p.Server, len(v.Servers))
				}
				if ok {
					open = append(open, p)
				}
			case 2:
				if len(open) > 0 {
					ps.Done(DoneMsg{Number: open[0].Number, First: time.Duration(rapid.IntRange(0, 2000).Draw(t, "first")) * time.Millisecond, Took: 3 * time.Second})
					open = open[1:]
				}
			}
			if ps.prefillSpeed <= 0 || len(ps.requests) > len(open) {
				t.Fatalf("speed %.1f, %d requests kept, %d open", ps.prefillSpeed, len(ps.requests), len(open))
			}
		}
		ps.removeOverdue(now.Add(time.Hour))
		if len(ps.requests) > 0 {
			t.Fatalf("%d requests are kept after an hour", len(ps.requests))
		}
		ps.Prune(fleet(0))
		if len(ps.queues) > 0 {
			t.Fatal("servers that are not listed are kept")
		}
	})
}

// TestAgreedLanes checks that gateways with the same agreed terms assign the same lanes,
// whatever they observed themselves.
func TestAgreedLanes(t *testing.T) {
	var a, b Lanes
	for range 100 {
		a.Observe(500, 0)
		b.Observe(9000, 0)
	}
	terms := MergeParams([]protocol.LaneParams{a.Local(), b.Local()})
	if terms.Mean < 4000 || terms.Mean > 5500 {
		t.Fatalf("merged terms are %+v", terms)
	}
	terms.Parts.Tokens = 0.5
	a.SetAgreed(terms)
	b.SetAgreed(terms)
	for _, tokens := range []int{400, 3000, 8000} {
		la, sa := a.Observe(tokens, 0)
		lb, sb := b.Observe(tokens, 0)
		if la != lb || sa != sb {
			t.Errorf("%d tokens: lanes %d and %d, parts %+v and %+v", tokens, la, lb, sa, sb)
		}
	}
}
