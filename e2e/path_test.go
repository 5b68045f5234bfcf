package e2e

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"

	"github.com/weldstream/weldstream/internal/standin"
	"github.com/weldstream/weldstream/protocol"
)

// TestPath serves every kind of request end to end through three instances.
func TestPath(t *testing.T) {
	c := newCluster(t, clusterSpec{daemons: 3, engines: 3, services: 1, settings: "limits: {body_bytes: 4096}\n"})
	c.apply(1, configText())
	for _, d := range c.daemons {
		prompt := "State of Louisiana versus " + d.name
		s := d.openStream(completion("docket-summary", prompt, 20, true))
		if got, want := s.readRest(), standin.AnswerText(prompt, 20); got != want || !s.done {
			t.Errorf("%s streamed %q, want %q", d.name, got, want)
		}
		whole := d.send(completion("arraignment-draft", prompt, 7, false))
		if got, want := whole.text(t), standin.AnswerText(prompt, 7); got != want || whole.verdict != "ran" {
			t.Errorf("%s answered %q (%s), want %q", d.name, got, whole.verdict, want)
		}
		chat := request{path: "/v1/chat/completions", body: map[string]any{
			"model": "docket-summary", "max_tokens": 5, "stream": true,
			"messages": []map[string]string{{"role": "system", "content": "short"}, {"role": "user", "content": prompt}},
		}}
		if got, want := d.openStream(chat).readRest(), standin.AnswerText(standin.ChatPrompt("short", prompt), 5); got != want {
			t.Errorf("%s chatted %q, want %q", d.name, got, want)
		}
		svc := d.send(request{path: "/services/gantry/plate?id=7", body: "ABCD-12"})
		if svc.status != 200 || !strings.Contains(string(svc.body), `"path":"/plate?id=7"`) {
			t.Errorf("%s: service answered %d %s", d.name, svc.status, svc.body)
		}
	}
	c.checkRefusals()
}

// checkRefusals checks status, code and verdict of invalid requests.
func (c *cluster) checkRefusals() {
	d := c.daemons[0]
	good := completion("docket-summary", "x", 1, false)
	wrongKey := good
	wrongKey.key = "wrong"
	for _, tt := range []struct {
		name    string
		request request
		status  int
		code    protocol.Code
	}{
		{"no such key", wrongKey, 401, protocol.CodeUnauthorized},
		{"unknown model", completion("nothing", "x", 1, false), 404, protocol.CodeUnknownModel},
		{"malformed JSON", request{path: "/v1/completions", body: `{"model": `}, 400, protocol.CodeBadRequest},
		{"no prompt", request{path: "/v1/completions", body: `{"model": "docket-summary"}`}, 400, protocol.CodeBadRequest},
		{"two answers", request{path: "/v1/completions", body: `{"model": "docket-summary", "prompt": "x", "n": 2}`}, 400, protocol.CodeBadRequest},
		{"too large", request{path: "/v1/completions", body: strings.Repeat("x", 5000)}, 413, protocol.CodeTooLarge},
		{"bad deadline", good.with(protocol.HeaderDeadline, "soon"), 400, protocol.CodeBadRequest},
		{"bad priority", good.with(protocol.HeaderPriority, "urgent"), 400, protocol.CodeBadRequest},
		{"bad mark", good.with(protocol.HeaderRepeatable, "maybe"), 400, protocol.CodeBadRequest},
		{"unknown service", request{path: "/services/none/x", body: ""}, 404, protocol.CodeUnknownService},
		{"unknown path", request{path: "/v2/x", body: ""}, 404, protocol.CodeNotFound},
	} {
		a := d.send(tt.request)
		if a.status != tt.status || a.code(c.t) != tt.code || a.verdict != "not-run" {
			c.t.Errorf("%s: got %d %s %s", tt.name, a.status, a.verdict, a.body)
		}
	}
}

// TestEngineKilledInMidStream kills the engine that streams an answer. The
// caller still gets the complete answer.
func TestEngineKilledInMidStream(t *testing.T) {
	c := newCluster(t, clusterSpec{daemons: 1, engines: 3, engineFlags: []string{"-token-time", "20ms"}})
	c.apply(1, configText())
	s := c.daemons[0].openStream(completion("docket-summary", "kill", 40, true))
	for range 5 {
		s.next()
	}
	c.engineOf("kill").kill()
	if got, want := s.readRest(), standin.AnswerText("kill", 40); got != want || !s.done {
		t.Errorf("got %q (%+v), want %q", got, s.err, want)
	}
}

// engineOf returns the engine that runs the only request in progress; what names
// the request in the failure message.
func (c *cluster) engineOf(what string) *standinProcess {
	c.t.Helper()
	var found *standinProcess
	eventually(c.t, "an engine runs "+what, func() bool {
		for _, e := range c.engines {
			if e.alive() && e.engineStats().Running > 0 {
				found = e
			}
		}
		return found != nil
	})
	return found
}

// TestCallerDisconnects checks that a request is canceled at the engine when its
// caller disconnects, in mid-stream or before the first token.
func TestCallerDisconnects(t *testing.T) {
	c := newCluster(t, clusterSpec{daemons: 1, engines: 1, engineFlags: []string{"-max-batch", "1", "-token-time", "20ms"}, settings: "timeouts: {first_byte: 5m, chunk_gap: 5m}\n"})
	c.apply(1, configText())
	d, e := c.daemons[0], c.engines[0]
	streaming := d.openStream(completion("docket-summary", "long", 5000, true))
	streaming.next()
	queued := rawRequest(t, d, "queued")
	eventually(t, "the second request waits", func() bool { return e.engineStats().Waiting == 1 })
	queued.Close()
	eventually(t, "the queued request is canceled", func() bool { return e.engineStats().Canceled == 1 })
	streaming.close()
	eventually(t, "the streaming request is canceled", func() bool { return e.engineStats().Canceled == 2 })
	eventually(t, "no request is left", func() bool { return len(d.dump().Streams) == 0 })
}

// rawRequest sends a streaming request over a plain TCP connection, which the test
// can close before there is an answer.
func rawRequest(t *testing.T, d *daemon, prompt string) net.Conn {
	t.Helper()
	return rawRequestTokens(t, d, prompt, 5000)
}

func rawRequestTokens(t *testing.T, d *daemon, prompt string, tokens int) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", d.caller)
	if err != nil {
		t.Fatal(err)
	}
	body := fmt.Sprintf(`{"model":"docket-summary","prompt":%q,"max_tokens":%d,"stream":true}`, prompt, tokens)
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", workspaceKey, len(body), body)
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// TestSlowReader has a caller stop reading. It is disconnected after the
// write_stall timeout, and other callers are served meanwhile.
func TestSlowReader(t *testing.T) {
	c := newCluster(t, clusterSpec{daemons: 1, engines: 1, engineFlags: []string{"-token-time", "20us", "-batch-time", "1us"}, settings: "timeouts: {write_stall: 500ms}\n"})
	c.apply(1, configText())
	d := c.daemons[0]
	conn := rawRequestTokens(t, d, "slow", 100000) // More than the socket buffers hold.
	defer conn.Close()
	if err := conn.(*net.TCPConn).SetReadBuffer(4096); err != nil {
		t.Fatal(err)
	}
	if _, err := bufio.NewReaderSize(conn, 16).ReadByte(); err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		prompt := fmt.Sprint("quick ", i)
		if got, want := d.send(completion("docket-summary", prompt, 10, false)).text(t), standin.AnswerText(prompt, 10); got != want {
			t.Errorf("with a slow reader connected: got %q, want %q", got, want)
		}
	}
	eventually(t, "the slow reader is disconnected", func() bool { return len(d.dump().Streams) == 0 })
}

// TestPlannedStop sends SIGTERM to an instance in mid-stream. It reports not
// ready, completes the stream and exits with code 0.
func TestPlannedStop(t *testing.T) {
	c := newCluster(t, clusterSpec{daemons: 2, engines: 2, engineFlags: []string{"-token-time", "20ms"}})
	c.apply(1, configText())
	d := c.daemons[0]
	s := d.openStream(completion("docket-summary", "planned", 120, true))
	s.next()
	d.signal(syscall.SIGTERM)
	eventually(t, "the instance is not ready", func() bool { return d.readyStatus() != 200 })
	if got, want := s.readRest(), standin.AnswerText("planned", 120); got != want || !s.done {
		t.Errorf("got %q (%+v), want %q", got, s.err, want)
	}
	if code := d.wait(); code != 0 {
		t.Errorf("exit code %d, want 0", code)
	}
}

// TestDumpOnSignal checks that SIGQUIT makes a daemon write its state to its log
// and keep running.
func TestDumpOnSignal(t *testing.T) {
	c := newCluster(t, clusterSpec{daemons: 1, engines: 1})
	c.apply(1, configText())
	d := c.daemons[0]
	d.signal(syscall.SIGQUIT)
	eventually(t, "the dump is written", func() bool { return strings.Contains(d.err.String(), `"servers": [`) })
	if !d.alive() {
		t.Error("the process exited on SIGQUIT")
	}
}

// TestBadSettings checks that invalid settings end the start with exit code 2 and
// one line per error.
func TestBadSettings(t *testing.T) {
	c := &cluster{t: t, dir: t.TempDir()}
	file := c.write("bad.yaml", "name: a\ndomain: z\ncaller: localhost:80\npeer: 127.0.0.1:1\nadmin: 127.0.0.1:2\ncolor: red\ntimeouts:\n  dial: 1h\ncluster: {key_file: k, operator_sha256: [ab]}\nplatform: {address: 127.0.0.1:3}\n")
	p := start(t, "bad", "weldstreamd", "-settings", file)
	if code := p.wait(); code != 2 {
		t.Errorf("exit code %d, want 2", code)
	}
	for _, want := range []string{file + ":3: caller: ", file + ":6: color: unknown field", file + ":8: timeouts.dial: "} {
		if !strings.Contains(p.err.String(), want) {
			t.Errorf("no line with %q in:\n%s", want, p.err.String())
		}
	}
}
