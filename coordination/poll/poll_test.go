package poll

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/weldstream/weldstream/internal/testseed" // Fixes the seed.
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/state"
)

// TestPlan runs rounds over servers of which some are in use: no round is too large
// or polls a server twice, and every server is polled within a bounded number of
// rounds.
func TestPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 60).Draw(t, "servers")
		limit := rapid.IntRange(2, 12).Draw(t, "most")
		used := rapid.IntRange(0, n-1).Draw(t, "used")
		servers := make([]state.Server, n)
		for i := range servers {
			servers[i].ID = fmt.Sprintf("s%03d", i)
			servers[i].Kind = protocol.InstanceEngine
			servers[i].Counters = &state.Counters{}
		}
		lastPolled := make([]int, n)
		for round := 1; round <= 4*n+10; round++ {
			now := time.Unix(int64(round), 0)
			for i := range used {
				servers[i].Counters.Sent.Add(1)
			}
			v := state.NewView(append([]state.Server(nil), servers...))
			plan := Plan(v, limit)
			if len(plan) > limit && len(plan) > n {
				t.Fatalf("%d of %d servers are polled, want at most %d", len(plan), n, limit)
			}
			if len(plan) < min(n, limit) {
				t.Fatalf("only %d of %d servers are polled at a limit of %d", len(plan), n, limit)
			}
			for _, i := range plan {
				if lastPolled[i] == round {
					t.Fatalf("server %d is polled twice in a round", i)
				}
				lastPolled[i] = round
				servers[i].AskedAt, servers[i].SentAt = now, servers[i].Counters.Sent.Load()
			}
			for i := range servers {
				if age := round - lastPolled[i]; age > n+1 {
					t.Fatalf("server %d of %d was not polled for %d rounds of %d", i, n, age, limit)
				}
			}
		}
	})
}

// TestUsedServersFirst checks that the only server in use out of 600 is polled first.
func TestUsedServersFirst(t *testing.T) {
	servers := make([]state.Server, 600)
	for i := range servers {
		servers[i].ID, servers[i].Counters = fmt.Sprintf("s%03d", i), &state.Counters{}
		servers[i].AskedAt = time.Unix(int64(i+1), 0)
	}
	servers[400].Counters.Sent.Add(1)
	if plan := Plan(state.NewView(servers), 5); len(plan) != 5 || plan[0] != 400 {
		t.Errorf("plan %v, want 5 servers with server 400 first", plan)
	}
}
