// Package poll decides which backend servers an instance asks for their load.
//
// Asking all of them all the time grows with the servers, and so does passing
// their reports on: 600 reports a second are some 7 kB/s into each instance and
// as much out of it, over the whole bound for control. But an instance needs to
// know few of them well. At the size to design for it sends 5 requests a second
// to 600 servers, and what it must know is how loaded the servers are that it
// sends to. So it asks, with a bounded number of reads a second, first the
// servers that it used since their last report, and with what is left the rest,
// the oldest report first. Reports that have grown old tell nothing about the
// load; state.Pool takes them for the mean of the others.
package poll

import (
	"cmp"
	"slices"

	"github.com/weldstream/weldstream/state"
)

// usedPart is the part of a round that servers in use may take up, so that the
// others are always reached in the end.
const usedPart = 0.75

// Plan returns the positions in v.Servers of those to ask in one round, at most
// most of them.
func Plan(v *state.View, most int) []int {
	all := make([]int, len(v.Servers))
	for i := range all {
		all[i] = i
	}
	if len(all) <= most {
		return all
	}
	var used, rest []int
	for i := range v.Servers {
		if v.Servers[i].ReportDue() {
			used = append(used, i)
			continue
		}
		rest = append(rest, i)
	}
	oldest(v, used)
	oldest(v, rest)
	n := min(len(used), max(1, int(usedPart*float64(most))))
	n = max(n, min(len(used), most-len(rest)))
	return append(used[:n:n], rest[:min(len(rest), most-n)]...)
}

// oldest sorts by the age of the last question, the oldest first.
func oldest(v *state.View, list []int) {
	slices.SortStableFunc(list, func(a, b int) int {
		return cmp.Or(v.Servers[a].AskedAt.Compare(v.Servers[b].AskedAt), cmp.Compare(a, b))
	})
}
