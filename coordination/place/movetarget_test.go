package place

import (
	"testing"

	"pgregory.net/rapid"
)

// TestMoveTargetHasRoom checks that a run is moved only to another server of its service
// and version that does not leave, is trusted and has room, and that one is found whenever
// only such ones are drawn from.
func TestMoveTargetHasRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := fleet(rapid.IntRange(1, 8).Draw(t, "servers"))
		fit := map[string]bool{}
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
			fit[s.ID] = !s.Leaving && s.Version == v.Servers[0].Version && running < 16 && !failed
		}
		found := false
		for _, ok := range fit {
			found = found || ok
		}
		target := MoveTarget(v, &v.Servers[0], ChooseMsg{Now: start, Rand: rapid.Uint64().Draw(t, "rand")})
		if (target != nil) != found || (target != nil && !fit[target.ID]) {
			t.Fatalf("%+v is taken, fit are %v", target, fit)
		}
	})
}
