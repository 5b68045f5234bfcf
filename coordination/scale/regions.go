package scale

import (
	"math"
	"slices"
	"time"

	"github.com/weldstream/weldstream/coordination/topology"
	"github.com/weldstream/weldstream/protocol"
)

const (
	// crossRegionCost is the cost of sending one server's worth of requests to another
	// region, as a fraction of a full-price server. At 26 kB/s of requests and answers per
	// server, the traffic came to 0.07 of a server at the prices of both; the remainder
	// accounts for the added latency.
	crossRegionCost = 0.1
	// reclaimableCost is the cost of a reclaimable server as a fraction of the full price.
	// Platforms charge 0.1 to 0.4.
	reclaimableCost = 0.2
	// domainLossShare is the fraction of the time during which some failure domain is
	// without its servers. It is a conservative estimate: ten domains a day, each without
	// servers for some minutes, come to less. At 0.5, the layouts in the tests are the same
	// with crossRegionCost.
	domainLossShare = 0.1
)

// PlannerOption configures a new planner.
type PlannerOption func(*Planner)

// WithTopology sets the regions of the failure domains. Without it, all domains are in one
// region.
func WithTopology(t *topology.Topology) PlannerOption { return func(p *Planner) { p.topology = t } }

// regionPlanner lays out one service's servers over several regions.
type regionPlanner struct {
	topology  *topology.Topology
	shares    map[string]float64 // shares are the fractions of the load by the callers' region.
	crossCost float64            // crossCost is the cost of sending one server's worth of requests to another region, in full-price servers.
	spec      *protocol.ScalingSpec
	domains   []domainState
}

// newRegionPlanner returns a planner for a service's load, or nil if there is only one
// region or no load. It uses the service's entry in p.loads, which need creates.
func (p *Planner) newRegionPlanner(s *Service, domains []domainState, now time.Time) *regionPlanner {
	sum := 0.0
	for _, running := range s.RunningByRegion {
		sum += running
	}
	if !p.topology.MultiRegion() || sum <= 0 || len(domains) == 0 {
		return nil
	}
	shares := map[string]float64{}
	for region, running := range s.RunningByRegion {
		shares[region] = running / sum
	}
	shares = p.loads[s.Spec.Name].meanShares(shares, now)
	return &regionPlanner{topology: p.topology, shares: shares, crossCost: crossRegionCost, spec: s.Spec.Scaling, domains: domains}
}

// committed returns how many full-price servers each domain has or has recently ordered.
func (p *Planner) committed(service string, domains []domainState, now time.Time) []int {
	committed := make([]int, len(domains))
	for i, d := range domains {
		committed[i] = d.fullPrice
		last := p.orders[Order{Service: service, Domain: d.name}]
		if !last.refused && now.Sub(last.at) < reorderAfter {
			committed[i] = max(committed[i], last.count)
		}
	}
	return committed
}

// layoutReclaimable returns the cheapest of three layouts of reclaimable servers, all of
// which tolerate the loss of the fullest domains: the given one, even over all regions; one
// that meets each region's need in its own domains; and one with additional servers in each
// region for the loss of its fullest domain, so that no requests leave the region in that
// case.
func (r *regionPlanner) layoutReclaimable(even []int, need int) []int {
	best, lowest := even, r.cost(even, need)
	enough := min(need, remaining(even))
	for _, spare := range []int{0, 1} {
		layout := r.layoutByRegion(need, spare)
		// A layout that is cut short because full-price servers take up the room costs
		// less, but tolerates fewer losses.
		if cost := r.cost(layout, need); cost < lowest && remaining(layout) >= enough {
			best, lowest = layout, cost
		}
	}
	return best
}

// remaining returns how many servers of a layout are left after the loss of its fullest
// domains. At least one domain is never lost.
func remaining(layout []int) int {
	return sum(layout) - sumLargest(layout, min(toleratedDomainLosses, len(layout)-1))
}

// layoutByRegion lays servers out so that each region meets its need without spare of its
// domains, as far as it has that many.
func (r *regionPlanner) layoutByRegion(need, spare int) []int {
	layout := make([]int, len(r.domains))
	for i, d := range r.domains {
		region := r.topology.Region(d.name)
		left := max(1, r.domainCount(region)-spare)
		layout[i] = min(r.spec.Max, int(math.Ceil(r.shares[region]*float64(need)/float64(left))))
	}
	spreadReclaimable(layout, need, r.spec)
	for i, d := range r.domains {
		layout[i] = min(layout[i], max(0, r.spec.Max-d.fullPrice))
	}
	return layout
}

// domainCount returns the number of domains in a region.
func (r *regionPlanner) domainCount(region string) int {
	n := 0
	for _, d := range r.domains {
		if r.topology.Region(d.name) == region {
			n++
		}
	}
	return n
}

// cost returns the cost of a layout per second, in the unit of the domains' prices: its
// servers, and the requests sent to other regions while no domain is lost and while any one
// domain is lost.
func (r *regionPlanner) cost(layout []int, need int) float64 {
	servers, price := 0.0, 0.0
	for i, d := range r.domains {
		servers += d.price * float64(layout[i])
		price += d.price / float64(len(r.domains))
	}
	lost := 0.0
	for i := range r.domains {
		without := slices.Clone(layout)
		without[i] = 0
		lost += r.crossRegionServers(without, need) / float64(len(r.domains))
	}
	return reclaimableCost*servers + r.crossCost*price*((1-domainLossShare)*r.crossRegionServers(layout, need)+domainLossShare*lost)
}

// crossRegionServers returns how many servers' worth of requests a layout sends to other
// regions.
func (r *regionPlanner) crossRegionServers(layout []int, need int) float64 {
	short := 0.0
	for region, share := range r.shares {
		short += max(0, share*float64(need)-float64(r.regionTotal(region, layout)))
	}
	return short
}

// regionTotal returns the number of servers in a region.
func (r *regionPlanner) regionTotal(region string, counts []int) int {
	n := 0
	for i, d := range r.domains {
		if r.topology.Region(d.name) == region {
			n += counts[i]
		}
	}
	return n
}

// placeFullPrice places additional full-price servers in the regions that are short of
// servers, unless another domain is cheaper by more than the cost of cross-region requests.
// Servers that exist or have been ordered stay, wherever the load has moved since.
func (r *regionPlanner) placeFullPrice(want, committed []int) []int {
	placed, added := make([]int, len(want)), 0
	for i, d := range r.domains {
		placed[i] = max(min(want[i], committed[i]), min(want[i], r.spec.Min-d.reclaimable))
		added += want[i] - placed[i]
	}
	for i, d := range r.domains {
		stay := max(0, min(added, committed[i]-placed[i], r.spec.Max-d.reclaimable-placed[i]))
		placed[i] += stay
		added -= stay
	}
	total := float64(sum(want))
	for _, d := range r.domains {
		total += float64(d.reclaimable)
	}
	for ; added > 0; added-- {
		i := r.nextDomain(placed, total)
		if i < 0 {
			return want // No domain has room: fall back to the layout without regions.
		}
		placed[i]++
	}
	return placed
}

// nextDomain returns the index of the domain for the next full-price server; -1 for none.
func (r *regionPlanner) nextDomain(placed []int, total float64) int {
	price := 0.0
	for _, d := range r.domains {
		price += d.price / float64(len(r.domains))
	}
	best, lowest := -1, 0.0
	for i, d := range r.domains {
		if d.reclaimable+placed[i] >= r.spec.Max {
			continue
		}
		cost := d.price - r.crossCost*price*r.shortfall(r.topology.Region(d.name), placed, total)
		if best < 0 || cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}

// shortfall returns how much of one more server, 0 to 1, a region lacks compared with a
// layout of all servers by need.
func (r *regionPlanner) shortfall(region string, placed []int, total float64) float64 {
	have := float64(r.regionTotal(region, placed))
	for _, d := range r.domains {
		if r.topology.Region(d.name) == region {
			have += float64(d.reclaimable)
		}
	}
	return min(1, max(0, r.shares[region]*total-have))
}
