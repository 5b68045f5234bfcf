package rollout

import (
	"maps"
	"math"
	"slices"

	"github.com/weldstream/weldstream/protocol"
)

const (
	// minBaselineRate is the lowest failure rate to compare with. It limits the weight of a
	// single failure to 2.3 when the other versions do not fail at all.
	minBaselineRate = 0.02
	// rateIncrease is by how much the failure rate of a bad version is assumed to exceed
	// the baseline.
	rateIncrease   = 0.18
	maxFailureRate = 0.95
	// rollbackFailures is the evidence that triggers a rollback: a good version reaches it
	// about once in ten thousand answers. A version that fails 0.3 of its answers is
	// detected at about the fifth failure.
	rollbackFailures = 9.2
	// maxServerShare is the part of rollbackFailures that a single server can contribute if
	// there are others: a server that crashes breaks off every answer it is running.
	maxServerShare = 0.6
	// inconclusiveFailures is the evidence that keeps a roll-out from moving on.
	inconclusiveFailures = 3.0
	// degradedDeviations is the excess of failures, in standard deviations, that rules out
	// completion. Differences in the failure rate up to degradedDifference are ignored.
	degradedDeviations = 3.0
	degradedDifference = 0.01
)

// cusum is a cumulative sum that is clamped at zero, with the contribution of each server
// since the last reset.
type cusum struct {
	sum     float64
	servers map[string]float64
}

// serverTally counts one server's answers, and the failures to be expected at the baseline
// failure rate of the time.
type serverTally struct {
	total, failed, expected, variance float64
}

// addFailures adds the failures of one server of the new version.
func (seq *Sequential) addFailures(row *protocol.EvidenceRow) {
	a := &row.Answers
	baselineRate := max(seq.route(row.Route).baseline.slow.failureRate(), seq.route(allRoutes).baseline.fast.failureRate())
	baseRate := max(minBaselineRate, baselineRate)
	badRate := min(maxFailureRate, baseRate+rateIncrease)
	logRatio := float64(a.Bad)*math.Log(badRate/baseRate) + float64(a.Good)*math.Log((1-badRate)/(1-baseRate))
	for _, route := range []string{row.Route, allRoutes} {
		if seq.cusums[route] == nil {
			seq.cusums[route] = &cusum{servers: map[string]float64{}}
		}
		seq.cusums[route].add(row.Server, logRatio)
	}
	if seq.servers[row.Server] == nil {
		seq.servers[row.Server] = &serverTally{}
	}
	seq.servers[row.Server].add(float64(a.Good+a.Bad), float64(a.Bad), baselineRate)
}

// failures returns the strongest evidence for failures and its route.
func (seq *Sequential) failures() (evidence float64, route string) {
	for name, c := range seq.cusums {
		if e := c.evidence(len(seq.servers)); e > evidence || (e == evidence && name < route) {
			evidence, route = e, name
		}
	}
	return evidence, route
}

// add adds a server's log-likelihood ratio.
func (c *cusum) add(server string, logRatio float64) {
	c.sum += logRatio
	c.servers[server] += logRatio
	if c.sum <= 0 {
		c.sum = 0
		clear(c.servers)
	}
}

// evidence returns the sum, with the largest contribution capped by maxServerShare if there
// are several servers.
func (c *cusum) evidence(servers int) float64 {
	if servers < 2 {
		return c.sum
	}
	largest := 0.0
	for _, sum := range c.servers {
		largest = max(largest, sum)
	}
	return c.sum - max(0, largest-maxServerShare*rollbackFailures)
}

// add counts answers given while the baseline failure rate was rate.
func (t *serverTally) add(total, failed, rate float64) {
	t.total += total
	t.failed += failed
	t.expected += total * rate
	t.variance += total * rate * (1 - rate)
}

// zScore returns the excess of failures over the expected number, in standard deviations.
func (t *serverTally) zScore() float64 {
	return (t.failed - t.expected) / math.Sqrt(max(1, t.variance))
}

// degraded compares the failures of the whole trial with the expected number, leaving out
// the server with the largest excess if there are others. The expected number follows the
// baseline at the time of each answer, because a trial does not take a constant share of
// the requests, and whole fleets fail for seconds at a time.
func (seq *Sequential) degraded() bool {
	sum, worst := serverTally{}, serverTally{}
	for _, name := range slices.Sorted(maps.Keys(seq.servers)) {
		t := seq.servers[name]
		sum = serverTally{total: sum.total + t.total, failed: sum.failed + t.failed, expected: sum.expected + t.expected, variance: sum.variance + t.variance}
		if t.zScore() > worst.zScore() {
			worst = *t
		}
	}
	if len(seq.servers) > 1 {
		sum = serverTally{total: sum.total - worst.total, failed: sum.failed - worst.failed, expected: sum.expected - worst.expected, variance: sum.variance - worst.variance}
	}
	return sum.total > 0 && (sum.failed-sum.expected)/sum.total > degradedDifference && sum.zScore() > degradedDeviations
}
