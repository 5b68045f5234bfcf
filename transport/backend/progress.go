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

// ErrStalled is returned when a server takes no more of a request's body.
var ErrStalled = eris.New("the server has stopped taking the body")

const (
	// stallTime is how long a server may take nothing of a body. Its kernel acknowledges
	// meanwhile, so that the bound on silence does not see it. A pause of a server that
	// moves or restarts threads is far shorter, and the deadlines of requests with large
	// bodies are several times as long.
	stallTime = 3 * time.Second
	// pieceBytes, in bytes, are handed to the kernel at a time. Each piece has to be taken
	// within stallTime.
	pieceBytes = 32 << 10
)

// writeAll writes a large part of a request piece by piece, so that a server which takes
// nothing any more is noticed before the deadline.
func (c *Conn) writeAll(p []byte) (written int, err error) {
	for len(p) > 0 {
		end := time.Now().Add(c.stall)
		last := !c.deadline.IsZero() && c.deadline.Before(end)
		if last {
			end = c.deadline
		}
		if err := c.net.SetWriteDeadline(end); err != nil {
			return written, err
		}
		if c.bodyUnwanted.Load() { // Set before the deadline that wakes a write, which this one replaced.
			return written, os.ErrDeadlineExceeded
		}
		n, err := c.net.Write(p[:min(len(p), pieceBytes)])
		c.count(n)
		written += n
		p = p[n:]
		stalled := errors.Is(err, os.ErrDeadlineExceeded) && !last && !c.bodyUnwanted.Load()
		switch {
		case stalled && (n > 0 || tcp.Late(end, time.Now())):
			continue // A part was taken, or may have been while this process stood still.
		case stalled:
			return written, ErrStalled
		case err != nil:
			return written, err
		}
	}
	return written, c.net.SetWriteDeadline(c.deadline)
}

// PoolOption changes a new pool.
type PoolOption func(*Pool)

// WithStallTimeout sets how long a server may take nothing of a body.
func WithStallTimeout(d time.Duration) PoolOption { return func(p *Pool) { p.stall = d } }

// WithSocketBuffer bounds what the kernel keeps of a connection each way, in bytes; 0 leaves
// it to the kernel.
func WithSocketBuffer(bytes int) PoolOption { return func(p *Pool) { p.socket = bytes } }

// WithMaxConnections bounds the connections to all servers together; 0 sets no bound.
func WithMaxConnections(most int) PoolOption { return func(p *Pool) { p.most = most } }

// ErrTooManyConnections is returned when no connection may be opened, and none rests that could be
// closed for it.
var ErrTooManyConnections = eris.New("there are too many connections to servers")

// reserve counts a connection that is to be opened. Where there are too many, the one that
// may rest for the shortest time yet is closed for it.
func (p *Pool) reserve() bool {
	for {
		n := p.count.Load()
		if p.most == 0 || n < int64(p.most) {
			if p.count.CompareAndSwap(n, n+1) {
				return true
			}
			continue
		}
		if !p.closeOldest() {
			return false
		}
	}
}

// closeOldest closes the connection whose rest ends first, and reports whether one rested.
func (p *Pool) closeOldest() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	var server string
	var oldest *Conn
	for id, list := range p.idle {
		for _, c := range list {
			if oldest == nil || c.until.Before(oldest.until) {
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

// limitBuffers bounds what the kernel keeps of a connection.
func (p *Pool) limitBuffers(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok && p.socket > 0 {
		_, _ = tcp.SetReadBuffer(p.socket), tcp.SetWriteBuffer(p.socket) // A connection that ended says so when it is used.
	}
}
