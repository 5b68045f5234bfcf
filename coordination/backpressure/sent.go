package backpressure

import (
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// sentSlots cover the window.
const sentSlots = int(Window / protocol.SentInterval)

// sent counts the requests that a gateway sent to one server of late.
type sent struct {
	slots [sentSlots]int // slots are by the number of the slot of time, modulo their count.
	last  int64          // last is the number of the latest slot.
}

// add counts a request.
func (s *sent) add(now time.Time) {
	s.forget(now)
	s.slots[s.last%int64(sentSlots)]++
}

// byAge returns the counts by age, the latest first, without the empty ones at the end.
func (s *sent) byAge(now time.Time) []int {
	s.forget(now)
	var list []int
	for n := range int64(sentSlots) {
		list = append(list, s.slots[(s.last-n)%int64(sentSlots)])
	}
	for len(list) > 0 && list[len(list)-1] == 0 {
		list = list[:len(list)-1]
	}
	return list
}

// forget drops what lies behind the window.
func (s *sent) forget(now time.Time) {
	latest := now.UnixNano() / int64(protocol.SentInterval)
	s.last = max(s.last, latest-int64(sentSlots))
	for s.last < latest {
		s.last++
		s.slots[s.last%int64(sentSlots)] = 0
	}
}
