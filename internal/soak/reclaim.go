package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/weldstream/weldstream/platform/standin"
)

const (
	// reclaimStream is the second seed of the draws of reclaimed servers (the bytes of
	// "reclaim"), so that they are other than those of the plan.
	reclaimStream = 0x7265636c61696d
	// mostReclaim is the longest time between two reclaims, beyond leastNotice: some fall
	// into each run of seconds.
	mostReclaim = 3 * time.Second
	// leastNotice is how long ahead a server is known to be taken away, at the least.
	leastNotice = 400 * time.Millisecond
	// reclaimPause is between two events where servers are reclaimed: a stream then lasts
	// for 0.8 s, as long as a notice.
	reclaimPause = 40 * time.Millisecond
)

// WithReclaims returns the plan with servers that are taken away besides, with all that
// runs there, and come back. Its other steps stay as they are. Half of the servers fail
// copies now and then. No roll-outs are ordered: servers slow enough for their streams to
// be moved give a third of the answers, too few to judge a version by in seconds.
func (p Plan) WithReclaims(size Size) Plan {
	rnd := rand.New(rand.NewPCG(p.Seed, reclaimStream))
	p.Steps = slices.Clone(p.Steps)
	p.Reclaims = true
	for at := firstFault; at < p.Length; at += leastNotice + time.Duration(rnd.Int64N(int64(mostReclaim))) {
		p.Steps = append(p.Steps, Step{At: at, For: leastNotice + time.Duration(rnd.Int64N(int64(mostHarm))), Fault: FaultReclaim, Index: rnd.IntN(size.Backends)})
	}
	slices.SortStableFunc(p.Steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return p
}

// prepare, where servers are reclaimed, has their streams last long enough to be moved, and copies fail now and
// then, where servers are reclaimed.
func (c *Cluster) prepare(p Plan) {
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

// reclaim takes a server away after a notice, and has it come back.
func (r *run) reclaim(b *standin.Backend, notice time.Duration) {
	r.reclaims.Lock() // One is taken at a time: of three servers two are left.
	defer r.reclaims.Unlock()
	b.Reclaim(notice)
	time.Sleep(notice)
	b.AbortStreams()
	r.cluster.API.Remove(b)
	b.Unreclaim()
	time.Sleep(leastNotice)
	r.cluster.API.Add(b)
}
