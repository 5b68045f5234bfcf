package forward

import (
	"fmt"
	"io"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/weldstream/weldstream/transport/backend"
)

// answerEnd is how the answer of a server ended.
type answerEnd struct {
	framing backend.Framing
	ending  backend.Ending
}

// recordEnd records how the answer's body ended, from the error that ended its reading; nil stands
// for io.EOF.
func (t *serverAttempt) recordEnd(err error) {
	x := t.x
	if err == nil {
		err = io.EOF
	}
	framing := backend.FramingOf(x.resp)
	x.end = answerEnd{framing: framing, ending: backend.EndingOf(framing, err)}
	x.g.meters.countEnd(x.end)
	inEvent := len(x.events.partial) > 0
	if x.end.ending == backend.EndedWhole && !inEvent {
		return
	}
	x.log.Info().Str("server", t.server.ID).Stringer("framing", framing).Stringer("ending", x.end.ending).
		Bool("in_event", inEvent).Str("last_event", x.events.last).Str("reason", err.Error()).Msg("answer did not end by its framing")
}

// countEnd counts an answer of a server by its framing and its end.
func (m *meters) countEnd(end answerEnd) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.ends[end]
	if c == nil {
		c = metrics.GetOrRegisterCounter(fmt.Sprintf("answers.ended{framing=%q,ending=%q}", end.framing, end.ending), m.registry)
		m.ends[end] = c
	}
	c.Inc(1)
}
