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
		body, err := pool.readConfirmed(w.body, address)
		if c.whole && (err != nil || string(body) != "half") {
			t.Errorf("%s: %q, error %v", name, body, err)
		}
		if !c.whole && !eris.Is(err, errEndUnconfirmed) {
			t.Errorf("%s: %q, error %v", name, body, err)
		}
		_ = w.conn.Close()
	}
}

// startRaw answers the first request of each connection with raw bytes and keeps the connection open.
func startRaw(t *testing.T, raw string) (address string) {
	t.Helper()
	return startRawUntil(t, raw, func(net.Conn) {})
}

// startRawUntil does the same and then calls end with the connection.
func startRawUntil(t *testing.T, raw string, end func(net.Conn)) (address string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			go func() {
				var req fasthttp.Request
				if req.Read(bufio.NewReader(conn)) == nil {
					_, _ = io.WriteString(conn, raw)
					end(conn)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// TestMalformedAnswerOfServer guards against malformed answers of servers and of the platform that count
// as answers.
func TestMalformedAnswerOfServer(t *testing.T) {
	for name, raw := range map[string]string{
		"status 000":               "HTTP/1.1 000 X\r\nContent-Length: 4\r\n\r\nfine",
		"status 000 after a 100":   "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 X\r\nContent-Length: 4\r\n\r\nfine",
		"a blank in a name":        "HTTP/1.1 200 OK\r\nBad Name: x\r\nContent-Length: 4\r\n\r\nfine",
		"a blank behind a name":    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nBad : x\r\n\r\nfine",
		"a control byte in a name": "HTTP/1.1 200 OK\r\nB\x01d: x\r\nContent-Length: 4\r\n\r\nfine",
		"a blank in a trailer":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\nBad Name: x\r\n\r\n",
	} {
		status, body, err := newConnPool(time.Second).call(startRaw(t, raw), "GET", "/", nil, time.Minute)
		if err == nil {
			t.Errorf("%s: status %d, body %q", name, status, body)
		}
	}
}

// TestCutHeadOfServer guards against a server that stops in the middle of its answer's head, and whose answer
// counts as whole.
func TestCutHeadOfServer(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA: b\r\n\r\n",
		"HTTP/1.0 200 OK\r\nA: b\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	} {
		for at := 1; at < len(head); at++ {
			for ending, linger := range map[string]int{"closed": -1, "reset": 0} {
				address := startRawUntil(t, head[:at], func(c net.Conn) {
					_ = c.(*net.TCPConn).SetLinger(linger)
					_ = c.Close()
				})
				if status, body, err := newConnPool(time.Second).call(address, "GET", "/", nil, time.Minute); err == nil {
					t.Errorf("%q, then %s: status %d, body %q", head[:at], ending, status, body)
				}
			}
		}
	}
}

// TestUnusualAnswersOfServer checks that answers with a rare form are read whole.
func TestUnusualAnswersOfServer(t *testing.T) {
	for name, raw := range map[string]string{
		"after 100 and 103": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine",
		"HTTP/1.0":          "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nfine",
		"no reason":         "HTTP/1.1 200\r\nContent-Length: 4\r\n\r\nfine",
		"chunks, a trailer": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\nA: x\r\n\r\n",
	} {
		status, body, err := newConnPool(time.Second).call(startRaw(t, raw), "GET", "/", nil, time.Minute)
		if err != nil || status != 200 || string(body) != "fine" {
			t.Errorf("%s: status %d, body %q, error %v", name, status, body, err)
		}
	}
}
