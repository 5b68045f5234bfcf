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
)

// KeyVariable names the environment variable with the workspace's key.
const KeyVariable = "WELDSTREAM_KEY"

type sendFlags struct {
	address   string
	keyFile   string
	model     string
	service   string
	maxTokens int
	key       string
	once      bool
	issuedAt  string
	priority  string
	deadline  time.Duration
}

func (s *sendFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&s.address, "caller", "127.0.0.1:7101", "caller `address` of any instance, IP:port")
	fs.StringVar(&s.keyFile, "key-file", "", "`file` with the workspace's key; else $"+KeyVariable)
	fs.StringVar(&s.model, "model", "", "the route's `name`; the arguments are the prompt")
	fs.StringVar(&s.service, "service", "", "a plain service and `path`, such as gantry/tag; the argument is the body")
	fs.IntVar(&s.maxTokens, "max-tokens", 64, "tokens of the answer")
	fs.StringVar(&s.key, "idempotency-key", "", "identity of the request across resends")
	fs.BoolVar(&s.once, "once", false, "mark the request as not repeatable")
	fs.StringVar(&s.issuedAt, "issued-at", "", "with -once, the `time` of the first send, RFC 3339, for a resend; now if empty")
	fs.StringVar(&s.priority, "priority", "", "low, normal or high")
	fs.DurationVar(&s.deadline, "deadline", 0, "time to wait for the whole answer")
}

func runSend(e env, fs *flag.FlagSet, args []string) int {
	var s sendFlags
	s.register(fs)
	if code, ok := parse(fs, args); !ok {
		return code
	}
	if (s.model == "") == (s.service == "") {
		fmt.Fprintln(e.err, "weldctl: send needs either -model or -service")
		return exitUsage
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	if err := s.fill(e, req, strings.Join(fs.Args(), " ")); err != nil {
		return failf(e, "%v", err)
	}
	if s.once {
		fmt.Fprintf(e.err, "issued at %s: a resend needs -issued-at with this time\n", s.issuedAt)
	}
	client := &fasthttp.Client{StreamResponseBody: true}
	if err := client.Do(req, resp); err != nil {
		return failf(e, "%v", err)
	}
	return printAnswer(e, resp)
}

func (s *sendFlags) fill(e env, req *fasthttp.Request, text string) error {
	key := e.get(KeyVariable)
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
	s.marks(req)
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

func (s *sendFlags) marks(req *fasthttp.Request) {
	if s.key != "" {
		req.Header.Set(protocol.HeaderKey, s.key)
	}
	if s.once {
		req.Header.Set(protocol.HeaderRepeatable, "false")
		req.Header.Set(protocol.HeaderIssuedAt, s.issued())
	}
	if s.priority != "" {
		req.Header.Set(protocol.HeaderPriority, s.priority)
	}
	if s.deadline > 0 {
		req.Header.Set(protocol.HeaderDeadline, s.deadline.String())
	}
}

// issued is the time of the first send.
func (s *sendFlags) issued() string {
	if s.issuedAt == "" {
		s.issuedAt = time.Now().UTC().Format(time.RFC3339Nano)
	}
	return s.issuedAt
}

func printAnswer(e env, resp *fasthttp.Response) int {
	body := resp.BodyStream()
	if body == nil {
		body = strings.NewReader(string(resp.Body()))
	}
	if resp.StatusCode() >= http.StatusBadRequest {
		data, err := io.ReadAll(body)
		if err != nil {
			return failf(e, "%v", err)
		}
		return failf(e, "%s", refusalText(resp.StatusCode(), data))
	}
	if string(resp.Header.ContentType()) != "text/event-stream" {
		if _, err := io.Copy(e.out, body); err != nil {
			return failf(e, "%v", err)
		}
		return exitOK
	}
	return printEvents(e, body)
}

// printEvents prints the text of each event as it comes. An answer is whole
// only when [DONE] came.
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
	return failf(e, "the answer ended before it was whole")
}

func eventText(data string) (text, refusal string) {
	var failed protocol.ErrorBody
	if json.Unmarshal([]byte(data), &failed) == nil && failed.Error.Code != "" {
		return "", refusalText(http.StatusBadGateway, []byte(data))
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
