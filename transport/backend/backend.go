// Package backend holds the connections of a gateway to backend servers.
//
// A [Conn] is one HTTP/1.1 connection. The codec is fasthttp's; the connection
// is ours, because a verdict needs to know whether a byte of a request was
// written, and because a caller that hangs up must end its request at the server
// at once. A pooled client hides both.
//
// Connections are kept by the server's identity, not by its address: an address
// may come to belong to another server. One that delivered anything that was
// not asked for is closed, never reused.
package backend

import (
	"bufio"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/internal/tcp"
)

const (
	// idleMargin is taken off the time that a server says it keeps a connection.
	idleMargin = 500 * time.Millisecond
	// idleUsual is how long a connection may rest where the server says nothing.
	idleUsual = 4 * time.Second
	// idleMost bounds what a server says.
	idleMost   = 30 * time.Second
	readBuffer = 4 << 10
	// silentServer is how long a server's kernel may acknowledge nothing: three packets
	// in a row must be lost, repeated after 0.2 and 0.6 s. A request that was sent into
	// a silent connection ends then, and not at its deadline of up to 15 s; one that
	// rests is found closed before it is used.
	silentServer = time.Second
)

// ErrNotIdle is returned when a connection that rested turned out to be closed
// or to have delivered something.
var ErrNotIdle = eris.New("the connection did not rest")

// Conn is one connection to a backend server.
type Conn struct {
	net         net.Conn
	br          *bufio.Reader
	bw          *bufio.Writer
	wrote       atomic.Int64  // wrote counts the bytes of the request that the kernel took.
	sent        atomic.Bool   // sent says that the kernel took all of the request.
	used        bool          // used says that a request went over it before.
	meter       Meter         // meter counts the bytes; nil for none.
	connectTime time.Duration // connectTime is how long the connect took.
	until       time.Time     // until is when it may rest no longer.

	stall        time.Duration // stall is how long a server may take nothing of a body.
	deadline     time.Time     // deadline is the current request's.
	pool         *Pool
	server       string // server is the one that the connection was taken for.
	closed       atomic.Bool
	bodyUnwanted atomic.Bool // bodyUnwanted says that the rest of its body is not wanted.
}

// Meter counts the bytes that a connection carries.
type Meter interface {
	Sent(n int)
	Received(n int)
}

// SetMeter has a meter count the bytes from now on, until another one is set.
func (c *Conn) SetMeter(m Meter) { c.meter = m }

// Write implements io.Writer and counts.
func (c *Conn) Write(p []byte) (int, error) {
	if len(p) > bodyAlone {
		return c.writeAll(p)
	}
	n, err := c.net.Write(p)
	c.count(n)
	return n, err
}

// count counts bytes that the kernel took.
func (c *Conn) count(n int) {
	c.wrote.Add(int64(n))
	if c.meter != nil {
		c.meter.Sent(n)
	}
}

// Read implements io.Reader and counts.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.net.Read(p)
	if c.meter != nil {
		c.meter.Received(n)
	}
	return n, err
}

// Wrote reports whether any byte of the current request may have reached the
// server.
func (c *Conn) Wrote() bool { return c.wrote.Load() > 0 }

// ConnectTime returns how long the connect took: a round trip, and the server's wait.
func (c *Conn) ConnectTime() time.Duration { return c.connectTime }

// Sent reports whether all of the current request was written.
func (c *Conn) Sent() bool { return c.sent.Load() }

// Used reports whether an earlier request went over the connection.
func (c *Conn) Used() bool { return c.used }

// Close closes the connection, which a server takes as a cancellation. It may
// be called from any goroutine.
func (c *Conn) Close() {
	if !c.closed.Swap(true) {
		c.pool.count.Add(-1)
		c.pool.release(c)
	}
	_ = c.net.Close()
}

// bodyAlone is the size of a body above which the answer is read while the body
// is still written: a server may answer before it has read all.
const bodyAlone = 8 << 10

// Exchange writes a request, to be done by a deadline, and reads the head of
// the answer. Early says that the answer came before all of the request was
// written; the connection is of no further use then.
func (c *Conn) Exchange(req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) (early bool, err error) {
	if err := c.net.SetDeadline(deadline); err != nil {
		return false, eris.Wrap(err, "set deadline")
	}
	c.deadline = deadline
	if len(req.Body()) < bodyAlone {
		if err := c.send(req); err != nil {
			return false, c.earlyAnswer(resp, err)
		}
		return false, c.ReadHead(resp)
	}
	sent := make(chan bool, 1)
	var stalled error
	go func() {
		err := c.send(req)
		if errors.Is(err, ErrStalled) {
			stalled = err
			c.Close() // No answer is waited for: the head's read ends.
		}
		sent <- err == nil
	}()
	err = c.ReadHead(resp)
	select {
	case whole := <-sent:
		if err != nil && stalled != nil {
			err = stalled
		}
		return !whole, err
	default:
	}
	if err == nil {
		// The rest of the body is not wanted. A write that waits ends here.
		c.bodyUnwanted.Store(true)
		_ = c.net.SetWriteDeadline(time.Unix(1, 0))
	} else {
		c.Close()
	}
	<-sent // The request must not be used any more when this returns.
	if err != nil && stalled != nil {
		err = stalled
	}
	return true, err
}

func (c *Conn) send(req *fasthttp.Request) error {
	if err := req.Write(c.bw); err != nil {
		return eris.Wrap(err, "write request")
	}
	if err := c.bw.Flush(); err != nil {
		return eris.Wrap(err, "write request")
	}
	c.sent.Store(true)
	return nil
}

// earlyAnswer reads an answer that a server sent before it closed its side under the
// request. Without an answer the write's error stands.
func (c *Conn) earlyAnswer(resp *fasthttp.Response, failed error) error {
	if !c.Wrote() || c.ReadHead(resp) != nil {
		return failed
	}
	return nil
}

// ReadHead reads the head of an answer; its body is left in the connection.
func (c *Conn) ReadHead(resp *fasthttp.Response) error {
	for {
		if err := resp.Header.Read(c.br); err != nil {
			return eris.Wrap(err, "read answer")
		}
		if resp.StatusCode() >= fasthttp.StatusOK {
			return nil
		}
		resp.Header.Reset() // An interim answer.
	}
}

// Body returns the reader of an answer's body. Its end is io.EOF only when the
// body is whole.
func (c *Conn) Body(resp *fasthttp.Response) (*Body, error) {
	resp.StreamBody = true
	if resp.Header.ContentLength() == 0 || !hasBody(resp.StatusCode()) {
		return &Body{}, nil
	}
	if err := resp.ReadBody(c.br, 0); err != nil {
		return nil, eris.Wrap(err, "read answer")
	}
	return &Body{stream: resp.BodyStream()}, nil
}

func hasBody(status int) bool {
	return status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified
}

// Clean reports whether the connection holds nothing that was not asked for.
func (c *Conn) Clean() bool { return c.br.Buffered() == 0 }

// Pool keeps idle connections by the server's identity.
type Pool struct {
	dial   time.Duration
	stall  time.Duration
	socket int
	most   int          // most bounds the open connections; 0 sets no bound.
	count  atomic.Int64 // count are the open connections.
	opens  atomic.Int64
	mu     sync.Mutex // mu guards idle.
	idle   map[string][]*Conn
	usedMu sync.Mutex // usedMu guards used; no other lock is taken under it.
	used   map[string]map[*Conn]struct{}
}

// NewPool returns a pool that gives up a connect after a time.
func NewPool(dial time.Duration, opts ...PoolOption) *Pool {
	p := &Pool{dial: dial, stall: stallTime, idle: map[string][]*Conn{}, used: map[string]map[*Conn]struct{}{}}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Opened counts the connections opened since the start.
func (p *Pool) Opened() int64 { return p.opens.Load() }

// Get returns a connection to a server: one that rests and is sound, or a new
// one, to be opened by a deadline.
func (p *Pool) Get(server, address string, deadline time.Time) (*Conn, error) {
	for {
		c := p.pop(server)
		if c == nil {
			c, err := p.open(address, deadline)
			if err == nil {
				p.use(server, c)
			}
			return c, err
		}
		if clock.Now().Before(c.until) && resting(c.net) {
			p.use(server, c)
			return c, nil
		}
		c.Close()
	}
}

// use notes a connection that is taken for a request.
func (p *Pool) use(server string, c *Conn) {
	p.usedMu.Lock()
	defer p.usedMu.Unlock()
	c.server = server
	if p.used[server] == nil {
		p.used[server] = map[*Conn]struct{}{}
	}
	p.used[server][c] = struct{}{}
}

// release notes that a connection is in use no more.
func (p *Pool) release(c *Conn) {
	p.usedMu.Lock()
	defer p.usedMu.Unlock()
	delete(p.used[c.server], c)
	if len(p.used[c.server]) == 0 {
		delete(p.used, c.server)
	}
}

// CloseInUse closes the connections that are in use to a server which has ended, and returns how
// many: one that ended behind a cut closes none itself.
func (p *Pool) CloseInUse(server string) int {
	p.usedMu.Lock()
	list := slices.Collect(maps.Keys(p.used[server]))
	p.usedMu.Unlock()
	for _, c := range list {
		c.Close()
	}
	return len(list)
}

func (p *Pool) open(address string, deadline time.Time) (*Conn, error) {
	limit := min(p.dial, time.Until(deadline))
	if limit <= 0 {
		return nil, eris.New("no time is left to connect")
	}
	if !p.reserve() {
		return nil, ErrTooManyConnections
	}
	began := time.Now()
	conn, err := tcp.Dial(address, limit, silentServer)
	if err != nil {
		p.count.Add(-1)
		return nil, eris.Wrap(err, "connect")
	}
	p.opens.Add(1)
	p.limitBuffers(conn)
	c := &Conn{net: conn, connectTime: time.Since(began), stall: p.stall, pool: p}
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

// Put keeps a connection whose answer was read to its end, unless the server or
// what it sent says otherwise. Keeps is how long the server keeps it; 0 where it
// did not say.
func (p *Pool) Put(server string, c *Conn, keeps time.Duration) {
	if !c.Clean() || c.net.SetDeadline(time.Time{}) != nil {
		c.Close()
		return
	}
	rest := idleUsual
	if keeps > 0 {
		rest = min(keeps-idleMargin, idleMost)
	}
	if rest <= 0 {
		c.Close()
		return
	}
	c.used = true
	c.wrote.Store(0)
	c.sent.Store(false)
	c.until = clock.Now().Add(rest)
	p.release(c)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[server] = append(p.idle[server], c)
}

// Retain closes the idle connections to all servers but those named.
func (p *Pool) Retain(server func(id string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	for id, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if server(id) && now.Before(c.until) {
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
