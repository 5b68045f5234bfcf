package forward

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"

	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/coordination/resend"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/transport/backend"
	"github.com/weldstream/weldstream/transport/caller"
)

// A gateway that does not reach the servers of a service passes requests on to one that does, its
// helper. The whole request goes there, and the answer comes back as it is. The helper treats it
// like one of its own callers' requests: it chooses the server, acquires permits, takes the retries
// and counts the usage. Units of the quota are taken once: by the helper, or by the first gateway
// if it noticed only after that. A request is passed on once, and only while no server may have
// received it. Once it has been sent to a helper, it may have run unless the helper says otherwise.

const (
	// passHeader is the header with which a gateway marks a request that it passes on. Only
	// gateways can connect to where it is read.
	passHeader = "Weldstream-Passed"
	// passNew marks a request for which nothing was counted yet.
	passNew = "new"
	// passCounted marks a request that the first gateway counted and for which it took quota.
	passCounted = "counted"
	// passUnservedHeader is the header of a refusal by a helper that could not try: another
	// gateway may be able to.
	passUnservedHeader = "Weldstream-Unserved"
	// maxHelpers bounds the helpers that are asked for one request.
	maxHelpers = 3
)

// passesOn decides by chance whether a request that has just arrived is passed on.
func (x *exchange) passesOn() bool {
	return x.passed == "" && rand.Float64() < x.g.passShare(x.service)
}

// unreachable continues after a server could not be reached: at another gateway if more of the
// servers cannot be reached from here than from there, otherwise at another server.
func (x *exchange) unreachable(err error) *protocol.Refusal {
	first := x.passed == "" && x.continuation == nil && x.state.Sent == 0 && !x.state.MayHaveRun
	if first && x.g.passShare(x.service) > 0 {
		if refusal := x.pass(passCounted); refusal != errRetry {
			return refusal
		}
	}
	return x.afterFailure(protocol.NotRun, false, "the server cannot be reached: "+err.Error())
}

// pass passes the request on. It returns nil if a helper answered it, a refusal if the answer did
// not come, and errRetry if no helper took it.
func (x *exchange) pass(mark string) *protocol.Refusal {
	helpers := x.g.helpers(x.service)
	for i := range helpers[:min(len(helpers), maxHelpers)] {
		refusal := x.passTo(&helpers[i], mark)
		if refusal != errRetry {
			return refusal
		}
		x.g.peers.couldNotHelp(helpers[i].Name)
	}
	x.g.meters.passesUntaken.Inc(1)
	return errRetry
}

// passTo passes the request on to one helper.
func (x *exchange) passTo(helper *protocol.Peer, mark string) *protocol.Refusal {
	conn, err := x.g.peers.pool.Get(helper.Name, helper.Address, clock.Monotonic(x.deadline))
	if err != nil {
		x.log.Info().Str("helper", helper.Name).Err(err).Msg("another gateway cannot be reached")
		return errRetry
	}
	p := &passAttempt{x: x, helper: helper.Name, conn: conn}
	return p.run(mark)
}

// passAttempt is one attempt to pass a request on to one helper.
type passAttempt struct {
	x      *exchange
	helper string
	conn   *backend.Conn
}

func (p *passAttempt) run(mark string) *protocol.Refusal {
	x := p.x
	stop := context.AfterFunc(x.ctx, p.conn.Close)
	defer stop()
	x.out.Reset()
	x.resp.Reset()
	x.g.dialect.Pass(x.out, x.in, x.timeLeft()-returnMargin)
	x.out.Header.Set(passHeader, mark)
	x.out.Header.Del(callHeader) // Only gateways call gateways.
	early, err := p.conn.Exchange(x.out, x.resp, clock.Monotonic(x.deadline))
	if err != nil && !p.conn.Wrote() && x.ctx.Err() == nil {
		p.conn.Close()
		return errRetry
	}
	if err != nil {
		return p.answerLost(err)
	}
	if len(x.resp.Header.Peek(passUnservedHeader)) > 0 {
		return p.untaken(early, stop)
	}
	x.g.meters.passes.Inc(1)
	if x.resp.Header.ContentLength() >= 0 {
		return p.relayWhole(early, stop)
	}
	return p.relayChunks(early, stop)
}

// untaken ends an attempt at a helper that could not try.
func (p *passAttempt) untaken(early bool, stop func() bool) *protocol.Refusal {
	err := discard(p.conn.Body(p.x.resp))
	p.closeOrReuse(err == nil && !early, stop)
	p.x.log.Info().Str("helper", p.helper).Int("status", p.x.resp.StatusCode()).Msg("another gateway could not help")
	return errRetry
}

// answerLost ends an attempt whose answer did not arrive. The helper may have sent the request to
// a server.
func (p *passAttempt) answerLost(err error) *protocol.Refusal {
	p.conn.Close()
	x := p.x
	x.state.MayHaveRun = true
	x.g.meters.passesLost.Inc(1)
	x.log.Warn().Str("helper", p.helper).Err(err).Msg("another gateway did not answer")
	switch {
	case x.callerCtx.Err() != nil:
		return callerGone().WithVerdict(protocol.MayHaveRun)
	case errors.Is(err, errOutOfMemory):
		return protocol.NewRefusal(protocol.StatusBadGateway, protocol.CodeMemory, "no memory is left for the answer").WithVerdict(protocol.MayHaveRun)
	case x.ctx.Err() != nil:
		return protocol.NewRefusal(protocol.StatusGatewayTimeout, protocol.CodeDeadline, "the deadline passed before the answer").WithVerdict(protocol.MayHaveRun)
	}
	return protocol.NewRefusal(protocol.StatusBadGateway, protocol.CodeBackendFailed, "the gateway %q did not answer: %v", p.helper, err).WithVerdict(protocol.MayHaveRun)
}

// closeOrReuse returns the connection to the pool if it is still usable, and closes it otherwise.
func (p *passAttempt) closeOrReuse(usable bool, stop func() bool) {
	if !usable || p.x.resp.ConnectionClose() || !stop() {
		p.conn.Close()
		return
	}
	p.x.g.peers.pool.Put(p.helper, p.conn, 0)
}

// relayWhole relays an answer of known length, which is read to its end first, so that one that is
// cut off can still become a refusal.
func (p *passAttempt) relayWhole(early bool, stop func() bool) *protocol.Refusal {
	x := p.x
	defer x.answer.Release()
	data, err := x.readWhole(p.conn.Body(x.resp), x.resp.Header.ContentLength())
	if err != nil {
		return p.answerLost(err)
	}
	p.closeOrReuse(!early, stop)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	x.g.dialect.Answer(resp, x.resp)
	resp.SetBodyRaw(data)
	p.record()
	if err := x.answer.WriteResponse(resp); err != nil {
		x.log.Info().Err(err).Msg("caller did not take the answer")
	}
	return nil
}

// relayChunks relays a stream as it arrives.
func (p *passAttempt) relayChunks(early bool, stop func() bool) *protocol.Refusal {
	x := p.x
	body := p.conn.Body(x.resp)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	x.g.dialect.Answer(resp, x.resp)
	x.headWritten = true
	if err := x.answer.WriteHeader(resp); err != nil {
		return p.answerLost(err)
	}
	buf := make([]byte, streamReadBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if err := x.answer.WriteChunk(buf[:n]); err != nil {
				return p.answerLost(err)
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return p.answerLost(err)
		}
	}
	p.closeOrReuse(!early, stop)
	p.record()
	if err := x.answer.Finish(); err != nil {
		x.log.Info().Err(err).Msg("caller did not take the answer")
	}
	return nil
}

// record logs and counts an answer that a helper gave.
func (p *passAttempt) record() {
	x := p.x
	x.g.meters.answered.Inc(1)
	x.log.Info().Str("outcome", "passed").Str("helper", p.helper).Int("status", x.resp.StatusCode()).Dur("after", clock.Since(x.start)).Msg("request")
}

// PassHandler returns the handler of requests that other gateways pass on to this one.
func (g *Gateway) PassHandler() caller.Handler { return passHandler{g} }

// passHandler serves requests that other gateways pass on.
type passHandler struct{ *Gateway }

// Serve implements caller.Handler.
func (h passHandler) Serve(ctx context.Context, req *fasthttp.Request, a *caller.ResponseWriter) {
	if h.serveCall(req, a) {
		return
	}
	mark := string(req.Header.Peek(passHeader))
	if mark == "" {
		mark = passNew
	}
	req.Header.Del(passHeader)
	h.meters.passesServed.Inc(1)
	x := newExchange(ctx, h.Gateway, req, a)
	x.passed = mark
	defer x.release()
	x.run()
}

// unservedCodes are the codes of refusals that say nothing of what another gateway could do.
var unservedCodes = map[protocol.Code]bool{protocol.CodeLeaving: true, protocol.CodeNotReady: true, protocol.CodeNoQuorum: true, protocol.CodeNoPath: true, protocol.CodeVersionUnknown: true}

// markUnserved marks the refusal of a request that another gateway passed on and for which that
// one may try a further gateway.
func (x *exchange) markUnserved(resp *fasthttp.Response, r *protocol.Refusal) {
	reachedNone := x.state.Sent == 0 && x.state.FailedConnects > 0
	if x.passed != "" && r.Verdict == protocol.NotRun && (unservedCodes[r.Code] || reachedNone) {
		resp.Header.Set(passUnservedHeader, "1")
	}
}

// refuseWithoutPath refuses a request for a service none of whose servers is reached from here.
// It returns nil if some may be.
func (x *exchange) refuseWithoutPath() *protocol.Refusal {
	lost := x.g.lostServers(x.service)
	if len(lost) == 0 || len(lost) < x.g.view.Load().Listed(x.service) {
		return nil
	}
	return protocol.NewRefusal(protocol.StatusServiceUnavailable, protocol.CodeNoPath, "no server of the service is reached from here").WithRetryAfter(resend.RetryAfter(x.route.Target))
}
