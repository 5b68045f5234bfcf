package rollout

import (
	"maps"
	"math"
	"slices"

	"github.com/weldstream/weldstream/protocol"
)

const (
	// leastFailures is the lowest part that is compared with, so that one failure in a
	// calm time weighs no more than 2.3.
	leastFailures = 0.02
	// moreFailures is how many more in a hundred a bad version fails.
	moreFailures = 0.18
	mostFailures = 0.95
	// certain is the evidence by which a version is turned back from: once in ten
	// thousand answers of a good one. A version that fails 0.3 of its answers is found by
	// the fifth failure or so.
	certain = 9.2
	// oneServer is the part of it that one server can give, where there are others: a
	// server that dies breaks off all that it runs.
	oneServer = 0.6
	// likely keeps a roll-out waiting.
	likely = 3.0
	// worseBy is the difference in failures, in standard deviations, with which nothing
	// is completed, and worseLeast the least difference that matters.
	worseBy    = 3.0
	worseLeast = 0.01
)

// cusum is a cumulative sum that starts anew at zero, and what each server has added
// to it since.
type cusum struct {
	sum     float64
	servers map[string]float64
}

// tally counts one server's answers, and the failures that are expected of one that is
// as good as the others were at the time.
type tally struct {
	all, bad, expected, variance float64
}

// weighFailures takes the failures of one server of the new version.
func (seq *Sequential) weighFailures(row *protocol.EvidenceRow) {
	a := &row.Answers
	others := max(seq.route(row.Route).others.slow.failures(), seq.route(allRoutes).others.fast.failures())
	usual := max(leastFailures, others)
	worse := min(mostFailures, usual+moreFailures)
	step := float64(a.Bad)*math.Log(worse/usual) + float64(a.Good)*math.Log((1-worse)/(1-usual))
	for _, route := range []string{row.Route, allRoutes} {
		if seq.sums[route] == nil {
			seq.sums[route] = &cusum{servers: map[string]float64{}}
		}
		seq.sums[route].add(row.Server, step)
	}
	if seq.sides[row.Server] == nil {
		seq.sides[row.Server] = &tally{}
	}
	seq.sides[row.Server].add(float64(a.Good+a.Bad), float64(a.Bad), others)
}

// failures returns the strongest evidence for failures, on which route.
func (seq *Sequential) failures() (evidence float64, route string) {
	for name, c := range seq.sums {
		if e := c.evidence(len(seq.sides)); e > evidence || (e == evidence && name < route) {
			evidence, route = e, name
		}
	}
	return evidence, route
}

// add takes what one server's answers say.
func (c *cusum) add(server string, step float64) {
	c.sum += step
	c.servers[server] += step
	if c.sum <= 0 {
		c.sum = 0
		clear(c.servers)
	}
}

// evidence is the sum, of which one server gives no more than its part where there
// are others.
func (c *cusum) evidence(servers int) float64 {
	if servers < 2 {
		return c.sum
	}
	most := 0.0
	for _, part := range c.servers {
		most = max(most, part)
	}
	return c.sum - max(0, most-oneServer*certain)
}

// add counts answers, while of the others' a part failed.
func (t *tally) add(all, bad, usual float64) {
	t.all += all
	t.bad += bad
	t.expected += all * usual
	t.variance += all * usual * (1 - usual)
}

// more is how many more failures there are than expected, in standard deviations.
func (t *tally) more() float64 { return (t.bad - t.expected) / math.Sqrt(max(1, t.variance)) }

// worse compares the failures over the whole trial with what is expected, without the
// server that fails most where there are others. The others' failures count as they
// were at the time of each answer: a trial does not take the same part of the requests
// all the time, and whole fleets fail for seconds.
func (seq *Sequential) worse() bool {
	sum, worst := tally{}, tally{}
	for _, name := range slices.Sorted(maps.Keys(seq.sides)) {
		t := seq.sides[name]
		sum = tally{all: sum.all + t.all, bad: sum.bad + t.bad, expected: sum.expected + t.expected, variance: sum.variance + t.variance}
		if t.more() > worst.more() {
			worst = *t
		}
	}
	if len(seq.sides) > 1 {
		sum = tally{all: sum.all - worst.all, bad: sum.bad - worst.bad, expected: sum.expected - worst.expected, variance: sum.variance - worst.variance}
	}
	return sum.all > 0 && (sum.bad-sum.expected)/sum.all > worseLeast && sum.more() > worseBy
}
