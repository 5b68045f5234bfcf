package attempt

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	_ "github.com/weldstream/weldstream/internal/testseed" // Fixes the seed.
	"github.com/weldstream/weldstream/protocol"
)

const answerTokens = 12

func tokenText(offset int) string { return fmt.Sprintf("<%d>", offset) }

// world is everything around one request: servers that generate, a network
// that reorders, doubles and delays, and a caller that keeps what it gets.
type world struct {
	t        *rapid.T
	state    State
	queue    []Msg       // queue are messages on the way, in no order.
	live     map[int]int // live is the next offset of each attempt that a server still works on.
	caller   string
	begun    int // begun counts the runs that began at the prompt.
	fresh    int // fresh is the latest attempt that began at the prompt.
	finished int
	refusals []*protocol.Refusal
	handed   bool
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, live: map[int]int{}}
	w.state = New(rapid.Bool().Draw(t, "repeatable"), 4, 0, 0)
	w.update(StartMsg{})
	return w
}

func (w *world) update(m Msg) {
	var cmds []Cmd
	w.state, cmds = Update(w.state, m)
	for _, c := range cmds {
		w.execute(c)
	}
}

func (w *world) execute(c Cmd) {
	switch c := c.(type) {
	case DispatchCmd:
		w.dispatch(c)
	case EmitCmd:
		if c.Chunk.Attempt != w.state.Attempt {
			w.t.Fatalf("a chunk of attempt %d reached the caller in attempt %d", c.Chunk.Attempt, w.state.Attempt)
		}
		w.caller += c.Chunk.Text
	case CancelCmd:
		if w.state.Repeatable {
			delete(w.live, c.Attempt) // The server may notice late; what it sent is on the way.
		}
	case ExportCmd:
		w.queue = append(w.queue, exportRequest{c.Attempt})
	case RetryCmd:
		w.queue = append(w.queue, RetryMsg{})
	case FinishCmd:
		w.finished++
	case RefuseCmd:
		w.refusals = append(w.refusals, c.Refusal)
	case HandOverCmd:
		if !w.state.Repeatable && len(w.live) > 0 {
			w.t.Fatalf("handed over while %v runs", w.live)
		}
		w.handed = true
		w.update(StopMsg{Refusal: protocol.NewRefusal(503, protocol.CodeLeaving, "leaving")})
	}
}

// exportRequest is on its way to the server.
type exportRequest struct{ attempt int }

func (exportRequest) msg() {}

func (w *world) dispatch(c DispatchCmd) {
	if !w.state.Repeatable && len(w.live) > 0 {
		w.t.Fatalf("attempt %d beside %v", c.Attempt, w.live)
	}
	if c.Resume == 0 && c.MoveFrom == "" {
		w.begun++
		w.fresh = c.Attempt
	}
	w.live[c.Attempt] = c.Resume
	w.update(SentMsg{Attempt: c.Attempt, Server: fmt.Sprint("server-", c.Attempt), Domain: "zone"})
}

func (w *world) someLive(t *rapid.T) (int, bool) {
	for attempt := 1; attempt <= w.state.Attempt; attempt++ {
		if _, ok := w.live[attempt]; ok && (len(w.live) == 1 || rapid.Bool().Draw(t, "this")) {
			return attempt, true
		}
	}
	return 0, false
}

func (w *world) generate(t *rapid.T) {
	attempt, ok := w.someLive(t)
	if !ok {
		return
	}
	offset := w.live[attempt]
	if offset >= answerTokens {
		return
	}
	m := ChunkMsg{Attempt: attempt, Offset: offset, Tokens: 1, Text: tokenText(offset)}
	w.live[attempt]++
	if w.live[attempt] == answerTokens {
		m.Finish = "stop"
		delete(w.live, attempt)
	}
	w.queue = append(w.queue, m)
}

// receive hands any message on the way over, perhaps not for the last time.
func (w *world) receive(t *rapid.T) {
	if len(w.queue) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.queue)-1).Draw(t, "message")
	m := w.queue[i]
	_, isChunk := m.(ChunkMsg)
	if !isChunk || rapid.Bool().Draw(t, "once") {
		w.queue = append(w.queue[:i:i], w.queue[i+1:]...)
	}
	if x, ok := m.(exportRequest); ok {
		w.export(t, x.attempt)
		return
	}
	w.update(m)
}

// export ends a request at its server, or is lost, or its answer is.
func (w *world) export(t *rapid.T, attempt int) {
	if rapid.Bool().Draw(t, "reached") {
		delete(w.live, attempt)
		w.queue = append(w.queue, ExportedMsg{Attempt: attempt, Ended: rapid.Bool().Draw(t, "answered")})
		return
	}
	w.queue = append(w.queue, ExportedMsg{Attempt: attempt})
}

// fail ends an attempt as its connection shows it: the server may go on.
func (w *world) fail(t *rapid.T) {
	attempt := w.state.Attempt
	verdict := protocol.MayHaveRun
	if next, ok := w.live[attempt]; ok && next == 0 && rapid.Bool().Draw(t, "refused") {
		delete(w.live, attempt)
		verdict = protocol.NotRun
		if w.fresh == attempt {
			w.begun--
		}
	}
	w.update(FailedMsg{Attempt: attempt, Verdict: verdict, Reason: "failed"})
}

func (w *world) check() {
	whole := ""
	for i := range answerTokens {
		whole += tokenText(i)
	}
	if !strings.HasPrefix(whole, w.caller) {
		w.t.Fatalf("the caller got %q", w.caller)
	}
	if w.finished > 0 && w.caller != whole {
		w.t.Fatalf("finished with %q", w.caller)
	}
	if w.finished+len(w.refusals) > 1 {
		w.t.Fatalf("ended %d times and refused %d times", w.finished, len(w.refusals))
	}
	if !w.state.Repeatable && w.begun > 1 {
		w.t.Fatalf("begun %d times", w.begun)
	}
	for _, r := range w.refusals {
		if r.Verdict == protocol.NotRun && (w.begun > 0 || w.caller != "") {
			w.t.Fatalf("refused as not run after %d runs and %q", w.begun, w.caller)
		}
	}
}

// TestAttempts checks that whatever happens around it, the caller gets a first
// part of the right answer, all of it if it ended well; that a request which is
// not repeatable begins once and never runs twice side by side; and that "not
// run" is said only of what did not run.
func TestAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"":         func(*rapid.T) { w.check() },
			"generate": w.generate,
			"again":    w.generate,
			"receive":  w.receive,
			"more":     w.receive,
			"fail":     w.fail,
			"leaving": func(*rapid.T) {
				w.update(LeavingMsg{Server: w.state.Server})
			},
			"handover": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rare") == 0 {
					w.update(HandOverMsg{})
				}
			},
			"gone": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rare") == 0 {
					w.update(CallerGoneMsg{})
				}
			},
		})
	})
}

// TestResumeInsideChunk refuses to resume where a chunk of several tokens would
// have to be cut.
func TestResumeInsideChunk(t *testing.T) {
	s := New(true, 4, 3, 0)
	s, _ = Update(s, StartMsg{})
	s, cmds := Update(s, ChunkMsg{Attempt: 1, Offset: 0, Tokens: 5, Text: "abcde"})
	for _, c := range cmds {
		if e, ok := c.(EmitCmd); ok {
			t.Errorf("emitted %+v", e)
		}
	}
	if s.Phase != PhaseEnded {
		t.Errorf("phase %d, want the end", s.Phase)
	}
}

// TestResumeBehindTheEnd refuses to resume behind an event that the answer never
// had. One that resumes at its very end lacks nothing but the end.
func TestResumeBehindTheEnd(t *testing.T) {
	for _, tc := range []struct {
		name    string
		floor   int
		refused bool
	}{
		{"at the end", 5, false},
		{"one behind it", 6, true},
		{"far behind it", 999999, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := New(true, 4, tc.floor, 0)
			s, _ = Update(s, StartMsg{})
			s, _ = Update(s, ChunkMsg{Attempt: 1, Offset: 0, Tokens: 5, Text: "abcde"})
			s, cmds := Update(s, ChunkMsg{Attempt: 1, Offset: 5, Finish: "stop"})
			var refusal *protocol.Refusal
			finished := false
			for _, c := range cmds {
				switch c := c.(type) {
				case RefuseCmd:
					refusal = c.Refusal
				case FinishCmd:
					finished = true
				}
			}
			if s.Phase != PhaseEnded || finished == tc.refused || (refusal != nil) != tc.refused {
				t.Fatalf("phase %d, finished %v, refusal %v", s.Phase, finished, refusal)
			}
			if tc.refused && (refusal.Code != protocol.CodeNoEvent || refusal.Status != protocol.StatusBadRequest || refusal.Verdict != protocol.MayHaveRun) {
				t.Errorf("refused with %+v", refusal)
			}
		})
	}
}
