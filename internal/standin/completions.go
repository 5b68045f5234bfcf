package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/weldstream/weldstream/internal/pause"
	"github.com/weldstream/weldstream/protocol"
)

// finishExported is the finish reason of a stream whose request was exported.
const finishExported = "exported"

// defaultMaxTokens is the number of tokens generated when the request sets no limit.
const defaultMaxTokens = 16

// job is one request in an engine.
type job struct {
	id           string
	key          string // key is the idempotency key of the caller.
	continued    bool   // continued is true if an earlier attempt began the answer.
	prompt       string
	promptTokens int
	priority     int
	attempt      int
	start        int // start is the token offset at which this attempt resumes.
	imported     int // imported counts the tokens whose KV cache was fetched.
	next         int
	maxTokens    int
	prefillLeft  int
	ended        bool
	tokens       chan jobToken
}

type jobToken struct {
	offset int
	text   string
	finish string
}

// completionBody holds the fields of an OpenAI request that the engine reads, with
// extensions for priority, resumption and KV import.
type completionBody struct {
	Model    string           `json:"model"`
	Prompt   string           `json:"prompt"`
	Messages []chatMessage    `json:"messages"`
	Stream   bool             `json:"stream"`
	Max      int              `json:"max_tokens"`
	Priority int              `json:"priority"`
	Resume   *protocol.Resume `json:"resume"`
	KVMove   *protocol.KVMove `json:"kv_move"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatPrompt returns the prompt built from the messages of a chat, the input of
// [TokenText].
func ChatPrompt(contents ...string) string { return strings.Join(contents, "\n") }

func (b *completionBody) prompt() string {
	if len(b.Messages) == 0 {
		return b.Prompt
	}
	var contents []string
	for _, m := range b.Messages {
		contents = append(contents, m.Content)
	}
	return ChatPrompt(contents...)
}

func (e *Engine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { e.complete(w, r, false) })
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { e.complete(w, r, true) })
	mux.HandleFunc("POST /v1/requests/{id}/export", e.handleExport)
	mux.HandleFunc("GET /v1/kv/{id}", e.handleKV)
	mux.HandleFunc("GET /load", e.handleLoad)
	mux.HandleFunc("GET /cache_events", e.handleEvents)
	mux.HandleFunc("POST /orders", e.handleOrder)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.faults.waitUnfrozen(r.Context()) {
			mux.ServeHTTP(w, r)
		}
	})
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request, chat bool) {
	var body completionBody
	if !readJSON(w, r, &body) {
		return
	}
	if !e.serves(body.Model) {
		writeJSON(w, http.StatusNotFound, map[string]string{"error": "model " + body.Model + " is not loaded"})
		return
	}
	j := e.newJob(r, &body)
	if !e.submit(j) {
		w.Header().Set(protocol.HeaderVerdict, protocol.NotRun.String())
		w.Header().Set(protocol.HeaderLeaving, strconv.FormatBool(e.faults.get().Leaving))
		writeJSON(w, http.StatusServiceUnavailable, map[string]string{"error": "the engine takes no new work"})
		return
	}
	defer e.cancel(j)
	e.stream(w, r, j, body.Model, chat)
}

func (e *Engine) serves(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Contains(e.models, model) || slices.Contains(e.adapters, model)
}

func (e *Engine) newJob(r *http.Request, body *completionBody) *job {
	prompt := body.prompt()
	j := &job{
		id:           r.Header.Get("X-Request-Id"),
		key:          r.Header.Get(protocol.HeaderKey),
		continued:    body.Resume != nil || body.KVMove != nil,
		prompt:       prompt,
		promptTokens: len(strings.Fields(prompt)),
		priority:     body.Priority,
		maxTokens:    body.Max,
	}
	j.attempt, _ = strconv.Atoi(r.Header.Get("Weldstream-Attempt"))
	if j.maxTokens <= 0 {
		j.maxTokens = defaultMaxTokens
	}
	if body.Resume != nil {
		j.start, j.next = body.Resume.Offset, body.Resume.Offset
	}
	if body.KVMove != nil {
		j.imported = e.importKV(r.Context(), body.KVMove)
	}
	j.tokens = make(chan jobToken, j.maxTokens+2)
	return j
}

// importKV fetches the KV cache of a request from another engine and returns its
// number of tokens. On any failure it returns 0 and the tokens are recomputed.
func (e *Engine) importKV(ctx context.Context, m *protocol.KVMove) int {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.From+"/v1/kv/"+m.Request, nil)
	if err != nil {
		return 0
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	var x export
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&x) != nil {
		return 0
	}
	e.mu.Lock()
	e.stats.Imported++
	e.mu.Unlock()
	return x.Tokens
}

// stream writes the tokens of a job as server-sent events.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, j *job, model string, chat bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	out := &eventWriter{w: w, flush: http.NewResponseController(w), faults: e.faults.get(), job: j, model: model, chat: chat}
	if out.flush.Flush() != nil {
		return
	}
	for {
		select {
		case tok, ok := <-j.tokens:
			if !ok {
				return
			}
			if !e.faults.waitUnfrozen(r.Context()) || !out.writeToken(r.Context(), tok) {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

// eventWriter writes chunks in the OpenAI format, each with token usage.
type eventWriter struct {
	w      http.ResponseWriter
	flush  *http.ResponseController
	faults Faults
	job    *job
	model  string
	chat   bool
	sent   int
	held   *jobToken // held is sent after its successor; see Faults.Reorder.
}

func (o *eventWriter) writeToken(ctx context.Context, tok jobToken) bool {
	if !pause.For(ctx, time.Duration(o.faults.DelayMS)*time.Millisecond) {
		return false
	}
	if o.faults.DropAfter > 0 && o.sent >= o.faults.DropAfter {
		abortConnection()
	}
	if o.faults.Reorder && o.held == nil && tok.finish == "" {
		o.held = &tok
		return true
	}
	ok := o.writeChunk(tok)
	if o.held != nil {
		held := *o.held
		o.held = nil
		ok = ok && o.writeChunk(held)
	}
	if ok && tok.finish != "" {
		_, err := fmt.Fprint(o.w, "data: [DONE]\n\n")
		ok = err == nil && o.flush.Flush() == nil
	}
	return ok
}

func (o *eventWriter) writeChunk(tok jobToken) bool {
	o.sent++
	choice := protocol.ChunkChoice{}
	if o.chat {
		choice.Delta = &protocol.Delta{Content: tok.text}
	} else {
		choice.Text = &tok.text
	}
	completed := tok.offset
	if tok.text != "" {
		completed++
	}
	if tok.finish != "" {
		choice.FinishReason = &tok.finish
	}
	c := protocol.Chunk{
		ID:      o.job.id,
		Object:  "chunk",
		Model:   o.model,
		Choices: []protocol.ChunkChoice{choice},
		Usage:   &protocol.Usage{PromptTokens: o.job.promptTokens, CompletionTokens: completed, TotalTokens: o.job.promptTokens + completed},
	}
	data, err := json.Marshal(c)
	if err != nil {
		return false
	}
	if _, err := fmt.Fprintf(o.w, "data: %s\n\n", data); err != nil {
		return false
	}
	return o.flush.Flush() == nil
}

func (e *Engine) handleExport(w http.ResponseWriter, r *http.Request) {
	x, ok := e.exportJob(r.PathValue("id"))
	if !ok {
		writeJSON(w, http.StatusNotFound, map[string]string{"error": "no such request"})
		return
	}
	writeJSON(w, http.StatusOK, x)
}

func (e *Engine) handleKV(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	x, ok := e.exports[r.PathValue("id")]
	e.mu.Unlock()
	if !ok {
		writeJSON(w, http.StatusNotFound, map[string]string{"error": "no such export"})
		return
	}
	writeJSON(w, http.StatusOK, x)
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	r := e.report
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, r)
}

func (e *Engine) handleEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	batch := protocol.CacheEvents{Events: []protocol.CacheEvent{}}
	for _, ev := range e.events {
		lost := e.cfg.EventGapEach > 0 && ev.Sequence%uint64(e.cfg.EventGapEach) == 0
		if ev.Sequence > after && !lost {
			batch.Events = append(batch.Events, ev)
		}
	}
	writeJSON(w, http.StatusOK, batch)
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o protocol.Order
	if !readJSON(w, r, &o) {
		return
	}
	if !e.applyOrder(o) {
		writeJSON(w, http.StatusConflict, map[string]string{"error": "the fence is below the highest seen"})
		return
	}
	writeJSON(w, http.StatusOK, o)
}
