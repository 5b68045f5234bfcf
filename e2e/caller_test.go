package e2e

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// request describes a caller's HTTP request.
type request struct {
	path    string
	body    any
	headers map[string]string
	key     string // key is the workspace's API key; empty means workspaceKey.
}

// completion returns a completion request for the given number of tokens.
func completion(model, prompt string, tokens int, stream bool) request {
	return request{path: "/v1/completions", body: map[string]any{"model": model, "prompt": prompt, "max_tokens": tokens, "stream": stream}}
}

func (a request) with(name, value string) request {
	headers := map[string]string{name: value}
	for k, v := range a.headers {
		headers[k] = v
	}
	a.headers = headers
	return a
}

// atMostOnce marks the request as not repeatable and gives it an idempotency key issued now.
func (a request) atMostOnce(key string) request {
	return a.with(protocol.HeaderKey, key).with(protocol.HeaderRepeatable, "false").with(protocol.HeaderIssuedAt, time.Now().Format(time.RFC3339Nano))
}

// stream reads a streamed answer.
type stream struct {
	t      testing.TB
	resp   *http.Response
	lines  *bufio.Reader
	cancel context.CancelFunc
	text   strings.Builder
	lastID string
	err    *protocol.ErrorDetail
	done   bool
	// unparsed collects the body, which is logged if it is no event stream.
	unparsed bytes.Buffer
}

func (d *daemon) openStream(a request) *stream {
	d.c.t.Helper()
	s, err := d.tryOpenStream(a)
	if err != nil {
		d.c.t.Fatal(err)
	}
	return s
}

func (d *daemon) tryOpenStream(a request) (*stream, error) {
	data, ok := a.body.(string)
	if !ok {
		raw, err := json.Marshal(a.body)
		if err != nil {
			return nil, err
		}
		data = string(raw)
	}
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.caller+a.path, bytes.NewReader([]byte(data)))
	if err != nil {
		cancel()
		return nil, err
	}
	key := workspaceKey
	if a.key != "" {
		key = a.key
	}
	req.Header.Set("Authorization", "Bearer "+key)
	for k, v := range a.headers {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		cancel()
		return nil, err
	}
	s := &stream{t: d.c.t, resp: resp, cancel: cancel}
	s.lines = bufio.NewReader(io.TeeReader(resp.Body, &s.unparsed))
	return s, nil
}

// next reads the next event and appends its text. It returns false at the end of
// the stream and on an error event.
func (s *stream) next() bool {
	for {
		line, err := s.lines.ReadString('\n')
		if err != nil {
			s.logRefusal(err)
			return false
		}
		line = strings.TrimSpace(line)
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			s.lastID = id
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			s.done = true
			return false
		}
		return s.addEvent(data)
	}
}

// logRefusal logs an answer that is not an event stream, such as a refusal. Without it, such an
// answer looks like a stream without events.
func (s *stream) logRefusal(err error) {
	if kind := s.resp.Header.Get("Content-Type"); !strings.HasPrefix(kind, "text/event-stream") {
		s.t.Logf("answer %d of type %q instead of an event stream, ended by %v: %s", s.resp.StatusCode, kind, err, s.unparsed.String())
	}
}

func (s *stream) addEvent(data string) bool {
	var e protocol.ErrorBody
	if json.Unmarshal([]byte(data), &e) == nil && e.Error.Code != "" {
		s.err = &e.Error
		return false
	}
	var c protocol.Chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		s.t.Fatalf("event %q: %v", data, err)
	}
	if c.Choices[0].Text != nil {
		s.text.WriteString(*c.Choices[0].Text)
	}
	if c.Choices[0].Delta != nil {
		s.text.WriteString(c.Choices[0].Delta.Content)
	}
	return true
}

// readRest reads to the end of the stream, closes it and returns the text of all
// events read so far.
func (s *stream) readRest() string {
	for s.next() {
	}
	s.close()
	return s.text.String()
}

func (s *stream) close() {
	s.cancel()
	s.resp.Body.Close()
}

// answer is an HTTP answer with its complete body.
type answer struct {
	status  int
	verdict string
	header  http.Header
	body    []byte
}

func (d *daemon) send(a request) answer {
	d.c.t.Helper()
	ans, err := d.trySend(a)
	if err != nil {
		d.c.t.Fatal(err)
	}
	return ans
}

func (d *daemon) trySend(a request) (answer, error) {
	s, err := d.tryOpenStream(a)
	if err != nil {
		return answer{}, err
	}
	defer s.close()
	body, err := io.ReadAll(s.resp.Body)
	return answer{status: s.resp.StatusCode, verdict: s.resp.Header.Get(protocol.HeaderVerdict), header: s.resp.Header, body: body}, err
}

func (a answer) text(t testing.TB) string {
	t.Helper()
	var whole struct {
		Choices []struct {
			Text    string
			Message struct{ Content string }
		}
	}
	if err := json.Unmarshal(a.body, &whole); err != nil || len(whole.Choices) != 1 {
		t.Fatalf("answer %d %q: %v", a.status, a.body, err)
	}
	return whole.Choices[0].Text + whole.Choices[0].Message.Content
}

func (a answer) code(t testing.TB) protocol.Code {
	t.Helper()
	var e protocol.ErrorBody
	if err := json.Unmarshal(a.body, &e); err != nil {
		t.Fatalf("answer %d %q: %v", a.status, a.body, err)
	}
	return e.Error.Code
}
