package limit

import "container/heap"

// want is what one party asks for, and its weight against the others.
type want struct {
	weight int
	slots  int
}

// fair divides slots by weighted max-min fairness: nobody gets more than it
// wants, and what one leaves goes to the others by their weights. Whole slots
// are given one after the other to whoever has the least for its weight, by
// the method of Sainte-Laguë, which favors neither the large nor the small.
func fair(slots int, wants []want) []int {
	got := make([]int, len(wants))
	queue := make(fairQueue, 0, len(wants))
	for i, w := range wants {
		if w.slots > 0 {
			queue = append(queue, entry{index: i, due: 0.5 / float64(max(1, w.weight))})
		}
	}
	heap.Init(&queue)
	for ; slots > 0 && len(queue) > 0; slots-- {
		t := &queue[0]
		i := t.index
		got[i]++
		if got[i] == wants[i].slots {
			heap.Pop(&queue)
			continue
		}
		t.due = (float64(got[i]) + 0.5) / float64(max(1, wants[i].weight))
		heap.Fix(&queue, 0)
	}
	return got
}

// entry is when a party is due for its next slot; the lowest is next.
type entry struct {
	index int
	due   float64
}

// fairQueue has the party that is due next in front.
type fairQueue []entry

// Len implements heap.Interface.
func (l fairQueue) Len() int { return len(l) }

// Less implements heap.Interface. Ties go by position, so that every instance
// divides alike.
func (l fairQueue) Less(i, j int) bool {
	if l[i].due != l[j].due {
		return l[i].due < l[j].due
	}
	return l[i].index < l[j].index
}

// Swap implements heap.Interface.
func (l fairQueue) Swap(i, j int) { l[i], l[j] = l[j], l[i] }

// Push implements heap.Interface.
func (l *fairQueue) Push(x any) { *l = append(*l, x.(entry)) }

// Pop implements heap.Interface.
func (l *fairQueue) Pop() any {
	old := *l
	last := old[len(old)-1]
	*l = old[:len(old)-1]
	return last
}
