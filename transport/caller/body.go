package caller

import (
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/coordination/memory"
)

// Admitter is a Handler that can identify a request's workspace from its headers.
type Admitter interface {
	Handler
	// Owner returns the request's ID and workspace. The workspace is empty if it is unknown.
	Owner(req *fasthttp.Request) (request, workspace string)
	// OutOfMemoryResponse returns the response to a request that was refused for lack of memory
	// and has not run.
	OutOfMemoryResponse(req *fasthttp.Request, v memory.Decision) *fasthttp.Response
}

// initialBodyBuffer is the initial buffer size of a body of unknown length, in bytes.
const initialBodyBuffer = 16 << 10

// outOfMemoryError is the error of a request that was refused for lack of memory.
type outOfMemoryError struct{ decision memory.Decision }

// Error implements error.
func (*outOfMemoryError) Error() string { return "no memory is left for the request" }

// readBody reads the body after the headers. Its memory is reserved before it is read: all at
// once if its length is announced, otherwise as it grows. A body that fits into the
// connection's buffer is covered by the charge for the connection.
func (s *Server) readBody(c *Conn, req *fasthttp.Request, limits *Limits) error {
	length, limit := req.Header.ContentLength(), s.memory.maxBody(limits.BodyBytes)
	if length > limit {
		return fasthttp.ErrBodyTooLarge
	}
	if length > readBuffer || length == -1 {
		s.setOwner(c, req)
	}
	if length > readBuffer {
		if v := s.memory.Reserve(&c.requestHold, memory.Body, length); !v.Granted {
			return &outOfMemoryError{v}
		}
	}
	if req.MayContinue() {
		if err := c.writeContinue(); err != nil {
			return err
		}
	}
	if err := c.startRateCheck(s.minRate, limits); err != nil {
		return err
	}
	defer c.stopRateCheck()
	switch {
	case length > readBuffer:
		body := make([]byte, length) // The codec's buffer would be up to twice as large.
		if _, err := io.ReadFull(c.br, body); err != nil {
			return err
		}
		req.SetBodyRaw(body)
		return nil
	case length == -1 && s.memory != nil:
		return s.readChunked(c, req, limit)
	}
	return req.ContinueReadBody(c.br, limit, false)
}

// writeContinue sends "100 Continue" and returns once it is written. Otherwise buffered bytes
// of it would be subject to the settings that the request makes for its own response.
func (c *Conn) writeContinue() error {
	if _, err := c.bw.WriteString("HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return err
	}
	if err := c.bw.Flush(); err != nil {
		return err
	}
	return c.sendBuffer.awaitWritten()
}

// setOwner sets the workspace that is charged for the request's memory.
func (s *Server) setOwner(c *Conn, req *fasthttp.Request) {
	if a, ok := s.handler.(Admitter); ok && s.memory != nil {
		c.request, c.requestHold.Workspace = a.Owner(req)
	}
}

// readChunked reads a body of unknown length.
func (s *Server) readChunked(c *Conn, req *fasthttp.Request, limit int) error {
	if err := req.ContinueReadBodyStream(c.br, limit, false); err != nil {
		return err
	}
	stream, body := req.BodyStream(), []byte(nil)
	for {
		if len(body) == cap(body) {
			grown, err := s.growBody(c, body, limit)
			if err != nil {
				return err
			}
			body = grown
		}
		n, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if len(body) > limit {
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

// growBody returns the body with a larger capacity, after reserving the memory for it.
func (s *Server) growBody(c *Conn, body []byte, limit int) ([]byte, error) {
	size := memory.GrownSize(cap(body), initialBodyBuffer, limit+1)
	if size <= cap(body) {
		return nil, fasthttp.ErrBodyTooLarge
	}
	// The last byte, which is beyond the limit and only detects the end, is not charged: a
	// reservation of that size would never be granted.
	if v := s.memory.Reserve(&c.requestHold, memory.Body, min(size, limit)-cap(body)); !v.Granted {
		return nil, &outOfMemoryError{v}
	}
	return append(make([]byte, 0, size), body...), nil
}

// startRateCheck enforces the minimum rate on reads until stopRateCheck. A window is at least
// twice the time allowed for headers, so that a caller that is fast enough for its headers is
// fast enough for its body.
func (c *Conn) startRateCheck(p MinRate, limits *Limits) error {
	p.Window = max(p.Window, 2*limits.HeaderTime)
	now := time.Now()
	c.readWindow.start(p, now)
	c.bodyDeadline = now.Add(limits.BodyTime)
	c.rateChecked = true
	return c.net.SetReadDeadline(earlier(c.readWindow.end, c.bodyDeadline))
}

// stopRateCheck stops enforcing the minimum rate.
func (c *Conn) stopRateCheck() { c.rateChecked = false }

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Read implements io.Reader and checks the minimum rate.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.net.Read(p)
	if !c.rateChecked {
		return n, err
	}
	if isTimeout(err) && c.restartIfFrozen() {
		n, err = c.net.Read(p)
	}
	if err == nil && c.readWindow.add(n, time.Now) {
		err = c.net.SetReadDeadline(earlier(c.readWindow.end, c.bodyDeadline))
	}
	return n, err
}

// restartIfFrozen restarts the window if the process was suspended when it ended, and reports
// whether it did.
func (c *Conn) restartIfFrozen() bool {
	return c.readWindow.end.Before(c.bodyDeadline) && c.readWindow.restartIfFrozen(time.Now()) && c.net.SetReadDeadline(earlier(c.readWindow.end, c.bodyDeadline)) == nil
}

const (
	// lingerTime and lingerBytes bound what is read and discarded from a caller that is refused
	// while it sends. If the connection were closed immediately, it would be reset and the
	// response lost. A caller that reads while it writes stops on its own; a 10 Mbit/s link
	// transfers most bodies in this time.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 4 << 20
)

// linger gives a refused caller time to read its response.
func (c *Conn) linger() {
	half, ok := c.net.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil || c.net.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(c.br, lingerBytes)) // The connection is closed in any case.
}
