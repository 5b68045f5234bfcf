package move

import (
	"cmp"
	"slices"
)

// Run is a run that could be moved.
type Run struct {
	Priority        int  // Priority is its rank, 0 first.
	ComputedTokens  int  // Read are the tokens that were read and made for it: what would be done again.
	RemainingTokens int  // Left are the most tokens that it may still make.
	NoRetry         bool // NoRetry says that its request is not repeatable: without a move its answer is lost.
}

// Order returns the indices of some runs, the most worthwhile first: those of a higher
// rank, then those that would be lost without a move, then those that would have the
// most read again. It is the order in which they are moved where the links or the time
// do not carry all.
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
