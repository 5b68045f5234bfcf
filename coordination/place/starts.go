package place

import (
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// startKept is for how long the newest start of a server is remembered that is not listed
// any more: longer than any list, message or instance that was cut off or suspended is old.
const startKept = time.Hour

// Incarnations remember the newest start of each server by its name, so that older news of a
// former start never bring that back. Incarnations are compared among what one server said of
// itself alone. The zero value knows none.
type Incarnations struct {
	newest map[string]newestStart
}

// newestStart is the newest start of one server.
type newestStart struct {
	start int64
	seen  time.Time // seen is when it was listed last.
}

// Restart is a server that started again.
type Restart struct {
	Before, After protocol.Incarnation
}

// Filter returns the listed servers without those of former starts, which is no nil list,
// and which servers have started again since they were listed last.
func (s *Incarnations) Filter(list []protocol.Instance, now time.Time) (kept []protocol.Instance, again []Restart) {
	if s.newest == nil {
		s.newest = map[string]newestStart{}
	}
	for i := range list {
		in := protocol.ParseIncarnation(list[i].ID)
		before, known := s.newest[in.Name]
		if known && in.Start > before.start {
			again = append(again, Restart{Before: protocol.Incarnation{Name: in.Name, Start: before.start}, After: in})
		}
		if !known || in.Start >= before.start {
			s.newest[in.Name] = newestStart{start: in.Start, seen: now}
		}
	}
	kept = make([]protocol.Instance, 0, len(list))
	for i := range list {
		in := protocol.ParseIncarnation(list[i].ID)
		if s.newest[in.Name].start == in.Start {
			kept = append(kept, list[i])
		}
	}
	for name, n := range s.newest {
		if now.Sub(n.seen) > startKept {
			delete(s.newest, name)
		}
	}
	return kept, again
}
