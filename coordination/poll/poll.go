// Package poll decides which backend servers an instance polls for their load.
//
// Polling all servers continuously, and relaying their reports, costs traffic in
// proportion to their number: 600 reports per second are about 7 kB/s into each
// instance and as much out of it, more than the entire limit for control traffic.
// But an instance needs current reports from only a few of them. At the design
// size it sends 5 requests per second to 600 servers, and has to know the load of
// those it sends to. It therefore polls a limited number of servers per second:
// first those used since their last report, then the others, least recently polled
// first. Stale reports say nothing about the load; state.Pool substitutes the mean
// of the others for them.
package poll

import (
	"cmp"
	"slices"

	"github.com/weldstream/weldstream/state"
)

// usedFraction is the largest fraction of a round that servers in use take up if
// other servers are waiting, so that those are eventually polled.
const usedFraction = 0.75

// Plan returns the indices in v.Servers of up to limit servers to poll in one round.
func Plan(v *state.View, limit int) []int {
	all := make([]int, len(v.Servers))
	for i := range all {
		all[i] = i
	}
	if len(all) <= limit {
		return all
	}
	var used, unused []int
	for i := range v.Servers {
		if v.Servers[i].ReportDue() {
			used = append(used, i)
			continue
		}
		unused = append(unused, i)
	}
	sortByLastPoll(v, used)
	sortByLastPoll(v, unused)
	n := min(len(used), max(1, int(usedFraction*float64(limit))))
	n = max(n, min(len(used), limit-len(unused)))
	return append(used[:n:n], unused[:min(len(unused), limit-n)]...)
}

// sortByLastPoll sorts servers by the time of their last poll, least recently polled
// first.
func sortByLastPoll(v *state.View, list []int) {
	slices.SortStableFunc(list, func(a, b int) int {
		return cmp.Or(v.Servers[a].AskedAt.Compare(v.Servers[b].AskedAt), cmp.Compare(a, b))
	})
}
