package transport

import (
	"bufio"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/coordination/attempt"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// serve runs the request until the first chunk is available, so that a refusal can
// still set the HTTP status, and then hands over to the stream writer.
func (g *Gateway) serve(ctx *fasthttp.RequestCtx, x *exchange) {
	stop := watchDisconnect(ctx.Conn(), x.callerGone)
	end := x.watch()
	release := func() {
		stop()
		end()
		x.releaseSlot()
		g.removeExchange(x)
	}
	if !x.request.Repeatable && !x.claim(ctx) {
		release()
		return
	}
	done := func() {
		x.settleClaim()
		release()
		x.report()
	}
	if x.awaitSlot() {
		x.resumeIfRequested()
		x.apply(attempt.StartMsg{})
	}
	for !x.ended && (!x.request.Stream || !x.emitted) {
		x.step()
	}
	if x.refusal != nil && (!x.request.Stream || !x.emitted) {
		done()
		g.refuse(ctx, x.row.Request, x.refusal)
		return
	}
	g.metrics.first.UpdateSince(x.started)
	ctx.Response.Header.Set(protocol.HeaderRequest, x.row.Request)
	if x.request.Stream {
		x.serveStream(ctx, done)
		return
	}
	done()
	ctx.Response.Header.Set(protocol.HeaderVerdict, protocol.Ran.String())
	x.writeResponse(ctx)
}

// serveStream writes the answer as server-sent events. The headers go out before
// the outcome is known, so the verdict header says that the request may have run.
func (x *exchange) serveStream(ctx *fasthttp.RequestCtx, done func()) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-store")
	ctx.Response.Header.Set(protocol.HeaderVerdict, protocol.MayHaveRun.String())
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer done()
		for {
			if !x.flushReady(w) {
				x.finishWithoutCaller()
				return
			}
			if x.ended {
				break
			}
			x.step()
		}
		x.settleClaim()
		x.writeEnd(w)
	})
}

// replayStream writes a stored answer as one event.
func (x *exchange) replayStream(ctx *fasthttp.RequestCtx, a *protocol.Answer) {
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		from := x.request.Resume
		chunk := attempt.ChunkMsg{Offset: from, Tokens: a.Tokens - from, Text: textAfter(a.Text, a.Ends, from), Finish: a.Finish}
		if x.writeEvent(w, attempt.EmitCmd{Chunk: chunk, Offset: a.Tokens}) == nil {
			x.writeEnd(w)
		}
	})
}

// resumeIfRequested continues a handed-over request whose caller sent its last
// event ID. Without a hand-over record the answer is generated again up to that
// event.
func (x *exchange) resumeIfRequested() {
	if !x.request.Repeatable || !x.request.Resuming {
		return
	}
	if r, ok := x.g.findHandOver(x.request); ok {
		x.resume(r)
	}
}

// callerGone cancels a request whose caller disconnected. A request that must run
// at most once continues: its answer is stored for the caller's resend.
func (x *exchange) callerGone() {
	if x.request.Repeatable {
		x.post(attempt.CallerGoneMsg{})
	}
}

// finishWithoutCaller continues a claimed request after a write to its caller
// failed; any other request is canceled.
func (x *exchange) finishWithoutCaller() {
	if !x.claimed {
		x.apply(attempt.CallerGoneMsg{})
		return
	}
	for !x.ended {
		x.step()
		x.ready = x.ready[:0]
	}
}

// flushReady writes the pending chunks and flushes unless more messages are
// queued. It returns false if the caller has disconnected.
func (x *exchange) flushReady(w *bufio.Writer) bool {
	for _, cmd := range x.ready {
		if x.writeEvent(w, cmd) != nil {
			return false
		}
	}
	if len(x.ready) > 0 {
		x.g.metrics.tokens.Inc(int64(len(x.ready)))
	}
	x.ready = x.ready[:0]
	return !x.idle() || w.Flush() == nil
}

// streamChunk is one event sent to the caller, in the OpenAI format.
type streamChunk struct {
	ID      string                 `json:"id"`
	Object  string                 `json:"object"`
	Created int64                  `json:"created"`
	Model   string                 `json:"model"`
	Choices []protocol.ChunkChoice `json:"choices"`
	Usage   *protocol.Usage        `json:"usage,omitempty"`
}

func (x *exchange) newChunk(object string) streamChunk {
	return streamChunk{ID: x.row.Request, Object: object, Created: x.started.Unix(), Model: x.request.Route}
}

func (x *exchange) choice(text, finish string) protocol.ChunkChoice {
	c := protocol.ChunkChoice{}
	if x.request.Kind == protocol.KindChat {
		c.Delta = &protocol.Delta{Content: text}
	} else {
		c.Text = &text
	}
	if finish != "" {
		c.FinishReason = &finish
	}
	return c
}

// writeEvent writes one chunk. The event ID is the token offset after the chunk; a
// caller sends it back as Last-Event-ID to resume.
func (x *exchange) writeEvent(w *bufio.Writer, cmd attempt.EmitCmd) error {
	object := "chat.completion.chunk"
	if x.request.Kind == protocol.KindCompletion {
		object = "text_completion"
	}
	c := x.newChunk(object)
	c.Choices = []protocol.ChunkChoice{x.choice(cmd.Chunk.Text, cmd.Chunk.Finish)}
	if c.Choices[0].Delta != nil && cmd.Chunk.Offset == 0 {
		c.Choices[0].Delta.Role = "assistant"
	}
	if x.request.WantUsage && cmd.Chunk.Finish != "" {
		c.Usage = x.usage()
	}
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	return writeData(w, strconv.Itoa(cmd.Offset), data)
}

func (x *exchange) usage() *protocol.Usage {
	return &protocol.Usage{
		PromptTokens:     x.request.PromptLen,
		CompletionTokens: x.state.Received,
		TotalTokens:      x.request.PromptLen + x.state.Received,
	}
}

func writeData(w *bufio.Writer, id string, data []byte) error {
	if id != "" {
		_, _ = w.WriteString("id: " + id + "\n") // bufio.Writer returns the first error from every later call.
	}
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(data)
	_, err := w.WriteString("\n\n")
	return err
}

// writeEnd ends the stream with [DONE] after a complete answer, else with the
// refusal.
func (x *exchange) writeEnd(w *bufio.Writer) {
	if x.refusal == nil {
		_ = writeData(w, "", []byte("[DONE]"))
		return
	}
	data, err := json.Marshal(x.refusal.Body())
	if err == nil {
		_ = writeData(w, "", data)
	}
}

// completeChoice is the choice of a non-streamed response.
type completeChoice struct {
	Index        int             `json:"index"`
	Text         *string         `json:"text,omitempty"`
	Message      *protocol.Delta `json:"message,omitempty"`
	FinishReason string          `json:"finish_reason"`
}

type completeResponse struct {
	ID      string           `json:"id"`
	Object  string           `json:"object"`
	Created int64            `json:"created"`
	Model   string           `json:"model"`
	Choices []completeChoice `json:"choices"`
	Usage   *protocol.Usage  `json:"usage"`
}

func (x *exchange) writeResponse(ctx *fasthttp.RequestCtx) {
	if x.request.Kind == protocol.KindService {
		x.mu.Lock()
		defer x.mu.Unlock()
		ctx.SetStatusCode(x.answer.status)
		ctx.SetContentType(x.answer.contentType)
		ctx.SetBody(x.answer.body)
		return
	}
	text := x.text.String()
	choice := completeChoice{FinishReason: x.finish}
	a := completeResponse{ID: x.row.Request, Created: x.started.Unix(), Model: x.request.Route, Usage: x.usage()}
	if x.request.Kind == protocol.KindChat {
		a.Object = "chat.completion"
		choice.Message = &protocol.Delta{Role: "assistant", Content: text}
	} else {
		a.Object = "text_completion"
		choice.Text = &text
	}
	a.Choices = []completeChoice{choice}
	x.g.metrics.tokens.Inc(int64(x.state.Received))
	writeJSON(ctx, http.StatusOK, a)
}

// report logs the outcome of the request.
func (x *exchange) report() {
	x.g.metrics.total.UpdateSince(x.started)
	e := x.log.Info().Int("attempts", x.state.AttemptsSent).Int("tokens", x.state.Received).Str("server", x.row.Server).Dur("took", clock.Since(x.started))
	if x.refusal == nil {
		e.Stringer("verdict", protocol.Ran).Msg("request answered")
		return
	}
	if x.refusal.Code == protocol.CodeCallerGone {
		x.g.metrics.gone.Inc(1)
	}
	e.Stringer("verdict", x.refusal.Verdict).Str("code", string(x.refusal.Code)).Str("cause", x.refusal.Message).Msg("request refused")
}

// refuse responds with a refusal.
func (g *Gateway) refuse(ctx *fasthttp.RequestCtx, id string, r *protocol.Refusal) {
	g.metrics.refused(r.Code)
	if id == "" {
		g.log.Info().Str("code", string(r.Code)).Stringer("verdict", r.Verdict).Str("cause", r.Message).Msg("request refused")
	}
	ctx.Response.Reset()
	writeRefusal(ctx, id, r)
}

func writeRefusal(ctx *fasthttp.RequestCtx, id string, r *protocol.Refusal) {
	if id != "" {
		ctx.Response.Header.Set(protocol.HeaderRequest, id)
	}
	ctx.Response.Header.Set(protocol.HeaderVerdict, r.Verdict.String())
	if r.RetryAfter > 0 {
		seconds := int64((r.RetryAfter + time.Second - 1) / time.Second)
		ctx.Response.Header.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	if r.Status == http.StatusUnauthorized {
		ctx.Response.Header.Set("WWW-Authenticate", "Bearer")
	}
	writeJSON(ctx, r.Status, r.Body())
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), http.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(append(data, '\n'))
}

// modelRow is one entry of GET /v1/models.
type modelRow struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string     `json:"object"`
	Data   []modelRow `json:"data"`
}

func writeModels(ctx *fasthttp.RequestCtx, routes []*protocol.Route) {
	list := modelList{Object: "list", Data: []modelRow{}}
	for _, r := range routes {
		list.Data = append(list.Data, modelRow{ID: r.Name, Object: "model", OwnedBy: "weldstream"})
	}
	writeJSON(ctx, http.StatusOK, list)
}
