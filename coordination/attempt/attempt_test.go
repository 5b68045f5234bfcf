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

// simulation models the environment of one request: servers that generate
// tokens, a network that reorders, duplicates and delays messages, and a caller
// that records what it receives.
type simulation struct {
	t          *rapid.T
	state      State
	queue      []Msg       // queue are the messages in flight, in no order.
	running    map[int]int // running is the next token offset of each attempt that a server still runs.
	caller     string
	freshRuns  int // freshRuns is the number of runs that started from the prompt.
	lastFresh  int // lastFresh is the latest attempt that started from the prompt.
	finished   int
	refusals   []*protocol.Refusal
	handedOver bool
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{t: t, running: map[int]int{}}
	s.state = New(rapid.Bool().Draw(t, "repeatable"), 4, 0, 0)
	s.update(StartMsg{})
	return s
}

func (s *simulation) update(m Msg) {
	var cmds []Cmd
	s.state, cmds = Update(s.state, m)
	for _, c := range cmds {
		s.execute(c)
	}
}

func (s *simulation) execute(c Cmd) {
	switch c := c.(type) {
	case DispatchCmd:
		s.dispatch(c)
	case EmitCmd:
		if c.Chunk.Attempt != s.state.Attempt {
			s.t.Fatalf("chunk of attempt %d was emitted during attempt %d", c.Chunk.Attempt, s.state.Attempt)
		}
		s.caller += c.Chunk.Text
	case CancelCmd:
		if s.state.Repeatable {
			delete(s.running, c.Attempt) // Messages that the server sent before the cancellation are still in flight.
		}
	case ExportCmd:
		s.queue = append(s.queue, exportRequest{c.Attempt})
	case RetryCmd:
		s.queue = append(s.queue, RetryMsg{})
	case FinishCmd:
		s.finished++
	case RefuseCmd:
		s.refusals = append(s.refusals, c.Refusal)
	case HandOverCmd:
		if !s.state.Repeatable && len(s.running) > 0 {
			s.t.Fatalf("handed over while attempts %v still run", s.running)
		}
		s.handedOver = true
		s.update(StopMsg{Refusal: protocol.NewRefusal(503, protocol.CodeLeaving, "leaving")})
	}
}

// exportRequest is an export command in flight to the server.
type exportRequest struct{ attempt int }

func (exportRequest) msg() {}

func (s *simulation) dispatch(c DispatchCmd) {
	if !s.state.Repeatable && len(s.running) > 0 {
		s.t.Fatalf("attempt %d was dispatched while attempts %v still run", c.Attempt, s.running)
	}
	if c.Resume == 0 && c.MoveFrom == "" {
		s.freshRuns++
		s.lastFresh = c.Attempt
	}
	s.running[c.Attempt] = c.Resume
	s.update(SentMsg{Attempt: c.Attempt, Server: fmt.Sprint("server-", c.Attempt), Domain: "zone"})
}

func (s *simulation) pickRunning(t *rapid.T) (int, bool) {
	for attempt := 1; attempt <= s.state.Attempt; attempt++ {
		if _, ok := s.running[attempt]; ok && (len(s.running) == 1 || rapid.Bool().Draw(t, "this")) {
			return attempt, true
		}
	}
	return 0, false
}

func (s *simulation) generate(t *rapid.T) {
	attempt, ok := s.pickRunning(t)
	if !ok {
		return
	}
	offset := s.running[attempt]
	if offset >= answerTokens {
		return
	}
	m := ChunkMsg{Attempt: attempt, Offset: offset, Tokens: 1, Text: tokenText(offset)}
	s.running[attempt]++
	if s.running[attempt] == answerTokens {
		m.Finish = "stop"
		delete(s.running, attempt)
	}
	s.queue = append(s.queue, m)
}

// receive delivers a random message in flight. A chunk may stay in the queue and
// be delivered again.
func (s *simulation) receive(t *rapid.T) {
	if len(s.queue) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.queue)-1).Draw(t, "message")
	m := s.queue[i]
	_, isChunk := m.(ChunkMsg)
	if !isChunk || rapid.Bool().Draw(t, "once") {
		s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
	}
	if x, ok := m.(exportRequest); ok {
		s.export(t, x.attempt)
		return
	}
	s.update(m)
}

// export ends a request at its server. The export command or its answer may be
// lost.
func (s *simulation) export(t *rapid.T, attempt int) {
	if rapid.Bool().Draw(t, "reached") {
		delete(s.running, attempt)
		s.queue = append(s.queue, ExportedMsg{Attempt: attempt, Ended: rapid.Bool().Draw(t, "answered")})
		return
	}
	s.queue = append(s.queue, ExportedMsg{Attempt: attempt})
}

// fail reports a failed connection of the current attempt. The server may keep
// running it.
func (s *simulation) fail(t *rapid.T) {
	attempt := s.state.Attempt
	verdict := protocol.MayHaveRun
	if next, ok := s.running[attempt]; ok && next == 0 && rapid.Bool().Draw(t, "refused") {
		delete(s.running, attempt)
		verdict = protocol.NotRun
		if s.lastFresh == attempt {
			s.freshRuns--
		}
	}
	s.update(FailedMsg{Attempt: attempt, Verdict: verdict, Reason: "failed"})
}

func (s *simulation) check() {
	want := ""
	for i := range answerTokens {
		want += tokenText(i)
	}
	if !strings.HasPrefix(want, s.caller) {
		s.t.Fatalf("the caller received %q, which is not a prefix of the answer", s.caller)
	}
	if s.finished > 0 && s.caller != want {
		s.t.Fatalf("finished with an incomplete answer: %q", s.caller)
	}
	if s.finished+len(s.refusals) > 1 {
		s.t.Fatalf("finished %d times and refused %d times, want one end", s.finished, len(s.refusals))
	}
	if !s.state.Repeatable && s.freshRuns > 1 {
		s.t.Fatalf("a request that is not repeatable was started %d times", s.freshRuns)
	}
	for _, r := range s.refusals {
		if r.Verdict == protocol.NotRun && (s.freshRuns > 0 || s.caller != "") {
			s.t.Fatalf("verdict \"not run\" after %d runs with %q delivered", s.freshRuns, s.caller)
		}
	}
}

// TestAttempts runs random sequences of chunks, failures, moves and hand-overs.
// The caller must receive a prefix of the answer, and all of it if the request
// finished; a request that is not repeatable must start once and never run twice
// concurrently; and the verdict "not run" must be true.
func TestAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"":         func(*rapid.T) { s.check() },
			"generate": s.generate,
			"again":    s.generate,
			"receive":  s.receive,
			"more":     s.receive,
			"fail":     s.fail,
			"leaving": func(*rapid.T) {
				s.update(LeavingMsg{Server: s.state.Server})
			},
			"handover": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rare") == 0 {
					s.update(HandOverMsg{})
				}
			},
			"gone": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rare") == 0 {
					s.update(CallerGoneMsg{})
				}
			},
		})
	})
}

// TestResumeInsideChunk checks that a request is refused if resuming it would
// require splitting a chunk of several tokens.
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
		t.Errorf("phase %d, want PhaseEnded", s.Phase)
	}
}

// TestResumePastTheEnd checks that resuming past the last event of the answer is
// refused, while resuming exactly at its end returns the finish reason.
func TestResumePastTheEnd(t *testing.T) {
	for _, tc := range []struct {
		name      string
		delivered int
		refused   bool
	}{
		{"at the end", 5, false},
		{"one past the end", 6, true},
		{"far past the end", 999999, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := New(true, 4, tc.delivered, 0)
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
