package route

import (
	"cmp"
	"slices"

	"github.com/weldstream/weldstream/state"
)

// TwoChoices takes the less loaded of two random servers. It is a baseline for the
// experiments.
type TwoChoices struct{}

// Choose implements [Chooser]. The randomness comes from m.Rand.
func (TwoChoices) Choose(v *state.View, counts []int32, m ChooseMsg) (int, error) {
	n := 0
	for i := range v.Servers {
		if Eligible(&v.Servers[i], m) {
			n++
		}
	}
	if n == 0 {
		return -1, ErrNoServer
	}
	a := nthEligible(v, m, int(m.Rand%uint64(n)))
	b := nthEligible(v, m, int(mix(m.Rand)%uint64(n)))
	if v.Servers[b].Load(counts[b]) < v.Servers[a].Load(counts[a]) {
		return b, nil
	}
	return a, nil
}

// nthEligible returns the index of the k-th server that may take the request.
func nthEligible(v *state.View, m ChooseMsg, k int) int {
	for i := range v.Servers {
		if !Eligible(&v.Servers[i], m) {
			continue
		}
		if k == 0 {
			return i
		}
		k--
	}
	return -1
}

// The limits of the filter chain, from the paper named at [FilterChain].
const (
	chainMaxQueue     = 50  // waiting requests, for a critical request
	chainMaxShedQueue = 5   // waiting requests, for any other request
	chainMaxShedKV    = 0.8 // share of the KV cache in use, for any other request
)

// FilterChain is the filter chain of "Deep Dive into the Gateway API Inference Extension":
// critical requests go to servers with a short queue, then to those with the adapter, then
// to the shortest queue, then to the lowest KV cache use; other requests are shed unless a
// server has room. It is a baseline for the experiments.
type FilterChain struct{}

// Choose implements [Chooser].
func (FilterChain) Choose(v *state.View, _ []int32, m ChooseMsg) (int, error) {
	var all []int
	for i := range v.Servers {
		if Eligible(&v.Servers[i], m) {
			all = append(all, i)
		}
	}
	report := func(i int) (waiting int, kv float64) {
		return v.Servers[i].Report.Waiting, v.Servers[i].Report.KVUsed
	}
	if m.Sheddable {
		all = filter(all, func(i int) bool {
			waiting, kv := report(i)
			return waiting < chainMaxShedQueue && kv < chainMaxShedKV
		})
	} else if short := filter(all, func(i int) bool { w, _ := report(i); return w < chainMaxQueue }); len(short) > 0 {
		all = short
	}
	if len(all) == 0 {
		return -1, ErrNoServer
	}
	if with := filter(all, func(i int) bool { return slices.Contains(v.Servers[i].Report.Adapters, m.Adapter) }); m.Adapter != "" && len(with) > 0 {
		all = with
	}
	return slices.MinFunc(all, func(a, b int) int {
		wa, ka := report(a)
		wb, kb := report(b)
		return cmp.Or(cmp.Compare(wa, wb), cmp.Compare(ka, kb))
	}), nil
}

func filter(list []int, f func(int) bool) []int {
	return slices.DeleteFunc(slices.Clone(list), func(i int) bool { return !f(i) })
}
