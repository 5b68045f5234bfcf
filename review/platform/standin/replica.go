//go:build review

package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

// replicaConfig is how a replica answers.
type replicaConfig struct {
	id       string
	address  string
	events   int
	pause    time.Duration
	unframed bool // unframed answers have no length and end with their connection.
}

// runReplica serves until the process is ended.
func runReplica(args []string) {
	var c replicaConfig
	flags := flag.NewFlagSet("replica", flag.ExitOnError)
	flags.StringVar(&c.id, "id", "", "the replica's id")
	flags.StringVar(&c.address, "address", "", "the address to listen on")
	flags.IntVar(&c.events, "events", 20, "the events of a stream")
	flags.DurationVar(&c.pause, "pause", 50*time.Millisecond, "the pause between two events")
	flags.BoolVar(&c.unframed, "unframed", false, "answers have no length")
	_ = flags.Parse(args)
	ln, err := net.Listen("tcp", c.address)
	if err != nil {
		fmt.Println("replica", c.id, "cannot listen:", err)
		os.Exit(exitNotRun)
	}
	fmt.Printf("         replica %s listens at %s\n", c.id, c.address)
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go c.serve(conn)
	}
}

func (c *replicaConfig) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	br := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil || !c.answer(conn, req, body) {
			return
		}
	}
}

// answer answers one request and reports whether the connection goes on.
func (c *replicaConfig) answer(conn net.Conn, req *http.Request, body []byte) bool {
	id := req.Header.Get("Attempt-Id")
	switch {
	case req.URL.Path == "/health":
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", c.id)
		return err == nil
	case req.URL.Path == "/api/report":
		text := `{"stage":"prefill_decode","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"queued":0,"running":0,"kvUsed":0,"kvTotal":90000,"handles":0,"state":"ready"}`
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		return err == nil
	}
	if want := req.Header.Get("Expect-Instance"); want != "" && want != c.id {
		fmt.Printf("         replica %s does not run %s, which is for %s: 421\n", c.id, id, want)
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		return err == nil
	}
	fmt.Printf("         replica %s runs %s (%s %s, %d bytes, tenant %q)\n", c.id, id, req.Method, req.URL.Path, len(body), req.Header.Get("Tenant-Name"))
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: seal-%s-%s\r\n", id, id, c.id)
	kind, piece := "text/plain", func(n int) string { return wholePiece(id, n) }
	if strings.HasPrefix(req.URL.Path, "/stream/") {
		kind, piece = "text/event-stream", event
	}
	head += "Content-Type: " + kind + "\r\n"
	if !c.unframed {
		return c.writeChunked(conn, head, piece)
	}
	if _, err := io.WriteString(conn, head+"Connection: close\r\n\r\n"); err != nil {
		return false
	}
	for n := 1; n <= c.events; n++ {
		if _, err := io.WriteString(conn, piece(n)); err != nil {
			return false
		}
		time.Sleep(c.pause)
	}
	fmt.Printf("         replica %s ends %s after its last piece\n", c.id, id)
	return false
}

func (c *replicaConfig) writeChunked(conn net.Conn, head string, piece func(int) string) bool {
	if _, err := io.WriteString(conn, head+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
		return false
	}
	for n := 1; n <= c.events; n++ {
		text := piece(n)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text); err != nil {
			return false
		}
		time.Sleep(c.pause)
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}

// event is the n-th event of a stream.
func event(n int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n) }

// wholePiece is the n-th piece of an answer that is no stream.
func wholePiece(id string, n int) string { return fmt.Sprintf("answer to %s, line %d\n", id, n) }

// whole returns all pieces of an answer.
func whole(pieces int, piece func(int) string) string {
	var b strings.Builder
	for n := 1; n <= pieces; n++ {
		b.WriteString(piece(n))
	}
	return b.String()
}
