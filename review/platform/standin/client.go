//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// reply is what a client got. Status is 0 if no head came; complete says that the body's framing
// ended it.
type reply struct {
	status   int
	body     string
	seal     string
	id       string
	complete bool
	err      error
}

// ask sends one request on a new connection.
func ask(address, method, path, id string, deadline time.Duration) (r reply) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(deadline + time.Second))
	body := "body of " + id
	if method == http.MethodGet {
		body = ""
	}
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Remaining: %d\r\nAuthorization: Bearer %s\r\nModel-Name: m\r\nToken-Count: 100,100\r\nPrompt-Prefix: 5c1e07a2:50,%x:50\r\nContent-Length: %d\r\n\r\n%s",
		method, path, host, id, deadline.Milliseconds(), key, time.Now().UnixNano(), len(body), body)
	if err != nil {
		return reply{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, body: string(data), seal: resp.Header.Get("Server-Seal"), id: resp.Header.Get("Attempt-Id"), complete: err == nil, err: err}
}
