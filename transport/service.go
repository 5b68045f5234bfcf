package transport

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/coordination/attempt"
	"github.com/weldstream/weldstream/protocol"
)

// serviceAnswer is a plain service's whole answer.
type serviceAnswer struct {
	status      int
	contentType string
	body        []byte
}

// finishAnswered ends a plain service's answer.
const finishAnswered = "answered"

// runService carries one attempt at a plain service. Its answer is one chunk.
func (g *Gateway) runService(c *call, keep func(serviceAnswer)) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(c.request.Method)
	req.SetRequestURI(c.request.Path)
	req.Header.SetHost(c.server.Address)
	req.Header.SetContentType("application/json")
	req.Header.Set(protocol.HeaderKey, c.request.Key.ID)
	req.SetBodyRaw(c.request.Body)
	w, ok := g.exchangeHead(c, req, resp)
	if !ok {
		return
	}
	status := resp.StatusCode()
	if retryableStatus(status) {
		c.refused(status, resp)
		_ = w.conn.Close()
		return
	}
	_ = w.conn.SetDeadline(time.Now().Add(g.settings.Timeouts.ChunkGap)) // A closed connection shows at the read.
	body, err := readBody(resp)
	if err != nil {
		_ = w.conn.Close()
		c.broke(c, err)
		c.fail(protocol.MayHaveRun, err, false)
		return
	}
	answer := serviceAnswer{status: status, contentType: string(resp.Header.ContentType()), body: body}
	g.reuse(c, w, resp)
	keep(answer)
	c.send(attempt.ChunkMsg{Attempt: c.cmd.Attempt, Tokens: 1, Finish: finishAnswered})
}

// retryableStatus reports whether a status says that this replica could not
// answer, rather than being the service's answer.
func retryableStatus(status int) bool {
	switch status {
	case fasthttp.StatusBadGateway, fasthttp.StatusServiceUnavailable, fasthttp.StatusGatewayTimeout, fasthttp.StatusTooManyRequests:
		return true
	}
	return false
}
