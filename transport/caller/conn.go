package caller

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/coordination/memory"
)

// pastDeadline interrupts a blocked read.
var pastDeadline = time.Unix(1, 0)

// Conn is one caller's connection. It uses fasthttp's codec but its own request loop, to notice a
// caller that disconnects while nothing is written, and to make a truncated response
// distinguishable from a complete one.
type Conn struct {
	net        net.Conn
	br         *bufio.Reader
	bw         *bufio.Writer
	sendBuffer *sendBuffer // sendBuffer is the destination of bw.

	connHold     memory.Hold // connHold is the memory charged for the connection itself.
	requestHold  memory.Hold // requestHold is the memory charged for its request.
	request      string      // request is the request's ID if its owner was determined.
	readWindow   rateWindow  // readWindow checks the minimum rate while a body is read.
	bodyDeadline time.Time   // bodyDeadline is when the body must have arrived.
	rateChecked  bool

	mu         sync.Mutex // mu guards state and stateSince.
	state      connState
	stateSince time.Time // stateSince is when the connection became idle or began to send headers.
}

type connState uint8

const (
	connIdle    connState = iota // connIdle waits for the first byte of a request.
	connHeaders                  // connHeaders reads the headers of a request.
	connBusy                     // connBusy reads a request's body or serves the request.
	connClosed                   // connClosed was evicted by the server.
)

// enter sets the state and returns false if the connection was closed.
func (c *Conn) enter(s connState) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == connClosed {
		return false
	}
	c.state = s
	if s != connBusy {
		c.stateSince = time.Now()
	}
	return true
}

// waitState returns the state of a connection that waits for its caller, and since when. The
// state is connBusy if the connection does not wait.
func (c *Conn) waitState() (connState, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == connClosed {
		return connBusy, c.stateSince
	}
	return c.state, c.stateSince
}

// closeIf closes the connection if it is in the given state, and reports whether it was.
func (c *Conn) closeIf(s connState) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != s {
		return false
	}
	c.state = connClosed
	_ = c.net.Close()
	return true
}

// expireIdle closes an idle connection if no request arrives within the given time.
func (c *Conn) expireIdle(after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == connIdle {
		_ = c.net.SetReadDeadline(time.Now().Add(after)) // A closed connection is noticed by the next read.
	}
}

// watchClose calls onClose once if the caller disconnects before stop is called. Bytes that
// arrive stay in the reader, as they belong to the next request.
func (c *Conn) watchClose(onClose func()) (stop func()) {
	_ = c.net.SetReadDeadline(time.Time{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		// Buffered bytes say nothing about the connection, but a caller that sends more is
		// still connected.
		if _, err := c.br.Peek(c.br.Buffered() + 1); err != nil && !isTimeout(err) && !errors.Is(err, bufio.ErrBufferFull) {
			onClose()
		}
	}()
	return func() {
		_ = c.net.SetReadDeadline(pastDeadline)
		<-done
		_ = c.net.SetReadDeadline(time.Time{})
	}
}

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// ResponseWriter writes the response to one request, either at once or as headers and chunks.
type ResponseWriter struct {
	conn       *Conn
	closeAfter bool
	started    bool
	finished   bool
	unframed   bool // unframed reports that the caller's protocol version has no chunks: the connection ends the body.
}

// Started reports whether any part of the response was written.
func (a *ResponseWriter) Started() bool { return a.started }

// SetOwner sets the request's ID and the workspace that is charged for its memory.
func (a *ResponseWriter) SetOwner(request, workspace string) {
	c := a.conn
	c.request = request
	if c.requestHold == (memory.Hold{Workspace: c.requestHold.Workspace}) { // Reserved bytes stay with the workspace they were charged to.
		c.requestHold.Workspace = workspace
	}
}

// SetDeadline sets how long the caller waits for the response. Data that it has not received by
// then is of no use to it.
func (a *ResponseWriter) SetDeadline(t time.Time) { a.conn.sendBuffer.deadline = t }

// Reserve reserves memory for a response that is read completely before it is written.
func (a *ResponseWriter) Reserve(n int) memory.Decision {
	return a.conn.sendBuffer.memory.Reserve(&a.conn.requestHold, memory.Answer, n)
}

// Release releases the memory reserved by Reserve.
func (a *ResponseWriter) Release() {
	a.conn.sendBuffer.memory.Release(&a.conn.requestHold, memory.Answer, int(a.conn.requestHold.Held(memory.Answer)))
}

// CloseConnection makes the server close the connection after the response, which announces it.
func (a *ResponseWriter) CloseConnection() { a.closeAfter = true }

// WriteResponse writes a complete response.
func (a *ResponseWriter) WriteResponse(resp *fasthttp.Response) error {
	a.started, a.finished = true, true
	a.setConnectionHeader(resp)
	if err := resp.Write(a.conn.bw); err != nil {
		a.closeAfter = true
		return err
	}
	return a.flush()
}

// setConnectionHeader sets the Connection header of a response.
func (a *ResponseWriter) setConnectionHeader(resp *fasthttp.Response) {
	resp.Header.Del(fasthttp.HeaderConnection)
	if a.closeAfter {
		resp.SetConnectionClose()
	}
}

// The codec's lengths of a body that has none.
const (
	chunkedLength = -1
	untilClose    = -2
)

// WriteHeader writes the headers of a response whose body follows in chunks. For a caller that
// knows no chunks, the body ends with its connection.
func (a *ResponseWriter) WriteHeader(resp *fasthttp.Response) error {
	a.started = true
	length := chunkedLength
	if a.unframed {
		length, a.closeAfter = untilClose, true
	}
	a.setConnectionHeader(resp)
	resp.Header.SetContentLength(length)
	if _, err := a.conn.bw.Write(resp.Header.Header()); err != nil {
		return err
	}
	return a.flush()
}

// WriteChunk writes and flushes one chunk of the body.
func (a *ResponseWriter) WriteChunk(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	if err := a.writePart(p); err != nil {
		a.closeAfter = true
		return err
	}
	return a.flush()
}

// writePart writes a part of the body in the response's framing.
func (a *ResponseWriter) writePart(p []byte) error {
	if a.unframed {
		_, err := a.conn.bw.Write(p)
		return err
	}
	return writeChunk(a.conn.bw, p)
}

// Finish writes the final chunk, which completes the response. Without chunks, the close of the
// connection does.
func (a *ResponseWriter) Finish() error {
	a.finished = true
	if a.unframed {
		return a.flush()
	}
	if _, err := io.WriteString(a.conn.bw, "0\r\n\r\n"); err != nil {
		a.closeAfter = true
		return err
	}
	return a.flush()
}

func (a *ResponseWriter) flush() error {
	err := a.conn.bw.Flush()
	if err != nil {
		a.closeAfter = true
	}
	return err
}

const hexDigits = "0123456789abcdef"

func writeChunk(w *bufio.Writer, p []byte) error {
	var size [18]byte
	i := len(size)
	for n := len(p); n > 0; n >>= 4 {
		i--
		size[i] = hexDigits[n&15]
	}
	if _, err := w.Write(size[i:]); err != nil {
		return err
	}
	if _, err := w.WriteString("\r\n"); err != nil {
		return err
	}
	if _, err := w.Write(p); err != nil {
		return err
	}
	_, err := w.WriteString("\r\n")
	return err
}

// readHeaders reads the headers of a request. They must fit into the buffer, which grows to the
// limit only when needed: hundreds of connections are idle at a time, and few ever need that
// much.
func (c *Conn) readHeaders(req *fasthttp.Request, limit int) error {
	err := req.Header.Read(c.br)
	var small *fasthttp.ErrSmallBuffer
	if !errors.As(err, &small) || c.br.Size() >= limit {
		return err
	}
	buffered, err := c.br.Peek(c.br.Buffered())
	if err != nil {
		return err
	}
	rest := io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), c)
	c.br = bufio.NewReaderSize(rest, limit)
	return req.Header.Read(c.br)
}
