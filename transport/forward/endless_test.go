package forward

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/transport/caller"
)

// endlessServer writes raw bytes, and then rest again and again, up to most bytes, until its connection
// is closed. sent counts the bytes of rest.
func endlessServer(raw, rest string, most int64, sent *atomic.Int64) func(net.Conn, *fasthttp.Request) {
	rest = strings.Repeat(rest, 1+(16<<10)/len(rest))
	return func(c net.Conn, _ *fasthttp.Request) {
		_, _ = io.WriteString(c, raw)
		for sent.Load() < most {
			n, err := io.WriteString(c, rest)
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	}
}

// TestAnswerWithoutEndIsGivenUp checks that answers whose bytes never end are given up after a bounded
// part of them, and that a request that may be repeated is answered by another server.
func TestAnswerWithoutEndIsGivenUp(t *testing.T) {
	const (
		most = 2 * maxAnswerBytes
		head = "HTTP/1.1 200 X\r\nId: 7\r\n"
	)
	stream := protocol.PathRoute{Kind: protocol.RouteStream, Resumable: true, Attempts: 2}
	plain := protocol.PathRoute{Kind: protocol.RouteRepeatable, Attempts: 2}
	for name, c := range map[string]struct {
		route     protocol.PathRoute
		raw, rest string
	}{
		"informational answers":       {plain, "", "HTTP/1.1 102 X\r\n\r\n"},
		"a status line":               {plain, "HTTP/1.1 200 ", "x"},
		"a field":                     {plain, head + "A: ", "x"},
		"fields":                      {plain, head, "A: x\r\n"},
		"zeros":                       {plain, "", "\x00"},
		"a body without a length":     {plain, head + "\r\n", "x"},
		"a body in chunks":            {plain, head + "Transfer-Encoding: chunked\r\n\r\n", chunk(strings.Repeat("x", 1000))},
		"a long body":                 {plain, head + "Content-Length: 1000000000000\r\n\r\n", "x"},
		"a size of a chunk":           {plain, head + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		"an extension":                {plain, head + "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
		"a trailer":                   {plain, head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: x\r\n"},
		"another request's answer":    {plain, "HTTP/1.1 200 X\r\nId: 8\r\n\r\n", "x"},
		"a rejection":                 {plain, "HTTP/1.1 503 X\r\nId: 7\r\nNot-Run: 1\r\n\r\n", "x"},
		"an event":                    {stream, head + "\r\ndata: ", "x"},
		"an event of many lines":      {stream, head + "\r\n", "data: x\n"},
		"an event after another one":  {stream, head + "\r\n" + event("1", "a"), "data: x\r\n"},
		"an event of CRs and letters": {stream, head + "\r\n", "x\r"},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestGateway(t)
			w.install(c.route)
			var sent atomic.Int64
			want := event("1", "a")
			serve := firstThen(endlessServer(c.raw, c.rest, most, &sent), openServer(head+"Content-Length: "+decimal(len(want))+"\r\n\r\n"+want))
			w.backend("a", serve)
			w.backend("b", serve)
			if got := w.ask(); got.status != 200 || got.body != want || got.broken {
				t.Errorf("got %d, %d bytes, broken %v; want the other server's answer", got.status, len(got.body), got.broken)
			}
			if n := sent.Load(); n >= most {
				t.Errorf("%d bytes were read", n)
			}
		})
	}
}

// TestEventExceedsMemory checks that an event is counted in the memory account while it arrives: one that
// does not fit ends the answer, others pass, and all memory is returned.
func TestEventExceedsMemory(t *testing.T) {
	m := caller.NewMemory(4<<20, metrics.NewRegistry())
	w := newTestGateway(t, caller.WithMemory(m))
	w.install(protocol.PathRoute{Kind: protocol.RouteStream, Resumable: true, Attempts: 3})
	var size int
	server := w.backend("a", func(c net.Conn, _ *fasthttp.Request) {
		writeAnswer(c, 200, "", event("1", strings.Repeat("x", size)))
	})
	for _, size = range []int{1, answerBufferBytes, 100 << 10} {
		if got := w.ask(); got.status != 200 || got.broken || got.body != event("1", strings.Repeat("x", size)) {
			t.Errorf("%d bytes: status %d, %d bytes, broken %v", size, got.status, len(got.body), got.broken)
		}
	}
	server.runs.Store(0)
	size = 6 << 20
	if got := w.ask(); got.status != 502 || got.verdict != protocol.MayHaveRun.String() || server.runs.Load() != 1 {
		t.Errorf("above the account: %+v after %d runs", got, server.runs.Load())
	}
	// Memory is returned when the connection ends, which the caller may see earlier.
	for end := time.Now().Add(testTimeout); m.Status().Held != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("memory is still held: %+v", m.Status())
		}
	}
}
