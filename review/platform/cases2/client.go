//go:build review2

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// streamResult is what a client got of one try of a stream.
type streamResult struct {
	status     int
	last       int // last is the number of the last event.
	got        int // got is the number of events of this try.
	versions   map[string]bool
	complete   bool
	silent     bool // silent says that the client gave up because nothing came.
	retryAfter time.Duration
	err        error
}

// streamTry is one try of a stream by a client on a connection of its own.
type streamTry struct {
	address, host, path, key, id string
	resumes                      string // resumes is the try that brought the first event; empty for a new stream.
	last                         int
	remaining                    time.Duration
	patience                     time.Duration   // patience is how long the client bears silence.
	leave                        <-chan struct{} // leave makes the client close its connection.
}

// run sends the request and reads events.
func (t streamTry) run() (res streamResult) {
	res.last, res.versions = t.last, map[string]bool{}
	conn, err := net.DialTimeout("tcp", t.address, time.Second)
	if err != nil {
		res.err = err
		return res
	}
	defer func() { _ = conn.Close() }()
	if t.leave != nil {
		done := make(chan struct{})
		defer close(done)
		go func() {
			select {
			case <-t.leave:
				_ = conn.Close()
			case <-done:
			}
		}()
	}
	body := strings.Repeat("x", 800)
	var req strings.Builder
	fmt.Fprintf(&req, "POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nModel-Name: m\r\nToken-Count: 600,200\r\nPrompt-Prefix: 5c1e07a2:400,%s:200\r\nDeadline-Remaining: %d\r\nAuthorization: Bearer %s\r\n", t.path, t.host, t.id, t.id, t.remaining.Milliseconds(), t.key)
	if t.last > 0 {
		fmt.Fprintf(&req, "Last-Event-Id: %d\r\nResumes: %s\r\n", t.last, t.resumes)
	}
	fmt.Fprintf(&req, "Content-Length: %d\r\n\r\n%s", len(body), body)
	if _, err := io.WriteString(conn, req.String()); err != nil {
		res.err = err
		return res
	}
	deadline := time.Now().Add(t.remaining)
	wait := func() {
		end := time.Now().Add(t.patience)
		if deadline.Before(end) {
			end = deadline
		}
		_ = conn.SetReadDeadline(end)
	}
	wait()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		res.err, res.silent = err, errors.Is(err, os.ErrDeadlineExceeded)
		return res
	}
	defer func() { _ = resp.Body.Close() }()
	res.status = resp.StatusCode
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		res.retryAfter = time.Duration(s * float64(time.Second))
	}
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 300))
		res.err = errors.New(string(text))
		return res
	}
	lines := bufio.NewReader(resp.Body)
	for {
		wait()
		line, err := lines.ReadString('\n')
		if err != nil {
			res.complete = errors.Is(err, io.EOF)
			res.silent = errors.Is(err, os.ErrDeadlineExceeded)
			if !res.complete {
				res.err = err
			}
			return res
		}
		if n, ok := strings.CutPrefix(line, "id: "); ok {
			res.last, _ = strconv.Atoi(strings.TrimSpace(n))
			res.got++
		}
		if d, ok := strings.CutPrefix(line, "data: "); ok {
			v, _, _ := strings.Cut(strings.TrimSpace(d), " ")
			res.versions[v] = true
		}
	}
}
