package place

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/weldstream/weldstream/protocol"
)

// prompt is a long one that holds streams up where it is read.
func prompt(tokens int) PromptMsg {
	return PromptMsg{Service: "model", Prompt: tokens, Shared: tokens / 2, Answer: 100, Target: 2 * time.Second, Gap: 500 * time.Millisecond, Parts: protocol.LaneParts{Tokens: 1}}
}

// place places a prompt and fails the test where there is no place.
func placeAt(t *testing.T, l *PromptScheduler, v *View, m PromptMsg, now time.Time) Placed {
	t.Helper()
	p, ok := l.Place(v, m, now)
	if !ok {
		t.Fatal("no place")
	}
	return p
}

// TestLedgerSpreads checks that prompts which come together go to servers of
// their own as long as there are any.
func TestLedgerSpreads(t *testing.T) {
	l, v := NewPromptScheduler(NewLoads()), fleet(6)
	used := map[string]bool{}
	for range 5 { // One server is always left to the other lane.
		p := placeAt(t, l, v, prompt(20_000), start)
		if used[p.Server] {
			t.Errorf("%s got two while others had none", p.Server)
		}
		used[p.Server] = true
	}
}

// TestLedgerSparesStreams checks that a prompt which would hold streams up goes
// where fewer run, and waits for another prompt rather than hold up two streams.
func TestLedgerSparesStreams(t *testing.T) {
	l, v := NewPromptScheduler(NewLoads()), fleet(3)
	lane := inLane(v, candidates(v, ChooseMsg{Service: "model", Now: start}), ChooseMsg{Lane: LaneLong, Parts: protocol.LaneParts{Tokens: 1}})
	a, b := &v.Servers[lane[0].index], &v.Servers[lane[1].index]
	// Two streams run at a; b reads a short prompt and has no stream.
	for range 2 {
		st := &stay{server: a.ID, reads: start.Add(-time.Second), ends: start.Add(time.Minute)}
		l.number++
		l.book(a.ID).stays[l.number], l.placed[l.number] = st, st
	}
	l.book(b.ID).readUntil = start.Add(300 * time.Millisecond)
	if p := placeAt(t, l, v, prompt(25_000), start); p.Server != b.ID {
		t.Errorf("placed at %s, where two streams run", p.Server)
	}
}

// TestLedgerCountsWholeBlocks checks that prompts which are short one by one are
// not put one behind the other under a stream: together they hold it up.
func TestLedgerCountsWholeBlocks(t *testing.T) {
	l, v := NewPromptScheduler(NewLoads()), fleet(2)
	lane := inLane(v, candidates(v, ChooseMsg{Service: "model", Now: start}), ChooseMsg{Lane: LaneLong, Parts: protocol.LaneParts{Tokens: 0.5}})
	only := &v.Servers[lane[0].index]
	st := &stay{server: only.ID, reads: start.Add(-time.Second), ends: start.Add(time.Minute)}
	l.book(only.ID).stays[1], l.placed[1] = st, st
	m := prompt(10_000) // 250 ms at the first speed, 400 ms are borne.
	free := l.cost(only, m, false, start)
	l.book(only.ID).readUntil = start.Add(300 * time.Millisecond)
	if busy := l.cost(only, m, false, start); busy < free+1 {
		t.Errorf("behind another prompt it costs %.2f, alone %.2f: the stream is not counted", busy, free)
	}
}

// TestLedgerKeepsPrefixes checks that a prompt goes where its prefix was read.
func TestLedgerKeepsPrefixes(t *testing.T) {
	l, v := NewPromptScheduler(NewLoads()), fleet(8)
	m := prompt(8000)
	m.Prefix = 77
	first := placeAt(t, l, v, m, start)
	l.Done(DoneMsg{Number: first.Number, First: 200 * time.Millisecond, Took: time.Second})
	later := start.Add(5 * time.Second)
	if again := placeAt(t, l, v, m, later); again.Server != first.Server {
		t.Errorf("placed at %s, its prefix was read at %s", again.Server, first.Server)
	}
}

// TestLedgerNamesAHolder checks that a server that has not read the shared parts of a
// prompt is told which one has, also one that leaves, but none that fails, that is
// gone, or where nothing can be copied.
func TestLedgerNamesAHolder(t *testing.T) {
	for name, c := range map[string]struct {
		copies float64
		change func(l *PromptScheduler, list []protocol.Instance, first int) []protocol.Instance
		want   bool
	}{
		"it leaves": {500, func(_ *PromptScheduler, list []protocol.Instance, i int) []protocol.Instance {
			list[i].Leaving = true
			return list
		}, true},
		"nothing can be copied": {0, func(_ *PromptScheduler, list []protocol.Instance, i int) []protocol.Instance {
			list[i].Leaving = true
			return list
		}, false},
		"it is gone": {500, func(_ *PromptScheduler, list []protocol.Instance, i int) []protocol.Instance {
			return slices.Delete(list, i, i+1)
		}, false},
		"it fails": {500, func(l *PromptScheduler, list []protocol.Instance, i int) []protocol.Instance {
			for _, gateway := range []string{"g", "h"} {
				l.loads.SetReport(gateway, GatewayReport{Domain: "a", Distrusts: []string{list[i].ID}})
			}
			return list
		}, false},
	} {
		loads := NewLoads()
		l, v := NewPromptScheduler(loads), fleet(8)
		m := prompt(8000)
		m.Prefix, m.Copies, m.Domain = 77, c.copies, "a"
		first := placeAt(t, l, v, m, start)
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
		v = NewView(c.change(l, list, at), v)
		l.Prune(v)
		again := placeAt(t, l, v, m, start.Add(5*time.Second))
		if again.Server == first.Server || (again.Holder == first.Server) != c.want || (again.Holder != "") != c.want {
			t.Errorf("%s: placed at %s with holder %q, first at %s", name, again.Server, again.Holder, first.Server)
		}
	}
}

// TestLedgerCountsCopies checks that a server that can copy the shared parts is
// dearer than the one that holds them and cheaper than one that reads them, and the
// dearer the slower the copy.
func TestLedgerCountsCopies(t *testing.T) {
	l, v := NewPromptScheduler(NewLoads()), fleet(4)
	m := prompt(8000)
	m.Prefix = 77
	held := &v.Servers[0]
	l.book(held.ID).keep(m.Prefix, start)
	costs := []float64{l.cost(held, m, false, start)}
	for _, rate := range []float64{100 * firstSpeed, 2 * firstSpeed} {
		m.Copies = rate
		costs = append(costs, l.cost(&v.Servers[1], m, true, start))
	}
	costs = append(costs, l.cost(&v.Servers[1], m, false, start))
	if !slices.IsSorted(costs) || costs[1] >= costs[2] || costs[2] >= costs[3] {
		t.Errorf("costs held, copied fast, copied slowly, read: %.3f", costs)
	}
}

// TestLedgerForgets checks over random histories that places are never given to
// servers that may not be taken, and that nothing is kept of requests that ended,
// were never told of again, or whose server is gone.
func TestLedgerForgets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, v, now := NewPromptScheduler(NewLoads()), fleet(rapid.IntRange(1, 8).Draw(t, "servers")), start
		var open []Placed
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0, 1:
				m := prompt(rapid.IntRange(4000, 60_000).Draw(t, "tokens"))
				m.Avoid = []string{"server-0"}
				m.Prefix = rapid.Uint64Range(0, 4).Draw(t, "prefix")
				p, ok := l.Place(v, m, now)
				if ok != (len(v.Servers) > 1) || p.Server == "server-0" {
					t.Fatalf("placed %v at %q of %d servers", ok, p.Server, len(v.Servers))
				}
				if ok {
					open = append(open, p)
				}
			case 2:
				if len(open) > 0 {
					l.Done(DoneMsg{Number: open[0].Number, First: time.Duration(rapid.IntRange(0, 2000).Draw(t, "first")) * time.Millisecond, Took: 3 * time.Second})
					open = open[1:]
				}
			}
			if l.speed <= 0 || len(l.placed) > len(open) {
				t.Fatalf("speed %.1f, %d kept of %d that are open", l.speed, len(l.placed), len(open))
			}
		}
		l.forget(now.Add(time.Hour))
		if len(l.placed) > 0 {
			t.Fatalf("%d are kept after an hour", len(l.placed))
		}
		l.Prune(fleet(0))
		if len(l.servers) > 0 {
			t.Fatal("servers that are gone are kept")
		}
	})
}

// TestAgreedLanes checks that gateways which were told the terms of all draw the
// same line, whatever they saw themselves.
func TestAgreedLanes(t *testing.T) {
	var a, b Lanes
	for range 100 {
		a.Observe(500, 0)
		b.Observe(9000, 0)
	}
	terms := MergeTerms([]protocol.LaneTerms{a.Local(), b.Local()})
	if terms.Mean < 4000 || terms.Mean > 5500 {
		t.Fatalf("the mean of all is %+v", terms)
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
