package place

import (
	"cmp"
	"slices"
)

// TrialMsg asks for a server of a version on trial.
type TrialMsg struct {
	ChooseMsg
	Number   uint64              // Number names the roll-out, by which all gateways take the same servers.
	Canaries func(ready int) int // Canaries is to how many of the ready servers the trial goes.
}

// ChooseTrial returns the index of a server of the version on trial: the one with the
// least to do among the few that the trial goes to. It returns false where there is
// none.
func ChooseTrial(v *View, m TrialMsg) (int, bool) {
	ready := slices.DeleteFunc(slices.Clone(v.trials[m.Service]), func(i int) bool { return v.Servers[i].Leaving })
	slices.SortFunc(ready, func(a, b int) int {
		return cmp.Compare(mix(m.Number^v.Servers[a].Hash), mix(m.Number^v.Servers[b].Hash))
	})
	rows := eligible(v, ready[:m.Canaries(len(ready))], m.ChooseMsg, func(*Server) bool { return true })
	if len(rows) == 0 {
		return 0, false
	}
	return lightest(v, rows, m.ChooseMsg), true
}
