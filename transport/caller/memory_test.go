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

// keyed is a handler that knows a request's workspace by its header "W".
type keyed struct {
	handlerFunc
	refused atomic.Int64
}

func (k *keyed) Owner(req *fasthttp.Request) (request, workspace string) {
	return "", string(req.Header.Peek("W"))
}

func (k *keyed) OutOfMemoryResponse(_ *fasthttp.Request, v memory.Decision) *fasthttp.Response {
	k.refused.Add(1)
	resp := &fasthttp.Response{}
	resp.SetStatusCode(fasthttp.StatusServiceUnavailable)
	resp.Header.Set("Retry-After", fmt.Sprint(v.RetryAfter.Seconds()))
	return resp
}

// quick is a pace whose windows end soon.
var quick = MinRate{Rate: 1 << 20, Window: 200 * time.Millisecond}

// impatient limits leave the window as it is.
var impatient = Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTime: 100 * time.Millisecond, BodyTime: 2 * patience, IdleTime: patience}

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
	for end := time.Now().Add(patience); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not in %v: %s", patience, what)
		}
	}
}

func post(workspace string, length int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nW: %s\r\nContent-Length: %d\r\n\r\n", workspace, length)
}

// TestBodyIsRefusedBeforeItIsRead checks that a body for which there is no memory is
// refused by its announced length, with a time to come back; that another workspace's is
// taken meanwhile; and that nothing is held at rest.
func TestBodyIsRefusedBeforeItIsRead(t *testing.T) {
	release := make(chan struct{})
	h := &keyed{handlerFunc: func(_ context.Context, req *fasthttp.Request, a *ResponseWriter) {
		if len(req.Header.Peek("Wait")) > 0 {
			<-release
		}
		whole(a, fmt.Sprint(len(req.Body())))
	}}
	m := NewMemory(4<<20, metrics.NewRegistry())
	s, address := listen(t, h, WithMemory(m))
	const size = 1 << 20
	first := dial(t, address)
	go func() {
		_, _ = io.WriteString(first, strings.Replace(post("a", size), "\r\n\r\n", "\r\nWait: 1\r\n\r\n", 1)+strings.Repeat("x", size))
	}()
	await(t, "the first body is held", func() bool { return m.Status().Workspaces["a"] >= size })
	second := dial(t, address)
	_, _ = io.WriteString(second, post("a", 3*size/2)) // No byte of the body follows.
	var resp fasthttp.Response
	if err := resp.Read(bufio.NewReader(second)); err != nil || resp.StatusCode() != 503 || len(resp.Header.Peek("Retry-After")) == 0 {
		t.Errorf("a body beyond the share got %d, %q, %v", resp.StatusCode(), resp.Header.Peek("Retry-After"), err)
	}
	other := dial(t, address)
	go func() { _, _ = io.WriteString(other, post("b", size)+strings.Repeat("x", size)) }()
	if status, body := read(t, bufio.NewReader(other)); status != 200 || body != fmt.Sprint(size) {
		t.Errorf("another workspace's body got %d %q", status, body)
	}
	close(release)
	if status, _ := read(t, bufio.NewReader(first)); status != 200 {
		t.Errorf("the first got %d", status)
	}
	for _, c := range []net.Conn{first, second, other} {
		_ = c.Close()
	}
	await(t, "no connection is left", func() bool { return s.Conns() == 0 })
	if row := m.Status(); row.Held != 0 || len(row.Workspaces) != 0 {
		t.Errorf("at rest: %+v", row)
	}
}

// TestRefusalReachesOneWhoSends checks that a caller who sends all of its body before it
// reads gets the refusal, and not a reset.
func TestRefusalReachesOneWhoSends(t *testing.T) {
	h := &keyed{handlerFunc: echo}
	m := NewMemory(1<<20, metrics.NewRegistry())
	_, address := listen(t, h, WithMemory(m))
	var hold memory.Hold
	if !m.Reserve(&hold, memory.Body, 1<<19).Granted {
		t.Fatal("half of the bound was not taken")
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

// TestBodyBesideItsOwnConnection checks that a body which fits into an empty account but
// not beside its own connection is too large, and not one to come back with; and that one
// without a length is taken where it fits, though its buffer doubles.
func TestBodyBesideItsOwnConnection(t *testing.T) {
	h := &keyed{handlerFunc: echo}
	_, address := listen(t, h, WithMemory(NewMemory(1<<20, metrics.NewRegistry())))
	conn := dial(t, address)
	_, _ = io.WriteString(conn, post("a", 1<<19))
	if status, _ := read(t, bufio.NewReader(conn)); status != 413 {
		t.Errorf("half of the bound got %d", status)
	}
	_, address = listen(t, h, WithMemory(NewMemory(1<<20, metrics.NewRegistry())))
	conn = dial(t, address)
	const size = 300 << 10
	_, _ = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, strings.Repeat("x", size))
	if status, _ := read(t, bufio.NewReader(conn)); status != 200 {
		t.Errorf("a body of %d bytes without a length got %d", size, status)
	}
}

// TestBodyOfNoLength checks that a body that tells no length is taken as it grows: what
// fits arrives unchanged with the request behind it, and what does not is refused.
func TestBodyOfNoLength(t *testing.T) {
	h := &keyed{handlerFunc: echo}
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
	for _, size := range []int{0, 1, firstBuffer - 1, firstBuffer, firstBuffer + 1, 300_000} {
		conn := dial(t, address)
		go func() { _, _ = io.WriteString(conn, chunked(size)+"GET /next HTTP/1.1\r\nHost: h\r\n\r\n") }()
		br := bufio.NewReader(conn)
		if status, got := read(t, br); status != 200 || got != "POST /x "+strings.Repeat("y", size) {
			t.Errorf("%d bytes in chunks: %d, %d bytes", size, status, len(got))
		}
		if status, got := read(t, br); status != 200 || got != "GET /next " {
			t.Errorf("behind %d bytes in chunks: %d %q", size, status, got)
		}
	}
	var hold memory.Hold
	hold.Workspace = "a"
	if !m.Reserve(&hold, memory.Lag, 3<<19).Granted {
		t.Fatal("nothing was taken")
	}
	conn := dial(t, address)
	go func() { _, _ = io.WriteString(conn, chunked(2<<20)) }()
	if status, _ := read(t, bufio.NewReader(conn)); status != 503 || h.refused.Load() != 1 {
		t.Errorf("beyond the share: %d, %d refusals", status, h.refused.Load())
	}
}

// TestSlowBodyEnds checks that a caller who sends a byte now and then gets 408 before the
// time for bodies is over, that no handler saw its request, and that one who pauses but
// keeps the pace is served.
func TestSlowBodyEnds(t *testing.T) {
	var served atomic.Int64
	h := &keyed{handlerFunc: func(_ context.Context, req *fasthttp.Request, a *ResponseWriter) {
		served.Add(1)
		whole(a, fmt.Sprint(len(req.Body())))
	}}
	r := metrics.NewRegistry()
	s, address := listen(t, h, WithMinRate(MinRate{Rate: 5 << 10, Window: time.Second}), WithRegistry(r))
	s.SetLimits(impatient)
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
		t.Errorf("a byte now and then got %d, %d served", status, served.Load())
	}
	if n := metrics.GetOrRegisterCounter(`callers.slow{side="sends"}`, r).Count(); n != 1 {
		t.Errorf("%d callers were counted as too slow", n)
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
		t.Errorf("a caller who keeps the pace got %d", status)
	}
}

// TestContinueIsTakenBeforeTheBody checks that a caller has taken the interim answer that
// it asked for before its request goes on: what is still written for it would meet what
// the request sets.
func TestContinueIsTakenBeforeTheBody(t *testing.T) {
	started := make(chan struct{})
	s := NewServer(handlerFunc(func(_ context.Context, _ *fasthttp.Request, a *ResponseWriter) {
		close(started)
		whole(a, "done")
	}))
	ours, theirs := net.Pipe() // It takes nothing by itself.
	defer theirs.Close()
	c := s.newConn(ours)
	s.track(c, true)
	go s.run(c)
	_, _ = io.WriteString(theirs, "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nx")
	select {
	case <-started:
		t.Error("the request went on")
	case <-time.After(50 * time.Millisecond): // A longer time finds no more.
	}
	br := bufio.NewReader(theirs)
	if line, err := br.ReadString('\n'); err != nil || !strings.Contains(line, "100") {
		t.Errorf("got %q, %v", line, err)
	}
	_, _ = br.ReadString('\n')
	if status, _ := read(t, br); status != 200 {
		t.Errorf("got %d", status)
	}
}

// streamOf answers with pieces and tells when the handler is done.
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

// lazy connects with a small window, so that the kernels keep little.
func lazy(t *testing.T, address string) net.Conn {
	t.Helper()
	conn := dial(t, address)
	if err := conn.(*net.TCPConn).SetReadBuffer(32 << 10); err != nil {
		t.Fatal(err)
	}
	return conn
}

// TestSlowReaderHoldsNobodyUp checks that an answer is taken from the handler while its
// caller reads nothing, that the caller gets it whole when it reads, and that the next
// request on the connection is served.
func TestSlowReaderHoldsNobodyUp(t *testing.T) {
	done := make(chan error, 2)
	m := NewMemory(4<<20, metrics.NewRegistry())
	s, address := listen(t, streamOf(300, 700, done), WithMemory(m), WithSocketBuffer(8<<10))
	conn := lazy(t, address)
	br := bufio.NewReader(conn)
	for range 2 {
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		select {
		case err := <-done:
			if err != nil {
				t.Fatal(err)
			}
		case <-time.After(patience):
			t.Fatal("the handler waits for its caller")
		}
		if m.Status().Causes["lag"] == 0 {
			t.Error("nothing is held for a caller who has read nothing")
		}
		status, body := read(t, br)
		if status != 200 || len(body) != 300*700 || body[700*27] != 'b' || strings.Count(body, "z") != 11*700 {
			t.Errorf("the caller got %d and %d bytes", status, len(body))
		}
	}
	_ = conn.Close()
	await(t, "no connection is left", func() bool { return s.Conns() == 0 })
	if row := m.Status(); row.Held != 0 {
		t.Errorf("at rest: %+v", row)
	}
}

// TestReaderBelowThePaceIsCut checks that a caller who takes a byte now and then of a
// long answer is cut, so that the handler ends, and that nothing is held for it then.
func TestReaderBelowThePaceIsCut(t *testing.T) {
	done := make(chan error, 1)
	r := metrics.NewRegistry()
	m := NewMemory(8<<20, r)
	s, address := listen(t, streamOf(20_000, 700, done), WithMemory(m), WithSocketBuffer(8<<10), WithMinRate(quick), WithRegistry(r))
	conn := lazy(t, address)
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
		if !errors.Is(err, errSlow) {
			t.Errorf("the handler ended with %v", err)
		}
	case <-time.After(patience):
		t.Fatal("the handler waits for its caller")
	}
	await(t, "the connection is closed", func() bool { return s.Conns() == 0 })
	if n := metrics.GetOrRegisterCounter(`callers.slow{side="reads"}`, r).Count(); n != 1 || m.Status().Held != 0 {
		t.Errorf("%d callers were counted as too slow, at rest: %+v", n, m.Status())
	}
}

// TestStoreWithoutRoom checks that an answer arrives whole where the account gives the
// store nothing.
func TestStoreWithoutRoom(t *testing.T) {
	done := make(chan error, 1)
	m := NewMemory(64<<10, metrics.NewRegistry())
	_, address := listen(t, streamOf(300, 700, done), WithMemory(m), WithSocketBuffer(8<<10))
	conn := lazy(t, address)
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	if status, body := read(t, bufio.NewReader(conn)); status != 200 || len(body) != 300*700 {
		t.Errorf("the caller got %d and %d bytes", status, len(body))
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// TestFloodLeavesRoom checks that connections which rest, and ones that sent half of
// their headers, make room for a caller who asks, the oldest of those that rest first;
// and that one whose request is under way stays.
func TestFloodLeavesRoom(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	s, address := listen(t, handlerFunc(func(_ context.Context, req *fasthttp.Request, a *ResponseWriter) {
		if string(req.Header.RequestURI()) == "/wait" {
			close(begun)
			<-release
		}
		whole(a, "done")
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
			t.Fatalf("a caller beside %d others got %d", i, status)
		}
	}
	if n := s.Conns(); n > 100 {
		t.Errorf("%d connections are open", n)
	}
	close(release)
	if status, _ := read(t, bufio.NewReader(busy)); status != 200 {
		t.Errorf("the request under way got %d", status)
	}
}

// TestNewConnectionIsNotTakenForOneThatRests checks that a connection which was just
// accepted, and whose goroutine has not run yet, makes no room for others before those
// that have rested for longer.
func TestNewConnectionIsNotTakenForOneThatRests(t *testing.T) {
	s := NewServer(echo, WithMaxConnections(evictBatch+1))
	pipe := func() *Conn {
		ours, theirs := net.Pipe()
		t.Cleanup(func() { _, _ = ours.Close(), theirs.Close() })
		c := s.newConn(ours)
		s.track(c, true)
		return c
	}
	for range evictBatch {
		pipe().enter(connIdle)
	}
	fresh := pipe()
	s.evict()
	if state, _ := fresh.waits(); state != connIdle || s.Conns() != 1 {
		t.Errorf("the new connection is in state %d, and %d are left", state, s.Conns())
	}
}

// TestManySlowCallers has 500 callers take a long answer a byte at a time, and 50 good
// ones beside them. The memory in use stays bounded, and the good ones all get theirs.
func TestManySlowCallers(t *testing.T) {
	const slow, good, bound = 500, 50, 32 << 20
	piece := []byte(strings.Repeat("p", 1000))
	m := NewMemory(bound, metrics.NewRegistry())
	_, address := listen(t, &keyed{handlerFunc: func(_ context.Context, req *fasthttp.Request, a *ResponseWriter) {
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
		conn := lazy(t, address)
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nW: slow\r\n\r\n")
	}
	await(t, "the slow workspace holds its share", func() bool {
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
				t.Errorf("a good caller got %d bytes, %v", len(resp.Body()), err)
			}
		})
	}
	callers.Wait()
	// The callers' own ends are in this process too: a few KB each.
	if used := inUse() - before; used > 2*bound {
		t.Errorf("%d bytes are in use, of a bound of %d", used, bound)
	}
	if held := m.Status().Held; held > bound {
		t.Errorf("%d bytes are held, of a bound of %d", held, bound)
	}
}

// TestAnswerEndsWithItsCallersTime checks that what a caller has not taken when its time
// is over is not kept for it, however long the pace would allow.
func TestAnswerEndsWithItsCallersTime(t *testing.T) {
	m := NewMemory(8<<20, metrics.NewRegistry())
	r := metrics.NewRegistry()
	s, address := listen(t, handlerFunc(func(_ context.Context, _ *fasthttp.Request, a *ResponseWriter) {
		a.SetDeadline(time.Now().Add(time.Second))
		whole(a, strings.Repeat("x", 200_000))
	}), WithMemory(m), WithSocketBuffer(8<<10), WithMinRate(MinRate{Rate: 1, Window: 100 * patience}), WithRegistry(r))
	conn := lazy(t, address)
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	await(t, "the answer is held", func() bool { return m.Status().Causes["lag"] > 0 })
	await(t, "the connection ends", func() bool { return s.Conns() == 0 })
	if n := metrics.GetOrRegisterCounter(`callers.slow{side="reads"}`, r).Count(); n != 0 || m.Status().Held != 0 {
		t.Errorf("%d callers were counted as too slow, at rest: %+v", n, m.Status())
	}
	var resp fasthttp.Response
	if err := resp.Read(bufio.NewReader(conn)); err == nil || isTimeout(err) {
		t.Errorf("the cut answer looks whole: %v", err)
	}
}

// TestPressedReaderIsCutSooner checks that a caller who reads nothing is cut long before
// its window ends where the account gives its send buffer no more, so that its server need not
// wait; and that one who reads is not.
func TestPressedReaderIsCutSooner(t *testing.T) {
	done := make(chan error, 1)
	m := NewMemory(512<<10, metrics.NewRegistry())
	s, address := listen(t, streamOf(2000, 700, done), WithMemory(m), WithSocketBuffer(8<<10), WithMinRate(MinRate{Rate: 4 << 10, Window: 100 * patience}))
	for _, reads := range []bool{false, true} {
		conn := lazy(t, address)
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		if reads {
			if status, body := read(t, bufio.NewReader(conn)); status != 200 || len(body) != 2000*700 {
				t.Errorf("one who reads got %d and %d bytes", status, len(body))
			}
		}
		select {
		case err := <-done:
			if errors.Is(err, errSlow) == reads {
				t.Errorf("the caller reads: %v, its handler ended with %v", reads, err)
			}
		case <-time.After(patience):
			t.Fatal("the handler waits for its caller")
		}
		_ = conn.Close()
		await(t, "the connection ends", func() bool { return s.Conns() == 0 })
		if held := m.Status().Held; held != 0 {
			t.Errorf("at rest %d bytes are held", held)
		}
	}
}

// TestCrowdIsRefused checks that a connection beyond the bound is closed unread where all
// others have requests under way, and that there is room again behind them; and the same
// by memory.
func TestCrowdIsRefused(t *testing.T) {
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
			whole(a, "done")
		}), option, WithRegistry(r))
		var conns []net.Conn
		for range 2 {
			conn := dial(t, address)
			_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			<-begun
			conns = append(conns, conn)
		}
		if _, err := dial(t, address).Read(make([]byte, 1)); err == nil || isTimeout(err) {
			t.Errorf("%s: a third connection got %v", name, err)
		}
		if n := metrics.GetOrRegisterCounter("connections.refused", r).Count(); n != 1 {
			t.Errorf("%s: %d connections were counted as refused", name, n)
		}
		close(release)
		for _, conn := range conns {
			if status, _ := read(t, bufio.NewReader(conn)); status != 200 {
				t.Errorf("%s: one under way got %d", name, status)
			}
		}
	}
}
