package forward

import (
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/transport/backend"
)

// tinyEvent is a body that is a whole answer on any route.
const tinyEvent = "id:1\n\n"

// malformedHeads are heads of answers that break the grammar of HTTP/1.1 (RFC 9112), with the
// bodies of those in chunks.
var malformedHeads = map[string]string{
	"status 000":                    "HTTP/1.1 000 X\r\nId: 7\r\nContent-Length: 6\r\n\r\n",
	"status 000 after a 100":        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 X\r\nId: 7\r\nContent-Length: 6\r\n\r\n",
	"status 099":                    "HTTP/1.1 099 X\r\nId: 7\r\nContent-Length: 6\r\n\r\n",
	"status 600":                    "HTTP/1.1 600 X\r\nId: 7\r\nContent-Length: 6\r\n\r\n",
	"status 999":                    "HTTP/1.1 999 X\r\nId: 7\r\nContent-Length: 6\r\n\r\n",
	"two digits":                    "HTTP/1.1 20 X\r\nId: 7\r\nContent-Length: 6\r\n\r\n",
	"two spaces before the status":  "HTTP/1.1  200 X\r\nId: 7\r\nContent-Length: 6\r\n\r\n",
	"a tab before the status":       "HTTP/1.1\t200 X\r\nId: 7\r\nContent-Length: 6\r\n\r\n",
	"a control byte in the reason":  "HTTP/1.1 200 X\x01\r\nId: 7\r\nContent-Length: 6\r\n\r\n",
	"another major version":         "HTTP/2.0 200 X\r\nId: 7\r\nContent-Length: 6\r\n\r\n",
	"an empty line first":           "\r\nHTTP/1.1 200 X\r\nId: 7\r\nContent-Length: 6\r\n\r\n",
	"a blank in the first name":     "HTTP/1.1 200 X\r\nBad Name: x\r\nId: 7\r\nContent-Length: 6\r\n\r\n",
	"a blank in the last name":      "HTTP/1.1 200 X\r\nId: 7\r\nContent-Length: 6\r\nBad Name: x\r\n\r\n",
	"a blank behind the first name": "HTTP/1.1 200 X\r\nBad : x\r\nId: 7\r\nContent-Length: 6\r\n\r\n",
	"a blank behind the last name":  "HTTP/1.1 200 X\r\nId: 7\r\nContent-Length: 6\r\nBad : x\r\n\r\n",
	"a blank behind the length":     "HTTP/1.1 200 X\r\nId: 7\r\nContent-Length : 6\r\n\r\n",
	"a tab behind a name":           "HTTP/1.1 200 X\r\nId: 7\r\nContent-Length: 6\r\nBad\t: x\r\n\r\n",
	"a control byte in a name":      "HTTP/1.1 200 X\r\nId: 7\r\nContent-Length: 6\r\nB\x01d: x\r\n\r\n",
	"a parenthesis in a name":       "HTTP/1.1 200 X\r\nId: 7\r\nContent-Length: 6\r\nB(d: x\r\n\r\n",
	"a byte above 127 in a name":    "HTTP/1.1 200 X\r\nId: 7\r\nContent-Length: 6\r\nB\xe4d: x\r\n\r\n",
	"no name":                       "HTTP/1.1 200 X\r\nId: 7\r\nContent-Length: 6\r\n: x\r\n\r\n",
	"no colon":                      "HTTP/1.1 200 X\r\nId: 7\r\nContent-Length: 6\r\nBad\r\n\r\n",
	"a control byte in a value":     "HTTP/1.1 200 X\r\nId: 7\r\nContent-Length: 6\r\nBad: x\x01y\r\n\r\n",
	"a folded line":                 "HTTP/1.1 200 X\r\nId: 7\r\nContent-Length: 6\r\nBad: x\r\n y\r\n\r\n",
	"a line that ends with LF":      "HTTP/1.1 200 X\r\nId: 7\nContent-Length: 6\r\n\r\n",
	"two lengths":                   "HTTP/1.1 200 X\r\nId: 7\r\nContent-Length: 6\r\nContent-Length: 6\r\n\r\n",
	"a length and chunks":           "HTTP/1.1 200 X\r\nId: 7\r\nContent-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n6\r\n" + tinyEvent + "\r\n0\r\n\r\n",
	"chunks with HTTP/1.0":          "HTTP/1.0 200 X\r\nId: 7\r\nTransfer-Encoding: chunked\r\n\r\n6\r\n" + tinyEvent + "\r\n0\r\n\r\n",
	"chunks with HTTP/1.2":          "HTTP/1.2 200 X\r\nId: 7\r\nTransfer-Encoding: chunked\r\n\r\n6\r\n" + tinyEvent + "\r\n0\r\n\r\n",
	"another protocol":              "HTTP/1.1 101 X\r\nUpgrade: x\r\n\r\nHTTP/1.1 200 X\r\nId: 7\r\nContent-Length: 6\r\n\r\n",
	"a broken informational answer": "HTTP/1.1 103 X\r\nBad Name: x\r\n\r\nHTTP/1.1 200 X\r\nId: 7\r\nContent-Length: 6\r\n\r\n",
	"a blank in a trailer's name":   "HTTP/1.1 200 X\r\nId: 7\r\nTransfer-Encoding: chunked\r\n\r\n6\r\n" + tinyEvent + "\r\n0\r\nBad Name: x\r\n\r\n",
}

// openServer writes raw bytes and keeps the connection open.
func openServer(raw string) func(net.Conn, *fasthttp.Request) {
	return func(c net.Conn, _ *fasthttp.Request) { _, _ = io.WriteString(c, raw) }
}

// withBody returns the answer that begins with a head.
func withBody(head string) string {
	if strings.Contains(strings.ToLower(head), "chunked") {
		return head
	}
	return head + tinyEvent
}

// TestMalformedHeadIsNoAnswer guards against answers with a malformed head that reach their caller: the
// request may have run, and the connection to the server is not used again.
func TestMalformedHeadIsNoAnswer(t *testing.T) {
	for name, head := range malformedHeads {
		for kind, route := range map[string]protocol.PathRoute{
			"plain":      {Attempts: 2},
			"repeatable": {Kind: protocol.RouteRepeatable, Attempts: 1},
			"stream":     {Kind: protocol.RouteStream, Attempts: 2},
		} {
			if kind == "stream" && strings.Contains(name, "trailer") {
				continue // The body comes first.
			}
			t.Run(kind+"/"+name, func(t *testing.T) {
				w := newTestGateway(t)
				w.install(route)
				server := w.backend("a", firstThen(openServer(withBody(head)), answerOK))
				if got := w.ask(); got.status != 502 || got.verdict != protocol.MayHaveRun.String() {
					t.Errorf("got %+v, want status 502 and the verdict may-have-run", got)
				}
				if n := server.runs.Load(); n != 1 {
					t.Errorf("the request was sent %d times", n)
				}
				if lost := w.g.LostServers(); len(lost) > 0 {
					t.Errorf("the server that answered counts as not reached: %v", lost)
				}
				if opened := w.g.pool.Opened(); opened != 1 {
					t.Fatalf("%d connections were opened", opened)
				}
				if w.ask(); w.g.pool.Opened() != 2 {
					t.Error("the connection was used again")
				}
			})
		}
	}
}

// TestMalformedHeadIsAskedAgain checks that a request that may be repeated gets the answer of another
// server.
func TestMalformedHeadIsAskedAgain(t *testing.T) {
	for name, head := range malformedHeads {
		t.Run(name, func(t *testing.T) {
			w := newTestGateway(t)
			w.install(protocol.PathRoute{Kind: protocol.RouteRepeatable, Attempts: 2})
			serve := firstThen(openServer(withBody(head)), func(c net.Conn, _ *fasthttp.Request) { writeAnswer(c, 200, "Seal: s\r\n", "sound") })
			w.backend("a", serve)
			w.backend("b", serve)
			if got := w.ask(); got.status != 200 || got.body != "sound" {
				t.Errorf("got %+v, want the other server's answer", got)
			}
		})
	}
}

// TestMalformedHeadFromHelperIsNoAnswer guards against malformed answers of another gateway that the
// request was passed on to.
func TestMalformedHeadFromHelperIsNoAnswer(t *testing.T) {
	for name, head := range malformedHeads {
		if strings.Contains(name, "trailer") {
			continue // Its stream has begun at the caller.
		}
		t.Run(name, func(t *testing.T) {
			first, helper := newPassingGateway(t), newTestGateway(t)
			first.install(protocol.PathRoute{Kind: protocol.RouteRepeatable, Attempts: 2})
			peer := helper.backend("peer", openServer(withBody(head))) // Speaks for another gateway.
			first.g.SetPeers([]protocol.Peer{{Name: "helper", Address: peer.address}})
			if got := first.ask(); got.status != 502 || got.verdict != protocol.MayHaveRun.String() {
				t.Errorf("got %+v, want status 502 and the verdict may-have-run", got)
			}
		})
	}
}

// TestUnusualHeadsStayWhole checks that heads that are rare but allowed are relayed.
func TestUnusualHeadsStayWhole(t *testing.T) {
	for name, head := range map[string]string{
		"all bytes of names":           "HTTP/1.1 200 OK\r\nId: 7\r\nx!#$%&'*+-.^_|~9: x\r\nContent-Length: 6\r\n\r\n",
		"a tab in a value":             "HTTP/1.1 200 OK\r\nId: 7\r\nA: x\ty\r\nContent-Length: 6\r\n\r\n",
		"bytes above 127 in a value":   "HTTP/1.1 200 OK\r\nId: 7\r\nA: \xc3\xa4\xff\r\nContent-Length: 6\r\n\r\n",
		"an empty value":               "HTTP/1.1 200 OK\r\nId: 7\r\nA:\r\nContent-Length: 6\r\n\r\n",
		"blanks around a value":        "HTTP/1.1 200 OK\r\nId:7\r\nA: \t x \t\r\nContent-Length:   6  \r\n\r\n",
		"no reason":                    "HTTP/1.1 200 \r\nId: 7\r\nContent-Length: 6\r\n\r\n",
		"neither a reason nor a space": "HTTP/1.1 200\r\nId: 7\r\nContent-Length: 6\r\n\r\n",
		"a reason above 127":           "HTTP/1.1 200 \xe4\tb\r\nId: 7\r\nContent-Length: 6\r\n\r\n",
		"HTTP/1.0":                     "HTTP/1.0 200 OK\r\nId: 7\r\nContent-Length: 6\r\n\r\n",
		"informational answers first":  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 6\r\n\r\n",
		"chunks and a trailer":         "HTTP/1.1 200 OK\r\nId: 7\r\nTransfer-Encoding: Chunked\r\n\r\n6;a=b\r\n" + tinyEvent + "\r\n0\r\nA: x\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestGateway(t)
			w.install(protocol.PathRoute{Attempts: 1})
			w.backend("a", openServer(withBody(head)))
			if got := w.ask(); got.status != 200 || got.body != tinyEvent || got.broken {
				t.Errorf("got %+v, want the whole answer", got)
			}
		})
	}
}

// TestMalformedHeadOfResumedStream checks that a stream which goes on at another server is cut, not ended or
// continued, if that one's answer is malformed.
func TestMalformedHeadOfResumedStream(t *testing.T) {
	for name, head := range malformedHeads {
		if strings.Contains(name, "trailer") {
			continue // The events come first.
		}
		t.Run(name, func(t *testing.T) {
			w := newTestGateway(t)
			w.install(protocol.PathRoute{Kind: protocol.RouteStream, Resumable: true, Attempts: 2})
			serve := firstThen(closingServer(streamHead+chunk(event("1", "a"))), openServer(withBody(strings.ReplaceAll(head, tinyEvent, "id:2\n\n"))))
			w.backend("a", serve)
			w.backend("b", serve)
			if got := w.ask(); got.status != 200 || !got.broken || got.body != event("1", "a") {
				t.Errorf("got %+v, want the first event alone", got)
			}
		})
	}
}

// TestMalformedAnswersToCalls checks that calls to servers, such as those that move a run, and to other
// gateways fail if the answer is malformed.
func TestMalformedAnswersToCalls(t *testing.T) {
	for name, head := range malformedHeads {
		t.Run(name, func(t *testing.T) {
			w := newPassingGateway(t)
			b := w.backend("a", openServer(withBody(head)))
			out := fasthttp.AcquireRequest()
			defer fasthttp.ReleaseRequest(out)
			out.SetRequestURI("/call")
			out.Header.SetHost("h")
			if status, body, err := w.g.call(w.g.view.Load().Find("a"), out, time.Now().Add(time.Second)); err == nil {
				t.Errorf("a call to a server returned status %d and %q", status, body)
			}
			if err := w.g.callPeer(&protocol.Peer{Name: "peer", Address: b.address}, keepOriginsCall, &protocol.OriginsMsg{}, nil); err == nil {
				t.Error("a call to another gateway succeeded")
			}
		})
	}
}

// TestMalformedAnswersCountAgainstServer checks that a server is distrusted for malformed answers as for
// others that are lost.
func TestMalformedAnswersCountAgainstServer(t *testing.T) {
	w := newTestGateway(t)
	w.install(protocol.PathRoute{Attempts: 1})
	w.backend("a", openServer(withBody(malformedHeads["status 000"])))
	for range 3 {
		w.ask()
	}
	if !w.g.view.Load().Find("a").Stats.Suspect(clock.Now()) {
		t.Error("the server is trusted")
	}
}

// TestMalformedAnswerIsNoCrash checks that a malformed answer says nothing of a crash, while an end of the
// connection may.
func TestMalformedAnswerIsNoCrash(t *testing.T) {
	for err, want := range map[error]bool{
		backend.ErrMalformed:                         false,
		fmt.Errorf("read: %w", backend.ErrMalformed): false,
		errTooLarge:         false,
		io.ErrUnexpectedEOF: true,
		syscall.ECONNRESET:  true,
	} {
		if got := isCrash(err); got != want {
			t.Errorf("%v: %v, want %v", err, got, want)
		}
	}
}
