package rollout

import (
	"maps"
	"math"
	"slices"

	"github.com/weldstream/weldstream/protocol"
)

const (
	// toleratedShift is the tolerated slowdown in half octaves: twice the time. The new
	// version's servers have no shared prompt prefixes in their caches yet.
	toleratedShift = 2
	// rollbackSlowness is the evidence that triggers a rollback, and inconclusiveSlowness
	// the evidence that keeps a roll-out from moving on.
	rollbackSlowness     = 4.5
	inconclusiveSlowness = 2.5
	// minLatencyAnswers is the number of answers required to judge latency.
	minLatencyAnswers = 10
)

// serverRanks accumulates the ranks of one server's times among the baseline.
type serverRanks struct {
	answers int64
	first   rankSum
	pace    rankSum
}

// rankSum is a Mann-Whitney statistic: its excess over the expectation for a server as fast
// as the baseline, and its variance.
type rankSum struct{ excess, variance float64 }

// addLatencies adds the times of one server of the new version.
func (seq *Sequential) addLatencies(row *protocol.EvidenceRow) {
	a := &row.Answers
	r := seq.route(row.Route)
	s := r.servers[row.Server]
	if s == nil {
		s = &serverRanks{}
		r.servers[row.Server] = s
	}
	s.answers += a.Good + a.Bad
	s.first.addTimes(a.First, &r.baseline.first)
	s.pace.addTimes(a.Pace, &r.baseline.pace)
}

// addTimes ranks times against a baseline that is shifted by toleratedShift.
func (s *rankSum) addTimes(times []int64, others *[Buckets]float64) {
	var below [Buckets + 1]float64 // below[i] counts the baseline times in the buckets before i.
	for i, n := range others {
		below[i+1] = below[i] + n
	}
	all := below[Buckets]
	if all < minLatencyAnswers {
		return // Nothing to compare with.
	}
	for i, n := range times {
		k := min(i, Buckets-1) - toleratedShift
		rank := 0.0
		if k >= 0 {
			rank = (below[k] + others[k]/2) / all
		}
		s.excess += float64(n) * (rank - 0.5)
		s.variance += float64(n) * (1 + float64(n)/all) / 12
	}
}

func (s rankSum) add(o rankSum) rankSum {
	return rankSum{excess: s.excess + o.excess, variance: s.variance + o.variance}
}

func (s rankSum) zScore() float64 {
	if s.variance == 0 {
		return 0
	}
	return s.excess / math.Sqrt(s.variance)
}

// slowness returns the strongest evidence for slow answers and its route.
func (seq *Sequential) slowness() (evidence float64, route string) {
	all := map[string]*serverRanks{}
	evidence = math.Inf(-1)
	for _, name := range slices.Sorted(maps.Keys(seq.routes)) {
		r := seq.routes[name]
		for server, s := range r.servers {
			if all[server] == nil {
				all[server] = &serverRanks{}
			}
			all[server].answers += s.answers
			all[server].first = all[server].first.add(s.first)
			all[server].pace = all[server].pace.add(s.pace)
		}
		if z := maxZScore(r.servers); z > evidence || (z == evidence && name < route) {
			evidence, route = z, name
		}
	}
	if z := maxZScore(all); z >= evidence {
		evidence, route = z, allRoutes
	}
	return max(0, evidence), route
}

// maxZScore returns the larger of the two statistics, time to the first event and time
// between events, over a set of servers. It leaves out the slowest server if the others
// have enough answers: a single server may be slow for reasons of its own.
func maxZScore(servers map[string]*serverRanks) float64 {
	best := math.Inf(-1)
	for _, statistic := range []func(*serverRanks) rankSum{
		func(r *serverRanks) rankSum { return r.first },
		func(r *serverRanks) rankSum { return r.pace },
	} {
		var sum, worst rankSum
		var answers, worstAnswers int64
		for _, name := range slices.Sorted(maps.Keys(servers)) {
			r := servers[name]
			s := statistic(r)
			sum, answers = sum.add(s), answers+r.answers
			if s.zScore() > worst.zScore() {
				worst, worstAnswers = s, r.answers
			}
		}
		if answers-worstAnswers >= minLatencyAnswers {
			sum, answers = sum.add(rankSum{excess: -worst.excess, variance: -worst.variance}), answers-worstAnswers
		}
		if answers >= minLatencyAnswers {
			best = max(best, sum.zScore())
		}
	}
	return best
}
