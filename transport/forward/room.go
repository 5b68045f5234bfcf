package forward

import (
	"errors"
	"io"

	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/coordination/memory"
	"github.com/weldstream/weldstream/protocol"
)

// Owner implements caller.Admitter. A key that is not known belongs to no workspace.
func (g *Gateway) Owner(req *fasthttp.Request) (request, workspace string) {
	call := g.dialect.Call(req)
	if ix := g.index.Load(); ix != nil {
		if w := ix.Workspace(call.Secret); w != nil {
			workspace = w.Name
		}
	}
	return call.ID, workspace
}

// NoRoom implements caller.Admitter.
func (g *Gateway) NoRoom(req *fasthttp.Request, v memory.Verdict) *fasthttp.Response {
	call := g.dialect.Call(req)
	_, workspace := g.Owner(req)
	r := protocol.NewRefusal(protocol.StatusServiceUnavailable, protocol.CodeMemory, "no memory is left for a body of this size").WithRetryAfter(v.Wait)
	g.meters.requests.Inc(1)
	g.meters.refused.Inc(1)
	g.meters.end(outcome{"", workspace, r.Verdict})
	g.log.Info().Str("request", call.ID).Str("workspace", workspace).Str("outcome", "refused").Str("code", string(r.Code)).Stringer("verdict", r.Verdict).
		Int("status", r.Status).Str("reason", r.Message).Int64("bytes", v.Bytes).Int64("share", v.Space).Bool("own", v.Own).Int64("held", v.Held).Int64("bound", v.Bound).
		Int64("wait", v.Wait.Milliseconds()).Msg("request")
	resp := &fasthttp.Response{}
	g.dialect.Refuse(resp, call.ID, r)
	return resp
}

// answerPiece is what an answer begins with that tells no length. Answers that fit into
// it, as most do, are a part of what the connection costs.
const answerPiece = 16 << 10

// errNoRoom ends an answer that has no more room.
var errNoRoom = errors.New("no memory is left for the answer")

// readWhole reads an answer to its end, each piece taken from the account first. The
// answer's length, where it is told, is taken at once.
func (x *exchange) readWhole(body io.Reader, length int) ([]byte, error) {
	size := answerPiece
	if length >= 0 {
		size = length + 1 // The last byte finds the end.
	}
	if size > maxAnswer+1 {
		return nil, errTooLarge
	}
	if size > answerPiece {
		if err := x.room(size); err != nil {
			return nil, err
		}
	}
	data := make([]byte, 0, size)
	for {
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
		if len(data) < cap(data) {
			continue
		}
		if data, err = x.grow(data); err != nil {
			return nil, err
		}
	}
}

// grow returns the answer with room for as much again.
func (x *exchange) grow(data []byte) ([]byte, error) {
	size := min(2*cap(data), maxAnswer+1)
	if size <= cap(data) {
		return nil, errTooLarge
	}
	if err := x.room(size - cap(data)); err != nil {
		return nil, err
	}
	return append(make([]byte, 0, size), data...), nil
}

// room takes bytes for the answer.
func (x *exchange) room(n int) error {
	v := x.answer.Hold(n)
	if v.Taken {
		return nil
	}
	x.log.Info().Int64("bytes", v.Bytes).Int64("share", v.Space).Bool("own", v.Own).Int64("held", v.Held).Int64("bound", v.Bound).Msg("no room for an answer")
	return errNoRoom
}

// unread ends an attempt whose answer found no room. The server is not at fault, and
// another one's answer would find none either.
func (t *try) unread() *protocol.Refusal {
	t.conn.Close()
	return protocol.NewRefusal(protocol.StatusBadGateway, protocol.CodeMemory, "no memory is left for the answer").WithVerdict(protocol.MayHaveRun)
}
