package quota

import "time"

// windowSlots is the number of slots in a window. A grant counts for up to one slot longer
// than the window, which costs up to 1/64 of a quota.
const windowSlots = 64

// slidingWindow records the units granted from a quota in the last window.
type slidingWindow struct {
	window   time.Duration
	limit    float64 // limit is the most that may be granted in a window.
	sum      float64
	slotSums []float64 // slotSums holds the units of each slot, indexed by slot number modulo its length.
	lastSlot int64     // lastSlot is the number of the latest slot.
}

func newSlidingWindow(window time.Duration) slidingWindow {
	return slidingWindow{window: window, slotSums: make([]float64, windowSlots+1)}
}

// slot returns the slot number of a time.
func (r *slidingWindow) slot(now time.Time) int64 {
	return now.UnixNano() / int64(r.window/windowSlots)
}

// advance drops the slots that have left the window.
func (r *slidingWindow) advance(now time.Time) {
	latest := r.slot(now)
	if latest-r.lastSlot > int64(len(r.slotSums)) {
		r.lastSlot = latest - int64(len(r.slotSums))
	}
	for r.lastSlot < latest {
		r.lastSlot++
		i := r.lastSlot % int64(len(r.slotSums))
		r.sum -= r.slotSums[i]
		r.slotSums[i] = 0
	}
}

// remaining returns how many units may be granted now.
func (r *slidingWindow) remaining(now time.Time) float64 {
	r.advance(now)
	return max(0, r.limit-r.sum)
}

// add records a grant.
func (r *slidingWindow) add(units float64, now time.Time) {
	r.advance(now)
	r.slotSums[r.lastSlot%int64(len(r.slotSums))] += units
	r.sum += units
}

// refund removes unspent units from the latest grants: leases are short, so these are the
// ones that were returned.
func (r *slidingWindow) refund(units float64) {
	for n := int64(0); n < int64(len(r.slotSums)) && n <= r.lastSlot && units > 0; n++ {
		i := (r.lastSlot - n) % int64(len(r.slotSums))
		refunded := min(units, r.slotSums[i])
		r.slotSums[i] -= refunded
		r.sum -= refunded
		units -= refunded
	}
}

// timeUntil returns how long it takes until the units may be granted, 0 if they may be
// granted now. For more units than the limit, it returns one window.
func (r *slidingWindow) timeUntil(units float64, now time.Time) time.Duration {
	missing := units - r.remaining(now)
	for n := int64(1); n <= int64(len(r.slotSums)) && missing > 0; n++ {
		missing -= r.slotSums[(r.lastSlot+n)%int64(len(r.slotSums))]
		if missing <= 0 {
			return time.Duration(n) * (r.window / windowSlots)
		}
	}
	if missing > 0 {
		return r.window
	}
	return 0
}
