package transport

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"

	"github.com/weldstream/weldstream/coordination/attempt"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/state"
)

// finishExported is how an engine ends the stream of an exported request.
const finishExported = "exported"

// errEndedEarly follows every stream. It matters only while the answer is not
// whole: after the last chunk the request has ended and ignores it.
var errEndedEarly = eris.New("the stream ended before the answer was whole")

// Header names of the engines' protocol.
const (
	headerEngineRequest = "X-Request-Id"
	headerAttempt       = "Weldstream-Attempt"
)

// call is one attempt at one server: what to send, and where its messages go.
type call struct {
	request *protocol.Request
	id      string // id is this process's name of the request.
	cmd     attempt.DispatchCmd
	server  *state.Server
	moveAt  string // moveAt is the address to import the KV cache from.
	moveID  string // moveID is the name of the request there.
	text    string // text is the answer up to cmd.Resume.
	send    func(attempt.Msg) bool
	opened  func(*wire) bool       // opened hands over the connection for cancellation.
	release func() bool            // release takes it back when it was read to its end.
	leaving func(protocol.Leaving) // leaving is told when the server says that it leaves.
	rests   *restBox               // rests records until when the engine asked for rest.
	broke   func(*call, error)     // broke is told when the server's connection ended under the request.
	sent    time.Time              // sent is when the attempt was made.
}

// engineRequestID names an attempt to an engine.
func engineRequestID(id string, attempt int) string { return id + "-" + strconv.Itoa(attempt) }

// engineBody rewrites the caller's body for the engine: its own model name, a
// stream with usage on each event, priority, and where to go on from.
func (c *call) engineBody() ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(c.request.Body, &fields); err != nil {
		return nil, eris.Wrap(err, "parse body")
	}
	model := c.request.Model
	if c.request.Adapter != "" {
		model = c.request.Adapter
	}
	set := func(name string, v any) {
		data, err := json.Marshal(v)
		if err == nil {
			fields[name] = data
		}
	}
	set("model", model)
	set("stream", true)
	set("stream_options", map[string]bool{"include_usage": true, "continuous_usage_stats": true})
	set("priority", int(c.request.Priority))
	if _, ok := fields["seed"]; !ok {
		set("seed", seedOf(c.request))
	}
	if c.cmd.Resume > 0 || c.cmd.MoveFrom != "" {
		set("resume", protocol.Resume{Offset: c.cmd.Resume, Text: c.text})
	}
	if c.moveAt != "" {
		set("kv_move", protocol.KVMove{From: c.moveAt, Request: engineRequestID(c.moveID, c.cmd.MoveAttempt)})
	}
	return json.Marshal(fields)
}

// seedOf fixes the sampling of a request, so that another attempt generates
// the same answer.
func seedOf(r *protocol.Request) int32 {
	d := protocol.DigestOf([]byte(r.Key.String()))
	return int32(d[0])<<16 | int32(d[1])<<8 | int32(d[2])
}

// runEngine carries one attempt at an engine to its end and reports it by
// messages. It returns when the attempt is over or was canceled.
func (g *Gateway) runEngine(c *call) {
	body, err := c.engineBody()
	if err != nil {
		c.fail(protocol.NotRun, err, true)
		return
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(http.MethodPost)
	req.SetRequestURI(enginePath(c.request.Kind))
	req.Header.SetHost(c.server.Address)
	req.Header.SetContentType("application/json")
	req.Header.Set(headerEngineRequest, engineRequestID(c.id, c.cmd.Attempt))
	req.Header.Set(headerAttempt, strconv.Itoa(c.cmd.Attempt))
	req.Header.Set(protocol.HeaderKey, c.request.Key.ID)
	req.SetBodyRaw(body)
	w, ok := g.exchangeHead(c, req, resp)
	if !ok {
		return
	}
	if status := resp.StatusCode(); status != http.StatusOK {
		c.refused(status, resp)
		_ = w.conn.Close()
		return
	}
	if !g.readEvents(c, w, resp) {
		_ = w.conn.Close()
		return
	}
	g.reuse(c, w, resp)
}

func enginePath(k protocol.Kind) string {
	if k == protocol.KindCompletion {
		return "/v1/completions"
	}
	return "/v1/chat/completions"
}

// exchangeHead sends the request and reads the answer's head. A connection
// that turns out stale is replaced once, if the request may be repeated.
func (g *Gateway) exchangeHead(c *call, req *fasthttp.Request, resp *fasthttp.Response) (*wire, bool) {
	for fresh := !c.request.Repeatable; ; fresh = true {
		w, err := g.wires.get(c.server.Address, fresh)
		if err != nil {
			c.fail(protocol.NotRun, err, false)
			return nil, false
		}
		if !c.opened(w) {
			return nil, false
		}
		err = w.send(req, resp, time.Now().Add(g.settings.Timeouts.FirstByte))
		if err == nil {
			return w, true
		}
		_ = w.conn.Close()
		if w.stale(err) && c.request.Repeatable {
			continue
		}
		verdict := protocol.MayHaveRun
		if w.wrote == 0 {
			verdict = protocol.NotRun
		} else {
			c.broke(c, err)
		}
		c.fail(verdict, err, false)
		return nil, false
	}
}

func (c *call) fail(v protocol.Verdict, err error, final bool) {
	c.send(attempt.FailedMsg{Attempt: c.cmd.Attempt, Verdict: v, Reason: err.Error(), Final: final})
}

// refused reports an answer that is no stream. Only the server's own word that
// the request was not run makes the verdict not-run; a 4xx is final, since
// another server would say the same.
func (c *call) refused(status int, resp *fasthttp.Response) {
	m := attempt.FailedMsg{Attempt: c.cmd.Attempt, Verdict: protocol.MayHaveRun}
	if string(resp.Header.Peek(protocol.HeaderVerdict)) == protocol.NotRun.String() {
		m.Verdict = protocol.NotRun
	}
	if string(resp.Header.Peek(protocol.HeaderLeaving)) == "true" {
		c.leaving(protocol.Leaving{Server: c.server.ID, Origin: "refusal"})
	}
	c.rests.heard(c.server.ID, resp)
	if status == http.StatusNotFound {
		m.Verdict = protocol.NotRun // It does not have the model, perhaps since a moment ago.
	}
	body, _ := readBody(resp) // A body that cannot be read leaves only the status.
	m.Reason = "the backend server answered " + strconv.Itoa(status) + ": " + string(bytes.TrimSpace(body))
	if status >= 400 && status < 500 && status != http.StatusTooManyRequests && status != http.StatusNotFound {
		m.Final, m.Status, m.Code, m.Verdict = true, status, protocol.CodeBadRequest, protocol.NotRun
	}
	c.send(m)
}

// readEvents turns the engine's events into messages. It returns whether the
// stream was read to its end, so that the connection can be used again.
func (g *Gateway) readEvents(c *call, w *wire, resp *fasthttp.Response) bool {
	body := resp.BodyStream()
	if body == nil {
		c.fail(protocol.MayHaveRun, eris.New("the engine answered without a stream"), false)
		return false
	}
	events := bufio.NewReaderSize(body, 4<<10)
	// The engine answers before it begins; until the first event the request may
	// wait in its queue.
	wait := g.settings.Timeouts.FirstByte
	var p fastjson.Parser
	for {
		_ = w.conn.SetDeadline(time.Now().Add(wait)) // A closed connection shows at the read.
		line, err := events.ReadSlice('\n')
		if err != nil {
			c.broke(c, err)
			c.fail(protocol.MayHaveRun, eris.Wrap(err, "read stream"), false)
			return false
		}
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data: "))
		if !ok {
			continue
		}
		if bytes.Equal(data, []byte("[DONE]")) {
			_, err := io.Copy(io.Discard, events)
			c.fail(protocol.MayHaveRun, errEndedEarly, false)
			return err == nil
		}
		if !c.event(&p, data) {
			return false
		}
		wait = g.settings.Timeouts.ChunkGap
	}
}

// reuse returns a connection that was read to its end to the pool.
func (g *Gateway) reuse(c *call, w *wire, resp *fasthttp.Response) {
	if c.release() {
		g.wires.finish(c.server.Address, w, resp)
	}
}
