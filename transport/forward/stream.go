package forward

import (
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// pieceBytes, in bytes, is the most that is read of a stream at a time: several events.
const pieceBytes = 4 << 10

// stream relays events as they arrive. The head waits for the first of them, so
// that a stream that ends before can still become a refusal.
func (t *try) stream(stop func() bool) *protocol.Refusal {
	x := t.x
	body, err := t.conn.Body(x.resp)
	if err != nil {
		return t.lost(err)
	}
	buf := make([]byte, pieceBytes)
	for {
		n, err := body.Read(buf)
		if whole := x.events.take(buf[:n]); len(whole) > 0 {
			if refusal := t.relay(whole); refusal != nil {
				return refusal
			}
		}
		if errors.Is(err, io.EOF) {
			return t.streamEnded(stop)
		}
		if err != nil {
			return t.streamBroke(err)
		}
	}
}

// relay passes whole events on.
func (t *try) relay(whole []byte) *protocol.Refusal {
	x := t.x
	t.hasRead()
	if x.events.bare {
		t.untrack() // It is not moved.
	}
	if err := x.head(); err != nil {
		t.conn.Close()
		return callerGone().WithVerdict(protocol.MayHaveRun)
	}
	now := time.Now()
	t.eventsCame(now)
	if !x.pieceAt.IsZero() {
		x.gap = max(x.gap, now.Sub(x.pieceAt))
	}
	x.pieceAt = now
	if err := x.answer.WriteChunk(whole); err != nil {
		t.observe(t.times(now))
		t.conn.Close()
		return callerGone().WithVerdict(protocol.MayHaveRun)
	}
	return nil
}

// head writes the head of the answer once: that of the first server.
func (x *exchange) head() error {
	if x.headed {
		return nil
	}
	x.headed = true
	x.first = clock.Since(x.start)
	x.g.begun(x.service, clock.Since(x.start), x.route.Target)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	x.g.dialect.Answer(resp, x.resp)
	return x.answer.WriteHeader(resp)
}

// streamEnded ends the answer: the server said that it is whole.
func (t *try) streamEnded(stop func() bool) *protocol.Refusal {
	x := t.x
	if len(x.events.rest) > 0 {
		// The server ended in the middle of an event, and called it whole.
		if refusal := t.relay(x.events.rest); refusal != nil {
			return refusal
		}
	}
	t.x.trust(t.server)
	t.observe(t.times(time.Now()))
	t.finish(true, stop)
	x.endedWell()
	if err := x.head(); err != nil {
		return callerGone().WithVerdict(protocol.MayHaveRun)
	}
	x.note()
	if err := x.answer.Finish(); err != nil {
		x.log.Info().Err(err).Msg("answer not taken")
	}
	return nil
}

// streamBroke goes on elsewhere behind the last whole event, if the route allows.
func (t *try) streamBroke(err error) *protocol.Refusal {
	x := t.x
	x.events.rest = x.events.rest[:0]
	if t.continuesElsewhere() {
		t.conn.Close()
		return errAgain
	}
	x.g.meters.broken.Inc(1)
	return t.lost(err)
}
