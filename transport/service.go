package transport

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/coordination/attempt"
	"github.com/weldstream/weldstream/protocol"
)

// serviceAnswer is the complete answer of a plain service.
type serviceAnswer struct {
	status      int
	contentType string
	body        []byte
}

// finishAnswered is the finish reason of a plain service's answer.
const finishAnswered = "answered"

// runService runs one attempt on a plain service. Its answer is one chunk.
func (g *Gateway) runService(c *call, keep func(serviceAnswer)) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(c.request.Method)
	req.SetRequestURI(c.request.Path)
	req.Header.SetHost(c.server.Address)
	req.Header.SetContentType("application/json")
	req.Header.Set(protocol.HeaderKey, c.request.Key.ID)
	req.SetBodyRaw(c.request.Body)
	w, ok := g.sendAndReadHeader(c, req, resp)
	if !ok {
		return
	}
	status := resp.StatusCode()
	if retryableStatus(status) {
		c.refused(status, resp, w.body)
		_ = w.conn.Close()
		return
	}
	_ = w.conn.SetDeadline(time.Now().Add(g.settings.Timeouts.ChunkGap)) // The read reports a closed connection.
	body, err := g.pool.readConfirmed(w.body, c.server.Address)
	if err != nil {
		_ = w.conn.Close()
		c.connBroken(c, err)
		c.fail(protocol.MayHaveRun, err, false)
		return
	}
	answer := serviceAnswer{status: status, contentType: string(resp.Header.ContentType()), body: body}
	g.reuse(c, w, resp)
	keep(answer)
	c.send(attempt.ChunkMsg{Attempt: c.cmd.Attempt, Tokens: 1, Finish: finishAnswered})
}

// retryableStatus reports whether a status means that this server could not
// answer, as opposed to being the service's own answer.
func retryableStatus(status int) bool {
	switch status {
	case fasthttp.StatusBadGateway, fasthttp.StatusServiceUnavailable, fasthttp.StatusGatewayTimeout, fasthttp.StatusTooManyRequests:
		return true
	}
	return false
}
