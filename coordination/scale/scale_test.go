package scale

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/weldstream/weldstream/internal/testseed" // Fixes the seed.
	"github.com/weldstream/weldstream/protocol"
)

var start = time.Unix(1_700_000_000, 0)

func spec() *protocol.ServiceSpec {
	return &protocol.ServiceSpec{Name: "model", Slots: 16, Scaling: &protocol.ScalingSpec{
		Min: 1, Max: 10, DomainPrices: map[string]float64{"a": 1, "b": 0.8, "c": 1.25, "d": 0.9},
	}}
}

// fakePlatform carries out orders.
type fakePlatform struct {
	counts      map[Order]int // counts are indexed by an Order with Count 0.
	exhausted   bool          // exhausted refuses additional reclaimable servers.
	domainLimit int           // domainLimit is the maximum of both kinds in a domain; 0 for none.
}

func (w *fakePlatform) list() []protocol.Instance {
	var list []protocol.Instance
	for key, n := range w.counts {
		for i := range n {
			in := protocol.Instance{ID: fmt.Sprintf("%v-%d", key, i), Service: key.Service, Domain: key.Domain, Slots: 16}
			if key.Reclaimable {
				in.Market = MarketReclaimable
			}
			list = append(list, in)
		}
	}
	return list
}

// step plans once and carries out the orders.
func (w *fakePlatform) step(p *Planner, s Service, now time.Time) {
	for _, o := range p.Plan(PlanMsg{Services: []Service{s}, Servers: w.list(), Now: now}) {
		key := o
		key.Count = 0
		taken := !w.exhausted || !o.Reclaimable || o.Count <= w.counts[key]
		if taken {
			w.counts[key] = w.filledCount(o)
		}
		p.RecordOrder(o, taken, now)
	}
}

// filledCount returns how many servers an order results in: domainLimit applies to both
// kinds together.
func (w *fakePlatform) filledCount(o Order) int {
	if w.domainLimit == 0 {
		return o.Count
	}
	other := Order{Service: o.Service, Domain: o.Domain, Reclaimable: !o.Reclaimable}
	return min(o.Count, max(0, w.domainLimit-w.counts[other]))
}

func (w *fakePlatform) total(reclaimable bool) int {
	n := 0
	for key, count := range w.counts {
		if key.Reclaimable == reclaimable {
			n += count
		}
	}
	return n
}

// TestReclaimableReplaceFullPrice checks that reclaimable servers replace full-price ones, and that
// enough are left when two domains lose theirs.
func TestReclaimableReplaceFullPrice(t *testing.T) {
	w := &fakePlatform{counts: map[Order]int{{Service: "model", Domain: "a"}: 5, {Service: "model", Domain: "b"}: 4}}
	p, now := New(), start
	s := Service{Spec: spec(), InitialServers: 9}
	for range 40 {
		w.step(p, s, now)
		now = now.Add(500 * time.Millisecond)
	}
	if n := w.total(false); n != 0 {
		t.Errorf("%d full-price servers are left", n)
	}
	most := 0
	for _, n := range w.counts {
		most = max(most, n)
	}
	if left := w.total(true) - 2*most; left < 6 {
		t.Errorf("%d of %d servers are left without two domains", left, w.total(true))
	}
}

// TestNeedFollowsRunningRequests checks a fleet with far more servers than concurrent
// requests, whose initial size therefore says little about its need. At any size, the
// planner must keep a server for each running request even without two domains, remove the
// rest, not react to the first requests, and follow a burst at once.
func TestNeedFollowsRunningRequests(t *testing.T) {
	for _, size := range []int{300, 2930, 5860} {
		w := &fakePlatform{counts: map[Order]int{}}
		spec := &protocol.ServiceSpec{Name: "model", Slots: 12, Scaling: &protocol.ScalingSpec{Min: 1, Max: size, DomainPrices: map[string]float64{}}}
		for _, domain := range []string{"a", "b", "c", "d", "e", "f"} {
			spec.Scaling.DomainPrices[domain] = 1
			w.counts[Order{Service: "model", Domain: domain}] = size / 6
		}
		p, now := New(), start
		s := Service{Spec: spec, InitialServers: size}
		pass := func(d time.Duration, work float64) {
			for end := now.Add(d); now.Before(end); now = now.Add(250 * time.Millisecond) {
				s.Running = work
				s.BegunAnswers += int64(work / 4)
				w.step(p, s, now)
			}
		}
		without := func() int {
			most := 0
			for key, n := range w.counts {
				if key.Reclaimable {
					most = max(most, n)
				}
			}
			return w.total(true) - toleratedDomainLosses*most
		}
		running := float64(size) / 7
		pass(20*time.Second, 0)
		idle := w.total(true)
		pass(5*time.Second, running/5) // A fraction of the load to come.
		if n := w.total(true); n < idle*9/10 {
			t.Errorf("%d servers: %d of %d are left after the first requests", size, n, idle)
		}
		pass(20*time.Second, running)
		if n, most := w.total(true), int(1.5*(serversPerRequest*running+extraServers))+6; n > most || without() < int(running) {
			t.Errorf("%d servers: kept %d for %.0f running requests, %d without two domains; want at most %d", size, n, running, without(), most)
		}
		if n := w.total(false); n > 0 {
			t.Errorf("%d servers: %d full-price servers are left that the load does not need", size, n)
		}
		pass(3*time.Second, 2*running)
		if without() < int(2*running) {
			t.Errorf("%d servers: after a burst, %d without two domains for %.0f running requests", size, without(), 2*running)
		}
	}
}

// TestReclaimWithoutReplacements checks that full-price servers are ordered when all
// reclaimable ones are taken away and no others are available. Counting the ordered
// reclaimable servers towards a domain's maximum once left the service without any.
func TestReclaimWithoutReplacements(t *testing.T) {
	w := &fakePlatform{counts: map[Order]int{{Service: "model", Domain: "a"}: 9}}
	p, now := New(), start
	s := Service{Spec: spec(), InitialServers: 24}
	for range 40 {
		w.step(p, s, now)
		now = now.Add(500 * time.Millisecond)
	}
	for key := range w.counts {
		if key.Reclaimable {
			w.counts[key] = 0
		}
	}
	w.exhausted = true
	for range 20 {
		w.step(p, s, now)
		now = now.Add(500 * time.Millisecond)
	}
	if n := w.total(false); n < 17 {
		t.Errorf("%d of 24 servers are running, want at least 17", n)
	}
}

// TestOrderIsFilledUp checks that a domain whose full-price servers left no room for all
// reclaimable ones receives the rest after they are gone.
func TestOrderIsFilledUp(t *testing.T) {
	w := &fakePlatform{counts: map[Order]int{}, domainLimit: 10}
	for _, d := range []string{"a", "b", "c", "d"} {
		w.counts[Order{Service: "model", Domain: d}] = 6
	}
	p, now := New(), start
	s := Service{Spec: spec(), InitialServers: 24} // 18 are needed, without any two domains.
	for range 40 {
		w.step(p, s, now)
		now = now.Add(500 * time.Millisecond)
	}
	for _, d := range []string{"a", "b", "c", "d"} {
		if n := w.counts[Order{Service: "model", Domain: d, Reclaimable: true}]; n < 9 {
			t.Errorf("%s has %d reclaimable servers", d, n)
		}
	}
}

// TestFurtherLossIsTolerated checks that, while no reclaimable servers are available, enough
// full-price ones are running for the loss of the fullest domain's reclaimable servers.
func TestFurtherLossIsTolerated(t *testing.T) {
	w := &fakePlatform{counts: map[Order]int{{Service: "model", Domain: "a"}: 9}}
	p, now := New(), start
	s := Service{Spec: spec(), InitialServers: 16}
	run := func(steps int) {
		for range steps {
			w.step(p, s, now)
			now = now.Add(500 * time.Millisecond)
		}
	}
	run(40)
	w.exhausted = true
	for _, lost := range []string{"a", "b", "c"} {
		w.counts[Order{Service: "model", Domain: lost, Reclaimable: true}] = 0
		if n := w.total(true) + w.total(false); n < 11 {
			t.Errorf("%d servers are left when %s loses its reclaimable servers", n, lost)
		}
		run(8)
	}
}

// TestThreeDomainsLostTogether simulates the worst case: one domain loses its reclaimable
// servers, none are available from then on, and five seconds later the three others follow
// within a second, which is faster than any server starts. The minimum that the service
// needs must be running within the start time of a server.
func TestThreeDomainsLostTogether(t *testing.T) {
	w := &fakePlatform{counts: map[Order]int{}, domainLimit: 56}
	for _, d := range []string{"a", "b", "c", "d"} {
		w.counts[Order{Service: "model", Domain: d}] = 28
	}
	p, now := New(), start
	s := Service{Spec: spec(), InitialServers: 112}
	s.Spec.Scaling.Max = 56
	run := func(steps int) {
		for range steps {
			w.step(p, s, now)
			now = now.Add(500 * time.Millisecond)
		}
	}
	lose := func(domain string) { w.counts[Order{Service: "model", Domain: domain, Reclaimable: true}] = 0 }
	run(40)
	w.exhausted = true
	lose("d")
	run(10)
	lose("a")
	lose("b")
	if n := w.total(true) + w.total(false); n < 78 {
		t.Errorf("%d servers are left after the loss of two more domains, want at least 78", n)
	}
	lose("c")
	if n := w.total(false); n < 36 {
		t.Errorf("%d full-price servers are running after the loss of all domains, want at least 36", n)
	}
}

// TestIdleServiceSwitchesToReclaimable checks that full-price servers of an idle service
// are removed, down to the minimum, as soon as reclaimable ones are ordered, and that they
// stay until these are running if the service has received requests. Ordered servers that
// do not appear count for a limited time only.
func TestIdleServiceSwitchesToReclaimable(t *testing.T) {
	full := func() []protocol.Instance {
		w := &fakePlatform{counts: map[Order]int{{Service: "model", Domain: "a"}: 5, {Service: "model", Domain: "b"}: 4}}
		return w.list()
	}()
	for name, c := range map[string]struct {
		begun int64
		after time.Duration
		gives bool
	}{
		"no requests yet":       {0, settleTime, true},
		"one request":           {1, settleTime, false},
		"servers do not appear": {0, reorderAfter, false},
	} {
		p := New()
		s := Service{Spec: spec(), InitialServers: 9, BegunAnswers: c.begun}
		m := PlanMsg{Services: []Service{s}, Servers: full, Now: start}
		for _, o := range p.Plan(m) {
			if o.Reclaimable {
				p.RecordOrder(o, true, start)
			}
		}
		m.Now = start.Add(c.after)
		gives := false
		for _, o := range p.Plan(m) {
			gives = gives || (!o.Reclaimable && o.Domain == "a" && o.Count < 5)
		}
		if gives != c.gives {
			t.Errorf("%s: full-price servers are removed: %v", name, gives)
		}
	}
}

// TestOrdersStayWithinBounds checks that no order is below or above the operators' limits,
// for any load and list.
func TestOrdersStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &fakePlatform{counts: map[Order]int{}}
		for _, d := range []string{"a", "b", "c", "d"} {
			w.counts[Order{Service: "model", Domain: d}] = rapid.IntRange(0, 5).Draw(t, "full")
		}
		p, now := New(), start
		s := Service{Spec: spec(), InitialServers: rapid.IntRange(1, 30).Draw(t, "initial servers")}
		for range 60 {
			now = now.Add(time.Duration(rapid.IntRange(50, 2000).Draw(t, "pause")) * time.Millisecond)
			s.Running = rapid.Float64Range(0, 600).Draw(t, "running")
			s.BegunAnswers += 50
			s.SlowAnswers += int64(rapid.IntRange(0, 20).Draw(t, "slow"))
			w.exhausted = rapid.Bool().Draw(t, "exhausted")
			for _, o := range p.Plan(PlanMsg{Services: []Service{s}, Servers: w.list(), Now: now}) {
				if o.Count < 0 || o.Count > s.Spec.Scaling.Max {
					t.Fatalf("order %+v", o)
				}
				p.RecordOrder(o, !w.exhausted, now)
			}
		}
	})
}

// TestSlowAnswersRaiseNeed checks that the need rises and falls with the fraction of slow
// answers.
func TestSlowAnswersRaiseNeed(t *testing.T) {
	s := Service{Spec: spec(), InitialServers: 8}
	l := newLoad(&s, start)
	now := start
	feed := func(slow int64) {
		for range 20 {
			now = now.Add(evaluationInterval)
			s.BegunAnswers, s.SlowAnswers = s.BegunAnswers+100, s.SlowAnswers+slow
			l.observe(&s, now)
		}
	}
	feed(20)
	if l.needFactor <= 1.3 {
		t.Errorf("factor %.2f with a fifth of the answers slow, want above 1.3", l.needFactor)
	}
	high := l.needFactor
	feed(0)
	if l.needFactor >= high {
		t.Errorf("factor %.2f without slow answers, want it to fall", l.needFactor)
	}
}

// TestFewDomains checks that a service in one or two failure domains is not scaled up to
// its maximum: without a third domain to fall back on, each domain holds as many servers as
// are needed.
func TestFewDomains(t *testing.T) {
	for domains, most := range map[int]int{1: 7, 2: 14, 3: 21} {
		dst := make([]int, domains)
		spreadReclaimable(dst, 7, &protocol.ScalingSpec{Min: 1, Max: 100})
		if total := sum(dst); total > most || total < 7 {
			t.Errorf("%d domains: %v for a need of 7", domains, dst)
		}
	}
}

// TestOrdersPause checks how long an order waits for the previous one, and that an accepted
// order is repeated only if its servers did not appear.
func TestOrdersPause(t *testing.T) {
	for name, c := range map[string]struct {
		have, last, want int
		taken            bool
		pause            time.Duration
	}{
		"refused": {0, 5, 5, false, refusalPause},
		"more":    {0, 3, 5, true, settleTime},
		"fewer":   {0, 5, 3, true, shrinkDelay},
		"missing": {4, 5, 5, true, reorderAfter},
		"as many": {5, 5, 5, true, time.Hour},
	} {
		p := New()
		key := Order{Service: "model", Domain: "a", Count: c.last, Reclaimable: true}
		p.RecordOrder(key, c.taken, start)
		for after, want := range map[time.Duration]int{c.pause - time.Millisecond: 0, c.pause: 1} {
			if name == "as many" {
				want = 0
			}
			if got := p.appendOrder(nil, "model", domainState{name: "a", reclaimable: c.have}, c.want, true, start.Add(after)); len(got) != want {
				t.Errorf("%s: after %v: %d orders, want %d", name, after, len(got), want)
			}
		}
	}
}

// TestFullPriceShrinkDelay checks that further full-price servers are removed after
// settleTime, but after shrinkDelay if the last order added some.
func TestFullPriceShrinkDelay(t *testing.T) {
	for _, c := range []struct {
		counts []int
		pause  time.Duration
	}{
		{[]int{5, 3}, settleTime},
		{[]int{3, 5}, shrinkDelay},
	} {
		p := New()
		for _, n := range c.counts {
			p.RecordOrder(Order{Service: "model", Domain: "a", Count: n}, true, start)
		}
		d := domainState{name: "a", fullPrice: c.counts[1]}
		if got := p.appendOrder(nil, "model", d, 1, false, start.Add(c.pause-time.Millisecond)); len(got) > 0 {
			t.Errorf("after %v: ordered %v too early", c.counts, got)
		}
		if got := p.appendOrder(nil, "model", d, 1, false, start.Add(c.pause)); len(got) != 1 {
			t.Errorf("after %v: ordered %v", c.counts, got)
		}
	}
}

// TestMinimumPerDomain checks that each domain has the operators' minimum number of servers,
// however low the load is.
func TestMinimumPerDomain(t *testing.T) {
	dst := make([]int, 6)
	spreadReclaimable(dst, 1, &protocol.ScalingSpec{Min: 2, Max: 10})
	for i, n := range dst {
		if n < 2 {
			t.Errorf("domain %d: %d servers, want at least 2", i, n)
		}
	}
}

// TestProvisionalInitialServers checks that no full-price servers are ordered or removed while
// InitialServers is provisional.
func TestProvisionalInitialServers(t *testing.T) {
	w := &fakePlatform{counts: map[Order]int{{Service: "model", Domain: "a"}: 2}}
	for _, guessed := range []bool{true, false} {
		full := false
		for _, o := range New().Plan(PlanMsg{Services: []Service{{Spec: spec(), InitialServers: 9, Provisional: guessed}}, Servers: w.list(), Now: start}) {
			full = full || !o.Reclaimable
		}
		if full == guessed {
			t.Errorf("provisional %v: ordered full-price servers %v", guessed, full)
		}
	}
}

// TestLeavingServersDoNotCount checks that servers that are leaving, or belong to another
// service, are not counted.
func TestLeavingServersDoNotCount(t *testing.T) {
	for _, d := range domainStates(spec(), []protocol.Instance{
		{Service: "model", Domain: "a"},
		{Service: "model", Domain: "a", Leaving: true},
		{Service: "model", Domain: "a", Market: MarketReclaimable, Leaving: true},
		{Service: "other", Domain: "a"},
	}) {
		want := 0
		if d.name == "a" {
			want = 1
		}
		if d.fullPrice != want || d.reclaimable != 0 {
			t.Errorf("%+v", d)
		}
	}
}

// TestDomainsAreProbedInTurn checks that domains are probed in turn, longest ago first,
// while all of them refuse, and that all domains receive their servers soon after one probe
// succeeds.
func TestDomainsAreProbedInTurn(t *testing.T) {
	w := &fakePlatform{counts: map[Order]int{{Service: "model", Domain: "a"}: 9}, exhausted: true}
	p, now := New(), start
	s := Service{Spec: spec(), InitialServers: 9}
	refused := map[string]int{}
	const steps, pause = 200, 100 * time.Millisecond
	for range steps {
		for _, o := range p.Plan(PlanMsg{Services: []Service{s}, Servers: w.list(), Now: now}) {
			if o.Reclaimable {
				refused[o.Domain]++
			}
			p.RecordOrder(o, !o.Reclaimable, now)
		}
		now = now.Add(pause)
	}
	total := 0
	for domain, n := range refused {
		total += n
		if n < 2 {
			t.Errorf("%s was probed %d times", domain, n)
		}
	}
	if most := len(refused) + int(steps*pause/refusalPause); len(refused) != 4 || total > most {
		t.Errorf("%d domains were probed %d times in %v, want at most %d", len(refused), total, steps*pause, most)
	}
	w.exhausted = false
	for range 40 {
		w.step(p, s, now)
		now = now.Add(pause)
	}
	for _, d := range []string{"a", "b", "c", "d"} {
		if w.counts[Order{Service: "model", Domain: d, Reclaimable: true}] == 0 {
			t.Errorf("%s has no reclaimable servers 4 s after they became available", d)
		}
	}
}

// TestReclaimedServersAreReordered simulates a domain that loses a server soon after its
// number changed. The ordered servers had all started, so there is nothing to wait for: the
// next order shows whether others are available, and if not, full-price servers start early
// enough to be running before the next domain is lost.
func TestReclaimedServersAreReordered(t *testing.T) {
	const order = 5
	p := New()
	key := Order{Service: "model", Domain: "a", Count: order, Reclaimable: true}
	p.RecordOrder(key, true, start)
	for _, c := range []struct {
		name   string
		after  time.Duration
		have   int
		orders int
	}{
		{"starting", time.Second, 2, 0},
		{"all running", 2 * time.Second, order, 0},
		{"one reclaimed", 3 * time.Second, order - 1, 1},
	} {
		now := start.Add(c.after)
		got := p.appendOrder(nil, "model", domainState{name: "a", reclaimable: c.have}, order, true, now)
		if len(got) != c.orders {
			t.Fatalf("%s: %d orders, want %d", c.name, len(got), c.orders)
		}
		for _, o := range got {
			p.RecordOrder(o, true, now)
		}
	}
	now := start.Add(4 * time.Second)
	if got := p.appendOrder(nil, "model", domainState{name: "a", reclaimable: order - 1}, order, true, now); len(got) != 0 {
		t.Errorf("ordered again before the new servers can have started: %v", got)
	}
}
