package place

import (
	"math"

	"github.com/weldstream/weldstream/coordination/topology"
)

const (
	// sameRegionPenalty is how much fuller, as a share of its slots, a server in the
	// gateway's domain may be before one in another domain of the region is preferred.
	sameRegionPenalty = 0.12
	// otherRegionPenalty is the same for servers in the gateway's region before those in
	// other regions. A server has a free slot until its fill is 1, and remote servers rarely
	// have none: with a penalty of 1 or more, requests would be sent to full servers in the
	// region while remote ones have free slots.
	otherRegionPenalty = 0.6
	// regionFailureLimit is the number of servers in the gateway's region that must fail a
	// request before it is sent to another region. Routes usually allow three attempts, and
	// a region that is cut off would use up all of them. Servers that rejected the request
	// because of their load do not count as failed: when domains of each region were lost in
	// turn, counting them lowered the score by 0.008 (mean of three).
	regionFailureLimit = 2
)

// distancePenalty is indexed by distance. Choose adds it to the fill of servers when it looks
// for the least loaded one, and PromptScheduler to the cost of placing a prompt. Penalties
// computed from the bytes of request and answer and from measured round trips gave the same
// traffic within a twentieth, so constants are used.
var distancePenalty = [...]float64{topology.SameDomain: 0, topology.SameRegion: sameRegionPenalty, topology.OtherRegion: otherRegionPenalty}

// preferRegion returns the candidates in the gateway's region. It returns those of the
// other regions instead if
//
//   - their median fill plus otherRegionPenalty is below the median fill in the region, or
//   - their median fill is below fullLoad, and at least regionFailureLimit servers of the
//     region that the request was sent to are suspect.
//
// So requests that share a prompt are sent to servers of one region at first, and remote
// servers are used before the near ones are too loaded to respond in time. Domains of one
// region are treated alike here, since a prefill of shared prompts in each domain cost as
// much as the traffic that it saved.
func preferRegion(v *View, rows []candidate, m ChooseMsg) []candidate {
	if !v.topology.MultiRegion() {
		return rows
	}
	near, far := v.splitByRegion(rows, m.Domain)
	others := medianFill(far)
	if others+otherRegionPenalty < medianFill(near) || (others < fullLoad && v.leavesRegion(m)) {
		return far
	}
	return near
}

// leavesRegion reports whether the request is to leave the region: whether
// regionFailureLimit servers there that it was sent to are suspect.
func (v *View) leavesRegion(m ChooseMsg) bool {
	failed := 0
	for _, id := range m.Avoid {
		s := v.Find(id)
		if s != nil && v.topology.Distance(m.Domain, s.Domain) < topology.OtherRegion && s.Stats.Suspect(m.Now) {
			failed++
		}
	}
	return failed >= regionFailureLimit
}

// splitByRegion splits the candidates into those of the gateway's region and the others,
// which are in reverse order, as the two fill one slice from both ends.
func (v *View) splitByRegion(rows []candidate, domain string) (near, far []candidate) {
	from, split := v.topology.Location(domain), make([]candidate, len(rows))
	first, last := 0, len(rows)
	for _, r := range rows {
		if from.Distance(v.Servers[r.index].location) == topology.OtherRegion {
			last--
			split[last] = r
		} else {
			split[first] = r
			first++
		}
	}
	return split[:first], split[first:]
}

// medianFill returns the median fill, or infinity if there are no candidates. The minimum
// is no measure of the load: servers that rank first for no shared prompt are nearly idle
// while all others are full. And in a region that is cut off, it would stay low until a
// request had failed at each server.
func medianFill(rows []candidate) float64 {
	if len(rows) == 0 {
		return math.Inf(1)
	}
	fills := make([]float64, len(rows))
	for i, r := range rows {
		fills[i] = r.fill
	}
	return selectNth(fills, (len(fills)-1)/2)
}

// selectNth returns the value at an index of the sorted list (quickselect) and reorders the
// list. Each choice of a server needs two medians, and sorting takes longer.
func selectNth(list []float64, index int) float64 {
	for from, to := 0, len(list)-1; from < to; {
		pivot, i, j := list[(from+to)/2], from, to
		for i <= j {
			for list[i] < pivot {
				i++
			}
			for list[j] > pivot {
				j--
			}
			if i <= j {
				list[i], list[j] = list[j], list[i]
				i, j = i+1, j-1
			}
		}
		switch {
		case index <= j:
			to = j
		case index >= i:
			from = i
		default:
			return list[index]
		}
	}
	return list[index]
}
