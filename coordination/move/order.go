package move

import (
	"cmp"
	"slices"
)

// Run describes a run that could be moved.
type Run struct {
	Priority        int  // Priority is the priority of its request; 0 is the highest.
	ComputedTokens  int  // ComputedTokens is the number of tokens that would have to be computed again.
	RemainingTokens int  // RemainingTokens is the maximum number of tokens still to be generated.
	NoRetry         bool // NoRetry is set when the request is not repeatable: without a move its answer is lost.
}

// Order returns the indices of the runs in the order in which to move them, for when
// link bandwidth or time does not suffice for all: by priority, then those that would be
// lost without a move, then by the tokens that would have to be computed again, then by
// the tokens that remain, most first.
func Order(runs []Run) []int {
	order := make([]int, len(runs))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := runs[a], runs[b]
		noRetryFirst := func(r Run) int {
			if r.NoRetry {
				return 0
			}
			return 1
		}
		return cmp.Or(cmp.Compare(x.Priority, y.Priority), cmp.Compare(noRetryFirst(x), noRetryFirst(y)), cmp.Compare(y.ComputedTokens, x.ComputedTokens), cmp.Compare(y.RemainingTokens, x.RemainingTokens))
	})
	return order
}
