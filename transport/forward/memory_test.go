package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/coordination/memory"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/transport/backend"
	"github.com/weldstream/weldstream/transport/caller"
)

// TestAnswerExceedsMemory checks how complete answers that exceed the memory account end: the
// request may have run, its server is not suspected, and all memory is returned. Answers that
// fit arrive, with and without a known length.
func TestAnswerExceedsMemory(t *testing.T) {
	m := caller.NewMemory(4<<20, metrics.NewRegistry())
	w := newTestGateway(t, caller.WithMemory(m))
	w.install(protocol.PathRoute{Kind: protocol.RouteRepeatable, Attempts: 3})
	var size int
	var chunked bool
	b := w.backend("a", func(c net.Conn, _ *fasthttp.Request) {
		text := strings.Repeat("x", size)
		if chunked {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: 7\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, text)
			return
		}
		writeAnswer(c, 200, "", text)
	})
	for _, chunked = range []bool{false, true} {
		for _, size = range []int{1, answerBufferBytes - 1, answerBufferBytes, answerBufferBytes + 1, 1 << 20} {
			if got := w.ask(); got.status != 200 || len(got.body) != size {
				t.Errorf("%d bytes, chunked %v: %d, %d bytes", size, chunked, got.status, len(got.body))
			}
		}
		b.runs.Store(0)
		size = 3 << 20
		if got := w.ask(); got.status != 502 || got.verdict != "may-have-run" || b.runs.Load() != 1 {
			t.Errorf("chunked %v: above the share: %+v after %d runs", chunked, got, b.runs.Load())
		}
		if s := w.g.view.Load().Find("a"); s.Stats.Suspect(clock.Now()) || s.Stats.Outstanding() != 0 {
			t.Errorf("the server is suspected (%v), or has %d requests", s.Stats.Suspect(clock.Now()), s.Stats.Outstanding())
		}
	}
	// Memory is returned when the connection ends, which the caller may see earlier.
	for end := time.Now().Add(testTimeout); m.Status().Held != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("memory is still held: %+v", m.Status())
		}
	}
}

// TestAnswerWithoutLengthFits checks that an answer of unknown length that fits does not fail
// because a buffer of twice its size would not: the request has already run.
func TestAnswerWithoutLengthFits(t *testing.T) {
	const bound, size = 24 << 20, 9 << 20
	w := newTestGateway(t, caller.WithMemory(caller.NewMemory(bound, metrics.NewRegistry())))
	w.install(protocol.PathRoute{Attempts: 1})
	w.backend("a", func(c net.Conn, _ *fasthttp.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: 7\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, strings.Repeat("x", size))
	})
	if got := w.ask(); got.status != 200 || len(got.body) != size {
		t.Errorf("status %d, %d bytes", got.status, len(got.body))
	}
}

// TestBodyExceedsMemory checks that a body that exceeds its workspace's memory is refused as
// not run before any server sees it, and that another workspace is served.
func TestBodyExceedsMemory(t *testing.T) {
	m := caller.NewMemory(4<<20, metrics.NewRegistry())
	w := newTestGateway(t, caller.WithMemory(m))
	w.install(protocol.PathRoute{Attempts: 1}, protocol.WorkspaceSpec{Name: "one", Keys: []string{"1"}}, protocol.WorkspaceSpec{Name: "two", Keys: []string{"2"}})
	b := w.backend("a", answerOK)
	hold := memory.Hold{Workspace: "one"}
	if !m.Reserve(&hold, memory.Lag, 3<<19).Granted {
		t.Fatal("the memory was not granted")
	}
	body := strings.Repeat("x", 1<<20)
	if got := w.send(body, "Key: 1"); got.status != 503 || got.verdict != "not-run" || got.retry == "" || b.runs.Load() != 0 {
		t.Errorf("got %+v after %d runs", got, b.runs.Load())
	}
	if got := w.send(body, "Key: 2"); got.status != 200 {
		t.Errorf("another workspace got %+v", got)
	}
	m.ReleaseAll(&hold)
	if got := w.send(body, "Key: 1"); got.status != 200 {
		t.Errorf("with memory available again: %+v", got)
	}
}

// TestSlowCallerReleasesServer checks that a server's answer is read to the end although the
// caller reads nothing, whether it is relayed whole or as a stream: the server's slot and
// connection then serve the next request.
func TestSlowCallerReleasesServer(t *testing.T) {
	// A stream fits into the caller's buffer; a whole answer does not have to.
	for kind, size := range map[protocol.RouteKind]int{protocol.RouteStream: 200_000, protocol.RouteRepeatable: 600_000} {
		w := newTestGateway(t, caller.WithSocketBuffer(8<<10))
		w.install(protocol.PathRoute{Kind: kind, Attempts: 1})
		w.backend("a", func(c net.Conn, _ *fasthttp.Request) {
			writeAnswer(c, 200, "", strings.Repeat("data: xy\n\n", size/10))
		})
		slow, err := net.Dial("tcp", w.address)
		if err != nil {
			t.Fatal(err)
		}
		defer slow.Close()
		_ = slow.(*net.TCPConn).SetReadBuffer(32 << 10)
		_, _ = io.WriteString(slow, "POST /r/x HTTP/1.1\r\nHost: h\r\nId: 7\r\nContent-Length: 0\r\n\r\n")
		stats := w.g.view.Load().Find("a").Stats
		for end := time.Now().Add(testTimeout); w.g.meters.answered.Count() == 0 || stats.Outstanding() > 0; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("route kind %v: the server has %d requests", kind, stats.Outstanding())
			}
		}
		if got := w.ask(); got.status != 200 || w.g.pool.Opened() != 1 {
			t.Errorf("route kind %v: the next request got %d over %d connections", kind, got.status, w.g.pool.Opened())
		}
		_ = slow.SetReadDeadline(time.Now().Add(testTimeout))
		var resp fasthttp.Response
		if err := resp.Read(bufio.NewReader(slow)); err != nil || len(resp.Body()) != size {
			t.Errorf("route kind %v: the slow caller got %d bytes, %v", kind, len(resp.Body()), err)
		}
	}
}

// TestBodyLimitAfterCrash crashes a server that has large bodies in flight. From then on, the
// servers of its service must get at most half as many bytes at once, requests that do not
// fit must be refused as not run, and small requests must be served.
func TestBodyLimitAfterCrash(t *testing.T) {
	const size = 2 << 20
	w := newTestGateway(t)
	w.install(protocol.PathRoute{Attempts: 1})
	var large atomic.Int64
	arrived, crash, release := make(chan struct{}, 8), make(chan struct{}), make(chan struct{})
	serve := func(c net.Conn, req *fasthttp.Request) {
		if len(req.Body()) < size {
			answerOK(c, req)
			return
		}
		first := large.Add(1) <= 2
		arrived <- struct{}{}
		if first {
			<-crash
			_ = c.Close()
			return
		}
		<-release
		answerOK(c, req)
	}
	w.backend("a", serve)
	replies := make(chan reply, 8)
	send := func() { replies <- w.send(strings.Repeat("x", size)) }
	for range 2 {
		go send()
	}
	for range 2 {
		<-arrived
	}
	if got := w.g.InFlight()["s"]; got.Limit != 0 || got.Servers["a"] != 2*size {
		t.Errorf("with two bodies in flight: %+v", got)
	}
	close(crash)
	for range 2 {
		if got := <-replies; got.status != 502 || got.verdict != "may-have-run" {
			t.Errorf("after the server's crash: %+v", got)
		}
	}
	if got := w.g.InFlight()["s"]; got.Limit != size || len(got.Servers) != 0 {
		t.Errorf("after the crash: %+v", got)
	}
	go send()
	<-arrived
	if got := w.send(strings.Repeat("x", size)); got.status != 503 || got.verdict != "not-run" || got.retry == "" {
		t.Errorf("beyond the limit: %+v", got)
	}
	if got := w.ask(); got.status != 200 {
		t.Errorf("a small request: %+v", got)
	}
	close(release)
	if got := <-replies; got.status != 200 {
		t.Errorf("the request within the limit: %+v", got)
	}
}

// TestFailuresUnrelatedToBodySize checks that an answer that is too large, and a planned stop
// of a server, do not set a limit of body bytes.
func TestFailuresUnrelatedToBodySize(t *testing.T) {
	for name, serve := range map[string]func(w *testGateway, c net.Conn){
		"answer too large": func(_ *testGateway, c net.Conn) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: 7\r\nContent-Length: %d\r\n\r\n", maxAnswerBytes+1)
		},
		"planned stop": func(w *testGateway, c net.Conn) {
			w.servers[0].Leaving = true
			w.g.SetServers(w.servers)
			_ = c.Close()
		},
	} {
		w := newTestGateway(t)
		w.install(protocol.PathRoute{Attempts: 1})
		w.backend("a", func(c net.Conn, _ *fasthttp.Request) { serve(w, c) })
		if got := w.send(strings.Repeat("x", 2<<20)); got.status != 502 || got.verdict != "may-have-run" {
			t.Errorf("%s: %+v", name, got)
		}
		if got := w.g.InFlight()["s"]; got.Limit != 0 {
			t.Errorf("%s set the limit %d", name, got.Limit)
		}
	}
}

// TestIsCrashAfterLargeBody checks which errors mean that a server's process terminated.
func TestIsCrashAfterLargeBody(t *testing.T) {
	for err, want := range map[error]bool{
		io.ErrUnexpectedEOF:    true,
		syscall.ECONNRESET:     true,
		backend.ErrStalled:     true,
		syscall.ETIMEDOUT:      false, // The machine or the network path does not respond.
		os.ErrDeadlineExceeded: false,
		errTooLarge:            false,
	} {
		if got := isCrash(eris.Wrap(err, "read answer")); got != want {
			t.Errorf("%v: %v", err, got)
		}
	}
}

// TestTooManyConnections checks that a request for which no connection may be opened is
// refused as not run, and that its server is not suspected.
func TestTooManyConnections(t *testing.T) {
	w := newTestGateway(t)
	w.g.pool = backend.NewPool(testTimeout, backend.WithMaxConnections(1))
	w.install(protocol.PathRoute{Attempts: 2})
	arrived, release := make(chan struct{}), make(chan struct{})
	w.backend("a", func(c net.Conn, req *fasthttp.Request) {
		close(arrived)
		<-release
		answerOK(c, req)
	})
	first := make(chan reply, 1)
	go func() { first <- w.ask() }()
	<-arrived
	if got := w.ask(); got.status != 503 || got.verdict != "not-run" || got.retry == "" {
		t.Errorf("got %+v", got)
	}
	if w.g.view.Load().Find("a").Stats.Suspect(clock.Now()) {
		t.Error("the server is suspected")
	}
	close(release)
	if got := <-first; got.status != 200 {
		t.Errorf("the first got %+v", got)
	}
}

// TestUnreadAnswerIsNotCutOff uses a server that drops an answer if its writes block for too
// long, and a caller that reads nothing for longer than that. The caller must still get the
// whole answer.
func TestUnreadAnswerIsNotCutOff(t *testing.T) {
	const size, unread = 250_000, 2 * time.Second
	w := newTestGateway(t, caller.WithSocketBuffer(8<<10))
	w.g.pool = backend.NewPool(testTimeout, backend.WithSocketBuffer(32<<10))
	w.install(protocol.PathRoute{Kind: protocol.RouteStream, Attempts: 1})
	written := make(chan error, 1)
	w.backend("a", func(c net.Conn, _ *fasthttp.Request) {
		_ = c.(*net.TCPConn).SetWriteBuffer(32 << 10)
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: 7\r\nContent-Length: %d\r\n\r\n", size)
		for n := 0; n < size && err == nil; n += 1000 {
			_ = c.SetWriteDeadline(time.Now().Add(unread))
			_, err = io.WriteString(c, strings.Repeat("data: xy\n\n", 100))
		}
		if err != nil {
			_ = c.Close()
		}
		written <- err
	})
	slow, err := net.Dial("tcp", w.address)
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	_ = slow.(*net.TCPConn).SetReadBuffer(16 << 10)
	_, _ = io.WriteString(slow, "POST /r/x HTTP/1.1\r\nHost: h\r\nId: 7\r\nContent-Length: 0\r\n\r\n")
	if err := <-written; err != nil { // Nothing is read before the server has finished.
		t.Fatalf("the server cut the answer off: %v", err)
	}
	_ = slow.SetReadDeadline(time.Now().Add(testTimeout))
	var resp fasthttp.Response
	if err := resp.Read(bufio.NewReader(slow)); err != nil || len(resp.Body()) != size {
		t.Errorf("the caller got %d bytes, %v", len(resp.Body()), err)
	}
}
