package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// Assessment is what the answers so far say of the new version.
type Assessment struct {
	Bad      bool // Bad says that it is to be turned back from at once.
	Worse    bool // Worse says that it must not be completed, though no single sign is enough to act at once.
	Doubtful bool // Doubtful says that more answers are to be waited for.
	Reason   string
	New, Old int64 // New and Old count the answers of either side.
	NewBad   int64
	OldBad   int64
	Failures float64 // Failures is the evidence for more failures, in natural logarithms of the odds.
	Slowness float64 // Slowness is the evidence for slower answers, in standard deviations.
}

// Analyzer weighs the answers of the new version against those of the others.
type Analyzer interface {
	// Observe takes what the gateways counted since the last call.
	Observe(rows []protocol.EvidenceRow, now time.Time)
	// Assessment returns what all of it says.
	Assessment() Assessment
}

const (
	// usualFailures is taken for the part of answers that fail before more is known, with
	// the weight of usualWeight answers.
	usualFailures = 0.01
	usualWeight   = 20
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
	// slowShift is how much slower the new version may be, in half octaves: twice. Its
	// servers have read none of the prompts' shared parts yet.
	slowShift = 2
	// certainlySlow is the evidence by which a version counts as slow.
	certainlySlow = 4.5
	likelySlow    = 2.5
	// slowAnswers are the least by which slowness is judged.
	slowAnswers = 10
	// oldHalf is how long it takes for the others' answers to count half: bursts and
	// lost domains last for seconds.
	oldHalf = 2 * time.Second
	// fastHalf is the same for the failures that began just now, on all routes together.
	// Without it 14 of 40 good versions were condemned where all servers failed 0.4 of
	// their answers for 3 s, with 500 ms three, with 200 ms none.
	fastHalf = 200 * time.Millisecond
	// worseBy is the difference in failures, in standard deviations, with which nothing
	// is completed, and worseLeast the least difference that matters.
	worseBy    = 3.0
	worseLeast = 0.01
)

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

// allRoutes stands for all routes together: evidence that is thin on each of many.
const allRoutes = ""

// routeEvidence is what is known on one route.
type routeEvidence struct {
	others  reference
	servers map[string]*ranks // servers are those of the new version.
}

// reference are the answers of the other servers, of which older ones count less.
type reference struct {
	at         time.Time
	slow, fast mix
	first      [Buckets]float64
	pace       [Buckets]float64
}

// mix counts good and bad answers that fade.
type mix struct{ good, bad float64 }

// ranks adds up how one server's times rank among the others'.
type ranks struct {
	answers int64
	first   rankSum
	pace    rankSum
}

// rankSum is a rank statistic: how far it lies above what is expected of a server
// that is as fast, and its variance.
type rankSum struct{ above, variance float64 }

// NewSequential returns an analyzer that has seen nothing.
func NewSequential() *Sequential {
	return &Sequential{routes: map[string]*routeEvidence{}, sums: map[string]*cusum{}, sides: map[string]*tally{}}
}

// Observe implements Analyzer. The others' answers are taken first, as they are what the
// new version's are compared with.
func (j *Sequential) Observe(rows []protocol.EvidenceRow, now time.Time) {
	for i := range rows {
		if !rows[i].New {
			j.route(rows[i].Route).others.add(&rows[i].Answers, now)
			j.route(allRoutes).others.add(&rows[i].Answers, now)
			j.totals.Old += rows[i].Answers.Good + rows[i].Answers.Bad
			j.totals.OldBad += rows[i].Answers.Bad
		}
	}
	for i := range rows {
		if rows[i].New {
			j.weigh(&rows[i])
		}
	}
}

func (j *Sequential) route(name string) *routeEvidence {
	r := j.routes[name]
	if r == nil {
		r = &routeEvidence{servers: map[string]*ranks{}}
		j.routes[name] = r
	}
	return r
}

// add takes answers, and fades those before.
func (r *reference) add(a *protocol.Answers, now time.Time) {
	if !r.at.IsZero() {
		r.fade(now.Sub(r.at))
	}
	r.at = now
	r.slow.add(a)
	r.fast.add(a)
	for i, n := range a.First {
		r.first[min(i, Buckets-1)] += float64(n)
	}
	for i, n := range a.Pace {
		r.pace[min(i, Buckets-1)] += float64(n)
	}
}

func (r *reference) fade(age time.Duration) {
	part := math.Exp2(-float64(age) / float64(oldHalf))
	r.slow.fade(part)
	r.fast.fade(math.Exp2(-float64(age) / float64(fastHalf)))
	for i := range r.first {
		r.first[i] *= part
		r.pace[i] *= part
	}
}

func (m *mix) add(a *protocol.Answers) {
	m.good += float64(a.Good)
	m.bad += float64(a.Bad)
}

func (m *mix) fade(part float64) { m.good, m.bad = part*m.good, part*m.bad }

// failures is the part of the answers that fail.
func (m *mix) failures() float64 {
	return (m.bad + usualFailures*usualWeight) / (m.good + m.bad + usualWeight)
}

// weigh takes the answers of one server of the new version.
func (j *Sequential) weigh(row *protocol.EvidenceRow) {
	a := &row.Answers
	j.totals.New += a.Good + a.Bad
	j.totals.NewBad += a.Bad
	r := j.route(row.Route)
	others := max(r.others.slow.failures(), j.route(allRoutes).others.fast.failures())
	usual := max(leastFailures, others)
	worse := min(mostFailures, usual+moreFailures)
	step := float64(a.Bad)*math.Log(worse/usual) + float64(a.Good)*math.Log((1-worse)/(1-usual))
	for _, route := range []string{row.Route, allRoutes} {
		if j.sums[route] == nil {
			j.sums[route] = &cusum{servers: map[string]float64{}}
		}
		j.sums[route].add(row.Server, step)
	}
	if j.sides[row.Server] == nil {
		j.sides[row.Server] = &tally{}
	}
	j.sides[row.Server].add(float64(a.Good+a.Bad), float64(a.Bad), others)
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

// Assessment implements Analyzer.
func (j *Sequential) Assessment() Assessment {
	v := j.totals
	route := ""
	v.Failures, route = j.failures()
	slow, slowRoute := j.slowness()
	v.Slowness = slow
	switch {
	case v.Failures >= certain:
		v.Bad = true
		v.Reason = fmt.Sprintf("%d of %d answers of the new version failed%s, %d of %d others", v.NewBad, v.New, on(route), v.OldBad, v.Old)
	case slow >= certainlySlow:
		v.Bad = true
		v.Reason = fmt.Sprintf("answers of the new version take more than twice as long%s, by %.1f standard deviations", on(slowRoute), slow)
	case j.worse():
		v.Worse = true
		v.Reason = fmt.Sprintf("%d of %d answers of the new version failed, %d of %d others", v.NewBad, v.New, v.OldBad, v.Old)
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

// failures returns the strongest evidence for failures, on which route.
func (j *Sequential) failures() (evidence float64, route string) {
	for name, c := range j.sums {
		if e := c.evidence(len(j.sides)); e > evidence || (e == evidence && name < route) {
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

// slowness returns the strongest evidence for slow answers, on which route.
func (j *Sequential) slowness() (evidence float64, route string) {
	all := map[string]*ranks{}
	evidence = math.Inf(-1)
	for _, name := range slices.Sorted(maps.Keys(j.routes)) {
		r := j.routes[name]
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
func (j *Sequential) worse() bool {
	sum, worst := tally{}, tally{}
	for _, name := range slices.Sorted(maps.Keys(j.sides)) {
		t := j.sides[name]
		sum = tally{all: sum.all + t.all, bad: sum.bad + t.bad, expected: sum.expected + t.expected, variance: sum.variance + t.variance}
		if t.more() > worst.more() {
			worst = *t
		}
	}
	if len(j.sides) > 1 {
		sum = tally{all: sum.all - worst.all, bad: sum.bad - worst.bad, expected: sum.expected - worst.expected, variance: sum.variance - worst.variance}
	}
	return sum.all > 0 && (sum.bad-sum.expected)/sum.all > worseLeast && sum.more() > worseBy
}

// Bounds is the analyzer with fixed limits on the failures of the new version and on
// its mean time, as a first look would set them.
type Bounds struct {
	totals            Assessment
	newSlow, oldSlow  float64 // These are sums of the logarithms of times.
	newTimes, oldTime float64
}

const (
	// boundAnswers are waited for, then boundFailures more of them than of the others may
	// fail, and their geometric mean time may be boundTimes that of the others.
	boundAnswers  = 20
	boundFailures = 0.1
	boundTimes    = 2.5
)

// Observe implements Analyzer.
func (b *Bounds) Observe(rows []protocol.EvidenceRow, _ time.Time) {
	for i := range rows {
		a := &rows[i].Answers
		sum, n := 0.0, 0.0
		for k, c := range a.First {
			sum += float64(c) * float64(k) / 2
			n += float64(c)
		}
		if rows[i].New {
			b.totals.New, b.totals.NewBad = b.totals.New+a.Good+a.Bad, b.totals.NewBad+a.Bad
			b.newSlow, b.newTimes = b.newSlow+sum, b.newTimes+n
		} else {
			b.totals.Old, b.totals.OldBad = b.totals.Old+a.Good+a.Bad, b.totals.OldBad+a.Bad
			b.oldSlow, b.oldTime = b.oldSlow+sum, b.oldTime+n
		}
	}
}

// Assessment implements Analyzer.
func (b *Bounds) Assessment() Assessment {
	v := b.totals
	if v.New < boundAnswers || v.Old < boundAnswers {
		return v
	}
	more := float64(v.NewBad)/float64(v.New) - float64(v.OldBad)/float64(v.Old)
	slower := 0.0
	if b.newTimes > 0 && b.oldTime > 0 {
		slower = math.Exp2(b.newSlow/b.newTimes - b.oldSlow/b.oldTime)
	}
	v.Bad = more > boundFailures || slower > boundTimes
	v.Reason = fmt.Sprintf("%.2f more failures, %.1f times as long", more, slower)
	return v
}
