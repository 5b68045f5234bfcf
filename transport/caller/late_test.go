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

// stillFor is how much later than its time-out the process goes on.
const stillFor = 500 * time.Millisecond

// frozen is a connection whose process stands still in the first read or write, until
// its time-out is long past. What comes behind it succeeds.
type frozen struct {
	net.Conn
	end   time.Time
	stood bool
}

func (f *frozen) SetReadDeadline(t time.Time) error  { f.end = t; return nil }
func (f *frozen) SetWriteDeadline(t time.Time) error { f.end = t; return nil }
func (f *frozen) Close() error                       { return nil }

func (f *frozen) stand() error {
	if f.stood {
		return nil
	}
	f.stood = true
	time.Sleep(time.Until(f.end) + stillFor)
	return os.ErrDeadlineExceeded
}

func (f *frozen) Read(p []byte) (int, error) {
	if err := f.stand(); err != nil {
		return 0, err
	}
	return len(p), nil
}

func (f *frozen) Write(p []byte) (int, error) {
	if err := f.stand(); err != nil {
		return 0, err
	}
	return len(p), nil
}

// TestStandingStillCutsNobody checks that a process which stood still for longer than a
// window takes none of its callers for slow: not one who takes an answer, with memory for
// it and without, and not one who sends a body.
func TestStandingStillCutsNobody(t *testing.T) {
	pace := MinRate{Rate: 1 << 20, Window: 20 * time.Millisecond}
	for name, bound := range map[string]int64{"kept": 1 << 20, "direct": 0} {
		cut := false
		s := newSendBuffer(&frozen{}, NewMemory(bound, metrics.NewRegistry()), &memory.Hold{}, pace, func() { cut = true })
		_, err := s.Write(make([]byte, 100))
		if err = errors.Join(err, s.awaitWritten()); err != nil || cut {
			t.Errorf("%s: an answer ended with %v, cut %v", name, err, cut)
		}
	}
	c := &Conn{net: &frozen{}}
	c.br = bufio.NewReader(c)
	limits := Limits{BodyTime: patience}
	if err := c.paceReads(pace, &limits); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(c.br, make([]byte, 100)); err != nil {
		t.Errorf("a body ended with %v", err)
	}
}

// gated is a connection that takes what is written once it may.
type gated struct {
	net.Conn
	began chan struct{}
	may   chan struct{}
}

func (g *gated) SetWriteDeadline(time.Time) error { return nil }
func (g *gated) Close() error                     { return nil }

func (g *gated) Write(p []byte) (int, error) {
	g.began <- struct{}{}
	<-g.may
	return len(p), nil
}

// TestStandingStillWhilePressed checks the same of a caller whose answer waits for memory
// behind a block that is being written.
func TestStandingStillWhilePressed(t *testing.T) {
	const window = 500 * time.Millisecond
	conn := &gated{began: make(chan struct{}, 2), may: make(chan struct{})}
	cut := false
	s := newSendBuffer(conn, NewMemory(2*blockBytes, metrics.NewRegistry()), &memory.Hold{}, MinRate{Rate: 1, Window: window}, func() { cut = true })
	done := make(chan error, 1)
	go func() {
		_, err := s.Write(make([]byte, 2*blockBytes))
		done <- errors.Join(err, s.awaitWritten())
	}()
	<-conn.began // The second block waits for the first one's bytes now.
	s.mu.Lock()
	time.Sleep(window + stillFor) // Nothing of the send buffer goes on meanwhile.
	close(conn.may)
	s.mu.Unlock()
	if err := <-done; err != nil || cut {
		t.Errorf("an answer ended with %v, cut %v", err, cut)
	}
}
