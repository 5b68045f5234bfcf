package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/weldstream/weldstream/platform/standin"
)

const (
	// reclaimStream is the second seed of the generator of reclaims (the bytes of "reclaim"),
	// so that its numbers differ from those of the plan.
	reclaimStream = 0x7265636c61696d
	// maxReclaimGap is the longest time between two reclaims, beyond minNotice: several then
	// happen even in a run of a few seconds.
	maxReclaimGap = 3 * time.Second
	// minNotice is the shortest notice before a server is taken away.
	minNotice = 400 * time.Millisecond
	// reclaimPause is the pause between two events of a stream where servers are reclaimed: a
	// stream then lasts 0.8 s, as long as a notice.
	reclaimPause = 40 * time.Millisecond
)

// WithReclaims returns the plan with servers that are also taken away, with all requests
// that run on them, and come back. Its other steps stay as they are. Half of the servers
// fail copies now and then. No roll-outs are ordered: servers slow enough for their
// streams to be moved give a third of the answers, too few to judge a version by within
// seconds.
func (p Plan) WithReclaims(size Size) Plan {
	rnd := rand.New(rand.NewPCG(p.Seed, reclaimStream))
	p.Steps = slices.Clone(p.Steps)
	p.Reclaims = true
	for at := firstFaultAt; at < p.Length; at += minNotice + time.Duration(rnd.Int64N(int64(maxReclaimGap))) {
		p.Steps = append(p.Steps, Step{At: at, For: minNotice + time.Duration(rnd.Int64N(int64(maxFaultDuration))), Fault: FaultReclaim, Index: rnd.IntN(size.Backends)})
	}
	slices.SortStableFunc(p.Steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return p
}

// prepareReclaims, if the plan reclaims servers, makes streams last long enough to be
// moved and some copies fail.
func (c *Cluster) prepareReclaims(p Plan) {
	if !p.Reclaims {
		return
	}
	for i, b := range c.Backends {
		b.Pause = reclaimPause
		if i%2 == 1 {
			b.SetCopyFaults(standin.CopyFaults{Full: 4, Lose: 9, Refuse: 5})
		}
	}
}

// reclaim takes a server away after a notice and then brings it back.
func (r *run) reclaim(b *standin.Backend, notice time.Duration) {
	r.reclaims.Lock() // One server is taken away at a time: two of three remain.
	defer r.reclaims.Unlock()
	b.Reclaim(notice)
	time.Sleep(notice)
	b.AbortStreams()
	r.cluster.API.Remove(b)
	b.Unreclaim()
	time.Sleep(minNotice)
	if !b.Closed() { // It may have fallen over meanwhile, and been replaced.
		r.cluster.API.Add(b)
	}
}
