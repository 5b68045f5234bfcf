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
	"github.com/weldstream/weldstream/transport/backend"
)

// finishExported is the finish reason by which an engine ends the stream of an
// exported request.
const finishExported = "exported"

// errEndedEarly is reported at the end of every stream. It matters only while the
// answer is incomplete: after the last chunk the request has ended and ignores it.
var errEndedEarly = eris.New("the stream ended before the answer was whole")

// Headers sent to engines.
const (
	headerEngineRequest = "X-Request-Id"
	headerAttempt       = "Weldstream-Attempt"
)

// call is one attempt at one server.
type call struct {
	request       *protocol.Request
	id            string // id is the request's ID in this process.
	cmd           attempt.DispatchCmd
	server        *state.Server
	importAddress string // importAddress is the address of the server to import the KV cache from.
	importID      string // importID is the request's ID on that server.
	text          string // text is the answer up to the offset cmd.Resume.
	send          func(attempt.Msg) bool
	opened        func(*serverConn) bool // opened registers the connection for cancellation.
	release       func() bool            // release unregisters it after the response was read to its end.
	leaving       func(protocol.Leaving) // leaving is called when the server reports that it is leaving.
	backoffs      *sharedBackoffs        // backoffs records the server's Retry-After.
	connBroken    func(*call, error)     // connBroken is called when the server's connection ends during the request.
	sent          time.Time              // sent is the time of the attempt.
}

// engineRequestID returns the ID of an attempt on an engine.
func engineRequestID(id string, attempt int) string { return id + "-" + strconv.Itoa(attempt) }

// engineBody rewrites the caller's body for the engine: the engine's model name,
// streaming with usage on each event, the priority, and the offset to resume from.
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
	if c.importAddress != "" {
		set("kv_move", protocol.KVMove{From: c.importAddress, Request: engineRequestID(c.importID, c.cmd.MoveAttempt)})
	}
	return json.Marshal(fields)
}

// seedOf derives the sampling seed from the request's key, so that another attempt
// generates the same answer.
func seedOf(r *protocol.Request) int32 {
	d := protocol.DigestOf([]byte(r.Key.String()))
	return int32(d[0])<<16 | int32(d[1])<<8 | int32(d[2])
}

// runEngine runs one attempt on an engine and reports its progress as messages. It
// returns when the attempt has ended or was canceled.
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
	w, ok := g.sendAndReadHeader(c, req, resp)
	if !ok {
		return
	}
	if status := resp.StatusCode(); status != http.StatusOK {
		c.refused(status, resp, w.body)
		_ = w.conn.Close()
		return
	}
	if !g.readEvents(c, w) {
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

// sendAndReadHeader sends the request and reads the response header. A stale
// connection is replaced once, if the request is repeatable.
func (g *Gateway) sendAndReadHeader(c *call, req *fasthttp.Request, resp *fasthttp.Response) (*serverConn, bool) {
	for fresh := !c.request.Repeatable; ; fresh = true {
		w, err := g.pool.get(c.server.Address, fresh)
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
			c.connBroken(c, err)
		}
		c.fail(verdict, err, false)
		return nil, false
	}
}

func (c *call) fail(v protocol.Verdict, err error, final bool) {
	c.send(attempt.FailedMsg{Attempt: c.cmd.Attempt, Verdict: v, Reason: err.Error(), Final: final})
}

// refused reports a response other than a stream. The verdict is not-run if the
// server says so, does not have the model, or rejects the request itself: 4xx
// other than 404 and 429 are final, since every server would answer the same.
func (c *call) refused(status int, resp *fasthttp.Response, answer *backend.Body) {
	m := attempt.FailedMsg{Attempt: c.cmd.Attempt, Verdict: protocol.MayHaveRun}
	if string(resp.Header.Peek(protocol.HeaderVerdict)) == protocol.NotRun.String() {
		m.Verdict = protocol.NotRun
	}
	if string(resp.Header.Peek(protocol.HeaderLeaving)) == "true" {
		c.leaving(protocol.Leaving{Server: c.server.ID, Origin: "refusal"})
	}
	c.backoffs.record(c.server.ID, resp)
	if status == http.StatusNotFound {
		m.Verdict = protocol.NotRun // The server does not have the model; it may have just unloaded it.
	}
	body, _ := readBody(answer) // If the body cannot be read, the reason has only the status.
	m.Reason = "the backend server answered " + strconv.Itoa(status) + ": " + string(bytes.TrimSpace(body))
	if status >= 400 && status < 500 && status != http.StatusTooManyRequests && status != http.StatusNotFound {
		m.Final, m.Status, m.Code, m.Verdict = true, status, protocol.CodeBadRequest, protocol.NotRun
	}
	c.send(m)
}

// maxTailBytes bounds what is read behind the last event to find the end of the response.
const maxTailBytes = 64 << 10

// readEvents turns the engine's events into messages. It reports whether the
// stream was read to its end, so that the connection can be reused.
func (g *Gateway) readEvents(c *call, w *serverConn) bool {
	events := bufio.NewReaderSize(w.body, 4<<10)
	// The engine sends the header before it generates; until the first event the
	// request may wait in its queue.
	wait := g.settings.Timeouts.FirstByte
	var p fastjson.Parser
	for {
		_ = w.conn.SetDeadline(time.Now().Add(wait)) // The read reports a closed connection.
		line, err := events.ReadSlice('\n')
		if err != nil {
			c.connBroken(c, err)
			c.fail(protocol.MayHaveRun, eris.Wrap(err, "read stream"), false)
			return false
		}
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data: "))
		if !ok {
			continue
		}
		if bytes.Equal(data, []byte("[DONE]")) {
			n, err := io.Copy(io.Discard, io.LimitReader(events, maxTailBytes))
			c.fail(protocol.MayHaveRun, errEndedEarly, false)
			return err == nil && n < maxTailBytes
		}
		if !c.event(&p, data) {
			return false
		}
		wait = g.settings.Timeouts.ChunkGap
	}
}

// reuse returns a connection to the pool after its response was read to the end.
func (g *Gateway) reuse(c *call, w *serverConn, resp *fasthttp.Response) {
	if c.release() {
		g.pool.finish(c.server.Address, w, resp)
	}
}
