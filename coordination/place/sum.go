package place

import (
	"cmp"
	"maps"
	"slices"

	"github.com/weldstream/weldstream/protocol"
)

// Sum adds up the reports of one relay's gateways and computes the changes since the last
// batch to the leader. Each batch builds on the one before, even while that is still in
// flight.
type Sum struct {
	loads    *Loads
	lastSent *reportTotals // lastSent holds the totals of the latest batch; nil if the leader may lack them.
}

// reportTotals holds the combined reports of a relay's gateways.
type reportTotals struct {
	running   map[string]int      // running holds the outstanding requests by server.
	distrusts map[distrustKey]int // distrusts counts the gateways that distrust a server.
	gateways  map[string]bool     // gateways lists the gateways in the totals; at the leader, the value is false for a gateway that now reports elsewhere.
}

// distrustKey identifies a count of distrusts: a server and the domain of the gateways that
// distrust it.
type distrustKey struct{ server, domain string }

// NewSum returns an empty Sum.
func NewSum() *Sum { return &Sum{loads: NewLoads()} }

// SetReport replaces the report of one gateway.
func (s *Sum) SetReport(gateway string, report GatewayReport) { s.loads.SetReport(gateway, report) }

// Drop removes a gateway and its report.
func (s *Sum) Drop(gateway string) { s.loads.Drop(gateway) }

// Changes returns the changes since the last call for the next batch, and whether they are
// the complete sums, as after Invalidate.
func (s *Sum) Changes() (m protocol.SumsMsg, whole bool) {
	now := s.loads.combineReports()
	before := s.lastSent
	s.lastSent = now
	if whole = before == nil; whole {
		before = &reportTotals{}
	}
	eachChange(now.running, before.running, func(server string, n int) {
		m.Running = append(m.Running, protocol.ServerSum{Server: server, Running: n})
	})
	eachChange(now.distrusts, before.distrusts, func(v distrustKey, n int) {
		m.Distrusts = append(m.Distrusts, protocol.DistrustSum{Server: v.server, Domain: v.domain, Gateways: n})
	})
	for _, name := range slices.Sorted(maps.Keys(now.gateways)) {
		if !before.gateways[name] {
			m.Counted = append(m.Counted, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(before.gateways)) {
		if !now.gateways[name] {
			m.Gone = append(m.Gone, name)
		}
	}
	slices.SortFunc(m.Running, func(a, b protocol.ServerSum) int { return cmp.Compare(a.Server, b.Server) })
	slices.SortFunc(m.Distrusts, func(a, b protocol.DistrustSum) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Domain, b.Domain))
	})
	return m, whole
}

// eachChange calls do for each entry that differs from before; a removed entry counts as 0.
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

// Invalidate makes the next Changes return the complete sums, because the leader may lack
// the last batch or another leader is used.
func (s *Sum) Invalidate() { s.lastSent = nil }

// combineReports returns a copy of the combined reports.
func (l *Loads) combineReports() *reportTotals {
	s := &reportTotals{running: maps.Clone(l.totals), distrusts: map[distrustKey]int{}, gateways: make(map[string]bool, len(l.reports))}
	for server, domains := range l.distrusts {
		for domain, n := range domains {
			s.distrusts[distrustKey{server, domain}] = n
		}
	}
	for name := range l.reports {
		s.gateways[name] = true
	}
	return s
}
