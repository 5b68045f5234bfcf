package forward

import (
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/coordination/move"
	"github.com/weldstream/weldstream/coordination/place"
)

// Mover translates the calls that move the memory of a running answer.
type Mover interface {
	// CopyRequest builds the call that makes a server copy a run's memory to another server.
	CopyRequest(out *fasthttp.Request, c CopyCall)
	// ReadCopyReply reads the answer to a copy call.
	ReadCopyReply(status int, body []byte) CopyReply
	// FreeRequest builds the call that frees a copy at both of its servers.
	FreeRequest(out *fasthttp.Request, handle string)
	// CopyName returns the name of a source's copy for the request that continues from it.
	CopyName(source, handle string) string
}

// CopyCall is a request to copy a run.
type CopyCall struct {
	Request   string // Request is the request ID of the run.
	Target    string // Target is the address of the server that receives the copy.
	StopFirst bool   // StopFirst makes the source stop the run before it copies.
}

// CopyReply is the answer to a CopyCall.
type CopyReply struct {
	Outcome move.Outcome
	Handle  string
}

// requestCopy makes the run's server copy its memory to a target. If last is set, the server
// stops the run first.
func (r *activeRun) requestCopy(target *place.Server, last bool) CopyReply {
	out := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(out)
	r.g.moves.mover.CopyRequest(out, CopyCall{Request: r.call.ID, Target: target.Address, StopFirst: last})
	r.g.forcePermit(r.server.ID) // Without the move the run's answer would be cut off.
	began := time.Now()
	status, body, err := r.g.call(r.server, out, began.Add(copyTimeout))
	var reply CopyReply
	if err == nil {
		reply = r.g.moves.mover.ReadCopyReply(status, body)
	}
	r.g.meters.copyDuration.UpdateSince(began)
	r.log.Info().Err(err).Str("server", r.server.ID).Str("target", target.ID).Bool("last", last).Int("status", status).Str("handle", reply.Handle).
		Stringer("outcome", reply.Outcome).Dur("took", time.Since(began)).Msg("move: copy ended")
	return reply
}

// free frees an unused copy. The source frees it at both servers; if the source is gone, the
// target is asked. If both calls fail, the copy expires at the servers.
func (r *activeRun) free(c move.FreeCmd) {
	for _, s := range []*place.Server{r.server, r.g.view.Load().Find(c.Target)} {
		if s != nil && r.freeAt(s, c.Handle) {
			return
		}
	}
}

// freeAt makes a server free a copy, and reports whether it did.
func (r *activeRun) freeAt(s *place.Server, handle string) bool {
	if r.g.feedback.backingOff(s.ID) {
		return false
	}
	out := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(out)
	r.g.moves.mover.FreeRequest(out, handle)
	r.g.forcePermit(s.ID)
	status, _, err := r.g.call(s, out, time.Now().Add(copyTimeout))
	r.log.Info().Err(err).Str("server", s.ID).Str("handle", handle).Int("status", status).Msg("move: copy released")
	return err == nil && status < fasthttp.StatusBadRequest
}

// call sends a request to a server and returns the whole answer.
func (g *Gateway) call(s *place.Server, out *fasthttp.Request, deadline time.Time) (status int, body []byte, err error) {
	conn, err := g.pool.Get(s.ID, s.Address, deadline)
	if err != nil {
		return 0, nil, err
	}
	g.recordSent(s.ID, nil)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	body, err = g.pool.RoundTrip(s.ID, conn, out, resp, deadline, maxCallAnswerBytes)
	return resp.StatusCode(), body, eris.Wrap(err, "call server")
}
