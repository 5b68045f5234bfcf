package resend

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/weldstream/weldstream/internal/testseed" // Fixes the seed.
	"github.com/weldstream/weldstream/protocol"
)

// notRunStatuses are the statuses that tell a caller that its request has not
// run.
var notRunStatuses = map[int]bool{429: true, 503: true, 408: true, 421: true}

// TestNext checks over random failures that a request that must run at most once
// is not resent once it may have run, that no request is sent to more than
// MaxServers servers, and that a refusal says "not run" exactly if no attempt may
// have run.
func TestNext(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := State{Repeatable: rapid.Bool().Draw(t, "repeatable"), MaxServers: rapid.IntRange(1, 4).Draw(t, "most")}
		reached, ran := 0, false
		for step := 0; ; step++ {
			if step > 20 {
				t.Fatal("no refusal after 20 failed attempts")
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
					t.Fatal("a request that is not repeatable was resent after it may have run")
				}
				if m.TimeLeft < minTimeLeft {
					t.Fatalf("resent with only %v before the deadline", m.TimeLeft)
				}
				if reached >= s.MaxServers {
					t.Fatalf("resent after %d of at most %d servers", reached, s.MaxServers)
				}
				continue
			}
			if notRunStatuses[refusal.Status] == ran || (refusal.Verdict == protocol.NotRun) == ran {
				t.Fatalf("status %d and verdict %v, though whether it may have run is %v", refusal.Status, refusal.Verdict, ran)
			}
			if !ran && refusal.RetryAfter <= 0 {
				t.Fatal("the refusal has no Retry-After")
			}
			return
		}
	})
}

// TestUnreachableServers checks that a request is refused after maxFailedConnects
// unreachable servers, although no server received it and time is left.
func TestUnreachableServers(t *testing.T) {
	s := State{MaxServers: 9}
	m := FailedMsg{Verdict: protocol.NotRun, TimeLeft: time.Minute, Target: time.Second, Budget: func() bool { return true }}
	for n := 1; ; n++ {
		var refusal *protocol.Refusal
		s, refusal = Next(s, m)
		if (refusal != nil) != (n == maxFailedConnects) {
			t.Fatalf("refusal after %d unreachable servers: %+v", n, refusal)
		}
		if refusal != nil {
			return
		}
	}
}
