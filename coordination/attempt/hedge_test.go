package attempt

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/weldstream/weldstream/protocol"
)

// callSimulation models the replicas of a service that does not stream: each
// attempt of a call answers, fails or never answers, in any order.
type callSimulation struct {
	t        *rapid.T
	state    State
	servers  map[int]string // servers are the servers that attempts were sent to.
	running  map[int]bool   // running are the attempts that may still answer.
	answered int
	ended    bool
}

func (c *callSimulation) update(m Msg) {
	var cmds []Cmd
	c.state, cmds = Update(c.state, m)
	for _, cmd := range cmds {
		c.execute(cmd)
	}
}

func (c *callSimulation) execute(cmd Cmd) {
	switch cmd := cmd.(type) {
	case DispatchCmd:
		if c.servers[cmd.Attempt] != "" {
			c.t.Fatalf("attempt %d was sent twice", cmd.Attempt)
		}
		mayHedge := cmd.Hedge && c.state.Repeatable
		if len(c.running) > 1 || (len(c.running) == 1 && !mayHedge) {
			c.t.Fatalf("attempt %d (hedge %v) was dispatched while attempts %v still run", cmd.Attempt, cmd.Hedge, c.running)
		}
		server := fmt.Sprint("s", cmd.Attempt)
		for _, avoid := range cmd.AvoidServers {
			if avoid == server {
				server += "'"
			}
		}
		c.servers[cmd.Attempt] = server
		c.running[cmd.Attempt] = true
		c.update(SentMsg{Attempt: cmd.Attempt, Server: server, Domain: "d" + server})
	case CancelCmd:
		delete(c.running, cmd.Attempt)
	case RetryCmd:
		c.update(RetryMsg{})
	case EmitCmd:
		c.answered++
	case FinishCmd, RefuseCmd:
		c.ended = true
	}
}

// TestHedge runs random sequences of hedges, answers, duplicates and failures. A
// call must end with one answer or one refusal, have at most two concurrent
// attempts, only one if it is not repeatable, and leave none running at the end.
func TestHedge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &callSimulation{t: t, state: New(rapid.Bool().Draw(t, "repeatable"), 4, 0, 0), servers: map[int]string{}, running: map[int]bool{}}
		c.update(StartMsg{})
		for range 30 {
			attempt := rapid.IntRange(1, max(1, c.state.AttemptsSent)).Draw(t, "attempt")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				c.update(HedgeMsg{})
			case 1:
				c.update(ChunkMsg{Attempt: attempt, Tokens: 1, Finish: "answered"})
			case 2:
				c.update(FailedMsg{Attempt: attempt, Verdict: rapid.SampledFrom([]protocol.Verdict{protocol.NotRun, protocol.MayHaveRun}).Draw(t, "verdict")})
			case 3:
				c.update(LeavingMsg{Server: c.servers[attempt]})
			case 4:
				c.update(ExportedMsg{Attempt: attempt})
			}
			if c.answered > 1 || c.state.AttemptsSent > 4 {
				t.Fatalf("%d answers and %d attempts, want at most 1 and 4", c.answered, c.state.AttemptsSent)
			}
			if c.ended != (c.state.Phase == PhaseEnded) {
				t.Fatalf("ended %v in phase %d", c.ended, c.state.Phase)
			}
			for running := range c.running {
				if c.ended && running != c.state.Attempt {
					t.Fatalf("attempt %d still runs after the end of the call", running)
				}
				if !c.ended && running != c.state.Attempt && running != c.state.HedgeAttempt {
					t.Fatalf("attempt %d still runs but is neither the current attempt nor its hedge", running)
				}
			}
		}
	})
}

// TestHedgeWins checks the commands when the hedge answers first.
func TestHedgeWins(t *testing.T) {
	s, _ := Update(New(true, 4, 0, 0), StartMsg{})
	s, _ = Update(s, SentMsg{Attempt: 1, Server: "slow", Domain: "a"})
	s, cmds := Update(s, HedgeMsg{})
	d, ok := cmds[0].(DispatchCmd)
	if !ok || !d.Hedge || fmt.Sprint(d.AvoidServers, d.AvoidDomains) != "[slow] [a]" {
		t.Fatalf("commands for the hedge: %+v", cmds)
	}
	s, _ = Update(s, SentMsg{Attempt: 2, Server: "fast", Domain: "b"})
	s, cmds = Update(s, ChunkMsg{Attempt: 2, Tokens: 1, Finish: "answered"})
	if got := fmt.Sprintf("%T %T %T", cmds[0], cmds[1], cmds[2]); got != "attempt.EmitCmd attempt.CancelCmd attempt.FinishCmd" || cmds[1].(CancelCmd).Attempt != 1 {
		t.Errorf("commands for the hedge's answer: %s %+v", got, cmds)
	}
	if s.Server != "fast" {
		t.Errorf("the answer is attributed to %q, want \"fast\"", s.Server)
	}
}
