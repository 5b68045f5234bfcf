package caller

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/valyala/fasthttp"
)

// BenchmarkWriteChunk measures the cost of writing a chunk of a stream to a caller that keeps up.
func BenchmarkWriteChunk(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer ln.Close()
	done := make(chan error)
	s := NewServer(handlerFunc(func(_ context.Context, _ *fasthttp.Request, a *ResponseWriter) {
		piece := make([]byte, 200)
		err := a.WriteHeader(&fasthttp.Response{})
		b.ReportAllocs()
		for b.Loop() {
			if err == nil {
				err = a.WriteChunk(piece)
			}
		}
		done <- err
	}))
	go func() { _ = s.Serve(ln) }()
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	if err := <-done; err != nil {
		b.Fatal(err)
	}
}
