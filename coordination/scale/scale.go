// Package scale plans how many servers a service has in each failure domain.
//
// Reclaimable servers cost a small part of the full price and may be taken away,
// a whole domain's at once. So they are spread over the domains, enough of them
// that the others carry the load when those of two domains are gone, and servers
// at the full price stay only where the service's least number asks for them, or
// while too few reclaimable ones serve.
//
// [Planner.Plan] is a function of what the gateways and the platform's list
// tell, of the orders sent before, and of the time that comes with the message.
package scale

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/weldstream/weldstream/coordination/topology"
	"github.com/weldstream/weldstream/protocol"
)

// MarketReclaimable marks servers that may be taken away.
const MarketReclaimable = "reclaimable"

// Service is a service whose servers are ours to order, with what its requests
// ask for.
type Service struct {
	Spec            *protocol.ServiceSpec
	Running         float64            // Work is how many requests run at once, in the mean of the last second.
	BegunAnswers    int64              // Begun counts answers that began, since the gateways' start.
	SlowAnswers     int64              // Slow counts those of them that used up much of their target.
	InitialServers  int                // Base is how many servers the service had when it was first seen.
	Provisional     bool               // Guessed says that Base may still rise: only reclaimable servers are ordered then.
	RunningByRegion map[string]float64 // Regions are Work by the gateways' region; empty where all lie in one.
}

// PlanMsg asks for the orders of the moment.
type PlanMsg struct {
	Services []Service
	Servers  []protocol.Instance
	Now      time.Time
}

// Order is how many servers a service is to have in a failure domain.
type Order struct {
	Service     string
	Domain      string
	Count       int
	Reclaimable bool
}

const (
	// fillAim is the part of the slots that is to be in use.
	fillAim = 0.5
	// basePart of the servers that a service had at first are taken for its need
	// until its answers tell more.
	basePart = 0.75
	// fillMost and leastPart are the same for servers at the full price.
	fillMost  = 0.8
	leastPart = 0.7
	// sinceMemory is how long a peak of the load counts.
	sinceMemory = 20 * time.Second
	// lostDomains may lose their reclaimable servers at about the same time.
	lostDomains = 2
	// refusedPause is how long no order follows one that was refused.
	refusedPause = 2 * time.Second
	// settle is between two orders of the same kind for the same domain.
	settle = time.Second
	// unfilledAfter an order that was taken it is sent again if the servers are not
	// there: the platform may have had no room for all of them.
	unfilledAfter = 8 * time.Second
	// refusedFor after a refused order reclaimable servers count as unavailable.
	refusedFor = 3 * time.Second
	// shrinkAfter is how long fewer servers have been enough before some go.
	shrinkAfter = 6 * time.Second
)

// Planner remembers the orders that were sent.
type Planner struct {
	orders   map[Order]sent // orders are by an Order whose Count is 0.
	loads    map[string]*load
	topology *topology.Topology
}

type sent struct {
	count   int
	at      time.Time
	refused bool
	grew    bool // grew says that the order was for more than the one before.
	filled  bool // filled says that as many servers have been there since.
}

// New returns a planner that has ordered nothing.
func New(opts ...PlannerOption) *Planner {
	p := &Planner{orders: map[Order]sent{}, loads: map[string]*load{}}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// RecordOrder notes what became of an order.
func (p *Planner) RecordOrder(o Order, taken bool, now time.Time) {
	key := o
	key.Count = 0
	p.orders[key] = sent{count: o.Count, at: now, refused: !taken, grew: o.Count > p.orders[key].count}
}

// domainState is what a service has in one failure domain.
type domainState struct {
	name        string
	price       float64
	reclaimable int // reclaimable are those that serve.
	full        int
}

// Plan returns the orders to send now.
func (p *Planner) Plan(m PlanMsg) []Order {
	var orders []Order
	for i := range m.Services {
		orders = append(orders, p.plan(&m.Services[i], m.Servers, m.Now)...)
	}
	return orders
}

func (p *Planner) plan(s *Service, servers []protocol.Instance, now time.Time) []Order {
	domains := survey(s.Spec, servers)
	if s.idle() {
		p.expect(s.Spec.Name, domains, now)
	}
	need, least := p.need(s, now)
	wantReclaimable, wantFull := targets(s.Spec.Scaling, domains, need, least, p.unavailable(s.Spec.Name, now))
	if r := p.regions(s, domains, now); r != nil {
		wantReclaimable = r.reclaimable(wantReclaimable, need)
		wantFull = r.full(wantFull, p.pinned(s.Spec.Name, domains, now))
	}
	var orders []Order
	for i, d := range domains {
		orders = p.order(orders, s.Spec.Name, d, wantReclaimable[i], true, now)
	}
	orders = p.oneProbe(orders, s.Spec.Name, now)
	for i, d := range domains {
		if !s.Provisional {
			orders = p.order(orders, s.Spec.Name, d, wantFull[i], false, now)
		}
	}
	return orders
}

// idle reports whether nobody has asked the service for anything yet.
func (s *Service) idle() bool { return s.BegunAnswers == 0 && s.Running == 0 }

// expect counts the reclaimable servers that were ordered as if they served
// already: while nobody asks for anything, those at the full price need not stay
// until they do. A server that leaves serves on for about as long as another
// takes to start.
func (p *Planner) expect(service string, domains []domainState, now time.Time) {
	for i := range domains {
		d := &domains[i]
		last := p.orders[Order{Service: service, Domain: d.name, Reclaimable: true}]
		if !last.refused && now.Sub(last.at) < unfilledAfter {
			d.reclaimable = max(d.reclaimable, last.count)
		}
	}
}

// need is how many servers carry the load of late in time, and how few carry it
// at all, for which servers at the full price are worth it.
func (p *Planner) need(s *Service, now time.Time) (need, least int) {
	l := p.loads[s.Spec.Name]
	if l == nil {
		l = newLoad(s, now)
		p.loads[s.Spec.Name] = l
	}
	l.observe(s, now)
	slots := max(1, s.Spec.Slots)
	work := l.peak(s.Running, now) / float64(slots)
	base := float64(s.InitialServers)
	need = int(math.Ceil(max(work/fillAim, basePart*base*l.factor)))
	least = int(math.Ceil(max(work/fillMost, leastPart*base)))
	most := l.most(now)
	return max(1, min(need, most)), max(1, min(least, most))
}

// survey counts what there is in each failure domain, the cheapest first.
func survey(spec *protocol.ServiceSpec, servers []protocol.Instance) []domainState {
	rows := map[string]*domainState{}
	for name, price := range spec.Scaling.DomainPrices {
		rows[name] = &domainState{name: name, price: price}
	}
	for i := range servers {
		in := &servers[i]
		if in.Service != spec.Name || in.Leaving {
			continue
		}
		d := rows[in.Domain]
		if d == nil {
			d = &domainState{name: in.Domain, price: 1}
			rows[in.Domain] = d
		}
		if in.Market == MarketReclaimable {
			d.reclaimable++
		} else {
			d.full++
		}
	}
	domains := make([]domainState, 0, len(rows))
	for _, d := range rows {
		domains = append(domains, *d)
	}
	slices.SortFunc(domains, func(a, b domainState) int {
		if c := cmp.Compare(a.price, b.price); c != 0 {
			return c
		}
		return cmp.Compare(a.name, b.name)
	})
	return domains
}

// oneProbe leaves at most one order for reclaimable servers among those that were
// refused before, and none soon after another refusal: while none are to be had
// anywhere, one domain is asked for all, in turn. Six domains that were each asked
// every 2 s gave 64 refusals in 22 s, one for all gave 29 in 31 s.
func (p *Planner) oneProbe(orders []Order, service string, now time.Time) []Order {
	probe, longest := Order{}, time.Time{}
	for _, o := range orders {
		if last, again := p.refusedBefore(o); again && (longest.IsZero() || last.at.Before(longest)) {
			probe, longest = o, last.at
		}
	}
	if p.refusedWithin(service, refusedPause, now) {
		probe = Order{}
	}
	return slices.DeleteFunc(orders, func(o Order) bool {
		_, again := p.refusedBefore(o)
		return again && o != probe
	})
}

// refusedBefore returns the order before for the same servers, and whether it was
// refused.
func (p *Planner) refusedBefore(o Order) (sent, bool) {
	o.Count = 0
	last := p.orders[o]
	return last, last.refused
}

// unavailable reports whether reclaimable servers of a service were refused lately.
func (p *Planner) unavailable(service string, now time.Time) bool {
	return p.refusedWithin(service, refusedFor, now)
}

// refusedWithin reports whether reclaimable servers of a service were refused within
// a time.
func (p *Planner) refusedWithin(service string, within time.Duration, now time.Time) bool {
	for key, last := range p.orders {
		if key.Service == service && key.Reclaimable && last.refused && now.Sub(last.at) < within {
			return true
		}
	}
	return false
}

// targets returns how many servers of either kind each domain is to have. While
// there are no reclaimable ones to be had, those at the full price also make up
// for the domains whose reclaimable ones are the most: they may be the next to lose
// them, within a second of one another, and then it would be too late. Standing by
// for two domains instead of one serves 0.59 instead of 0.36 in the worst two
// seconds of a day that loses three domains within a second, and takes 0 to 0.03
// of the price of servers more on other days.
func targets(spec *protocol.ScalingSpec, domains []domainState, need, least int, unavailable bool) (reclaimable, full []int) {
	n := len(domains)
	reclaimable, full = make([]int, n), make([]int, n)
	if n == 0 {
		return reclaimable, full
	}
	spread(reclaimable, need, spec)
	serving := 0
	each := make([]int, n)
	for i := range domains {
		each[i] = domains[i].reclaimable
		serving += each[i]
	}
	if unavailable {
		serving -= fullest(each, lostDomains)
	}
	for i, d := range domains {
		// The least number counts for both kinds together: what serves for less
		// lets the others go, once it does.
		full[i] = max(0, spec.Min-d.reclaimable)
	}
	if serving < least {
		keep(full, reclaimable, domains, spec.Max, least-serving)
	}
	makeUp(full, domains, spec.Max, least-serving)
	for i, d := range domains {
		reclaimable[i] = min(reclaimable[i], max(0, spec.Max-d.full))
	}
	return reclaimable, full
}

// keep has those at the full price stay while too few reclaimable ones serve.
// Beyond what is short, those go that are in the way of reclaimable ones, where
// the domain has no room for both.
func keep(full, reclaimable []int, domains []domainState, most, short int) {
	spare := -short
	for _, d := range domains {
		spare += d.full
	}
	for i, d := range domains {
		inTheWay := max(0, min(spare, d.full+reclaimable[i]-most, d.full))
		spare -= inTheWay
		full[i] = max(full[i], min(d.full-inTheWay, most-d.reclaimable))
	}
}

// makeUp puts what is short at the full price into the cheapest domains that have
// room.
func makeUp(full []int, domains []domainState, most, short int) {
	short -= sum(full)
	for i := 0; i < len(full) && short > 0; i++ {
		more := max(0, min(short, most-domains[i].reclaimable-full[i]))
		full[i] += more
		short -= more
	}
}

// spread puts reclaimable servers into the domains so that without the fullest
// ones there are still as many as needed. One domain at the least is not lost.
func spread(dst []int, need int, spec *protocol.ScalingSpec) {
	lost := min(lostDomains, len(dst)-1)
	for sum(dst)-fullest(dst, lost) < need {
		// The emptiest domain takes the next one; among equals the cheapest.
		i := minIndex(dst)
		if dst[i] >= spec.Max {
			break
		}
		dst[i]++
	}
	for i := range dst {
		dst[i] = max(dst[i], spec.Min)
	}
}

// fullest adds up the n largest.
func fullest(list []int, n int) int {
	sorted := slices.Sorted(slices.Values(list))
	return sum(sorted[max(0, len(sorted)-n):])
}

func sum(list []int) int {
	n := 0
	for _, v := range list {
		n += v
	}
	return n
}

func minIndex(list []int) int {
	best := 0
	for i, v := range list {
		if v < list[best] {
			best = i
		}
	}
	return best
}

// shrinkAfter is how long fewer servers have to be enough after an order. Those
// at the full price that follow others out go soon: each costs as much as
// several reclaimable ones.
func (s sent) shrinkAfter(reclaimable bool) time.Duration {
	if reclaimable || s.grew {
		return shrinkAfter
	}
	return settle
}

// order appends an order if it differs from the last one, which the platform
// keeps to, or if that one was refused a while ago.
func (p *Planner) order(orders []Order, service string, d domainState, want int, reclaimable bool, now time.Time) []Order {
	o := Order{Service: service, Domain: d.name, Count: want, Reclaimable: reclaimable}
	key := o
	key.Count = 0
	have := d.full
	if reclaimable {
		have = d.reclaimable
	}
	last, known := p.orders[key]
	switch {
	case !known:
		if have == want {
			return orders
		}
	case last.refused:
		if now.Sub(last.at) < refusedPause || have == want {
			return orders
		}
	case last.count == want:
		if have >= want {
			last.filled = true
			p.orders[key] = last
			return orders
		}
		// Servers that were there and are gone were taken away: others are asked for at
		// once, so that servers at the full price start before the next domain goes where
		// none are to be had. On a day that loses four domains within six seconds, 0.92 of
		// the worth of the two seconds behind it is served instead of 0.61. Those that never
		// came may only be late.
		if !last.filled && now.Sub(last.at) < unfilledAfter {
			return orders
		}
	case last.count < want && now.Sub(last.at) < settle:
		return orders
	case last.count > want && now.Sub(last.at) < last.shrinkAfter(reclaimable):
		return orders
	}
	return append(orders, o)
}
