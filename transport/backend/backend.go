// Package backend manages a gateway's connections to backend servers.
//
// A [Conn] is one HTTP/1.1 connection. It uses fasthttp's codec but manages the network
// connection itself: a verdict needs to know whether any byte of a request was written,
// and the request of a caller that disconnects must end at the server at once. A client
// with a pool of its own hides both.
//
// Connections are kept by server ID, not by address, as an address may be reassigned to
// another server. A connection that delivered unsolicited data is closed, never reused.
package backend

import (
	"bufio"
	"errors"
	"maps"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/internal/tcp"
)

const (
	// idleMargin is subtracted from the idle timeout that a server announces.
	idleMargin = 500 * time.Millisecond
	// defaultIdleTimeout is how long a connection may stay idle if the server announces no
	// timeout.
	defaultIdleTimeout = 4 * time.Second
	// maxIdleTimeout bounds the idle timeout that a server announces.
	maxIdleTimeout = 30 * time.Second
	readBuffer     = 4 << 10
	// ackTimeout is how long a server's kernel may acknowledge nothing: three packets in a
	// row must be lost, with retransmissions after 0.2 and 0.6 s. A request sent on a dead
	// connection then ends early, not at its deadline of up to 15 s, and a dead idle
	// connection is found closed before it is used.
	ackTimeout = time.Second
)

// ErrNotIdle is returned when an idle connection turned out to be closed or to have delivered
// data.
var ErrNotIdle = eris.New("the connection is not idle")

// Conn is one connection to a backend server.
type Conn struct {
	net         net.Conn
	br          *bufio.Reader
	bw          *bufio.Writer
	written     atomic.Int64  // written counts the bytes of the request that the kernel accepted.
	sent        atomic.Bool   // sent reports that the kernel accepted the whole request.
	used        bool          // used reports that an earlier request was sent on the connection.
	meter       Meter         // meter counts the bytes; nil for none.
	connectTime time.Duration // connectTime is the duration of the connect.
	idleUntil   time.Time     // idleUntil is when the connection must no longer be reused.

	stallTimeout time.Duration // stallTimeout is how long a server may accept nothing of a body.
	deadline     time.Time     // deadline is the deadline of the current request.
	pool         *Pool
	server       string // server is the ID of the server that the connection was taken for.
	writeErr     error  // writeErr is the failure of the connection that a write of the current request returned.
	closed       atomic.Bool
	bodyAborted  atomic.Bool // bodyAborted reports that the rest of the body is not needed.
}

// Meter counts the bytes that a connection carries.
type Meter interface {
	Sent(n int)
	Received(n int)
}

// SetMeter sets the meter that counts bytes from now on.
func (c *Conn) SetMeter(m Meter) { c.meter = m }

// Write implements io.Writer and counts the bytes.
func (c *Conn) Write(p []byte) (int, error) {
	if len(p) > concurrentBodyBytes {
		return c.writeChunks(p)
	}
	return c.writeNow(p)
}

// writeNow passes bytes to the kernel and records a failure of the connection. The kernel reports a
// reset once: the read that follows the write would see an ordinary end.
func (c *Conn) writeNow(p []byte) (int, error) {
	n, err := c.net.Write(p)
	c.countWritten(n)
	if isConnFailure(err) {
		c.writeErr = err
	}
	return n, err
}

// isConnFailure reports whether an error of a write means that the peer may not have sent all that it
// wanted to. With EPIPE it had closed its sending side before it reset the connection.
func isConnFailure(err error) bool {
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) && !errors.Is(err, syscall.EPIPE)
}

// countWritten counts bytes that the kernel accepted.
func (c *Conn) countWritten(n int) {
	c.written.Add(int64(n))
	if c.meter != nil {
		c.meter.Sent(n)
	}
}

// Read implements io.Reader and counts the bytes.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.net.Read(p)
	if c.meter != nil {
		c.meter.Received(n)
	}
	return n, err
}

// Wrote reports whether any byte of the current request may have reached the
// server.
func (c *Conn) Wrote() bool { return c.written.Load() > 0 }

// ConnectTime returns the duration of the connect: one round trip plus the server's delay in
// accepting.
func (c *Conn) ConnectTime() time.Duration { return c.connectTime }

// Sent reports whether the whole current request was written.
func (c *Conn) Sent() bool { return c.sent.Load() }

// Used reports whether an earlier request was sent on the connection.
func (c *Conn) Used() bool { return c.used }

// Close closes the connection, which a server treats as a cancellation. It may be called from
// any goroutine.
func (c *Conn) Close() {
	if !c.closed.Swap(true) {
		c.pool.openCount.Add(-1)
		c.pool.unmarkInUse(c)
	}
	_ = c.net.Close()
}

// concurrentBodyBytes is the body size from which the answer is read while the body is still
// being written: a server may answer before it has read the whole body.
const concurrentBodyBytes = 8 << 10

// Exchange writes a request, which must end by the deadline, and reads the head of the
// answer. early reports that the answer arrived before the whole request was written; the
// connection cannot be reused then.
func (c *Conn) Exchange(req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) (early bool, err error) {
	if err := c.net.SetDeadline(deadline); err != nil {
		return false, eris.Wrap(err, "set deadline")
	}
	c.deadline = deadline
	if len(req.Body()) < concurrentBodyBytes {
		if err := c.writeRequest(req); err != nil {
			return false, c.readEarlyAnswer(resp, err)
		}
		return false, c.ReadHead(resp)
	}
	sent := make(chan bool, 1)
	var stalled error
	go func() {
		err := c.writeRequest(req)
		if errors.Is(err, ErrStalled) {
			stalled = err
			c.Close() // Ends the read of the answer's head.
		}
		sent <- err == nil
	}()
	err = c.ReadHead(resp)
	select {
	case complete := <-sent:
		if err != nil && stalled != nil {
			err = stalled
		}
		return !complete, err
	default:
	}
	if err == nil {
		// The rest of the body is not needed. This ends a blocked write.
		c.bodyAborted.Store(true)
		_ = c.net.SetWriteDeadline(time.Unix(1, 0))
	} else {
		c.Close()
	}
	<-sent // The request must not be in use after the return.
	if err != nil && stalled != nil {
		err = stalled
	}
	return true, err
}

func (c *Conn) writeRequest(req *fasthttp.Request) error {
	if err := req.Write(c.bw); err != nil {
		return eris.Wrap(err, "write request")
	}
	if err := c.bw.Flush(); err != nil {
		return eris.Wrap(err, "write request")
	}
	c.sent.Store(true)
	return nil
}

// readEarlyAnswer reads an answer that a server sent before it closed its side of the
// connection during the request. Without an answer, it returns the write's error.
func (c *Conn) readEarlyAnswer(resp *fasthttp.Response, failed error) error {
	if !c.Wrote() || c.ReadHead(resp) != nil {
		return failed
	}
	return nil
}

// ReadHead reads the head of an answer and leaves the body in the connection.
func (c *Conn) ReadHead(resp *fasthttp.Response) error { return ReadHead(c.br, resp) }

// Body returns a reader for the body of an answer.
func (c *Conn) Body(resp *fasthttp.Response) *Body {
	b := NewBody(c.br, resp)
	if c.writeErr != nil {
		b.closeErr = eris.Wrap(c.writeErr, "the connection failed while the request was sent")
	}
	return b
}

func hasBody(status int) bool {
	return status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified
}

// Clean reports whether the connection has delivered no unsolicited data.
func (c *Conn) Clean() bool { return c.br.Buffered() == 0 }

// Pool keeps idle connections by server ID.
type Pool struct {
	dial           DialFunc
	dialTimeout    time.Duration
	stallTimeout   time.Duration
	socketBuffer   int
	maxConnections int          // maxConnections bounds the open connections; 0 for no bound.
	openCount      atomic.Int64 // openCount is the number of open connections.
	opened         atomic.Int64
	mu             sync.Mutex // mu guards idle.
	idle           map[string][]*Conn
	inUseMu        sync.Mutex // inUseMu guards inUse; no other lock is taken while it is held.
	inUse          map[string]map[*Conn]struct{}
}

// DialFunc opens a connection to an address within a limit.
type DialFunc func(address string, limit time.Duration) (net.Conn, error)

// DialServers returns a DialFunc for backend servers, whose connections come from an IP address;
// empty for the kernel's choice.
func DialServers(source string) DialFunc {
	return func(address string, limit time.Duration) (net.Conn, error) {
		return tcp.DialFrom(source, address, limit, ackTimeout)
	}
}

// NewPool returns a pool with the given timeout for connects.
func NewPool(dial time.Duration, opts ...PoolOption) *Pool {
	p := &Pool{dial: DialServers(""), dialTimeout: dial, stallTimeout: defaultStallTimeout, idle: map[string][]*Conn{}, inUse: map[string]map[*Conn]struct{}{}}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() int64 { return p.opened.Load() }

// Get returns a connection to a server: a usable idle one, or a new one that is opened before
// the deadline.
func (p *Pool) Get(server, address string, deadline time.Time) (*Conn, error) {
	for {
		c := p.pop(server)
		if c == nil {
			c, err := p.open(address, deadline)
			if err == nil {
				p.markInUse(server, c)
			}
			return c, err
		}
		if clock.Now().Before(c.idleUntil) && idleAndQuiet(c.net) {
			p.markInUse(server, c)
			return c, nil
		}
		c.Close()
	}
}

// markInUse records that a connection is taken for a request.
func (p *Pool) markInUse(server string, c *Conn) {
	p.inUseMu.Lock()
	defer p.inUseMu.Unlock()
	c.server = server
	if p.inUse[server] == nil {
		p.inUse[server] = map[*Conn]struct{}{}
	}
	p.inUse[server][c] = struct{}{}
}

// unmarkInUse records that a connection is no longer in use.
func (p *Pool) unmarkInUse(c *Conn) {
	p.inUseMu.Lock()
	defer p.inUseMu.Unlock()
	delete(p.inUse[c.server], c)
	if len(p.inUse[c.server]) == 0 {
		delete(p.inUse, c.server)
	}
}

// CloseInUse closes the connections in use to a server that has terminated, and returns their
// number. A server that terminated behind a network partition does not close them itself.
func (p *Pool) CloseInUse(server string) int {
	p.inUseMu.Lock()
	list := slices.Collect(maps.Keys(p.inUse[server]))
	p.inUseMu.Unlock()
	for _, c := range list {
		c.Close()
	}
	return len(list)
}

func (p *Pool) open(address string, deadline time.Time) (*Conn, error) {
	limit := min(p.dialTimeout, time.Until(deadline))
	if limit <= 0 {
		return nil, eris.New("no time is left to connect")
	}
	if !p.reserve() {
		return nil, ErrTooManyConnections
	}
	started := time.Now()
	conn, err := p.dial(address, limit)
	if err != nil {
		p.openCount.Add(-1)
		return nil, eris.Wrap(err, "connect")
	}
	p.opened.Add(1)
	p.limitBuffers(conn)
	c := &Conn{net: conn, connectTime: time.Since(started), stallTimeout: p.stallTimeout, pool: p}
	c.br, c.bw = bufio.NewReaderSize(c, readBuffer), bufio.NewWriterSize(c, readBuffer)
	return c, nil
}

func (p *Pool) pop(server string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[server]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[server] = list[:len(list)-1]
	return c
}

// Put keeps a connection whose answer was read to its end, unless it cannot be reused.
// idleTimeout is how long the server keeps it idle; 0 if unknown.
func (p *Pool) Put(server string, c *Conn, idleTimeout time.Duration) {
	if !c.Clean() || c.net.SetDeadline(time.Time{}) != nil {
		c.Close()
		return
	}
	idle := defaultIdleTimeout
	if idleTimeout > 0 {
		idle = min(idleTimeout-idleMargin, maxIdleTimeout)
	}
	if idle <= 0 {
		c.Close()
		return
	}
	c.used, c.writeErr = true, nil
	c.written.Store(0)
	c.sent.Store(false)
	c.idleUntil = clock.Now().Add(idle)
	p.unmarkInUse(c)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[server] = append(p.idle[server], c)
}

// Retain closes the idle connections that have expired or whose server is not listed.
func (p *Pool) Retain(listed func(id string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	for id, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if listed(id) && now.Before(c.idleUntil) {
				kept = append(kept, c)
				continue
			}
			c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, id)
			continue
		}
		p.idle[id] = kept
	}
}
