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

// world is a platform that carries orders out, as the planner sees it.
type world struct {
	counts map[Order]int // counts are by an Order whose Count is 0.
	dry    bool          // dry refuses reclaimable servers.
	most   int           // most of both kinds may be in a domain, if it is not 0.
}

func (w *world) list() []protocol.Instance {
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

// step plans once and carries the orders out.
func (w *world) step(p *Planner, s Service, now time.Time) {
	for _, o := range p.Plan(PlanMsg{Services: []Service{s}, Servers: w.list(), Now: now}) {
		key := o
		key.Count = 0
		taken := !w.dry || !o.Reclaimable || o.Count <= w.counts[key]
		if taken {
			w.counts[key] = w.held(o)
		}
		p.RecordOrder(o, taken, now)
	}
}

// held is how many servers come of an order: the most that a domain may have
// counts for both kinds together.
func (w *world) held(o Order) int {
	if w.most == 0 {
		return o.Count
	}
	other := Order{Service: o.Service, Domain: o.Domain, Reclaimable: !o.Reclaimable}
	return min(o.Count, max(0, w.most-w.counts[other]))
}

func (w *world) total(reclaimable bool) int {
	n := 0
	for key, count := range w.counts {
		if key.Reclaimable == reclaimable {
			n += count
		}
	}
	return n
}

// TestReclaimableTakeOver checks that servers at the full price give way to
// reclaimable ones, spread so that two domains may lose theirs.
func TestReclaimableTakeOver(t *testing.T) {
	w := &world{counts: map[Order]int{{Service: "model", Domain: "a"}: 5, {Service: "model", Domain: "b"}: 4}}
	p, now := New(), start
	s := Service{Spec: spec(), InitialServers: 9}
	for range 40 {
		w.step(p, s, now)
		now = now.Add(500 * time.Millisecond)
	}
	if n := w.total(false); n != 0 {
		t.Errorf("%d servers at the full price are left", n)
	}
	most := 0
	for _, n := range w.counts {
		most = max(most, n)
	}
	if left := w.total(true) - 2*most; left < 6 {
		t.Errorf("without two domains %d servers are left of %d", left, w.total(true))
	}
}

// TestNeedFollowsRunningRequests checks the pattern of a fleet with many more servers than
// requests that run: its first number says little about its need. Each running request has
// a server of its own, also without two domains, and the rest goes; that holds at any size.
// The first requests decide nothing, and a burst is followed at once.
func TestNeedFollowsRunningRequests(t *testing.T) {
	for _, size := range []int{300, 2930, 5860} {
		w := &world{counts: map[Order]int{}}
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
			return w.total(true) - lostDomains*most
		}
		running := float64(size) / 7
		pass(20*time.Second, 0)
		idle := w.total(true)
		pass(5*time.Second, running/5) // A part of those that are to come.
		if n := w.total(true); n < idle*9/10 {
			t.Errorf("%d servers: the first requests leave %d of %d", size, n, idle)
		}
		pass(20*time.Second, running)
		if n, most := w.total(true), int(1.5*(ownServers*running+ownSpare))+6; n > most || without() < int(running) {
			t.Errorf("%d servers: %d are held for %.0f running requests, %d without two domains; at most %d", size, n, running, without(), most)
		}
		if n := w.total(false); n > 0 {
			t.Errorf("%d servers: %d at the full price stay for a first number that the load does not need", size, n)
		}
		pass(3*time.Second, 2*running)
		if without() < int(2*running) {
			t.Errorf("%d servers: %d are there without two domains for %.0f running requests behind a burst", size, without(), 2*running)
		}
	}
}

// TestReclaimWhileNoneAreLeft checks that servers at the full price come when
// all reclaimable ones are taken away and there are no others. Counting those
// that are wanted against the most that a domain may have left it without any.
func TestReclaimWhileNoneAreLeft(t *testing.T) {
	w := &world{counts: map[Order]int{{Service: "model", Domain: "a"}: 9}}
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
	w.dry = true
	for range 20 {
		w.step(p, s, now)
		now = now.Add(500 * time.Millisecond)
	}
	if n := w.total(false); n < 17 {
		t.Errorf("%d servers serve, 24 did at first", n)
	}
}

// TestOrderIsFilledUp checks that a domain which had no room for all reclaimable
// servers while those at the full price were there gets the rest once they went.
func TestOrderIsFilledUp(t *testing.T) {
	w := &world{counts: map[Order]int{}, most: 10}
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

// TestAnotherLossIsBorne checks that, while no reclaimable servers are to be had,
// so many at the full price stand by that the fullest domain may lose its
// reclaimable ones too.
func TestAnotherLossIsBorne(t *testing.T) {
	w := &world{counts: map[Order]int{{Service: "model", Domain: "a"}: 9}}
	p, now := New(), start
	s := Service{Spec: spec(), InitialServers: 16}
	run := func(steps int) {
		for range steps {
			w.step(p, s, now)
			now = now.Add(500 * time.Millisecond)
		}
	}
	run(40)
	w.dry = true
	for _, lost := range []string{"a", "b", "c"} {
		w.counts[Order{Service: "model", Domain: lost, Reclaimable: true}] = 0
		if n := w.total(true) + w.total(false); n < 11 {
			t.Errorf("%d servers are left at the moment %s loses its own", n, lost)
		}
		run(8)
	}
}

// TestThreeDomainsLostTogether plays the day that hurts most: one domain is reclaimed,
// none are to be had from then on, and five seconds later the three others go within
// a second, faster than any server starts. What the service needs at the least must
// stand by within the time that a start takes.
func TestThreeDomainsLostTogether(t *testing.T) {
	w := &world{counts: map[Order]int{}, most: 56}
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
	w.dry = true
	lose("d")
	run(10)
	lose("a")
	lose("b")
	if n := w.total(true) + w.total(false); n < 78 {
		t.Errorf("%d servers are left when two more domains are gone, 78 are needed at the least", n)
	}
	lose("c")
	if n := w.total(false); n < 36 {
		t.Errorf("%d servers at the full price stand by when all domains are gone", n)
	}
}

// TestChangesOverBeforeTheFirstRequest checks that, while nobody has asked for
// anything, servers at the full price go as soon as reclaimable ones are ordered,
// down to the least number, and that they stay until these serve once somebody
// has. Orders that come to nothing do not count for long.
func TestChangesOverBeforeTheFirstRequest(t *testing.T) {
	full := func() []protocol.Instance {
		w := &world{counts: map[Order]int{{Service: "model", Domain: "a"}: 5, {Service: "model", Domain: "b"}: 4}}
		return w.list()
	}()
	for name, c := range map[string]struct {
		begun int64
		after time.Duration
		gives bool
	}{
		"nobody asked":     {0, settle, true},
		"somebody asked":   {1, settle, false},
		"they do not come": {0, unfilledAfter, false},
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
			t.Errorf("%s: servers at the full price go: %v", name, gives)
		}
	}
}

// TestOrdersKeepToTheBounds checks that no order is below or above what the
// operators allow, whatever the load and the list.
func TestOrdersKeepToTheBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{counts: map[Order]int{}}
		for _, d := range []string{"a", "b", "c", "d"} {
			w.counts[Order{Service: "model", Domain: d}] = rapid.IntRange(0, 5).Draw(t, "full")
		}
		p, now := New(), start
		s := Service{Spec: spec(), InitialServers: rapid.IntRange(1, 30).Draw(t, "base")}
		for range 60 {
			now = now.Add(time.Duration(rapid.IntRange(50, 2000).Draw(t, "pause")) * time.Millisecond)
			s.Running = rapid.Float64Range(0, 600).Draw(t, "work")
			s.BegunAnswers += 50
			s.SlowAnswers += int64(rapid.IntRange(0, 20).Draw(t, "slow"))
			w.dry = rapid.Bool().Draw(t, "dry")
			for _, o := range p.Plan(PlanMsg{Services: []Service{s}, Servers: w.list(), Now: now}) {
				if o.Count < 0 || o.Count > s.Spec.Scaling.Max {
					t.Fatalf("order %+v", o)
				}
				p.RecordOrder(o, !w.dry, now)
			}
		}
	})
}

// TestSlowAnswersCallForMore checks that the need follows how many answers are
// slow, both ways.
func TestSlowAnswersCallForMore(t *testing.T) {
	s := Service{Spec: spec(), InitialServers: 8}
	l := newLoad(&s, start)
	now := start
	feed := func(slow int64) {
		for range 20 {
			now = now.Add(judgeEvery)
			s.BegunAnswers, s.SlowAnswers = s.BegunAnswers+100, s.SlowAnswers+slow
			l.observe(&s, now)
		}
	}
	feed(20)
	if l.factor <= 1.3 {
		t.Errorf("with a fifth slow the factor is %.2f", l.factor)
	}
	high := l.factor
	feed(0)
	if l.factor >= high {
		t.Errorf("with none slow the factor stays at %.2f", l.factor)
	}
}

// TestFewDomains checks that a fleet with one or two failure domains is not
// filled up to its most: with no third domain to fall back on, as many as are
// needed in each have to do.
func TestFewDomains(t *testing.T) {
	for domains, most := range map[int]int{1: 7, 2: 14, 3: 21} {
		dst := make([]int, domains)
		spread(dst, 7, &protocol.ScalingSpec{Min: 1, Max: 100})
		if total := sum(dst); total > most || total < 7 {
			t.Errorf("%d domains have %v, for a need of 7", domains, dst)
		}
	}
}

// TestOrdersPause checks how long an order waits for the one before it, and that
// one which was taken is repeated only if the servers did not come.
func TestOrdersPause(t *testing.T) {
	for name, c := range map[string]struct {
		have, last, want int
		taken            bool
		pause            time.Duration
	}{
		"refused":   {0, 5, 5, false, refusedPause},
		"more":      {0, 3, 5, true, settle},
		"fewer":     {0, 5, 3, true, shrinkAfter},
		"not there": {4, 5, 5, true, unfilledAfter},
		"as many":   {5, 5, 5, true, time.Hour},
	} {
		p := New()
		key := Order{Service: "model", Domain: "a", Count: c.last, Reclaimable: true}
		p.RecordOrder(key, c.taken, start)
		for after, want := range map[time.Duration]int{c.pause - time.Millisecond: 0, c.pause: 1} {
			if name == "as many" {
				want = 0
			}
			if got := p.order(nil, "model", domainState{name: "a", reclaimable: c.have}, c.want, true, start.Add(after)); len(got) != want {
				t.Errorf("%s: after %v there were %d orders, want %d", name, after, len(got), want)
			}
		}
	}
}

// TestFullPriceGoesOnGoing checks that servers at the full price which follow
// others out wait only for as long as orders settle, and those that came lately
// for longer.
func TestFullPriceGoesOnGoing(t *testing.T) {
	for _, c := range []struct {
		counts []int
		pause  time.Duration
	}{
		{[]int{5, 3}, settle},
		{[]int{3, 5}, shrinkAfter},
	} {
		p := New()
		for _, n := range c.counts {
			p.RecordOrder(Order{Service: "model", Domain: "a", Count: n}, true, start)
		}
		d := domainState{name: "a", full: c.counts[1]}
		if got := p.order(nil, "model", d, 1, false, start.Add(c.pause-time.Millisecond)); len(got) > 0 {
			t.Errorf("after %v: ordered %v too soon", c.counts, got)
		}
		if got := p.order(nil, "model", d, 1, false, start.Add(c.pause)); len(got) != 1 {
			t.Errorf("after %v: ordered %v", c.counts, got)
		}
	}
}

// TestLeastNumber checks that each domain is to have the least number of servers
// that the operators set, however little there is to do.
func TestLeastNumber(t *testing.T) {
	dst := make([]int, 6)
	spread(dst, 1, &protocol.ScalingSpec{Min: 2, Max: 10})
	for i, n := range dst {
		if n < 2 {
			t.Errorf("domain %d is to have %d", i, n)
		}
	}
}

// TestGuessedBase checks that no servers at the full price are ordered, nor given
// back, while the first number of servers is a guess.
func TestGuessedBase(t *testing.T) {
	w := &world{counts: map[Order]int{{Service: "model", Domain: "a"}: 2}}
	for _, guessed := range []bool{true, false} {
		full := false
		for _, o := range New().Plan(PlanMsg{Services: []Service{{Spec: spec(), InitialServers: 9, Provisional: guessed}}, Servers: w.list(), Now: start}) {
			full = full || !o.Reclaimable
		}
		if full == guessed {
			t.Errorf("guessed %v: ordered at the full price %v", guessed, full)
		}
	}
}

// TestLeavingServersDoNotCount checks that a server which leaves, or is another
// service's, is not one that serves.
func TestLeavingServersDoNotCount(t *testing.T) {
	for _, d := range survey(spec(), []protocol.Instance{
		{Service: "model", Domain: "a"},
		{Service: "model", Domain: "a", Leaving: true},
		{Service: "model", Domain: "a", Market: MarketReclaimable, Leaving: true},
		{Service: "other", Domain: "a"},
	}) {
		want := 0
		if d.name == "a" {
			want = 1
		}
		if d.full != want || d.reclaimable != 0 {
			t.Errorf("%+v", d)
		}
	}
}

// TestOneDomainIsAskedForAll checks that, while all domains refuse, they are asked in
// turn and not each by itself, that the one which was refused longest ago is next, and
// that all get their servers soon after one of them had some.
func TestOneDomainIsAskedForAll(t *testing.T) {
	w := &world{counts: map[Order]int{{Service: "model", Domain: "a"}: 9}, dry: true}
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
			t.Errorf("%s was asked %d times", domain, n)
		}
	}
	if most := len(refused) + int(steps*pause/refusedPause); len(refused) != 4 || total > most {
		t.Errorf("%d domains were asked %d times in %v, want %d at the most", len(refused), total, steps*pause, most)
	}
	w.dry = false
	for range 40 {
		w.step(p, s, now)
		now = now.Add(pause)
	}
	for _, d := range []string{"a", "b", "c", "d"} {
		if w.counts[Order{Service: "model", Domain: d, Reclaimable: true}] == 0 {
			t.Errorf("%s has no reclaimable servers 4 s after there were some", d)
		}
	}
}

// TestTakenAwayServersAreOrderedAgain plays a domain that is reclaimed soon after its
// number changed. The servers had come, so that nothing is to be waited for: whether
// others are to be had is known one order later, and where none are, servers at the
// full price start a whole start of a server before the next domain goes.
func TestTakenAwayServersAreOrderedAgain(t *testing.T) {
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
		{"they start", time.Second, 2, 0},
		{"they are there", 2 * time.Second, order, 0},
		{"one is taken away", 3 * time.Second, order - 1, 1},
	} {
		now := start.Add(c.after)
		got := p.order(nil, "model", domainState{name: "a", reclaimable: c.have}, order, true, now)
		if len(got) != c.orders {
			t.Fatalf("%s: %d orders, want %d", c.name, len(got), c.orders)
		}
		for _, o := range got {
			p.RecordOrder(o, true, now)
		}
	}
	now := start.Add(4 * time.Second)
	if got := p.order(nil, "model", domainState{name: "a", reclaimable: order - 1}, order, true, now); len(got) != 0 {
		t.Errorf("ordered again before the new ones can have come: %v", got)
	}
}
