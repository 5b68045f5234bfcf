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

// TestPlan plays rounds over servers of which some are used: no round is too
// large or asks a server twice, a server in use is asked before long, and every
// server is asked in the end.
func TestPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 60).Draw(t, "servers")
		most := rapid.IntRange(2, 12).Draw(t, "most")
		used := rapid.IntRange(0, n-1).Draw(t, "used")
		servers := make([]state.Server, n)
		for i := range servers {
			servers[i].ID = fmt.Sprintf("s%03d", i)
			servers[i].Kind = protocol.InstanceEngine
			servers[i].Counters = &state.Counters{}
		}
		lastAsked := make([]int, n)
		for round := 1; round <= 4*n+10; round++ {
			now := time.Unix(int64(round), 0)
			for i := range used {
				servers[i].Counters.Sent.Add(1)
			}
			v := state.NewView(append([]state.Server(nil), servers...))
			plan := Plan(v, most)
			if len(plan) > most && len(plan) > n {
				t.Fatalf("%d asked of %d, at most %d", len(plan), n, most)
			}
			if len(plan) < min(n, most) {
				t.Fatalf("only %d asked of %d, though %d may be", len(plan), n, most)
			}
			for _, i := range plan {
				if lastAsked[i] == round {
					t.Fatalf("server %d is asked twice", i)
				}
				lastAsked[i] = round
				servers[i].AskedAt, servers[i].SentAt = now, servers[i].Counters.Sent.Load()
			}
			for i := range servers {
				if age := round - lastAsked[i]; age > n+1 {
					t.Fatalf("server %d of %d was not asked for %d rounds of %d", i, n, age, most)
				}
			}
		}
	})
}

// TestUsedGoFirst has one of 600 servers in use: it is asked in each round.
func TestUsedGoFirst(t *testing.T) {
	servers := make([]state.Server, 600)
	for i := range servers {
		servers[i].ID, servers[i].Counters = fmt.Sprintf("s%03d", i), &state.Counters{}
		servers[i].AskedAt = time.Unix(int64(i+1), 0)
	}
	servers[400].Counters.Sent.Add(1)
	if plan := Plan(state.NewView(servers), 5); len(plan) != 5 || plan[0] != 400 {
		t.Errorf("the plan is %v", plan)
	}
}
