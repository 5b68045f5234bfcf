package place

import (
	"cmp"
	"slices"
)

// TrialMsg requests a server of a version on trial.
type TrialMsg struct {
	ChooseMsg
	Number   uint64              // Number identifies the rollout, so that all gateways use the same servers.
	Canaries func(ready int) int // Canaries returns how many of the ready servers take part in the trial.
}

// ChooseTrial returns the index of the least loaded server among the canaries of the
// version on trial, or false if there is none.
func ChooseTrial(v *View, m TrialMsg) (int, bool) {
	ready := slices.DeleteFunc(slices.Clone(v.trials[m.Service]), func(i int) bool { return v.Servers[i].Leaving })
	slices.SortFunc(ready, func(a, b int) int {
		return cmp.Compare(mix(m.Number^v.Servers[a].Hash), mix(m.Number^v.Servers[b].Hash))
	})
	rows := scoreCandidates(v, ready[:m.Canaries(len(ready))], m.ChooseMsg, func(*Server) bool { return true })
	if len(rows) == 0 {
		return 0, false
	}
	return leastLoaded(v, rows, m.ChooseMsg), true
}
