package forward

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/protocol"
)

// wholeHeads are heads of answers, each with another framing of the body.
var wholeHeads = map[string]string{
	"a length":                     "HTTP/1.1 200 OK\r\nId: 7\r\nWeights: 4\r\nContent-Length: 6\r\n\r\n",
	"no body":                      "HTTP/1.1 200 OK\r\nId: 7\r\nWeights: 4\r\nContent-Length: 0\r\n\r\n",
	"chunks":                       "HTTP/1.1 200 OK\r\nId: 7\r\nWeights: 4\r\nTransfer-Encoding: chunked\r\n\r\n",
	"neither":                      "HTTP/1.1 200 OK\r\nId: 7\r\nWeights: 4\r\n\r\n",
	"HTTP/1.0":                     "HTTP/1.0 200 OK\r\nId: 7\r\nWeights: 4\r\n\r\n",
	"behind an informational head": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nId: 7\r\n\r\n",
}

// cutStep is the number of bytes between two places at which a head is cut. Heads are cut at each byte in
// the tests of package backend.
const cutStep = 3

// forEachCut calls f with servers that stop in the middle of each head and close or reset the connection.
func forEachCut(f func(name string, serve func(net.Conn, *fasthttp.Request))) {
	for framing, head := range wholeHeads {
		cuts := []int{len(head) - 3, len(head) - 2, len(head) - 1}
		for at := 1; at < len(head)-3; at += cutStep {
			cuts = append(cuts, at)
		}
		for _, at := range cuts {
			f(fmt.Sprintf("%s, closed at %d", framing, at), closingServer(head[:at]))
			f(fmt.Sprintf("%s, reset at %d", framing, at), cuttingServer(head[:at]))
		}
	}
}

// cuttingServer writes raw bytes and resets the connection.
func cuttingServer(raw string) func(net.Conn, *fasthttp.Request) {
	return func(c net.Conn, _ *fasthttp.Request) {
		_, _ = io.WriteString(c, raw)
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// TestCutHeadIsNoAnswer guards against a server that stops in the middle of its answer's head: its caller
// must not get a success with an empty or a short body. A head that was cut is a lost answer on each kind
// of route, and of a server on trial as of another.
func TestCutHeadIsNoAnswer(t *testing.T) {
	for kind, route := range map[string]protocol.PathRoute{
		"plain":      {Attempts: 1},
		"repeatable": {Kind: protocol.RouteRepeatable, Attempts: 1},
		"stream":     {Kind: protocol.RouteStream, Resumable: true, Attempts: 1},
	} {
		for _, trial := range []bool{false, true} {
			forEachCut(func(name string, serve func(net.Conn, *fasthttp.Request)) {
				w := newTestGateway(t)
				w.install(route)
				version := "v1"
				if trial {
					version = "v2"
					w.setRollout(1, protocol.Rollout{Stage: protocol.RolloutTrial}, 1)
				}
				w.backendVersion("a", version, serve)
				if trial {
					w.setRollout(1, protocol.Rollout{Stage: protocol.RolloutTrial}, 1)
				}
				if got := w.ask(); got.status != 502 || got.verdict != protocol.MayHaveRun.String() {
					t.Errorf("%s, on trial %v, %s: got %+v, want status 502 and the verdict may-have-run", kind, trial, name, got)
				}
			})
		}
	}
}

// TestCutHeadOfResumedStream checks that a stream which goes on at another server is cut if that one stops
// in the middle of its head.
func TestCutHeadOfResumedStream(t *testing.T) {
	forEachCut(func(name string, serve func(net.Conn, *fasthttp.Request)) {
		w := newTestGateway(t)
		w.install(protocol.PathRoute{Kind: protocol.RouteStream, Resumable: true, Attempts: 2})
		both := firstThen(closingServer(streamHead+chunk(event("1", "a"))), serve)
		w.backend("a", both)
		w.backend("b", both)
		if got := w.ask(); got.status != 200 || !got.broken || got.body != event("1", "a") {
			t.Errorf("%s: got %+v, want the first event alone", name, got)
		}
	})
}

// TestCutHeadFromHelperIsNoAnswer checks the same of another gateway that the request was passed on to.
func TestCutHeadFromHelperIsNoAnswer(t *testing.T) {
	forEachCut(func(name string, serve func(net.Conn, *fasthttp.Request)) {
		first, helper := newPassingGateway(t), newTestGateway(t)
		first.install(protocol.PathRoute{Kind: protocol.RouteRepeatable, Attempts: 2})
		peer := helper.backend("peer", serve) // Speaks for another gateway.
		first.g.SetPeers([]protocol.Peer{{Name: "helper", Address: peer.address}})
		if got := first.ask(); got.status != 502 || got.verdict != protocol.MayHaveRun.String() {
			t.Errorf("%s: got %+v, want status 502 and the verdict may-have-run", name, got)
		}
	})
}

// TestCutHeadBehindHelper checks that a gateway which a request was passed on to does not make an answer of
// a server's head that was cut.
func TestCutHeadBehindHelper(t *testing.T) {
	forEachCut(func(name string, serve func(net.Conn, *fasthttp.Request)) {
		first, helper := newPassingGateway(t), newTestGateway(t)
		first.install(protocol.PathRoute{Kind: protocol.RouteRepeatable, Attempts: 1})
		helper.install(protocol.PathRoute{Kind: protocol.RouteRepeatable, Attempts: 1})
		helper.backend("a", serve)
		first.g.SetPeers([]protocol.Peer{helper.servePasses("helper")})
		if got := first.ask(); got.status != 502 || got.broken { // The dialect of these tests drops the helper's verdict.
			t.Errorf("%s: got %+v, want status 502", name, got)
		}
	})
}

// TestCutHeadOfCall checks that calls to servers and to other gateways fail if the head of the answer is
// cut.
func TestCutHeadOfCall(t *testing.T) {
	forEachCut(func(name string, serve func(net.Conn, *fasthttp.Request)) {
		w := newPassingGateway(t)
		b := w.backend("a", serve)
		out := fasthttp.AcquireRequest()
		defer fasthttp.ReleaseRequest(out)
		out.SetRequestURI("/call")
		out.Header.SetHost("h")
		if status, body, err := w.g.call(w.g.view.Load().Find("a"), out, time.Now().Add(testTimeout)); err == nil {
			t.Errorf("%s: a call to a server returned status %d and %q", name, status, body)
		}
		if err := w.g.callPeer(&protocol.Peer{Name: "peer", Address: b.address}, keepOriginsCall, &protocol.OriginsMsg{}, nil); err == nil {
			t.Errorf("%s: a call to another gateway succeeded", name)
		}
	})
}

// TestCutHeadOfMovedRun checks that a run whose target stops in the middle of its head goes on elsewhere or
// is cut, with each event in its order and none left out.
func TestCutHeadOfMovedRun(t *testing.T) {
	whole := ""
	for n := 1; n <= fakeEvents; n++ {
		whole += fakeEvent(n)
	}
	forEachCut(func(name string, serve func(net.Conn, *fasthttp.Request)) {
		f := newFakeEngines(t, moveFaults{stop: 200, target: 200, targetServes: serve}, "a", "b")
		f.w.installMoves(true)
		got := f.w.ask()
		if got.status != 200 || !strings.HasPrefix(whole, got.body) || (got.body != whole) != got.broken {
			t.Errorf("%s: status %d, broken %v, got %q", name, got.status, got.broken, got.body)
		}
	})
}
