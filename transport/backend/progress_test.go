package backend

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

const shortStallTimeout = 300 * time.Millisecond

// TestStalledServerIsDetected checks that a request to a server that accepts no more of its
// body fails long before the deadline, and that the written part counts as written.
func TestStalledServerIsDetected(t *testing.T) {
	address := startServer(t, func(_ net.Conn, br *bufio.Reader) {
		_, _ = br.ReadByte()
		time.Sleep(testTimeout) // The server stays up and its kernel acknowledges, but it reads nothing.
	})
	p := NewPool(testTimeout, WithStallTimeout(shortStallTimeout), WithSocketBuffer(16<<10))
	deadline := time.Now().Add(10 * testTimeout)
	c, err := p.Get("s", address, deadline)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() {
		var resp fasthttp.Response
		_, err := c.Exchange(request(strings.Repeat("x", 8<<20)), &resp, deadline)
		done <- err
	}()
	select {
	case err := <-done:
		if !errors.Is(err, ErrStalled) || !c.Wrote() {
			t.Errorf("got %v, wrote %v", err, c.Wrote())
		}
	case <-time.After(testTimeout):
		t.Fatal("the stall was not detected")
	}
}

// TestSlowServerIsNotStalled checks that a server that reads a body slowly, for longer than
// the stall timeout, gets all of it.
func TestSlowServerIsNotStalled(t *testing.T) {
	const size = 1 << 20
	address := startServer(t, func(c net.Conn, br *bufio.Reader) {
		var req fasthttp.Request
		if req.Header.Read(br) != nil {
			return
		}
		n, buf := 0, make([]byte, 64<<10)
		for n < size {
			m, err := br.Read(buf)
			if err != nil {
				return
			}
			n += m
			time.Sleep(time.Duration(m) * 2 * shortStallTimeout / size)
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	p := NewPool(testTimeout, WithStallTimeout(shortStallTimeout), WithSocketBuffer(16<<10))
	deadline := time.Now().Add(testTimeout)
	c, err := p.Get("s", address, deadline)
	if err != nil {
		t.Fatal(err)
	}
	var resp fasthttp.Response
	if early, err := c.Exchange(request(strings.Repeat("x", size)), &resp, deadline); err != nil || early || resp.StatusCode() != 200 {
		t.Errorf("early %v, %v, status %d", early, err, resp.StatusCode())
	}
}

// TestMaxConnections checks the bound on open connections: for a new connection the idle one
// that expires first is closed, and without an idle one the connection is refused.
func TestMaxConnections(t *testing.T) {
	address := startServer(t, func(_ net.Conn, br *bufio.Reader) { _, _ = br.ReadByte() })
	p := NewPool(testTimeout, WithMaxConnections(2))
	get := func(server string) (*Conn, error) { return p.Get(server, address, time.Now().Add(testTimeout)) }
	first, errFirst := get("a")
	second, errSecond := get("b")
	if errFirst != nil || errSecond != nil {
		t.Fatal(errFirst, errSecond)
	}
	if _, err := get("c"); !errors.Is(err, ErrTooManyConnections) {
		t.Errorf("a third connection with two in use: %v", err)
	}
	p.Put("a", first, 2*time.Second)
	p.Put("b", second, 20*time.Second)
	third, err := get("c")
	if err != nil {
		t.Fatal(err)
	}
	if c, err := get("b"); c != second || err != nil {
		t.Errorf("the connection with the longer idle timeout was closed: %v", err)
	}
	third.Close()
	third.Close() // Closing twice counts once.
	if _, err := get("a"); err != nil {
		t.Errorf("after a connection was closed: %v", err)
	}
	if _, err := get("a"); !errors.Is(err, ErrTooManyConnections) {
		t.Errorf("with two in use again: %v", err)
	}
}

// TestFailedConnectIsNotCounted checks that a failed connect does not count as an open
// connection.
func TestFailedConnectIsNotCounted(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = ln.Close()
	p := NewPool(testTimeout, WithMaxConnections(1))
	for range 3 {
		if _, err := p.Get("a", ln.Addr().String(), time.Now().Add(testTimeout)); err == nil || errors.Is(err, ErrTooManyConnections) {
			t.Errorf("got %v", err)
		}
	}
}

// TestMaxConnectionsConcurrently checks the bound when many connections are opened at the
// same time.
func TestMaxConnectionsConcurrently(t *testing.T) {
	const most, rounds = 4, 2000
	p := NewPool(testTimeout, WithMaxConnections(most))
	for range rounds {
		var all sync.WaitGroup
		var got atomic.Int64
		begin := make(chan struct{})
		for range 4 * most {
			all.Go(func() {
				<-begin
				if p.reserve() {
					got.Add(1)
				}
			})
		}
		close(begin)
		all.Wait()
		if n := got.Load(); n != most || p.openCount.Load() != most {
			t.Fatalf("%d connections were reserved, and %d are counted", n, p.openCount.Load())
		}
		p.openCount.Store(0)
	}
}

// pausedConn is a connection whose process is paused in the first write until long after the
// write deadline. Later writes succeed.
type pausedConn struct {
	net.Conn
	end    time.Time
	paused bool
}

func (f *pausedConn) SetWriteDeadline(t time.Time) error { f.end = t; return nil }

func (f *pausedConn) Write(p []byte) (int, error) {
	if !f.paused {
		f.paused = true
		time.Sleep(time.Until(f.end) + 500*time.Millisecond)
		return 0, os.ErrDeadlineExceeded
	}
	return len(p), nil
}

// TestProcessPauseIsNotAStall checks that a pause of this process that exceeds the stall
// timeout does not count as a stall of the server.
func TestProcessPauseIsNotAStall(t *testing.T) {
	const size = 4 * writeChunkBytes
	c := &Conn{net: &pausedConn{}, stallTimeout: 20 * time.Millisecond}
	if n, err := c.Write(make([]byte, size)); n != size || err != nil {
		t.Errorf("%d bytes were written: %v", n, err)
	}
}
