package limit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/weldstream/weldstream/coordination/retry"
	"github.com/weldstream/weldstream/protocol"
)

// This file compares a pool with and without limits and retry budgets in a simulation:
// seeded fake engines behind nine limiters, in discrete time steps. The tables are in
// testdata/experiment.golden and in docs/design/0007-limits.md.
//
// A request holds an engine's slot for some time. An engine with more requests than slots
// runs all of them, but slower, and loses much of its speed beyond that: it has to recompute
// prompts and to swap out KV caches. Callers give up at their deadline; those without an
// answer try again, at once or after their Retry-After. A limiter that has waited too long
// for an engine retries the request from the start on another one.

const (
	fakeStep        = 10 * time.Millisecond
	fakeLimiters    = 9
	fakeEngines     = 12
	fakeDomains     = 4
	fakeSlots       = 8
	serviceSteps    = 100  // a request of mean length takes a second on a free engine
	deadlineStep    = 400  // a caller gives up after 4 s and tries again
	attemptSteps    = 200  // a limiter waits 2 s for an engine
	demandSteps     = 10   // a limiter sends a demand every 100 ms
	grantDelaySteps = 1    // and gets the grant 10 ms later
	runSteps        = 6000 // a run lasts a minute; half of one under a steady load
	maxTries        = 4    // then a caller gives up for good
)

// fakeCapacity is the number of requests per second that the engines can serve in time.
const fakeCapacity = fakeEngines * fakeSlots * float64(time.Second/fakeStep) / serviceSteps

// fakeWorkspace is a workspace with its fraction of the offered load and its share.
type fakeWorkspace struct {
	name         string
	loadFraction float64
	share        int
	limiter      int // limiter is the only one that its callers use; -1 for all.
}

// The large workspace demands far more than its share. The small one demands less, and uses
// a single limiter. Look-ups are short and urgent, reviews can wait.
var fakeWorkspaces = []fakeWorkspace{
	{name: "large", loadFraction: .60, share: 30, limiter: -1},
	{name: "middle", loadFraction: .22, share: 40, limiter: -1},
	{name: "small", loadFraction: .06, share: 20, limiter: 3},
	{name: "look-up", loadFraction: .04, share: 10, limiter: -1},
	{name: "review", loadFraction: .08, share: 30, limiter: -1},
}

const (
	lookUp = 3
	review = 4
)

// fakeRequest is one caller's request with all its tries.
type fakeRequest struct {
	workspace int
	work      float64 // work is the number of steps that it takes on a free engine.
	remaining float64
	firstTry  int // firstTry is the step of the first try.
	deadline  int // deadline is the step at which the caller gives up the current try.
	try       int
	placedAt  int // placedAt is the step at which an engine took it.
	retries   int // retries is the number of retries by the limiter itself.
	limiter   int
	engine    int
	id        uint64
}

// variant is a configuration to compare.
type variant struct {
	name   string
	limits bool // limits enables limiters, shares and deadlines.
	budget bool // budget bounds retries in proportion to successes.
}

var variants = []variant{
	{name: "neither"},
	{name: "budget alone", budget: true},
	{name: "limits alone", limits: true},
	{name: "limits and budget", limits: true, budget: true},
}

// simulation is one run.
type simulation struct {
	variant       variant
	rnd           *rand.Rand
	rate          func(step int) float64 // rate is the offered load as a fraction of the capacity.
	engines       [fakeEngines][]*fakeRequest
	steps         int // steps is the length of the run.
	lostDomain    int // lostDomain is the failure domain that is lost; -1 for none.
	limiters      [fakeLimiters]*Limiter
	waiting       [fakeLimiters]map[uint64]*fakeRequest
	budgets       [fakeLimiters]retry.Budget
	coordinator   *Coordinator
	scheduled     map[int][]func()
	nextID        uint64
	goodPerSecond [runSteps / 100]int
	heldPerSecond [runSteps / 100]int
	results       [5][2]int // results are the numbers of requests and of good ones, by workspace.
	sent          int       // sent is the number of tries that reached an engine.
	finished      int
}

func newSimulation(v variant, seed uint64, rate func(int) float64) *simulation {
	f := &simulation{variant: v, rnd: rand.New(rand.NewPCG(seed, 11)), rate: rate, steps: runSteps, lostDomain: -1, scheduled: map[int][]func(){}}
	f.coordinator = NewCoordinator()
	for g := range fakeLimiters {
		f.limiters[g] = NewLimiter(Config{MaxQueued: 256})
		f.waiting[g] = map[uint64]*fakeRequest{}
		f.budgets[g] = retry.New(startTime)
	}
	return f
}

func clock(step int) time.Time { return startTime.Add(time.Duration(step) * fakeStep) }

func (f *simulation) run(lossAt, returnAt int) {
	for step := range f.steps {
		switch step {
		case lossAt:
			f.loseDomain(step)
		case returnAt:
			f.lostDomain = -1
		}
		for _, do := range f.scheduled[step] {
			do()
		}
		delete(f.scheduled, step)
		f.arrive(step)
		f.tick(step)
		for e := range f.engines {
			f.advanceEngine(e, step)
			f.heldPerSecond[step/100] += len(f.engines[e])
		}
	}
}

func (f *simulation) schedule(step int, do func()) {
	if step < f.steps {
		f.scheduled[step] = append(f.scheduled[step], do)
	}
}

func (f *simulation) arrive(step int) {
	mean := f.rate(step) * fakeCapacity * fakeStep.Seconds()
	for n := f.poisson(mean); n > 0; n-- {
		r := &fakeRequest{workspace: f.randomWorkspace(), firstTry: step, work: serviceSteps * (0.5 + f.rnd.Float64())}
		if r.workspace == lookUp {
			r.work = serviceSteps / 5
		}
		f.try(r, step)
	}
}

func (f *simulation) poisson(mean float64) int {
	n, p := 0, f.rnd.ExpFloat64()
	for p < mean {
		n++
		p += f.rnd.ExpFloat64()
	}
	return n
}

func (f *simulation) randomWorkspace() int {
	x := f.rnd.Float64()
	for i, s := range fakeWorkspaces {
		if x -= s.loadFraction; x < 0 {
			return i
		}
	}
	return 0
}

// try makes one try of a caller, through some limiter.
func (f *simulation) try(r *fakeRequest, step int) {
	r.try++
	r.retries = 0
	r.deadline = step + deadlineStep
	r.limiter = fakeWorkspaces[r.workspace].limiter
	if r.limiter < 0 {
		r.limiter = f.rnd.IntN(fakeLimiters)
	}
	f.nextID++
	r.id = f.nextID
	if !f.variant.limits {
		f.place(r, step)
		return
	}
	f.waiting[r.limiter][r.id] = r
	priority := protocol.PriorityNormal
	switch r.workspace {
	case lookUp:
		priority = protocol.PriorityHigh
	case review:
		priority = protocol.PriorityLow
	}
	s := fakeWorkspaces[r.workspace]
	f.execute(r.limiter, step, f.limiters[r.limiter].Update(ArriveMsg{
		ID: r.id, Workspace: s.name, Share: s.share, Priority: priority,
		StartBy: clock(r.deadline), Deadline: clock(r.deadline), Now: clock(step),
	}))
}

// place assigns a request to the engine with fewer requests of two random ones.
func (f *simulation) place(r *fakeRequest, step int) {
	a, b := f.randomEngine(), f.randomEngine()
	if len(f.engines[b]) < len(f.engines[a]) {
		a = b
	}
	r.engine, r.remaining, r.placedAt = a, r.work, step
	f.engines[a] = append(f.engines[a], r)
	f.sent++
}

func (f *simulation) randomEngine() int {
	for {
		if e := f.rnd.IntN(fakeEngines); e%fakeDomains != f.lostDomain {
			return e
		}
	}
}

func (f *simulation) execute(limiter, step int, cmds []Cmd) {
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case StartCmd:
			r := f.waiting[limiter][cmd.ID]
			delete(f.waiting[limiter], cmd.ID)
			f.place(r, step)
		case RefuseCmd:
			r := f.waiting[limiter][cmd.ID]
			delete(f.waiting[limiter], cmd.ID)
			f.resubmit(r, step, int(cmd.RetryAfter/fakeStep)+1)
		}
	}
}

// resubmit has the caller try again after a number of steps.
func (f *simulation) resubmit(r *fakeRequest, step, after int) {
	if r.try >= maxTries {
		f.finish(r, step, false)
		return
	}
	f.schedule(step+after, func() { f.try(r, step+after) })
}

// finish counts a request when its caller has the answer or gives up for good. A look-up is
// good within a second of its first try, any other request by the deadline of the try that
// was answered.
func (f *simulation) finish(r *fakeRequest, step int, ok bool) {
	f.results[r.workspace][0]++
	if ok && (r.workspace != lookUp || step-r.firstTry <= deadlineStep/4) {
		f.results[r.workspace][1]++
		f.goodPerSecond[step/100]++
	}
}

// tick sends demands; the limiters take turns.
func (f *simulation) tick(step int) {
	slots := fakeEngines * fakeSlots
	if f.lostDomain >= 0 {
		slots = slots * (fakeDomains - 1) / fakeDomains
	}
	for g := range fakeLimiters {
		if !f.variant.limits || (step+g)%demandSteps != 0 {
			continue
		}
		f.execute(g, step, f.limiters[g].Update(PoolMsg{Slots: slots, Instances: fakeLimiters, Now: clock(step)}))
		m := protocol.DemandMsg{From: fmt.Sprint("entry-", g), Rows: f.limiters[g].Demand()}
		grant := f.coordinator.HandleDemand(m, slots, fakeLimiters, clock(step))
		f.schedule(step+grantDelaySteps, func() {
			f.execute(g, step+grantDelaySteps, f.limiters[g].Update(GrantMsg{GrantMsg: grant, ExpiresAt: clock(step + 4*demandSteps), Now: clock(step + grantDelaySteps)}))
		})
	}
}

// advanceEngine lets an engine compute for a step. Beyond its slots, its requests share
// its speed, and the total speed falls.
func (f *simulation) advanceEngine(e, step int) {
	n := float64(len(f.engines[e]))
	speed := 1.0
	if n > fakeSlots {
		speed = fakeSlots / n * max(0.3, 1-0.1*(n/fakeSlots-1))
	}
	ended := []*fakeRequest{}
	f.engines[e] = slices.DeleteFunc(f.engines[e], func(r *fakeRequest) bool {
		r.remaining -= speed
		if r.remaining > 0 && step < r.deadline && step < r.placedAt+attemptSteps {
			return false
		}
		ended = append(ended, r)
		return true
	})
	for _, r := range ended {
		if r.remaining > 0 && step < r.deadline {
			f.retryElsewhere(r, step)
			continue
		}
		f.release(r, step)
		if r.remaining <= 0 {
			f.budgets[r.limiter] = f.budgets[r.limiter].Success(clock(step))
			f.finished++
			f.finish(r, step, true)
			continue
		}
		f.resubmit(r, step, 1)
	}
}

func (f *simulation) release(r *fakeRequest, step int) {
	if f.variant.limits {
		f.execute(r.limiter, step, f.limiters[r.limiter].Update(DoneMsg{ID: r.id, Now: clock(step)}))
	}
}

// loseDomain removes a failure domain without notice. Each limiter retries its requests on
// other engines, as far as its budget allows.
func (f *simulation) loseDomain(step int) {
	f.lostDomain = 0
	for e := range f.engines {
		if e%fakeDomains != f.lostDomain {
			continue
		}
		lost := f.engines[e]
		f.engines[e] = nil
		for _, r := range lost {
			f.retryElsewhere(r, step)
		}
	}
}

// retryElsewhere has a limiter retry a request on another engine if its budget allows it.
// Otherwise the caller is told to retry after a second.
func (f *simulation) retryElsewhere(r *fakeRequest, step int) {
	ok := r.retries < maxTries-1
	if ok && f.variant.budget {
		f.budgets[r.limiter], ok = f.budgets[r.limiter].Spend(clock(step))
	}
	if ok {
		r.retries++
		f.place(r, step)
		return
	}
	f.release(r, step)
	f.resubmit(r, step, 100)
}

// medianRange formats the median, the minimum and the maximum.
func medianRange(list []float64) string {
	slices.Sort(list)
	return fmt.Sprintf("%6.1f (%.1f-%.1f)", list[len(list)/2], list[0], list[len(list)-1])
}

const fakeSeeds = 3

// runSteadyLoad runs a variant under a steady load and returns a row of the table.
func runSteadyLoad(v variant, load float64) string {
	var goodput, lookUps, small, wasted []float64
	for seed := range uint64(fakeSeeds) {
		f := newSimulation(v, seed, func(int) float64 { return load })
		f.steps = runSteps / 2
		f.run(-1, -1)
		good := 0
		for _, n := range f.goodPerSecond[10 : f.steps/100] {
			good += n
		}
		goodput = append(goodput, 100*float64(good)/(fakeCapacity*float64(f.steps/100-10)))
		lookUps = append(lookUps, percentGood(f.results[lookUp]))
		small = append(small, percentGood(f.results[2]))
		wasted = append(wasted, 100*float64(f.sent-f.finished)/float64(max(1, f.sent)))
	}
	return fmt.Sprintf("| %-17s | %3.0f | %s | %s | %s | %s |\n", v.name, 100*load, medianRange(goodput), medianRange(lookUps), medianRange(small), medianRange(wasted))
}

func percentGood(d [2]int) float64 { return 100 * float64(d[1]) / float64(max(1, d[0])) }

const (
	lossStep   = 2000
	returnStep = 3500
)

// runDomainLoss runs a variant at 80 % load through the loss of a domain and its return.
func runDomainLoss(v variant) string {
	var before, during, after, recovered []float64
	for seed := range uint64(fakeSeeds) {
		f := newSimulation(v, seed, func(int) float64 { return 0.8 })
		f.run(lossStep, returnStep)
		at := func(from, to int) float64 {
			n := 0
			for _, k := range f.goodPerSecond[from/100 : to/100] {
				n += k
			}
			return 100 * float64(n) / (fakeCapacity * float64(to-from) / 100)
		}
		before = append(before, at(1000, lossStep))
		during = append(during, at(lossStep+500, returnStep))
		after = append(after, at(returnStep+1000, runSteps))
		recovered = append(recovered, f.recovery())
	}
	return fmt.Sprintf("| %-17s | %s | %s | %s | %s |\n", v.name, medianRange(before), medianRange(during), medianRange(after), medianRange(recovered))
}

// recovery returns how many seconds after the domain's return the engines hold at most 30 %
// more requests than before the loss, from then on.
func (f *simulation) recovery() float64 {
	usual := 0
	for _, n := range f.heldPerSecond[10 : lossStep/100] {
		usual += n
	}
	usual /= lossStep/100 - 10
	for second := len(f.heldPerSecond) - 1; second >= returnStep/100; second-- {
		if f.heldPerSecond[second] > usual*13/10 {
			return float64(second + 1 - returnStep/100)
		}
	}
	return 0
}

// TestExperiment prints the tables and compares them with the golden file, which the docs
// quote.
func TestExperiment(t *testing.T) {
	var out strings.Builder
	fmt.Fprintf(&out, "### Steady load: %d engines of %d slots, %d limiters, %d seeds, median (least-most)\n\n", fakeEngines, fakeSlots, fakeLimiters, fakeSeeds)
	out.WriteString("| way | offered, % of capacity | good answers, % of capacity | look-ups in time % | small workspace in time % | tries that engines took in vain % |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, v := range variants {
		for _, load := range []float64{0.5, 0.8, 1, 1.25, 2} {
			out.WriteString(runSteadyLoad(v, load))
		}
	}
	out.WriteString("\n### A failure domain of four lost for 15 s at a load of 80 %: good answers, % of capacity\n\n")
	out.WriteString("| way | before | lost | 10 s after its return and on | engines back at their usual load after, s (25: not within the run) |\n| --- | --- | --- | --- | --- |\n")
	for _, v := range variants {
		out.WriteString(runDomainLoss(v))
	}
	t.Log("\n" + out.String())
	goldie.New(t).Assert(t, "experiment", []byte(out.String()))
}
