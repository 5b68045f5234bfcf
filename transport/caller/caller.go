// Package caller is the edge towards callers of a gateway: it accepts
// connections, reads one request after the other from each, and hands every one
// to a [Handler] with a [ResponseWriter] to write to.
//
// What a request means is not known here. A handler that returns without having
// ended its answer has the connection cut, so that an answer that broke off
// never looks whole.
//
//	callers ── Conn ── Request, ResponseWriter ──► Handler
//
// A planned stop has two steps: Drain closes what is idle and has every further
// answer say that its connection ends; Close waits for what is under way.
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

// Handler answers one request. The context ends when the caller hangs up.
type Handler interface {
	Serve(ctx context.Context, req *fasthttp.Request, a *ResponseWriter)
	// ErrorResponse answers what could not be read as a request.
	ErrorResponse(status int, reason string) *fasthttp.Response
}

// Limits bound what a caller may send, and how long it may take.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	HeaderTime  time.Duration // HeaderTime is from the first byte to the end of the headers.
	BodyTime    time.Duration // BodyTime is for the body behind them.
	IdleTime    time.Duration // IdleTime is how long a connection may rest between requests.
}

// DefaultLimits hold before a configuration names others.
var DefaultLimits = Limits{
	HeaderBytes: 16 << 10,
	BodyBytes:   4 << 20,
	HeaderTime:  5 * time.Second,
	BodyTime:    30 * time.Second,
	IdleTime:    60 * time.Second,
}

// Server serves callers on one listener.
type Server struct {
	handler Handler
	memory  *Memory // memory is nil where nothing is admitted by it.
	pace    MinRate
	socket  int // socket is what the kernel may keep of a connection each way, in bytes; 0 leaves it to the kernel.
	log     zerolog.Logger

	refusalLogged time.Time // refusalLogged is when refusals were last logged; only Serve uses it.
	mostConns     int       // mostConns bounds the connections; 0 sets no bound.
	slow          [2]metrics.Counter
	refusedConns  metrics.Counter // refusedConns counts connections that were closed unread.
	evictions     metrics.Counter // evictions counts those that were closed for others.

	limits atomic.Pointer[Limits]
	drain  atomic.Bool
	cross  time.Duration // cross is crossTime, and more where a test is not to depend on it.
	mu     sync.Mutex    // mu guards all below.
	conns  map[*Conn]struct{}
	open   int           // open are the connections that were accepted and have not ended.
	ended  chan struct{} // ended is closed and replaced when one ends.
}

// Option changes a new server.
type Option func(*Server)

// WithMemory sets the account that bytes are taken from.
func WithMemory(m *Memory) Option { return func(s *Server) { s.memory = m } }

// WithMinRate sets the least rate of callers.
func WithMinRate(p MinRate) Option { return func(s *Server) { s.pace = p } }

// WithSocketBuffer bounds what the kernel keeps of a connection each way, which no account
// counts.
func WithSocketBuffer(bytes int) Option { return func(s *Server) { s.socket = bytes } }

// WithMaxConnections bounds the connections of callers; 0 sets no bound.
func WithMaxConnections(most int) Option { return func(s *Server) { s.mostConns = most } }

// WithLogger sets the logger; without it nothing is logged.
func WithLogger(l zerolog.Logger) Option { return func(s *Server) { s.log = l } }

// WithRegistry sets the registry of the server's counters.
func WithRegistry(r metrics.Registry) Option { return func(s *Server) { s.meter(r) } }

// NewServer returns a server that is not serving yet.
func NewServer(h Handler, opts ...Option) *Server {
	s := &Server{handler: h, cross: crossTime, pace: DefaultMinRate, log: zerolog.Nop(), conns: map[*Conn]struct{}{}, ended: make(chan struct{})}
	s.meter(metrics.NewRegistry())
	s.SetLimits(DefaultLimits)
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// The sides on which a caller can be too slow.
const (
	sends = iota
	reads
)

var sideNames = [2]string{"sends", "reads"}

func (s *Server) meter(r metrics.Registry) {
	s.refusedConns = metrics.GetOrRegisterCounter("connections.refused", r)
	s.evictions = metrics.GetOrRegisterCounter("connections.evicted", r)
	for i, name := range sideNames {
		s.slow[i] = metrics.GetOrRegisterCounter(fmt.Sprintf("callers.slow{side=%q}", name), r)
	}
}

// tooSlow notes a caller that is cut for its rate.
func (s *Server) tooSlow(c *Conn, side int) {
	s.slow[side].Inc(1)
	s.log.Info().Str("request", c.request).Str("workspace", c.hold.Workspace).Str("side", sideNames[side]).
		Int("rate", s.pace.Rate).Dur("window", s.pace.Window).Str("caller", c.net.RemoteAddr().String()).Msg("caller too slow")
}

// SetLimits puts other limits in force for the requests that follow.
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
			time.Sleep(acceptPause) // Out of descriptors: the next try may find one.
			continue
		}
		c := s.newConn(conn)
		if !s.admit(c) { // One after the other, so that the bound holds.
			_ = conn.Close()
			continue
		}
		s.track(c, true)
		go s.run(c)
	}
}

const acceptPause = 5 * time.Millisecond

// crossTime is for how long a draining server still reads requests on connections that rest:
// those that callers sent before they could know. Closed at once, a connection whose request
// has arrived and was not read yet is reset.
const crossTime = 100 * time.Millisecond

// Drain closes the connections that rest, and each other one behind its answer, a moment
// later.
func (s *Server) Drain() {
	s.drain.Store(true)
	s.mu.Lock()
	conns := make([]*Conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.expireIdle(s.cross)
	}
}

// Wait returns when no connection is left or ctx ends, and reports whether none is.
// Callers may go on connecting meanwhile.
func (s *Server) Wait(ctx context.Context) bool {
	for {
		s.mu.Lock()
		open, ended := s.open, s.ended
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

// end counts a connection as ended.
func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
	close(s.ended)
	s.ended = make(chan struct{})
}

func (s *Server) run(c *Conn) {
	defer s.end()
	defer func() {
		_ = c.net.Close()
		_ = c.out.awaitWritten() // Its goroutine uses the hold; behind the close it ends at once.
		s.memory.ReleaseAll(&c.hold)
		s.memory.ReleaseAll(&c.cost)
		s.track(c, false)
	}()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	for s.next(c, req) {
		req.Reset()
	}
}

// newConn returns the state of a connection that was accepted.
func (s *Server) newConn(conn net.Conn) *Conn {
	if tcp, ok := conn.(*net.TCPConn); ok && s.socket > 0 {
		_, _ = tcp.SetReadBuffer(s.socket), tcp.SetWriteBuffer(s.socket) // A connection that ended says so when it is read.
	}
	c := &Conn{net: conn, since: time.Now()} // It rests from now on, and not longest of all.
	c.out = newSendBuffer(conn, s.memory, &c.hold, s.pace, func() { s.tooSlow(c, reads) })
	c.br = bufio.NewReaderSize(c, readBuffer)
	c.bw = bufio.NewWriterSize(c.out, writeBuffer)
	return c
}

const (
	// readBuffer holds the headers of nearly all requests; see Conn.readHead.
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10
)

func (s *Server) track(c *Conn, add bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if add {
		s.open++
		s.conns[c] = struct{}{}
		return
	}
	delete(s.conns, c)
}

// next serves one request and reports whether the connection goes on.
func (s *Server) next(c *Conn, req *fasthttp.Request) bool {
	limits := s.limits.Load()
	if !c.enter(connIdle) || c.net.SetReadDeadline(time.Now().Add(limits.IdleTime)) != nil {
		return false
	}
	if s.drain.Load() {
		c.expireIdle(s.cross)
	}
	if _, err := c.br.Peek(1); err != nil || !c.enter(connHead) {
		return false
	}
	c.request, c.hold.Workspace, c.out.until = "", "", time.Time{}
	if err := s.read(c, req, limits); err != nil {
		s.refuse(c, req, err)
		return false
	}
	a := &ResponseWriter{conn: c, close: s.drain.Load() || req.Header.ConnectionClose()}
	ctx, cancel := context.WithCancel(context.Background())
	stop := c.watch(cancel)
	s.handler.Serve(ctx, req, a)
	req.ResetBody() // What follows may take long, and needs it no more.
	s.memory.Release(&c.hold, memory.Body, int(c.hold.Held(memory.Body)))
	err := c.out.awaitWritten()
	stop()
	cancel()
	s.memory.ReleaseAll(&c.hold)
	return a.ended && !a.close && err == nil
}

// read reads a whole request.
func (s *Server) read(c *Conn, req *fasthttp.Request, limits *Limits) error {
	if err := c.net.SetReadDeadline(time.Now().Add(limits.HeaderTime)); err != nil {
		return err
	}
	if err := c.readHead(req, limits.HeaderBytes); err != nil {
		return err
	}
	if !c.enter(connBusy) {
		return net.ErrClosed
	}
	err := s.readBody(c, req, limits)
	if isTimeout(err) {
		s.tooSlow(c, sends)
	}
	return err
}

// readFault names what was wrong without quoting the request, which may hold a
// key. The status is what to answer; -1 says that there is nobody to answer.
func readFault(err error) (status int, reason string) {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return fasthttp.StatusRequestEntityTooLarge, "the body is too large"
	case errors.As(err, &small):
		return fasthttp.StatusRequestHeaderFieldsTooLarge, "the headers are too large"
	case isTimeout(err):
		return fasthttp.StatusRequestTimeout, "the request did not arrive in time"
	case isBroken(err), errors.Is(err, net.ErrClosed):
		return -1, ""
	}
	return fasthttp.StatusBadRequest, "the request cannot be read"
}

// refuse answers what could not be read. The connection ends with it, since
// where the next request begins is not known.
func (s *Server) refuse(c *Conn, req *fasthttp.Request, err error) {
	a := &ResponseWriter{conn: c, close: true}
	var full *noRoom
	if admitter, ok := s.handler.(Admitter); ok && errors.As(err, &full) {
		_ = a.WriteResponse(admitter.OutOfMemoryResponse(req, full.decision)) // The connection is closed in any case.
		c.linger()
		return
	}
	status, reason := readFault(err)
	if status < 0 {
		return
	}
	_ = a.WriteResponse(s.handler.ErrorResponse(status, reason)) // The connection is closed in any case.
	c.linger()
}
