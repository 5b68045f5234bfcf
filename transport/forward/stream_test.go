package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/transport/caller"
)

// BenchmarkStream measures the cost of relaying one event from a server through a gateway to
// its caller. Each event is sent after the previous one has arrived.
func BenchmarkStream(b *testing.B) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer server.Close()
	next := make(chan struct{})
	go func() {
		c, err := server.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		var req fasthttp.Request
		if req.Read(bufio.NewReader(c)) != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 X\r\nId: 7\r\nTransfer-Encoding: chunked\r\n\r\n")
		event := "data: some tokens of an answer, about as many as one event has\n\n"
		for range next {
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
		}
	}()
	g := New(Config{Name: "g", Domain: "a", KeyRevocationBound: time.Hour, RetryWindow: time.Second, UsageWindow: time.Second, UsageReportDelay: time.Second}, testDialect{})
	g.Confirm(clock.Now(), 1)
	g.SetServers([]protocol.Instance{{ID: "a", Service: "s", Address: server.Addr().String(), Domain: "a", Slots: 4}})
	g.Install(&protocol.Catalog{Number: 1, Services: []protocol.ServiceSpec{{Name: "s"}}, Routes: []protocol.PathRoute{{
		Host: "h", Prefix: "/r/", Kind: protocol.RouteStream, Timeout: time.Hour, Attempts: 1, Split: []protocol.WeightedService{{Service: "s", Weight: 1}},
	}}})
	front, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer front.Close()
	go func() { _ = caller.NewServer(g).Serve(front) }()
	conn, err := net.Dial("tcp", front.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "POST /r/x HTTP/1.1\r\nHost: h\r\nId: 7\r\nContent-Length: 0\r\n\r\n")
	buf := make([]byte, 4<<10)
	b.ReportAllocs()
	for b.Loop() {
		next <- struct{}{}
		if _, err := conn.Read(buf); err != nil {
			b.Fatal(err)
		}
	}
	close(next)
}
