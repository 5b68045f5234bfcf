package caller

import (
	"context"
	"io"
	"net"
	"runtime"
	"runtime/debug"
	"testing"

	"github.com/valyala/fasthttp"
)

// BenchmarkConnection measures the memory of an idle connection and of one with a request in
// progress.
func BenchmarkConnection(b *testing.B) {
	debug.SetGCPercent(20)
	const count = 1000
	memory := func() int64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return int64(m.HeapInuse + m.StackInuse)
	}
	for b.Loop() {
		begun, release := make(chan struct{}, count), make(chan struct{})
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		s := NewServer(handlerFunc(func(_ context.Context, _ *fasthttp.Request, a *ResponseWriter) {
			begun <- struct{}{}
			<-release
			writeText(a, "done")
		}))
		go func() { _ = s.Serve(ln) }()
		before := memory()
		conns := make([]net.Conn, count)
		for i := range conns {
			if conns[i], err = net.Dial("tcp", ln.Addr().String()); err != nil {
				b.Fatal(err)
			}
		}
		for s.Conns() < count {
			runtime.Gosched()
		}
		rest := memory()
		for _, c := range conns {
			_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		}
		for range conns {
			<-begun
		}
		b.ReportMetric(float64(rest-before)/count, "B/resting")
		b.ReportMetric(float64(memory()-before)/count, "B/busy")
		close(release)
		for _, c := range conns {
			_ = c.Close()
		}
		_ = ln.Close()
	}
}
