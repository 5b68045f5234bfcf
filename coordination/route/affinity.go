package route

import (
	"slices"

	"github.com/weldstream/weldstream/state"
)

// Affinity sends requests with the same first prompt part to the same server to use its
// prefix cache, unless that server has clearly more load than the others.
//
// Servers are ranked by rendezvous hashing of the prefix, so that gateways agree without
// communication, and load is bounded: a server whose load exceeds Bound times the mean is
// skipped in favor of the next in rank. Reports arrive late, and gateways that all follow
// the same outdated report would overload the server that looked idle. Here a report only
// excludes servers; the ranks, which differ for each prefix, spread the rest.
type Affinity struct {
	// Bound is the permitted load as a multiple of the mean, such as 1.25.
	Bound float64
	// Slack is added to the permitted load, so that a few requests do not separate a prefix
	// from its server while the load is low.
	Slack float64
}

// NewAffinity returns the chooser with the bounds that the experiments support; see
// docs/design/0006-routing.md.
func NewAffinity() Affinity { return Affinity{Bound: 1.25, Slack: 2} }

// The classes of servers are sums of these flags; lower classes are preferred.
const (
	classNoAdapter = 1
	classSilent    = 2
	classAvoided   = 4
	classes        = 8
)

// Choose implements [Chooser]. It looks at each server of the pool twice and does not
// allocate.
func (a Affinity) Choose(v *state.View, counts []int32, m ChooseMsg) (int, error) {
	p := v.Model(m.Model)
	if m.Service != "" {
		p = v.Service(m.Service)
	}
	if p == nil {
		return -1, ErrNoServer
	}
	c := candidates{view: v, pool: p, msg: m, hasAdapter: p.Adapter(m.Adapter)}
	best, mean := c.lightest(counts)
	if best == classes {
		return -1, ErrNoServer
	}
	return c.ranked(counts, best, a.Bound*mean+a.Slack), nil
}

// candidates is the server pool of one request.
type candidates struct {
	view       *state.View
	pool       *state.Pool
	msg        ChooseMsg
	hasAdapter []bool // hasAdapter says which servers have loaded the adapter.
}

// class returns the class of the k-th server, or classes if it must not be chosen.
func (c *candidates) class(k int) int {
	n := 0
	if c.pool.Silent[k] {
		n += classSilent
	}
	if c.msg.Adapter != "" && (c.hasAdapter == nil || !c.hasAdapter[k]) {
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

// lightest returns the lowest class of any server and the mean load in that class.
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

// ranked returns the server of the class with the highest rank for the prefix among those
// with a load up to limit. The least loaded server is always among them.
func (c *candidates) ranked(counts []int32, want int, limit float64) int {
	key := c.msg.Prefix
	if key == 0 {
		key = c.msg.Rand // Without a shared prefix, the rank only spreads requests.
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

// mix is the finalizer of SplitMix64: each input bit affects all output bits.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
