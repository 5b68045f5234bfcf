package forward

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// streamReadBytes is the size of the largest read from a stream: several events.
const streamReadBytes = 4 << 10

// relayStream relays events as they arrive. The head is written with the first of them, so
// that a stream that ends before that can still become a refusal.
func (t *serverAttempt) relayStream(stop func() bool) *protocol.Refusal {
	x := t.x
	body := t.conn.Body(x.resp)
	defer x.freeEvent()
	buf := make([]byte, streamReadBytes)
	for {
		n, err := body.Read(buf)
		if err := x.reserveEvent(n); errors.Is(err, errOutOfMemory) {
			return t.refuseForAnswerMemory()
		} else if err != nil {
			return t.streamBroken(err)
		}
		if whole := x.events.append(buf[:n]); len(whole) > 0 {
			if refusal := t.relayEvents(whole); refusal != nil {
				return refusal
			}
		}
		if err != nil {
			return t.endStream(err, stop)
		}
	}
}

// relayEvents passes complete events on to the caller.
func (t *serverAttempt) relayEvents(whole []byte) *protocol.Refusal {
	x := t.x
	t.markPrefillDone()
	if x.events.withoutID {
		// No server can be told where to resume.
		t.untrack()
		x.state.Repeatable = false
	}
	x.recordOrigin(t.server)
	if err := x.writeHead(); err != nil {
		t.conn.Close()
		return callerGone().WithVerdict(protocol.MayHaveRun)
	}
	now := time.Now()
	x.g.heard(x.service)
	t.recordEvents(now)
	t.recordProvenParts()
	if !x.eventsAt.IsZero() {
		x.maxGap = max(x.maxGap, now.Sub(x.eventsAt))
	}
	x.eventsAt = now
	if err := x.answer.WriteChunk(whole); err != nil {
		t.observe(t.answerTimes(now))
		t.conn.Close()
		return callerGone().WithVerdict(protocol.MayHaveRun)
	}
	return nil
}

// writeHead writes the head of the answer once, taken from the first server's answer.
func (x *exchange) writeHead() error {
	if x.headWritten {
		return nil
	}
	x.headWritten = true
	x.firstByte = clock.Since(x.start)
	x.g.recordAnswerStart(x.service, clock.Since(x.start), x.route.Target)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	x.g.dialect.Answer(resp, x.resp)
	return x.answer.WriteHeader(resp)
}

// streamEnded ends the answer after the server ended its stream properly.
func (t *serverAttempt) streamEnded(stop func() bool) *protocol.Refusal {
	x := t.x
	t.x.trust(t.server)
	t.observe(t.answerTimes(time.Now()))
	t.closeOrReuse(true, stop)
	x.recordSuccess()
	x.recordPartSuccess()
	if err := x.writeHead(); err != nil {
		return callerGone().WithVerdict(protocol.MayHaveRun)
	}
	x.recordAnswered()
	if err := x.answer.Finish(); err != nil {
		x.log.Info().Err(err).Msg("caller did not take the answer")
	}
	return nil
}

// streamBroken continues at another server after the last complete event, if the route allows
// it.
func (t *serverAttempt) streamBroken(err error) *protocol.Refusal {
	if t.continueElsewhere() {
		return errRetry
	}
	t.x.g.meters.brokenStreams.Inc(1)
	return t.answerLost(err)
}

// continueElsewhere reports whether a stream that has ended early continues from a copy of its run.
func (t *serverAttempt) continueElsewhere() bool {
	t.x.events.dropPartial()
	if !t.startContinuation() {
		return false
	}
	t.conn.Close()
	return true
}
