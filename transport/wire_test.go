package transport

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// TestTruncatedAnswerOfEndedServiceIsNotComplete guards against an answer without a length that
// counts as whole although its server crashed, and against the loss of a whole one.
func TestTruncatedAnswerOfEndedServiceIsNotComplete(t *testing.T) {
	for name, c := range map[string]struct {
		head  string
		ended bool
		whole bool
	}{
		"no length, the server has ended": {"", true, false},
		"no length, the server is there":  {"", false, true},
		"length, the server has ended":    {"Content-Length: 4\r\n", true, true},
	} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = ln.Close() })
		go func() {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			var req fasthttp.Request
			_ = req.Read(bufio.NewReader(conn)) // The client's read fails if this one does.
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+c.head+"\r\nhalf")
			if c.ended {
				_ = ln.Close()
			}
			_ = conn.Close()
		}()
		address := ln.Addr().String()
		pool := newConnPool(time.Second)
		w, err := pool.get(address, true)
		if err != nil {
			t.Fatal(err)
		}
		var req fasthttp.Request
		var resp fasthttp.Response
		req.Header.SetHost(address)
		if err := w.send(&req, &resp, time.Now().Add(time.Minute)); err != nil {
			t.Fatal(err)
		}
		body, err := pool.readConfirmed(&resp, address)
		if c.whole && (err != nil || string(body) != "half") {
			t.Errorf("%s: %q, error %v", name, body, err)
		}
		if !c.whole && !eris.Is(err, errEndUnconfirmed) {
			t.Errorf("%s: %q, error %v", name, body, err)
		}
		_ = w.conn.Close()
	}
}
