package backend

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/internal/clock"
)

const testTimeout = 10 * time.Second

// startServer accepts connections and passes each one to serve.
func startServer(t *testing.T, serve func(c net.Conn, br *bufio.Reader)) string {
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
			go func() {
				defer c.Close()
				serve(c, bufio.NewReader(c))
			}()
		}
	}()
	return ln.Addr().String()
}

func request(body string) *fasthttp.Request {
	req := &fasthttp.Request{}
	req.Header.SetMethod("POST")
	req.SetRequestURI("/work")
	req.Header.SetHost("h")
	req.SetBodyString(body)
	return req
}

// ask sends a request and returns the body and the connection.
func ask(t *testing.T, p *Pool, address string) (string, *Conn) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	c, err := p.Get("s", address, deadline)
	if err != nil {
		t.Fatal(err)
	}
	var resp fasthttp.Response
	if _, err := c.Exchange(request("x"), &resp, deadline); err != nil {
		t.Fatal(err)
	}
	data, err := io.ReadAll(c.Body(&resp))
	if err != nil {
		t.Fatal(err)
	}
	return string(data), c
}

func answer(c net.Conn, br *bufio.Reader, text string) bool {
	var req fasthttp.Request
	if req.Read(br) != nil {
		return false
	}
	_, err := io.WriteString(c, text)
	return err == nil
}

// TestConnectionReuse checks that a connection whose answer was read to its end is reused,
// and that a connection on which the server sent more data, at once or later, is not: those
// bytes belong to no request.
func TestConnectionReuse(t *testing.T) {
	const good = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	late := make(chan struct{})
	for name, c := range map[string]struct {
		serve func(c net.Conn, br *bufio.Reader)
		opens int64
	}{
		"complete": {func(c net.Conn, br *bufio.Reader) {
			for answer(c, br, good) {
			}
		}, 1},
		"more data at once": {func(c net.Conn, br *bufio.Reader) {
			for answer(c, br, good+good) {
			}
		}, 2},
		"more data later": {func(c net.Conn, br *bufio.Reader) {
			answer(c, br, good)
			<-late
			_, _ = io.WriteString(c, good)
			_, _ = br.ReadByte()
		}, 2},
		"closed later": {func(c net.Conn, br *bufio.Reader) {
			answer(c, br, good)
			<-late
		}, 2},
	} {
		address := startServer(t, c.serve)
		p := NewPool(time.Second)
		_, conn := ask(t, p, address)
		p.Put("s", conn, 0)
		if strings.Contains(name, "later") {
			late <- struct{}{}
			waitReadable(t, conn)
		}
		if text, _ := ask(t, p, address); text != "ok" {
			t.Errorf("%s: the second answer is %q", name, text)
		}
		if p.Opened() != c.opens {
			t.Errorf("%s: %d connections were opened, want %d", name, p.Opened(), c.opens)
		}
		if strings.Contains(name, "later") {
			go func() { late <- struct{}{} }()
		}
	}
}

// waitReadable waits until data has arrived on an idle connection.
func waitReadable(t *testing.T, c *Conn) {
	t.Helper()
	for end := time.Now().Add(testTimeout); idleAndQuiet(c.net); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no data arrived")
		}
	}
}

// TestBodyEnds checks which bodies count as complete according to their framing.
func TestBodyEnds(t *testing.T) {
	for name, c := range map[string]struct {
		text    string
		framing Framing
		ending  Ending
	}{
		"length":        {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", FramedByLength, EndedWhole},
		"short":         {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", FramedByLength, EndedByClose},
		"chunks":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", FramedByChunks, EndedWhole},
		"no last chunk": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", FramedByChunks, EndedByClose},
		"no length":     {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok", FramedByClose, EndedByClose},
	} {
		address := startServer(t, func(conn net.Conn, br *bufio.Reader) { answer(conn, br, c.text) })
		deadline := time.Now().Add(testTimeout)
		conn, err := NewPool(time.Second).Get("s", address, deadline)
		if err != nil {
			t.Fatal(err)
		}
		var resp fasthttp.Response
		if _, err := conn.Exchange(request("x"), &resp, deadline); err != nil {
			t.Fatal(err)
		}
		data, err := io.ReadAll(conn.Body(&resp))
		if (err == nil) != (c.ending == EndedWhole) || errors.Is(err, ErrEndUnconfirmed) != (c.framing == FramedByClose) || string(data) != "ok" {
			t.Errorf("%s: %q, error %v", name, data, err)
		}
		if err == nil {
			err = io.EOF
		}
		if framing, ending := FramingOf(&resp), EndingOf(err); framing != c.framing || ending != c.ending {
			t.Errorf("%s: framed by %v, ended %v", name, framing, ending)
		}
	}
}

// TestEarlyAnswer checks that an answer that arrives before a long body was read is returned
// at once, and that the connection is reported as not reusable.
func TestEarlyAnswer(t *testing.T) {
	done := make(chan struct{})
	defer close(done)
	address := startServer(t, func(c net.Conn, br *bufio.Reader) {
		var h fasthttp.RequestHeader
		_ = h.Read(br)
		_, _ = io.WriteString(c, "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n")
		<-done // Keeps the connection open without reading.
	})
	deadline := time.Now().Add(testTimeout)
	conn, err := NewPool(time.Second).Get("s", address, deadline)
	if err != nil {
		t.Fatal(err)
	}
	var resp fasthttp.Response
	req := request("")
	req.SetBody(bytes.Repeat([]byte("x"), 64<<20))
	early, err := conn.Exchange(req, &resp, deadline)
	if err != nil || !early || resp.StatusCode() != 413 {
		t.Errorf("early %v, status %d, error %v", early, resp.StatusCode(), err)
	}
}

// TestWrote checks that Wrote tells a request of which nothing was sent from one that was
// sent.
func TestWrote(t *testing.T) {
	address := startServer(t, func(_ net.Conn, br *bufio.Reader) { _, _ = br.ReadByte() })
	deadline := time.Now().Add(testTimeout)
	p := NewPool(time.Second)
	sent, _ := p.Get("s", address, deadline)
	var resp fasthttp.Response
	if _, err := sent.Exchange(request("x"), &resp, deadline); err == nil || !sent.Wrote() {
		t.Errorf("error %v, wrote %v", err, sent.Wrote())
	}
	closed, _ := p.Get("s", address, deadline)
	closed.Close()
	if _, err := closed.Exchange(request("x"), &resp, deadline); err == nil || closed.Wrote() {
		t.Errorf("on a closed connection: error %v, wrote %v", err, closed.Wrote())
	}
}

// TestIdleTimeout checks that a connection is not reused after its idle timeout, even if no
// data has arrived on it.
func TestIdleTimeout(t *testing.T) {
	address := startServer(t, func(c net.Conn, br *bufio.Reader) {
		for answer(c, br, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") {
		}
	})
	p := NewPool(time.Second)
	_, conn := ask(t, p, address)
	p.Put("s", conn, 0)
	conn.idleUntil = clock.Now()
	ask(t, p, address)
	if p.Opened() != 2 {
		t.Errorf("%d connections were opened, want 2", p.Opened())
	}
}

// TestIdleTimeoutIncludesSuspensions checks that a connection that was idle while the machine
// was suspended is not reused: its server has closed it in the meantime.
func TestIdleTimeoutIncludesSuspensions(t *testing.T) {
	address := startServer(t, func(c net.Conn, br *bufio.Reader) {
		for answer(c, br, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") {
		}
	})
	p := NewPool(time.Second)
	_, conn := ask(t, p, address)
	p.Put("s", conn, 0)
	clock.Skip(time.Minute)
	defer clock.Skip(-time.Minute)
	ask(t, p, address)
	if p.Opened() != 2 {
		t.Errorf("%d connections were opened, want 2", p.Opened())
	}
}

// TestCloseInUse checks that the connections in use to a terminated server are closed, that
// those to other servers and idle ones are not, and that no entry remains.
func TestCloseInUse(t *testing.T) {
	address := startServer(t, func(c net.Conn, br *bufio.Reader) {
		for answer(c, br, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") {
		}
	})
	p := NewPool(time.Second)
	deadline := time.Now().Add(testTimeout)
	var conns []*Conn
	for _, id := range []string{"a", "a", "b"} {
		c, err := p.Get(id, address, deadline)
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
	}
	if n := p.CloseInUse("a"); n != 2 || !conns[0].closed.Load() || !conns[1].closed.Load() || conns[2].closed.Load() {
		t.Errorf("%d connections were closed", n)
	}
	p.Put("b", conns[2], 0)
	if n := p.CloseInUse("b"); n != 0 || len(p.inUse) != 0 {
		t.Errorf("%d idle connections were closed, %d servers have entries", n, len(p.inUse))
	}
}

// TestRetain checks that idle connections are kept only to listed servers, and only until
// their idle timeout.
func TestRetain(t *testing.T) {
	address := startServer(t, func(c net.Conn, br *bufio.Reader) {
		for answer(c, br, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") {
		}
	})
	for _, tc := range []struct {
		name         string
		listed, rest bool
	}{
		{"listed", true, true},
		{"not listed", false, true},
		{"expired", true, false},
	} {
		p := NewPool(time.Second)
		_, conn := ask(t, p, address)
		p.Put("s", conn, 0)
		if !tc.rest {
			conn.idleUntil = clock.Now()
		}
		p.Retain(func(string) bool { return tc.listed })
		if kept := len(p.idle["s"]) == 1; kept != (tc.listed && tc.rest) {
			t.Errorf("%s: kept %v", tc.name, kept)
		}
	}
}
