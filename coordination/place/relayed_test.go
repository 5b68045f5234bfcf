package place

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	_ "github.com/weldstream/weldstream/internal/testseed" // Sets the seed.
	"github.com/weldstream/weldstream/protocol"
)

// TestVectorChanges checks over random loads that a peer with any earlier version ends up
// with the current loads, and that no changes are longer than the complete loads.
func TestVectorChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var v LoadVector
		held := map[uint64][]byte{}
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			if rapid.IntRange(0, 5).Draw(t, "other list") == 0 {
				v.Reset(rapid.SliceOfN(rapid.Byte(), 0, 400).Draw(t, "loads"))
			} else {
				loads := slices.Clone(v.Values())
				for i := range loads {
					if rapid.IntRange(0, 9).Draw(t, "changes") == 0 {
						loads[i]++
					}
				}
				v.Set(loads)
			}
			held[v.Version()] = slices.Clone(v.Values())
		}
		to := protocol.LoadVersion{Incarnation: 7, Version: v.Version()}
		for version, loads := range held {
			changes, ok := v.Since(version)
			var whole []byte
			if !ok {
				whole = v.Values()
			}
			if len(changes) > len(v.Values()) {
				t.Fatalf("%d bytes of changes for %d servers", len(changes), len(v.Values()))
			}
			got, err := UpdateLoads(loads, protocol.LoadVersion{Incarnation: 7, Version: version}, whole, changes, to)
			if err != nil || string(got) != string(v.Values()) {
				t.Fatalf("from version %d to %d: %v, %v; want %v", version, v.Version(), got, err, v.Values())
			}
		}
	})
}

// TestChangesThatCannotBeRead checks that invalid changes are an error.
func TestChangesThatCannotBeRead(t *testing.T) {
	for _, changes := range [][]byte{{0}, {2, 1}, {0, 1, 1, 1}, {255}, {255, 255, 255, 255, 255, 255, 255, 255, 255, 1, 1}} {
		if got, err := WithChanges([]byte{5, 6}, changes); err == nil {
			t.Errorf("changes %v were decoded as %v", changes, got)
		}
	}
}

// relayFleet simulates gateways that report to the leader or to relays.
type relayFleet struct {
	leader    *Loads
	relays    map[string]*Sum
	reportsTo map[string]string
	reports   map[string]GatewayReport // reports holds the latest report of each gateway.
}

func (f *relayFleet) report(gateway string) {
	if home := f.reportsTo[gateway]; home != "" {
		f.relays[home].SetReport(gateway, f.reports[gateway])
		f.batch(home, []string{gateway}, true, true)
		return
	}
	f.leader.SetReport(gateway, f.reports[gateway])
}

func (f *relayFleet) batch(relay string, asked []string, arrives, answered bool) {
	s := f.relays[relay]
	sums, whole := s.Changes()
	var moved []string
	if arrives {
		moved = f.leader.ApplyRelay(RelayMsg{Relay: relay, Whole: whole, Sums: sums, Asked: asked})
	}
	if !arrives || !answered {
		s.Invalidate()
		return
	}
	for _, name := range moved {
		s.Drop(name)
	}
}

// want returns the outstanding requests of all gateways.
func (f *relayFleet) want() map[string]int {
	total := map[string]int{}
	for _, report := range f.reports {
		for _, r := range report.Running {
			setCount(total, r.Server, total[r.Server]+r.Running)
		}
	}
	return total
}

var servers = []string{"s1", "s2", "s3"}

func drawReport(t *rapid.T) GatewayReport {
	r := GatewayReport{Domain: rapid.SampledFrom([]string{"d1", "d2"}).Draw(t, "domain")}
	for _, s := range servers {
		if n := rapid.IntRange(0, 4).Draw(t, s); n > 0 {
			r.Running = append(r.Running, protocol.ServerLoad{Server: s, Running: n})
		}
		if rapid.IntRange(0, 5).Draw(t, "distrusts") == 0 {
			r.Distrusts = append(r.Distrusts, s)
		}
	}
	return r
}

// TestRelaysAddUp checks over random moves of gateways between relays and the leader, with
// lost batches and lost answers, that once all gateways have reported again the leader
// counts the requests of each gateway exactly once.
func TestRelaysAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &relayFleet{leader: NewLoads(), relays: map[string]*Sum{"a": NewSum(), "b": NewSum()}, reportsTo: map[string]string{}, reports: map[string]GatewayReport{}}
		gateways := []string{"g1", "g2", "g3", "g4"}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			g := rapid.SampledFrom(gateways).Draw(t, "gateway")
			relay := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "relay")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				f.reportsTo[g] = rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "home")
			case 1, 2:
				f.reports[g] = drawReport(t)
				f.report(g)
			case 3:
				arrives := rapid.Bool().Draw(t, "arrives")
				f.batch(relay, nil, arrives, arrives && rapid.Bool().Draw(t, "answered"))
			}
		}
		for range 2 { // The first round reports, the second removes gateways that moved.
			for _, g := range slices.Sorted(maps.Keys(f.reports)) {
				f.report(g)
			}
			f.batch("a", nil, true, true)
			f.batch("b", nil, true, true)
		}
		if diff := cmp.Diff(f.want(), f.leader.totals); diff != "" {
			t.Fatal(diff)
		}
		direct := NewLoads()
		for g, r := range f.reports {
			direct.SetReport(g, r)
		}
		if diff := cmp.Diff(direct.distrusts, f.leader.distrusts); diff != "" {
			t.Fatal(diff)
		}
		f.leader.DropRelay("a")
		f.leader.DropRelay("b")
		for _, g := range gateways {
			f.leader.Drop(g)
		}
		if len(f.leader.totals)+len(f.leader.distrusts)+len(f.leader.relayOf) > 0 {
			t.Fatalf("not removed: %v %v %v", f.leader.totals, f.leader.distrusts, f.leader.relayOf)
		}
	})
}

// TestDeadRelayIsSubtracted checks that the sums of a dead relay are subtracted gateway by
// gateway as they move, although the relay sends nothing more.
func TestDeadRelayIsSubtracted(t *testing.T) {
	f := &relayFleet{leader: NewLoads(), relays: map[string]*Sum{"a": NewSum(), "b": NewSum()}, reportsTo: map[string]string{}, reports: map[string]GatewayReport{}}
	const gateways = 10
	for i := range gateways {
		g := fmt.Sprint("g", i)
		f.reportsTo[g], f.reports[g] = "a", GatewayReport{Domain: "d", Running: []protocol.ServerLoad{{Server: "s1", Running: 3}}, Distrusts: []string{"s2"}}
		f.report(g)
	}
	for i := range gateways {
		g := fmt.Sprint("g", i)
		f.reportsTo[g] = "b"
		if i%2 == 0 {
			f.reportsTo[g] = ""
		}
		f.report(g)
		if n := f.leader.Running("s1"); n != 3*gateways {
			t.Errorf("after %d gateways moved the server seems to have %d requests, want %d", i+1, n, 3*gateways)
		}
	}
	if n := f.leader.distrusts["s2"]["d"]; n != gateways {
		t.Errorf("%d gateways distrust the other server, want %d", n, gateways)
	}
}

// TestReplacedLoads checks that a relay's loads follow what the leader sends.
func TestReplacedLoads(t *testing.T) {
	l := NewLoads()
	l.Replace(servers, []byte{2, 0, 9}, map[string][]byte{"d1": {1 << 1}})
	if l.Running("s1") != 2 || l.Running("s2") != 0 || l.Running("s3") != 9 || !l.Distrusted("s2", "d1") || l.Distrusted("s2", "d2") || l.Distrusted("s1", "d1") {
		t.Errorf("loads are %v, %v", l.totals, l.leaderDistrusts)
	}
	l.Replace(servers, []byte{0, 1, 0}, nil)
	if l.Running("s1") != 0 || l.Running("s2") != 1 || l.Distrusted("s2", "d1") {
		t.Errorf("then loads are %v, %v", l.totals, l.leaderDistrusts)
	}
}
