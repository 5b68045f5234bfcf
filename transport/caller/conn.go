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

// pastDeadline wakes a read that waits.
var pastDeadline = time.Unix(1, 0)

// Conn is one caller's connection. The codec is fasthttp's; the loop is ours,
// since only so a caller that hangs up is noticed while nothing is written, and
// an answer that breaks off can be told from one that ended.
type Conn struct {
	net net.Conn
	br  *bufio.Reader
	bw  *bufio.Writer
	out *sendBuffer // out is what bw writes to.

	cost     memory.Hold // cost is what the connection holds by itself.
	hold     memory.Hold // hold is what its request holds.
	request  string      // request names the request, where its owner was asked for.
	reads    window      // reads are held to the pace while a body is read.
	lastRead time.Time   // lastRead is when the body has to be there.
	paced    bool

	mu    sync.Mutex // mu guards state and since.
	state connState
	since time.Time // since is when it began to rest, or to send its headers.
}

type connState uint8

const (
	connIdle   connState = iota // connIdle waits for the first byte of a request.
	connHead                    // connHead reads the headers of a request.
	connBusy                    // connBusy reads a request's body or answers it.
	connClosed                  // connClosed was closed by Close of the server.
)

// enter notes what the connection does; false means that it was closed.
func (c *Conn) enter(s connState) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == connClosed {
		return false
	}
	c.state = s
	if s != connBusy {
		c.since = time.Now()
	}
	return true
}

// waits returns what a connection waits for, and since when; connBusy where it does
// not wait for its caller.
func (c *Conn) waits() (connState, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == connClosed {
		return connBusy, c.since
	}
	return c.state, c.since
}

// closeIf closes a connection that is in a state, and reports whether it was.
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

// expireIdle has a connection that rests end after a time in which no request comes.
func (c *Conn) expireIdle(after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == connIdle {
		_ = c.net.SetReadDeadline(time.Now().Add(after)) // A connection that ended says so when it is read.
	}
}

// watch calls gone once if the caller hangs up before stop is called. Bytes
// that arrive stay in the reader, as they belong to the next request.
func (c *Conn) watch(gone func()) (stop func()) {
	_ = c.net.SetReadDeadline(time.Time{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		// What is buffered already says nothing of the connection, but a caller
		// that has sent more is there.
		if _, err := c.br.Peek(c.br.Buffered() + 1); err != nil && !isTimeout(err) && !errors.Is(err, bufio.ErrBufferFull) {
			gone()
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

// ResponseWriter writes the answer to one request: whole, or as a head and pieces.
type ResponseWriter struct {
	conn    *Conn
	close   bool
	began   bool
	ended   bool
	chunked bool
}

// Started reports whether a byte of the answer was written.
func (a *ResponseWriter) Started() bool { return a.began }

// SetOwner names the request and the workspace that what is held for it belongs to.
func (a *ResponseWriter) SetOwner(request, workspace string) {
	c := a.conn
	c.request = request
	if c.hold == (memory.Hold{Workspace: c.hold.Workspace}) { // What is held stays with whom it was taken for.
		c.hold.Workspace = workspace
	}
}

// SetDeadline says how long the caller waits for the answer: what it has not taken by then is
// of no use to it.
func (a *ResponseWriter) SetDeadline(t time.Time) { a.conn.out.until = t }

// Reserve takes bytes for a whole answer that is read before it is written.
func (a *ResponseWriter) Reserve(n int) memory.Decision {
	return a.conn.out.memory.Reserve(&a.conn.hold, memory.Answer, n)
}

// Release gives the bytes of a whole answer back.
func (a *ResponseWriter) Release() {
	a.conn.out.memory.Release(&a.conn.hold, memory.Answer, int(a.conn.hold.Held(memory.Answer)))
}

// CloseConnection has the connection closed behind the answer, which says so.
func (a *ResponseWriter) CloseConnection() { a.close = true }

// WriteResponse writes a whole answer.
func (a *ResponseWriter) WriteResponse(resp *fasthttp.Response) error {
	a.began, a.ended = true, true
	a.mark(resp)
	if err := resp.Write(a.conn.bw); err != nil {
		a.close = true
		return err
	}
	return a.flush()
}

// mark tells the caller what becomes of the connection.
func (a *ResponseWriter) mark(resp *fasthttp.Response) {
	resp.Header.Del(fasthttp.HeaderConnection)
	if a.close {
		resp.SetConnectionClose()
	}
}

// WriteHeader writes the head of an answer whose body follows in pieces.
func (a *ResponseWriter) WriteHeader(resp *fasthttp.Response) error {
	a.began, a.chunked = true, true
	a.mark(resp)
	resp.Header.SetContentLength(-1)
	if _, err := a.conn.bw.Write(resp.Header.Header()); err != nil {
		return err
	}
	return a.flush()
}

// WriteChunk writes one piece of the body and has it sent at once.
func (a *ResponseWriter) WriteChunk(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	if err := writeChunk(a.conn.bw, p); err != nil {
		a.close = true
		return err
	}
	return a.flush()
}

// Finish writes the end of the body: the answer is whole.
func (a *ResponseWriter) Finish() error {
	a.ended = true
	if _, err := io.WriteString(a.conn.bw, "0\r\n\r\n"); err != nil {
		a.close = true
		return err
	}
	return a.flush()
}

func (a *ResponseWriter) flush() error {
	err := a.conn.bw.Flush()
	if err != nil {
		a.close = true
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

// readHead reads the headers of a request. They have to fit into the buffer, which
// grows, once, to the most bytes that they may have: hundreds of connections rest at
// a time, and few ever need that much.
func (c *Conn) readHead(req *fasthttp.Request, most int) error {
	err := req.Header.Read(c.br)
	var small *fasthttp.ErrSmallBuffer
	if !errors.As(err, &small) || c.br.Size() >= most {
		return err
	}
	buffered, err := c.br.Peek(c.br.Buffered())
	if err != nil {
		return err
	}
	rest := io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), c)
	c.br = bufio.NewReaderSize(rest, most)
	return req.Header.Read(c.br)
}
