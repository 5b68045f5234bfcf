package forward

import (
	"io"
	"net"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// TestEndRequests checks how requests that a server has end with their gateway: they may have run. The
// server is not blamed, and the request is not sent again.
func TestEndRequests(t *testing.T) {
	for name, c := range map[string]struct {
		route protocol.PathRoute
		begun string // begun is what the server has sent of its answer.
		want  reply
	}{
		"no answer":              {protocol.PathRoute{Attempts: 2}, "", reply{status: 502, verdict: "may-have-run"}},
		"no answer, repeatable":  {protocol.PathRoute{Kind: protocol.RouteRepeatable, Attempts: 2}, "", reply{status: 502, verdict: "may-have-run"}},
		"half an answer":         {protocol.PathRoute{Attempts: 2}, "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 4\r\n\r\nfi", reply{status: 502, verdict: "may-have-run"}},
		"a stream without event": {protocol.PathRoute{Kind: protocol.RouteStream, Resumable: true, Attempts: 2}, streamHead, reply{status: 502, verdict: "may-have-run"}},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestGateway(t)
			w.install(c.route)
			ended, received := make(chan struct{}), make(chan struct{}, 2)
			serve := func(conn net.Conn, _ *fasthttp.Request) {
				_, _ = io.WriteString(conn, c.begun)
				received <- struct{}{}
				<-ended
			}
			a, b := w.backend("a", serve), w.backend("b", serve)
			got := make(chan reply, 1)
			go func() { got <- w.ask() }()
			<-received
			w.g.Close()
			w.g.EndRequests()
			if got := <-got; got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
			close(ended)
			if n := a.runs.Load() + b.runs.Load(); n != 1 {
				t.Errorf("the request was sent %d times", n)
			}
			for _, id := range []string{"a", "b"} {
				if w.g.view.Load().Find(id).Stats.Suspect(clock.Now()) {
					t.Errorf("server %s is distrusted", id)
				}
			}
			if late := w.ask(); late.status != 503 || late.verdict != protocol.NotRun.String() {
				t.Errorf("a later request got %+v", late)
			}
		})
	}
}

// TestWaitingRequestsEndAsNotRun checks that requests which wait in the gateway are refused as not run when
// it ends its requests.
func TestWaitingRequestsEndAsNotRun(t *testing.T) {
	w := newTestGateway(t)
	w.g.triggerQuota = w.g.EndRequests // The request waits for quota from then on.
	w.g.separateQuota = true
	w.install(protocol.PathRoute{Attempts: 1}, protocol.WorkspaceSpec{Name: "one", Keys: []string{"1"}, Rate: 1, Burst: 1})
	server := w.backend("a", answerOK)
	if got := w.ask("Key: 1"); got.status != 503 || got.verdict != protocol.NotRun.String() || got.retry == "" || server.runs.Load() != 0 {
		t.Errorf("got %+v after %d runs", got, server.runs.Load())
	}
}

// TestBegunStreamIsCutAtEnd checks that a stream which has begun does not look complete when its gateway ends.
func TestBegunStreamIsCutAtEnd(t *testing.T) {
	w := newTestGateway(t)
	w.install(protocol.PathRoute{Kind: protocol.RouteStream, Resumable: true, Attempts: 2})
	w.backend("a", openServer(streamHead+chunk(event("1", "a"))))
	conn := w.dial()
	defer conn.Close()
	_, _ = io.WriteString(conn, "POST /r/x HTTP/1.1\r\nHost: h\r\nId: 7\r\nContent-Length: 0\r\n\r\n")
	got := readUntil(t, conn, event("1", "a"))
	w.g.EndRequests()
	if rest := readAll(conn); strings.HasSuffix(got+rest, "0\r\n\r\n") {
		t.Errorf("the stream has a proper end: %q", got+rest)
	}
}
