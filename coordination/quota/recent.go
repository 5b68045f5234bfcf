package quota

import "time"

// slots are into how many parts a window is divided: what was granted counts for at
// most one part longer than the window, so a sixty-fourth of a quota is lost by it.
const slots = 64

// recent is what was granted of one quota in the last window.
type recent struct {
	window time.Duration
	most   float64 // most may be granted in a window.
	sum    float64
	parts  []float64 // parts are by the number of the slot of time, modulo their count.
	last   int64     // last is the number of the latest slot.
}

func newRecent(window time.Duration) recent {
	return recent{window: window, parts: make([]float64, slots+1)}
}

// slot returns the number of a time's slot.
func (r *recent) slot(now time.Time) int64 { return now.UnixNano() / int64(r.window/slots) }

// forget drops what lies behind the window.
func (r *recent) forget(now time.Time) {
	latest := r.slot(now)
	if latest-r.last > int64(len(r.parts)) {
		r.last = latest - int64(len(r.parts))
	}
	for r.last < latest {
		r.last++
		i := r.last % int64(len(r.parts))
		r.sum -= r.parts[i]
		r.parts[i] = 0
	}
}

// room is how much may be granted now.
func (r *recent) room(now time.Time) float64 {
	r.forget(now)
	return max(0, r.most-r.sum)
}

// add notes a grant.
func (r *recent) add(units float64, now time.Time) {
	r.forget(now)
	r.parts[r.last%int64(len(r.parts))] += units
	r.sum += units
}

// back takes units off that were not spent, from the latest grants: parts expire
// soon.
func (r *recent) back(units float64) {
	for n := int64(0); n < int64(len(r.parts)) && n <= r.last && units > 0; n++ {
		i := (r.last - n) % int64(len(r.parts))
		part := min(units, r.parts[i])
		r.parts[i] -= part
		r.sum -= part
		units -= part
	}
}

// free is how long it takes until some units may be granted, 0 if they may be now.
// More than a quota allows in a window is there after a whole one.
func (r *recent) free(units float64, now time.Time) time.Duration {
	lacking := units - r.room(now)
	for n := int64(1); n <= int64(len(r.parts)) && lacking > 0; n++ {
		lacking -= r.parts[(r.last+n)%int64(len(r.parts))]
		if lacking <= 0 {
			return time.Duration(n) * (r.window / slots)
		}
	}
	if lacking > 0 {
		return r.window
	}
	return 0
}
