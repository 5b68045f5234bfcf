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

// regional returns how a load lies over three regions of two domains each.
func regional(parts map[string]float64, across float64, most int) *regions {
	r := &regions{topology: threeRegions(), parts: parts, across: across, spec: &protocol.ScalingSpec{Max: most}}
	for _, name := range []string{"a-1", "a-2", "b-1", "b-2", "c-1", "c-2"} {
		r.domains = append(r.domains, domainState{name: name, price: 1})
	}
	return r
}

// evenly is the layout that targets gives without regard to regions.
func (r *regions) evenly(need int) []int {
	layout := make([]int, len(r.domains))
	spread(layout, need, r.spec)
	return layout
}

// TestLayoutByCost checks which layout is taken: even over all regions where the way
// across costs less than more servers, as it does by acrossPart, and within the regions
// where it is dear; and that the latter sends nothing across when a domain is lost.
func TestLayoutByCost(t *testing.T) {
	const need = 40
	thirds := map[string]float64{"a": 0.31, "b": 0.4, "c": 0.29}
	skewed := map[string]float64{"a": 0.7, "b": 0.2, "c": 0.1}
	for _, c := range []struct {
		name          string
		parts         map[string]float64
		across        float64
		even          bool
		servers       int
		calm, lostOne float64 // calm and lostOne are the most servers' worth that goes across.
	}{
		{"about even", thirds, acrossPart, true, 60, 0, 6},
		{"about even, the way across dear", thirds, 20, false, 82, 0, 0},
		{"most in one region", skewed, acrossPart, true, 60, 8, 18},
		{"most in one region, the way across not cheap", skewed, 4, false, 68, 0, 14},
		{"most in one region, the way across dear", skewed, 20, false, 96, 0, 0},
	} {
		r := regional(c.parts, c.across, 60)
		even := r.evenly(need)
		got := r.reclaimable(even, need)
		lost := 0.0
		for i := range got {
			without := slices.Clone(got)
			without[i] = 0
			lost = max(lost, r.crossing(without, need))
		}
		calm := r.crossing(got, need)
		t.Logf("%s: %v, %d servers, across %.1f, with a domain lost %.1f", c.name, got, sum(got), calm, lost)
		if slices.Equal(got, even) != c.even || sum(got) != c.servers || calm > c.calm+0.01 || lost > c.lostOne+0.01 {
			t.Errorf("%s: want %d servers, even %v, across at most %.1f and %.1f", c.name, c.servers, c.even, c.calm, c.lostOne)
		}
	}
}

// TestFullWhereItIsShort checks that servers at the full price come into the region that
// lost its reclaimable ones, if no other is much cheaper, and that those which are there
// or on their way stay where they are.
func TestFullWhereItIsShort(t *testing.T) {
	parts := map[string]float64{"a": 0.34, "b": 0.33, "c": 0.33}
	for _, c := range []struct {
		name   string
		price  float64 // price is of the domains of region a; the others cost 1.
		pinned []int
		want   []int // want is what the planner put into the cheapest domains.
		most   int
		inB    int
	}{
		{"a twentieth dearer", 0.95, make([]int, 6), []int{10, 0, 0, 0, 0, 0}, 30, 10},
		{"twice as dear", 0.5, make([]int, 6), []int{10, 0, 0, 0, 0, 0}, 30, 0},
		{"some are on their way", 0.95, []int{4, 0, 0, 0, 0, 0}, []int{10, 0, 0, 0, 0, 0}, 30, 6},
		{"no room", 0.95, make([]int, 6), []int{10, 0, 0, 0, 0, 0}, 3, 6},
	} {
		r := regional(parts, acrossPart, c.most)
		for i := range r.domains {
			switch r.topology.Region(r.domains[i].name) {
			case "a":
				r.domains[i].price, r.domains[i].reclaimable = c.price, min(10, c.most-1)
			case "c":
				r.domains[i].reclaimable = min(10, c.most-1)
			}
		}
		got := r.full(c.want, c.pinned)
		if n := r.sum("b", got); n != c.inB || sum(got) != sum(c.want) {
			t.Errorf("%s: %v, %d in the region that lost its own, want %d", c.name, got, n, c.inB)
		}
	}
}

// TestLayoutsBearLosses checks, for any load, that no layout costs more than the even
// one, that the two fullest domains may be lost wherever they may with the even one, and
// that full keeps the number, the most of a domain and those that are there.
func TestLayoutsBearLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		part := rapid.Float64Range(0.01, 1)
		parts := map[string]float64{"a": part.Draw(t, "a"), "b": part.Draw(t, "b"), "c": part.Draw(t, "c")}
		all := parts["a"] + parts["b"] + parts["c"]
		for region := range parts {
			parts[region] /= all
		}
		r := regional(parts, rapid.Float64Range(0, 40).Draw(t, "across"), rapid.IntRange(4, 40).Draw(t, "most"))
		need := rapid.IntRange(1, 60).Draw(t, "need")
		pinned, want := make([]int, len(r.domains)), make([]int, len(r.domains))
		for i := range r.domains {
			d := &r.domains[i]
			d.price = rapid.Float64Range(0.5, 2).Draw(t, "price")
			d.reclaimable = rapid.IntRange(0, r.spec.Max).Draw(t, "reclaimable")
			want[i] = rapid.IntRange(0, r.spec.Max-d.reclaimable).Draw(t, "want")
			pinned[i] = rapid.IntRange(0, r.spec.Max).Draw(t, "pinned")
		}
		even := r.evenly(need)
		got := r.reclaimable(even, need)
		if r.cost(got, need) > r.cost(even, need) {
			t.Fatalf("%v costs more than %v", got, even)
		}
		if bears(even, need) && !bears(got, need) {
			t.Fatalf("%v does not bear the loss of two domains, %v does", got, even)
		}
		full := r.full(want, pinned)
		if sum(full) != sum(want) {
			t.Fatalf("%v placed of %v", full, want)
		}
		for i, d := range r.domains {
			if full[i] < min(want[i], pinned[i]) || full[i]+d.reclaimable > r.spec.Max {
				t.Fatalf("domain %d has %d of %v, pinned %d, at most %d beside %d", i, full[i], want, pinned[i], r.spec.Max, d.reclaimable)
			}
		}
	})
}

func bears(layout []int, need int) bool { return remaining(layout) >= need }

// TestOneRegionPlansAsBefore checks that a planner gives the same orders with no
// regions, one region, or no word of where the load arises.
func TestOneRegionPlansAsBefore(t *testing.T) {
	one := topology.New(map[string]string{"a": "x", "b": "x", "c": "x", "d": "x"})
	two := topology.New(map[string]string{"a": "x", "b": "x", "c": "y", "d": "y"})
	parts := map[string]float64{"x": 9, "y": 1}
	w := &world{counts: map[Order]int{{Service: "model", Domain: "a"}: 5, {Service: "model", Domain: "b"}: 4}}
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

// TestLostDomainIsMadeUpNear plays the loss of a region's reclaimable servers while
// none are to be had, with the region's domains a twentieth dearer, and checks that those at
// the full price come into it. By price alone all came into the cheapest domains of
// the other regions, and a third of the load went across.
func TestLostDomainIsMadeUpNear(t *testing.T) {
	s := Service{Spec: &protocol.ServiceSpec{Name: "model", Slots: 16, Scaling: &protocol.ScalingSpec{
		Max: 30, DomainPrices: map[string]float64{"a-1": 0.95, "a-2": 0.95, "b-1": 1, "b-2": 1, "c-1": 0.95, "c-2": 0.95},
	}}, InitialServers: 40, BegunAnswers: 1, Running: 200, RunningByRegion: map[string]float64{"a": 1, "b": 1, "c": 1}}
	regions := threeRegions()
	for _, c := range []struct {
		name string
		opts []PlannerOption
		near bool
	}{{"by price", nil, false}, {"by need", []PlannerOption{WithTopology(regions)}, true}} {
		w := &world{counts: map[Order]int{}}
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
		w.dry = true
		run(20)
		near, full := 0, w.total(false)
		for key, n := range w.counts {
			if !key.Reclaimable && regions.Region(key.Domain) == "b" {
				near += n
			}
		}
		t.Logf("%s: %d of %d at the full price in the region that lost its own", c.name, near, full)
		if full == 0 || (near > full/2) != c.near {
			t.Errorf("%s: %d of %d are near", c.name, near, full)
		}
	}
}

// TestCappedLayoutBearsLosses checks, for any number of servers at the full price that
// are in the way, that the layout that is taken bears the loss of two domains as far as
// the even one does.
func TestCappedLayoutBearsLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		part := rapid.Float64Range(0.01, 1)
		r := regional(map[string]float64{"a": part.Draw(t, "a"), "b": part.Draw(t, "b"), "c": part.Draw(t, "c")},
			rapid.SampledFrom([]float64{0, acrossPart, 4, 20}).Draw(t, "across"), rapid.IntRange(4, 40).Draw(t, "most"))
		all := r.parts["a"] + r.parts["b"] + r.parts["c"]
		for region := range r.parts {
			r.parts[region] /= all
		}
		for i := range r.domains {
			r.domains[i].full = rapid.IntRange(0, r.spec.Max).Draw(t, "full")
			r.domains[i].price = rapid.Float64Range(0.5, 2).Draw(t, "price")
		}
		need := rapid.IntRange(1, 60).Draw(t, "need")
		even := r.evenly(need)
		for i, d := range r.domains {
			even[i] = min(even[i], max(0, r.spec.Max-d.full))
		}
		got := r.reclaimable(even, need)
		if remaining(got) < min(need, remaining(even)) {
			t.Fatalf("%v keeps %d of %d without two domains, %v keeps %d", got, remaining(got), need, even, remaining(even))
		}
	})
}

// TestServersOnTheirWayStay checks that servers at the full price that were ordered into
// a region stay when the load moves to another one before they are there: the planner
// would have two regions start them.
func TestServersOnTheirWayStay(t *testing.T) {
	r := regional(map[string]float64{"a": 0.2, "b": 0.2, "c": 0.6}, acrossPart, 30)
	want, pinned := []int{10, 0, 0, 0, 0, 0}, []int{0, 0, 7, 0, 0, 0} // Seven are on their way to b-1.
	if got := r.full(want, pinned); got[2] != 7 || sum(got) != 10 {
		t.Errorf("%v, want 7 in b-1 of 10", got)
	}
}

// TestMovedLoadOrdersNoMore checks that no servers at the full price are ordered in
// another region when the load moves there before those that were ordered are there.
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
		t.Fatalf("ordered %v, want some in region b alone", first)
	}
	if moved := full(map[string]float64{"c": 1}, start.Add(unfilledAfter-settle)); len(moved) != 0 {
		t.Errorf("ordered %v beside %v", moved, first)
	}
}

// TestLeastNumberStays checks that no domain is left with fewer servers than its least
// number, wherever the load is.
func TestLeastNumberStays(t *testing.T) {
	for _, load := range []map[string]float64{{"a": 1}, {"b": 1}, {"a": 0.2, "b": 0.2, "c": 0.6}} {
		r := regional(load, acrossPart, 30)
		r.spec.Min = 2
		r.domains[3].reclaimable = 1
		want := []int{8, 2, 2, 1, 2, 2} // Six are to be added wherever they are needed.
		got := r.full(want, make([]int, 6))
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

// TestPartsAreSteady checks that the regions' parts of the load, which layouts follow,
// hold still while reports vary from one look to the next, follow a load that moves, and
// forget the first reports of a term, which are not of all gateways, at once.
func TestPartsAreSteady(t *testing.T) {
	p, now := New(WithTopology(threeRegions())), start
	s := Service{Spec: &protocol.ServiceSpec{Name: "model", Slots: 16, Scaling: &protocol.ScalingSpec{
		Max: 30, DomainPrices: map[string]float64{"a-1": 1, "b-1": 1},
	}}, InitialServers: 20}
	domains := survey(s.Spec, nil)
	look := func(a, b float64) float64 {
		s.Running, s.RunningByRegion = a+b, map[string]float64{"a": a, "b": b}
		p.Plan(PlanMsg{Services: []Service{s}, Now: now})
		part := p.regions(&s, domains, now).parts["a"]
		now = now.Add(500 * time.Millisecond)
		return part
	}
	look(10, 0) // One gateway has reported.
	if part := look(40, 60); part != 0.4 {
		t.Errorf("the second report makes it %v, want 0.4", part)
	}
	least, most := 1.0, 0.0
	for i := range 80 {
		part := look(40+20*float64(i%2), 60-20*float64(i%2))
		if i >= 40 {
			least, most = min(least, part), max(most, part)
		}
	}
	if most-least > 0.02 {
		t.Errorf("a part that is 0.4 and 0.6 in turn varies from %v to %v", least, most)
	}
	for range 3 * partsMemory / (500 * time.Millisecond) {
		look(90, 10)
	}
	if part := look(90, 10); part < 0.85 {
		t.Errorf("a part that moved to 0.9 is taken for %v after three times its memory", part)
	}
}

// TestRegionsOfFewDomains checks that a service is planned for which has servers in no domain yet,
// or in one alone, though its load arises in several regions.
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
