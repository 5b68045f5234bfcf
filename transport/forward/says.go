package forward

import (
	"sync"

	"github.com/weldstream/weldstream/protocol"
)

// says is what servers say of themselves beside their answers.
type says struct {
	mu     sync.Mutex                    // mu guards limits; no other lock is taken under it.
	limits map[string]protocol.RateLimit // limits are those that servers named last.
}

// heard notes what a server said beside an answer to an exchange.
func (s *says) heard(x *exchange, server string, said protocol.ServerSays) {
	if said.Unread != "" {
		x.log.Warn().Str("server", server).Str("said", said.Unread).Msg("what a server says of itself cannot be read")
		return // What it said before holds.
	}
	s.mu.Lock()
	before := s.limits[server]
	if said.Limit.Named {
		s.limits[server] = said.Limit
	} else {
		delete(s.limits, server)
	}
	s.mu.Unlock()
	if before != said.Limit {
		x.g.meters.limits.Inc(1)
		x.log.Info().Str("server", server).Bool("named", said.Limit.Named).Float64("rate", said.Limit.PerSecond).Float64("before", before.PerSecond).Msg("server names another limit")
	}
}
