package caller

import (
	"slices"
	"time"

	"github.com/weldstream/weldstream/coordination/memory"
)

const (
	// connectionBytes is the memory charged for a connection, in bytes: 10 KB idle or 14 KB with a
	// request in progress (BenchmarkConnection), plus the connection to a server.
	connectionBytes = 24 << 10
	// evictBatch is how many waiting connections are closed at a time if there are too many, so
	// that not every accept has to sort all of them.
	evictBatch = 32
	// refusalLogPause is the minimum time between two log lines about refused connections, so
	// that a flood of connections does not displace other lines.
	refusalLogPause = time.Second
)

// admit reports whether a new connection is accepted, and charges its memory. If there are too
// many connections, it evicts those that have been idle longest, then those that have been
// sending headers longest, so that neither kind can lock out other callers.
func (s *Server) admit(c *Conn) bool {
	if s.maxConns > 0 && s.Conns() >= s.maxConns {
		s.evict()
		if s.Conns() >= s.maxConns {
			return s.refuseConn(c, memory.Decision{})
		}
	}
	v := s.memory.Reserve(&c.connHold, memory.Connection, connectionBytes)
	if !v.Granted {
		s.evict()
		if v = s.memory.Reserve(&c.connHold, memory.Connection, connectionBytes); !v.Granted {
			return s.refuseConn(c, v)
		}
	}
	return true
}

// refuseConn counts and logs a connection that is closed without being read. It returns false.
func (s *Server) refuseConn(c *Conn, v memory.Decision) bool {
	s.refusedConns.Inc(1)
	now := time.Now()
	if now.Sub(s.lastRefusalLog) < refusalLogPause {
		return false
	}
	s.lastRefusalLog = now
	s.log.Info().Int64("refused", s.refusedConns.Count()).Str("caller", c.net.RemoteAddr().String()).Int("connections", s.Conns()).Int("most", s.maxConns).
		Int64("held", v.Held).Int64("bound", v.Bound).Msg("no room for a connection")
	return false
}

// evictionCandidate is a connection that waits for its caller.
type evictionCandidate struct {
	conn  *Conn
	state connState
	since time.Time
}

// evict closes and removes up to evictBatch connections that wait for their callers.
func (s *Server) evict() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []evictionCandidate
	for c := range s.conns {
		if state, since := c.waitState(); state != connBusy {
			list = append(list, evictionCandidate{c, state, since})
		}
	}
	slices.SortFunc(list, func(a, b evictionCandidate) int {
		if a.state != b.state {
			return int(a.state) - int(b.state)
		}
		return a.since.Compare(b.since)
	})
	closed := 0
	for _, w := range list {
		if closed == evictBatch {
			break
		}
		if w.conn.closeIf(w.state) {
			closed++
			delete(s.conns, w.conn)
			s.memory.ReleaseAll(&w.conn.connHold)
		}
	}
	if closed > 0 {
		s.evictions.Inc(int64(closed))
		s.log.Info().Int("closed", closed).Int("waiting", len(list)).Int("connections", len(s.conns)).Msg("waiting connections closed to make room")
	}
}
