package route

import (
	"slices"

	"github.com/weldstream/weldstream/state"
)

// Affinity sends requests that share a prompt's first part to the same server,
// so that its prefix cache is used, unless that server has clearly more to do
// than the others.
//
// It ranks servers by rendezvous hashing of the prefix, so that gateways agree
// without telling each other, and bounds the load: a server whose load is above
// Bound times the mean is passed over for the next in rank. Reports come late,
// and gateways that all follow the same old report herd onto the server that
// looked empty. Here a report only takes servers out; the rank, which differs
// from prefix to prefix, spreads the rest.
type Affinity struct {
	// Bound is how far above the mean a server's load may be, such as 1.25.
	Bound float64
	// Slack is added to the bound, so that a few requests do not break up a
	// prefix while there is little to do.
	Slack float64
}

// NewAffinity returns the chooser with the bounds that the experiments argue
// for; see docs/design/0006-routing.md.
func NewAffinity() Affinity { return Affinity{Bound: 1.25, Slack: 2} }

// class orders groups of servers: a lower one is taken first.
const (
	classNoAdapter = 1
	classSilent    = 2
	classAvoided   = 4
	classes        = 8
)

// Choose implements [Chooser]. It looks at each server of the pool twice and
// allocates nothing.
func (a Affinity) Choose(v *state.View, counts []int32, m ChooseMsg) (int, error) {
	p := v.Model(m.Model)
	if m.Service != "" {
		p = v.Service(m.Service)
	}
	if p == nil {
		return -1, ErrNoServer
	}
	c := candidates{view: v, pool: p, msg: m, with: p.Adapter(m.Adapter)}
	best, mean := c.lightest(counts)
	if best == classes {
		return -1, ErrNoServer
	}
	return c.ranked(counts, best, a.Bound*mean+a.Slack), nil
}

// candidates are the servers of a pool as one request sees them.
type candidates struct {
	view *state.View
	pool *state.Pool
	msg  ChooseMsg
	with []bool // with tells which servers hold the adapter.
}

// class returns the class of the k-th server, or classes if it may not be chosen.
func (c *candidates) class(k int) int {
	n := 0
	if c.pool.Silent[k] {
		n += classSilent
	}
	if c.msg.Adapter != "" && (c.with == nil || !c.with[k]) {
		n += classNoAdapter
	}
	if len(c.msg.AvoidServers)+len(c.msg.AvoidDomains) == 0 {
		return n
	}
	s := &c.view.Servers[c.pool.Index[k]]
	if slices.Contains(c.msg.AvoidServers, s.ID) {
		return classes
	}
	if slices.Contains(c.msg.AvoidDomains, s.Domain) {
		n += classAvoided
	}
	return n
}

// lightest returns the lowest class that there is, and its mean load.
func (c *candidates) lightest(counts []int32) (best int, mean float64) {
	best = classes
	total, n := 0.0, 0
	for k, i := range c.pool.Index {
		cl := c.class(k)
		if cl < best {
			best, total, n = cl, 0, 0
		}
		if cl == best && cl < classes {
			total += c.pool.Load(k, counts[i])
			n++
		}
	}
	return best, total / float64(max(1, n))
}

// ranked returns the server of a class that ranks highest for the prefix among
// those with a load up to limit. The least loaded is always one of them.
func (c *candidates) ranked(counts []int32, want int, limit float64) int {
	key := c.msg.Prefix
	if key == 0 {
		key = c.msg.Rand // Nothing is shared: the rank only spreads.
	}
	chosen, highest := -1, uint64(0)
	for k, i := range c.pool.Index {
		r := mix(key ^ c.pool.Hash[k])
		if (chosen >= 0 && r <= highest) || c.pool.Load(k, counts[i]) > limit || c.class(k) != want {
			continue
		}
		chosen, highest = int(i), r
	}
	return chosen
}

// mix is the finalizer of SplitMix64: each bit of the input reaches all of the
// output.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
