package forward

import (
	"errors"
	"fmt"
	"io"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/transport/backend"
)

// An answer is complete if its framing says so and it does not end inside an event. A body that
// ends with its connection says nothing of that: it counts as complete if the server still accepts
// connections, as one that has crashed does not. An answer whose end is not confirmed is treated
// like one that broke off: a truncated answer that looks complete does more harm than a complete
// one that is cut off.

var (
	errEndsInEvent = eris.New("the stream ended inside an event")
	errNoEvents    = eris.New("the stream ended with its connection before its first event")
)

// verifyEnd returns nil if the answer's body is complete, from the error that ended its reading;
// nil stands for io.EOF.
func (t *serverAttempt) verifyEnd(err error) error {
	if errors.Is(err, backend.ErrEndUnconfirmed) {
		return t.confirmEnd()
	}
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// verifyStreamEnd returns nil if a stream is complete, from the error that ended its reading.
func (t *serverAttempt) verifyStreamEnd(err error) error {
	e := &t.x.events
	if e.insideEvent() {
		return errEndsInEvent
	}
	if errors.Is(err, backend.ErrEndUnconfirmed) && !e.hasLast && !e.withoutID {
		return errNoEvents
	}
	return t.verifyEnd(err)
}

// confirmEnd returns nil if the server accepts a new connection, which replaces the one that the
// answer ended with.
func (t *serverAttempt) confirmEnd() error {
	x := t.x
	err := x.g.pool.Confirm(t.server.ID, t.server.Address, clock.Monotonic(x.deadline))
	x.log.Info().Str("server", t.server.ID).Bool("confirmed", err == nil).Err(err).Msg("end of an answer without a length")
	if err != nil {
		return eris.Wrap(err, "the answer has no length, and its server accepts no connection any more")
	}
	return nil
}

// endStream ends an attempt whose stream ended at the server. A server that was told to stop the
// run closes a stream without a length like one that has ended, unless it says that the run had
// ended before.
func (t *serverAttempt) endStream(err error, stop func() bool) *protocol.Refusal {
	t.recordEnd(err)
	if errors.Is(err, backend.ErrEndUnconfirmed) && t.runStopped() {
		return t.streamBroken(err)
	}
	if err := t.verifyStreamEnd(err); err != nil {
		return t.streamBroken(err)
	}
	return t.streamEnded(stop)
}

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
	x.end = answerEnd{framing: framing, ending: backend.EndingOf(err)}
	x.g.meters.countEnd(x.end)
	inEvent := x.events.insideEvent()
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
