package resend

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/weldstream/weldstream/internal/testseed" // Fixes the seed.
	"github.com/weldstream/weldstream/protocol"
)

// promises are the statuses that tell a caller that its request has not run.
var promises = map[int]bool{429: true, 503: true, 408: true, 421: true}

// TestNext checks over random failures that a request that may run once is never
// sent again after it may have run, that no request goes to more servers than it
// may, and that a refusal promises "not run" only if no attempt may have run.
func TestNext(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := State{Repeatable: rapid.Bool().Draw(t, "repeatable"), MaxServers: rapid.IntRange(1, 4).Draw(t, "most")}
		reached, ran := 0, false
		for step := 0; ; step++ {
			if step > 20 {
				t.Fatal("it does not end")
			}
			m := FailedMsg{
				Verdict:  rapid.SampledFrom([]protocol.Verdict{protocol.NotRun, protocol.MayHaveRun}).Draw(t, "verdict"),
				Reached:  rapid.Bool().Draw(t, "reached"),
				TimeLeft: time.Duration(rapid.IntRange(-10, 500).Draw(t, "left")) * time.Millisecond,
				Target:   time.Second,
				Budget:   func() bool { return rapid.Bool().Draw(t, "budget") },
			}
			if !m.Reached {
				m.Verdict = protocol.NotRun
			} else {
				reached++
			}
			ran = ran || m.Verdict == protocol.MayHaveRun
			var refusal *protocol.Refusal
			s, refusal = Next(s, m)
			if refusal == nil {
				if ran && !s.Repeatable {
					t.Fatal("sent again though it may have run")
				}
				if m.TimeLeft < leastLeft {
					t.Fatalf("sent again with %v left", m.TimeLeft)
				}
				if reached >= s.MaxServers {
					t.Fatalf("sent again after %d of %d servers", reached, s.MaxServers)
				}
				continue
			}
			if promises[refusal.Status] == ran || (refusal.Verdict == protocol.NotRun) == ran {
				t.Fatalf("status %d, verdict %v, though it may have run: %v", refusal.Status, refusal.Verdict, ran)
			}
			if !ran && refusal.RetryAfter <= 0 {
				t.Fatal("no time to come back")
			}
			return
		}
	})
}

// TestOutOfReach checks that a request looks for a server in vain for a few times
// only, though it was sent to none and time is left.
func TestOutOfReach(t *testing.T) {
	s := State{MaxServers: 9}
	m := FailedMsg{Verdict: protocol.NotRun, TimeLeft: time.Minute, Target: time.Second, Budget: func() bool { return true }}
	for n := 1; ; n++ {
		var refusal *protocol.Refusal
		s, refusal = Next(s, m)
		if (refusal != nil) != (n == mostConnects) {
			t.Fatalf("after %d servers: %+v", n, refusal)
		}
		if refusal != nil {
			return
		}
	}
}
