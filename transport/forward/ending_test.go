package forward

import (
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/protocol"
)

// unframedHead is the head of an answer that has neither a length nor chunks.
const unframedHead = "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Type: text/event-stream\r\n\r\n"

// event returns an event with an ID and one data line.
func event(id, data string) string { return "id: " + id + "\ndata: " + data + "\n\n" }

// endedServer writes raw bytes and ends like a process that crashes: it stops listening, and its
// connection is closed.
func endedServer(server func() *backendServer, raw string) func(net.Conn, *fasthttp.Request) {
	return func(c net.Conn, _ *fasthttp.Request) {
		_, _ = io.WriteString(c, raw)
		_ = server().listener.Close()
		_ = c.Close()
	}
}

// closingServer writes raw bytes and closes the connection. The server stays.
func closingServer(raw string) func(net.Conn, *fasthttp.Request) {
	return func(c net.Conn, _ *fasthttp.Request) {
		_, _ = io.WriteString(c, raw)
		_ = c.Close()
	}
}

// resettingServer writes raw bytes and resets the connection once the caller has read some of them.
func resettingServer(raw string, seen <-chan struct{}) func(net.Conn, *fasthttp.Request) {
	return func(c net.Conn, _ *fasthttp.Request) {
		_, _ = io.WriteString(c, raw)
		<-seen
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// firstThen serves the first request of all servers in one way and the others in another one.
func firstThen(first, others func(net.Conn, *fasthttp.Request)) func(net.Conn, *fasthttp.Request) {
	var once sync.Once
	return func(c net.Conn, req *fasthttp.Request) {
		serve := others
		once.Do(func() { serve = first })
		serve(c, req)
	}
}

// brokenStreams are streams that end inside an event, by what of them is whole.
var brokenStreams = map[string]struct{ body, whole string }{
	"inside the second event":          {event("1", "a") + "id: 2\nda", event("1", "a")},
	"inside the first event":           {"id: 1\nda", ""},
	"before the blank line":            {event("1", "a") + "id: 2\ndata: b\n", event("1", "a")},
	"inside a comment":                 {event("1", "a") + ": keep", event("1", "a")},
	"between the halves of a line end": {"id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r", "id: 1\r\ndata: a\r\n\r\n"},
}

// framedStreams are the ways in which a server frames a stream that it ends as if it were complete.
var framedStreams = map[string]func(body string) string{
	"close":  func(body string) string { return unframedHead + body },
	"chunks": func(body string) string { return streamHead + chunk(body) + "0\r\n\r\n" },
	"length": func(body string) string {
		return strings.Replace(unframedHead, "\r\n\r\n", "\r\nContent-Length: "+decimal(len(body))+"\r\n\r\n", 1) + body
	},
}

func decimal(n int) string { return string(fasthttp.AppendUint(nil, n)) }

// TestStreamTruncatedInsideEventIsNotComplete guards against streams that end inside an event and
// reach their caller as complete, however the server framed them.
func TestStreamTruncatedInsideEventIsNotComplete(t *testing.T) {
	for framing, frame := range framedStreams {
		for name, c := range brokenStreams {
			t.Run(framing+"/"+name, func(t *testing.T) {
				w := newTestGateway(t)
				w.install(protocol.PathRoute{Kind: protocol.RouteStream, Attempts: 2})
				serve := closingServer(frame(c.body))
				a, b := w.backend("a", serve), w.backend("b", serve)
				got := w.ask()
				if complete := got.status == 200 && !got.broken; complete || got.body != c.whole {
					t.Errorf("got %+v, want a broken answer with %q", got, c.whole)
				}
				if n := a.runs.Load() + b.runs.Load(); n != 1 {
					t.Errorf("the request ran %d times", n)
				}
			})
		}
	}
}

// TestStreamTruncatedInsideEventResumes guards against a broken stream that ends at its caller
// although another server could continue it after the last whole event.
func TestStreamTruncatedInsideEventResumes(t *testing.T) {
	for framing, frame := range framedStreams {
		for name, c := range brokenStreams {
			t.Run(framing+"/"+name, func(t *testing.T) {
				w := newTestGateway(t)
				w.install(protocol.PathRoute{Kind: protocol.RouteStream, Resumable: true, Attempts: 2})
				rest := streamHead + chunk(event("1", "a")+event("2", "b")+event("3", "c")) + "0\r\n\r\n"
				serve := firstThen(closingServer(frame(c.body)), closingServer(rest))
				w.backend("a", serve)
				w.backend("b", serve)
				got := w.ask()
				want := c.whole + event("2", "b") + event("3", "c")
				if c.whole == "" {
					want = event("1", "a") + want
				}
				if got.broken || got.body != want {
					t.Errorf("got %+v, want %q", got, want)
				}
			})
		}
	}
}

// TestUnframedAnswerOfEndedServerIsNotComplete guards against answers without a length that reach
// their caller as complete although their server crashed.
func TestUnframedAnswerOfEndedServerIsNotComplete(t *testing.T) {
	stream := protocol.PathRoute{Kind: protocol.RouteStream, Attempts: 1}
	for name, c := range map[string]struct {
		route  protocol.PathRoute
		body   string
		status int
	}{
		"between two events":     {stream, event("1", "a") + event("2", "b"), 200},
		"before the first event": {stream, "", 502},
		"plain":                  {protocol.PathRoute{Attempts: 1}, "half of an ans", 502},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestGateway(t)
			w.install(c.route)
			var server *backendServer
			server = w.backend("a", endedServer(func() *backendServer { return server }, unframedHead+c.body))
			got := w.ask()
			if got.status != c.status || (got.status == 200 && !got.broken) {
				t.Errorf("got %+v, want status %d and no complete answer", got, c.status)
			}
			if c.status != 200 && got.verdict != protocol.MayHaveRun.String() {
				t.Errorf("verdict %q of a request that ran", got.verdict)
			}
		})
	}
}

// TestUnframedAnswerOfEndedServerIsAskedAgain guards against the loss of answers that another
// server could give.
func TestUnframedAnswerOfEndedServerIsAskedAgain(t *testing.T) {
	resumable := protocol.PathRoute{Kind: protocol.RouteStream, Resumable: true, Attempts: 2}
	for name, c := range map[string]struct {
		route      protocol.PathRoute
		body, rest string
		want       string
	}{
		"between two events":     {resumable, event("1", "a") + event("2", "b"), event("3", "c"), event("1", "a") + event("2", "b") + event("3", "c")},
		"after the last event":   {resumable, event("1", "a"), "", event("1", "a")},
		"before the first event": {resumable, "", event("1", "a"), event("1", "a")},
		"plain":                  {protocol.PathRoute{Kind: protocol.RouteRepeatable, Attempts: 2}, "half of an ans", "fine", "fine"},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestGateway(t)
			w.install(c.route)
			servers := map[string]*backendServer{}
			var mu sync.Mutex
			rest := streamHead + "0\r\n\r\n"
			if c.rest != "" {
				rest = streamHead + chunk(c.rest) + "0\r\n\r\n"
			}
			ended := func(id string) func(net.Conn, *fasthttp.Request) {
				return endedServer(func() *backendServer { mu.Lock(); defer mu.Unlock(); return servers[id] }, unframedHead+c.body)
			}
			var once sync.Once
			for _, id := range []string{"a", "b"} {
				s := w.backend(id, func(conn net.Conn, req *fasthttp.Request) {
					serve := closingServer(rest)
					once.Do(func() { serve = ended(id) })
					serve(conn, req)
				})
				mu.Lock()
				servers[id] = s
				mu.Unlock()
			}
			if got := w.ask(); got.status != 200 || got.broken || got.body != c.want {
				t.Errorf("got %+v, want %q", got, c.want)
			}
		})
	}
}

// TestUnframedStreamWithoutEventsIsNotComplete guards against streams that end before their first event
// and reach their caller as complete, although their server is there.
func TestUnframedStreamWithoutEventsIsNotComplete(t *testing.T) {
	for name, c := range map[string]struct {
		route protocol.PathRoute
		body  string
		want  reply
	}{
		"no byte":                  {protocol.PathRoute{Kind: protocol.RouteStream, Attempts: 2}, "", reply{status: 502, verdict: "may-have-run"}},
		"line ends alone":          {protocol.PathRoute{Kind: protocol.RouteStream, Attempts: 2}, "\n", reply{status: 200, body: "\n", broken: true}},
		"no byte, another answers": {protocol.PathRoute{Kind: protocol.RouteStream, Resumable: true, Attempts: 2}, "", reply{status: 200, body: event("1", "a")}},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestGateway(t)
			w.install(c.route)
			serve := firstThen(closingServer(unframedHead+c.body), closingServer(streamHead+chunk(event("1", "a"))+"0\r\n\r\n"))
			w.backend("a", serve)
			w.backend("b", serve)
			if got := w.ask(); got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}

// TestUnframedAnswersStayWhole guards against the loss of answers without a length that their
// servers ended by a close: none is cut off, none is run twice.
func TestUnframedAnswersStayWhole(t *testing.T) {
	for name, c := range map[string]struct {
		route protocol.PathRoute
		body  string
	}{
		"stream":                {protocol.PathRoute{Kind: protocol.RouteStream, Attempts: 2}, event("1", "a") + event("2", "b")},
		"resumable stream":      {protocol.PathRoute{Kind: protocol.RouteStream, Resumable: true, Attempts: 2}, event("1", "a") + event("2", "b")},
		"stream, CRLF":          {protocol.PathRoute{Kind: protocol.RouteStream, Attempts: 2}, "id: 1\r\ndata: a\r\n\r\n"},
		"stream, mixed ends":    {protocol.PathRoute{Kind: protocol.RouteStream, Attempts: 2}, "id: 1\ndata: a\r\n\nid: 2\r\ndata: b\n\r\n"},
		"stream, CR":            {protocol.PathRoute{Kind: protocol.RouteStream, Attempts: 2}, "id: 1\rdata: a\r\rid: 2\rdata: b\r\r"},
		"stream, further blank": {protocol.PathRoute{Kind: protocol.RouteStream, Attempts: 2}, event("1", "a") + "\n"},
		"plain":                 {protocol.PathRoute{Attempts: 2}, "fine"},
		"plain, repeatable":     {protocol.PathRoute{Kind: protocol.RouteRepeatable, Attempts: 2}, "fine"},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestGateway(t)
			w.install(c.route)
			serve := closingServer(unframedHead + c.body)
			a, b := w.backend("a", serve), w.backend("b", serve)
			if got := w.ask(); got.status != 200 || got.broken || got.body != c.body {
				t.Errorf("got %+v, want %q", got, c.body)
			}
			if n := a.runs.Load() + b.runs.Load(); n != 1 {
				t.Errorf("the request ran %d times", n)
			}
		})
	}
}

// TestResetUnframedAnswerIsNotComplete guards against a reset that counts as the end of an answer
// without a length.
func TestResetUnframedAnswerIsNotComplete(t *testing.T) {
	w := newTestGateway(t)
	w.install(protocol.PathRoute{Kind: protocol.RouteStream, Attempts: 1})
	seen := make(chan struct{})
	w.backend("a", resettingServer(unframedHead+event("1", "a"), seen))
	conn := w.dial()
	defer conn.Close()
	_, _ = io.WriteString(conn, "POST /r/x HTTP/1.1\r\nHost: h\r\nId: 7\r\nContent-Length: 0\r\n\r\n")
	got := readUntil(t, conn, event("1", "a"))
	close(seen)
	if rest := readAll(conn); strings.HasSuffix(got+rest, "0\r\n\r\n") {
		t.Errorf("a stream that was reset has a proper end: %q", got+rest)
	}
}

// TestEventWithoutIDIsNotSentTwice guards against a continuation that repeats events: behind one
// that has data and no ID, no server can be told where to resume.
func TestEventWithoutIDIsNotSentTwice(t *testing.T) {
	w := newTestGateway(t)
	w.install(protocol.PathRoute{Kind: protocol.RouteStream, Resumable: true, Attempts: 2})
	var runs atomic.Int64
	serve := func(c net.Conn, _ *fasthttp.Request) {
		runs.Add(1)
		_, _ = io.WriteString(c, streamHead+chunk("data: a\n\n"))
		_ = c.Close()
	}
	w.backend("a", serve)
	w.backend("b", serve)
	if got := w.ask(); !got.broken || got.body != "data: a\n\n" || runs.Load() != 1 {
		t.Errorf("got %+v after %d runs, want one event, no end and one run", got, runs.Load())
	}
}

// TestPassedUnframedStreamIsNotComplete guards against broken streams that reach their caller as
// complete through another gateway.
func TestPassedUnframedStreamIsNotComplete(t *testing.T) {
	route := protocol.PathRoute{Name: "r", Kind: protocol.RouteStream, Attempts: 1}
	t.Run("broken at the helper's server", func(t *testing.T) {
		helper, first := newTestGateway(t), newPassingGateway(t)
		helper.backend("a", closingServer(unframedHead+event("1", "a")+"id: 2\nda"))
		helper.install(route)
		first.install(route)
		first.g.SetPeers([]protocol.Peer{helper.servePasses("helper")})
		if got := first.ask(); !got.broken || got.body != event("1", "a") {
			t.Errorf("got %+v", got)
		}
	})
	t.Run("from a helper that frames nothing", func(t *testing.T) {
		first, helper := newPassingGateway(t), newTestGateway(t)
		first.install(route)
		peer := helper.backend("peer", closingServer(unframedHead+event("1", "a"))) // Speaks for another gateway.
		first.g.SetPeers([]protocol.Peer{{Name: "helper", Address: peer.address}})
		if got := first.ask(); got.status == 200 && !got.broken {
			t.Errorf("got %+v", got)
		}
	})
}
