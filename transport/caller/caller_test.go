package caller

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

const testTimeout = 10 * time.Second

// handlerFunc adapts a func to a Handler.
type handlerFunc func(ctx context.Context, req *fasthttp.Request, a *ResponseWriter)

func (f handlerFunc) Serve(ctx context.Context, req *fasthttp.Request, a *ResponseWriter) {
	f(ctx, req, a)
}

func (handlerFunc) ErrorResponse(status int, reason string) *fasthttp.Response {
	resp := &fasthttp.Response{}
	resp.SetStatusCode(status)
	resp.SetBodyString(reason)
	return resp
}

func writeText(a *ResponseWriter, text string) {
	resp := &fasthttp.Response{}
	resp.SetBodyString(text)
	_ = a.WriteResponse(resp)
}

// echo responds with method, path and body.
var echo = handlerFunc(func(_ context.Context, req *fasthttp.Request, a *ResponseWriter) {
	writeText(a, string(req.Header.Method())+" "+string(req.Header.RequestURI())+" "+string(req.Body()))
})

// serve starts a server and returns it with a connection to it.
func serve(t *testing.T, h Handler) (*Server, net.Conn, *bufio.Reader) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(h)
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { _ = ln.Close() })
	return s, dial(t, ln.Addr().String()), nil
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func read(t *testing.T, br *bufio.Reader) (int, string) {
	t.Helper()
	var resp fasthttp.Response
	if err := resp.Read(br); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode(), string(resp.Body())
}

// TestRequestsOnOneConnection sends requests with all kinds of framing, two of them pipelined, and
// checks that each gets its own response.
func TestRequestsOnOneConnection(t *testing.T) {
	_, conn, _ := serve(t, echo)
	br := bufio.NewReader(conn)
	_, _ = io.WriteString(conn, "GET /a//b%20c?q=1 HTTP/1.1\r\nHost: h\r\n\r\n"+
		"POST /len HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")
	for _, want := range []string{"GET /a//b%20c?q=1 ", "POST /len abc"} {
		if _, got := read(t, br); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	_, _ = io.WriteString(conn, "POST /chunks HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n")
	if _, got := read(t, br); got != "POST /chunks abc" {
		t.Errorf("got %q", got)
	}
}

// TestDisconnectCancelsContext checks that a caller that disconnects while nothing is written is
// noticed.
func TestDisconnectCancelsContext(t *testing.T) {
	begun, ended := make(chan struct{}), make(chan struct{})
	_, conn, _ := serve(t, handlerFunc(func(ctx context.Context, _ *fasthttp.Request, _ *ResponseWriter) {
		close(begun)
		<-ctx.Done()
		close(ended)
	}))
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	<-begun
	_ = conn.Close()
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Fatal("context not canceled after the caller disconnected")
	}
}

// TestUnfinishedResponseIsCut checks that a response that was not finished does not look complete,
// and that a finished one does.
func TestUnfinishedResponseIsCut(t *testing.T) {
	for _, end := range []bool{false, true} {
		_, conn, _ := serve(t, handlerFunc(func(_ context.Context, _ *fasthttp.Request, a *ResponseWriter) {
			_ = a.WriteHeader(&fasthttp.Response{})
			_ = a.WriteChunk([]byte("data: 1\n\n"))
			if end {
				_ = a.Finish()
			}
		}))
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		var resp fasthttp.Response
		if err := resp.Read(bufio.NewReader(conn)); (err == nil) != end || (err != nil && isTimeout(err)) {
			t.Errorf("finished: %v, the caller got error %v", end, err)
		}
	}
}

// TestDrain checks that an idle connection is closed, and that one with a request in progress
// gets its response and is closed after it.
func TestDrain(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	s, busy, _ := serve(t, handlerFunc(func(_ context.Context, req *fasthttp.Request, a *ResponseWriter) {
		if string(req.Header.RequestURI()) == "/wait" {
			close(begun)
			<-release
		}
		writeText(a, "done")
	}))
	idle := dial(t, busy.RemoteAddr().String())
	idleReader := bufio.NewReader(idle)
	_, _ = io.WriteString(idle, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	read(t, idleReader)
	_, _ = io.WriteString(busy, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	<-begun
	awaitIdle(t, s)
	s.Drain()
	if _, err := idleReader.ReadByte(); err != io.EOF {
		t.Errorf("read from the idle connection: %v, want EOF", err)
	}
	close(release)
	br := bufio.NewReader(busy)
	read(t, br)
	if _, err := br.ReadByte(); err != io.EOF {
		t.Errorf("read from the busy connection after its response: %v, want EOF", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	s.Wait(ctx)
	if n := s.Conns(); n != 0 {
		t.Errorf("%d connections are open, want 0", n)
	}
}

// TestDrainServesRequestsInFlight checks that a request sent on an idle or a new connection while
// the server starts to drain gets a response. If the connection were closed with the request
// unread, it would be reset, and the caller would not know the outcome of its request.
func TestDrainServesRequestsInFlight(t *testing.T) {
	s, first, _ := serve(t, handlerFunc(func(_ context.Context, _ *fasthttp.Request, a *ResponseWriter) { writeText(a, "done") }))
	s.drainGrace = testTimeout // A short stall of the machine must not decide the outcome.
	address := first.RemoteAddr().String()
	var idle []net.Conn
	for range 50 {
		conn := dial(t, address)
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		read(t, bufio.NewReader(conn))
		idle = append(idle, conn)
	}
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		s.Drain()
	}()
	for i, conn := range idle {
		if i%2 == 0 {
			conn = dial(t, address)
		}
		if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		var resp fasthttp.Response
		if err := resp.Read(bufio.NewReader(conn)); err != nil {
			t.Errorf("request %d: %v", i, err)
		}
	}
	<-drained
}

// TestWaitDuringNewConnections checks that callers that connect during Wait do not race with it,
// which the race detector reports, and that Wait covers every connection accepted before.
func TestWaitDuringNewConnections(t *testing.T) {
	s, first, _ := serve(t, handlerFunc(func(_ context.Context, _ *fasthttp.Request, a *ResponseWriter) { writeText(a, "done") }))
	address := first.RemoteAddr().String()
	_ = first.Close()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var callers sync.WaitGroup
	for range 4 {
		callers.Go(func() {
			for range 50 {
				conn, err := net.Dial("tcp", address)
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
				var resp fasthttp.Response
				if err := resp.Read(bufio.NewReader(conn)); err != nil {
					t.Error(err)
				}
				_ = conn.Close()
			}
		})
	}
	for range 50 {
		s.Wait(ctx)
	}
	callers.Wait()
	open := dial(t, address)
	_, _ = io.WriteString(open, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	read(t, bufio.NewReader(open))
	expired, expire := context.WithCancel(ctx)
	expire()
	if s.Wait(expired) {
		t.Error("Wait returned true while a connection is open")
	}
	_ = open.Close()
	if !s.Wait(ctx) {
		t.Error("Wait returned false after the last connection closed")
	}
}

// awaitIdle waits until a connection of the server is idle.
func awaitIdle(t *testing.T, s *Server) {
	t.Helper()
	hasIdle := func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.conns {
			c.mu.Lock()
			idle := c.state == connIdle
			c.mu.Unlock()
			if idle {
				return true
			}
		}
		return false
	}
	for end := time.Now().Add(testTimeout); !hasIdle(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no connection became idle")
		}
	}
}

// TestErrorsDoNotQuoteRequest checks that the response to an unreadable request does not quote the
// request, which may contain a key.
func TestErrorsDoNotQuoteRequest(t *testing.T) {
	for name, text := range map[string]string{
		"no request":    "secret-key\r\n\r\n",
		"large headers": "GET / HTTP/1.1\r\nHost: h\r\nX: secret-key" + strings.Repeat("x", 64<<10) + "\r\n\r\n",
		"large body":    "POST / HTTP/1.1\r\nHost: h\r\nX: secret-key\r\nContent-Length: 99999999\r\n\r\n",
	} {
		_, conn, _ := serve(t, echo)
		go func() { _, _ = io.WriteString(conn, text) }()
		status, body := read(t, bufio.NewReader(conn))
		if status < 400 || status >= 500 || strings.Contains(body, "secret") {
			t.Errorf("%s: status %d, %q", name, status, body)
		}
	}
}

// TestLongHeaders checks that headers up to the limit are read completely, along with the body and
// the next request, and that longer ones are refused.
func TestLongHeaders(t *testing.T) {
	_, conn, _ := serve(t, echo)
	br := bufio.NewReader(conn)
	for _, size := range []int{100, readBuffer, DefaultLimits.HeaderBytes - 200, 100} {
		_, _ = io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nLong: "+strings.Repeat("a", size)+"\r\n\r\nbody")
		if status, got := read(t, br); status != 200 || got != "POST /x body" {
			t.Errorf("%d bytes of headers: %d %q", size, status, got)
		}
	}
	_, _ = io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: h\r\nLong: "+strings.Repeat("a", DefaultLimits.HeaderBytes)+"\r\n\r\n")
	if status, _ := read(t, br); status != fasthttp.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("headers beyond the limit got status %d", status)
	}
}
