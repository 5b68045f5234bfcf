// Package caller is the HTTP server of a gateway's caller side: it accepts connections, reads
// requests from each one after the other, and passes every request to a [Handler] with a
// [ResponseWriter].
//
// The package does not interpret requests. If a handler returns without finishing its response,
// the connection is closed, so that a truncated response never looks complete.
//
//	callers ── Conn ── Request, ResponseWriter ──► Handler
//
// A graceful shutdown has two steps: Drain closes idle connections and makes every further
// response announce that its connection closes; Wait waits for the remaining connections.
package caller

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/coordination/memory"
)

// Handler serves requests. The context is canceled when the caller disconnects.
type Handler interface {
	Serve(ctx context.Context, req *fasthttp.Request, a *ResponseWriter)
	// ErrorResponse returns the response to input that could not be read as a request.
	ErrorResponse(status int, reason string) *fasthttp.Response
}

// Limits bound the size and duration of requests.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	HeaderTime  time.Duration // HeaderTime is the time from the first byte to the end of the headers.
	BodyTime    time.Duration // BodyTime is the time for the body after the headers.
	IdleTime    time.Duration // IdleTime is how long a connection may be idle between requests.
}

// DefaultLimits apply until a configuration sets others.
var DefaultLimits = Limits{
	HeaderBytes: 16 << 10,
	BodyBytes:   4 << 20,
	HeaderTime:  5 * time.Second,
	BodyTime:    30 * time.Second,
	IdleTime:    60 * time.Second,
}

// Server serves callers on one listener.
type Server struct {
	handler      Handler
	memory       *Memory // memory is nil if memory is not limited.
	minRate      MinRate
	socketBuffer int // socketBuffer is the kernel's buffer size in each direction, in bytes; 0 is the kernel's default.
	log          zerolog.Logger

	lastRefusalLog time.Time // lastRefusalLog is when refusals were last logged; only Serve uses it.
	maxConns       int       // maxConns bounds the connections; 0 means no bound.
	slowCallers    [2]metrics.Counter
	refusedConns   metrics.Counter // refusedConns counts connections that were closed without being read.
	evictions      metrics.Counter // evictions counts connections that were closed to make room for others.

	limits     atomic.Pointer[Limits]
	draining   atomic.Bool
	drainGrace time.Duration // drainGrace is drainGracePeriod, or longer in tests that must not depend on timing.
	mu         sync.Mutex    // mu guards all below.
	conns      map[*Conn]struct{}
	openConns  int           // openConns is the number of accepted connections that have not ended.
	connEnded  chan struct{} // connEnded is closed and replaced when a connection ends.
}

// Option configures a new server.
type Option func(*Server)

// WithMemory sets the memory account that bytes are reserved from.
func WithMemory(m *Memory) Option { return func(s *Server) { s.memory = m } }

// WithMinRate sets the minimum rate of callers.
func WithMinRate(p MinRate) Option { return func(s *Server) { s.minRate = p } }

// WithSocketBuffer bounds the kernel's buffers of a connection in each direction, which are not
// part of the memory account.
func WithSocketBuffer(bytes int) Option { return func(s *Server) { s.socketBuffer = bytes } }

// WithMaxConnections bounds the number of connections; 0 means no bound.
func WithMaxConnections(limit int) Option { return func(s *Server) { s.maxConns = limit } }

// WithLogger sets the logger; without it nothing is logged.
func WithLogger(l zerolog.Logger) Option { return func(s *Server) { s.log = l } }

// WithRegistry sets the registry of the server's counters.
func WithRegistry(r metrics.Registry) Option { return func(s *Server) { s.meter(r) } }

// NewServer returns a server that does not accept connections yet.
func NewServer(h Handler, opts ...Option) *Server {
	s := &Server{handler: h, drainGrace: drainGracePeriod, minRate: DefaultMinRate, log: zerolog.Nop(), conns: map[*Conn]struct{}{}, connEnded: make(chan struct{})}
	s.meter(metrics.NewRegistry())
	s.SetLimits(DefaultLimits)
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// The sides of a connection on which a caller can be too slow.
const (
	sendSide = iota
	readSide
)

var sideNames = [2]string{"sends", "reads"}

func (s *Server) meter(r metrics.Registry) {
	s.refusedConns = metrics.GetOrRegisterCounter("connections.refused", r)
	s.evictions = metrics.GetOrRegisterCounter("connections.evicted", r)
	for i, name := range sideNames {
		s.slowCallers[i] = metrics.GetOrRegisterCounter(fmt.Sprintf("callers.slow{side=%q}", name), r)
	}
}

// recordSlowCaller counts and logs a caller that is disconnected for its rate.
func (s *Server) recordSlowCaller(c *Conn, side int) {
	s.slowCallers[side].Inc(1)
	s.log.Info().Str("request", c.request).Str("workspace", c.requestHold.Workspace).Str("side", sideNames[side]).
		Int("rate", s.minRate.Rate).Dur("window", s.minRate.Window).Str("caller", c.net.RemoteAddr().String()).Msg("caller too slow")
}

// SetLimits sets the limits of subsequent requests.
func (s *Server) SetLimits(l Limits) { s.limits.Store(&l) }

// Conns returns the number of open connections.
func (s *Server) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Serve accepts callers until the listener is closed.
func (s *Server) Serve(ln net.Listener) error {
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(acceptRetryPause) // Possibly out of file descriptors; one may be free at the next try.
			continue
		}
		c := s.newConn(conn)
		if !s.admit(c) { // Not concurrent, so that the bound holds.
			_ = conn.Close()
			continue
		}
		s.track(c, true)
		go s.serveConn(c)
	}
}

const acceptRetryPause = 5 * time.Millisecond

// drainGracePeriod is how long a draining server still reads requests from idle connections,
// since callers may have sent them before they could notice. If a connection is closed
// immediately while a request has arrived but is unread, it is reset.
const drainGracePeriod = 100 * time.Millisecond

// Drain closes idle connections after drainGracePeriod, and every other connection after its
// response.
func (s *Server) Drain() {
	s.draining.Store(true)
	s.mu.Lock()
	conns := make([]*Conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.expireIdle(s.drainGrace)
	}
}

// Wait returns when no connection is open or ctx ends, and reports whether none is open.
// Callers may continue to connect meanwhile.
func (s *Server) Wait(ctx context.Context) bool {
	for {
		s.mu.Lock()
		open, ended := s.openConns, s.connEnded
		s.mu.Unlock()
		if open == 0 {
			return true
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return false
		}
	}
}

// connectionEnded updates the count of open connections and wakes Wait.
func (s *Server) connectionEnded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openConns--
	close(s.connEnded)
	s.connEnded = make(chan struct{})
}

func (s *Server) serveConn(c *Conn) {
	defer s.connectionEnded()
	defer func() {
		_ = c.net.Close()
		_ = c.sendBuffer.awaitWritten() // Its goroutine uses requestHold; it ends soon after the close.
		s.memory.ReleaseAll(&c.requestHold)
		s.memory.ReleaseAll(&c.connHold)
		s.track(c, false)
	}()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	for s.serveNext(c, req) {
		req.Reset()
	}
}

// newConn returns the state of an accepted connection.
func (s *Server) newConn(conn net.Conn) *Conn {
	if tcp, ok := conn.(*net.TCPConn); ok && s.socketBuffer > 0 {
		_, _ = tcp.SetReadBuffer(s.socketBuffer), tcp.SetWriteBuffer(s.socketBuffer) // A closed connection is noticed by the next read.
	}
	c := &Conn{net: conn, stateSince: time.Now()} // It is idle from now on; the zero time would make it the first to be evicted.
	c.sendBuffer = newSendBuffer(conn, s.memory, &c.requestHold, s.minRate, func() { s.recordSlowCaller(c, readSide) })
	c.br = bufio.NewReaderSize(c, readBuffer)
	c.bw = bufio.NewWriterSize(c.sendBuffer, writeBuffer)
	return c
}

const (
	// readBuffer is large enough for the headers of nearly all requests; see Conn.readHeaders.
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10
)

func (s *Server) track(c *Conn, add bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if add {
		s.openConns++
		s.conns[c] = struct{}{}
		return
	}
	delete(s.conns, c)
}

// serveNext serves one request and reports whether the connection stays open.
func (s *Server) serveNext(c *Conn, req *fasthttp.Request) bool {
	limits := s.limits.Load()
	if !c.enter(connIdle) || c.net.SetReadDeadline(time.Now().Add(limits.IdleTime)) != nil {
		return false
	}
	if s.draining.Load() {
		c.expireIdle(s.drainGrace)
	}
	if _, err := c.br.Peek(1); err != nil || !c.enter(connHeaders) {
		return false
	}
	c.request, c.requestHold.Workspace, c.sendBuffer.deadline = "", "", time.Time{}
	if err := s.readRequest(c, req, limits); err != nil {
		s.writeError(c, req, err)
		return false
	}
	a := &ResponseWriter{conn: c, closeAfter: s.draining.Load() || req.Header.ConnectionClose(), unframed: !req.Header.IsHTTP11()}
	ctx, cancel := context.WithCancel(context.Background())
	stop := c.watchClose(cancel)
	s.handler.Serve(ctx, req, a)
	req.ResetBody() // Writing the response may take long and does not need the body.
	s.memory.Release(&c.requestHold, memory.Body, int(c.requestHold.Held(memory.Body)))
	err := c.sendBuffer.awaitWritten()
	stop()
	cancel()
	s.memory.ReleaseAll(&c.requestHold)
	if a.unframed && a.started && !a.finished {
		c.resetOnClose()
	}
	return a.finished && !a.closeAfter && err == nil
}

// resetOnClose makes the close of the connection a reset. An ordinary close would end a truncated
// response that has neither a length nor chunks like a complete one.
func (c *Conn) resetOnClose() {
	if tcp, ok := c.net.(interface{ SetLinger(sec int) error }); ok {
		_ = tcp.SetLinger(0) // It fails only if the connection is closed already.
	}
}

// readRequest reads the headers and body of a request.
func (s *Server) readRequest(c *Conn, req *fasthttp.Request, limits *Limits) error {
	if err := c.net.SetReadDeadline(time.Now().Add(limits.HeaderTime)); err != nil {
		return err
	}
	if err := c.readHeaders(req, limits.HeaderBytes); err != nil {
		return err
	}
	if !c.enter(connBusy) {
		return net.ErrClosed
	}
	err := s.readBody(c, req, limits)
	if isTimeout(err) {
		s.recordSlowCaller(c, sendSide)
	}
	return err
}

// requestError returns the status and reason for a read error. The reason never quotes the
// request, which may contain a key. The status is -1 if the caller has disconnected.
func requestError(err error) (status int, reason string) {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return fasthttp.StatusRequestEntityTooLarge, "the body is too large"
	case errors.As(err, &small):
		return fasthttp.StatusRequestHeaderFieldsTooLarge, "the headers are too large"
	case isTimeout(err):
		return fasthttp.StatusRequestTimeout, "the request did not arrive in time"
	case isDisconnect(err), errors.Is(err, net.ErrClosed):
		return -1, ""
	}
	return fasthttp.StatusBadRequest, "the request cannot be read"
}

// writeError responds to a request that could not be read. The connection is closed after it,
// since the start of the next request is unknown.
func (s *Server) writeError(c *Conn, req *fasthttp.Request, err error) {
	a := &ResponseWriter{conn: c, closeAfter: true}
	var outOfMemory *outOfMemoryError
	if admitter, ok := s.handler.(Admitter); ok && errors.As(err, &outOfMemory) {
		_ = a.WriteResponse(admitter.OutOfMemoryResponse(req, outOfMemory.decision)) // The connection is closed in any case.
		c.linger()
		return
	}
	status, reason := requestError(err)
	if status < 0 {
		return
	}
	_ = a.WriteResponse(s.handler.ErrorResponse(status, reason)) // The connection is closed in any case.
	c.linger()
}
