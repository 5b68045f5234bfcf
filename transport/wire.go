package transport

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/internal/tcp"
	"github.com/weldstream/weldstream/transport/backend"
)

// ErrClosed is returned for a call on a closed connection.
var ErrClosed = eris.New("connection was closed")

// maxIdleConns limits the idle connections to one backend server.
const maxIdleConns = 32

// serverConn is one HTTP/1.1 connection to a backend server. It uses fasthttp's
// codec but not its client: a verdict depends on whether a byte was written, and a
// disconnect of the caller must end the stream at once. A pooled client hides
// both.
type serverConn struct {
	conn  net.Conn
	br    *bufio.Reader
	bw    *bufio.Writer
	body  *backend.Body // body is that of the last response.
	wrote int64         // wrote counts the bytes that the kernel accepted.
	fresh bool          // fresh is set until the first response on this connection is complete.
}

// Write implements io.Writer and counts the bytes written.
func (w *serverConn) Write(p []byte) (int, error) {
	n, err := w.conn.Write(p)
	w.wrote += int64(n)
	return n, err
}

// serverAckTimeout is how long a server's kernel may acknowledge nothing. It
// allows for two lost packets in a row, retransmitted after 0.2 and 0.6 s: three
// in a row must be lost to exceed it.
const serverAckTimeout = time.Second

// connPool holds idle connections per address.
type connPool struct {
	dial  time.Duration
	meter byteMeter
	mu    sync.Mutex
	idle  map[string][]*serverConn
}

func newConnPool(dial time.Duration) *connPool {
	return &connPool{dial: dial, idle: map[string][]*serverConn{}}
}

// get returns an idle connection, or a new one if fresh is set or none is idle.
func (p *connPool) get(address string, fresh bool) (*serverConn, error) {
	if !fresh {
		if w := p.pop(address); w != nil {
			return w, nil
		}
	}
	conn, err := tcp.Dial(address, p.dial, serverAckTimeout)
	if err != nil {
		return nil, eris.Wrap(err, "connect")
	}
	w := &serverConn{conn: &meteredConn{Conn: conn, meter: &p.meter}, fresh: true}
	w.br, w.bw = bufio.NewReader(w.conn), bufio.NewWriter(w)
	return w, nil
}

func (p *connPool) pop(address string) *serverConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	w := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return w
}

// put returns a connection to the pool after its last response was read to the
// end.
func (p *connPool) put(address string, w *serverConn) {
	w.fresh, w.wrote = false, 0
	if w.conn.SetDeadline(time.Time{}) != nil {
		_ = w.conn.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= maxIdleConns {
		_ = w.conn.Close()
		return
	}
	p.idle[address] = append(p.idle[address], w)
}

// closeIdle closes the idle connections to a leaving server.
func (p *connPool) closeIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.idle[address] {
		_ = w.conn.Close()
	}
	delete(p.idle, address)
}

// send writes a request and reads the response header. The body is left to be read
// from w.body.
func (w *serverConn) send(req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) error {
	if err := w.conn.SetDeadline(deadline); err != nil {
		return eris.Wrap(err, "set deadline")
	}
	if err := req.Write(w.bw); err != nil {
		return eris.Wrap(err, "write request")
	}
	if err := w.bw.Flush(); err != nil {
		return eris.Wrap(err, "write request")
	}
	if err := backend.ReadHead(w.br, resp); err != nil {
		return err
	}
	w.body = backend.NewBody(w.br, resp)
	return nil
}

// stale reports whether an error on a reused connection means only that the server
// closed it while it was idle.
func (w *serverConn) stale(err error) bool {
	return !w.fresh && (errors.Is(err, io.EOF) || isReset(err))
}

// call makes one request with a small response and returns its status and body.
func (p *connPool) call(address, method, path string, body []byte, timeout time.Duration) (int, []byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(path)
	req.Header.SetHost(address)
	req.SetBodyRaw(body)
	for fresh := false; ; fresh = true {
		w, err := p.get(address, fresh)
		if err != nil {
			return 0, nil, err
		}
		data, err := w.roundTrip(req, resp, time.Now().Add(timeout))
		if err == nil {
			p.finish(address, w, resp)
			return resp.StatusCode(), data, nil
		}
		_ = w.conn.Close()
		if !w.stale(err) {
			return 0, nil, err
		}
	}
}

// finish returns a connection to the pool unless the response closes it.
func (p *connPool) finish(address string, w *serverConn, resp *fasthttp.Response) {
	if resp.ConnectionClose() {
		_ = w.conn.Close()
		return
	}
	p.put(address, w)
}

// maxBodyBytes limits a response body that is read whole.
const maxBodyBytes = 16 << 20

// roundTrip sends a request and reads the whole response. The parser of a document notices if one
// without a length is truncated.
func (w *serverConn) roundTrip(req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) ([]byte, error) {
	if err := w.send(req, resp, deadline); err != nil {
		return nil, err
	}
	data, err := readBody(w.body)
	if errors.Is(err, backend.ErrEndUnconfirmed) {
		err = nil
	}
	return data, err
}

// errEndUnconfirmed is returned for an answer that has neither a length nor chunks and whose server
// accepts no connection any more: it may have crashed before the end of the answer.
var errEndUnconfirmed = eris.New("the answer ended with its connection, and its server accepts no other one")

// readConfirmed reads the whole body of an answer from an address. An answer that ends with its
// connection counts as complete if the server accepts another one, which is kept.
func (p *connPool) readConfirmed(body *backend.Body, address string) ([]byte, error) {
	data, err := readBody(body)
	if !errors.Is(err, backend.ErrEndUnconfirmed) {
		return data, err
	}
	w, err := p.get(address, true)
	if err != nil {
		return nil, eris.Wrap(errEndUnconfirmed, err.Error())
	}
	p.put(address, w)
	return data, nil
}

// readBody reads a whole body. With an error it returns what was read.
func readBody(body *backend.Body) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxBodyBytes+1))
	if err != nil {
		return data, eris.Wrap(err, "read body")
	}
	if len(data) > maxBodyBytes {
		return nil, eris.Wrapf(backend.ErrTooLarge, "it has more than %d bytes", maxBodyBytes)
	}
	return data, nil
}
