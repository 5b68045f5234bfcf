package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// cutOffStream is the second seed of the generator of cut-offs (the bytes of "cut off").
	cutOffStream = 0x637574206f6666
	// maxCutOffGap and maxCutOffTime bound the time between two cut-offs and how long each lasts,
	// so that several gateways are cut off at once.
	maxCutOffGap  = 1500 * time.Millisecond
	maxCutOffTime = 3 * time.Second
)

// WithCutOffs returns the plan with gateways that are cut off from all backend servers for a while.
// Its other steps stay as they are. The cluster must have Sources.
func (p Plan) WithCutOffs(size Size) Plan {
	rnd := rand.New(rand.NewPCG(p.Seed, cutOffStream))
	p.Steps = slices.Clone(p.Steps)
	busy := make([]time.Duration, size.Gateways) // busy is when each gateway is reachable again.
	for at := firstFaultAt; at < p.Length; at += time.Duration(rnd.Int64N(int64(maxCutOffGap))) {
		s := Step{At: at, For: time.Duration(rnd.Int64N(int64(maxCutOffTime))), Fault: FaultCutOff, Index: rnd.IntN(size.Gateways)}
		if at < busy[s.Index] {
			continue
		}
		busy[s.Index] = at + s.For + firstFaultAt
		p.Steps = append(p.Steps, s)
	}
	slices.SortStableFunc(p.Steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return p
}
