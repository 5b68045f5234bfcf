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

const quickStall = 300 * time.Millisecond

// TestStalledServerIsGivenUp checks that a server which takes no more of a body is given
// up long before the deadline, and that what was sent of it counts as sent.
func TestStalledServerIsGivenUp(t *testing.T) {
	address := server(t, func(_ net.Conn, br *bufio.Reader) {
		_, _ = br.ReadByte()
		time.Sleep(patience) // It lives, its kernel acknowledges, and it reads nothing.
	})
	p := NewPool(patience, WithStallTimeout(quickStall), WithSocketBuffer(16<<10))
	deadline := time.Now().Add(10 * patience)
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
	case <-time.After(patience):
		t.Fatal("the server is still waited for")
	}
}

// TestSlowServerIsWaitedFor checks that a server which takes a body slowly, for longer
// than it may take nothing, gets all of it.
func TestSlowServerIsWaitedFor(t *testing.T) {
	const size = 1 << 20
	address := server(t, func(c net.Conn, br *bufio.Reader) {
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
			time.Sleep(time.Duration(m) * 2 * quickStall / size)
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	p := NewPool(patience, WithStallTimeout(quickStall), WithSocketBuffer(16<<10))
	deadline := time.Now().Add(patience)
	c, err := p.Get("s", address, deadline)
	if err != nil {
		t.Fatal(err)
	}
	var resp fasthttp.Response
	if early, err := c.Exchange(request(strings.Repeat("x", size)), &resp, deadline); err != nil || early || resp.StatusCode() != 200 {
		t.Errorf("early %v, %v, status %d", early, err, resp.StatusCode())
	}
}

// TestConnectionsAreBounded checks that no more connections are open than may be: one that
// rests is closed for a new one, the oldest first, and without one there is no room.
func TestConnectionsAreBounded(t *testing.T) {
	address := server(t, func(_ net.Conn, br *bufio.Reader) { _, _ = br.ReadByte() })
	p := NewPool(patience, WithMaxConnections(2))
	get := func(server string) (*Conn, error) { return p.Get(server, address, time.Now().Add(patience)) }
	first, errFirst := get("a")
	second, errSecond := get("b")
	if errFirst != nil || errSecond != nil {
		t.Fatal(errFirst, errSecond)
	}
	if _, err := get("c"); !errors.Is(err, ErrTooManyConnections) {
		t.Errorf("a third connection beside two in use: %v", err)
	}
	p.Put("a", first, 2*time.Second)
	p.Put("b", second, 20*time.Second)
	third, err := get("c")
	if err != nil {
		t.Fatal(err)
	}
	if c, err := get("b"); c != second || err != nil {
		t.Errorf("the one that rested for less was closed: %v", err)
	}
	third.Close()
	third.Close() // It counts once.
	if _, err := get("a"); err != nil {
		t.Errorf("where one was closed: %v", err)
	}
	if _, err := get("a"); !errors.Is(err, ErrTooManyConnections) {
		t.Errorf("beside two in use again: %v", err)
	}
}

// TestFailedConnectIsNotCounted checks that a server that cannot be reached takes no room.
func TestFailedConnectIsNotCounted(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = ln.Close()
	p := NewPool(patience, WithMaxConnections(1))
	for range 3 {
		if _, err := p.Get("a", ln.Addr().String(), time.Now().Add(patience)); err == nil || errors.Is(err, ErrTooManyConnections) {
			t.Errorf("got %v", err)
		}
	}
}

// TestConnectionsAreBoundedAtOnce checks that the bound holds where many connections are
// opened at once.
func TestConnectionsAreBoundedAtOnce(t *testing.T) {
	const most, rounds = 4, 2000
	p := NewPool(patience, WithMaxConnections(most))
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
		if n := got.Load(); n != most || p.count.Load() != most {
			t.Fatalf("%d got room, and %d are counted", n, p.count.Load())
		}
		p.count.Store(0)
	}
}

// frozen is a connection whose process stands still in the first write, until its
// time-out is long past. What comes behind it is taken.
type frozen struct {
	net.Conn
	end   time.Time
	stood bool
}

func (f *frozen) SetWriteDeadline(t time.Time) error { f.end = t; return nil }

func (f *frozen) Write(p []byte) (int, error) {
	if !f.stood {
		f.stood = true
		time.Sleep(time.Until(f.end) + 500*time.Millisecond)
		return 0, os.ErrDeadlineExceeded
	}
	return len(p), nil
}

// TestStandingStillBlamesNoServer checks that a process which stood still for longer than
// a server may take nothing does not give the server up for it.
func TestStandingStillBlamesNoServer(t *testing.T) {
	const size = 4 * pieceBytes
	c := &Conn{net: &frozen{}, stall: 20 * time.Millisecond}
	if n, err := c.Write(make([]byte, size)); n != size || err != nil {
		t.Errorf("%d bytes were written: %v", n, err)
	}
}
