package place

import (
	"cmp"
	"maps"
	"slices"

	"github.com/weldstream/weldstream/protocol"
)

// Sum adds up what the gateways of one relay know of the servers, and tells the leader
// what changed since it was told the sums last. Batches build on one another, also
// while they are under way.
type Sum struct {
	loads *Loads
	sent  *sums // sent are those of the latest batch; nil where the leader may lack them.
}

// sums are what the gateways of a relay know together.
type sums struct {
	running   map[string]int      // running are requests under way, by server.
	distrusts map[distrustKey]int // distrusts count gateways.
	counted   map[string]bool     // counted are the gateways in the sums; in the leader's, false for one that asks elsewhere by now.
}

// distrustKey says whose distrusts are counted: those of a domain's gateways in a server.
type distrustKey struct{ server, domain string }

// NewSum returns the sum of no gateways.
func NewSum() *Sum { return &Sum{loads: NewLoads()} }

// SetReport notes what one gateway knows, in place of its report before.
func (s *Sum) SetReport(gateway string, t GatewayReport) { s.loads.SetReport(gateway, t) }

// Drop forgets a gateway.
func (s *Sum) Drop(gateway string) { s.loads.Drop(gateway) }

// Changes returns what changed since it was called last, for the next batch, and whether
// that is the whole sums, as after Lost.
func (s *Sum) Changes() (m protocol.SumsMsg, whole bool) {
	now := s.loads.sums()
	before := s.sent
	s.sent = now
	if whole = before == nil; whole {
		before = &sums{}
	}
	eachChange(now.running, before.running, func(server string, n int) {
		m.Running = append(m.Running, protocol.ServerSum{Server: server, Running: n})
	})
	eachChange(now.distrusts, before.distrusts, func(v distrustKey, n int) {
		m.Distrusts = append(m.Distrusts, protocol.DistrustSum{Server: v.server, Domain: v.domain, Gateways: n})
	})
	for _, name := range slices.Sorted(maps.Keys(now.counted)) {
		if !before.counted[name] {
			m.Counted = append(m.Counted, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(before.counted)) {
		if !now.counted[name] {
			m.Gone = append(m.Gone, name)
		}
	}
	slices.SortFunc(m.Running, func(a, b protocol.ServerSum) int { return cmp.Compare(a.Server, b.Server) })
	slices.SortFunc(m.Distrusts, func(a, b protocol.DistrustSum) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Domain, b.Domain))
	})
	return m, whole
}

// eachChange calls do for what is other than before; what is gone counts as 0.
func eachChange[K comparable](now, before map[K]int, do func(K, int)) {
	for k, n := range now {
		if before[k] != n {
			do(k, n)
		}
	}
	for k := range before {
		if _, ok := now[k]; !ok {
			do(k, 0)
		}
	}
}

// Invalidate notes that the leader may lack the sums that were sent last, or that another
// leader is asked: Changes returns the whole sums next.
func (s *Sum) Invalidate() { s.sent = nil }

// sums returns a copy of what the gateways know together.
func (l *Loads) sums() *sums {
	s := &sums{running: maps.Clone(l.totals), distrusts: map[distrustKey]int{}, counted: make(map[string]bool, len(l.gateways))}
	for server, domains := range l.distrusts {
		for domain, n := range domains {
			s.distrusts[distrustKey{server, domain}] = n
		}
	}
	for name := range l.gateways {
		s.counted[name] = true
	}
	return s
}
