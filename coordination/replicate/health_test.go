package replicate

import (
	"math/rand/v2"
	"testing"
)

// TestHealthShowsMissingVoter checks that the leader's counts show a voter that does not answer, and the
// learner that takes its place.
func TestHealthShowsMissingVoter(t *testing.T) {
	rnd := rand.New(rand.NewPCG(3, 0))
	s := newSpareSim(t, 3, 1, rnd.IntN)
	s.requireMembership()
	leader, n := s.voter(true), s.voter(false)
	if got, want := leader.r.Health(), (Health{Voters: 3, InTouch: 3, Learners: 1, Spares: 1}); got != want {
		t.Errorf("all run: %+v, want %+v", got, want)
	}
	if got := n.r.Health(); got != (Health{}) {
		t.Errorf("a replica that does not lead counts %+v", got)
	}
	s.isolate(n)
	s.runHealthy(int(2 * testConfig.Election / healthyRound))
	if got, want := leader.r.Health(), (Health{Voters: 3, InTouch: 2, Learners: 1, Spares: 1}); got != want {
		t.Errorf("one is cut off: %+v, want %+v", got, want)
	}
	if silent := leader.r.SilentVoters(); len(silent) != 1 || silent[0] != n.id {
		t.Errorf("silent voters %v, want %v", silent, n.id)
	}
	s.outlast()
	if got, want := leader.r.Health(), (Health{Voters: 3, InTouch: 3}); got != want {
		t.Errorf("it was replaced: %+v, want %+v", got, want)
	}
}
