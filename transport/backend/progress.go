package backend

import (
	"errors"
	"net"
	"os"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/weldstream/weldstream/internal/tcp"
)

// ErrStalled is returned when a server stops accepting a request's body.
var ErrStalled = eris.New("the server has stopped taking the body")

const (
	// defaultStallTimeout is how long a server may accept nothing of a body. Its kernel still
	// acknowledges packets, so ackTimeout does not detect this. The pause of a server that
	// moves or restarts threads is far shorter, and the deadlines of requests with large
	// bodies are several times as long.
	defaultStallTimeout = 3 * time.Second
	// writeChunkBytes is the number of bytes passed to the kernel at a time. Each chunk must
	// be accepted within the stall timeout.
	writeChunkBytes = 32 << 10
)

// writeChunks writes a large part of a request in chunks, so that a stalled server is
// detected before the deadline.
func (c *Conn) writeChunks(p []byte) (written int, err error) {
	for len(p) > 0 {
		end := time.Now().Add(c.stallTimeout)
		atDeadline := !c.deadline.IsZero() && c.deadline.Before(end)
		if atDeadline {
			end = c.deadline
		}
		if err := c.net.SetWriteDeadline(end); err != nil {
			return written, err
		}
		if c.bodyAborted.Load() { // It was set before the write deadline that aborts the body, which the deadline above has replaced.
			return written, os.ErrDeadlineExceeded
		}
		n, err := c.writeNow(p[:min(len(p), writeChunkBytes)])
		written += n
		p = p[n:]
		stalled := errors.Is(err, os.ErrDeadlineExceeded) && !atDeadline && !c.bodyAborted.Load()
		switch {
		case stalled && (n > 0 || tcp.Late(end, time.Now())):
			continue // Some bytes were accepted, or may have been while this process was paused.
		case stalled:
			return written, ErrStalled
		case err != nil:
			return written, err
		}
	}
	return written, c.net.SetWriteDeadline(c.deadline)
}

// PoolOption configures a new pool.
type PoolOption func(*Pool)

// WithStallTimeout sets how long a server may accept nothing of a body.
func WithStallTimeout(d time.Duration) PoolOption { return func(p *Pool) { p.stallTimeout = d } }

// WithSocketBuffer sets the size in bytes of the kernel's buffer for each direction of a
// connection; 0 for the kernel's default.
func WithSocketBuffer(bytes int) PoolOption { return func(p *Pool) { p.socketBuffer = bytes } }

// WithMaxConnections bounds the connections to all servers together; 0 for no bound.
func WithMaxConnections(n int) PoolOption { return func(p *Pool) { p.maxConnections = n } }

// WithDialer sets the function that opens connections.
func WithDialer(dial DialFunc) PoolOption { return func(p *Pool) { p.dial = dial } }

// ErrTooManyConnections is returned when no connection may be opened and there is no idle one
// to close.
var ErrTooManyConnections = eris.New("there are too many connections to servers")

// reserve counts a connection that is about to be opened. If there are too many, it closes
// the idle connection that expires first.
func (p *Pool) reserve() bool {
	for {
		n := p.openCount.Load()
		if p.maxConnections == 0 || n < int64(p.maxConnections) {
			if p.openCount.CompareAndSwap(n, n+1) {
				return true
			}
			continue
		}
		if !p.closeIdle() {
			return false
		}
	}
}

// closeIdle closes the idle connection that expires first, and reports whether there was one.
func (p *Pool) closeIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	var server string
	var oldest *Conn
	for id, list := range p.idle {
		for _, c := range list {
			if oldest == nil || c.idleUntil.Before(oldest.idleUntil) {
				server, oldest = id, c
			}
		}
	}
	if oldest == nil {
		return false
	}
	p.idle[server] = slices.DeleteFunc(p.idle[server], func(c *Conn) bool { return c == oldest })
	if len(p.idle[server]) == 0 {
		delete(p.idle, server)
	}
	oldest.Close()
	return true
}

// limitBuffers sets the kernel's buffer sizes for a connection.
func (p *Pool) limitBuffers(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok && p.socketBuffer > 0 {
		_, _ = tcp.SetReadBuffer(p.socketBuffer), tcp.SetWriteBuffer(p.socketBuffer) // A closed connection reports its error when it is used.
	}
}
