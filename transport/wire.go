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
)

// ErrClosed is returned for a call on a connection that was dropped.
var ErrClosed = eris.New("connection was dropped")

// maxIdle bounds the connections kept open to one backend server.
const maxIdle = 32

// wire is one HTTP/1.1 connection to a backend server. The codec is fasthttp's;
// the connection is ours, since a verdict needs to know whether a byte was
// written, and a caller that hangs up must end the stream at once. A pooled
// client hides both.
type wire struct {
	conn  net.Conn
	br    *bufio.Reader
	bw    *bufio.Writer
	wrote int64 // wrote counts the bytes that the kernel took.
	fresh bool  // fresh says that no request went over this connection yet.
}

// Write implements io.Writer and counts.
func (w *wire) Write(p []byte) (int, error) {
	n, err := w.conn.Write(p)
	w.wrote += int64(n)
	return n, err
}

// silentServer is how long a server's kernel may acknowledge nothing: three packets in
// a row must be lost, repeated after 0.2 and 0.6 s.
const silentServer = time.Second

// wires keeps idle connections per address.
type wires struct {
	dial  time.Duration
	meter byteMeter
	mu    sync.Mutex
	idle  map[string][]*wire
}

func newWires(dial time.Duration) *wires {
	return &wires{dial: dial, idle: map[string][]*wire{}}
}

// get returns a connection: an idle one unless a fresh one is asked for.
func (p *wires) get(address string, fresh bool) (*wire, error) {
	if !fresh {
		if w := p.pop(address); w != nil {
			return w, nil
		}
	}
	conn, err := tcp.Dial(address, p.dial, silentServer)
	if err != nil {
		return nil, eris.Wrap(err, "connect")
	}
	w := &wire{conn: &meteredConn{Conn: conn, meter: &p.meter}, fresh: true}
	w.br, w.bw = bufio.NewReader(w.conn), bufio.NewWriter(w)
	return w, nil
}

func (p *wires) pop(address string) *wire {
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

// put keeps a connection whose last answer was read to its end.
func (p *wires) put(address string, w *wire) {
	w.fresh, w.wrote = false, 0
	if w.conn.SetDeadline(time.Time{}) != nil {
		_ = w.conn.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= maxIdle {
		_ = w.conn.Close()
		return
	}
	p.idle[address] = append(p.idle[address], w)
}

// forget closes the idle connections to a server that is leaving.
func (p *wires) forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.idle[address] {
		_ = w.conn.Close()
	}
	delete(p.idle, address)
}

// send writes a request and reads the head of the answer. The body is left to
// be read from resp.BodyStream().
func (w *wire) send(req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) error {
	if err := w.conn.SetDeadline(deadline); err != nil {
		return eris.Wrap(err, "set deadline")
	}
	if err := req.Write(w.bw); err != nil {
		return eris.Wrap(err, "write request")
	}
	if err := w.bw.Flush(); err != nil {
		return eris.Wrap(err, "write request")
	}
	resp.StreamBody = true
	if err := resp.Read(w.br); err != nil {
		return eris.Wrap(err, "read answer")
	}
	return nil
}

// stale reports whether an error on a reused connection says no more than that
// the server had closed it while it was idle.
func (w *wire) stale(err error) bool {
	return !w.fresh && (errors.Is(err, io.EOF) || isReset(err))
}

// call makes one request with a small answer and returns status and body.
func (p *wires) call(address, method, path string, body []byte, timeout time.Duration) (int, []byte, error) {
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
		data, err := w.whole(req, resp, time.Now().Add(timeout))
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

// finish returns a connection to the pool if the answer allows it.
func (p *wires) finish(address string, w *wire, resp *fasthttp.Response) {
	if resp.ConnectionClose() {
		_ = w.conn.Close()
		return
	}
	p.put(address, w)
}

// maxSmallAnswer bounds an answer that is read whole.
const maxSmallAnswer = 16 << 20

// whole sends a request and reads the whole answer.
func (w *wire) whole(req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) ([]byte, error) {
	if err := w.send(req, resp, deadline); err != nil {
		return nil, err
	}
	return readBody(resp)
}

func readBody(resp *fasthttp.Response) ([]byte, error) {
	if resp.BodyStream() == nil {
		return append([]byte(nil), resp.Body()...), nil
	}
	data, err := io.ReadAll(io.LimitReader(resp.BodyStream(), maxSmallAnswer+1))
	if err != nil {
		return nil, eris.Wrap(err, "read body")
	}
	if len(data) > maxSmallAnswer {
		return nil, eris.Errorf("the answer is larger than %d bytes", maxSmallAnswer)
	}
	return data, nil
}
