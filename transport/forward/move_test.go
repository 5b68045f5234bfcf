package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/coordination/move"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// testMover translates moves into a simple test protocol.
type testMover struct{}

func (testMover) CopyRequest(out *fasthttp.Request, c CopyCall) {
	out.SetRequestURI("/copy")
	out.Header.SetHost("h")
	out.Header.SetMethod("POST")
	out.SetBodyString(fmt.Sprint(c.Target, " ", c.StopFirst))
}

func (testMover) ReadCopyReply(status int, body []byte) CopyReply {
	outcomes := map[int]move.Outcome{200: move.Copied, 404: move.NoRun, 409: move.Busy, 503: move.NoRoom}
	return CopyReply{Outcome: outcomes[status], Handle: string(body)}
}

func (testMover) FreeRequest(out *fasthttp.Request, handle string) {
	out.SetRequestURI("/free/" + handle)
	out.Header.SetHost("h")
	out.Header.SetMethod("DELETE")
}

func (testMover) CopyName(source, handle string) string { return source + "/" + handle }

// moveFaults selects what goes wrong in a move.
type moveFaults struct {
	copies        []int                             // copies are the statuses of the first copies; 0 for no answer. Later copies get 200.
	stop          int                               // stop is the status of the stop; 0 for no answer.
	withoutHandle bool                              // withoutHandle omits the handle from a refused stop.
	stopIgnored   bool                              // stopIgnored leaves the run unchanged if the stop is not answered with 200.
	sourceDies    bool                              // sourceDies breaks the source's stream when a copy is requested.
	target        int                               // target is the status with which another server accepts the run; 0 for none.
	unbegun       bool                              // unbegun makes the source generate no event before the move.
	sourceBreaks  bool                              // sourceBreaks breaks the stream of a run that returned to the source after one more event.
	targetGarbles bool                              // targetGarbles makes the target send an invalid answer.
	streamHangs   bool                              // streamHangs makes the source keep the stream of a stopped run open.
	otherWeights  bool                              // otherWeights makes the target continue with weights other than those requested.
	targetHangs   bool                              // targetHangs makes the target not answer.
	targetServes  func(net.Conn, *fasthttp.Request) // targetServes answers in the target's place.
	sourceRefuses bool                              // sourceRefuses makes the source refuse a run that returns.
	unframed      bool                              // unframed makes the source send its stream without a length, and stop between two events.
}

// fakeEngines are servers that stream events and move runs.
type fakeEngines struct {
	t      *testing.T
	w      *testGateway
	faults moveFaults

	mu         sync.Mutex
	source     string          // source is the address of the first server that ran the request.
	copied     int             // copied is the number of copy calls.
	copies     map[string]bool // copies are the handles of the existing copies.
	working    int             // working is the number of servers that run the request.
	maxWorking int             // maxWorking is the maximum of working.
	starts     []string        // starts describes each start of the run, in order.
	stopped    chan struct{}   // stopped is closed when the source has stopped the run.
	once       sync.Once       // once guards closing stopped or finished.
	finished   chan struct{}   // finished is closed when a run that stays may end.
	onLeave    func()          // onLeave is called before the source is listed as leaving; may be nil.
	onStop     func()          // onStop is called when a run without an event has stopped; may be nil.
}

const (
	fakeEvents = 9
	// eventsBeforeMove is the number of events that the source generates before it waits for
	// the move.
	eventsBeforeMove = 3
)

func newFakeEngines(t *testing.T, do moveFaults, servers ...string) *fakeEngines {
	w := newTestGateway(t)
	w.g.moves.mover = testMover{}
	f := &fakeEngines{t: t, w: w, faults: do, copies: map[string]bool{}, stopped: make(chan struct{}), finished: make(chan struct{})}
	for _, id := range servers {
		var b *backendServer
		ready := make(chan struct{})
		b = w.backend(id, func(c net.Conn, req *fasthttp.Request) { <-ready; f.serve(b.address, c, req) })
		close(ready)
	}
	return f
}

func (f *fakeEngines) serve(address string, c net.Conn, req *fasthttp.Request) {
	path := string(req.URI().Path())
	switch {
	case path == "/copy":
		f.copy(c, string(req.Body()))
	case strings.HasPrefix(path, "/free/"):
		f.mu.Lock()
		delete(f.copies, strings.TrimPrefix(path, "/free/"))
		f.mu.Unlock()
		writeAnswer(c, 200, "", "")
	case len(req.Header.Peek("Go-On")) > 0:
		f.continueRun(address, c, req)
	default:
		f.run(address, c, req)
	}
}

func (f *fakeEngines) copy(c net.Conn, body string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	handle := "m1"
	if strings.HasSuffix(body, "true") {
		f.stop(c, handle)
		return
	}
	status := 200
	if f.copied < len(f.faults.copies) {
		status = f.faults.copies[f.copied]
	}
	f.copied++
	if f.faults.sourceDies {
		f.once.Do(func() { close(f.stopped) })
	}
	switch status {
	case 0:
		_ = c.Close()
	case 200:
		f.copies[handle] = true
		writeAnswer(c, 200, "Connection: close\r\n", handle)
	default:
		writeAnswer(c, status, "", "")
		if f.copied == len(f.faults.copies) && status == 404 && !f.faults.unbegun {
			f.once.Do(func() { close(f.finished) })
		}
	}
}

// stop answers the last copy call. The caller must hold f.mu.
func (f *fakeEngines) stop(c net.Conn, handle string) {
	if !f.faults.stopIgnored {
		f.once.Do(func() { close(f.stopped) })
	} else {
		f.once.Do(func() { close(f.finished) })
	}
	switch {
	case f.faults.stop == 0:
		_ = c.Close()
	case f.faults.withoutHandle:
		writeAnswer(c, f.faults.stop, "", "")
	default:
		writeAnswer(c, f.faults.stop, "Connection: close\r\n", handle)
	}
}

// begin records that a server starts to run the request, and returns a function that records
// its end.
func (f *fakeEngines) begin(what string) (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts = append(f.starts, what)
	f.working++
	f.maxWorking = max(f.maxWorking, f.working)
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.working--
	}
}

func fakeEvent(n int) string { return fmt.Sprintf("id: %d\ndata: %d\n\n", n, n) }

func fakeChunk(c net.Conn, text string) { _, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }

func fakeHead(c net.Conn, seal string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: 7\r\nWeights: 4\r\nSeal: %s\r\nTransfer-Encoding: chunked\r\n\r\n", seal)
}

// run answers a request that does not continue from a copy.
func (f *fakeEngines) run(address string, c net.Conn, req *fasthttp.Request) {
	last := string(req.Header.Peek("Last"))
	f.mu.Lock()
	first := f.source == ""
	if first {
		f.source = address
	}
	f.mu.Unlock()
	end := f.begin("run behind " + last)
	if first && f.faults.unbegun {
		f.w.markLeaving(address)
		<-f.stopped
		if f.onStop != nil {
			f.onStop()
		}
		end()
		_ = c.Close()
		return
	}
	if !first {
		fakeHead(c, address)
		from := 0
		_, _ = fmt.Sscan(last, &from)
		f.finish(c, from, end)
		return
	}
	f.begun(c, address)
	if f.onLeave != nil {
		f.onLeave()
	}
	f.w.markLeaving(address)
	select {
	case <-f.stopped:
		if !f.faults.unframed {
			fakeChunk(c, "id: 4\nda") // The source stops in the middle of an event.
		}
		end()
		if f.faults.streamHangs {
			_, _ = c.Read(make([]byte, 1)) // Until the gateway closes the connection.
		}
		_ = c.Close()
	case <-f.finished:
		f.finishSource(c, end)
	case <-time.After(testTimeout):
		f.t.Error("the run was neither stopped nor allowed to end")
		end()
		_ = c.Close()
	}
}

// begun sends the head and the first events of the source's stream.
func (f *fakeEngines) begun(c net.Conn, address string) {
	if !f.faults.unframed {
		fakeHead(c, address)
		for n := 1; n <= eventsBeforeMove; n++ {
			fakeChunk(c, fakeEvent(n))
		}
		return
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: 7\r\nWeights: 4\r\nSeal: %s\r\n\r\n", address)
	for n := 1; n <= eventsBeforeMove; n++ {
		_, _ = io.WriteString(c, fakeEvent(n))
	}
}

// finishSource sends the rest of the source's stream and ends it.
func (f *fakeEngines) finishSource(c net.Conn, end func()) {
	if !f.faults.unframed {
		f.finish(c, eventsBeforeMove, end)
		return
	}
	for n := eventsBeforeMove + 1; n <= fakeEvents; n++ {
		_, _ = io.WriteString(c, fakeEvent(n))
	}
	end()
	_ = c.Close()
}

func (*fakeEngines) finish(c net.Conn, from int, end func()) {
	for n := from + 1; n <= fakeEvents; n++ {
		fakeChunk(c, fakeEvent(n))
	}
	end()
	_, _ = io.WriteString(c, "0\r\n\r\n")
}

// continueRun answers a request that continues from a copy.
func (f *fakeEngines) continueRun(address string, c net.Conn, req *fasthttp.Request) {
	f.mu.Lock()
	atSource := address == f.source
	name := f.source + "/m1"
	f.mu.Unlock()
	if got := string(req.Header.Peek("Go-On")); got != name {
		f.t.Errorf("continues from %q, want %q", got, name)
	}
	if got := string(req.Header.Peek("Only-Weights")); (got == "4") == f.faults.unbegun {
		f.t.Errorf("continues with weights %q", got)
	}
	if atSource && f.faults.sourceRefuses {
		writeAnswer(c, 503, "Not-Run: 1\r\n", "")
		return
	}
	if !atSource {
		switch {
		case f.faults.targetHangs:
			close(f.finished)
			_, _ = c.Read(make([]byte, 1)) // Until the gateway closes the connection.
			return
		case f.faults.otherWeights:
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 7\r\nWeights: 5\r\nTransfer-Encoding: chunked\r\n\r\n")
			fakeChunk(c, fakeEvent(eventsBeforeMove+1))
			_, _ = c.Read(make([]byte, 1)) // Until the gateway closes the connection.
			return
		case f.faults.targetServes != nil:
			f.faults.targetServes(c, req)
			return
		case f.faults.targetGarbles:
			_, _ = io.WriteString(c, "\x00\x01garbage\r\n\r\n")
			_ = c.Close()
			return
		case f.faults.target == 0:
			_ = c.Close()
			return
		case f.faults.target == 500:
			writeAnswer(c, 500, "", "failed")
			return
		case f.faults.target == 421:
			writeAnswer(c, 421, "Not-Run: 1\r\nForeign: 1\r\n", "")
			return
		case f.faults.target != 200:
			writeAnswer(c, f.faults.target, "Not-Run: 1\r\n", "")
			return
		}
	}
	f.mu.Lock()
	f.copies = map[string]bool{}
	f.mu.Unlock()
	end := f.begin(fmt.Sprintf("copy behind %s, home %v", req.Header.Peek("Last"), atSource))
	from := 0
	_, _ = fmt.Sscan(string(req.Header.Peek("Last")), &from)
	fakeHead(c, address)
	if from > 0 {
		fakeChunk(c, fakeEvent(from)) // The caller has already received this event.
	}
	if atSource && f.faults.sourceBreaks {
		fakeChunk(c, fakeEvent(from+1))
		end()
		_ = c.Close()
		return
	}
	f.finish(c, from, end)
}

// markLeaving lists the server at an address as leaving.
func (w *testGateway) markLeaving(address string) {
	for i := range w.servers {
		if w.servers[i].Address == address {
			w.servers[i].Leaving, w.servers[i].LeftMS = true, 100
		}
	}
	w.g.SetServers(slices.Clone(w.servers))
}

// TestMoveOffLeavingServer moves a running answer off a leaving server, with one failure at
// each step, on resumable and non-resumable routes. The caller must see one stream with one
// head, complete where that is promised, with no event repeated or out of order, and no copy
// may remain.
func TestMoveOffLeavingServer(t *testing.T) {
	resumed := []string{"run behind ", "run behind 3"}
	moved := []string{"run behind ", "copy behind 3, home false"}
	home := []string{"run behind ", "copy behind 3, home true"}
	sourceOnly := []string{"run behind "}
	for name, c := range map[string]struct {
		do     moveFaults
		starts []string // starts are the expected starts of the run.
		broken bool     // broken reports that a caller on a non-resumable route gets only a part.
	}{
		"no failure":              {moveFaults{stop: 200, target: 200}, moved, false},
		"the stream does not end": {moveFaults{stop: 200, target: 200, streamHangs: true}, moved, false},
		"the run has not started": {moveFaults{stop: 200, target: 200, unbegun: true}, []string{"run behind ", "copy behind , home false"}, false},
		"the run has not started and is not found at first":  {moveFaults{copies: []int{404}, stop: 200, target: 200, unbegun: true}, []string{"run behind ", "copy behind , home false"}, false},
		"the first target is full":                           {moveFaults{copies: []int{503}, stop: 200, target: 200}, moved, false},
		"a copy is in progress":                              {moveFaults{copies: []int{409}, stop: 200, target: 200}, moved, false},
		"a copy is not answered":                             {moveFaults{copies: []int{0}, stop: 200, target: 200}, moved, false},
		"no such run":                                        {moveFaults{copies: []int{404}}, sourceOnly, false},
		"the source crashes during the copy":                 {moveFaults{sourceDies: true}, resumed, true},
		"the stop is not answered":                           {moveFaults{}, resumed, true},
		"no memory at the stop":                              {moveFaults{stop: 503}, home, false},
		"no memory at the stop, no handle":                   {moveFaults{stop: 503, withoutHandle: true, stopIgnored: true}, sourceOnly, false},
		"the stop fails, the run continues":                  {moveFaults{stop: 500, withoutHandle: true, stopIgnored: true}, sourceOnly, false},
		"the stream has no length and stops":                 {moveFaults{stop: 200, target: 200, unframed: true}, moved, false},
		"the stream has no length, the stop is not answered": {moveFaults{unframed: true}, resumed, true},
		"the stream has no length and returns":               {moveFaults{stop: 503, unframed: true}, home, false},
		"the stream has no length, no such run":              {moveFaults{copies: []int{404}, unframed: true}, sourceOnly, false},
		"the stream has no length and ends before the stop":  {moveFaults{stop: 404, withoutHandle: true, stopIgnored: true, unframed: true}, sourceOnly, false},
		"the target refuses":                                 {moveFaults{stop: 200, target: 503}, home, false},
		"the target has other weights":                       {moveFaults{stop: 200, target: 421}, home, false},
		"the target crashes":                                 {moveFaults{stop: 200}, resumed, true},
		"the target sends garbage":                           {moveFaults{stop: 200, targetGarbles: true}, resumed, true},
		"the target uses other weights":                      {moveFaults{stop: 200, otherWeights: true}, resumed, true},
		"the target fails":                                   {moveFaults{stop: 200, target: 500}, resumed, true},
	} {
		for _, resumable := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, resumable %v", name, resumable), func(t *testing.T) {
				f := newFakeEngines(t, c.do, "a", "b", "c")
				f.w.installMoves(resumable)
				got := f.w.ask()
				broken := c.broken && !resumable
				want, starts := "", c.starts
				for n := 1; n <= fakeEvents && (!broken || n <= eventsBeforeMove); n++ {
					want += fakeEvent(n)
				}
				if broken {
					starts = starts[:1]
				}
				if got.status != 200 || got.body != want || got.broken != broken {
					t.Errorf("status %d, broken %v, got %q, want %q", got.status, got.broken, got.body, want)
				}
				f.mu.Lock()
				if !slices.Equal(f.starts, starts) || f.maxWorking > 1 {
					t.Errorf("runs %q, %d at once, want %q", f.starts, f.maxWorking, starts)
				}
				f.mu.Unlock()
				f.awaitFreed()
				for _, id := range []string{"a", "b", "c"} {
					if c.do.target == 421 && f.w.g.view.Load().Find(id).Stats.Suspect(clock.Now()) {
						t.Errorf("%s is suspected because of its weights", id)
					}
				}
				if n := f.w.g.meters.copiesHeld.Count(); n != 0 {
					t.Errorf("%d copies still count as held", n)
				}
			})
		}
	}
}

// awaitFreed waits until no copy exists.
func (f *fakeEngines) awaitFreed() {
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		f.mu.Lock()
		left := len(f.copies)
		f.mu.Unlock()
		if left == 0 {
			return
		}
		if time.Now().After(end) {
			f.t.Error("a copy was not freed")
			return
		}
	}
}

// installMoves activates a catalog with a stream route whose servers can move runs.
func (w *testGateway) installMoves(resumable bool, spaces ...protocol.WorkspaceSpec) {
	w.number++
	w.g.Install(&protocol.Catalog{
		Number:     w.number,
		Routes:     []protocol.PathRoute{{Host: "h", Prefix: "/r/", Kind: protocol.RouteStream, Resumable: resumable, Attempts: 3, Timeout: testTimeout, Split: []protocol.WeightedService{{Service: "s", Weight: 1}}}},
		Services:   []protocol.ServiceSpec{{Name: "s", CopyRate: 100}},
		Workspaces: spaces,
	})
}

// TestStreamGetsNoSecondHead checks that a stream is cut off if the server at which it should
// resume answers with a failure: the failure's head would appear among the events.
func TestStreamGetsNoSecondHead(t *testing.T) {
	for _, attempts := range []int{2, 3} {
		w := newTestGateway(t)
		w.install(protocol.PathRoute{Kind: protocol.RouteStream, Resumable: true, Attempts: attempts})
		var first sync.Once
		serve := func(c net.Conn, _ *fasthttp.Request) {
			broke := false
			first.Do(func() {
				broke = true
				fakeHead(c, "")
				fakeChunk(c, fakeEvent(1))
				_ = c.Close()
			})
			if !broke {
				writeAnswer(c, 500, "", "failed")
			}
		}
		for _, id := range []string{"a", "b", "c"} {
			w.backend(id, serve)
		}
		if got := w.sendRaw(); strings.Count(got, "HTTP/1.1") != 1 || !strings.HasSuffix(got, fakeEvent(1)+"\r\n") {
			t.Errorf("%d attempts: the caller got %q", attempts, got)
		}
	}
}

// sendRaw sends a request and returns all bytes until the connection ends.
func (w *testGateway) sendRaw() string {
	w.t.Helper()
	conn := w.dial()
	defer conn.Close()
	_, _ = io.WriteString(conn, "POST /r/x HTTP/1.1\r\nHost: h\r\nId: 7\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	data, err := io.ReadAll(conn)
	if err != nil {
		w.t.Logf("read: %v", err) // A reset also ends the connection.
	}
	return string(data)
}

// TestRefusingTargetMayResumeStream checks that a server that refused a moved run may still
// resume the stream if no other server is left. The run that returned to its source is not
// moved again: by then its stream has broken, and the server no longer knows the run.
func TestRefusingTargetMayResumeStream(t *testing.T) {
	f := newFakeEngines(t, moveFaults{copies: []int{200, 404, 404, 404, 404}, stop: 200, target: 503, sourceBreaks: true}, "a", "b")
	f.w.installMoves(true)
	got, want := f.w.ask(), ""
	for n := 1; n <= fakeEvents; n++ {
		want += fakeEvent(n)
	}
	if got.status != 200 || got.broken || got.body != want {
		t.Errorf("status %d, broken %v, got %q", got.status, got.broken, got.body)
	}
	if starts := []string{"run behind ", "copy behind 3, home true", "run behind 4"}; !slices.Equal(f.starts, starts) {
		t.Errorf("runs %q, want %q", f.starts, starts)
	}
}

// namingMover tells the fake server which run a copy is for.
type namingMover struct{ testMover }

func (namingMover) CopyRequest(out *fasthttp.Request, c CopyCall) {
	testMover{}.CopyRequest(out, c)
	out.SetBodyString(c.Request)
}

// TestFailingCopiesDoNotBlockOtherRuns checks that runs that are first in order and cannot be
// copied do not keep other runs of the server from being moved.
func TestFailingCopiesDoNotBlockOtherRuns(t *testing.T) {
	w := newTestGateway(t)
	w.g.moves.mover = namingMover{}
	var mu sync.Mutex
	asked := map[string]bool{}
	w.backend("b", answerOK)
	w.backend("a", func(c net.Conn, req *fasthttp.Request) {
		mu.Lock()
		defer mu.Unlock()
		if strings.HasPrefix(string(req.Body()), "first") {
			writeAnswer(c, 503, "", "")
			return
		}
		asked[string(req.Body())] = true
		writeAnswer(c, 404, "", "")
		if len(asked) == maxConcurrentMoves {
			w.g.moves.mu.Lock()
			w.g.moves.runs = map[string]map[*activeRun]struct{}{} // All runs have ended.
			w.g.moves.mu.Unlock()
		}
	})
	source := w.g.view.Load().Find("a")
	runs := map[*activeRun]struct{}{}
	for i := range maxConcurrentMoves {
		for rank, name := range []string{"first", "second"} {
			r := &activeRun{g: w.g, server: source, priority: rank, call: protocol.Call{ID: fmt.Sprint(name, i)}}
			r.begun.Store(true)
			runs[r] = struct{}{}
		}
	}
	w.g.moves.runs["a"] = runs
	w.servers[1].Leaving = true // Without a notice, the list alone moves nothing.
	w.g.SetServers(w.servers)
	w.g.moveRuns(source, departureNotice{end: time.Now().Add(testTimeout)})
	mu.Lock()
	defer mu.Unlock()
	if len(asked) != maxConcurrentMoves {
		t.Errorf("%d of %d later runs were tried", len(asked), maxConcurrentMoves)
	}
}

// TestFailedMovesWaitForInterval checks that the next move does not follow a failed move at
// once, but does follow a successful one.
func TestFailedMovesWaitForInterval(t *testing.T) {
	done := make(chan bool, maxConcurrentMoves)
	done <- false
	done <- false
	done <- true
	if n := awaitMoves(done, testTimeout); n != 3 {
		t.Errorf("waited for %d moves, want all up to the first successful one", n)
	}
	done <- false
	if n := awaitMoves(done, moveInterval); n != 1 {
		t.Errorf("waited for %d moves within an interval", n)
	}
}

// TestMovedRunIgnoresStaleCatalog checks that a stopped run continues although the gateway's
// configuration is no longer confirmed: the run was authorized when it started.
func TestMovedRunIgnoresStaleCatalog(t *testing.T) {
	f := newFakeEngines(t, moveFaults{stop: 200, target: 200, unbegun: true}, "a", "b")
	f.w.installMoves(false, protocol.WorkspaceSpec{Name: "w", Keys: []string{"k"}})
	f.onStop = func() { f.w.g.confirmed.Store(0) }
	if got := f.w.ask("Key: k"); got.status != 200 || got.broken {
		t.Errorf("status %d, verdict %q, broken %v", got.status, got.verdict, got.broken)
	}
}

// TestStaleCatalogAfterAttempt checks that a request that may have run, and is not retried
// because the configuration is no longer confirmed, is not reported as not run.
func TestStaleCatalogAfterAttempt(t *testing.T) {
	w := newTestGateway(t)
	w.install(protocol.PathRoute{Kind: protocol.RouteStream, Resumable: true, Attempts: 3}, protocol.WorkspaceSpec{Name: "w", Keys: []string{"k"}})
	for _, id := range []string{"a", "b"} {
		w.backend(id, func(c net.Conn, _ *fasthttp.Request) {
			w.g.confirmed.Store(0)
			_ = c.Close()
		})
	}
	if got := w.ask("Key: k"); got.status != 502 || got.verdict == "not-run" {
		t.Errorf("status %d, verdict %q", got.status, got.verdict)
	}
}

// TestMovedRunKeepsWeights checks that a moved run continues only with the weights that
// produced its memory: those of the source, even if another server started the stream, or if
// the source named its weights only in an earlier answer because the run has not started.
func TestMovedRunKeepsWeights(t *testing.T) {
	for name, unbegun := range map[string]bool{"resumed": false, "not started": true} {
		t.Run(name, func(t *testing.T) {
			w := newTestGateway(t)
			w.g.moves.mover = testMover{}
			w.installMoves(true)
			stopped, weights := make(chan struct{}), make(chan string, 1)
			var runs atomic.Int64
			head := func(c net.Conn, version int) {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: 7\r\nWeights: %d\r\nTransfer-Encoding: chunked\r\n\r\n", version)
			}
			end := func(c net.Conn) { _, _ = io.WriteString(c, "0\r\n\r\n") }
			var serve func(c net.Conn, req *fasthttp.Request)
			serve = func(c net.Conn, req *fasthttp.Request) {
				switch {
				case string(req.URI().Path()) == "/copy":
					if strings.HasSuffix(string(req.Body()), "true") {
						close(stopped)
					}
					writeAnswer(c, 200, "", "m1")
				case len(req.Header.Peek("Go-On")) > 0:
					weights <- string(req.Header.Peek("Only-Weights"))
					head(c, 5)
					fakeChunk(c, fakeEvent(2))
					end(c)
				case runs.Add(1) == 1:
					if unbegun {
						head(c, 5)
						end(c)
						return
					}
					head(c, 4)
					fakeChunk(c, fakeEvent(1))
					w.backend("b", serve)
					_ = c.Close()
				default:
					source := w.servers[len(w.servers)-1].Address
					if !unbegun {
						head(c, 5)
						fakeChunk(c, fakeEvent(2))
					} else {
						source = w.servers[0].Address
						w.backend("b", serve)
					}
					w.backend("c", serve)
					w.markLeaving(source)
					<-stopped
					_ = c.Close()
				}
			}
			w.backend("a", serve)
			if got := w.ask(); got.status != 200 {
				t.Fatalf("status %d", got.status)
			}
			if unbegun {
				if got := w.ask(); got.status != 200 || got.broken {
					t.Fatalf("status %d, broken %v", got.status, got.broken)
				}
			}
			select {
			case got := <-weights:
				if got != "5" {
					t.Errorf("continues with weights %q, want those that produced its memory", got)
				}
			default:
				t.Error("the run was not moved")
			}
		})
	}
}

// TestStayingServerKeepsRuns checks that runs are not moved if their server turns out not to
// be leaving.
func TestStayingServerKeepsRuns(t *testing.T) {
	w := newTestGateway(t)
	w.g.moves.mover = testMover{}
	var copies atomic.Int64
	w.backend("b", answerOK)
	w.backend("a", func(c net.Conn, _ *fasthttp.Request) {
		copies.Add(1)
		writeAnswer(c, 503, "", "")
	})
	source := w.g.view.Load().Find("a")
	r := &activeRun{g: w.g, server: source}
	r.begun.Store(true)
	w.g.moves.runs["a"] = map[*activeRun]struct{}{r: {}}
	w.g.moveRuns(source, departureNotice{end: time.Now().Add(testTimeout)})
	if n := copies.Load(); n != 0 {
		t.Errorf("%d copies were requested", n)
	}
}

// TestMoveLeavesIdleConnectionOpen checks that a move does not close the connection of a run
// whose answer has ended: another request may use it.
func TestMoveLeavesIdleConnectionOpen(t *testing.T) {
	w := newTestGateway(t)
	w.g.moves.mover = testMover{}
	b := w.backend("a", answerOK)
	server := w.g.view.Load().Find("a")
	conn, err := w.g.pool.Get("a", b.address, time.Now().Add(testTimeout))
	if err != nil {
		t.Fatal(err)
	}
	x := &exchange{g: w.g, in: &fasthttp.Request{}}
	r := &activeRun{g: w.g, server: server, state: move.State{Phase: move.Stopped, Target: "b"}}
	r.attempt = &serverAttempt{x: x, server: server, conn: conn, activeRun: r}
	r.attempt.closeOrReuse(true, func() bool { return true })
	r.closeStream()
	again, err := w.g.pool.Get("a", b.address, time.Now().Add(testTimeout))
	if err != nil {
		t.Fatal(err)
	}
	if again != conn {
		t.Error("the idle connection was closed")
	}
	again.Close()
}

// TestStreamWithoutIDsIsNotMoved checks that a stream is not moved after the caller received
// an event without an ID: the next server could not be told where to resume.
func TestStreamWithoutIDsIsNotMoved(t *testing.T) {
	for event, moves := range map[string]bool{"data: x\n\n": false, "id: 1\ndata: x\n\n": true, ": comment\n\n": true} {
		w := newTestGateway(t)
		w.g.moves.mover = testMover{}
		w.installMoves(false)
		seen := make(chan struct{})
		w.backend("a", func(c net.Conn, _ *fasthttp.Request) {
			fakeHead(c, "")
			fakeChunk(c, event)
			<-seen
			_, _ = io.WriteString(c, "0\r\n\r\n")
		})
		conn := w.dial()
		_, _ = io.WriteString(conn, "POST /r/x HTTP/1.1\r\nHost: h\r\nId: 7\r\nContent-Length: 0\r\n\r\n")
		br := bufio.NewReader(conn)
		for line := ""; line != event[:strings.IndexByte(event, '\n')+1]; {
			var err error
			if line, err = br.ReadString('\n'); err != nil {
				t.Fatal(err)
			}
		}
		w.g.moves.mu.Lock()
		if got := len(w.g.moves.runs) > 0; got != moves {
			t.Errorf("%q: the run is movable: %v, want %v", event, got, moves)
		}
		w.g.moves.mu.Unlock()
		close(seen)
		_ = conn.Close()
	}
}

// TestRefusedMoveIsNotReportedNotRun checks that a stopped run that both servers refuse is
// not reported as not run, and is cut off if its answer had started.
func TestRefusedMoveIsNotReportedNotRun(t *testing.T) {
	for _, unbegun := range []bool{true, false} {
		f := newFakeEngines(t, moveFaults{stop: 200, target: 503, sourceRefuses: true, unbegun: unbegun}, "a", "b")
		f.w.installMoves(false)
		got := f.w.ask()
		if unbegun && (got.status != 502 || got.verdict == "not-run") || !unbegun && !got.broken {
			t.Errorf("unbegun %v: status %d, verdict %q, broken %v", unbegun, got.status, got.verdict, got.broken)
		}
		f.awaitFreed()
	}
}

// TestCallerHangsUpDuringMove checks that the copy of a run is freed if the caller
// disconnects before the target answers.
func TestCallerHangsUpDuringMove(t *testing.T) {
	f := newFakeEngines(t, moveFaults{stop: 200, targetHangs: true}, "a", "b")
	f.w.installMoves(false)
	conn := f.w.dial()
	_, _ = io.WriteString(conn, "POST /r/x HTTP/1.1\r\nHost: h\r\nId: 7\r\nContent-Length: 0\r\n\r\n")
	<-f.finished
	_ = conn.Close()
	f.awaitFreed()
}

// TestNoReturnToSourceAfterLimit checks that a run does not return to its source if the
// departure notice is too old.
func TestNoReturnToSourceAfterLimit(t *testing.T) {
	f := newFakeEngines(t, moveFaults{stop: 200, target: 503}, "a", "b")
	f.w.installMoves(false)
	f.onLeave = func() {
		f.w.g.moves.mu.Lock()
		defer f.w.g.moves.mu.Unlock()
		for _, id := range []string{"a", "b"} {
			f.w.g.moves.notices[id] = departureNotice{at: time.Now().Add(-maxSourceReturn), end: time.Now().Add(testTimeout)}
		}
	}
	got := f.w.ask()
	f.mu.Lock()
	defer f.mu.Unlock()
	if starts := []string{"run behind "}; !got.broken || !slices.Equal(f.starts, starts) {
		t.Errorf("broken %v, runs %q, want %q", got.broken, f.starts, starts)
	}
}
