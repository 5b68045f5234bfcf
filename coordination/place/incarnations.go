package place

import (
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// incarnationTTL is how long the newest incarnation of a server is remembered after it was
// last listed. It exceeds the age of any list or message that a partitioned or suspended
// instance may still deliver.
const incarnationTTL = time.Hour

// Incarnations tracks the newest incarnation of each server by name, so that delayed lists
// never bring back an earlier one. Only start times that the same server reported are
// compared. The zero value is empty and ready to use.
type Incarnations struct {
	newest map[string]newestIncarnation
}

// newestIncarnation is the newest incarnation of one server.
type newestIncarnation struct {
	start int64
	seen  time.Time // seen is when it was last listed.
}

// Restart is a server that restarted.
type Restart struct {
	Before, After protocol.Incarnation
}

// Filter returns the list without earlier incarnations, never nil, and the servers that
// restarted since they were last listed.
func (s *Incarnations) Filter(list []protocol.Instance, now time.Time) (kept []protocol.Instance, restarts []Restart) {
	if s.newest == nil {
		s.newest = map[string]newestIncarnation{}
	}
	for i := range list {
		in := protocol.ParseIncarnation(list[i].ID)
		before, known := s.newest[in.Name]
		if known && in.Start > before.start {
			restarts = append(restarts, Restart{Before: protocol.Incarnation{Name: in.Name, Start: before.start}, After: in})
		}
		if !known || in.Start >= before.start {
			s.newest[in.Name] = newestIncarnation{start: in.Start, seen: now}
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
		if now.Sub(n.seen) > incarnationTTL {
			delete(s.newest, name)
		}
	}
	return kept, restarts
}
