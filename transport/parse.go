package transport

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/state"
)

// prefixBytes is how many bytes of a prompt the affinity hash covers.
const prefixBytes = 1024

// bytesPerToken is used to estimate the number of tokens from a prompt's size.
const bytesPerToken = 4

// maxKeyBytes limits an idempotency key.
const maxKeyBytes = 256

// modelBody is the part of a caller's body that the gateway reads.
type modelBody struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	N         int             `json:"n"`
	Options   struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// parser validates one caller's request against the configuration in force.
type parser struct {
	ctx             *fasthttp.RequestCtx
	index           *state.Index
	workspace       *protocol.Workspace
	now             time.Time
	maxDeadline     time.Duration // maxDeadline is the longest deadline that a caller may set.
	defaultDeadline time.Duration // defaultDeadline applies if the caller sets none.
}

// parseModel parses a request for a model.
func (p *parser) parseModel(kind protocol.Kind) (*protocol.Request, *protocol.Refusal) {
	r, refusal := p.common(kind)
	if refusal != nil {
		return nil, refusal
	}
	var body modelBody
	if err := json.Unmarshal(r.Body, &body); err != nil {
		return nil, badRequest("the body is not the JSON that is asked for: %v", err)
	}
	if refusal := checkModelBody(kind, &body); refusal != nil {
		return nil, refusal
	}
	rt := p.index.Route(body.Model, p.workspace.Name)
	if rt == nil {
		return nil, protocol.NewRefusal(http.StatusNotFound, protocol.CodeUnknownModel, "no model %q for this workspace", body.Model)
	}
	prompt := body.Prompt
	if kind == protocol.KindChat {
		prompt = body.Messages
	}
	r.Route, r.Model, r.Adapter = rt.Name, rt.Model, rt.Adapter
	r.Stream, r.MaxTokens = body.Stream, body.MaxTokens
	r.WantUsage = body.Options.IncludeUsage
	r.PrefixHash = prefixHash(kind, prompt)
	r.PromptLen = len(prompt) / bytesPerToken
	r.Repeatable = r.Repeatable && !rt.NotRepeatable
	return r, p.priority(r, rt.Priority)
}

// prefixHash identifies the prefix that later requests probably share: of a chat,
// the messages up to the first one of the user, since many conversations begin
// with the same messages before it; of a prompt, its first bytes.
func prefixHash(kind protocol.Kind, prompt json.RawMessage) uint64 {
	if kind != protocol.KindChat {
		return xxhash.Sum64(prompt[:min(len(prompt), prefixBytes)])
	}
	var messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}
	if json.Unmarshal(prompt, &messages) != nil {
		return xxhash.Sum64(prompt[:min(len(prompt), prefixBytes)])
	}
	h := xxhash.New()
	for _, m := range messages {
		_, _ = h.Write(m.Content) // hash.Hash never returns an error.
		if m.Role == "user" {
			break
		}
	}
	return h.Sum64()
}

func checkModelBody(kind protocol.Kind, body *modelBody) *protocol.Refusal {
	switch {
	case body.Model == "":
		return badRequest("the field model is missing")
	case kind == protocol.KindCompletion && !isString(body.Prompt):
		return badRequest("the field prompt is missing or is not a string")
	case kind == protocol.KindChat && !isArray(body.Messages):
		return badRequest("the field messages is missing or is not a list")
	case body.N > 1:
		return badRequest("the field n is %d: only one answer can be asked for", body.N)
	case body.MaxTokens < 0:
		return badRequest("the field max_tokens is negative")
	}
	return nil
}

func isString(raw json.RawMessage) bool { return len(raw) > 0 && raw[0] == '"' }
func isArray(raw json.RawMessage) bool  { return len(raw) > 2 && raw[0] == '[' }

// parseService parses a call of a plain service.
func (p *parser) parseService(name, path string) (*protocol.Request, *protocol.Refusal) {
	svc := p.index.Service(name, p.workspace.Name)
	if svc == nil {
		return nil, protocol.NewRefusal(http.StatusNotFound, protocol.CodeUnknownService, "no service %q for this workspace", name)
	}
	r, refusal := p.common(protocol.KindService)
	if refusal != nil {
		return nil, refusal
	}
	r.Route = name
	r.Path = path
	if query := p.ctx.URI().QueryString(); len(query) > 0 {
		r.Path += "?" + string(query)
	}
	r.BodyDigest = protocol.DigestOf([]byte(r.Method + " " + r.Path + "\n" + string(r.Body)))
	r.Repeatable = r.Repeatable && state.RepeatableCall(svc, path)
	r.Hedge = svc.Hedge && r.Repeatable
	return r, p.priority(r, "")
}

// common parses what all requests share: body, idempotency key and headers.
func (p *parser) common(kind protocol.Kind) (*protocol.Request, *protocol.Refusal) {
	h := &p.ctx.Request.Header
	body := append([]byte(nil), p.ctx.PostBody()...)
	r := &protocol.Request{
		Key:        protocol.Key{Workspace: p.workspace.Name, ID: string(h.Peek(protocol.HeaderKey))},
		Kind:       kind,
		Body:       body,
		BodyDigest: protocol.DigestOf(append([]byte(string(p.ctx.Path())+"\n"), body...)),
		Method:     string(p.ctx.Method()),
		Repeatable: true,
		Deadline:   p.now.Add(p.defaultDeadline),
	}
	for _, read := range []func(*protocol.Request) *protocol.Refusal{p.key, p.repeatable, p.deadline, p.issued, p.lastEvent} {
		if refusal := read(r); refusal != nil {
			return nil, refusal
		}
	}
	return r, nil
}

func (p *parser) key(r *protocol.Request) *protocol.Refusal {
	if len(r.Key.ID) > maxKeyBytes {
		return badRequest("%s is longer than %d bytes", protocol.HeaderKey, maxKeyBytes)
	}
	return nil
}

func (p *parser) repeatable(r *protocol.Request) *protocol.Refusal {
	switch text := p.header(protocol.HeaderRepeatable); text {
	case "", "true":
	case "false":
		r.Repeatable = false
	default:
		return badRequest("%s is %q: want true or false", protocol.HeaderRepeatable, text)
	}
	return nil
}

func (p *parser) deadline(r *protocol.Request) *protocol.Refusal {
	text := p.header(protocol.HeaderDeadline)
	if text == "" {
		return nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d > p.maxDeadline {
		return badRequest("%s is %q: want a duration above 0 and up to %v", protocol.HeaderDeadline, text, p.maxDeadline)
	}
	r.Deadline = p.now.Add(d)
	return nil
}

func (p *parser) issued(r *protocol.Request) *protocol.Refusal {
	text := p.header(protocol.HeaderIssuedAt)
	if text == "" {
		r.IssuedAt = keyTime(r.Key.ID)
		return nil
	}
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return badRequest("%s is %q: want a time as in RFC 3339", protocol.HeaderIssuedAt, text)
	}
	r.IssuedAt = at
	return nil
}

func (p *parser) lastEvent(r *protocol.Request) *protocol.Refusal {
	text := p.header(protocol.HeaderLastEvent)
	if text == "" {
		return nil
	}
	offset, err := strconv.Atoi(text)
	if err != nil || offset < 0 {
		return badRequest("%s is %q: want the number of the last event", protocol.HeaderLastEvent, text)
	}
	r.Resume, r.Resuming = offset, true
	return nil
}

// priority sets the caller's priority, else the route's, limited to the
// workspace's maximum.
func (p *parser) priority(r *protocol.Request, routePriority string) *protocol.Refusal {
	requested := p.header(protocol.HeaderPriority)
	if requested == "" {
		requested = routePriority
	}
	priority, err := protocol.ParsePriority(requested)
	if err != nil {
		return badRequest("%s: %v", protocol.HeaderPriority, err)
	}
	if p.workspace.MaxPriority != "" {
		maximum, err := protocol.ParsePriority(p.workspace.MaxPriority)
		if err == nil {
			priority = min(priority, maximum)
		}
	}
	r.Priority = priority
	return nil
}

func (p *parser) header(name string) string { return string(p.ctx.Request.Header.Peek(name)) }

func badRequest(format string, args ...any) *protocol.Refusal {
	return protocol.NewRefusal(http.StatusBadRequest, protocol.CodeBadRequest, format, args...)
}

// uuidLength is the length of a UUID in its usual form.
const uuidLength = 36

// keyTime returns the timestamp of a key that is a version 7 UUID, else the zero
// time. Such a key gives the time of the request without a header.
func keyTime(key string) time.Time {
	if len(key) != uuidLength || key[14] != '7' {
		return time.Time{}
	}
	ms, err := strconv.ParseInt(strings.ReplaceAll(key[:13], "-", ""), 16, 64)
	if err != nil {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}
