package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/coordination/resend"
	"github.com/weldstream/weldstream/coordination/usage"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/transport/caller"
)

const patience = 10 * time.Second

// plain is a dialect with few headers.
type plain struct{}

func (plain) Call(req *fasthttp.Request) protocol.Call {
	return protocol.Call{
		ID:        string(req.Header.Peek("Id")),
		Host:      string(req.Header.Host()),
		Path:      string(req.Header.RequestURI()),
		Secret:    string(req.Header.Peek("Key")),
		LastEvent: string(req.Header.Peek("Last")),
		Remaining: remaining(string(req.Header.Peek("Remaining"))),
	}
}

// remaining reads milliseconds; 0 where there are none.
func remaining(text string) time.Duration {
	ms, _ := strconv.Atoi(text)
	return time.Duration(ms) * time.Millisecond
}

func (plain) Attempt(out, in *fasthttp.Request, a Attempt) {
	in.Header.CopyTo(&out.Header)
	out.Header.Set("Workspace", a.Workspace)
	out.Header.Set("Remaining", strconv.FormatInt(a.Remaining.Milliseconds(), 10))
	if a.LastEvent != "" {
		out.Header.Set("Last", a.LastEvent)
	}
	if a.Weights != "" {
		out.Header.Set("Only-Weights", a.Weights)
	}
	if a.ContinueFrom != "" {
		out.Header.Set("Go-On", a.ContinueFrom)
	}
	out.SetBodyRaw(in.Body())
}

func (plain) Reply(h *fasthttp.ResponseHeader) Reply {
	return Reply{ID: string(h.Peek("Id")), NotRun: len(h.Peek("Not-Run")) > 0, Foreign: len(h.Peek("Foreign")) > 0, Weights: string(h.Peek("Weights")), Close: h.ConnectionClose(), Feedback: says(h)}
}

// says reads what a server says of itself.
func says(h *fasthttp.ResponseHeader) protocol.ServerFeedback {
	var s protocol.ServerFeedback
	if text := string(h.Peek("Limit")); text != "" {
		s.Limit.Named = true
		s.Limit.PerSecond, _ = strconv.ParseFloat(text, 64)
	}
	if seconds, err := strconv.ParseFloat(string(h.Peek("Rest")), 64); err == nil {
		s.Rest = time.Duration(seconds * float64(time.Second))
	}
	s.Leaving = len(h.Peek("Leaving")) > 0
	return s
}

func (plain) Answer(out, in *fasthttp.Response) {
	out.SetStatusCode(in.StatusCode())
	out.Header.Set("Seal", string(in.Header.Peek("Seal")))
}

func (plain) Refuse(out *fasthttp.Response, _ string, r *protocol.Refusal) {
	out.SetStatusCode(r.Status)
	out.Header.Set("Verdict", r.Verdict.String())
	if r.RetryAfter > 0 {
		out.Header.Set("Retry-After", fmt.Sprint(r.RetryAfter.Seconds()))
	}
}

// backendServer is a server whose behavior is a func of the request.
type backendServer struct {
	id       string
	address  string
	listener net.Listener
	runs     atomic.Int64
}

// world is a gateway before some backend servers.
type world struct {
	t       *testing.T
	g       *Gateway
	address string
	servers []protocol.Instance
	number  uint64
}

func newWorld(t *testing.T, opts ...caller.Option) *world {
	t.Helper()
	w := &world{t: t, g: New(Config{Name: "g", Domain: "a", KeyRevocationBound: time.Hour, RetryRatio: 1, RetryExtra: 100, RetryWindow: time.Second, UsageWindow: time.Second, UsageReportDelay: time.Second}, plain{})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	server := caller.NewServer(w.g, opts...)
	go func() { _ = server.Serve(ln) }()
	w.address = ln.Addr().String()
	w.g.Confirm(clock.Now(), 1)
	return w
}

// backend adds a server of the service "s".
func (w *world) backend(id string, serve func(c net.Conn, req *fasthttp.Request)) *backendServer {
	w.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = ln.Close() })
	b := &backendServer{id: id, address: ln.Addr().String(), listener: ln}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for {
					var req fasthttp.Request
					if req.Read(br) != nil {
						return
					}
					b.runs.Add(1)
					serve(c, &req)
				}
			}()
		}
	}()
	w.servers = append(w.servers, protocol.Instance{ID: id, Service: "s", Address: b.address, Domain: "a", Slots: 4})
	w.g.SetServers(w.servers)
	return b
}

// install puts a catalog with one route in force.
func (w *world) install(r protocol.PathRoute, spaces ...protocol.WorkspaceSpec) {
	w.number++
	r.Host, r.Prefix, r.Split = "h", "/r/", []protocol.WeightedService{{Service: "s", Weight: 1}}
	if r.Timeout == 0 {
		r.Timeout = patience
	}
	w.g.Install(&protocol.Catalog{Number: w.number, Routes: []protocol.PathRoute{r}, Services: []protocol.ServiceSpec{{Name: "s"}}, Workspaces: spaces})
}

// reply is what a caller got. Broken says that the answer did not end.
type reply struct {
	status  int
	verdict string
	retry   string
	body    string
	broken  bool
}

func (w *world) ask(headers ...string) reply { return w.send("body", headers...) }

// dial connects to the gateway for a bounded time.
func (w *world) dial() net.Conn {
	w.t.Helper()
	conn, err := net.Dial("tcp", w.address)
	if err != nil {
		w.t.Fatal(err)
	}
	_ = conn.SetDeadline(time.Now().Add(patience))
	return conn
}

// send sends a request with a body.
func (w *world) send(body string, headers ...string) reply {
	w.t.Helper()
	conn := w.dial()
	defer conn.Close()
	_, _ = io.WriteString(conn, "POST /r/x HTTP/1.1\r\n"+strings.Join(append(headers, "Host: h", "Id: 7", fmt.Sprintf("Content-Length: %d", len(body))), "\r\n")+"\r\n\r\n"+body)
	resp := &fasthttp.Response{}
	resp.StreamBody = true
	if err := resp.Read(bufio.NewReader(conn)); err != nil {
		return reply{broken: true}
	}
	var data []byte
	var err error
	if resp.BodyStream() != nil {
		data, err = io.ReadAll(resp.BodyStream())
	}
	return reply{
		status:  resp.StatusCode(),
		verdict: string(resp.Header.Peek("Verdict")),
		retry:   string(resp.Header.Peek("Retry-After")),
		body:    string(data),
		broken:  err != nil,
	}
}

func say(c net.Conn, status int, headers, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\nId: 7\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
}

func good(c net.Conn, _ *fasthttp.Request) { say(c, 200, "", "fine") }

func full(c net.Conn, _ *fasthttp.Request) { say(c, 503, "Not-Run: 1\r\n", "") }

func silent(c net.Conn, _ *fasthttp.Request) { _ = c.Close() }

// TestAnswerIsPassedOn checks that status, body and the request's own body come
// through unchanged.
func TestAnswerIsPassedOn(t *testing.T) {
	w := newWorld(t)
	w.install(protocol.PathRoute{Attempts: 1})
	w.backend("a", func(c net.Conn, req *fasthttp.Request) {
		say(c, 201, "", string(req.Header.Method())+string(req.Header.RequestURI())+string(req.Body()))
	})
	if got := w.ask(); got.status != 201 || got.body != "POST/r/xbody" || got.broken {
		t.Errorf("got %+v", got)
	}
}

// TestVerdicts walks through what may become of an attempt and checks what the
// caller is told, and how often the request ran.
func TestVerdicts(t *testing.T) {
	for name, c := range map[string]struct {
		route   protocol.PathRoute
		first   func(c net.Conn, req *fasthttp.Request)
		status  int
		verdict string
		runs    int64 // runs are requests that reached any server.
	}{
		"once, turned away, elsewhere":     {protocol.PathRoute{Attempts: 2}, full, 200, "", 2},
		"once, turned away, no more":       {protocol.PathRoute{Attempts: 1}, full, 503, "not-run", 1},
		"once, no answer":                  {protocol.PathRoute{Attempts: 3}, silent, 502, "may-have-run", 1},
		"repeatable, no answer":            {protocol.PathRoute{Kind: protocol.RouteRepeatable, Attempts: 2}, silent, 200, "", 2},
		"repeatable, failed":               {protocol.PathRoute{Kind: protocol.RouteRepeatable, Attempts: 2}, func(c net.Conn, _ *fasthttp.Request) { say(c, 500, "", "") }, 200, "", 2},
		"once, failed":                     {protocol.PathRoute{Attempts: 2}, func(c net.Conn, _ *fasthttp.Request) { say(c, 500, "", "") }, 500, "", 1},
		"once, a promise without proof":    {protocol.PathRoute{Attempts: 2}, func(c net.Conn, _ *fasthttp.Request) { say(c, 503, "", "") }, 502, "may-have-run", 1},
		"once, the answer of another":      {protocol.PathRoute{Attempts: 1}, another(false), 502, "may-have-run", 1},
		"once, another's answer before it": {protocol.PathRoute{Attempts: 1}, another(true), 200, "", 1},
		"once, short of its length": {protocol.PathRoute{Attempts: 1}, func(c net.Conn, _ *fasthttp.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 9\r\n\r\nshort")
			_ = c.Close()
		}, 502, "may-have-run", 1},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.install(c.route)
			// The first server chosen behaves as the case says, any other is good.
			var once sync.Once
			var runs atomic.Int64
			serve := func(conn net.Conn, req *fasthttp.Request) {
				runs.Add(1)
				bad := false
				once.Do(func() { bad = true })
				if bad {
					c.first(conn, req)
					return
				}
				good(conn, req)
			}
			w.backend("a", serve)
			w.backend("b", serve)
			got := w.ask()
			if got.status != c.status || got.verdict != c.verdict || runs.Load() != c.runs {
				t.Errorf("got %+v after %d runs; want status %d, verdict %q, %d runs", got, runs.Load(), c.status, c.verdict, c.runs)
			}
			if (got.status == 503) != (got.retry != "") {
				t.Errorf("status %d says %q when to come back", got.status, got.retry)
			}
		})
	}
}

// another sends the answer of another request, and then its own or none.
func another(own bool) func(c net.Conn, _ *fasthttp.Request) {
	return func(c net.Conn, req *fasthttp.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 6\r\nContent-Length: 5\r\n\r\nother")
		if own {
			good(c, req)
			return
		}
		_ = c.Close()
	}
}

const streamHead = "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// TestStreamGoesOnElsewhere checks that a stream which breaks in the middle of an
// event goes on at another server behind the last whole one: each event arrives
// once and in order, though the second server repeats some.
func TestStreamGoesOnElsewhere(t *testing.T) {
	w := newWorld(t)
	w.install(protocol.PathRoute{Kind: protocol.RouteStream, Resumable: true, Attempts: 2})
	var once sync.Once
	var last atomic.Value
	serve := func(c net.Conn, req *fasthttp.Request) {
		first := false
		once.Do(func() { first = true })
		if first {
			_, _ = io.WriteString(c, streamHead+chunk("id: 1\ndata: a\n\n")+chunk("id: 2\ndata: b\n\nid: 3\nda"))
			_ = c.Close()
			return
		}
		last.Store(string(req.Header.Peek("Last")))
		_, _ = io.WriteString(c, streamHead+chunk("id: 2\ndata: b\n\nid: 3\ndata: c\n\n")+chunk("id: 4\ndata: d\n\n")+"0\r\n\r\n")
	}
	w.backend("a", serve)
	w.backend("b", serve)
	got := w.ask()
	if want := "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n"; got.body != want || got.broken {
		t.Errorf("got %+v", got)
	}
	if last.Load() != "2" {
		t.Errorf("the second server was asked to go on behind %v", last.Load())
	}
}

// TestBrokenStreamIsCut checks that a stream that may run once and breaks off is
// cut at the caller too, and not run again.
func TestBrokenStreamIsCut(t *testing.T) {
	w := newWorld(t)
	w.install(protocol.PathRoute{Kind: protocol.RouteStream, Attempts: 3})
	serve := func(c net.Conn, _ *fasthttp.Request) {
		_, _ = io.WriteString(c, streamHead+chunk("id: 1\ndata: a\n\n"))
		_ = c.Close()
	}
	a, b := w.backend("a", serve), w.backend("b", serve)
	if got := w.ask(); !got.broken || got.status != 200 {
		t.Errorf("got %+v", got)
	}
	if n := a.runs.Load() + b.runs.Load(); n != 1 {
		t.Errorf("it ran %d times", n)
	}
}

// TestTimeLimitOfTheRoute checks that a request gets its final answer when its
// route's time is over, whatever the caller would wait, and that the server
// learns of it.
func TestTimeLimitOfTheRoute(t *testing.T) {
	w := newWorld(t)
	w.install(protocol.PathRoute{Attempts: 1, Timeout: 50 * time.Millisecond})
	left := make(chan struct{})
	w.backend("a", func(c net.Conn, _ *fasthttp.Request) {
		_, _ = c.Read(make([]byte, 1)) // Ends when the gateway hangs up.
		close(left)
	})
	if got := w.ask(); got.status != 504 || got.verdict != "may-have-run" {
		t.Errorf("got %+v", got)
	}
	select {
	case <-left:
	case <-time.After(patience):
		t.Error("the server was not told")
	}
}

// TestKeys checks who is let in, and that nobody is while the configuration is
// not known to be the newest.
func TestKeys(t *testing.T) {
	w := newWorld(t)
	w.install(protocol.PathRoute{Attempts: 1}, protocol.WorkspaceSpec{Name: "w", Keys: []string{"k"}})
	w.backend("a", func(c net.Conn, req *fasthttp.Request) { say(c, 200, "", string(req.Header.Peek("Workspace"))) })
	if got := w.ask("Key: k"); got.status != 200 || got.body != "w" {
		t.Errorf("with a key: %+v", got)
	}
	if got := w.ask("Key: other"); got.status != 401 {
		t.Errorf("with another key: %+v", got)
	}
	w.g.cfg.KeyRevocationBound = time.Nanosecond
	if got := w.ask("Key: k"); got.status != 503 || got.verdict != "not-run" {
		t.Errorf("unsure: %+v", got)
	}
}

// TestConnectionIsUsedAgain checks over which connections a second request goes:
// those whose first answer came alone and was asked for in full.
func TestConnectionIsUsedAgain(t *testing.T) {
	for name, c := range map[string]struct {
		serve func(c net.Conn, req *fasthttp.Request)
		opens int64
	}{
		"good":                     {good, 1},
		"turned away":              {full, 1},
		"another's answer too":     {another(true), 2},
		"the server says it ends":  {func(c net.Conn, _ *fasthttp.Request) { say(c, 200, "Connection: close\r\n", "fine") }, 2},
		"the server turns it away": {func(c net.Conn, _ *fasthttp.Request) { say(c, 503, "Not-Run: 1\r\nConnection: close\r\n", "") }, 2},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.install(protocol.PathRoute{Attempts: 1})
			w.backend("a", c.serve)
			w.ask()
			w.ask()
			if opens := w.g.pool.Opens(); opens != c.opens {
				t.Errorf("%d connections were opened, want %d", opens, c.opens)
			}
		})
	}
}

// TestEarlyAnswerEndsTheConnection checks that a connection over which the rest
// of a request was never sent does not carry the next one.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
	w := newWorld(t)
	w.install(protocol.PathRoute{Attempts: 1})
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			_ = c.(*net.TCPConn).SetReadBuffer(4 << 10) // Most of the body stays unsent.
			var h fasthttp.RequestHeader
			_ = h.Read(bufio.NewReaderSize(c, 4096))
			say(c, 422, "", "")
			go func() {
				<-done // It keeps the connection and reads nothing.
				_ = c.Close()
			}()
		}
	}()
	w.g.SetServers([]protocol.Instance{{ID: "a", Service: "s", Address: ln.Addr().String(), Domain: "a", Slots: 4}})
	long := strings.Repeat("x", 4<<20-1)
	for range 2 {
		if got := w.send(long); got.status != 422 {
			t.Errorf("got %+v", got)
		}
	}
	if opens := w.g.pool.Opens(); opens != 2 {
		t.Errorf("%d connections were opened, want 2", opens)
	}
}

// TestAnotherServerAtTheAddress checks that an address which has come to belong
// to another server gets no further requests while there is another.
func TestAnotherServerAtTheAddress(t *testing.T) {
	w := newWorld(t)
	w.install(protocol.PathRoute{Attempts: 2})
	foreign := w.backend("a", func(c net.Conn, _ *fasthttp.Request) { say(c, 503, "Not-Run: 1\r\nForeign: 1\r\n", "") })
	w.backend("b", good)
	for range 30 {
		if got := w.ask(); got.status != 200 {
			t.Errorf("got %+v", got)
		}
	}
	if n := foreign.runs.Load(); n > 1 {
		t.Errorf("the foreign server was asked %d times", n)
	}
}

// TestCallersTimeLimit checks that a request gets its final answer when the time
// that its caller waits is over, though the route allows more.
func TestCallersTimeLimit(t *testing.T) {
	w := newWorld(t)
	w.install(protocol.PathRoute{Attempts: 1})
	w.backend("a", func(c net.Conn, _ *fasthttp.Request) { _, _ = c.Read(make([]byte, 1)) })
	if got := w.ask("Remaining: 50"); got.status != 504 || got.verdict != "may-have-run" {
		t.Errorf("got %+v", got)
	}
}

// TestClosedRefuses checks that a gateway which stops refuses what comes, as not
// run, and says when to come back.
func TestClosedRefuses(t *testing.T) {
	w := newWorld(t)
	w.install(protocol.PathRoute{Attempts: 1})
	a := w.backend("a", good)
	w.g.Close()
	if got := w.ask(); got.status != 503 || got.verdict != "not-run" || got.retry == "" || a.runs.Load() > 0 {
		t.Errorf("got %+v after %d runs", got, a.runs.Load())
	}
}

// TestKeyTakenWhileItWaits checks that a request which waited for the newest
// configuration is judged by that one, not by the one that it found.
func TestKeyTakenWhileItWaits(t *testing.T) {
	w := newWorld(t)
	w.g.cfg.KeyRevocationBound = time.Hour
	w.g.confirmed.Store(0) // Not sure of its configuration yet.
	w.install(protocol.PathRoute{Attempts: 1}, protocol.WorkspaceSpec{Name: "w", Keys: []string{"k"}})
	w.backend("a", good)
	call := &fasthttp.Request{}
	call.Header.SetHost("h")
	call.SetRequestURI("/r/x")
	call.Header.Set("Key", "k")
	x := newExchange(context.Background(), w.g, call, nil)
	defer x.release()
	x.call = plain{}.Call(call)
	x.index = w.g.index.Load()
	x.route = x.index.Route(x.call.Host, x.call.Path)
	w.install(protocol.PathRoute{Attempts: 1}, protocol.WorkspaceSpec{Name: "w", Keys: []string{"other"}})
	w.g.Confirm(clock.Now(), 1)
	if refusal := x.authenticate(); refusal == nil || refusal.Code != protocol.CodeUnauthorized {
		t.Errorf("got %+v", refusal)
	}
}

// TestUnsureBeforeTheAttempt checks that a request which waited for its quota is
// not sent once the gateway may no longer trust keys.
func TestUnsureBeforeTheAttempt(t *testing.T) {
	w := newWorld(t)
	w.install(protocol.PathRoute{Attempts: 1}, protocol.WorkspaceSpec{Name: "w", Keys: []string{"k"}, Rate: 10, Burst: 10})
	a := w.backend("a", good)
	w.g.syncNow = func() {
		w.g.cfg.KeyRevocationBound = time.Nanosecond // The confirmation is too old from here on.
		m := w.g.Report(1)
		w.g.Reported(&m, &protocol.SyncReply{Term: 1, Grants: []protocol.QuotaGrant{{Workspace: "w", Units: 1, Lasts: time.Minute}}}, clock.Now())
	}
	if got := w.ask("Key: k"); got.status != 503 || got.verdict != "not-run" || a.runs.Load() > 0 {
		t.Errorf("got %+v after %d runs", got, a.runs.Load())
	}
}

// TestNoMoreForACallerThatLeft checks that nothing is sent again for a caller
// that has hung up.
func TestNoMoreForACallerThatLeft(t *testing.T) {
	w := newWorld(t)
	gone, leave := context.WithCancel(context.Background())
	x := newExchange(gone, w.g, &fasthttp.Request{}, nil)
	defer x.release()
	x.route = &protocol.PathRoute{Target: time.Second}
	x.deadline = time.Now().Add(patience)
	x.state = resend.State{Repeatable: true, MaxServers: 3}
	if got := x.failed(protocol.NotRun, true, "turned away"); got != errAgain {
		t.Errorf("got %+v while the caller waits", got)
	}
	leave()
	if got := x.failed(protocol.NotRun, true, "turned away"); got.Code != protocol.CodeCallerGone {
		t.Errorf("got %+v", got)
	}
}

// TestOlderCatalogChangesNothing checks that a catalog that comes late does not
// take the place of a newer one.
func TestOlderCatalogChangesNothing(t *testing.T) {
	g := newWorld(t).g
	if !g.Install(&protocol.Catalog{Number: 5}) || g.Install(&protocol.Catalog{Number: 4}) || g.Install(&protocol.Catalog{Number: 5}) || g.Number() != 5 {
		t.Errorf("catalog %d holds", g.Number())
	}
}

// TestQuotaIsAskedFor checks that a request waits for a part of its quota, and is
// told when to come back if there is none.
func TestQuotaIsAskedFor(t *testing.T) {
	w := newWorld(t)
	w.install(protocol.PathRoute{Attempts: 1}, protocol.WorkspaceSpec{Name: "w", Keys: []string{"k"}, Rate: 10, Burst: 10})
	w.backend("a", good)
	units := 1.0
	w.g.syncNow = func() {
		go func() {
			m := w.g.Report(1)
			w.g.Reported(&m, &protocol.SyncReply{Term: 1, Grants: []protocol.QuotaGrant{{Workspace: "w", Units: units, Lasts: time.Minute, Wait: time.Second}}}, clock.Now())
		}()
	}
	if got := w.ask("Key: k"); got.status != 200 {
		t.Errorf("with a part: %+v", got)
	}
	units = 0
	if got := w.ask("Key: k"); got.status != 429 || got.retry == "" {
		t.Errorf("without: %+v", got)
	}
}

// TestQuotaIsAskedForApart checks that a request which waits for a part of its quota gets it
// from an answer that holds nothing else, and that it is then not asked for twice.
func TestQuotaIsAskedForApart(t *testing.T) {
	w := newWorld(t)
	w.install(protocol.PathRoute{Attempts: 1}, protocol.WorkspaceSpec{Name: "w", Keys: []string{"k"}, Rate: 10, Burst: 10})
	w.backend("a", good)
	w.g.WantsApart(true)
	w.g.quotaNow = func() {
		go func() {
			if m := w.g.Report(1); len(m.Wants) > 0 {
				t.Errorf("%+v are asked for with the other questions", m.Wants)
			}
			m, any := w.g.ReportWants()
			if !any || len(m.Wants) != 1 || m.Wants[0].Units != 1 {
				t.Errorf("asked for %+v", m.Wants)
			}
			w.g.GrantedWants(&m, &protocol.QuotaReply{Leads: true, Grants: []protocol.QuotaGrant{{Workspace: "w", Units: 1, Lasts: time.Minute}}}, clock.Now())
		}()
	}
	if got := w.ask("Key: k"); got.status != 200 {
		t.Errorf("got %+v", got)
	}
	if m, _ := w.g.ReportWants(); len(m.Wants) > 0 && m.Wants[0].Waiting > 0 {
		t.Errorf("asked for again as if a request waited: %+v", m.Wants)
	}
}

// TestIndex checks that the longest prefix wins, hosts do not mix, and weights
// split requests as they say.
func TestIndex(t *testing.T) {
	ix := NewIndex(&protocol.Catalog{Routes: []protocol.PathRoute{
		{Name: "short", Host: "H", Prefix: "/a/"},
		{Name: "long", Host: "h", Prefix: "/a/b/"},
		{Name: "other", Host: "o", Prefix: "/"},
	}})
	for path, want := range map[string]string{"/a/x": "short", "/a/b/x": "long", "/a/bx": "short", "/a": ""} {
		got := ""
		if r := ix.Route("h:80", path); r != nil {
			got = r.Name
		}
		if got != want {
			t.Errorf("%s went to %q, want %q", path, got, want)
		}
	}
	r := &protocol.PathRoute{Split: []protocol.WeightedService{{Service: "x", Weight: 90}, {Service: "y", Weight: 10}, {Service: "z"}}}
	n := map[string]int{}
	for i := range 2000 {
		n[Split(r, fmt.Sprint(i))]++
	}
	if n["z"] > 0 || n["y"] < 120 || n["y"] > 280 {
		t.Errorf("split as %v", n)
	}
}

// TestCopiesOnlyFromTheSound checks that the server that a long prompt was placed at
// is told whom to copy the shared parts from, and not one that this gateway passes
// over, or does not know.
func TestCopiesOnlyFromTheSound(t *testing.T) {
	for name, c := range map[string]struct {
		holder string
		fails  bool
		want   bool
	}{"sound": {"b", false, true}, "it failed here": {"b", true, false}, "not listed": {"c", false, false}, "none": {"", false, false}} {
		w := newWorld(t)
		w.install(protocol.PathRoute{Attempts: 1})
		a, b := w.backend("a", good), w.backend("b", good)
		if c.fails {
			w.g.view.Load().Find("b").Stats.RequestFailed(true, clock.Now())
		}
		x := &exchange{g: w.g, placed: protocol.PlaceReply{Server: a.id, Holder: c.holder}}
		at := w.g.view.Load().Find(a.id)
		want := ""
		if c.want {
			want = b.address
		}
		if got := x.copyFrom(at, clock.Now()); got != want {
			t.Errorf("%s: copied from %q, want %q", name, got, want)
		}
	}
}

// TestCountedOnce checks that a request that fails at one server and is sent to
// another counts once in the usage reports, whatever ends it.
func TestCountedOnce(t *testing.T) {
	for name, c := range map[string]struct {
		first func(c net.Conn, req *fasthttp.Request)
		want  int64
	}{
		"answered at once":           {good, 1},
		"failed, then answered":      {func(c net.Conn, _ *fasthttp.Request) { say(c, 500, "", "") }, 1},
		"turned away, then answered": {full, 1},
		"no answer, then answered":   {silent, 1},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.install(protocol.PathRoute{Kind: protocol.RouteRepeatable, Attempts: 2}, protocol.WorkspaceSpec{Name: "w", Keys: []string{"k"}})
			var once sync.Once
			serve := func(conn net.Conn, req *fasthttp.Request) {
				serve := good
				once.Do(func() { serve = c.first })
				serve(conn, req)
			}
			w.backend("a", serve)
			w.backend("b", serve)
			if got := w.ask("Key: k"); got.status != 200 {
				t.Fatalf("got %+v", got)
			}
			total := int64(0)
			for _, row := range w.g.Report(1).Usage {
				total += row.Count
			}
			if total != c.want {
				t.Errorf("counted %d times, want %d", total, c.want)
			}
		})
	}
}

// FuzzEvents checks over any pieces that only whole events pass, each id once and
// rising, and that nothing is lost when nothing is repeated.
func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n\n", 3)
	f.Add("id: 1\r\ndata: a\r\n\r\nid: 1\n\n", 1)
	f.Add("\n\n\n\n", 2)
	f.Fuzz(func(t *testing.T, text string, size int) {
		size = max(1, min(size, 64))
		var e events
		var out []byte
		for rest := []byte(text); len(rest) > 0; {
			n := min(size, len(rest))
			out = append(out, e.take(rest[:n])...)
			rest = rest[n:]
		}
		if len(out)+len(e.rest) > len(text) {
			t.Fatalf("%d bytes came of %d", len(out)+len(e.rest), len(text))
		}
		if !strings.Contains(text, "id:") && string(out)+string(e.rest) != text {
			t.Fatalf("%q became %q and %q", text, out, e.rest)
		}
	})
}

// TestUsageGoesByTheAgreedTime checks that requests are counted into the windows
// of the time of day that most instances agree on, whatever this one's own is.
func TestUsageGoesByTheAgreedTime(t *testing.T) {
	w := newWorld(t)
	m := w.g.Report(1)
	ahead := 5 * w.g.cfg.UsageWindow
	w.g.Reported(&m, &protocol.SyncReply{Term: 1, Clock: m.Clock.Add(ahead)}, clock.Now())
	before := w.g.clock.Now(time.Since(w.g.began))
	w.g.count("w")
	report := w.g.Report(1)
	first, last := usage.Window(before, w.g.cfg.UsageWindow), usage.Window(w.g.clock.Now(time.Since(w.g.began)), w.g.cfg.UsageWindow)
	if len(report.Usage) != 1 || report.Usage[0].Window < first || report.Usage[0].Window > last {
		t.Errorf("counted as %+v, want window %d to %d", report.Usage, first, last)
	}
	if off := report.Clock.Sub(m.Clock); off > ahead/2 {
		t.Errorf("the gateway tells the agreed time as its own, %v ahead", off)
	}
}

// TestLostAnswersCount checks that a request counts as one that began to run where a
// server had all of it and its answer was lost, once however often that happens, and
// that one which no server can have read does not.
func TestLostAnswersCount(t *testing.T) {
	for _, c := range []struct {
		name  string
		serve func(net.Conn, *fasthttp.Request)
		want  int64
	}{
		{"answers lost at two servers", silent, 1},
		{"turned away", full, 0},
		{"answered", good, 1},
	} {
		w := newWorld(t)
		w.install(protocol.PathRoute{Kind: protocol.RouteRepeatable, Attempts: 2}, protocol.WorkspaceSpec{Name: "w", Keys: []string{"k"}})
		w.backend("a", c.serve)
		w.backend("b", c.serve)
		w.ask("Key: k")
		total := int64(0)
		for _, row := range w.g.Report(1).Usage {
			total += row.Count
		}
		if total != c.want {
			t.Errorf("%s: counted %d, want %d", c.name, total, c.want)
		}
	}
}

// TestEndOfAPlaceIsToldAtOnce checks that the end of a request which the leader placed is
// reported beside questions for parts of quotas, at once, and with the other questions to a
// leader that takes none apart.
func TestEndOfAPlaceIsToldAtOnce(t *testing.T) {
	for _, apart := range []bool{true, false} {
		w := newWorld(t)
		told := 0
		w.g.quotaNow = func() { told++ }
		w.g.WantsApart(apart)
		x := &exchange{g: w.g, placed: protocol.PlaceReply{Server: "a", Term: 1, Number: 7}, start: clock.Now()}
		x.ended()
		own, others := 0, len(w.g.Report(1).Done)
		if m, any := w.g.ReportWants(); any {
			own = len(m.Done)
		}
		if want := map[bool][3]int{true: {1, 1, 0}, false: {0, 0, 1}}[apart]; [3]int{told, own, others} != want {
			t.Errorf("apart %v: asked at once %d times, %d ends beside quotas, %d with the others", apart, told, own, others)
		}
	}
}
