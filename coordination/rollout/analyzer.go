package rollout

import (
	"fmt"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// Assessment is what the answers so far say of the new version.
type Assessment struct {
	Bad       bool // Bad says that it is to be turned back from at once.
	Worse     bool // Worse says that it must not be completed, though no single sign is enough to act at once.
	Doubtful  bool // Doubtful says that more answers are to be waited for.
	Reason    string
	New, Old  int64 // New and Old count the answers of either side.
	NewFailed int64
	OldFailed int64
	Failures  float64 // Failures is the evidence for more failures, in natural logarithms of the odds.
	Slowness  float64 // Slowness is the evidence for slower answers, in standard deviations.
}

// Analyzer weighs the answers of the new version against those of the others.
type Analyzer interface {
	// Observe takes what the gateways counted since the last call.
	Observe(rows []protocol.EvidenceRow, now time.Time)
	// Assessment returns what all of it says.
	Assessment() Assessment
}

// Sequential is the analyzer that acts as soon as the evidence is enough. Failures are
// weighed by a cumulative sum of log-likelihood ratios, which starts anew
// at zero, so that a version that was good for long is found as fast when it turns
// bad. Times are weighed by ranks (Mann and Whitney), route by route, against the
// others' answers of the last seconds. What ails both sides speaks against neither.
//
// Weighed against Bounds on 18 made days of 40 seeds (TestAnalyzersExperiment): a version
// that begins to fail 0.3 of its answers in mid-way gives 7 bad answers instead of 18
// until it is turned back from, and one that is bad on one of five routes is never
// completed, where Bounds completes 67 of 80. Two of 40 good versions are condemned
// where all servers fail 0.1 of their answers, five by Bounds.
type Sequential struct {
	routes map[string]*routeEvidence
	sums   map[string]*cusum // sums are the evidence for failures, by route and on allRoutes.
	sides  map[string]*tally // sides count the new version's answers by server.
	totals Assessment
}

// allRoutes stands for all routes together: evidence that is thin on each of many.
const allRoutes = ""

// routeEvidence is what is known on one route.
type routeEvidence struct {
	others  reference
	servers map[string]*ranks // servers are those of the new version.
}

// NewSequential returns an analyzer that has seen nothing.
func NewSequential() *Sequential {
	return &Sequential{routes: map[string]*routeEvidence{}, sums: map[string]*cusum{}, sides: map[string]*tally{}}
}

// Observe implements Analyzer. The others' answers are taken first, as they are what the
// new version's are compared with.
func (seq *Sequential) Observe(rows []protocol.EvidenceRow, now time.Time) {
	for i := range rows {
		if !rows[i].New {
			seq.route(rows[i].Route).others.add(&rows[i].Answers, now)
			seq.route(allRoutes).others.add(&rows[i].Answers, now)
			seq.totals.Old += rows[i].Answers.Good + rows[i].Answers.Bad
			seq.totals.OldFailed += rows[i].Answers.Bad
		}
	}
	for i := range rows {
		if rows[i].New {
			seq.weigh(&rows[i])
		}
	}
}

// weigh takes the answers of one server of the new version.
func (seq *Sequential) weigh(row *protocol.EvidenceRow) {
	seq.totals.New += row.Answers.Good + row.Answers.Bad
	seq.totals.NewFailed += row.Answers.Bad
	seq.weighFailures(row)
	seq.weighTimes(row)
}

func (seq *Sequential) route(name string) *routeEvidence {
	r := seq.routes[name]
	if r == nil {
		r = &routeEvidence{servers: map[string]*ranks{}}
		seq.routes[name] = r
	}
	return r
}

// Assessment implements Analyzer.
func (seq *Sequential) Assessment() Assessment {
	v := seq.totals
	route := ""
	v.Failures, route = seq.failures()
	slow, slowRoute := seq.slowness()
	v.Slowness = slow
	switch {
	case v.Failures >= certain:
		v.Bad = true
		v.Reason = fmt.Sprintf("%d of %d answers of the new version failed%s, %d of %d others", v.NewFailed, v.New, on(route), v.OldFailed, v.Old)
	case slow >= certainlySlow:
		v.Bad = true
		v.Reason = fmt.Sprintf("answers of the new version take more than twice as long%s, by %.1f standard deviations", on(slowRoute), slow)
	case seq.worse():
		v.Worse = true
		v.Reason = fmt.Sprintf("%d of %d answers of the new version failed, %d of %d others", v.NewFailed, v.New, v.OldFailed, v.Old)
	}
	v.Doubtful = v.Failures >= likely || slow >= likelySlow
	if v.Doubtful && v.Reason == "" {
		v.Reason = fmt.Sprintf("answers of the new version are in doubt: evidence %.1f for failures, %.1f for slowness", v.Failures, v.Slowness)
	}
	return v
}

func on(route string) string {
	if route == allRoutes {
		return ""
	}
	return " on route " + route
}
