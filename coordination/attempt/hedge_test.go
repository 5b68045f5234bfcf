package attempt

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/weldstream/weldstream/protocol"
)

// calls is a plain service's replicas around one call: each attempt answers
// whole, fails, or stays silent, in any order and late.
type calls struct {
	t       *rapid.T
	state   State
	servers map[int]string // servers are where attempts went.
	live    map[int]bool   // live are attempts that may still answer.
	answers int
	ended   bool
}

func (c *calls) update(m Msg) {
	var cmds []Cmd
	c.state, cmds = Update(c.state, m)
	for _, cmd := range cmds {
		c.execute(cmd)
	}
}

func (c *calls) execute(cmd Cmd) {
	switch cmd := cmd.(type) {
	case DispatchCmd:
		if c.servers[cmd.Attempt] != "" {
			c.t.Fatalf("attempt %d was sent twice", cmd.Attempt)
		}
		mayHedge := cmd.Hedge && c.state.Repeatable
		if len(c.live) > 1 || (len(c.live) == 1 && !mayHedge) {
			c.t.Fatalf("attempt %d (hedge %v) beside %v", cmd.Attempt, cmd.Hedge, c.live)
		}
		server := fmt.Sprint("s", cmd.Attempt)
		for _, avoid := range cmd.AvoidServers {
			if avoid == server {
				server += "'"
			}
		}
		c.servers[cmd.Attempt] = server
		c.live[cmd.Attempt] = true
		c.update(SentMsg{Attempt: cmd.Attempt, Server: server, Domain: "d" + server})
	case CancelCmd:
		delete(c.live, cmd.Attempt)
	case RetryCmd:
		c.update(RetryMsg{})
	case EmitCmd:
		c.answers++
	case FinishCmd, RefuseCmd:
		c.ended = true
	}
}

// TestHedge answers, fails, hedges and doubles at random. There is one answer
// or one refusal, never more than two attempts at once, never two of a call
// that is not repeatable, and nothing is left running after the end.
func TestHedge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &calls{t: t, state: New(rapid.Bool().Draw(t, "repeatable"), 4, 0, 0), servers: map[int]string{}, live: map[int]bool{}}
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
			if c.answers > 1 || c.state.AttemptsSent > 4 {
				t.Fatalf("%d answers, %d attempts", c.answers, c.state.AttemptsSent)
			}
			if c.ended != (c.state.Phase == PhaseEnded) {
				t.Fatalf("ended %v in phase %d", c.ended, c.state.Phase)
			}
			for left := range c.live {
				if c.ended && left != c.state.Attempt {
					t.Fatalf("attempt %d is left running", left)
				}
				if !c.ended && left != c.state.Attempt && left != c.state.Hedge {
					t.Fatalf("attempt %d runs and is not followed", left)
				}
			}
		}
	})
}

// TestHedgeWins walks through a hedge that answers first.
func TestHedgeWins(t *testing.T) {
	s, _ := Update(New(true, 4, 0, 0), StartMsg{})
	s, _ = Update(s, SentMsg{Attempt: 1, Server: "slow", Domain: "a"})
	s, cmds := Update(s, HedgeMsg{})
	d, ok := cmds[0].(DispatchCmd)
	if !ok || !d.Hedge || fmt.Sprint(d.AvoidServers, d.AvoidDomains) != "[slow] [a]" {
		t.Fatalf("the hedge is %+v", cmds)
	}
	s, _ = Update(s, SentMsg{Attempt: 2, Server: "fast", Domain: "b"})
	s, cmds = Update(s, ChunkMsg{Attempt: 2, Tokens: 1, Finish: "answered"})
	if got := fmt.Sprintf("%T %T %T", cmds[0], cmds[1], cmds[2]); got != "attempt.EmitCmd attempt.CancelCmd attempt.FinishCmd" || cmds[1].(CancelCmd).Attempt != 1 {
		t.Errorf("the answer gave %s %+v", got, cmds)
	}
	if s.Server != "fast" {
		t.Errorf("the answer is said to be of %q", s.Server)
	}
}
