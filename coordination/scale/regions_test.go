package scale

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/weldstream/weldstream/coordination/topology"
	"github.com/weldstream/weldstream/protocol"
)

func threeRegions() *topology.Topology {
	return topology.New(map[string]string{"a-1": "a", "a-2": "a", "b-1": "b", "b-2": "b", "c-1": "c", "c-2": "c"})
}

// threeRegionPlanner returns a planner for a load over three regions of two domains each.
func threeRegionPlanner(shares map[string]float64, crossCost float64, limit int) *regionPlanner {
	r := &regionPlanner{topology: threeRegions(), shares: shares, crossCost: crossCost, spec: &protocol.ScalingSpec{Max: limit}}
	for _, name := range []string{"a-1", "a-2", "b-1", "b-2", "c-1", "c-2"} {
		r.domains = append(r.domains, domainState{name: name, price: 1})
	}
	return r
}

// evenLayout is the layout that targets computes, which ignores regions.
func (r *regionPlanner) evenLayout(need int) []int {
	layout := make([]int, len(r.domains))
	spreadReclaimable(layout, need, r.spec)
	return layout
}

// TestLayoutByCost checks which layout is chosen: the even one where cross-region requests
// cost less than more servers, as with crossRegionCost, and one by region where they are
// expensive. The latter must send nothing to other regions when a domain is lost.
func TestLayoutByCost(t *testing.T) {
	const need = 40
	balanced := map[string]float64{"a": 0.31, "b": 0.4, "c": 0.29}
	skewed := map[string]float64{"a": 0.7, "b": 0.2, "c": 0.1}
	for _, c := range []struct {
		name              string
		shares            map[string]float64
		crossCost         float64
		even              bool
		servers           int
		noneLost, lostOne float64 // noneLost and lostOne limit the cross-region load, without and with a lost domain.
	}{
		{"balanced", balanced, crossRegionCost, true, 60, 0, 6},
		{"balanced, cross-region traffic expensive", balanced, 20, false, 82, 0, 0},
		{"most in one region", skewed, crossRegionCost, true, 60, 8, 18},
		{"most in one region, cross-region traffic moderately expensive", skewed, 4, false, 68, 0, 14},
		{"most in one region, cross-region traffic expensive", skewed, 20, false, 96, 0, 0},
	} {
		r := threeRegionPlanner(c.shares, c.crossCost, 60)
		even := r.evenLayout(need)
		got := r.layoutReclaimable(even, need)
		lost := 0.0
		for i := range got {
			without := slices.Clone(got)
			without[i] = 0
			lost = max(lost, r.crossRegionServers(without, need))
		}
		calm := r.crossRegionServers(got, need)
		t.Logf("%s: %v, %d servers, cross-region load %.1f, with a lost domain %.1f", c.name, got, sum(got), calm, lost)
		if slices.Equal(got, even) != c.even || sum(got) != c.servers || calm > c.noneLost+0.01 || lost > c.lostOne+0.01 {
			t.Errorf("%s: want %d servers, even %v, cross-region load at most %.1f and %.1f", c.name, c.servers, c.even, c.noneLost, c.lostOne)
		}
	}
}

// TestFullPriceInShortRegion checks that full-price servers are placed in the region that lost
// its reclaimable ones unless another region is much cheaper, and that existing and ordered
// servers stay where they are.
func TestFullPriceInShortRegion(t *testing.T) {
	parts := map[string]float64{"a": 0.34, "b": 0.33, "c": 0.33}
	for _, c := range []struct {
		name      string
		price     float64 // price is that of the domains of region a; the others cost 1.
		committed []int
		want      []int // want is the layout without regions, in the cheapest domains.
		limit     int
		inB       int
	}{
		{"others a twentieth more expensive", 0.95, make([]int, 6), []int{10, 0, 0, 0, 0, 0}, 30, 10},
		{"others twice as expensive", 0.5, make([]int, 6), []int{10, 0, 0, 0, 0, 0}, 30, 0},
		{"four already ordered", 0.95, []int{4, 0, 0, 0, 0, 0}, []int{10, 0, 0, 0, 0, 0}, 30, 6},
		{"no room", 0.95, make([]int, 6), []int{10, 0, 0, 0, 0, 0}, 3, 6},
	} {
		r := threeRegionPlanner(parts, crossRegionCost, c.limit)
		for i := range r.domains {
			switch r.topology.Region(r.domains[i].name) {
			case "a":
				r.domains[i].price, r.domains[i].reclaimable = c.price, min(10, c.limit-1)
			case "c":
				r.domains[i].reclaimable = min(10, c.limit-1)
			}
		}
		got := r.placeFullPrice(c.want, c.committed)
		if n := r.regionTotal("b", got); n != c.inB || sum(got) != sum(c.want) {
			t.Errorf("%s: %v, %d in the region that lost its servers, want %d", c.name, got, n, c.inB)
		}
	}
}

// TestLayoutsTolerateLosses checks for any load that no layout costs more than the even one,
// that it tolerates the loss of the two fullest domains if the even one does, and that
// placeFullPrice keeps the total, the maximum of each domain and the committed servers.
func TestLayoutsTolerateLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		part := rapid.Float64Range(0.01, 1)
		parts := map[string]float64{"a": part.Draw(t, "a"), "b": part.Draw(t, "b"), "c": part.Draw(t, "c")}
		all := parts["a"] + parts["b"] + parts["c"]
		for region := range parts {
			parts[region] /= all
		}
		r := threeRegionPlanner(parts, rapid.Float64Range(0, 40).Draw(t, "cross cost"), rapid.IntRange(4, 40).Draw(t, "limit"))
		need := rapid.IntRange(1, 60).Draw(t, "need")
		committed, want := make([]int, len(r.domains)), make([]int, len(r.domains))
		for i := range r.domains {
			d := &r.domains[i]
			d.price = rapid.Float64Range(0.5, 2).Draw(t, "price")
			d.reclaimable = rapid.IntRange(0, r.spec.Max).Draw(t, "reclaimable")
			want[i] = rapid.IntRange(0, r.spec.Max-d.reclaimable).Draw(t, "want")
			committed[i] = rapid.IntRange(0, r.spec.Max).Draw(t, "committed")
		}
		even := r.evenLayout(need)
		got := r.layoutReclaimable(even, need)
		if r.cost(got, need) > r.cost(even, need) {
			t.Fatalf("%v costs more than %v", got, even)
		}
		if toleratesLosses(even, need) && !toleratesLosses(got, need) {
			t.Fatalf("%v does not tolerate the loss of two domains, %v does", got, even)
		}
		full := r.placeFullPrice(want, committed)
		if sum(full) != sum(want) {
			t.Fatalf("placed %v of %v", full, want)
		}
		for i, d := range r.domains {
			if full[i] < min(want[i], committed[i]) || full[i]+d.reclaimable > r.spec.Max {
				t.Fatalf("domain %d has %d of %v, committed %d, maximum %d with %d reclaimable", i, full[i], want, committed[i], r.spec.Max, d.reclaimable)
			}
		}
	})
}

func toleratesLosses(layout []int, need int) bool { return remaining(layout) >= need }

// TestSingleRegionPlan checks that a planner gives the same orders without regions,
// with one region, and without a load by region.
func TestSingleRegionPlan(t *testing.T) {
	one := topology.New(map[string]string{"a": "x", "b": "x", "c": "x", "d": "x"})
	two := topology.New(map[string]string{"a": "x", "b": "x", "c": "y", "d": "y"})
	parts := map[string]float64{"x": 9, "y": 1}
	w := &fakePlatform{counts: map[Order]int{{Service: "model", Domain: "a"}: 5, {Service: "model", Domain: "b"}: 4}}
	plan := func(regions map[string]float64, opts ...PlannerOption) []Order {
		s := Service{Spec: spec(), InitialServers: 20, RunningByRegion: regions}
		return New(opts...).Plan(PlanMsg{Services: []Service{s}, Servers: w.list(), Now: start})
	}
	want := plan(nil)
	for name, got := range map[string][]Order{
		"no regions": plan(parts), "one region": plan(parts, WithTopology(one)), "no load": plan(nil, WithTopology(two)),
	} {
		if !slices.Equal(got, want) {
			t.Errorf("%s: %v, want %v", name, got, want)
		}
	}
}

// TestLostDomainIsReplacedInRegion simulates the loss of a region's reclaimable servers while
// none are available and the region's domains cost a twentieth more. Full-price servers
// must be placed in that region. Placed by price alone, all of them went to the cheapest
// domains of the other regions, and a third of the load crossed regions.
func TestLostDomainIsReplacedInRegion(t *testing.T) {
	s := Service{Spec: &protocol.ServiceSpec{Name: "model", Slots: 16, Scaling: &protocol.ScalingSpec{
		Max: 30, DomainPrices: map[string]float64{"a-1": 0.95, "a-2": 0.95, "b-1": 1, "b-2": 1, "c-1": 0.95, "c-2": 0.95},
	}}, InitialServers: 40, BegunAnswers: 1, Running: 200, RunningByRegion: map[string]float64{"a": 1, "b": 1, "c": 1}}
	regions := threeRegions()
	for _, c := range []struct {
		name string
		opts []PlannerOption
		near bool
	}{{"by price", nil, false}, {"by need", []PlannerOption{WithTopology(regions)}, true}} {
		w := &fakePlatform{counts: map[Order]int{}}
		p, now := New(c.opts...), start
		run := func(steps int) {
			for range steps {
				w.step(p, s, now)
				now = now.Add(500 * time.Millisecond)
			}
		}
		run(40)
		for key := range w.counts {
			if regions.Region(key.Domain) == "b" {
				w.counts[key] = 0
			}
		}
		w.exhausted = true
		run(20)
		near, full := 0, w.total(false)
		for key, n := range w.counts {
			if !key.Reclaimable && regions.Region(key.Domain) == "b" {
				near += n
			}
		}
		t.Logf("%s: %d of %d full-price servers in the region that lost its servers", c.name, near, full)
		if full == 0 || (near > full/2) != c.near {
			t.Errorf("%s: %d of %d full-price servers in the region that lost its servers", c.name, near, full)
		}
	}
}

// TestCappedLayoutToleratesLosses checks for any number of full-price servers that take up room
// that the chosen layout tolerates the loss of two domains as far as the even one does.
func TestCappedLayoutToleratesLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		part := rapid.Float64Range(0.01, 1)
		r := threeRegionPlanner(map[string]float64{"a": part.Draw(t, "a"), "b": part.Draw(t, "b"), "c": part.Draw(t, "c")},
			rapid.SampledFrom([]float64{0, crossRegionCost, 4, 20}).Draw(t, "cross cost"), rapid.IntRange(4, 40).Draw(t, "limit"))
		all := r.shares["a"] + r.shares["b"] + r.shares["c"]
		for region := range r.shares {
			r.shares[region] /= all
		}
		for i := range r.domains {
			r.domains[i].fullPrice = rapid.IntRange(0, r.spec.Max).Draw(t, "full")
			r.domains[i].price = rapid.Float64Range(0.5, 2).Draw(t, "price")
		}
		need := rapid.IntRange(1, 60).Draw(t, "need")
		even := r.evenLayout(need)
		for i, d := range r.domains {
			even[i] = min(even[i], max(0, r.spec.Max-d.fullPrice))
		}
		got := r.layoutReclaimable(even, need)
		if remaining(got) < min(need, remaining(even)) {
			t.Fatalf("%v keeps %d of %d servers without two domains, %v keeps %d", got, remaining(got), need, even, remaining(even))
		}
	})
}

// TestOrderedServersStay checks that full-price servers ordered in a region stay when
// the load moves to another one before they have started. Otherwise the planner would start
// them in both regions.
func TestOrderedServersStay(t *testing.T) {
	r := threeRegionPlanner(map[string]float64{"a": 0.2, "b": 0.2, "c": 0.6}, crossRegionCost, 30)
	want, committed := []int{10, 0, 0, 0, 0, 0}, []int{0, 0, 7, 0, 0, 0} // Seven are ordered in b-1.
	if got := r.placeFullPrice(want, committed); got[2] != 7 || sum(got) != 10 {
		t.Errorf("%v, want 7 in b-1 of 10", got)
	}
}

// TestMovedLoadOrdersNoMore checks that no full-price servers are ordered in another region
// when the load moves there before the ordered ones have started.
func TestMovedLoadOrdersNoMore(t *testing.T) {
	s := Service{Spec: &protocol.ServiceSpec{Name: "model", Slots: 16, Scaling: &protocol.ScalingSpec{
		Max: 30, DomainPrices: map[string]float64{"a-1": 1, "a-2": 1, "b-1": 1, "b-2": 1, "c-1": 1, "c-2": 1},
	}}, InitialServers: 20, BegunAnswers: 1, Running: 100}
	p := New(WithTopology(threeRegions()))
	full := func(load map[string]float64, now time.Time) map[string]int {
		s.RunningByRegion = load
		counts := map[string]int{}
		for _, o := range p.Plan(PlanMsg{Services: []Service{s}, Now: now}) {
			if !o.Reclaimable {
				counts[o.Domain] += o.Count
			}
			p.RecordOrder(o, true, now)
		}
		return counts
	}
	first := full(map[string]float64{"b": 1}, start)
	if n := first["b-1"] + first["b-2"]; n == 0 || len(first) != 1 {
		t.Fatalf("ordered %v, want some, in region b only", first)
	}
	if moved := full(map[string]float64{"c": 1}, start.Add(reorderAfter-settleTime)); len(moved) != 0 {
		t.Errorf("ordered %v in addition to %v", moved, first)
	}
}

// TestRegionsKeepMinimum checks that no domain falls below its minimum number of servers,
// wherever the load is.
func TestRegionsKeepMinimum(t *testing.T) {
	for _, load := range []map[string]float64{{"a": 1}, {"b": 1}, {"a": 0.2, "b": 0.2, "c": 0.6}} {
		r := threeRegionPlanner(load, crossRegionCost, 30)
		r.spec.Min = 2
		r.domains[3].reclaimable = 1
		want := []int{8, 2, 2, 1, 2, 2} // Six are to be added wherever they are needed.
		got := r.placeFullPrice(want, make([]int, 6))
		if sum(got) != sum(want) {
			t.Errorf("%v: %v, want %d", load, got, sum(want))
		}
		for i, d := range r.domains {
			if got[i]+d.reclaimable < r.spec.Min {
				t.Errorf("%v: %v leaves %s with fewer than %d", load, got, d.name, r.spec.Min)
			}
		}
	}
}

// TestRegionSharesAreStable checks that the regions' shares of the load, which determine the
// layouts, are stable while reports vary, follow a load that moves, and quickly replace the
// first reports of a term, which do not cover all gateways.
func TestRegionSharesAreStable(t *testing.T) {
	p, now := New(WithTopology(threeRegions())), start
	s := Service{Spec: &protocol.ServiceSpec{Name: "model", Slots: 16, Scaling: &protocol.ScalingSpec{
		Max: 30, DomainPrices: map[string]float64{"a-1": 1, "b-1": 1},
	}}, InitialServers: 20}
	domains := domainStates(s.Spec, nil)
	look := func(a, b float64) float64 {
		s.Running, s.RunningByRegion = a+b, map[string]float64{"a": a, "b": b}
		p.Plan(PlanMsg{Services: []Service{s}, Now: now})
		part := p.newRegionPlanner(&s, domains, now).shares["a"]
		now = now.Add(500 * time.Millisecond)
		return part
	}
	look(10, 0) // One gateway has reported.
	if part := look(40, 60); part != 0.4 {
		t.Errorf("share %v after the second report, want 0.4", part)
	}
	least, most := 1.0, 0.0
	for i := range 80 {
		part := look(40+20*float64(i%2), 60-20*float64(i%2))
		if i >= 40 {
			least, most = min(least, part), max(most, part)
		}
	}
	if most-least > 0.02 {
		t.Errorf("share alternating between 0.4 and 0.6: average varies from %v to %v", least, most)
	}
	for range 3 * shareWindow / (500 * time.Millisecond) {
		look(90, 10)
	}
	if part := look(90, 10); part < 0.85 {
		t.Errorf("share that moved to 0.9: average %v after three times shareWindow", part)
	}
}

// TestRegionsOfFewDomains checks that a service can be planned that has a load in several
// regions, but domains in none of them, or only one domain.
func TestRegionsOfFewDomains(t *testing.T) {
	for _, prices := range []map[string]float64{nil, {"a-1": 1}, {"a-1": 1, "b-1": 1}, {"d": 1}} {
		p := New(WithTopology(threeRegions()))
		s := Service{Spec: &protocol.ServiceSpec{Name: "model", Slots: 16, Scaling: &protocol.ScalingSpec{Max: 30, DomainPrices: prices}},
			InitialServers: 10, Running: 50, BegunAnswers: 1, RunningByRegion: map[string]float64{"a": 1, "b": 3}}
		if orders := p.Plan(PlanMsg{Services: []Service{s}, Now: start}); (len(orders) > 0) != (len(prices) > 0) {
			t.Errorf("%v: ordered %v", prices, orders)
		}
	}
}
