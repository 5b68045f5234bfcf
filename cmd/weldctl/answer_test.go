package main

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
)

// rawInstance answers each request with raw bytes and closes the connection.
func rawInstance(t *testing.T, raw string) (address string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = io.WriteString(c, raw)
			}
			_ = c.Close()
		}
	}()
	return ln.Addr().String()
}

// readingCommands are commands that read an answer, with the flag that names the address, and the body of a
// good answer.
var readingCommands = map[string]struct{ args, body string }{
	"status":  {"status ADDRESS", "{}"},
	"get":     {"get -admin ADDRESS", `{"instances":[]}`},
	"rollout": {"rollout status -control ADDRESS", "{}"},
	"send":    {"send -caller ADDRESS -service s/p text", "fine"},
}

func runAt(command, address string) (code int, out, errs string) {
	var o, e bytes.Buffer
	code = run(env{out: &o, err: &e, getenv: func(string) string { return "" }}, strings.Fields(strings.Replace(command, "ADDRESS", address, 1)))
	return code, o.String(), e.String()
}

// TestMalformedAnswers checks that each command fails on answers with a malformed head, and prints
// nothing of their bodies.
func TestMalformedAnswers(t *testing.T) {
	for name, c := range readingCommands {
		for fault, head := range map[string]string{
			"status 000":            "HTTP/1.1 000 X\r\nConnection: close\r\n",
			"a blank in a name":     "HTTP/1.1 200 OK\r\nBad Name: x\r\n",
			"a blank behind a name": "HTTP/1.1 200 OK\r\nBad : x\r\n",
		} {
			code, out, errs := runAt(c.args, rawInstance(t, head+"Content-Length: "+strconv.Itoa(len(c.body))+"\r\n\r\n"+c.body))
			if code != exitFailed || strings.Contains(out, "fine") || !strings.Contains(errs, "malformed") {
				t.Errorf("%s, %s: exit code %d, output %q, errors %q", name, fault, code, out, errs)
			}
		}
	}
}

// TestTruncatedAnswers checks that a part of an answer is not printed as a whole one.
func TestTruncatedAnswers(t *testing.T) {
	for name, head := range map[string]string{"length": "Content-Length: 100\r\n", "chunks": "Transfer-Encoding: chunked\r\n", "no length": ""} {
		body := "fine"
		if name == "chunks" {
			body = "4\r\nfine\r\n"
		}
		if code, _, errs := runAt(readingCommands["send"].args, rawInstance(t, "HTTP/1.1 200 OK\r\n"+head+"\r\n"+body)); code != exitFailed {
			t.Errorf("%s: exit code %d, errors %q", name, code, errs)
		}
	}
}

// TestCutHeads checks that each command fails if the instance stops in the middle of its answer's head.
func TestCutHeads(t *testing.T) {
	for name, c := range readingCommands {
		for _, head := range []string{
			"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
			"HTTP/1.0 200 OK\r\nA: b\r\n\r\n",
		} {
			for at := 1; at < len(head); at++ {
				if code, out, errs := runAt(c.args, rawInstance(t, head[:at])); code != exitFailed {
					t.Errorf("%s, %q: exit code %d, output %q, errors %q", name, head[:at], code, out, errs)
				}
			}
		}
	}
}

// TestGoodAnswers checks that each command reads a whole answer, however it is framed.
func TestGoodAnswers(t *testing.T) {
	for name, c := range readingCommands {
		for framing, raw := range map[string]string{
			"length": "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(c.body)) + "\r\n\r\n" + c.body,
			"chunks": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(int64(len(c.body)), 16) + "\r\n" + c.body + "\r\n0\r\n\r\n",
		} {
			if code, _, errs := runAt(c.args, rawInstance(t, raw)); code != exitOK {
				t.Errorf("%s, %s: exit code %d, errors %q", name, framing, code, errs)
			}
		}
	}
}
