package caller

import (
	"slices"
	"time"

	"github.com/weldstream/weldstream/coordination/memory"
)

const (
	// connectionBytes is what a connection is taken to cost, in bytes: 10 KB at rest and 14 KB with
	// a request under way (BenchmarkConnection), and the one to a server beside it.
	connectionBytes = 24 << 10
	// evictBatch is how many waiting connections are closed at a time where there are too
	// many, so that not each accept has to sort all of them.
	evictBatch = 32
	// refusalLogPause is the least time between two log lines of refused connections: a
	// flood of them must not push other lines out.
	refusalLogPause = time.Second
)

// admit takes a connection in, or says that there is no room for it. Where there are too
// many, those that rest longest go first, then those that have sent a part of their
// headers longest ago: so many of either keep no other caller out.
func (s *Server) admit(c *Conn) bool {
	if s.mostConns > 0 && s.Conns() >= s.mostConns {
		s.evict()
		if s.Conns() >= s.mostConns {
			return s.refuseConn(c, memory.Decision{})
		}
	}
	v := s.memory.Reserve(&c.cost, memory.Connection, connectionBytes)
	if !v.Granted {
		s.evict()
		if v = s.memory.Reserve(&c.cost, memory.Connection, connectionBytes); !v.Granted {
			return s.refuseConn(c, v)
		}
	}
	return true
}

// refuseConn counts and logs a connection that is closed unread, and returns false.
func (s *Server) refuseConn(c *Conn, v memory.Decision) bool {
	s.refusedConns.Inc(1)
	now := time.Now()
	if now.Sub(s.refusalLogged) < refusalLogPause {
		return false
	}
	s.refusalLogged = now
	s.log.Info().Int64("refused", s.refusedConns.Count()).Str("caller", c.net.RemoteAddr().String()).Int("connections", s.Conns()).Int("most", s.mostConns).
		Int64("held", v.Held).Int64("bound", v.Bound).Msg("no room for a connection")
	return false
}

// waiting is a connection that waits for its caller.
type waiting struct {
	conn  *Conn
	state connState
	since time.Time
}

// evict closes connections that wait for their callers, and forgets them.
func (s *Server) evict() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []waiting
	for c := range s.conns {
		if state, since := c.waits(); state != connBusy {
			list = append(list, waiting{c, state, since})
		}
	}
	slices.SortFunc(list, func(a, b waiting) int {
		if a.state != b.state {
			return int(a.state) - int(b.state)
		}
		return a.since.Compare(b.since)
	})
	gone := 0
	for _, w := range list {
		if gone == evictBatch {
			break
		}
		if w.conn.closeIf(w.state) {
			gone++
			delete(s.conns, w.conn)
			s.memory.ReleaseAll(&w.conn.cost)
		}
	}
	if gone > 0 {
		s.evictions.Inc(int64(gone))
		s.log.Info().Int("closed", gone).Int("waiting", len(list)).Int("connections", len(s.conns)).Msg("waiting connections closed to make room")
	}
}
