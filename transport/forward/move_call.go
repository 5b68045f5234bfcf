package forward

import (
	"io"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/coordination/move"
	"github.com/weldstream/weldstream/coordination/place"
)

// Mover translates the calls by which the memory of a running answer is moved.
type Mover interface {
	// CopyRequest makes out the call that has a server copy a run's memory to another one.
	CopyRequest(out *fasthttp.Request, c CopyCall)
	// ReadCopyReply reads the answer, whose body is given.
	ReadCopyReply(status int, body []byte) CopyReply
	// FreeRequest makes out the call that drops a copy at both its ends.
	FreeRequest(out *fasthttp.Request, handle string)
	// CopyName names a copy of a source for the request that goes on from it.
	CopyName(source, handle string) string
}

// CopyCall asks for a copy of a run.
type CopyCall struct {
	Request   string // Request is the run's identity.
	Target    string // Target is the address of the server that takes the copy.
	StopFirst bool   // Last has the run stopped first.
}

// CopyReply is the answer.
type CopyReply struct {
	Outcome move.Outcome
	Handle  string
}

// copy has the run's server copy its memory to a target; with last, it stops the run first.
func (r *running) copy(target *place.Server, last bool) CopyReply {
	out := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(out)
	r.g.moves.mover.CopyRequest(out, CopyCall{Request: r.call.ID, Target: target.Address, StopFirst: last})
	r.g.forcePermit(r.server.ID) // Without the move its answer is cut.
	began := time.Now()
	status, body, err := r.g.ask(r.server, out, began.Add(copyTime))
	var reply CopyReply
	if err == nil {
		reply = r.g.moves.mover.ReadCopyReply(status, body)
	}
	r.g.meters.moveCopy.UpdateSince(began)
	r.log.Info().Err(err).Str("server", r.server.ID).Str("target", target.ID).Bool("last", last).Int("status", status).Str("handle", reply.Handle).
		Stringer("outcome", reply.Outcome).Dur("took", time.Since(began)).Msg("move: copy ended")
	return reply
}

// free drops a copy that nobody uses, at its source and with that at both ends, or at
// the target if the source is gone. If both fail it is dropped at the servers' limit.
func (r *running) free(c move.FreeCmd) {
	for _, s := range []*place.Server{r.server, r.g.view.Load().Find(c.Target)} {
		if s != nil && r.freeAt(s, c.Handle) {
			return
		}
	}
}

// freeAt reports whether a server dropped a copy.
func (r *running) freeAt(s *place.Server, handle string) bool {
	if r.g.words.resting(s.ID) {
		return false
	}
	out := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(out)
	r.g.moves.mover.FreeRequest(out, handle)
	r.g.forcePermit(s.ID)
	status, _, err := r.g.ask(s, out, time.Now().Add(copyTime))
	r.log.Info().Err(err).Str("server", s.ID).Str("handle", handle).Int("status", status).Msg("move: copy released")
	return err == nil && status < fasthttp.StatusBadRequest
}

// ask sends a call to a server and returns the whole answer.
func (g *Gateway) ask(s *place.Server, out *fasthttp.Request, deadline time.Time) (status int, body []byte, err error) {
	conn, err := g.pool.Get(s.ID, s.Address, deadline)
	if err != nil {
		return 0, nil, err
	}
	g.noteSent(s.ID)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	early, err := conn.Exchange(out, resp, deadline)
	if err == nil {
		var stream io.Reader
		if stream, err = conn.Body(resp); err == nil {
			body, err = io.ReadAll(io.LimitReader(stream, maxCopied))
		}
	}
	if err != nil {
		conn.Close()
		return 0, nil, eris.Wrap(err, "call a server")
	}
	// A leaving server ends the connection with its answer.
	if early || resp.ConnectionClose() || len(body) == maxCopied {
		conn.Close()
	} else {
		g.pool.Put(s.ID, conn, 0)
	}
	return resp.StatusCode(), body, nil
}
