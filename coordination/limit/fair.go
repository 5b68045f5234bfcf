package limit

import "container/heap"

// want is the number of slots that one party demands, and its weight.
type want struct {
	weight int
	slots  int
}

// maxMinFair divides slots by weighted max-min fairness: no party gets more than it demands,
// and what one leaves goes to the others by their weights. Whole slots are assigned one at a
// time to the party with the least for its weight, by the Sainte-Laguë method, which favors
// neither large nor small parties.
func maxMinFair(slots int, wants []want) []int {
	got := make([]int, len(wants))
	queue := make(fairQueue, 0, len(wants))
	for i, w := range wants {
		if w.slots > 0 {
			queue = append(queue, entry{index: i, due: 0.5 / float64(max(1, w.weight))})
		}
	}
	heap.Init(&queue)
	for ; slots > 0 && len(queue) > 0; slots-- {
		next := &queue[0]
		i := next.index
		got[i]++
		if got[i] == wants[i].slots {
			heap.Pop(&queue)
			continue
		}
		next.due = (float64(got[i]) + 0.5) / float64(max(1, wants[i].weight))
		heap.Fix(&queue, 0)
	}
	return got
}

// entry is a party in the queue; the lowest due value gets the next slot.
type entry struct {
	index int
	due   float64
}

// fairQueue is a heap with the party that gets the next slot at its root.
type fairQueue []entry

// Len implements heap.Interface.
func (q fairQueue) Len() int { return len(q) }

// Less implements heap.Interface. Ties are broken by position, so that the result is
// deterministic.
func (q fairQueue) Less(i, j int) bool {
	if q[i].due != q[j].due {
		return q[i].due < q[j].due
	}
	return q[i].index < q[j].index
}

// Swap implements heap.Interface.
func (q fairQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *fairQueue) Push(x any) { *q = append(*q, x.(entry)) }

// Pop implements heap.Interface.
func (q *fairQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
