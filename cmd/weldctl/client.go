package main

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/transport/backend"
)

const (
	// connectTimeout bounds a connection attempt.
	connectTimeout = 3 * time.Second
	// maxAnswerBytes bounds an answer that is read as a whole: the dump of an instance is the largest.
	maxAnswerBytes = 256 << 20
)

// callInstance sends a request to an instance over a connection of its own and returns the whole answer.
func callInstance(address string, req *fasthttp.Request, timeout time.Duration) (status int, body []byte, err error) {
	req.SetConnectionClose()
	return backend.NewPool(connectTimeout).Call(address, req, time.Now().Add(timeout), maxAnswerBytes)
}
