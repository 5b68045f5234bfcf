package caller

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/coordination/memory"
)

// admittingHandler is an Admitter that takes a request's workspace from its header "W".
type admittingHandler struct {
	handlerFunc
	refused atomic.Int64
}

func (k *admittingHandler) Owner(req *fasthttp.Request) (request, workspace string) {
	return "", string(req.Header.Peek("W"))
}

func (k *admittingHandler) OutOfMemoryResponse(_ *fasthttp.Request, v memory.Decision) *fasthttp.Response {
	k.refused.Add(1)
	resp := &fasthttp.Response{}
	resp.SetStatusCode(fasthttp.StatusServiceUnavailable)
	resp.Header.Set("Retry-After", fmt.Sprint(v.RetryAfter.Seconds()))
	return resp
}

// shortWindowRate is a minimum rate with a short window.
var shortWindowRate = MinRate{Rate: 1 << 20, Window: 200 * time.Millisecond}

// shortLimits are limits that do not extend the rate window.
var shortLimits = Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTime: 100 * time.Millisecond, BodyTime: 2 * testTimeout, IdleTime: testTimeout}

// listen starts a server and returns it with its address.
func listen(t testing.TB, h Handler, opts ...Option) (*Server, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(h, opts...)
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { _ = ln.Close() })
	return s, ln.Addr().String()
}

// await waits for a condition.
func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not in %v: %s", testTimeout, what)
		}
	}
}

func post(workspace string, length int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nW: %s\r\nContent-Length: %d\r\n\r\n", workspace, length)
}

// TestBodyIsRefusedBeforeItIsRead checks that a body for which there is no memory is refused by its
// announced length, with a Retry-After header; that another workspace's body is accepted
// meanwhile; and that all memory is released at the end.
func TestBodyIsRefusedBeforeItIsRead(t *testing.T) {
	release := make(chan struct{})
	h := &admittingHandler{handlerFunc: func(_ context.Context, req *fasthttp.Request, a *ResponseWriter) {
		if len(req.Header.Peek("Wait")) > 0 {
			<-release
		}
		writeText(a, fmt.Sprint(len(req.Body())))
	}}
	m := NewMemory(4<<20, metrics.NewRegistry())
	s, address := listen(t, h, WithMemory(m))
	const size = 1 << 20
	first := dial(t, address)
	go func() {
		_, _ = io.WriteString(first, strings.Replace(post("a", size), "\r\n\r\n", "\r\nWait: 1\r\n\r\n", 1)+strings.Repeat("x", size))
	}()
	await(t, "the first body's memory is reserved", func() bool { return m.Status().Workspaces["a"] >= size })
	second := dial(t, address)
	_, _ = io.WriteString(second, post("a", 3*size/2)) // No byte of the body follows.
	var resp fasthttp.Response
	if err := resp.Read(bufio.NewReader(second)); err != nil || resp.StatusCode() != 503 || len(resp.Header.Peek("Retry-After")) == 0 {
		t.Errorf("a body beyond the share got status %d, Retry-After %q, error %v", resp.StatusCode(), resp.Header.Peek("Retry-After"), err)
	}
	other := dial(t, address)
	go func() { _, _ = io.WriteString(other, post("b", size)+strings.Repeat("x", size)) }()
	if status, body := read(t, bufio.NewReader(other)); status != 200 || body != fmt.Sprint(size) {
		t.Errorf("another workspace's body got status %d, body %q", status, body)
	}
	close(release)
	if status, _ := read(t, bufio.NewReader(first)); status != 200 {
		t.Errorf("the first body got status %d", status)
	}
	for _, c := range []net.Conn{first, second, other} {
		_ = c.Close()
	}
	await(t, "no connection is left", func() bool { return s.Conns() == 0 })
	if row := m.Status(); row.Held != 0 || len(row.Workspaces) != 0 {
		t.Errorf("after all connections closed: %+v", row)
	}
}

// TestRefusalReachesSendingCaller checks that a caller that sends all of its body before it reads
// gets the refusal instead of a connection reset.
func TestRefusalReachesSendingCaller(t *testing.T) {
	h := &admittingHandler{handlerFunc: echo}
	m := NewMemory(1<<20, metrics.NewRegistry())
	_, address := listen(t, h, WithMemory(m))
	var hold memory.Hold
	if !m.Reserve(&hold, memory.Body, 1<<19).Granted {
		t.Fatal("half of the bound could not be reserved")
	}
	conn := dial(t, address)
	if _, err := io.WriteString(conn, post("a", 1<<19-connectionBytes)+strings.Repeat("x", 1<<17)); err != nil {
		t.Fatal(err)
	}
	await(t, "the body is refused", func() bool { return h.refused.Load() == 1 })
	for range 3 {
		if _, err := io.WriteString(conn, strings.Repeat("x", 1<<17)); err != nil {
			t.Fatal(err)
		}
	}
	if status, _ := read(t, bufio.NewReader(conn)); status != 503 {
		t.Errorf("got %d", status)
	}
}

// TestBodyLimitLeavesRoomForConnection checks that a body that fits into an empty account, but not
// together with its own connection, is rejected as too large instead of being worth a retry;
// and that a body of unknown length that fits is accepted although its buffer doubles.
func TestBodyLimitLeavesRoomForConnection(t *testing.T) {
	h := &admittingHandler{handlerFunc: echo}
	_, address := listen(t, h, WithMemory(NewMemory(1<<20, metrics.NewRegistry())))
	conn := dial(t, address)
	_, _ = io.WriteString(conn, post("a", 1<<19))
	if status, _ := read(t, bufio.NewReader(conn)); status != 413 {
		t.Errorf("a body of half the bound got status %d", status)
	}
	_, address = listen(t, h, WithMemory(NewMemory(1<<20, metrics.NewRegistry())))
	conn = dial(t, address)
	const size = 300 << 10
	_, _ = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, strings.Repeat("x", size))
	if status, _ := read(t, bufio.NewReader(conn)); status != 200 {
		t.Errorf("a body of %d bytes without a length got status %d", size, status)
	}
}

// TestBodyOfUnknownLength checks that memory for a body of unknown length is reserved as it grows:
// a body that fits arrives unchanged, as does the next request, and one that does not fit is
// refused.
func TestBodyOfUnknownLength(t *testing.T) {
	h := &admittingHandler{handlerFunc: echo}
	m := NewMemory(4<<20, metrics.NewRegistry())
	_, address := listen(t, h, WithMemory(m))
	chunked := func(size int) string {
		text := "POST /x HTTP/1.1\r\nHost: h\r\nW: a\r\nTransfer-Encoding: chunked\r\n\r\n"
		for size > 0 {
			n := min(size, 10_000)
			text += fmt.Sprintf("%x\r\n%s\r\n", n, strings.Repeat("y", n))
			size -= n
		}
		return text + "0\r\n\r\n"
	}
	for _, size := range []int{0, 1, initialBodyBuffer - 1, initialBodyBuffer, initialBodyBuffer + 1, 300_000} {
		conn := dial(t, address)
		go func() { _, _ = io.WriteString(conn, chunked(size)+"GET /next HTTP/1.1\r\nHost: h\r\n\r\n") }()
		br := bufio.NewReader(conn)
		if status, got := read(t, br); status != 200 || got != "POST /x "+strings.Repeat("y", size) {
			t.Errorf("%d bytes in chunks: %d, %d bytes", size, status, len(got))
		}
		if status, got := read(t, br); status != 200 || got != "GET /next " {
			t.Errorf("request after %d bytes in chunks: %d %q", size, status, got)
		}
	}
	var hold memory.Hold
	hold.Workspace = "a"
	if !m.Reserve(&hold, memory.Lag, 3<<19).Granted {
		t.Fatal("the memory could not be reserved")
	}
	conn := dial(t, address)
	go func() { _, _ = io.WriteString(conn, chunked(2<<20)) }()
	if status, _ := read(t, bufio.NewReader(conn)); status != 503 || h.refused.Load() != 1 {
		t.Errorf("beyond the share: %d, %d refusals", status, h.refused.Load())
	}
}

// TestSlowSenderTimesOut checks that a caller that sends single bytes now and then gets 408 before
// the body timeout, that the handler does not see its request, and that a caller that pauses but
// keeps the minimum rate is served.
func TestSlowSenderTimesOut(t *testing.T) {
	var served atomic.Int64
	h := &admittingHandler{handlerFunc: func(_ context.Context, req *fasthttp.Request, a *ResponseWriter) {
		served.Add(1)
		writeText(a, fmt.Sprint(len(req.Body())))
	}}
	r := metrics.NewRegistry()
	s, address := listen(t, h, WithMinRate(MinRate{Rate: 5 << 10, Window: time.Second}), WithRegistry(r))
	s.SetLimits(shortLimits)
	slow := dial(t, address)
	_, _ = io.WriteString(slow, post("a", 100_000))
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
				_, _ = slow.Write([]byte("x"))
			}
		}
	}()
	if status, _ := read(t, bufio.NewReader(slow)); status != fasthttp.StatusRequestTimeout || served.Load() != 0 {
		t.Errorf("a slow sender got status %d, %d requests were served", status, served.Load())
	}
	if n := metrics.GetOrRegisterCounter(`callers.slow{side="sends"}`, r).Count(); n != 1 {
		t.Errorf("%d callers were counted as too slow, want 1", n)
	}
	steady := dial(t, address)
	_, _ = io.WriteString(steady, post("a", 60_000))
	go func() {
		for range 30 { // Over more than one window, 2 KB at a time.
			time.Sleep(50 * time.Millisecond)
			_, _ = io.WriteString(steady, strings.Repeat("x", 2000))
		}
	}()
	if status, _ := read(t, bufio.NewReader(steady)); status != 200 {
		t.Errorf("a caller that keeps the minimum rate got status %d", status)
	}
}

// TestContinueIsWrittenBeforeRequest checks that a requested "100 Continue" is written completely
// before the handler runs. Otherwise bytes of it that are still buffered would be subject to the
// settings of the response.
func TestContinueIsWrittenBeforeRequest(t *testing.T) {
	started := make(chan struct{})
	s := NewServer(handlerFunc(func(_ context.Context, _ *fasthttp.Request, a *ResponseWriter) {
		close(started)
		writeText(a, "done")
	}))
	serverConn, clientConn := net.Pipe() // A pipe has no buffer.
	defer clientConn.Close()
	c := s.newConn(serverConn)
	s.track(c, true)
	go s.serveConn(c)
	_, _ = io.WriteString(clientConn, "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nx")
	select {
	case <-started:
		t.Error("the handler ran before the interim response was read")
	case <-time.After(50 * time.Millisecond): // A longer wait would not detect more.
	}
	br := bufio.NewReader(clientConn)
	if line, err := br.ReadString('\n'); err != nil || !strings.Contains(line, "100") {
		t.Errorf("got %q, %v", line, err)
	}
	_, _ = br.ReadString('\n')
	if status, _ := read(t, br); status != 200 {
		t.Errorf("got %d", status)
	}
}

// streamOf responds with chunks and reports when the handler is done.
func streamOf(pieces, size int, done chan<- error) handlerFunc {
	return func(_ context.Context, _ *fasthttp.Request, a *ResponseWriter) {
		err := a.WriteHeader(&fasthttp.Response{})
		for i := 0; i < pieces && err == nil; i++ {
			err = a.WriteChunk([]byte(strings.Repeat(string(rune('a'+i%26)), size)))
		}
		if err == nil {
			err = a.Finish()
		}
		done <- err
	}
}

// dialSmallWindow connects with a small receive buffer, so that the kernel buffers little.
func dialSmallWindow(t *testing.T, address string) net.Conn {
	t.Helper()
	conn := dial(t, address)
	if err := conn.(*net.TCPConn).SetReadBuffer(32 << 10); err != nil {
		t.Fatal(err)
	}
	return conn
}

// TestSlowReaderDoesNotBlockHandler checks that a response is accepted from the handler while the
// caller reads nothing, that the caller gets all of it when it reads, and that the next request
// on the connection is served.
func TestSlowReaderDoesNotBlockHandler(t *testing.T) {
	done := make(chan error, 2)
	m := NewMemory(4<<20, metrics.NewRegistry())
	s, address := listen(t, streamOf(300, 700, done), WithMemory(m), WithSocketBuffer(8<<10))
	conn := dialSmallWindow(t, address)
	br := bufio.NewReader(conn)
	for range 2 {
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		select {
		case err := <-done:
			if err != nil {
				t.Fatal(err)
			}
		case <-time.After(testTimeout):
			t.Fatal("the handler is blocked by its caller")
		}
		if m.Status().Causes["lag"] == 0 {
			t.Error("no memory is reserved for a caller that has read nothing")
		}
		status, body := read(t, br)
		if status != 200 || len(body) != 300*700 || body[700*27] != 'b' || strings.Count(body, "z") != 11*700 {
			t.Errorf("the caller got status %d and %d bytes", status, len(body))
		}
	}
	_ = conn.Close()
	await(t, "no connection is left", func() bool { return s.Conns() == 0 })
	if row := m.Status(); row.Held != 0 {
		t.Errorf("after all connections closed: %+v", row)
	}
}

// TestReaderBelowMinRateIsCut checks that a caller that reads single bytes of a long response is
// disconnected, so that the handler ends, and that its memory is released.
func TestReaderBelowMinRateIsCut(t *testing.T) {
	done := make(chan error, 1)
	r := metrics.NewRegistry()
	m := NewMemory(8<<20, r)
	s, address := listen(t, streamOf(20_000, 700, done), WithMemory(m), WithSocketBuffer(8<<10), WithMinRate(shortWindowRate), WithRegistry(r))
	conn := dialSmallWindow(t, address)
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	ended := make(chan error, 1)
	go func() {
		var b [1]byte
		for {
			if _, err := conn.Read(b[:]); err != nil {
				ended <- err
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
	}()
	select {
	case err := <-done:
		if !errors.Is(err, errTooSlow) {
			t.Errorf("the handler ended with %v", err)
		}
	case <-time.After(testTimeout):
		t.Fatal("the handler is blocked by its caller")
	}
	await(t, "the connection is closed", func() bool { return s.Conns() == 0 })
	if n := metrics.GetOrRegisterCounter(`callers.slow{side="reads"}`, r).Count(); n != 1 || m.Status().Held != 0 {
		t.Errorf("%d callers were counted as too slow, memory afterwards: %+v", n, m.Status())
	}
}

// TestSendBufferWithoutMemory checks that a response arrives complete if no memory can be reserved
// for the send buffer.
func TestSendBufferWithoutMemory(t *testing.T) {
	done := make(chan error, 1)
	m := NewMemory(64<<10, metrics.NewRegistry())
	_, address := listen(t, streamOf(300, 700, done), WithMemory(m), WithSocketBuffer(8<<10))
	conn := dialSmallWindow(t, address)
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	if status, body := read(t, bufio.NewReader(conn)); status != 200 || len(body) != 300*700 {
		t.Errorf("the caller got status %d and %d bytes", status, len(body))
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// TestFloodDoesNotBlockCallers checks that idle connections, and ones that sent half of their
// headers, are evicted for a caller that sends a request, the longest idle first, and that a
// connection with a request in progress is kept.
func TestFloodDoesNotBlockCallers(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	s, address := listen(t, handlerFunc(func(_ context.Context, req *fasthttp.Request, a *ResponseWriter) {
		if string(req.Header.RequestURI()) == "/wait" {
			close(begun)
			<-release
		}
		writeText(a, "done")
	}), WithMaxConnections(100))
	busy := dial(t, address)
	_, _ = io.WriteString(busy, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	<-begun
	for i := range 400 {
		flood := dial(t, address)
		if i%2 == 0 {
			_, _ = io.WriteString(flood, "GET / HTTP/1.1\r\nHos")
		}
		if i%40 != 0 {
			continue
		}
		good := dial(t, address)
		_, _ = io.WriteString(good, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		if status, _ := read(t, bufio.NewReader(good)); status != 200 {
			t.Fatalf("a caller among %d others got status %d", i, status)
		}
	}
	if n := s.Conns(); n > 100 {
		t.Errorf("%d connections are open, want at most 100", n)
	}
	close(release)
	if status, _ := read(t, bufio.NewReader(busy)); status != 200 {
		t.Errorf("the request in progress got status %d", status)
	}
}

// TestNewConnectionIsEvictedLast checks that a connection that was just accepted, and whose
// goroutine has not run yet, is not evicted before those that have been idle for longer.
func TestNewConnectionIsEvictedLast(t *testing.T) {
	s := NewServer(echo, WithMaxConnections(evictBatch+1))
	pipe := func() *Conn {
		serverConn, clientConn := net.Pipe()
		t.Cleanup(func() { _, _ = serverConn.Close(), clientConn.Close() })
		c := s.newConn(serverConn)
		s.track(c, true)
		return c
	}
	for range evictBatch {
		pipe().enter(connIdle)
	}
	fresh := pipe()
	s.evict()
	if state, _ := fresh.waitState(); state != connIdle || s.Conns() != 1 {
		t.Errorf("the new connection is in state %d, and %d connections are left", state, s.Conns())
	}
}

// TestManySlowCallers runs 500 callers that do not read their long responses next to 50 normal
// ones. It checks that memory use stays bounded and that all normal callers get their responses.
func TestManySlowCallers(t *testing.T) {
	const slow, good, bound = 500, 50, 32 << 20
	piece := []byte(strings.Repeat("p", 1000))
	m := NewMemory(bound, metrics.NewRegistry())
	_, address := listen(t, &admittingHandler{handlerFunc: func(_ context.Context, req *fasthttp.Request, a *ResponseWriter) {
		a.SetOwner("", string(req.Header.Peek("W")))
		pieces := 100
		if string(req.Header.Peek("W")) == "slow" {
			pieces = 100_000
		}
		err := a.WriteHeader(&fasthttp.Response{})
		for i := 0; i < pieces && err == nil; i++ {
			err = a.WriteChunk(piece)
		}
		if err == nil {
			_ = a.Finish()
		}
	}}, WithMemory(m), WithSocketBuffer(8<<10))
	inUse := func() int64 {
		var s runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&s)
		return int64(s.HeapInuse + s.StackInuse)
	}
	before := inUse()
	for range slow {
		conn := dialSmallWindow(t, address)
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nW: slow\r\n\r\n")
	}
	await(t, "the slow workspace reserves its share", func() bool {
		row := m.Status()
		return row.Workspaces["slow"] >= (row.Bound-row.Causes["connection"])/2-2*blockBytes
	})
	var callers sync.WaitGroup
	for range good {
		callers.Go(func() {
			conn := dial(t, address)
			_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nW: good\r\n\r\n")
			var resp fasthttp.Response
			if err := resp.Read(bufio.NewReader(conn)); err != nil || len(resp.Body()) != 100*len(piece) {
				t.Errorf("a normal caller got %d bytes, error %v", len(resp.Body()), err)
			}
		})
	}
	callers.Wait()
	// The callers' ends of the connections are in this process too: a few KB each.
	if used := inUse() - before; used > 2*bound {
		t.Errorf("%d bytes are in use with a bound of %d", used, bound)
	}
	if held := m.Status().Held; held > bound {
		t.Errorf("%d bytes are reserved with a bound of %d", held, bound)
	}
}

// TestResponseIsCutAtDeadline checks that data that a caller has not read at its deadline is
// dropped, even if the minimum rate would allow more time.
func TestResponseIsCutAtDeadline(t *testing.T) {
	m := NewMemory(8<<20, metrics.NewRegistry())
	r := metrics.NewRegistry()
	s, address := listen(t, handlerFunc(func(_ context.Context, _ *fasthttp.Request, a *ResponseWriter) {
		a.SetDeadline(time.Now().Add(time.Second))
		writeText(a, strings.Repeat("x", 200_000))
	}), WithMemory(m), WithSocketBuffer(8<<10), WithMinRate(MinRate{Rate: 1, Window: 100 * testTimeout}), WithRegistry(r))
	conn := dialSmallWindow(t, address)
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	await(t, "the response is buffered", func() bool { return m.Status().Causes["lag"] > 0 })
	await(t, "the connection ends", func() bool { return s.Conns() == 0 })
	if n := metrics.GetOrRegisterCounter(`callers.slow{side="reads"}`, r).Count(); n != 0 || m.Status().Held != 0 {
		t.Errorf("%d callers were counted as too slow, memory afterwards: %+v", n, m.Status())
	}
	var resp fasthttp.Response
	if err := resp.Read(bufio.NewReader(conn)); err == nil || isTimeout(err) {
		t.Errorf("the cut response looks complete: %v", err)
	}
}

// TestSlowReaderWithoutMemoryIsCutSooner checks that a caller that reads nothing is disconnected
// long before its window ends if no memory can be reserved for its send buffer, so that its
// backend server is not blocked, and that a caller that reads is not disconnected.
func TestSlowReaderWithoutMemoryIsCutSooner(t *testing.T) {
	done := make(chan error, 1)
	m := NewMemory(512<<10, metrics.NewRegistry())
	s, address := listen(t, streamOf(2000, 700, done), WithMemory(m), WithSocketBuffer(8<<10), WithMinRate(MinRate{Rate: 4 << 10, Window: 100 * testTimeout}))
	for _, reads := range []bool{false, true} {
		conn := dialSmallWindow(t, address)
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		if reads {
			if status, body := read(t, bufio.NewReader(conn)); status != 200 || len(body) != 2000*700 {
				t.Errorf("a caller that reads got status %d and %d bytes", status, len(body))
			}
		}
		select {
		case err := <-done:
			if errors.Is(err, errTooSlow) == reads {
				t.Errorf("the caller reads: %v, its handler ended with %v", reads, err)
			}
		case <-time.After(testTimeout):
			t.Fatal("the handler is blocked by its caller")
		}
		_ = conn.Close()
		await(t, "the connection ends", func() bool { return s.Conns() == 0 })
		if held := m.Status().Held; held != 0 {
			t.Errorf("%d bytes are reserved after the connection ended", held)
		}
	}
}

// TestConnectionsBeyondLimitAreRefused checks that a connection beyond the limit is closed unread if
// all others have requests in progress, and that these are still served, with a limit on
// connections and with one on memory.
func TestConnectionsBeyondLimitAreRefused(t *testing.T) {
	for name, option := range map[string]Option{
		"descriptors": WithMaxConnections(2),
		"memory":      WithMemory(NewMemory(4*connectionBytes, metrics.NewRegistry())),
	} {
		begun, release := make(chan struct{}), make(chan struct{})
		r := metrics.NewRegistry()
		_, address := listen(t, handlerFunc(func(_ context.Context, _ *fasthttp.Request, a *ResponseWriter) {
			begun <- struct{}{}
			<-release
			a.CloseConnection()
			writeText(a, "done")
		}), option, WithRegistry(r))
		var conns []net.Conn
		for range 2 {
			conn := dial(t, address)
			_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			<-begun
			conns = append(conns, conn)
		}
		if _, err := dial(t, address).Read(make([]byte, 1)); err == nil || isTimeout(err) {
			t.Errorf("%s: read from a third connection: %v", name, err)
		}
		if n := metrics.GetOrRegisterCounter("connections.refused", r).Count(); n != 1 {
			t.Errorf("%s: %d connections were counted as refused, want 1", name, n)
		}
		close(release)
		for _, conn := range conns {
			if status, _ := read(t, bufio.NewReader(conn)); status != 200 {
				t.Errorf("%s: a request in progress got status %d", name, status)
			}
		}
	}
}
