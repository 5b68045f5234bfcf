package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/transport/backend"
)

// KeyVariable is the environment variable that holds the workspace's key.
const KeyVariable = "WELDSTREAM_KEY"

type sendFlags struct {
	address        string
	keyFile        string
	model          string
	service        string
	maxTokens      int
	idempotencyKey string
	notRepeatable  bool
	issuedAt       string
	priority       string
	deadline       time.Duration
}

func (s *sendFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&s.address, "caller", "127.0.0.1:7101", "caller `address` of any instance, IP:port")
	fs.StringVar(&s.keyFile, "key-file", "", "`file` with the workspace's key; default: $"+KeyVariable)
	fs.StringVar(&s.model, "model", "", "`name` of the route; the arguments are the prompt")
	fs.StringVar(&s.service, "service", "", "plain service and `path`, such as gantry/tag; the argument is the body")
	fs.IntVar(&s.maxTokens, "max-tokens", 64, "maximum number of tokens in the answer")
	fs.StringVar(&s.idempotencyKey, "idempotency-key", "", "key that identifies the request across resends")
	fs.BoolVar(&s.notRepeatable, "once", false, "mark the request as not repeatable")
	fs.StringVar(&s.issuedAt, "issued-at", "", "for a resend with -once: the `time` of the first send, RFC 3339; default: now")
	fs.StringVar(&s.priority, "priority", "", "priority: low, normal or high")
	fs.DurationVar(&s.deadline, "deadline", 0, "maximum time until the answer is complete")
}

func runSend(e env, fs *flag.FlagSet, args []string) int {
	var s sendFlags
	s.register(fs)
	if code, ok := parseFlags(fs, args); !ok {
		return code
	}
	if (s.model == "") == (s.service == "") {
		fmt.Fprintln(e.err, "weldctl: send needs either -model or -service")
		return exitUsage
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	if err := s.buildRequest(e, req, strings.Join(fs.Args(), " ")); err != nil {
		return failf(e, "%v", err)
	}
	if s.notRepeatable {
		fmt.Fprintf(e.err, "issued at %s: a resend needs -issued-at with this time\n", s.issuedAt)
	}
	conn, err := backend.NewPool(connectTimeout).Get(s.address, s.address, time.Now().Add(connectTimeout))
	if err != nil {
		return failf(e, "%v", err)
	}
	defer conn.Close()
	if _, err := conn.Exchange(req, resp, time.Time{}); err != nil { // An answer may take as long as the caller lets it.
		return failf(e, "%v", err)
	}
	return printAnswer(e, resp, conn.Body(resp))
}

func (s *sendFlags) buildRequest(e env, req *fasthttp.Request, text string) error {
	key := e.getenv(KeyVariable)
	if s.keyFile != "" {
		data, err := os.ReadFile(s.keyFile)
		if err != nil {
			return eris.Wrap(err, "read key")
		}
		key = strings.TrimSpace(string(data))
	}
	req.Header.SetMethod(http.MethodPost)
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.SetContentType("application/json")
	s.setHeaders(req)
	if s.service != "" {
		req.SetRequestURI("http://" + s.address + "/services/" + s.service)
		req.SetBodyString(text)
		return nil
	}
	req.SetRequestURI("http://" + s.address + "/v1/completions")
	body, err := json.Marshal(map[string]any{"model": s.model, "prompt": text, "max_tokens": s.maxTokens, "stream": true})
	req.SetBodyRaw(body)
	return eris.Wrap(err, "encode request")
}

func (s *sendFlags) setHeaders(req *fasthttp.Request) {
	if s.idempotencyKey != "" {
		req.Header.Set(protocol.HeaderKey, s.idempotencyKey)
	}
	if s.notRepeatable {
		req.Header.Set(protocol.HeaderRepeatable, "false")
		req.Header.Set(protocol.HeaderIssuedAt, s.issueTime())
	}
	if s.priority != "" {
		req.Header.Set(protocol.HeaderPriority, s.priority)
	}
	if s.deadline > 0 {
		req.Header.Set(protocol.HeaderDeadline, s.deadline.String())
	}
}

// issueTime returns the time of the first send. It is set to now if there is none.
func (s *sendFlags) issueTime() string {
	if s.issuedAt == "" {
		s.issuedAt = time.Now().UTC().Format(time.RFC3339Nano)
	}
	return s.issuedAt
}

func printAnswer(e env, resp *fasthttp.Response, body io.Reader) int {
	if resp.StatusCode() >= http.StatusBadRequest {
		data, err := io.ReadAll(body)
		if err != nil {
			return failf(e, "%v", err)
		}
		return failf(e, "%s", errorText(resp.StatusCode(), data))
	}
	if string(resp.Header.ContentType()) != "text/event-stream" {
		if _, err := io.Copy(e.out, body); err != nil {
			return failf(e, "%v", err)
		}
		return exitOK
	}
	return printEvents(e, body)
}

// printEvents prints the text of each event as it arrives. An answer is complete
// only if it ends with [DONE].
func printEvents(e env, body io.Reader) int {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			fmt.Fprintln(e.out)
			return exitOK
		}
		if text, refusal := eventText(data); refusal != "" {
			fmt.Fprintln(e.out)
			return failf(e, "%s", refusal)
		} else if _, err := fmt.Fprint(e.out, text); err != nil {
			return failf(e, "%v", err)
		}
	}
	return failf(e, "the answer ended before [DONE]: it is incomplete")
}

func eventText(data string) (text, refusal string) {
	var failed protocol.ErrorBody
	if json.Unmarshal([]byte(data), &failed) == nil && failed.Error.Code != "" {
		return "", errorText(http.StatusBadGateway, []byte(data))
	}
	var c protocol.Chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return "", err.Error()
	}
	if len(c.Choices) == 0 || c.Choices[0].Text == nil {
		return "", ""
	}
	return *c.Choices[0].Text, ""
}
