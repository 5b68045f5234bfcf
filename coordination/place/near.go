package place

import (
	"math"

	"github.com/weldstream/weldstream/coordination/topology"
)

const (
	// nearLoad is how much fuller, in parts of its slots, a server of the own domain may be
	// and still be taken before one of another.
	nearLoad = 0.12
	// farLoad is the same for servers of the own region before those of others: a
	// near server has room for one more until its load is 1, and one far away is
	// seldom without any.
	farLoad = 0.6
	// leaveAfter is after how many servers of the own region that failed a request it goes to
	// another region: routes have three attempts as a rule, and a region that is cut off would
	// take all of them. Servers that turned it away for their load do not count: with these
	// counted, days that lose domains of each region in turn were worth 0.008 less in the
	// mean of three.
	leaveAfter = 2
)

// distanceLoad is what the way to a server weighs against its load. Costs from the
// bytes of request and answer and from observed round trips came to the same bytes
// within a twentieth, so the simpler ones are kept.
var distanceLoad = [...]float64{topology.SameDomain: 0, topology.SameRegion: nearLoad, topology.OtherRegion: farLoad}

// nearest returns the rows of the own region, or those of the others if these typically
// have farLoad less to do, or if they typically have room and leaveAfter servers of the
// own one failed the request. So callers who share a prompt meet within a region before
// they meet across, and further servers are taken before a near one is late. Domains of
// one region count alike here: reading shared prompts once in each domain cost as
// much as the bytes that it saved.
func nearest(v *View, rows []row, m ChooseMsg) []row {
	if !v.topology.MultiRegion() {
		return rows
	}
	near, far := v.byRegion(rows, m.Domain)
	others := typical(far)
	if others+farLoad < typical(near) || (others < fullLoad && v.leaves(m)) {
		return far
	}
	return near
}

// leaves reports whether a request is to leave its region: whether leaveAfter servers there
// that it was sent to before are suspect.
func (v *View) leaves(m ChooseMsg) bool {
	failed := 0
	for _, id := range m.Avoid {
		s := v.Find(id)
		if s != nil && v.topology.Distance(m.Domain, s.Domain) < topology.OtherRegion && s.Stats.Suspect(m.Now) {
			failed++
		}
	}
	return failed >= leaveAfter
}

// byRegion parts the rows of the own region from those of others, which come in reverse.
func (v *View) byRegion(rows []row, domain string) (near, far []row) {
	from, parted := v.topology.Location(domain), make([]row, len(rows))
	first, last := 0, len(rows)
	for _, r := range rows {
		if from.Distance(v.Servers[r.index].location) == topology.OtherRegion {
			last--
			parted[last] = r
		} else {
			parted[first] = r
			first++
		}
	}
	return parted[:first], parted[first:]
}

// typical returns the median load, or infinity where there are no servers. The least load
// would not do: servers that no shared prompt ranks first have next to nothing to do while
// all others are full, and of a region that was cut off the last server would have to be
// tried before requests went across.
func typical(rows []row) float64 {
	if len(rows) == 0 {
		return math.Inf(1)
	}
	fills := make([]float64, len(rows))
	for i, r := range rows {
		fills[i] = r.fill
	}
	return nth(fills, (len(fills)-1)/2)
}

// nth returns the value that would be at an index if a list were sorted (quickselect), and
// reorders the list. Each choice of a server needs two medians, and sorting takes longer.
func nth(list []float64, index int) float64 {
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
