package backend

import (
	"errors"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// ErrTooLarge is returned for an answer that is larger than its reader allows.
var ErrTooLarge = eris.New("the answer is too large")

// Call sends a request to an address and returns the status and the body of the answer; see RoundTrip.
func (p *Pool) Call(address string, req *fasthttp.Request, deadline time.Time, limit int64) (status int, body []byte, err error) {
	c, err := p.Get(address, address, deadline)
	if err != nil {
		return 0, nil, err
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	body, err = p.RoundTrip(address, c, req, resp, deadline, limit)
	return resp.StatusCode(), body, err
}

// RoundTrip sends a request over a connection to a server, which it closes or puts back, and returns the
// body of the answer. It returns an error that wraps ErrTooLarge for one of more than limit bytes. A body
// without a length may be truncated, which the parser of its document notices.
func (p *Pool) RoundTrip(server string, c *Conn, req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time, limit int64) ([]byte, error) {
	early, err := c.Exchange(req, resp, deadline)
	if err != nil {
		c.Close()
		return nil, err
	}
	body, err := readDocument(c.Body(resp), limit)
	if err != nil || early || resp.ConnectionClose() {
		c.Close()
		return body, err
	}
	p.Put(server, c, 0)
	return body, nil
}

func readDocument(body *Body, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil && !errors.Is(err, ErrEndUnconfirmed) {
		return nil, eris.Wrap(err, "read answer")
	}
	if int64(len(data)) > limit {
		return nil, eris.Wrapf(ErrTooLarge, "it has more than %d bytes", limit)
	}
	return data, nil
}
