package scale

import (
	"math"
	"slices"
	"time"

	"github.com/weldstream/weldstream/coordination/topology"
	"github.com/weldstream/weldstream/protocol"
)

const (
	// acrossPart is what a server's worth of requests that goes to another region costs,
	// as a part of a server at the full price: 26 kB/s of requests and answers a server
	// came to 0.07 of one where bytes and servers are priced; the rest is for answers that
	// come later.
	acrossPart = 0.1
	// reclaimablePart is what a reclaimable server costs as a part of the full price:
	// platforms ask for 0.1 to 0.4.
	reclaimablePart = 0.2
	// lostPart is the part of the time in which some domain is without its servers. It is
	// an estimate on the safe side: ten domains a day that lack them for some minutes come
	// to less. With 0.5 the layouts of the tests are the same at acrossPart.
	lostPart = 0.1
)

// PlannerOption changes a new planner.
type PlannerOption func(*Planner)

// WithTopology sets where the failure domains lie; without it they all are near.
func WithTopology(t *topology.Topology) PlannerOption { return func(p *Planner) { p.topology = t } }

// regions holds what is needed to lay out one service's servers over several regions.
type regions struct {
	topology *topology.Topology
	parts    map[string]float64 // parts are of the load, by the callers' region.
	across   float64            // across is what a server's worth of requests to another region costs, in servers at the full price.
	spec     *protocol.ScalingSpec
	domains  []domainState
}

// regions returns how a service's load lies, or nil without several regions or without
// load. It needs the service's entry in p.loads, which need makes.
func (p *Planner) regions(s *Service, domains []domainState, now time.Time) *regions {
	sum := 0.0
	for _, work := range s.RunningByRegion {
		sum += work
	}
	if !p.topology.MultiRegion() || sum <= 0 || len(domains) == 0 {
		return nil
	}
	parts := map[string]float64{}
	for region, work := range s.RunningByRegion {
		parts[region] = work / sum
	}
	parts = p.loads[s.Spec.Name].meanParts(parts, now)
	return &regions{topology: p.topology, parts: parts, across: acrossPart, spec: s.Spec.Scaling, domains: domains}
}

// pinned returns how many servers at the full price each domain has or has ordered.
func (p *Planner) pinned(service string, domains []domainState, now time.Time) []int {
	pinned := make([]int, len(domains))
	for i, d := range domains {
		pinned[i] = d.full
		last := p.orders[Order{Service: service, Domain: d.name}]
		if !last.refused && now.Sub(last.at) < unfilledAfter {
			pinned[i] = max(pinned[i], last.count)
		}
	}
	return pinned
}

// reclaimable returns the cheapest of three ways to lay reclaimable servers out, all of
// which bear the loss of the fullest domains: over all regions evenly, which is given;
// with each region's need in its own domains; and with head-room in each region for the
// loss of its fullest domain, so that nothing goes across then.
func (r *regions) reclaimable(even []int, need int) []int {
	best, least := even, r.cost(even, need)
	enough := min(need, remaining(even))
	for _, spare := range []int{0, 1} {
		layout := r.within(need, spare)
		// One that is cut short where servers at the full price are in the way costs less,
		// but does not bear as much.
		if cost := r.cost(layout, need); cost < least && remaining(layout) >= enough {
			best, least = layout, cost
		}
	}
	return best
}

// remaining returns how many servers of a layout are left without its fullest domains. One
// domain at the least is not lost.
func remaining(layout []int) int {
	return sum(layout) - fullest(layout, min(lostDomains, len(layout)-1))
}

// within lays servers out so that each region carries its need without some of its
// domains, as far as it has that many.
func (r *regions) within(need, spare int) []int {
	layout := make([]int, len(r.domains))
	for i, d := range r.domains {
		region := r.topology.Region(d.name)
		left := max(1, r.size(region)-spare)
		layout[i] = min(r.spec.Max, int(math.Ceil(r.parts[region]*float64(need)/float64(left))))
	}
	spread(layout, need, r.spec)
	for i, d := range r.domains {
		layout[i] = min(layout[i], max(0, r.spec.Max-d.full))
	}
	return layout
}

// size returns how many domains a region has.
func (r *regions) size(region string) int {
	n := 0
	for _, d := range r.domains {
		if r.topology.Region(d.name) == region {
			n++
		}
	}
	return n
}

// cost returns what a layout costs a second, in the unit of the domains' prices: its servers, and what goes across while nothing
// and while any one domain is lost.
func (r *regions) cost(layout []int, need int) float64 {
	servers, price := 0.0, 0.0
	for i, d := range r.domains {
		servers += d.price * float64(layout[i])
		price += d.price / float64(len(r.domains))
	}
	lost := 0.0
	for i := range r.domains {
		without := slices.Clone(layout)
		without[i] = 0
		lost += r.crossing(without, need) / float64(len(r.domains))
	}
	return reclaimablePart*servers + r.across*price*((1-lostPart)*r.crossing(layout, need)+lostPart*lost)
}

// crossing returns how many servers' worth of requests a layout sends to other regions.
func (r *regions) crossing(layout []int, need int) float64 {
	short := 0.0
	for region, part := range r.parts {
		short += max(0, part*float64(need)-float64(r.sum(region, layout)))
	}
	return short
}

// sum adds up a region's servers.
func (r *regions) sum(region string, counts []int) int {
	n := 0
	for i, d := range r.domains {
		if r.topology.Region(d.name) == region {
			n += counts[i]
		}
	}
	return n
}

// full puts those servers at the full price that are to be added where their region is
// short of servers, unless another domain is cheaper by more than the way across costs.
// Those that are there, or on their way, stay, wherever the load has moved since.
func (r *regions) full(want, pinned []int) []int {
	placed, added := make([]int, len(want)), 0
	for i, d := range r.domains {
		placed[i] = max(min(want[i], pinned[i]), min(want[i], r.spec.Min-d.reclaimable))
		added += want[i] - placed[i]
	}
	for i, d := range r.domains {
		stay := max(0, min(added, pinned[i]-placed[i], r.spec.Max-d.reclaimable-placed[i]))
		placed[i] += stay
		added -= stay
	}
	total := float64(sum(want))
	for _, d := range r.domains {
		total += float64(d.reclaimable)
	}
	for ; added > 0; added-- {
		i := r.next(placed, total)
		if i < 0 {
			return want // No domain has room: the layout without regions is as good.
		}
		placed[i]++
	}
	return placed
}

// next returns the domain that is to have the next server at the full price; -1 for none.
func (r *regions) next(placed []int, total float64) int {
	price := 0.0
	for _, d := range r.domains {
		price += d.price / float64(len(r.domains))
	}
	best, least := -1, 0.0
	for i, d := range r.domains {
		if d.reclaimable+placed[i] >= r.spec.Max {
			continue
		}
		cost := d.price - r.across*price*r.shortfall(r.topology.Region(d.name), placed, total)
		if best < 0 || cost < least {
			best, least = i, cost
		}
	}
	return best
}

// shortfall returns which part of one more server, from 0 to 1, a region lacks beside what
// it would have if all servers were laid out by need.
func (r *regions) shortfall(region string, placed []int, total float64) float64 {
	have := float64(r.sum(region, placed))
	for _, d := range r.domains {
		if r.topology.Region(d.name) == region {
			have += float64(d.reclaimable)
		}
	}
	return min(1, max(0, r.parts[region]*total-have))
}
