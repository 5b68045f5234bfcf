package backpressure

import (
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// windowSlots is the number of slots in a Window.
const windowSlots = int(Window / protocol.SentInterval)

// sentCounter counts the requests that a gateway sent to one server within the last Window.
type sentCounter struct {
	slots  [windowSlots]int // slots is a ring buffer, indexed by the number of the time slot modulo windowSlots.
	latest int64            // latest is the number of the latest time slot.
}

// add counts a request.
func (s *sentCounter) add(now time.Time) {
	s.advance(now)
	s.slots[s.latest%int64(windowSlots)]++
}

// byAge returns the counts by age, the latest first, without trailing zeros.
func (s *sentCounter) byAge(now time.Time) []int {
	s.advance(now)
	var list []int
	for n := range int64(windowSlots) {
		list = append(list, s.slots[(s.latest-n)%int64(windowSlots)])
	}
	for len(list) > 0 && list[len(list)-1] == 0 {
		list = list[:len(list)-1]
	}
	return list
}

// advance moves on to the current time slot and clears the slots that left the Window.
func (s *sentCounter) advance(now time.Time) {
	current := now.UnixNano() / int64(protocol.SentInterval)
	s.latest = max(s.latest, current-int64(windowSlots))
	for s.latest < current {
		s.latest++
		s.slots[s.latest%int64(windowSlots)] = 0
	}
}
