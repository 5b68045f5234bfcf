package place

import (
	"testing"

	"pgregory.net/rapid"
)

// TestMoveTargetHasRoom checks that the target of a move is another server of the same
// service and version that is not leaving, is not suspect and has room, and that one is
// found whenever there is any.
func TestMoveTargetHasRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := fleet(rapid.IntRange(1, 8).Draw(t, "servers"))
		suitable := map[string]bool{}
		for i := range v.Servers {
			s := &v.Servers[i]
			s.Leaving = i == 0 || rapid.Bool().Draw(t, "leaving")
			s.Version = rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version")
			running := rapid.SampledFrom([]int{0, 8, 16}).Draw(t, "running")
			for range running {
				s.Stats.RequestStarted()
			}
			failed := rapid.Bool().Draw(t, "failed")
			if failed {
				s.Stats.RequestFailed(true, start)
			}
			suitable[s.ID] = !s.Leaving && s.Version == v.Servers[0].Version && running < 16 && !failed
		}
		found := false
		for _, ok := range suitable {
			found = found || ok
		}
		target := MoveTarget(v, &v.Servers[0], ChooseMsg{Now: start, Rand: rapid.Uint64().Draw(t, "rand")})
		if (target != nil) != found || (target != nil && !suitable[target.ID]) {
			t.Fatalf("target %+v, suitable servers are %v", target, suitable)
		}
	})
}
