package backend

import (
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// failingConn delivers an answer and ends in order, but fails each write of a request.
type failingConn struct {
	net.Conn
	answer  *strings.Reader
	failure error
}

func (c *failingConn) Read(p []byte) (int, error)       { return c.answer.Read(p) }
func (c *failingConn) Write([]byte) (int, error)        { return 1, &net.OpError{Op: "write", Err: c.failure} }
func (c *failingConn) Close() error                     { return nil }
func (c *failingConn) SetDeadline(time.Time) error      { return nil }
func (c *failingConn) SetWriteDeadline(time.Time) error { return nil }

// TestBodyOfFailedConnection checks that an answer that ends with its connection counts as closed by the
// server only if the connection did not fail before, which the kernel may have told the write alone.
func TestBodyOfFailedConnection(t *testing.T) {
	for _, c := range []struct {
		failure error
		want    Ending
	}{
		{syscall.ECONNRESET, EndedByReset},
		{syscall.ETIMEDOUT, EndedByFault},
		{syscall.EHOSTUNREACH, EndedByFault},
		{syscall.EPIPE, EndedByClose},
	} {
		for _, size := range []int{1, 2 * concurrentBodyBytes, 8 * writeChunkBytes} {
			p := NewPool(time.Second, WithDialer(func(string, time.Duration) (net.Conn, error) {
				return &failingConn{answer: strings.NewReader("HTTP/1.1 200 OK\r\n\r\nhalf"), failure: c.failure}, nil
			}))
			deadline := time.Now().Add(testTimeout)
			conn, err := p.Get("s", "a", deadline)
			if err != nil {
				t.Fatal(err)
			}
			var resp fasthttp.Response
			if _, err := conn.Exchange(request(strings.Repeat("x", size)), &resp, deadline); err != nil {
				t.Fatal(err)
			}
			data, err := io.ReadAll(conn.Body(&resp))
			if got := EndingOf(err); got != c.want || string(data) != "half" {
				t.Errorf("%v, %d bytes: %q, ended %v with error %v", c.failure, size, data, got, err)
			}
			if closed := errors.Is(err, ErrEndUnconfirmed); closed != (c.want == EndedByClose) {
				t.Errorf("%v, %d bytes: error %v", c.failure, size, err)
			}
		}
	}
}
