package place

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/weldstream/weldstream/coordination/topology"
	"github.com/weldstream/weldstream/protocol"
)

// threeRegions returns a topology of six domains, two in each region.
func threeRegions() *topology.Topology {
	return topology.New(map[string]string{"a-1": "a", "a-2": "a", "b-1": "b", "b-2": "b", "c-1": "c", "c-2": "c"})
}

// spreadOver returns a view with n servers of one service in each of the domains.
func spreadOver(t *topology.Topology, n int, domains ...string) *View {
	var list []protocol.Instance
	for _, d := range domains {
		for i := range n {
			list = append(list, protocol.Instance{ID: fmt.Sprintf("%s-%d", d, i), Address: "10.0.0.1:80", Service: "model", Domain: d, Slots: 16})
		}
	}
	return NewView(list, nil, WithRegions(t))
}

var sixDomains = []string{"a-1", "a-2", "b-1", "b-2", "c-1", "c-2"}

// TestNearServersFirst checks the region of the chosen server: the gateway's own as long as
// it has room, another before a near server is late, and no preference without a topology.
func TestNearServersFirst(t *testing.T) {
	for _, c := range []struct {
		name     string
		regions  *topology.Topology
		own      int // own is the number of requests on each server of the gateway's region.
		far      int
		wantNear bool
	}{
		{"idle", threeRegions(), 0, 0, true},
		{"half full, other regions idle", threeRegions(), 8, 0, true},
		{"nearly full, other regions idle", threeRegions(), 14, 0, false},
		{"full, other regions full", threeRegions(), 16, 16, true},
		{"full, other regions a quarter full", threeRegions(), 16, 4, false},
		{"no regions, load only", nil, 8, 0, false},
	} {
		for _, prefix := range []uint64{0, 7, 99} {
			v := spreadOver(c.regions, 2, sixDomains...)
			own := threeRegions()
			for i := range v.Servers {
				n := c.far
				if own.Region(v.Servers[i].Domain) == "b" {
					n = c.own
				}
				for range n {
					v.Servers[i].Stats.RequestStarted()
				}
			}
			i, ok := Choose(v, ChooseMsg{Service: "model", Domain: "b-1", Prefix: prefix, Rand: 5, Now: start})
			if !ok {
				t.Fatalf("%s: no server", c.name)
			}
			if got := v.Servers[i].Domain; (own.Region(got) == "b") != c.wantNear {
				t.Errorf("%s, prefix %d: chosen in %s", c.name, prefix, got)
			}
		}
	}
}

// TestRegionCutOff checks that requests are sent to another region at once when all servers
// of the gateway's region are suspect or leaving, in each lane with and without a prefix,
// and that the first request after the servers are back stays in the region.
func TestRegionCutOff(t *testing.T) {
	regions, now := threeRegions(), start
	for name, cut := range map[string]func(*Server){
		"suspect": func(s *Server) { s.Stats.RequestFailed(true, now) },
		"leaving": func(s *Server) { s.Leaving = true },
		"distrusted by other gateways": func(s *Server) {
			s.Stats.applyLoad(0, true, now)
		},
	} {
		v := spreadOver(regions, 3, sixDomains...)
		at := func(lane Lane, prefix uint64, now time.Time) string {
			m := ChooseMsg{Service: "model", Domain: "b-1", Lane: lane, Parts: protocol.LaneShares{Tokens: 0.5}, Prefix: prefix, Rand: 3, Now: now}
			i, ok := Choose(v, m)
			if !ok {
				t.Fatalf("%s: no server", name)
			}
			return regions.Region(v.Servers[i].Domain)
		}
		for _, lane := range []Lane{LaneAny, LaneLong, LaneShort} {
			for _, prefix := range []uint64{0, 42} {
				if got := at(lane, prefix, now); got != "b" {
					t.Errorf("%s: before, lane %d, prefix %d: chosen in %s", name, lane, prefix, got)
				}
			}
		}
		for i := range v.Servers {
			if regions.Region(v.Servers[i].Domain) == "b" {
				cut(&v.Servers[i])
			}
		}
		for _, lane := range []Lane{LaneAny, LaneLong, LaneShort} {
			for _, prefix := range []uint64{0, 42} {
				if got := at(lane, prefix, now); got == "b" {
					t.Errorf("%s: lane %d, prefix %d: chosen in the region that is cut off", name, lane, prefix)
				}
			}
		}
		for i := range v.Servers {
			v.Servers[i].Leaving = false
			v.Servers[i].Stats.RequestSucceeded()
		}
		for _, prefix := range []uint64{0, 42} {
			if got := at(LaneAny, prefix, now.Add(maxDistrust)); got != "b" {
				t.Errorf("%s: afterwards, prefix %d: chosen in %s", name, prefix, got)
			}
		}
	}
}

// TestMostOfARegionIsSuspect checks that requests are sent to another region once most
// servers of the gateway's region are suspect, before the last of them was tried, and not
// while fewer are.
func TestMostOfARegionIsSuspect(t *testing.T) {
	regions := threeRegions()
	v := spreadOver(regions, 3, sixDomains...)
	suspects := 0
	for i := range v.Servers {
		s := &v.Servers[i]
		if regions.Region(s.Domain) != "b" {
			continue
		}
		s.Stats.RequestFailed(true, start)
		suspects++
		for _, prefix := range []uint64{0, 42} {
			j, _ := Choose(v, ChooseMsg{Service: "model", Domain: "b-2", Prefix: prefix, Rand: 3, Now: start})
			if across := regions.Region(v.Servers[j].Domain) != "b"; across != (suspects > 3) {
				t.Errorf("%d of 6 suspect, prefix %d: chosen in %s", suspects, prefix, v.Servers[j].Domain)
			}
		}
	}
}

// TestPromptsStayInRegion checks that long prompts stay in the caller's region while it has
// room, go to another region when its servers would miss the target or are distrusted, and
// come back.
func TestPromptsStayInRegion(t *testing.T) {
	regions, loads := threeRegions(), NewLoads()
	ps, v := NewPromptScheduler(loads, WithTopology(regions)), spreadOver(regions, 3, sixDomains...)
	m := longPrompt(8000)
	m.Domain, m.Parts.Tokens, m.Shared = "b-1", 0.5, 0
	region := func(now time.Time) string {
		return regions.Region(v.Find(placeAt(t, ps, v, m, now).Server).Domain)
	}
	if got := region(start); got != "b" {
		t.Errorf("placed in %s although all servers are idle", got)
	}
	for i := range v.Servers {
		if s := &v.Servers[i]; s.location.Region == "b" {
			ps.queue(s.ID).prefillUntil = start.Add(3 * time.Second)
		}
	}
	if got := region(start); got == "b" {
		t.Error("placed where the target is missed")
	}
	if got := region(start.Add(4 * time.Second)); got != "b" {
		t.Errorf("placed in %s although the gateway's region has room again", got)
	}
	var all []string
	for i := range v.Servers {
		if s := &v.Servers[i]; s.location.Region == "b" {
			all = append(all, s.ID)
		}
	}
	for _, gateway := range []string{"one", "two"} {
		loads.SetReport(gateway, GatewayReport{Domain: "b-1", Distrusts: all})
	}
	if got := region(start.Add(5 * time.Second)); got == "b" {
		t.Error("placed at a server that the gateways distrust")
	}
	loads.Drop("one")
	loads.Drop("two")
	if got := region(start.Add(6 * time.Second)); got != "b" {
		t.Errorf("placed in %s although the gateway's region is trusted again", got)
	}
}

// TestHolderIsNear checks that shared parts are copied from a server of the caller's
// region, even if a remote server prefilled them later.
func TestHolderIsNear(t *testing.T) {
	regions := threeRegions()
	ps, v := NewPromptScheduler(NewLoads(), WithTopology(regions)), spreadOver(regions, 1, sixDomains...)
	m := longPrompt(8000)
	m.Copies, m.Prefix, m.Domain = 100, 77, "b-1"
	ps.queue("a-1-0").recordPrefix(77, start.Add(2*time.Second))
	if got := ps.holder(v, m, start.Add(3*time.Second)); got != "a-1-0" {
		t.Errorf("copied from %q, want the only holder, in another region", got)
	}
	ps.queue("b-2-0").recordPrefix(77, start)
	ps.queue("c-1-0").recordPrefix(77, start.Add(time.Second))
	if got := ps.holder(v, m, start.Add(3*time.Second)); got != "b-2-0" {
		t.Errorf("copied from %q, want the near holder", got)
	}
	ps.queue("b-1-0").recordPrefix(77, start.Add(time.Second))
	if got := ps.holder(v, m, start.Add(3*time.Second)); got != "b-1-0" {
		t.Errorf("copied from %q, want the near holder with the latest prefill", got)
	}
}

// TestPreferRegionKeepsOneSide checks for any loads that the result is either the gateway's
// region or all other candidates, is never empty, and never is a side on which every server
// has a fill more than otherRegionPenalty above all of the other side; and that the other
// candidates are returned only if one of them has a fill lower than that of a server in the
// region by at least otherRegionPenalty.
func TestPreferRegionKeepsOneSide(t *testing.T) {
	regions := threeRegions()
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.SliceOfNDistinct(rapid.SampledFrom(sixDomains), 1, 6, rapid.ID[string]).Draw(t, "domains")
		v := spreadOver(regions, 2, domains...)
		own := rapid.SampledFrom(sixDomains).Draw(t, "own")
		var rows []candidate
		fills := map[bool][]float64{}
		isFar := func(r candidate) bool {
			return regions.Distance(own, v.Servers[r.index].Domain) == topology.OtherRegion
		}
		for i := range v.Servers {
			r := candidate{index: i, fill: rapid.Float64Range(0, 5).Draw(t, "fill")}
			rows = append(rows, r)
			fills[isFar(r)] = append(fills[isFar(r)], r.fill)
		}
		kept := preferRegion(v, rows, ChooseMsg{Domain: own})
		if len(kept) == 0 {
			t.Fatal("no candidates kept")
		}
		side := isFar(kept[0])
		if len(kept) != len(fills[side]) {
			t.Fatalf("%d candidates kept of %d", len(kept), len(fills[side]))
		}
		if len(fills[!side]) == 0 {
			return
		}
		if more := slices.Min(fills[side]) - slices.Max(fills[!side]); more > otherRegionPenalty || (side && more > -otherRegionPenalty) {
			t.Fatalf("other regions kept: %v; near fills %.2f, remote fills %.2f", side, fills[false], fills[true])
		}
	})
}

// TestEachRegionHasBothLanes checks that a region with at least two servers has some in
// each lane, that a server is in one lane whichever lane is requested, and that a single
// server takes both kinds.
func TestEachRegionHasBothLanes(t *testing.T) {
	regions := threeRegions()
	for n := 1; n <= 8; n++ {
		v := spreadOver(regions, n, "a-1", "a-2", "b-1")
		lanes := map[Lane]map[string]int{}
		inLanes := map[int]int{}
		for _, lane := range []Lane{LaneLong, LaneShort} {
			lanes[lane] = map[string]int{}
			m := ChooseMsg{Service: "model", Domain: "a-1", Now: start, Lane: lane, Parts: protocol.LaneShares{Tokens: 0.7}}
			for _, r := range inLane(v, candidates(v, m), m) {
				lanes[lane][v.Servers[r.index].location.Region]++
				inLanes[r.index]++
			}
			for _, region := range []string{"a", "b"} {
				if lanes[lane][region] == 0 {
					t.Errorf("%d servers per domain: lane %d has none in region %s", n, lane, region)
				}
			}
		}
		for i, times := range inLanes {
			if alone := n == 1 && v.Servers[i].Domain == "b-1"; (times == 2) != alone {
				t.Errorf("%d servers per domain: %s is in %d lanes", n, v.Servers[i].ID, times)
			}
		}
	}
}

// TestRegionalLoad simulates a load that is even over three regions, with prompts that all
// of them share, and checks that almost nothing crosses regions; then a load with most
// callers in one region, which must cross before the servers there are full. A request
// holds a slot for 0.5 s; 36 servers of 16 slots run at 40 percent of their capacity.
func TestRegionalLoad(t *testing.T) {
	for _, c := range []struct {
		name      string
		inA       float64 // inA is the share of callers in region a.
		maxAcross float64
		minAcross float64
		maxFill   float64
	}{
		{"even", 0.34, 0.02, 0, 1},
		{"most in one region", 0.8, 0.4, 0.1, 1},
	} {
		v, regions := spreadOver(threeRegions(), 6, sixDomains...), threeRegions()
		rnd := rand.New(rand.NewPCG(1, 2))
		type event struct {
			at     time.Time
			server int
		}
		var running []event
		sent, across, fullest := 0, 0, 0
		for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(10 * time.Millisecond) {
			kept := running[:0]
			for _, e := range running {
				if now.Before(e.at) {
					kept = append(kept, e)
					continue
				}
				v.Servers[e.server].Stats.RequestEnded()
			}
			running = kept
			for range poisson(rnd, 4.6) {
				domain := sixDomains[2+rnd.IntN(4)]
				if rnd.Float64() < c.inA {
					domain = sixDomains[rnd.IntN(2)]
				}
				i, _ := Choose(v, ChooseMsg{Service: "model", Domain: domain, Prefix: mix(uint64(rnd.IntN(40))), Rand: rnd.Uint64(), Now: now})
				v.Servers[i].Stats.RequestStarted()
				fullest = max(fullest, v.Servers[i].Stats.Outstanding())
				running = append(running, event{now.Add(500 * time.Millisecond), i})
				sent++
				if regions.Distance(domain, v.Servers[i].Domain) == topology.OtherRegion {
					across++
				}
			}
		}
		part := float64(across) / float64(sent)
		t.Logf("%s: %d sent, %.3f of them to other regions, at most %d requests at a server", c.name, sent, part, fullest)
		if part > c.maxAcross || part < c.minAcross {
			t.Errorf("%s: %.3f of %d were sent to other regions, want %.2f to %.2f", c.name, part, sent, c.minAcross, c.maxAcross)
		}
		if float64(fullest) > c.maxFill*16 {
			t.Errorf("%s: a server of 16 slots had %d requests", c.name, fullest)
		}
	}
}

// BenchmarkChooseByRegion measures a choice among servers in three regions.
func BenchmarkChooseByRegion(b *testing.B) {
	for _, n := range []int{10, 100, 500} {
		b.Run(fmt.Sprint(6*n), func(b *testing.B) {
			v, rnd := spreadOver(threeRegions(), n, sixDomains...), rand.New(rand.NewPCG(1, 2))
			for i := range v.Servers {
				v.Servers[i].Stats.SetReportedLoad(rnd.IntN(24), start)
			}
			for i := 0; b.Loop(); i++ {
				Choose(v, ChooseMsg{Service: "model", Domain: "b-1", Prefix: mix(uint64(i)), Lane: LaneLong + Lane(i%2), Parts: protocol.LaneShares{Tokens: 0.6}, Now: start})
			}
		})
	}
}

// TestFullLaneOfARegion checks that a request uses the other lane of its region while its
// own lane there is full, as it does without regions, even though its lane has room in
// another region.
func TestFullLaneOfARegion(t *testing.T) {
	regions := threeRegions()
	for _, prefix := range []uint64{0, 42} {
		for _, lane := range []Lane{LaneLong, LaneShort} {
			v := spreadOver(regions, 4, sixDomains...)
			m := ChooseMsg{Service: "model", Domain: "b-1", Lane: lane, Parts: protocol.LaneShares{Tokens: 0.5}, Prefix: prefix, Rand: 3, Now: start}
			for _, r := range inLane(v, candidates(v, m), m) {
				own := 8 // At half load, requests do not cross regions.
				if v.Servers[r.index].location.Region == "b" {
					own = 16
				}
				for range own {
					v.Servers[r.index].Stats.RequestStarted()
				}
			}
			i, ok := Choose(v, m)
			if s := &v.Servers[i]; !ok || s.location.Region != "b" || s.Stats.Outstanding() != 0 {
				t.Errorf("lane %d, prefix %d: %s has %d requests, want an idle server of region b", lane, prefix, s.ID, s.Stats.Outstanding())
			}
		}
	}
}

// TestUnknownRegionInSingleRegion checks that with a single region, servers in domains of
// unknown region are split between the lanes together with the others.
func TestUnknownRegionInSingleRegion(t *testing.T) {
	m := ChooseMsg{Service: "model", Now: start, Lane: LaneLong, Parts: protocol.LaneShares{Tokens: 0.5}}
	want := spreadOver(nil, 3, "a-1", "a-2", "d-1")
	got := spreadOver(topology.New(map[string]string{"a-1": "a", "a-2": "a"}), 3, "a-1", "a-2", "d-1")
	if w, g := inLane(want, candidates(want, m), m), inLane(got, candidates(got, m), m); !slices.Equal(w, g) {
		t.Errorf("the long lane has %v, want %v as without regions", g, w)
	}
}

// TestSelectNth compares the value at an index with that of the sorted list.
func TestSelectNth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOfN(rapid.Float64Range(0, 3), 1, 60).Draw(t, "list")
		if rapid.Bool().Draw(t, "whole") {
			for i := range list {
				list[i] = math.Floor(list[i]) // Makes many values equal.
			}
		}
		index := rapid.IntRange(0, len(list)-1).Draw(t, "index")
		want := slices.Sorted(slices.Values(list))[index]
		if got := selectNth(list, index); got != want {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

// TestSuspectRegionBesideFullRegions checks that a request is sent to another region if all
// servers of its own are suspect, although all slots of the others are in use.
func TestSuspectRegionBesideFullRegions(t *testing.T) {
	v := spreadOver(threeRegions(), 3, sixDomains...)
	for i := range v.Servers {
		s := &v.Servers[i]
		if s.location.Region == "b" {
			s.Stats.RequestFailed(true, start)
			continue
		}
		for range s.SlotCount() {
			s.Stats.RequestStarted()
		}
	}
	for _, prefix := range []uint64{0, 42} {
		i, ok := Choose(v, ChooseMsg{Service: "model", Domain: "b-1", Prefix: prefix, Rand: 3, Now: start})
		if !ok || v.Servers[i].location.Region == "b" {
			t.Errorf("prefix %d: chosen in %s", prefix, v.Servers[i].Domain)
		}
	}
}

// TestRetriesLeaveTheRegion checks that a request which failed at several servers of its
// region is sent to another region although the remaining servers there report low loads,
// and that it stays while the other regions are full.
func TestRetriesLeaveTheRegion(t *testing.T) {
	for _, full := range []bool{false, true} {
		for _, prefix := range []uint64{0, 42} {
			v := spreadOver(threeRegions(), 4, sixDomains...)
			for i := range v.Servers {
				s := &v.Servers[i]
				for range s.SlotCount() {
					if full && s.location.Region != "b" {
						s.Stats.RequestStarted()
					}
				}
			}
			m := ChooseMsg{Service: "model", Domain: "b-1", Prefix: prefix, Rand: 3, Now: start}
			for try := range 3 {
				i, ok := Choose(v, m)
				if !ok {
					t.Fatal("no server")
				}
				s := &v.Servers[i]
				if across := s.location.Region != "b"; across != (try == regionFailureLimit && !full) {
					t.Errorf("others full %v, prefix %d, attempt %d: chosen in %s", full, prefix, try+1, s.Domain)
				}
				s.Stats.RequestFailed(true, start)
				m.Avoid = append(m.Avoid, s.ID)
			}
		}
	}
}
