package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/weldstream/weldstream/coordination/poll"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/state"
)

// This file compares choosers in a small, seeded discrete-time simulation of engines. Nine
// gateways decide independently, each with its own counts and with delayed load reports; a
// failure domain is lost halfway. The resulting table is in testdata/experiment.golden.

const (
	stepTime        = 10 * time.Millisecond // one step of the simulation
	lagSteps        = 50                    // a report is up to half a second old
	gateways        = 9
	simSteps        = 9000 // 90 s
	lossStep        = 4500
	returnStep      = 6500
	prefillRate     = 80  // prompt tokens that an engine prefills in a step
	batchFull       = 8   // requests that an engine serves at full speed
	stepsPerToken   = 3   // steps between two tokens with up to batchFull requests
	firstTarget     = 320 // ms
	gapTarget       = 57  // ms
	engineHourPrice = 1.0 // price of an engine-hour
)

// workload is the load of one deployment.
type workload struct {
	name       string
	engines    int
	rate       float64 // conversations per second
	turns      int
	prompt     int // tokens of the first prompt
	grow       int // tokens that a turn adds to the prompt
	answer     int // tokens of an answer
	cache      int // capacity of an engine's prefix cache in tokens
	workspaces []float64
}

var workloads = []workload{
	{name: "baton-rouge", engines: 9, rate: 2.4, turns: 5, prompt: 900, grow: 250, answer: 80, cache: 40000, workspaces: []float64{.45, .3, .15, .06, .04}},
	{name: "santiago", engines: 18, rate: 3.2, turns: 6, prompt: 1800, grow: 400, answer: 120, cache: 60000, workspaces: []float64{.4, .3, .2, .06, .04}},
}

// conversation is a sequence of turns with a growing prompt.
type conversation struct {
	id        uint64
	workspace int
	turn      int
	prompt    int
	due       int // due is the step of the next turn.
}

// task is one turn running at an engine.
type task struct {
	conversation *conversation
	gateway      int
	sent         int
	prefill      int
	generated    int
	first        int
	phase        int
}

// engine is a simulated engine.
type engine struct {
	tasks []*task
	cache map[uint64]int // cache is the number of cached tokens by conversation.
	order []uint64       // order lists conversations from the least to the most recently used.
	used  int
	down  bool
}

func (e *engine) touch(id uint64, tokens, limit int) {
	e.used += tokens - e.cache[id]
	e.cache[id] = tokens
	e.order = append(slices.DeleteFunc(e.order, func(o uint64) bool { return o == id }), id)
	for e.used > limit && len(e.order) > 1 {
		old := e.order[0]
		e.order = e.order[1:]
		e.used -= e.cache[old]
		delete(e.cache, old)
	}
}

// result holds the totals of one run.
type result struct {
	done, good                  int
	promptTokens, prefillTokens int
	recomputed                  int // recomputed counts tokens computed again for answers that lost their engine.
	refused                     int
	byWorkspace                 [5][2]int
	first                       []int
}

// run simulates one chooser on one workload.
func run(load workload, c Chooser, polled int, seed uint64) result {
	rnd := rand.New(rand.NewPCG(seed, 7))
	sim := newSimulation(load, c, rnd)
	sim.polled = polled
	for step := range simSteps {
		sim.step(step)
	}
	return sim.result
}

type simulation struct {
	workload      workload
	rnd           *rand.Rand
	chooser       Chooser
	engines       []*engine
	servers       [gateways][]state.Server
	views         [gateways]*state.View
	counts        [gateways][]int32
	conversations []*conversation
	polled        int // polled is how many engines a gateway polls in a round; 0 means all.
	nextID        uint64
	result        result
}

func newSimulation(load workload, c Chooser, rnd *rand.Rand) *simulation {
	sim := &simulation{workload: load, rnd: rnd, chooser: c}
	for range load.engines {
		sim.engines = append(sim.engines, &engine{cache: map[uint64]int{}})
	}
	for g := range gateways {
		var servers []state.Server
		for i := range load.engines {
			s := state.Server{Hash: mix(uint64(i + 1)), Counters: &state.Counters{}}
			s.ID, s.Kind, s.Domain = fmt.Sprintf("e%02d", i), protocol.InstanceEngine, fmt.Sprint("z", i%4)
			s.Report.Models = []string{"m"}
			servers = append(servers, s)
		}
		sim.servers[g], sim.views[g], sim.counts[g] = servers, state.NewView(servers), make([]int32, load.engines)
	}
	return sim
}

func (sim *simulation) step(step int) {
	switch step {
	case lossStep:
		sim.loseDomain(step)
	case returnStep:
		sim.setDown(false)
	}
	sim.report(step)
	sim.arrive(step)
	for i, b := range sim.engines {
		sim.compute(i, b, step)
	}
}

// setDown takes domain z0 down or brings it back with empty caches.
func (sim *simulation) setDown(down bool) {
	for i, b := range sim.engines {
		if i%4 != 0 {
			continue
		}
		b.down = down
		b.cache, b.order, b.used = map[uint64]int{}, nil, 0
		for g := range gateways {
			sim.servers[g][i].Leaving = down
		}
	}
	for g := range gateways {
		sim.views[g] = state.NewView(sim.servers[g])
	}
}

// loseDomain takes the domain down without notice; its answers resume elsewhere.
func (sim *simulation) loseDomain(step int) {
	var lost []*task
	for i, b := range sim.engines {
		if i%4 == 0 {
			for _, t := range b.tasks {
				sim.counts[t.gateway][i]--
			}
			lost = append(lost, b.tasks...)
			b.tasks = nil
		}
	}
	sim.setDown(true)
	for _, t := range lost {
		if i := sim.pick(t); i >= 0 {
			sim.place(t, i, t.generated)
			sim.result.recomputed += t.prefill
		}
	}
	_ = step
}

// report refreshes each gateway's reports at a different time.
func (sim *simulation) report(step int) {
	for g := range gateways {
		if (step+g*7)%lagSteps != 0 {
			continue
		}
		now := time.Unix(0, 0).Add(time.Duration(step+1) * stepTime)
		polled := sim.polled
		if polled == 0 {
			polled = len(sim.engines)
		}
		for _, i := range poll.Plan(sim.views[g], polled) {
			b, s := sim.engines[i], &sim.servers[g][i]
			s.AskedAt, s.ReportAt, s.SentAt = now, now, s.Counters.Sent.Load()
			s.Report.Running = min(len(b.tasks), batchFull)
			s.Report.Waiting = max(0, len(b.tasks)-batchFull)
			s.Report.KVUsed = float64(b.used) / float64(sim.workload.cache)
			s.OwnAt = sim.counts[g][i]
		}
		for i := range sim.servers[g] {
			sim.servers[g][i].Old = now.Sub(sim.servers[g][i].ReportAt) > 2*time.Second
		}
		sim.views[g] = state.NewView(sim.servers[g])
	}
}

func (sim *simulation) arrive(step int) {
	if sim.rnd.Float64() < sim.workload.rate*stepTime.Seconds() {
		sim.nextID++
		t := &conversation{id: mix(sim.nextID), prompt: sim.workload.prompt, due: step, workspace: sim.drawWorkspace()}
		sim.conversations = append(sim.conversations, t)
	}
	for _, t := range sim.conversations {
		if t.due == step {
			sim.send(t, step)
		}
	}
}

func (sim *simulation) drawWorkspace() int {
	x := sim.rnd.Float64()
	for i, part := range sim.workload.workspaces {
		if x -= part; x < 0 {
			return i
		}
	}
	return 0
}

func (sim *simulation) send(t *conversation, step int) {
	k := &task{conversation: t, gateway: sim.rnd.IntN(gateways), sent: step, first: -1}
	sim.result.promptTokens += t.prompt
	i := sim.pick(k)
	if i < 0 {
		sim.result.refused++
		t.due = step + 100 // Retries after a second.
		return
	}
	sim.place(k, i, 0)
}

func (sim *simulation) pick(k *task) int {
	m := ChooseMsg{Model: "m", Prefix: k.conversation.id, Rand: sim.rnd.Uint64()}
	i, err := sim.chooser.Choose(sim.views[k.gateway], sim.counts[k.gateway], m)
	if err != nil {
		return -1
	}
	return i
}

// place assigns a task to an engine, which prefills what its cache lacks.
func (sim *simulation) place(k *task, i, generated int) {
	e := sim.engines[i]
	k.prefill = max(0, k.conversation.prompt+generated-e.cache[k.conversation.id])
	sim.result.prefillTokens += k.prefill
	e.touch(k.conversation.id, k.conversation.prompt, sim.workload.cache)
	e.tasks = append(e.tasks, k)
	sim.counts[k.gateway][i]++
	sim.servers[k.gateway][i].Counters.Sent.Add(1)
}

// compute runs an engine for one step: prefill in order of arrival, then one token every
// few steps for each task, at full speed for up to batchFull tasks.
func (sim *simulation) compute(i int, e *engine, step int) {
	budget := prefillRate
	every := stepsPerToken * max(1, (len(e.tasks)+batchFull-1)/batchFull)
	for _, k := range e.tasks {
		if k.prefill > 0 {
			n := min(budget, k.prefill)
			k.prefill -= n
			budget -= n
			continue
		}
		if k.phase++; k.phase%every != 0 {
			continue
		}
		if k.generated++; k.first < 0 {
			k.first = step
		}
	}
	e.tasks = slices.DeleteFunc(e.tasks, func(k *task) bool {
		if k.generated < sim.workload.answer {
			return false
		}
		sim.counts[k.gateway][i]--
		sim.finish(k, e, step)
		return true
	})
}

func (sim *simulation) finish(k *task, e *engine, step int) {
	t := k.conversation
	first := (k.first - k.sent) * int(stepTime.Milliseconds())
	gap := float64(step-k.first) * float64(stepTime.Milliseconds()) / float64(sim.workload.answer-1)
	sim.result.done++
	sim.result.first = append(sim.result.first, first)
	sim.result.byWorkspace[t.workspace][0]++
	if first <= firstTarget && gap <= gapTarget {
		sim.result.good++
		sim.result.byWorkspace[t.workspace][1]++
	}
	t.turn++
	t.prompt += sim.workload.answer + sim.workload.grow
	e.touch(t.id, t.prompt-sim.workload.grow, sim.workload.cache)
	t.due = -1
	if t.turn < sim.workload.turns {
		t.due = step + 100 + sim.rnd.IntN(400)
	}
}

// row returns the table row of one chooser over the seeds.
func row(load workload, name string, c Chooser, polled, seeds int) string {
	var within, cost, computed, recomputed, slowest, p95 []float64
	for seed := range uint64(seeds) {
		s := run(load, c, polled, seed)
		within = append(within, 100*float64(s.good)/float64(s.done+s.refused))
		hours := float64(load.engines) * simSteps * stepTime.Hours()
		cost = append(cost, 1e6*hours*engineHourPrice/float64(max(1, s.good)))
		computed = append(computed, 100*float64(s.prefillTokens)/float64(s.promptTokens))
		recomputed = append(recomputed, float64(s.recomputed))
		worst := 100.0
		for _, w := range s.byWorkspace {
			if w[0] > 0 {
				worst = min(worst, 100*float64(w[1])/float64(w[0]))
			}
		}
		slowest = append(slowest, worst)
		slices.Sort(s.first)
		p95 = append(p95, float64(s.first[len(s.first)*95/100]))
	}
	cells := []string{fmt.Sprintf("%-18s", name)}
	for _, list := range [][]float64{within, p95, cost, computed, recomputed, slowest} {
		slices.Sort(list)
		cells = append(cells, fmt.Sprintf("%7.1f (%.1f-%.1f)", list[len(list)/2], list[0], list[len(list)-1]))
	}
	return "| " + strings.Join(cells, " | ") + " |\n"
}

// TestExperiment compares the table with the one that the docs quote.
func TestExperiment(t *testing.T) {
	const seeds = 7
	var out strings.Builder
	for _, load := range workloads {
		fmt.Fprintf(&out, "### %s: %d engines, 4 failure domains, 9 gateways, %d seeds, median (least-most)\n\n", load.name, load.engines, seeds)
		out.WriteString("| way | within target % | first token p95 ms | cost a good request, millionths of an engine-hour | prompt tokens computed % | tokens again for the lost domain | slowest workspace % |\n| --- | --- | --- | --- | --- | --- | --- |\n")
		for _, w := range []struct {
			name  string
			c     Chooser
			reads int
		}{
			{"least-outstanding", LeastOutstanding{}, 0},
			{"two-choices", TwoChoices{}, 0},
			{"filter-chain", FilterChain{}, 0},
			{"affinity-unbounded", Affinity{Bound: 1e9}, 0},
			{"affinity-1.25+2", NewAffinity(), 0},
			{"1.25+2, one report", NewAffinity(), 1},
			{"affinity-1.5+1", Affinity{Bound: 1.5, Slack: 1}, 0},
		} {
			out.WriteString(row(load, w.name, w.c, w.reads, seeds))
		}
		out.WriteString("\n")
	}
	t.Log("\n" + out.String())
	goldie.New(t).Assert(t, "experiment", []byte(out.String()))
}
