package caller

import (
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/coordination/memory"
)

// Admitter is a Handler that knows whose request it is once its headers are read.
type Admitter interface {
	Handler
	// Owner names a request and its workspace; the workspace is empty where it is
	// not known.
	Owner(req *fasthttp.Request) (request, workspace string)
	// OutOfMemoryResponse answers a request that was refused for want of memory: it has not run.
	OutOfMemoryResponse(req *fasthttp.Request, v memory.Decision) *fasthttp.Response
}

// firstBuffer, in bytes, is the first buffer of a body without a length.
const firstBuffer = 16 << 10

// noRoom is a request that was refused for want of memory.
type noRoom struct{ decision memory.Decision }

// Error implements error.
func (*noRoom) Error() string { return "no memory is left for the request" }

// readBody reads the body behind the headers. What it needs is taken from the account
// before it is read: at once where its length is told, else as it grows. A body that
// fits into the connection's buffer is a part of what the connection costs.
func (s *Server) readBody(c *Conn, req *fasthttp.Request, limits *Limits) error {
	length, most := req.Header.ContentLength(), s.memory.most(limits.BodyBytes)
	if length > most {
		return fasthttp.ErrBodyTooLarge
	}
	if length > readBuffer || length == -1 {
		s.setOwner(c, req)
	}
	if length > readBuffer {
		if v := s.memory.Reserve(&c.hold, memory.Body, length); !v.Granted {
			return &noRoom{v}
		}
	}
	if req.MayContinue() {
		if err := c.sayContinue(); err != nil {
			return err
		}
	}
	if err := c.paceReads(s.pace, limits); err != nil {
		return err
	}
	defer c.endPace()
	switch {
	case length > readBuffer:
		body := make([]byte, length) // The codec's own buffer would be up to twice as large.
		if _, err := io.ReadFull(c.br, body); err != nil {
			return err
		}
		req.SetBodyRaw(body)
		return nil
	case length == -1 && s.memory != nil:
		return s.readPieces(c, req, most)
	}
	return req.ContinueReadBody(c.br, most, false)
}

// sayContinue asks for the body, and returns when that is written: a rest of it that
// still waits must not meet what the request sets for its own answer.
func (c *Conn) sayContinue() error {
	if _, err := c.bw.WriteString("HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return err
	}
	if err := c.bw.Flush(); err != nil {
		return err
	}
	return c.out.awaitWritten()
}

// setOwner tells the account which workspace the request belongs to.
func (s *Server) setOwner(c *Conn, req *fasthttp.Request) {
	if a, ok := s.handler.(Admitter); ok && s.memory != nil {
		c.request, c.hold.Workspace = a.Owner(req)
	}
}

// readPieces reads a body whose length is not told.
func (s *Server) readPieces(c *Conn, req *fasthttp.Request, most int) error {
	if err := req.ContinueReadBodyStream(c.br, most, false); err != nil {
		return err
	}
	stream, body := req.BodyStream(), []byte(nil)
	for {
		if len(body) == cap(body) {
			grown, err := s.grow(c, body, most)
			if err != nil {
				return err
			}
			body = grown
		}
		n, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if len(body) > most {
			return fasthttp.ErrBodyTooLarge
		}
		if errors.Is(err, io.EOF) {
			if len(body) == 0 {
				req.Header.SetContentLength(0)
			}
			req.SetBodyRaw(body)
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// grow returns the body with more room, taken from the account.
func (s *Server) grow(c *Conn, body []byte, most int) ([]byte, error) {
	size := memory.GrownSize(cap(body), firstBuffer, most+1)
	if size <= cap(body) {
		return nil, fasthttp.ErrBodyTooLarge
	}
	// The byte beyond the most, which finds the end, would never be taken.
	if v := s.memory.Reserve(&c.hold, memory.Body, min(size, most)-cap(body)); !v.Granted {
		return nil, &noRoom{v}
	}
	return append(make([]byte, 0, size), body...), nil
}

// paceReads holds the caller to the pace until endPace. A window is never shorter than
// twice what a caller may take for its headers, so that one who is in time there is in
// time here.
func (c *Conn) paceReads(p MinRate, limits *Limits) error {
	p.Window = max(p.Window, 2*limits.HeaderTime)
	now := time.Now()
	c.reads.begin(p, now)
	c.lastRead = now.Add(limits.BodyTime)
	c.paced = true
	return c.net.SetReadDeadline(earlier(c.reads.end, c.lastRead))
}

// endPace holds the caller to no pace any more.
func (c *Conn) endPace() { c.paced = false }

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Read implements io.Reader and notes whether the caller keeps the pace.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.net.Read(p)
	if !c.paced {
		return n, err
	}
	if isTimeout(err) && c.restartIfFrozen() {
		n, err = c.net.Read(p)
	}
	if err == nil && c.reads.add(n, time.Now) {
		err = c.net.SetReadDeadline(earlier(c.reads.end, c.lastRead))
	}
	return n, err
}

// restartIfFrozen gives the caller another window if the process was frozen at the end of
// the last one.
func (c *Conn) restartIfFrozen() bool {
	return c.reads.end.Before(c.lastRead) && c.reads.restartIfFrozen(time.Now()) && c.net.SetReadDeadline(earlier(c.reads.end, c.lastRead)) == nil
}

const (
	// lingerTime and lingerBytes bound what is read and thrown away of a caller who is
	// refused while it sends. Closed at once, its connection would be reset, and the
	// answer lost with it. A caller who reads while it writes stops by itself; a link of
	// 10 Mbit/s carries most bodies in the time.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 4 << 20
)

// linger lets a refused caller read its answer.
func (c *Conn) linger() {
	half, ok := c.net.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil || c.net.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(c.br, lingerBytes)) // However it ends, the connection is closed.
}
