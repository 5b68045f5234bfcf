package rollout

import (
	"maps"
	"math"
	"slices"

	"github.com/weldstream/weldstream/protocol"
)

const (
	// slowShift is how much slower the new version may be, in half octaves: twice. Its
	// servers have read none of the prompts' shared parts yet.
	slowShift = 2
	// certainlySlow is the evidence by which a version counts as slow.
	certainlySlow = 4.5
	likelySlow    = 2.5
	// slowAnswers are the least by which slowness is judged.
	slowAnswers = 10
)

// ranks adds up how one server's times rank among the others'.
type ranks struct {
	answers int64
	first   rankSum
	pace    rankSum
}

// rankSum is a rank statistic: how far it lies above what is expected of a server
// that is as fast, and its variance.
type rankSum struct{ above, variance float64 }

// weighTimes takes the times of one server of the new version.
func (seq *Sequential) weighTimes(row *protocol.EvidenceRow) {
	a := &row.Answers
	r := seq.route(row.Route)
	s := r.servers[row.Server]
	if s == nil {
		s = &ranks{}
		r.servers[row.Server] = s
	}
	s.answers += a.Good + a.Bad
	s.first.add(a.First, &r.others.first)
	s.pace.add(a.Pace, &r.others.pace)
}

// add ranks some times among the others' as if those took slowShift longer.
func (s *rankSum) add(times []int64, others *[Buckets]float64) {
	var below [Buckets + 1]float64 // below are the others' times before each class.
	for i, n := range others {
		below[i+1] = below[i] + n
	}
	all := below[Buckets]
	if all < slowAnswers {
		return // Nothing to compare with.
	}
	for i, n := range times {
		k := min(i, Buckets-1) - slowShift
		rank := 0.0
		if k >= 0 {
			rank = (below[k] + others[k]/2) / all
		}
		s.above += float64(n) * (rank - 0.5)
		s.variance += float64(n) * (1 + float64(n)/all) / 12
	}
}

func (s rankSum) plus(o rankSum) rankSum {
	return rankSum{above: s.above + o.above, variance: s.variance + o.variance}
}

func (s rankSum) deviations() float64 {
	if s.variance == 0 {
		return 0
	}
	return s.above / math.Sqrt(s.variance)
}

// slowness returns the strongest evidence for slow answers, on which route.
func (seq *Sequential) slowness() (evidence float64, route string) {
	all := map[string]*ranks{}
	evidence = math.Inf(-1)
	for _, name := range slices.Sorted(maps.Keys(seq.routes)) {
		r := seq.routes[name]
		for server, s := range r.servers {
			if all[server] == nil {
				all[server] = &ranks{}
			}
			all[server].answers += s.answers
			all[server].first = all[server].first.plus(s.first)
			all[server].pace = all[server].pace.plus(s.pace)
		}
		if z := slowest(r.servers); z > evidence || (z == evidence && name < route) {
			evidence, route = z, name
		}
	}
	if z := slowest(all); z >= evidence {
		evidence, route = z, allRoutes
	}
	return max(0, evidence), route
}

// slowest judges some servers together, without the one that speaks most against
// them, where there are others with answers enough: one server may be slow by itself.
func slowest(servers map[string]*ranks) float64 {
	best := math.Inf(-1)
	for _, of := range []func(*ranks) rankSum{
		func(r *ranks) rankSum { return r.first },
		func(r *ranks) rankSum { return r.pace },
	} {
		var sum, worst rankSum
		var answers, worstAnswers int64
		for _, name := range slices.Sorted(maps.Keys(servers)) {
			r := servers[name]
			s := of(r)
			sum, answers = sum.plus(s), answers+r.answers
			if s.deviations() > worst.deviations() {
				worst, worstAnswers = s, r.answers
			}
		}
		if answers-worstAnswers >= slowAnswers {
			sum, answers = sum.plus(rankSum{above: -worst.above, variance: -worst.variance}), answers-worstAnswers
		}
		if answers >= slowAnswers {
			best = max(best, sum.deviations())
		}
	}
	return best
}
