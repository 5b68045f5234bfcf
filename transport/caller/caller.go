// Package caller is the edge towards callers of a gateway: it accepts
// connections, reads one request after the other from each, and hands every one
// to a [Handler] with an [Answer] to write to.
//
// What a request means is not known here. A handler that returns without having
// ended its answer has the connection cut, so that an answer that broke off
// never looks whole.
//
//	callers ── Conn ── Request, Answer ──► Handler
//
// A planned stop has two steps: Drain closes what is idle and has every further
// answer say that its connection ends; Close waits for what is under way.
package caller

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// Handler answers one request. The context ends when the caller hangs up.
type Handler interface {
	Serve(ctx context.Context, req *fasthttp.Request, a *Answer)
	// Refuse answers what could not be read as a request.
	Refuse(status int, reason string) *fasthttp.Response
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

// writeStall is how long a caller may take no byte of an answer.
const writeStall = 10 * time.Second

// Server serves callers on one listener.
type Server struct {
	handler Handler
	limits  atomic.Pointer[Limits]
	drain   atomic.Bool
	mu      sync.Mutex // mu guards all below.
	conns   map[*Conn]struct{}
	open    int           // open are the connections that were accepted and have not ended.
	ended   chan struct{} // ended is closed and replaced when one ends.
}

// NewServer returns a server that is not serving yet.
func NewServer(h Handler) *Server {
	s := &Server{handler: h, conns: map[*Conn]struct{}{}, ended: make(chan struct{})}
	s.SetLimits(DefaultLimits)
	return s
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
		s.mu.Lock()
		s.open++
		s.mu.Unlock()
		go s.run(conn)
	}
}

const acceptPause = 5 * time.Millisecond

// Drain closes the connections that rest, and each other one behind its answer.
func (s *Server) Drain() {
	s.drain.Store(true)
	s.mu.Lock()
	conns := make([]*Conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.closeIdle()
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

func (s *Server) run(conn net.Conn) {
	defer s.end()
	c := &Conn{net: conn, stall: writeStall}
	c.br = bufio.NewReaderSize(conn, readBuffer)
	c.bw = bufio.NewWriterSize(c, writeBuffer)
	s.track(c, true)
	defer func() {
		s.track(c, false)
		_ = conn.Close()
	}()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	for s.next(c, req) {
		req.Reset()
	}
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
	if s.drain.Load() && c.br.Buffered() == 0 {
		return false
	}
	if _, err := c.br.Peek(1); err != nil || !c.enter(connBusy) {
		return false
	}
	if status, reason := s.read(c, req, limits); status != 0 {
		s.refuse(c, status, reason)
		return false
	}
	a := &Answer{conn: c, close: s.drain.Load() || req.Header.ConnectionClose()}
	ctx, cancel := context.WithCancel(context.Background())
	stop := c.watch(cancel)
	s.handler.Serve(ctx, req, a)
	stop()
	cancel()
	return a.ended && !a.close
}

// read reads a whole request. A status other than 0 says what to answer where
// that failed; -1 that there is nobody to answer.
func (s *Server) read(c *Conn, req *fasthttp.Request, limits *Limits) (status int, reason string) {
	if c.net.SetReadDeadline(time.Now().Add(limits.HeaderTime)) != nil {
		return -1, ""
	}
	if err := c.readHead(req, limits.HeaderBytes); err != nil {
		return readFault(err)
	}
	if c.net.SetReadDeadline(time.Now().Add(limits.BodyTime)) != nil {
		return -1, ""
	}
	if req.MayContinue() {
		if _, err := c.bw.WriteString("HTTP/1.1 100 Continue\r\n\r\n"); err != nil || c.bw.Flush() != nil {
			return -1, ""
		}
	}
	if err := req.ContinueReadBody(c.br, limits.BodyBytes, false); err != nil {
		return readFault(err)
	}
	return 0, ""
}

// readFault names what was wrong without quoting the request, which may hold a
// key.
func readFault(err error) (status int, reason string) {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return fasthttp.StatusRequestEntityTooLarge, "the body is too large"
	case errors.As(err, &small):
		return fasthttp.StatusRequestHeaderFieldsTooLarge, "the headers are too large"
	case isTimeout(err):
		return fasthttp.StatusRequestTimeout, "the request did not arrive in time"
	case isBroken(err):
		return -1, ""
	}
	return fasthttp.StatusBadRequest, "the request cannot be read"
}

// refuse answers what could not be read. The connection ends with it, since
// where the next request begins is not known.
func (s *Server) refuse(c *Conn, status int, reason string) {
	if status < 0 {
		return
	}
	a := &Answer{conn: c, close: true}
	_ = a.Whole(s.handler.Refuse(status, reason)) // The connection is closed in any case.
}
