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

// plainMover speaks of moves in plain words.
type plainMover struct{}

func (plainMover) CopyRequest(out *fasthttp.Request, c CopyCall) {
	out.SetRequestURI("/copy")
	out.Header.SetHost("h")
	out.Header.SetMethod("POST")
	out.SetBodyString(fmt.Sprint(c.Target, " ", c.StopFirst))
}

func (plainMover) ReadCopyReply(status int, body []byte) CopyReply {
	outcomes := map[int]move.Outcome{200: move.Copied, 404: move.NoRun, 409: move.Busy, 503: move.NoRoom}
	return CopyReply{Outcome: outcomes[status], Handle: string(body)}
}

func (plainMover) FreeRequest(out *fasthttp.Request, handle string) {
	out.SetRequestURI("/free/" + handle)
	out.Header.SetHost("h")
	out.Header.SetMethod("DELETE")
}

func (plainMover) CopyName(source, handle string) string { return source + "/" + handle }

// moveFaults say what goes wrong in a move.
type moveFaults struct {
	copies  []int // copies are the statuses of the first copies; 200 behind them, 0 for no answer.
	stop    int   // stop is the status of the stop; 0 for no answer.
	unnamed bool  // unnamed leaves the name out of a refused stop.
	runs    bool  // runs has a stop that is not answered with 200 leave the run as it is.
	dies    bool  // dies has the source break its stream when it is asked for a copy.
	target  int   // target is the status with which another server takes the run; 0 for none.
	unbegun bool  // unbegun has the source make no event before it is moved.
	breaks  bool  // breaks has the source break off behind one event more, when a run has come back.
	garbles bool  // garbles has the target send what is no answer.
	hangs   bool  // hangs has the source leave the stream of a run open that it has stopped.
	strange bool  // strange has the target go on with other weights than it was told.
	holds   bool  // holds has the target not answer.
	shuts   bool  // shuts has the source refuse a run that comes back.
}

// fakeEngines are servers that stream some events and move runs.
type fakeEngines struct {
	t  *testing.T
	w  *world
	do moveFaults

	mu       sync.Mutex
	source   string          // source is the address of the first server that ran the request.
	copied   int             // copied are calls for a copy.
	copies   map[string]bool // copies are those set aside.
	working  int             // working are servers that work on the run.
	most     int             // most is how many did at once.
	starts   []string        // starts are who began to work on it, and from where.
	stopped  chan struct{}   // stopped is closed when the source has stopped the run.
	once     sync.Once       // once closes one of both, once.
	finished chan struct{}   // finished is closed when a run that stays may end.
	onLeave  func()          // onLeave is called before the source is listed as leaving; may be nil.
	onStop   func()          // onStop is called when a run without an event has stopped; may be nil.
}

const (
	fakeEvents = 9
	// movedBehind is how many events the source makes before it waits to be moved.
	movedBehind = 3
)

func newFakeEngines(t *testing.T, do moveFaults, servers ...string) *fakeEngines {
	w := newWorld(t)
	w.g.moves.mover = plainMover{}
	f := &fakeEngines{t: t, w: w, do: do, copies: map[string]bool{}, stopped: make(chan struct{}), finished: make(chan struct{})}
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
		say(c, 200, "", "")
	case len(req.Header.Peek("Go-On")) > 0:
		f.goOn(address, c, req)
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
	if f.copied < len(f.do.copies) {
		status = f.do.copies[f.copied]
	}
	f.copied++
	if f.do.dies {
		f.once.Do(func() { close(f.stopped) })
	}
	switch status {
	case 0:
		_ = c.Close()
	case 200:
		f.copies[handle] = true
		say(c, 200, "Connection: close\r\n", handle)
	default:
		say(c, status, "", "")
		if f.copied == len(f.do.copies) && status == 404 && !f.do.unbegun {
			f.once.Do(func() { close(f.finished) })
		}
	}
}

// stop answers the last call for a copy. It needs f.mu.
func (f *fakeEngines) stop(c net.Conn, handle string) {
	if !f.do.runs {
		f.once.Do(func() { close(f.stopped) })
	} else {
		f.once.Do(func() { close(f.finished) })
	}
	switch {
	case f.do.stop == 0:
		_ = c.Close()
	case f.do.unnamed:
		say(c, f.do.stop, "", "")
	default:
		say(c, f.do.stop, "Connection: close\r\n", handle)
	}
}

// begin notes that a server works on the run, and returns what ends that.
func (f *fakeEngines) begin(what string) (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts = append(f.starts, what)
	f.working++
	f.most = max(f.most, f.working)
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

// run answers a request that does not go on from a copy.
func (f *fakeEngines) run(address string, c net.Conn, req *fasthttp.Request) {
	last := string(req.Header.Peek("Last"))
	f.mu.Lock()
	first := f.source == ""
	if first {
		f.source = address
	}
	f.mu.Unlock()
	end := f.begin("run behind " + last)
	if first && f.do.unbegun {
		f.w.leaves(address)
		<-f.stopped
		if f.onStop != nil {
			f.onStop()
		}
		end()
		_ = c.Close()
		return
	}
	fakeHead(c, address)
	if !first {
		from := 0
		_, _ = fmt.Sscan(last, &from)
		f.finish(c, from, end)
		return
	}
	for n := 1; n <= movedBehind; n++ {
		fakeChunk(c, fakeEvent(n))
	}
	if f.onLeave != nil {
		f.onLeave()
	}
	f.w.leaves(address)
	select {
	case <-f.stopped:
		// It stops in the middle of an event.
		fakeChunk(c, "id: 4\nda")
		end()
		if f.do.hangs {
			_, _ = c.Read(make([]byte, 1)) // Until the gateway closes it.
		}
		_ = c.Close()
	case <-f.finished:
		f.finish(c, movedBehind, end)
	case <-time.After(patience):
		f.t.Error("the run was neither stopped nor left alone")
		end()
		_ = c.Close()
	}
}

func (*fakeEngines) finish(c net.Conn, from int, end func()) {
	for n := from + 1; n <= fakeEvents; n++ {
		fakeChunk(c, fakeEvent(n))
	}
	end()
	_, _ = io.WriteString(c, "0\r\n\r\n")
}

// goOn answers a request that goes on from a copy.
func (f *fakeEngines) goOn(address string, c net.Conn, req *fasthttp.Request) {
	f.mu.Lock()
	home := address == f.source
	name := f.source + "/m1"
	f.mu.Unlock()
	if got := string(req.Header.Peek("Go-On")); got != name {
		f.t.Errorf("goes on from %q, want %q", got, name)
	}
	if got := string(req.Header.Peek("Only-Weights")); (got == "4") == f.do.unbegun {
		f.t.Errorf("goes on with weights %q", got)
	}
	if home && f.do.shuts {
		say(c, 503, "Not-Run: 1\r\n", "")
		return
	}
	if !home {
		switch {
		case f.do.holds:
			close(f.finished)
			_, _ = c.Read(make([]byte, 1)) // Until the gateway closes it.
			return
		case f.do.strange:
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 7\r\nWeights: 5\r\nTransfer-Encoding: chunked\r\n\r\n")
			fakeChunk(c, fakeEvent(movedBehind+1))
			_, _ = c.Read(make([]byte, 1)) // Until the gateway closes it.
			return
		case f.do.garbles:
			_, _ = io.WriteString(c, "\x00\x01garbage\r\n\r\n")
			_ = c.Close()
			return
		case f.do.target == 0:
			_ = c.Close()
			return
		case f.do.target == 500:
			say(c, 500, "", "failed")
			return
		case f.do.target == 421:
			say(c, 421, "Not-Run: 1\r\nForeign: 1\r\n", "")
			return
		case f.do.target != 200:
			say(c, f.do.target, "Not-Run: 1\r\n", "")
			return
		}
	}
	f.mu.Lock()
	f.copies = map[string]bool{}
	f.mu.Unlock()
	end := f.begin(fmt.Sprintf("copy behind %s, home %v", req.Header.Peek("Last"), home))
	from := 0
	_, _ = fmt.Sscan(string(req.Header.Peek("Last")), &from)
	fakeHead(c, address)
	if from > 0 {
		fakeChunk(c, fakeEvent(from)) // The caller has it already.
	}
	if home && f.do.breaks {
		fakeChunk(c, fakeEvent(from+1))
		end()
		_ = c.Close()
		return
	}
	f.finish(c, from, end)
}

// leaves lists the server at an address as one that leaves.
func (w *world) leaves(address string) {
	for i := range w.servers {
		if w.servers[i].Address == address {
			w.servers[i].Leaving, w.servers[i].LeftMS = true, 100
		}
	}
	w.g.SetServers(slices.Clone(w.servers))
}

// TestRunsMove moves a running answer off a leaving server, with one failure at each
// step, on a route whose callers can resume and on one whose callers cannot. The caller
// sees one stream with one head, whole where that is promised, never an event twice or
// out of turn, and no copy is left behind.
func TestRunsMove(t *testing.T) {
	resumed := []string{"run behind ", "run behind 3"}
	moved := []string{"run behind ", "copy behind 3, home false"}
	home := []string{"run behind ", "copy behind 3, home true"}
	alone := []string{"run behind "}
	for name, c := range map[string]struct {
		do     moveFaults
		starts []string // starts are who worked on it.
		broken bool     // broken says that a caller who cannot resume gets a part.
	}{
		"all is well":                     {moveFaults{stop: 200, target: 200}, moved, false},
		"its stream does not end":         {moveFaults{stop: 200, target: 200, hangs: true}, moved, false},
		"it has not begun":                {moveFaults{stop: 200, target: 200, unbegun: true}, []string{"run behind ", "copy behind , home false"}, false},
		"nor is it found at once":         {moveFaults{copies: []int{404}, stop: 200, target: 200, unbegun: true}, []string{"run behind ", "copy behind , home false"}, false},
		"the first target is full":        {moveFaults{copies: []int{503}, stop: 200, target: 200}, moved, false},
		"a copy is under way":             {moveFaults{copies: []int{409}, stop: 200, target: 200}, moved, false},
		"a copy is not answered":          {moveFaults{copies: []int{0}, stop: 200, target: 200}, moved, false},
		"no such run":                     {moveFaults{copies: []int{404}}, alone, false},
		"the source dies as it copies":    {moveFaults{dies: true}, resumed, true},
		"the stop is not answered":        {moveFaults{}, resumed, true},
		"no room at the stop":             {moveFaults{stop: 503}, home, false},
		"no room at the stop, no name":    {moveFaults{stop: 503, unnamed: true, runs: true}, alone, false},
		"the stop fails, the run goes on": {moveFaults{stop: 500, unnamed: true, runs: true}, alone, false},
		"the target refuses":              {moveFaults{stop: 200, target: 503}, home, false},
		"the target has other weights":    {moveFaults{stop: 200, target: 421}, home, false},
		"the target dies":                 {moveFaults{stop: 200}, resumed, true},
		"the target sends garbage":        {moveFaults{stop: 200, garbles: true}, resumed, true},
		"the target uses other weights":   {moveFaults{stop: 200, strange: true}, resumed, true},
		"the target fails":                {moveFaults{stop: 200, target: 500}, resumed, true},
	} {
		for _, resumable := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, resumable %v", name, resumable), func(t *testing.T) {
				f := newFakeEngines(t, c.do, "a", "b", "c")
				f.w.installMoves(resumable)
				got := f.w.ask()
				broken := c.broken && !resumable
				want, starts := "", c.starts
				for n := 1; n <= fakeEvents && (!broken || n <= movedBehind); n++ {
					want += fakeEvent(n)
				}
				if broken {
					starts = starts[:1]
				}
				if got.status != 200 || got.body != want || got.broken != broken {
					t.Errorf("status %d, broken %v, got %q, want %q", got.status, got.broken, got.body, want)
				}
				f.mu.Lock()
				if !slices.Equal(f.starts, starts) || f.most > 1 {
					t.Errorf("runs %q, %d at once, want %q", f.starts, f.most, starts)
				}
				f.mu.Unlock()
				f.awaitFreed()
				for _, id := range []string{"a", "b", "c"} {
					if c.do.target == 421 && f.w.g.view.Load().Find(id).Stats.Suspect(clock.Now()) {
						t.Errorf("%s is distrusted for its weights", id)
					}
				}
				if n := f.w.g.meters.moveHeld.Count(); n != 0 {
					t.Errorf("%d copies count as set aside", n)
				}
			})
		}
	}
}

// awaitFreed waits until no copy is set aside.
func (f *fakeEngines) awaitFreed() {
	for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		f.mu.Lock()
		left := len(f.copies)
		f.mu.Unlock()
		if left == 0 {
			return
		}
		if time.Now().After(end) {
			f.t.Error("a copy is left behind")
			return
		}
	}
}

// installMoves puts a route of streams in force whose servers can move runs.
func (w *world) installMoves(resumable bool, spaces ...protocol.WorkspaceSpec) {
	w.number++
	w.g.Install(&protocol.Catalog{
		Number:     w.number,
		Routes:     []protocol.PathRoute{{Host: "h", Prefix: "/r/", Kind: protocol.RouteStream, Resumable: resumable, Attempts: 3, Timeout: patience, Split: []protocol.WeightedService{{Service: "s", Weight: 1}}}},
		Services:   []protocol.ServiceSpec{{Name: "s", CopyRate: 100}},
		Workspaces: spaces,
	})
}

// TestStreamGetsNoSecondHead checks that a stream which goes on at a server that answers
// with a failure is cut: the failure's head would stand among its events.
func TestStreamGetsNoSecondHead(t *testing.T) {
	for _, attempts := range []int{2, 3} {
		w := newWorld(t)
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
				say(c, 500, "", "failed")
			}
		}
		for _, id := range []string{"a", "b", "c"} {
			w.backend(id, serve)
		}
		if got := w.raw(); strings.Count(got, "HTTP/1.1") != 1 || !strings.HasSuffix(got, fakeEvent(1)+"\r\n") {
			t.Errorf("%d attempts: the caller got %q", attempts, got)
		}
	}
}

// raw sends a request and returns all bytes that come until the connection ends.
func (w *world) raw() string {
	w.t.Helper()
	conn := w.dial()
	defer conn.Close()
	_, _ = io.WriteString(conn, "POST /r/x HTTP/1.1\r\nHost: h\r\nId: 7\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	data, err := io.ReadAll(conn)
	if err != nil {
		w.t.Logf("read: %v", err) // A reset ends it as well.
	}
	return string(data)
}

// TestRefusingTargetIsAskedAgain checks that a server which refused a moved run may run it
// when the stream can be resumed there and no other is left. The run that came home is moved
// no second time: by the time that it could be, it has broken off, and the server knows none.
func TestRefusingTargetIsAskedAgain(t *testing.T) {
	f := newFakeEngines(t, moveFaults{copies: []int{200, 404, 404, 404, 404}, stop: 200, target: 503, breaks: true}, "a", "b")
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

// namingMover has the fake server see which run a copy is for.
type namingMover struct{ plainMover }

func (namingMover) CopyRequest(out *fasthttp.Request, c CopyCall) {
	plainMover{}.CopyRequest(out, c)
	out.SetBodyString(c.Request)
}

// TestHopelessRunsBlockNoOthers checks that runs which come first and cannot be copied
// do not keep others of the same server from being moved, however long they go on.
func TestHopelessRunsBlockNoOthers(t *testing.T) {
	w := newWorld(t)
	w.g.moves.mover = namingMover{}
	var mu sync.Mutex
	asked := map[string]bool{}
	w.backend("b", good)
	w.backend("a", func(c net.Conn, req *fasthttp.Request) {
		mu.Lock()
		defer mu.Unlock()
		if strings.HasPrefix(string(req.Body()), "first") {
			say(c, 503, "", "")
			return
		}
		asked[string(req.Body())] = true
		say(c, 404, "", "")
		if len(asked) == moveAtOnce {
			w.g.moves.mu.Lock()
			w.g.moves.runs = map[string]map[*running]struct{}{} // All runs have ended.
			w.g.moves.mu.Unlock()
		}
	})
	source := w.g.view.Load().Find("a")
	runs := map[*running]struct{}{}
	for i := range moveAtOnce {
		for rank, name := range []string{"first", "second"} {
			r := &running{g: w.g, server: source, rank: rank, call: protocol.Call{ID: fmt.Sprint(name, i)}}
			r.begun.Store(true)
			runs[r] = struct{}{}
		}
	}
	w.g.moves.runs["a"] = runs
	w.servers[1].Leaving = true // It has no notice: the list alone would move nothing.
	w.g.SetServers(w.servers)
	w.g.moveRuns(source, notice{end: time.Now().Add(patience)})
	mu.Lock()
	defer mu.Unlock()
	if len(asked) != moveAtOnce {
		t.Errorf("%d of %d runs behind those that cannot be copied were tried", len(asked), moveAtOnce)
	}
}

// TestMovesThatCameToNothingWait checks that a move which came to nothing is followed by
// no other one at once, and one that was made is.
func TestMovesThatCameToNothingWait(t *testing.T) {
	done := make(chan bool, moveAtOnce)
	done <- false
	done <- false
	done <- true
	if n := awaitMoves(done, patience); n != 3 {
		t.Errorf("%d moves were waited for, want those until the first that was made", n)
	}
	done <- false
	if n := awaitMoves(done, moveTick); n != 1 {
		t.Errorf("%d moves were waited for within a tick", n)
	}
}

// TestMovedRunNeedsNoNewConfiguration checks that a run which has stopped goes on though
// the gateway is not sure of its configuration any more: the run was let in once, and it
// is the same one.
func TestMovedRunNeedsNoNewConfiguration(t *testing.T) {
	f := newFakeEngines(t, moveFaults{stop: 200, target: 200, unbegun: true}, "a", "b")
	f.w.installMoves(false, protocol.WorkspaceSpec{Name: "w", Keys: []string{"k"}})
	f.onStop = func() { f.w.g.confirmed.Store(0) }
	if got := f.w.ask("Key: k"); got.status != 200 || got.broken {
		t.Errorf("status %d, verdict %q, broken %v", got.status, got.verdict, got.broken)
	}
}

// TestUnsureBehindAnAttempt checks that a request which may have run, and is not sent again
// as the gateway is not sure of its configuration any more, is not called unrun.
func TestUnsureBehindAnAttempt(t *testing.T) {
	w := newWorld(t)
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

// TestMovedRunKeepsItsWeights checks that a moved run goes on only with the weights that
// made its memory: those of the server that it moves off, also where another one had begun
// the stream, or where that one told them with an earlier answer and this one has not begun.
func TestMovedRunKeepsItsWeights(t *testing.T) {
	for name, unbegun := range map[string]bool{"taken up again": false, "not begun": true} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.g.moves.mover = plainMover{}
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
					say(c, 200, "", "m1")
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
					w.leaves(source)
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
					t.Errorf("goes on with weights %q, want those that made its memory", got)
				}
			default:
				t.Error("the run was not moved")
			}
		})
	}
}

// TestServerThatStaysKeepsItsRuns checks that runs are left alone when their server does
// not leave after all.
func TestServerThatStaysKeepsItsRuns(t *testing.T) {
	w := newWorld(t)
	w.g.moves.mover = plainMover{}
	var copies atomic.Int64
	w.backend("b", good)
	w.backend("a", func(c net.Conn, _ *fasthttp.Request) {
		copies.Add(1)
		say(c, 503, "", "")
	})
	source := w.g.view.Load().Find("a")
	r := &running{g: w.g, server: source}
	r.begun.Store(true)
	w.g.moves.runs["a"] = map[*running]struct{}{r: {}}
	w.g.moveRuns(source, notice{end: time.Now().Add(patience)})
	if n := copies.Load(); n != 0 {
		t.Errorf("%d copies were asked for", n)
	}
}

// TestRestingConnectionIsNoRuns checks that a connection on which an answer came to its
// end is not closed any more for the run that it belonged to: another request may use it.
func TestRestingConnectionIsNoRuns(t *testing.T) {
	w := newWorld(t)
	w.g.moves.mover = plainMover{}
	b := w.backend("a", good)
	server := w.g.view.Load().Find("a")
	conn, err := w.g.pool.Get("a", b.address, time.Now().Add(patience))
	if err != nil {
		t.Fatal(err)
	}
	x := &exchange{g: w.g, in: &fasthttp.Request{}}
	r := &running{g: w.g, server: server, state: move.State{Phase: move.Stopped, Target: "b"}}
	r.try = &try{x: x, server: server, conn: conn, running: r}
	r.try.finish(true, func() bool { return true })
	r.hangUp()
	again, err := w.g.pool.Get("a", b.address, time.Now().Add(patience))
	if err != nil {
		t.Fatal(err)
	}
	if again != conn {
		t.Error("the connection that rests was closed")
	}
	again.Close()
}

// TestEventsWithoutIdsStay checks that a stream is not moved once the caller has got an
// event without an id: the next server could not be told where to go on.
func TestEventsWithoutIdsStay(t *testing.T) {
	for event, moves := range map[string]bool{"data: x\n\n": false, "id: 1\ndata: x\n\n": true, ": comment\n\n": true} {
		w := newWorld(t)
		w.g.moves.mover = plainMover{}
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
			t.Errorf("%q: the run may be moved: %v, want %v", event, got, moves)
		}
		w.g.moves.mu.Unlock()
		close(seen)
		_ = conn.Close()
	}
}

// TestRunWithoutAPlaceIsNotCalledUnrun checks that a run which had stopped at its server,
// and which both servers refuse, is not called unrun, and is cut if its answer had begun.
func TestRunWithoutAPlaceIsNotCalledUnrun(t *testing.T) {
	for _, unbegun := range []bool{true, false} {
		f := newFakeEngines(t, moveFaults{stop: 200, target: 503, shuts: true, unbegun: unbegun}, "a", "b")
		f.w.installMoves(false)
		got := f.w.ask()
		if unbegun && (got.status != 502 || got.verdict == "not-run") || !unbegun && !got.broken {
			t.Errorf("unbegun %v: status %d, verdict %q, broken %v", unbegun, got.status, got.verdict, got.broken)
		}
		f.awaitFreed()
	}
}

// TestCallerLeavesInMidMove checks that the copy of a run is freed whose caller leaves
// while the target has not answered.
func TestCallerLeavesInMidMove(t *testing.T) {
	f := newFakeEngines(t, moveFaults{stop: 200, holds: true}, "a", "b")
	f.w.installMoves(false)
	conn := f.w.dial()
	_, _ = io.WriteString(conn, "POST /r/x HTTP/1.1\r\nHost: h\r\nId: 7\r\nContent-Length: 0\r\n\r\n")
	<-f.finished
	_ = conn.Close()
	f.awaitFreed()
}

// TestSourceIsSentNothingLate checks that a run does not go back to a server whose notice
// is so old that it may be sent nothing more.
func TestSourceIsSentNothingLate(t *testing.T) {
	f := newFakeEngines(t, moveFaults{stop: 200, target: 503}, "a", "b")
	f.w.installMoves(false)
	f.onLeave = func() {
		f.w.g.moves.mu.Lock()
		defer f.w.g.moves.mu.Unlock()
		for _, id := range []string{"a", "b"} {
			f.w.g.moves.notices[id] = notice{at: time.Now().Add(-sourceLatest), end: time.Now().Add(patience)}
		}
	}
	got := f.w.ask()
	f.mu.Lock()
	defer f.mu.Unlock()
	if starts := []string{"run behind "}; !got.broken || !slices.Equal(f.starts, starts) {
		t.Errorf("broken %v, runs %q, want %q", got.broken, f.starts, starts)
	}
}
