package forward

import (
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/transport/caller"
)

// dialPlain opens a connection to another gateway without authentication.
func dialPlain(address string, limit time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", address, limit)
}

// newPassingGateway returns a gateway that may pass requests on. It lists two servers that refuse
// connections.
func newPassingGateway(t *testing.T) *testGateway {
	t.Helper()
	w := newTestGateway(t)
	WithPeers(PeerConfig{Dial: dialPlain})(w.g)
	for _, id := range []string{"a", "b"} {
		w.servers = append(w.servers, protocol.Instance{ID: id, Service: "s", Address: closedAddress(t), Domain: "a", Slots: 4})
	}
	w.g.SetServers(w.servers)
	return w
}

// closedAddress returns an address that refuses connections. The port is bound until the test ends: another
// process could listen there otherwise, and answer.
func closedAddress(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)
}

// servePasses returns the peer under which a gateway takes requests from others.
func (w *testGateway) servePasses(name string) protocol.Peer {
	w.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = ln.Close() })
	server := caller.NewServer(w.g.PassHandler())
	w.ended = append(w.ended, func() { _ = ln.Close(); server.Drain() })
	go func() { _ = server.Serve(ln) }()
	return protocol.Peer{Name: name, Address: ln.Addr().String(), Domain: "a"}
}

// TestPassedOnceAndCountedOnce checks that a request for a service that is not reached is answered
// by another gateway, runs once, and is counted for quota, retries and usage by one gateway.
func TestPassedOnceAndCountedOnce(t *testing.T) {
	helper := newTestGateway(t)
	a, b := helper.backend("a", answerOK), helper.backend("b", answerOK)
	first := newPassingGateway(t)
	route, space := protocol.PathRoute{Name: "r", Attempts: 1}, protocol.WorkspaceSpec{Name: "w", Keys: []string{"k"}}
	helper.install(route, space)
	first.install(route, space)
	first.g.SetPeers([]protocol.Peer{helper.servePasses("helper")})
	const requests = 6
	for i := range requests {
		if got := first.ask("Key: k"); got.status != 200 || got.body != "fine" {
			t.Fatalf("request %d: got %+v", i, got)
		}
	}
	if total := a.runs.Load() + b.runs.Load(); total != requests {
		t.Errorf("%d runs for %d requests", total, requests)
	}
	if passed, served := first.g.meters.passes.Count(), helper.g.meters.passesServed.Count(); passed != requests || served != requests {
		t.Errorf("%d requests passed on, %d served for the other, want %d", passed, served, requests)
	}
	own, others := first.usage(), helper.usage()
	if own != 0 || others != requests {
		t.Errorf("usage: %d at the first gateway and %d at the helper, want 0 and %d", own, others, requests)
	}
	credit := first.retryCredit() + helper.retryCredit()
	if want := helper.g.cfg.RetryRatio / 2 * requests; credit != want {
		t.Errorf("the requests earned %v retries at both gateways together, want %v", credit, want)
	}
}

// usage returns the number of requests that the gateway counted as started.
func (w *testGateway) usage() (n int64) {
	for _, row := range w.g.Report(0).Usage {
		n += row.Count
	}
	return n
}

func (w *testGateway) retryCredit() float64 {
	b := &w.g.retries
	b.mu.Lock()
	defer b.mu.Unlock()
	credit, _ := b.allowance("s").Available(clock.Now())
	return credit
}

// TestBrokenPassMayHaveRun checks that a request whose pass breaks is neither sent again nor
// reported as not run, and that one that no gateway takes is refused as not run.
func TestBrokenPassMayHaveRun(t *testing.T) {
	for name, c := range map[string]struct {
		serve   func(c net.Conn, req *fasthttp.Request)
		status  int
		verdict string
		served  int64
	}{
		"connection closed": {closeSilently, 502, "may-have-run", 1},
		"answer cut off": {func(c net.Conn, _ *fasthttp.Request) {
			_, _ = fmt.Fprint(c, "HTTP/1.1 200 X\r\nId: 7\r\nContent-Length: 9\r\n\r\nfi")
			_ = c.Close()
		}, 502, "may-have-run", 1},
		"not tried":          {func(c net.Conn, _ *fasthttp.Request) { writeAnswer(c, 503, passUnservedHeader+": 1\r\n", "") }, 503, "not-run", 1},
		"refused for itself": {func(c net.Conn, _ *fasthttp.Request) { writeAnswer(c, 429, "Verdict: not-run\r\n", "") }, 429, "", 1},
	} {
		t.Run(name, func(t *testing.T) {
			w := newPassingGateway(t)
			w.install(protocol.PathRoute{Name: "r", Attempts: 1})
			helper := newTestGateway(t)
			peer := helper.backend("peer", c.serve) // Speaks for another gateway.
			w.g.SetPeers([]protocol.Peer{{Name: "helper", Address: peer.address}})
			got := w.ask()
			if got.status != c.status || got.verdict != c.verdict || peer.runs.Load() != c.served {
				t.Errorf("got %+v, passed on %d times", got, peer.runs.Load())
			}
		})
	}
}

// TestPassedRequestIsNotPassedOn checks that a gateway that reaches no server either neither passes
// on a request that was passed on to it nor keeps the first gateway from asking another one.
func TestPassedRequestIsNotPassedOn(t *testing.T) {
	route := protocol.PathRoute{Name: "r", Attempts: 1}
	first, second, third := newPassingGateway(t), newPassingGateway(t), newTestGateway(t)
	server := third.backend("a", answerOK)
	for _, w := range []*testGateway{first, second, third} {
		w.install(route)
	}
	thirdPeer := third.servePasses("third")
	second.g.SetPeers([]protocol.Peer{thirdPeer})
	first.g.SetPeers([]protocol.Peer{second.servePasses("second"), {Name: "third", Address: thirdPeer.Address, Domain: "b"}})
	if got := first.ask(); got.status != 200 || server.runs.Load() != 1 {
		t.Errorf("got %+v after %d runs", got, server.runs.Load())
	}
	if n := second.g.meters.passes.Count(); n != 0 {
		t.Errorf("the second gateway passed %d requests on", n)
	}
}

// TestStreamIsPassedAsItArrives checks that the events of a passed stream reach the caller before
// the stream ends, and that one that is cut off does not look complete.
func TestStreamIsPassedAsItArrives(t *testing.T) {
	for _, cut := range []bool{false, true} {
		t.Run(fmt.Sprint("cut ", cut), func(t *testing.T) {
			helper, first := newTestGateway(t), newPassingGateway(t)
			goOn := make(chan struct{})
			helper.backend("a", func(c net.Conn, _ *fasthttp.Request) {
				_, _ = fmt.Fprint(c, "HTTP/1.1 200 X\r\nId: 7\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk("id: 1\n\n"))
				<-goOn
				if cut {
					_ = c.Close()
					return
				}
				_, _ = fmt.Fprint(c, chunk("id: 2\n\n")+"0\r\n\r\n")
			})
			route := protocol.PathRoute{Name: "r", Kind: protocol.RouteStream, Attempts: 1}
			helper.install(route)
			first.install(route)
			first.g.SetPeers([]protocol.Peer{helper.servePasses("helper")})
			conn := first.dial()
			defer conn.Close()
			_, _ = fmt.Fprint(conn, "POST /r/x HTTP/1.1\r\nHost: h\r\nId: 7\r\nContent-Length: 0\r\n\r\n")
			got := readUntil(t, conn, "id: 1")
			close(goOn)
			rest := readAll(conn)
			complete := strings.HasSuffix(got+rest, "0\r\n\r\n")
			if complete == cut || (!cut && !strings.Contains(got+rest, "id: 2")) {
				t.Errorf("cut %v: got %q", cut, got+rest)
			}
		})
	}
}

// readUntil reads from a connection until a text has arrived.
func readUntil(t *testing.T, conn net.Conn, text string) string {
	t.Helper()
	var got strings.Builder
	buf := make([]byte, 1<<10)
	for !strings.Contains(got.String(), text) {
		n, err := conn.Read(buf)
		if err != nil {
			t.Fatalf("after %q: %v", got.String(), err)
		}
		got.Write(buf[:n])
	}
	return got.String()
}

// readAll reads what comes until the connection ends or an answer does.
func readAll(conn net.Conn) string {
	var got strings.Builder
	buf := make([]byte, 1<<10)
	for !strings.HasSuffix(got.String(), "0\r\n\r\n") {
		n, err := conn.Read(buf)
		got.Write(buf[:n])
		if err != nil {
			break
		}
	}
	return got.String()
}

// TestCallerGoneEndsPassedRequest checks that a caller that hangs up ends its request at the server
// behind the other gateway.
func TestCallerGoneEndsPassedRequest(t *testing.T) {
	helper, first := newTestGateway(t), newPassingGateway(t)
	began, ended := make(chan struct{}), make(chan struct{})
	var once atomic.Bool
	helper.backend("a", func(c net.Conn, _ *fasthttp.Request) {
		close(began)
		_, _ = c.Read(make([]byte, 1)) // Returns when the connection is closed.
		if once.CompareAndSwap(false, true) {
			close(ended)
		}
	})
	route := protocol.PathRoute{Name: "r", Attempts: 1}
	helper.install(route)
	first.install(route)
	first.g.SetPeers([]protocol.Peer{helper.servePasses("helper")})
	conn := first.dial()
	_, _ = fmt.Fprint(conn, "POST /r/x HTTP/1.1\r\nHost: h\r\nId: 7\r\nContent-Length: 0\r\n\r\n")
	<-began
	_ = conn.Close()
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Error("the server still has the request")
	}
}

// TestUnreachedServersAreNotReported checks that a gateway that reaches no server while others do
// reports neither distrust nor crashes of servers.
func TestUnreachedServersAreNotReported(t *testing.T) {
	w := newPassingGateway(t)
	w.install(protocol.PathRoute{Name: "r", Attempts: 1})
	w.g.SetPeers([]protocol.Peer{{Name: "helper", Address: closedAddress(t)}})
	if got := w.ask(); got.status != 503 || got.verdict != "not-run" {
		t.Errorf("got %+v", got)
	}
	if m := w.g.Report(0); len(m.Distrusts) > 0 || len(m.Observations) > 0 {
		t.Errorf("distrusts %v and observations %v are reported", m.Distrusts, m.Observations)
	}
	w.g.SetPeers([]protocol.Peer{{Name: "helper", Address: closedAddress(t), Lost: []protocol.ServiceLoss{{Service: "s", Lost: 2}}}})
	if m := w.g.Report(0); len(m.Distrusts) != 2 {
		t.Errorf("distrusts %v are reported of servers that no gateway reaches, want two", m.Distrusts)
	}
}

// TestRefusedByPathIsNoCrash checks that servers whose connections break and are refused together are
// not reported as ended if another gateway reaches them, and are if none does.
func TestRefusedByPathIsNoCrash(t *testing.T) {
	for name, c := range map[string]struct {
		lostByPeer, reported int
	}{"another gateway reaches them": {0, 0}, "another gateway reaches one more": {2, 1}, "no gateway reaches them": {3, 1}} {
		t.Run(name, func(t *testing.T) {
			w := newTestGateway(t)
			WithPeers(PeerConfig{Dial: dialPlain})(w.g)
			log := make(logLines, 100)
			w.setRegions(log)
			w.install(protocol.PathRoute{Attempts: 1})
			var servers []*backendServer
			for _, id := range []string{"a", "b", "c"} {
				servers = append(servers, w.backend(id, func(conn net.Conn, _ *fasthttp.Request) {
					for _, s := range servers {
						_ = s.listener.Close()
					}
					_ = conn.Close()
				}))
			}
			w.g.SetPeers([]protocol.Peer{{Name: "peer", Address: closedAddress(t), Lost: []protocol.ServiceLoss{{Service: "s", Lost: c.lostByPeer}}}})
			w.ask()
			log.await(t, "connections of a server broke")
			if observations := w.g.Report(1).Observations; len(observations) != c.reported {
				t.Errorf("reported %+v, want %d", observations, c.reported)
			}
		})
	}
}
