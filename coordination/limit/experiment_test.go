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

// This file offers load to a small, seeded fake of engines behind nine limiters,
// stepped in time, with and without what this package does. The tables are in
// testdata/experiment.golden and in docs/design/0007-limits.md.
//
// Requests hold an engine's slot for a while; an engine with more requests than
// slots serves them all, slower, and badly beyond: reading prompts anew and
// moving KV caches out costs it a part of its speed. Callers give up at their
// deadline; those without an answer come again, at once or when told to. A limiter
// that has waited too long for an engine tries another one, from the start.

const (
	fakeStep     = 10 * time.Millisecond
	fakeLimiters = 9
	fakeEngines  = 12
	fakeDomains  = 4
	fakeSlots    = 8
	holdSteps    = 100  // a request of the middle length takes a second alone
	deadlineStep = 400  // callers wait for four seconds, and come again
	attemptSteps = 200  // a limiter waits for an engine for two
	askSteps     = 10   // a limiter asks every 100 ms
	answerSteps  = 1    // and is answered 10 ms later
	spanSteps    = 6000 // a run is a minute, or half of one under a steady load
	mostTries    = 4    // a caller gives up for good
)

// fakeCapacity is how many requests a second the engines serve in time.
const fakeCapacity = fakeEngines * fakeSlots * float64(time.Second/fakeStep) / holdSteps

// fakeSpace is a workspace: its part of the offered load, and its share.
type fakeSpace struct {
	name    string
	part    float64
	share   int
	limiter int // limiter is the only one that it comes through, or -1.
}

// The large workspace asks for far more than its share, the small one for less
// than its own, and it comes through one limiter; the look-ups are short and
// urgent, the reviews can wait.
var fakeSpaces = []fakeSpace{
	{name: "large", part: .60, share: 30, limiter: -1},
	{name: "middle", part: .22, share: 40, limiter: -1},
	{name: "small", part: .06, share: 20, limiter: 3},
	{name: "look-up", part: .04, share: 10, limiter: -1},
	{name: "review", part: .08, share: 30, limiter: -1},
}

const (
	lookUp = 3
	review = 4
)

// fakeTask is one caller's request, through all its tries.
type fakeTask struct {
	space    int
	need     float64 // need is the work, in steps alone.
	left     float64
	first    int // first is the step of the first try.
	deadline int // deadline is the step at which this try is given up.
	try      int
	placed   int // placed is the step at which an engine took it.
	retries  int // retries are tries that the limiter itself made.
	limiter  int
	engine   int
	id       uint64
}

// way is what is compared.
type way struct {
	name   string
	limits bool // limits has limiters, shares and deadlines.
	budget bool // budget bounds retries by the successes.
}

var ways = []way{
	{name: "neither"},
	{name: "budget alone", budget: true},
	{name: "limits alone", limits: true},
	{name: "limits and budget", limits: true, budget: true},
}

// fakeWorld is a run.
type fakeWorld struct {
	way      way
	chance   *rand.Rand
	rate     func(step int) float64 // rate is the offered load, in capacities.
	engines  [fakeEngines][]*fakeTask
	span     int // span is how many steps the run lasts.
	down     int // down is the failure domain that is lost, or -1.
	limiters [fakeLimiters]*Limiter
	waiting  [fakeLimiters]map[uint64]*fakeTask
	budgets  [fakeLimiters]retry.Budget
	pool     *Coordinator
	later    map[int][]func()
	nextID   uint64
	goodAt   [spanSteps / 100]int
	heldAt   [spanSteps / 100]int
	done     [5][2]int // done are requests and good ones, by workspace.
	sent     int       // sent are tries that reached an engine.
	finished int
}

func newFakeWorld(w way, seed uint64, rate func(int) float64) *fakeWorld {
	f := &fakeWorld{way: w, chance: rand.New(rand.NewPCG(seed, 11)), rate: rate, span: spanSteps, down: -1, later: map[int][]func(){}}
	f.pool = NewCoordinator()
	for g := range fakeLimiters {
		f.limiters[g] = NewLimiter(Config{MaxQueued: 256})
		f.waiting[g] = map[uint64]*fakeTask{}
		f.budgets[g] = retry.New(began)
	}
	return f
}

func clock(step int) time.Time { return began.Add(time.Duration(step) * fakeStep) }

func (f *fakeWorld) run(lose, back int) {
	for step := range f.span {
		switch step {
		case lose:
			f.lose(step)
		case back:
			f.down = -1
		}
		for _, do := range f.later[step] {
			do()
		}
		delete(f.later, step)
		f.arrive(step)
		f.tick(step)
		for e := range f.engines {
			f.work(e, step)
			f.heldAt[step/100] += len(f.engines[e])
		}
	}
}

func (f *fakeWorld) at(step int, do func()) {
	if step < f.span {
		f.later[step] = append(f.later[step], do)
	}
}

func (f *fakeWorld) arrive(step int) {
	mean := f.rate(step) * fakeCapacity * fakeStep.Seconds()
	for n := f.poisson(mean); n > 0; n-- {
		t := &fakeTask{space: f.draw(), first: step, need: holdSteps * (0.5 + f.chance.Float64())}
		if t.space == lookUp {
			t.need = holdSteps / 5
		}
		f.try(t, step)
	}
}

func (f *fakeWorld) poisson(mean float64) int {
	n, p := 0, f.chance.ExpFloat64()
	for p < mean {
		n++
		p += f.chance.ExpFloat64()
	}
	return n
}

func (f *fakeWorld) draw() int {
	x := f.chance.Float64()
	for i, s := range fakeSpaces {
		if x -= s.part; x < 0 {
			return i
		}
	}
	return 0
}

// try is one try of a caller, through some limiter.
func (f *fakeWorld) try(t *fakeTask, step int) {
	t.try++
	t.retries = 0
	t.deadline = step + deadlineStep
	t.limiter = fakeSpaces[t.space].limiter
	if t.limiter < 0 {
		t.limiter = f.chance.IntN(fakeLimiters)
	}
	f.nextID++
	t.id = f.nextID
	if !f.way.limits {
		f.place(t, step)
		return
	}
	f.waiting[t.limiter][t.id] = t
	priority := protocol.PriorityNormal
	switch t.space {
	case lookUp:
		priority = protocol.PriorityHigh
	case review:
		priority = protocol.PriorityLow
	}
	s := fakeSpaces[t.space]
	f.carryOut(t.limiter, step, f.limiters[t.limiter].Update(ArriveMsg{
		ID: t.id, Workspace: s.name, Share: s.share, Priority: priority,
		StartBy: clock(t.deadline), Deadline: clock(t.deadline), Now: clock(step),
	}))
}

// place gives a task to the engine with the least to do of two.
func (f *fakeWorld) place(t *fakeTask, step int) {
	a, b := f.alive(), f.alive()
	if len(f.engines[b]) < len(f.engines[a]) {
		a = b
	}
	t.engine, t.left, t.placed = a, t.need, step
	f.engines[a] = append(f.engines[a], t)
	f.sent++
}

func (f *fakeWorld) alive() int {
	for {
		if e := f.chance.IntN(fakeEngines); e%fakeDomains != f.down {
			return e
		}
	}
}

func (f *fakeWorld) carryOut(limiter, step int, cmds []Cmd) {
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case StartCmd:
			t := f.waiting[limiter][cmd.ID]
			delete(f.waiting[limiter], cmd.ID)
			f.place(t, step)
		case RefuseCmd:
			t := f.waiting[limiter][cmd.ID]
			delete(f.waiting[limiter], cmd.ID)
			f.again(t, step, int(cmd.RetryAfter/fakeStep)+1)
		}
	}
}

// again has the caller come back, at once or as it was told.
func (f *fakeWorld) again(t *fakeTask, step, after int) {
	if t.try >= mostTries {
		f.end(t, step, false)
		return
	}
	f.at(step+after, func() { f.try(t, step+after) })
}

// end counts a request once its caller has it or has given up for good. A
// look-up is good within a second of its first try, any other by the deadline
// of the try that was answered.
func (f *fakeWorld) end(t *fakeTask, step int, ok bool) {
	f.done[t.space][0]++
	if ok && (t.space != lookUp || step-t.first <= deadlineStep/4) {
		f.done[t.space][1]++
		f.goodAt[step/100]++
	}
}

// tick asks for grants, each limiter at a time of its own.
func (f *fakeWorld) tick(step int) {
	slots := fakeEngines * fakeSlots
	if f.down >= 0 {
		slots = slots * (fakeDomains - 1) / fakeDomains
	}
	for g := range fakeLimiters {
		if !f.way.limits || (step+g)%askSteps != 0 {
			continue
		}
		f.carryOut(g, step, f.limiters[g].Update(PoolMsg{Slots: slots, Instances: fakeLimiters, Now: clock(step)}))
		m := protocol.DemandMsg{From: fmt.Sprint("entry-", g), Rows: f.limiters[g].Demand()}
		grant := f.pool.HandleDemand(m, slots, fakeLimiters, clock(step))
		f.at(step+answerSteps, func() {
			f.carryOut(g, step+answerSteps, f.limiters[g].Update(GrantMsg{GrantMsg: grant, ExpiresAt: clock(step + 4*askSteps), Now: clock(step + answerSteps)}))
		})
	}
}

// work lets an engine compute for a step. Beyond its slots each request gets
// its part, and the whole loses speed.
func (f *fakeWorld) work(e, step int) {
	n := float64(len(f.engines[e]))
	speed := 1.0
	if n > fakeSlots {
		speed = fakeSlots / n * max(0.3, 1-0.1*(n/fakeSlots-1))
	}
	ended := []*fakeTask{}
	f.engines[e] = slices.DeleteFunc(f.engines[e], func(t *fakeTask) bool {
		t.left -= speed
		if t.left > 0 && step < t.deadline && step < t.placed+attemptSteps {
			return false
		}
		ended = append(ended, t)
		return true
	})
	for _, t := range ended {
		if t.left > 0 && step < t.deadline {
			f.elsewhere(t, step)
			continue
		}
		f.leave(t, step)
		if t.left <= 0 {
			f.budgets[t.limiter] = f.budgets[t.limiter].Success(clock(step))
			f.finished++
			f.end(t, step, true)
			continue
		}
		f.again(t, step, 1)
	}
}

func (f *fakeWorld) leave(t *fakeTask, step int) {
	if f.way.limits {
		f.carryOut(t.limiter, step, f.limiters[t.limiter].Update(DoneMsg{ID: t.id, Now: clock(step)}))
	}
}

// lose takes a failure domain away without notice. Each limiter retries what it
// had there elsewhere, as far as its budget goes.
func (f *fakeWorld) lose(step int) {
	f.down = 0
	for e := range f.engines {
		if e%fakeDomains != f.down {
			continue
		}
		lost := f.engines[e]
		f.engines[e] = nil
		for _, t := range lost {
			f.elsewhere(t, step)
		}
	}
}

// elsewhere has a limiter try another engine, as far as its budget goes; beyond
// it the caller is told to come back after a second.
func (f *fakeWorld) elsewhere(t *fakeTask, step int) {
	ok := t.retries < mostTries-1
	if ok && f.way.budget {
		f.budgets[t.limiter], ok = f.budgets[t.limiter].Spend(clock(step))
	}
	if ok {
		t.retries++
		f.place(t, step)
		return
	}
	f.leave(t, step)
	f.again(t, step, 100)
}

// middle returns the median with the least and the most.
func middle(list []float64) string {
	slices.Sort(list)
	return fmt.Sprintf("%6.1f (%.1f-%.1f)", list[len(list)/2], list[0], list[len(list)-1])
}

const fakeSeeds = 3

// offered runs a way under a steady load.
func offered(w way, load float64) string {
	var goodput, looked, small, wasted []float64
	for seed := range uint64(fakeSeeds) {
		f := newFakeWorld(w, seed, func(int) float64 { return load })
		f.span = spanSteps / 2
		f.run(-1, -1)
		good := 0
		for _, n := range f.goodAt[10 : f.span/100] {
			good += n
		}
		goodput = append(goodput, 100*float64(good)/(fakeCapacity*float64(f.span/100-10)))
		looked = append(looked, share(f.done[lookUp]))
		small = append(small, share(f.done[2]))
		wasted = append(wasted, 100*float64(f.sent-f.finished)/float64(max(1, f.sent)))
	}
	return fmt.Sprintf("| %-17s | %3.0f | %s | %s | %s | %s |\n", w.name, 100*load, middle(goodput), middle(looked), middle(small), middle(wasted))
}

func share(d [2]int) float64 { return 100 * float64(d[1]) / float64(max(1, d[0])) }

const (
	loseStep = 2000
	backStep = 3500
)

// loss runs a way at 80 % load through the loss of a domain and its return.
func loss(w way) string {
	var before, during, after, recovered []float64
	for seed := range uint64(fakeSeeds) {
		f := newFakeWorld(w, seed, func(int) float64 { return 0.8 })
		f.run(loseStep, backStep)
		at := func(from, to int) float64 {
			n := 0
			for _, k := range f.goodAt[from/100 : to/100] {
				n += k
			}
			return 100 * float64(n) / (fakeCapacity * float64(to-from) / 100)
		}
		before = append(before, at(1000, loseStep))
		during = append(during, at(loseStep+500, backStep))
		after = append(after, at(backStep+1000, spanSteps))
		recovered = append(recovered, f.recovery())
	}
	return fmt.Sprintf("| %-17s | %s | %s | %s | %s |\n", w.name, middle(before), middle(during), middle(after), middle(recovered))
}

// recovery is how many seconds after the domain's return the engines hold no
// more than a tenth above what they held before the loss, from then on.
func (f *fakeWorld) recovery() float64 {
	usual := 0
	for _, n := range f.heldAt[10 : loseStep/100] {
		usual += n
	}
	usual /= loseStep/100 - 10
	for second := len(f.heldAt) - 1; second >= backStep/100; second-- {
		if f.heldAt[second] > usual*13/10 {
			return float64(second + 1 - backStep/100)
		}
	}
	return 0
}

// TestExperiment prints the tables and compares them with those that the docs
// quote.
func TestExperiment(t *testing.T) {
	var out strings.Builder
	fmt.Fprintf(&out, "### Steady load: %d engines of %d slots, %d limiters, %d seeds, median (least-most)\n\n", fakeEngines, fakeSlots, fakeLimiters, fakeSeeds)
	out.WriteString("| way | offered, % of capacity | good answers, % of capacity | look-ups in time % | small workspace in time % | tries that engines took in vain % |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, w := range ways {
		for _, load := range []float64{0.5, 0.8, 1, 1.25, 2} {
			out.WriteString(offered(w, load))
		}
	}
	out.WriteString("\n### A failure domain of four lost for 15 s at a load of 80 %: good answers, % of capacity\n\n")
	out.WriteString("| way | before | lost | 10 s after its return and on | engines back at their usual load after, s (25: not within the run) |\n| --- | --- | --- | --- | --- |\n")
	for _, w := range ways {
		out.WriteString(loss(w))
	}
	t.Log("\n" + out.String())
	goldie.New(t).Assert(t, "experiment", []byte(out.String()))
}
