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
	line := make(fairLine, 0, len(wants))
	for i, w := range wants {
		if w.slots > 0 {
			line = append(line, turn{index: i, due: 0.5 / float64(max(1, w.weight))})
		}
	}
	heap.Init(&line)
	for ; slots > 0 && len(line) > 0; slots-- {
		t := &line[0]
		i := t.index
		got[i]++
		if got[i] == wants[i].slots {
			heap.Pop(&line)
			continue
		}
		t.due = (float64(got[i]) + 0.5) / float64(max(1, wants[i].weight))
		heap.Fix(&line, 0)
	}
	return got
}

// turn is when a party is due for its next slot; the lowest is next.
type turn struct {
	index int
	due   float64
}

// fairLine has the party that is due next in front.
type fairLine []turn

// Len implements heap.Interface.
func (l fairLine) Len() int { return len(l) }

// Less implements heap.Interface. Ties go by position, so that every instance
// divides alike.
func (l fairLine) Less(i, j int) bool {
	if l[i].due != l[j].due {
		return l[i].due < l[j].due
	}
	return l[i].index < l[j].index
}

// Swap implements heap.Interface.
func (l fairLine) Swap(i, j int) { l[i], l[j] = l[j], l[i] }

// Push implements heap.Interface.
func (l *fairLine) Push(x any) { *l = append(*l, x.(turn)) }

// Pop implements heap.Interface.
func (l *fairLine) Pop() any {
	old := *l
	last := old[len(old)-1]
	*l = old[:len(old)-1]
	return last
}
