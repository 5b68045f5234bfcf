package caller

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/weldstream/weldstream/coordination/memory"
)

// freezeTime is how long after its deadline the process resumes.
const freezeTime = 500 * time.Millisecond

// frozenConn simulates a process that is suspended in the first read or write until long after
// its deadline. Later reads and writes succeed.
type frozenConn struct {
	net.Conn
	end   time.Time
	froze bool
}

func (f *frozenConn) SetReadDeadline(t time.Time) error  { f.end = t; return nil }
func (f *frozenConn) SetWriteDeadline(t time.Time) error { f.end = t; return nil }
func (f *frozenConn) Close() error                       { return nil }

func (f *frozenConn) freeze() error {
	if f.froze {
		return nil
	}
	f.froze = true
	time.Sleep(time.Until(f.end) + freezeTime)
	return os.ErrDeadlineExceeded
}

func (f *frozenConn) Read(p []byte) (int, error) {
	if err := f.freeze(); err != nil {
		return 0, err
	}
	return len(p), nil
}

func (f *frozenConn) Write(p []byte) (int, error) {
	if err := f.freeze(); err != nil {
		return 0, err
	}
	return len(p), nil
}

// TestFrozenProcessCutsNoCaller checks that a process that was suspended for longer than a window
// does not treat a caller as slow: neither one that reads a response, with or without memory
// for its send buffer, nor one that sends a body.
func TestFrozenProcessCutsNoCaller(t *testing.T) {
	minRate := MinRate{Rate: 1 << 20, Window: 20 * time.Millisecond}
	for name, bound := range map[string]int64{"buffered": 1 << 20, "direct": 0} {
		cut := false
		s := newSendBuffer(&frozenConn{}, NewMemory(bound, metrics.NewRegistry()), &memory.Hold{}, minRate, func() { cut = true })
		_, err := s.Write(make([]byte, 100))
		if err = errors.Join(err, s.awaitWritten()); err != nil || cut {
			t.Errorf("%s: the response ended with %v, cut %v", name, err, cut)
		}
	}
	c := &Conn{net: &frozenConn{}}
	c.br = bufio.NewReader(c)
	limits := Limits{BodyTime: testTimeout}
	if err := c.startRateCheck(minRate, &limits); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(c.br, make([]byte, 100)); err != nil {
		t.Errorf("the body ended with %v", err)
	}
}

// gatedConn is a connection whose writes block until release is closed.
type gatedConn struct {
	net.Conn
	started chan struct{}
	release chan struct{}
}

func (g *gatedConn) SetWriteDeadline(time.Time) error { return nil }
func (g *gatedConn) Close() error                     { return nil }

func (g *gatedConn) Write(p []byte) (int, error) {
	g.started <- struct{}{}
	<-g.release
	return len(p), nil
}

// TestFrozenProcessCutsNoCallerWithoutMemory checks the same for a caller whose response waits for
// memory while a block is being written.
func TestFrozenProcessCutsNoCallerWithoutMemory(t *testing.T) {
	const window = 500 * time.Millisecond
	conn := &gatedConn{started: make(chan struct{}, 2), release: make(chan struct{})}
	cut := false
	s := newSendBuffer(conn, NewMemory(2*blockBytes, metrics.NewRegistry()), &memory.Hold{}, MinRate{Rate: 1, Window: window}, func() { cut = true })
	done := make(chan error, 1)
	go func() {
		_, err := s.Write(make([]byte, 2*blockBytes))
		done <- errors.Join(err, s.awaitWritten())
	}()
	<-conn.started // The second block now waits for the memory of the first.
	s.mu.Lock()
	time.Sleep(window + freezeTime) // The send buffer makes no progress meanwhile.
	close(conn.release)
	s.mu.Unlock()
	if err := <-done; err != nil || cut {
		t.Errorf("the response ended with %v, cut %v", err, cut)
	}
}
