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

// TestAnswerWithoutRoom checks what becomes of whole answers that find no memory: the
// request may have run, its server is not blamed, and nothing stays held. What fits
// arrives, with its length told and without.
func TestAnswerWithoutRoom(t *testing.T) {
	m := caller.NewMemory(4<<20, metrics.NewRegistry())
	w := newWorld(t, caller.WithMemory(m))
	w.install(protocol.PathRoute{Kind: protocol.RouteRepeatable, Attempts: 3})
	var size int
	var chunked bool
	b := w.backend("a", func(c net.Conn, _ *fasthttp.Request) {
		text := strings.Repeat("x", size)
		if chunked {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: 7\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, text)
			return
		}
		say(c, 200, "", text)
	})
	for _, chunked = range []bool{false, true} {
		for _, size = range []int{1, answerPiece - 1, answerPiece, answerPiece + 1, 1 << 20} {
			if got := w.ask(); got.status != 200 || len(got.body) != size {
				t.Errorf("%d bytes, chunked %v: %d, %d bytes", size, chunked, got.status, len(got.body))
			}
		}
		b.runs.Store(0)
		size = 3 << 20
		if got := w.ask(); got.status != 502 || got.verdict != "may-have-run" || b.runs.Load() != 1 {
			t.Errorf("chunked %v: beyond the share: %+v after %d runs", chunked, got, b.runs.Load())
		}
		if s := w.g.view.Load().Find("a"); s.Stats.Suspect(clock.Now()) || s.Stats.Outstanding() != 0 {
			t.Errorf("the server is blamed (%v), or has %d requests", s.Stats.Suspect(clock.Now()), s.Stats.Outstanding())
		}
	}
	// What was given back is counted as the connection ends, which its caller may see
	// before.
	for end := time.Now().Add(patience); m.Status().Held != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("at rest: %+v", m.Status())
		}
	}
}

// TestAnswerOfNoLengthFits checks that an answer without a length, which would fit, does
// not end for a buffer of twice its size: its request has run.
func TestAnswerOfNoLengthFits(t *testing.T) {
	const bound, size = 24 << 20, 9 << 20
	w := newWorld(t, caller.WithMemory(caller.NewMemory(bound, metrics.NewRegistry())))
	w.install(protocol.PathRoute{Attempts: 1})
	w.backend("a", func(c net.Conn, _ *fasthttp.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: 7\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, strings.Repeat("x", size))
	})
	if got := w.ask(); got.status != 200 || len(got.body) != size {
		t.Errorf("status %d, %d bytes", got.status, len(got.body))
	}
}

// TestBodyWithoutRoom checks that a body for which the workspace has no memory left is
// refused as not run before any server sees it, and that another workspace's is served.
func TestBodyWithoutRoom(t *testing.T) {
	m := caller.NewMemory(4<<20, metrics.NewRegistry())
	w := newWorld(t, caller.WithMemory(m))
	w.install(protocol.PathRoute{Attempts: 1}, protocol.WorkspaceSpec{Name: "one", Keys: []string{"1"}}, protocol.WorkspaceSpec{Name: "two", Keys: []string{"2"}})
	b := w.backend("a", good)
	hold := memory.Hold{Workspace: "one"}
	if !m.Reserve(&hold, memory.Lag, 3<<19).Granted {
		t.Fatal("nothing was taken")
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
		t.Errorf("with room again got %+v", got)
	}
}

// TestSlowCallerFreesTheServer checks that a server is read to the end of its answer
// while the caller reads none of it, whole or in pieces: its slot and its connection
// serve the next request.
func TestSlowCallerFreesTheServer(t *testing.T) {
	// A stream fits into the store of its caller; a whole answer need not.
	for kind, size := range map[protocol.RouteKind]int{protocol.RouteStream: 200_000, protocol.RouteRepeatable: 600_000} {
		w := newWorld(t, caller.WithSocketBuffer(8<<10))
		w.install(protocol.PathRoute{Kind: kind, Attempts: 1})
		w.backend("a", func(c net.Conn, _ *fasthttp.Request) { say(c, 200, "", strings.Repeat("data: xy\n\n", size/10)) })
		slow, err := net.Dial("tcp", w.address)
		if err != nil {
			t.Fatal(err)
		}
		defer slow.Close()
		_ = slow.(*net.TCPConn).SetReadBuffer(32 << 10)
		_, _ = io.WriteString(slow, "POST /r/x HTTP/1.1\r\nHost: h\r\nId: 7\r\nContent-Length: 0\r\n\r\n")
		cell := w.g.view.Load().Find("a").Stats
		for end := time.Now().Add(patience); w.g.meters.answered.Count() == 0 || cell.Outstanding() > 0; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("route kind %v: the server has %d requests", kind, cell.Outstanding())
			}
		}
		if got := w.ask(); got.status != 200 || w.g.pool.Opens() != 1 {
			t.Errorf("route kind %v: the next request got %d over %d connections", kind, got.status, w.g.pool.Opens())
		}
		_ = slow.SetReadDeadline(time.Now().Add(patience))
		var resp fasthttp.Response
		if err := resp.Read(bufio.NewReader(slow)); err != nil || len(resp.Body()) != size {
			t.Errorf("route kind %v: the slow caller got %d bytes, %v", kind, len(resp.Body()), err)
		}
	}
}

// TestBytesAtServers has a server fall over while it has large bodies, and checks that
// its service's servers get no more than half as many at once from then on, that what
// cannot be placed is refused as not run, and that small requests go on.
func TestBytesAtServers(t *testing.T) {
	const size = 2 << 20
	w := newWorld(t)
	w.install(protocol.PathRoute{Attempts: 1})
	var large atomic.Int64
	arrived, fall, release := make(chan struct{}, 8), make(chan struct{}), make(chan struct{})
	serve := func(c net.Conn, req *fasthttp.Request) {
		if len(req.Body()) < size {
			good(c, req)
			return
		}
		first := large.Add(1) <= 2
		arrived <- struct{}{}
		if first {
			<-fall
			_ = c.Close()
			return
		}
		<-release
		good(c, req)
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
		t.Errorf("with two bodies under way: %+v", got)
	}
	close(fall)
	for range 2 {
		if got := <-replies; got.status != 502 || got.verdict != "may-have-run" {
			t.Errorf("the server fell over: %+v", got)
		}
	}
	if got := w.g.InFlight()["s"]; got.Limit != size || len(got.Servers) != 0 {
		t.Errorf("behind the failure: %+v", got)
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
		t.Errorf("the one within the limit: %+v", got)
	}
}

// TestFailuresThatDoNotFollowBytes checks that a server whose answer is too large, and one
// that stops as it was told to, teach nothing of the bytes that servers bear.
func TestFailuresThatDoNotFollowBytes(t *testing.T) {
	for name, serve := range map[string]func(w *world, c net.Conn){
		"too large an answer": func(_ *world, c net.Conn) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: 7\r\nContent-Length: %d\r\n\r\n", maxAnswer+1)
		},
		"planned stop": func(w *world, c net.Conn) {
			w.servers[0].Leaving = true
			w.g.SetServers(w.servers)
			_ = c.Close()
		},
	} {
		w := newWorld(t)
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

// TestFellOver checks which errors say that a server's process ended.
func TestFellOver(t *testing.T) {
	for err, want := range map[error]bool{
		io.ErrUnexpectedEOF:    true,
		syscall.ECONNRESET:     true,
		backend.ErrStalled:     true,
		syscall.ETIMEDOUT:      false, // Its machine is silent, or the way to it.
		os.ErrDeadlineExceeded: false,
		errTooLarge:            false,
	} {
		if got := isCrash(eris.Wrap(err, "read answer")); got != want {
			t.Errorf("%v: %v", err, got)
		}
	}
}

// TestTooManyConnections checks that a request for which no connection may be opened is
// refused as not run, and that its server is not blamed.
func TestTooManyConnections(t *testing.T) {
	w := newWorld(t)
	w.g.pool = backend.NewPool(patience, backend.WithConnections(1))
	w.install(protocol.PathRoute{Attempts: 2})
	arrived, release := make(chan struct{}), make(chan struct{})
	w.backend("a", func(c net.Conn, req *fasthttp.Request) {
		close(arrived)
		<-release
		good(c, req)
	})
	first := make(chan reply, 1)
	go func() { first <- w.ask() }()
	<-arrived
	if got := w.ask(); got.status != 503 || got.verdict != "not-run" || got.retry == "" {
		t.Errorf("got %+v", got)
	}
	if w.g.view.Load().Find("a").Stats.Suspect(clock.Now()) {
		t.Error("the server is blamed")
	}
	close(release)
	if got := <-first; got.status != 200 {
		t.Errorf("the first got %+v", got)
	}
}

// TestUnreadAnswerIsNotCutOff has a server cut off what is left unread for a moment, and a
// caller who reads nothing for longer: it still gets the whole answer.
func TestUnreadAnswerIsNotCutOff(t *testing.T) {
	const size, unread = 250_000, 2 * time.Second
	w := newWorld(t, caller.WithSocketBuffer(8<<10))
	w.g.pool = backend.NewPool(patience, backend.WithSocket(32<<10))
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
	if err := <-written; err != nil { // Nothing is read before the server is done.
		t.Fatalf("the server cut the answer off: %v", err)
	}
	_ = slow.SetReadDeadline(time.Now().Add(patience))
	var resp fasthttp.Response
	if err := resp.Read(bufio.NewReader(slow)); err != nil || len(resp.Body()) != size {
		t.Errorf("the caller got %d bytes, %v", len(resp.Body()), err)
	}
}
