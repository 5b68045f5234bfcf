package place

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/weldstream/weldstream/protocol"
)

// TestLoadsAddUp compares the totals with the sum of each gateway's latest report over
// random histories.
func TestLoadsAddUp(t *testing.T) {
	servers := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		l := NewLoads()
		reported := map[string]map[string]int{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			gateway := rapid.SampledFrom([]string{"g", "h", "i"}).Draw(t, "gateway")
			delete(reported, gateway)
			if rapid.IntRange(0, 4).Draw(t, "gone") == 0 {
				l.Drop(gateway)
				continue
			}
			reported[gateway] = map[string]int{}
			var rows []protocol.ServerLoad
			for _, s := range servers {
				if n := rapid.IntRange(0, 200).Draw(t, s); n > 0 {
					reported[gateway][s] = n
					rows = append(rows, protocol.ServerLoad{Server: s, Running: n})
				}
			}
			l.SetReport(gateway, GatewayReport{Running: rows})
		}
		packed := l.Pack(servers)
		for i, s := range servers {
			sum := 0
			for _, loads := range reported {
				sum += loads[s]
			}
			if l.Running(s) != sum || int(packed[i]) != min(sum, 255) {
				t.Fatalf("%s has %d, packed %d, want %d", s, l.Running(s), packed[i], sum)
			}
		}
	})
}

// TestSharedLoad checks that a load from the leader stands for all gateways, and that
// changes of this gateway's requests since its report are added.
func TestSharedLoad(t *testing.T) {
	v := fleet(2)
	stats := v.Servers[1].Stats
	stats.RequestStarted()
	stats.RequestStarted()
	rows := v.Running()
	if diff := cmp.Diff([]protocol.ServerLoad{{Server: "server-1", Running: 2}}, rows); diff != "" {
		t.Fatal(diff)
	}
	stats.RequestStarted() // Started after the report, so the leader does not count it.
	v.ApplyLoads([]byte{0, 7}, nil, start)
	if load, _, _, _ := stats.load(start); load != 8 {
		t.Errorf("the load is %v, want the 7 reported and one more", load)
	}
	stats.RequestEnded()
	stats.RequestEnded()
	stats.RequestEnded()
	if load, _, _, _ := stats.load(start); load != 5 {
		t.Errorf("the load is %v, want the 5 of other gateways", load)
	}
	v.ApplyLoads([]byte{9}, nil, start.Add(time.Second)) // The length belongs to another list.
	if load, _, _, _ := stats.load(start); load != 5 {
		t.Errorf("loads of another list were applied: %v", load)
	}
}

// TestSharedLoadMovesTheChoice checks that a server filled by other gateways is skipped.
func TestSharedLoadMovesTheChoice(t *testing.T) {
	v := fleet(4)
	m := ChooseMsg{Service: "model", Prefix: 77, Now: start}
	first, _ := Choose(v, m)
	loads := []byte{4, 4, 4, 4}
	loads[first] = 16
	v.ApplyLoads(loads, nil, start)
	if again, _ := Choose(v, m); again == first {
		t.Error("the server filled by other gateways is chosen")
	}
}

// TestDistrustIsShared checks how many gateways of which domains must distrust a server
// before others do, too.
func TestDistrustIsShared(t *testing.T) {
	for name, c := range map[string]struct {
		by        map[string]string // by maps the gateways that distrust the server to their domains.
		here, far bool
	}{
		"nobody":                               {nil, false, false},
		"one gateway":                          {map[string]string{"g": "here"}, false, false},
		"two gateways of one domain":           {map[string]string{"g": "here", "h": "here"}, true, false},
		"two gateways of two domains":          {map[string]string{"g": "here", "h": "there"}, true, true},
		"many gateways of another domain":      {map[string]string{"g": "there", "h": "there", "i": "there"}, false, false},
		"one of its domain and two of another": {map[string]string{"g": "here", "h": "there", "i": "there"}, true, true},
	} {
		l := NewLoads()
		for gateway, domain := range c.by {
			l.SetReport(gateway, GatewayReport{Domain: domain, Distrusts: []string{"s"}})
			l.SetReport(gateway, GatewayReport{Domain: domain, Distrusts: []string{"s"}}) // A repeated report counts once.
		}
		if here, far := l.Distrusted("s", "here"), l.Distrusted("s", "far"); here != c.here || far != c.far {
			t.Errorf("%s: distrusted here %v, want %v; in a far domain %v, want %v", name, here, c.here, far, c.far)
		}
		for gateway := range c.by {
			l.Drop(gateway)
		}
		if l.Distrusted("s", "here") || len(l.distrusts) > 0 {
			t.Errorf("%s: distrusted after all gateways are dropped", name)
		}
	}
}

// TestSharedDistrust checks that a server which others distrust is suspect until they stop
// or the report expires, and that this gateway does not report their distrust as its own.
func TestSharedDistrust(t *testing.T) {
	v := fleet(10)
	loads := make([]byte, 10)
	if since := v.ApplyLoads(loads, []byte{0, 2}, start); len(since) != 1 || since[0] != v.Servers[9].ID {
		t.Errorf("newly distrusted: %v, want the tenth server", since)
	}
	if since := v.ApplyLoads(loads, []byte{0, 2}, start.Add(time.Millisecond)); len(since) > 0 {
		t.Errorf("a repeated report counts as new: %v", since)
	}
	for i := range v.Servers {
		if got := v.Servers[i].Stats.Suspect(start); got != (i == 9) {
			t.Errorf("server %d is suspect: %v", i, got)
		}
	}
	if own := v.Distrusts(start); len(own) > 0 {
		t.Errorf("the distrust of others is reported as own: %v", own)
	}
	if v.Servers[9].Stats.Suspect(start.Add(time.Millisecond + sharedDistrustTTL)) {
		t.Error("suspect after the report expired")
	}
	v.ApplyLoads(loads, nil, start)
	if v.Servers[9].Stats.Suspect(start) {
		t.Error("suspect after the distrust was withdrawn")
	}
	v.Servers[3].Stats.RequestFailed(true, start)
	if own := v.Distrusts(start); len(own) != 1 || own[0] != v.Servers[3].ID {
		t.Errorf("servers distrusted locally: %v", own)
	}
}

// TestPromptsAvoidDistrustedServers checks that no long prompt is placed at a distrusted
// server while there is another.
func TestPromptsAvoidDistrustedServers(t *testing.T) {
	loads, v := NewLoads(), fleet(4)
	ps := NewPromptScheduler(loads)
	first := placeAt(t, ps, v, longPrompt(20_000), start)
	for _, g := range []string{"g", "h"} {
		loads.SetReport(g, GatewayReport{Domain: "domain-1", Distrusts: []string{first.Server}})
	}
	m := longPrompt(20_000)
	m.Domain = "domain-1"
	ps.Done(DoneMsg{Number: first.Number})
	for range 3 {
		if again := placeAt(t, ps, v, m, start.Add(time.Minute)); again.Server == first.Server {
			t.Errorf("placed at %s, which is distrusted", again.Server)
		}
	}
}
