package forward

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/protocol"
)

const (
	// mediumBody and longBody are larger than what a server's kernel takes before the server reads.
	mediumBody = 300 << 10
	longBody   = 4<<20 - 1
)

// earlyServer adds a server that serves each connection once it has read the head of a request. Most of
// a long body is still unsent then.
func (w *testGateway) earlyServer(serve func(c *net.TCPConn, br *bufio.Reader)) {
	w.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				var h fasthttp.RequestHeader
				if h.Read(br) == nil {
					serve(c.(*net.TCPConn), br)
				}
			}()
		}
	}()
	w.servers = append(w.servers, protocol.Instance{ID: "early", Service: "s", Address: ln.Addr().String(), Domain: "a", Slots: 4})
	w.g.SetServers(w.servers)
}

// TestAnswerResetDuringUploadIsNotComplete guards against a part of an answer that reaches its caller
// as complete because the write of the request, not the read of the answer, was told of the reset.
func TestAnswerResetDuringUploadIsNotComplete(t *testing.T) {
	const tries = 20
	for name, route := range map[string]protocol.PathRoute{
		"plain":      {Attempts: 1},
		"repeatable": {Kind: protocol.RouteRepeatable, Attempts: 1},
		"stream":     {Kind: protocol.RouteStream, Attempts: 1},
	} {
		for size, n := range map[string]int{"short": 100, "medium": mediumBody, "long": longBody} {
			t.Run(name+"/"+size, func(t *testing.T) {
				w := newTestGateway(t)
				w.install(route)
				w.earlyServer(func(c *net.TCPConn, _ *bufio.Reader) {
					_, _ = io.WriteString(c, unframedHead+tinyEvent)
					_ = c.SetLinger(0) // The close resets the connection.
				})
				for range tries {
					if got := w.send(strings.Repeat("x", n)); got.status == 200 && !got.broken {
						t.Errorf("a part of an answer was complete: %+v", got)
					}
				}
			})
		}
	}
}

// TestEarlyAnswersStayWhole checks that answers to requests that were not read to their end are relayed,
// however they are framed.
func TestEarlyAnswersStayWhole(t *testing.T) {
	const body = "too long"
	for framing, answer := range map[string]string{
		"length":    "HTTP/1.1 413 X\r\nId: 7\r\nContent-Length: 8\r\n\r\n" + body,
		"chunks":    "HTTP/1.1 413 X\r\nId: 7\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(body) + "0\r\n\r\n",
		"no length": "HTTP/1.1 413 X\r\nId: 7\r\n\r\n" + body,
		"after 100": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 413 X\r\nId: 7\r\n\r\n" + body,
	} {
		for end, serve := range map[string]func(c *net.TCPConn, br *bufio.Reader){
			"reads on":    func(_ *net.TCPConn, br *bufio.Reader) { _, _ = io.Copy(io.Discard, br) },
			"stops there": func(*net.TCPConn, *bufio.Reader) {}, // The close behind the end of the answer resets the connection.
		} {
			t.Run(framing+"/"+end, func(t *testing.T) {
				w := newTestGateway(t)
				w.install(protocol.PathRoute{Attempts: 1})
				w.earlyServer(func(c *net.TCPConn, br *bufio.Reader) {
					_, _ = io.WriteString(c, answer)
					_ = c.CloseWrite()
					serve(c, br)
				})
				for range 5 {
					if got := w.send(strings.Repeat("x", 2<<20)); got.status != 413 || got.body != body || got.broken {
						t.Errorf("got %+v, want the whole answer", got)
					}
				}
			})
		}
	}
}
