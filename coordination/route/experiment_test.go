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

// This file compares ways to choose a server over a small, seeded fake of
// engines that is stepped in time. Nine gateways decide apart from each other,
// each with its own counts and with load reports that lag; a failure domain is
// lost in the middle. The table is in testdata/experiment.golden.

const (
	stepTime    = 10 * time.Millisecond // one step of the fake
	lagSteps    = 50                    // a report is up to half a second old
	gateways    = 9
	simSteps    = 9000 // 90 s
	lossStep    = 4500
	returnStep  = 6500
	prefillRate = 80  // prompt tokens an engine computes in a step
	batchFull   = 8   // requests that an engine serves at full speed
	stepsAToken = 3   // steps between two tokens at up to batchFull requests
	firstTarget = 320 // ms
	gapTarget   = 57  // ms
	hourly      = 1.0 // price of an engine
)

// shape is a users' load.
type shape struct {
	name       string
	engines    int
	rate       float64 // conversations a second
	turns      int
	prompt     int // tokens of the first prompt
	grow       int // tokens that a turn adds to the prompt
	answer     int // tokens of an answer
	cache      int // tokens that an engine's prefix cache holds
	workspaces []float64
}

var shapes = []shape{
	{name: "baton-rouge", engines: 9, rate: 2.4, turns: 5, prompt: 900, grow: 250, answer: 80, cache: 40000, workspaces: []float64{.45, .3, .15, .06, .04}},
	{name: "santiago", engines: 18, rate: 3.2, turns: 6, prompt: 1800, grow: 400, answer: 120, cache: 60000, workspaces: []float64{.4, .3, .2, .06, .04}},
}

// talk is a conversation.
type talk struct {
	id        uint64
	workspace int
	turn      int
	prompt    int
	due       int // due is the step of the next turn.
}

// task is one turn in an engine.
type task struct {
	talk    *talk
	gateway int
	sent    int
	prefill int
	made    int
	first   int
	phase   int
}

// box is a fake engine.
type box struct {
	tasks []*task
	cache map[uint64]int // cache is the tokens held, by conversation.
	order []uint64       // order is from the one used longest ago.
	used  int
	down  bool
}

func (b *box) touch(id uint64, tokens, limit int) {
	b.used += tokens - b.cache[id]
	b.cache[id] = tokens
	b.order = append(slices.DeleteFunc(b.order, func(o uint64) bool { return o == id }), id)
	for b.used > limit && len(b.order) > 1 {
		old := b.order[0]
		b.order = b.order[1:]
		b.used -= b.cache[old]
		delete(b.cache, old)
	}
}

// score is what a way came to.
type score struct {
	done, good          int
	prompted, prefilled int
	reclaimed           int // reclaimed are tokens computed again for answers that lost their engine.
	refused             int
	byWorkspace         [5][2]int
	first               []int
}

// run simulates one way on one shape.
func run(sh shape, c Chooser, reads int, seed uint64) score {
	rnd := rand.New(rand.NewPCG(seed, 7))
	w := newWorld(sh, c, rnd)
	w.reads = reads
	for step := range simSteps {
		w.step(step)
	}
	return w.score
}

type world struct {
	shape   shape
	chance  *rand.Rand
	choose  Chooser
	boxes   []*box
	servers [gateways][]state.Server
	views   [gateways]*state.View
	counts  [gateways][]int32
	talks   []*talk
	reads   int // reads is how many engines a gateway asks in a round; 0 means all.
	nextID  uint64
	score   score
}

func newWorld(sh shape, c Chooser, rnd *rand.Rand) *world {
	w := &world{shape: sh, chance: rnd, choose: c}
	for range sh.engines {
		w.boxes = append(w.boxes, &box{cache: map[uint64]int{}})
	}
	for g := range gateways {
		var servers []state.Server
		for i := range sh.engines {
			s := state.Server{Hash: mix(uint64(i + 1)), Counters: &state.Counters{}}
			s.ID, s.Kind, s.Domain = fmt.Sprintf("e%02d", i), protocol.InstanceEngine, fmt.Sprint("z", i%4)
			s.Report.Models = []string{"m"}
			servers = append(servers, s)
		}
		w.servers[g], w.views[g], w.counts[g] = servers, state.NewView(servers), make([]int32, sh.engines)
	}
	return w
}

func (w *world) step(step int) {
	switch step {
	case lossStep:
		w.lose(step)
	case returnStep:
		w.setDown(false)
	}
	w.report(step)
	w.arrive(step)
	for i, b := range w.boxes {
		w.work(i, b, step)
	}
}

// setDown takes the domain z0 away or brings it back, empty.
func (w *world) setDown(down bool) {
	for i, b := range w.boxes {
		if i%4 != 0 {
			continue
		}
		b.down = down
		b.cache, b.order, b.used = map[uint64]int{}, nil, 0
		for g := range gateways {
			w.servers[g][i].Leaving = down
		}
	}
	for g := range gateways {
		w.views[g] = state.NewView(w.servers[g])
	}
}

// lose loses the domain without notice: its answers resume elsewhere.
func (w *world) lose(step int) {
	var lost []*task
	for i, b := range w.boxes {
		if i%4 == 0 {
			for _, t := range b.tasks {
				w.counts[t.gateway][i]--
			}
			lost = append(lost, b.tasks...)
			b.tasks = nil
		}
	}
	w.setDown(true)
	for _, t := range lost {
		if i := w.pick(t); i >= 0 {
			w.place(t, i, t.made)
			w.score.reclaimed += t.prefill
		}
	}
	_ = step
}

// report refreshes each gateway's reports at times of its own.
func (w *world) report(step int) {
	for g := range gateways {
		if (step+g*7)%lagSteps != 0 {
			continue
		}
		now := time.Unix(0, 0).Add(time.Duration(step+1) * stepTime)
		most := w.reads
		if most == 0 {
			most = len(w.boxes)
		}
		for _, i := range poll.Plan(w.views[g], most) {
			b, s := w.boxes[i], &w.servers[g][i]
			s.AskedAt, s.ReportAt, s.SentAt = now, now, s.Counters.Sent.Load()
			s.Report.Running = min(len(b.tasks), batchFull)
			s.Report.Waiting = max(0, len(b.tasks)-batchFull)
			s.Report.KVUsed = float64(b.used) / float64(w.shape.cache)
			s.OwnAt = w.counts[g][i]
		}
		for i := range w.servers[g] {
			w.servers[g][i].Old = now.Sub(w.servers[g][i].ReportAt) > 2*time.Second
		}
		w.views[g] = state.NewView(w.servers[g])
	}
}

func (w *world) arrive(step int) {
	if w.chance.Float64() < w.shape.rate*stepTime.Seconds() {
		w.nextID++
		t := &talk{id: mix(w.nextID), prompt: w.shape.prompt, due: step, workspace: w.draw()}
		w.talks = append(w.talks, t)
	}
	for _, t := range w.talks {
		if t.due == step {
			w.send(t, step)
		}
	}
}

func (w *world) draw() int {
	x := w.chance.Float64()
	for i, part := range w.shape.workspaces {
		if x -= part; x < 0 {
			return i
		}
	}
	return 0
}

func (w *world) send(t *talk, step int) {
	k := &task{talk: t, gateway: w.chance.IntN(gateways), sent: step, first: -1}
	w.score.prompted += t.prompt
	i := w.pick(k)
	if i < 0 {
		w.score.refused++
		t.due = step + 100 // It comes back after a second.
		return
	}
	w.place(k, i, 0)
}

func (w *world) pick(k *task) int {
	m := ChooseMsg{Model: "m", Prefix: k.talk.id, Rand: w.chance.Uint64()}
	i, err := w.choose.Choose(w.views[k.gateway], w.counts[k.gateway], m)
	if err != nil {
		return -1
	}
	return i
}

// place puts a task into an engine, which computes what its cache lacks.
func (w *world) place(k *task, i, made int) {
	b := w.boxes[i]
	k.prefill = max(0, k.talk.prompt+made-b.cache[k.talk.id])
	w.score.prefilled += k.prefill
	b.touch(k.talk.id, k.talk.prompt, w.shape.cache)
	b.tasks = append(b.tasks, k)
	w.counts[k.gateway][i]++
	w.servers[k.gateway][i].Counters.Sent.Add(1)
}

// work lets an engine compute for one step: the prompts first come first
// served, and for each task up to batchFull a token now and then.
func (w *world) work(i int, b *box, step int) {
	budget := prefillRate
	every := stepsAToken * max(1, (len(b.tasks)+batchFull-1)/batchFull)
	for _, k := range b.tasks {
		if k.prefill > 0 {
			n := min(budget, k.prefill)
			k.prefill -= n
			budget -= n
			continue
		}
		if k.phase++; k.phase%every != 0 {
			continue
		}
		if k.made++; k.first < 0 {
			k.first = step
		}
	}
	b.tasks = slices.DeleteFunc(b.tasks, func(k *task) bool {
		if k.made < w.shape.answer {
			return false
		}
		w.counts[k.gateway][i]--
		w.finish(k, b, step)
		return true
	})
}

func (w *world) finish(k *task, b *box, step int) {
	t := k.talk
	first := (k.first - k.sent) * int(stepTime.Milliseconds())
	gap := float64(step-k.first) * float64(stepTime.Milliseconds()) / float64(w.shape.answer-1)
	w.score.done++
	w.score.first = append(w.score.first, first)
	w.score.byWorkspace[t.workspace][0]++
	if first <= firstTarget && gap <= gapTarget {
		w.score.good++
		w.score.byWorkspace[t.workspace][1]++
	}
	t.turn++
	t.prompt += w.shape.answer + w.shape.grow
	b.touch(t.id, t.prompt-w.shape.grow, w.shape.cache)
	t.due = -1
	if t.turn < w.shape.turns {
		t.due = step + 100 + w.chance.IntN(400)
	}
}

// row is the summary of one way over the seeds.
func row(sh shape, name string, c Chooser, reads, seeds int) string {
	var within, cost, again, reclaimed, slowest, p95 []float64
	for seed := range uint64(seeds) {
		s := run(sh, c, reads, seed)
		within = append(within, 100*float64(s.good)/float64(s.done+s.refused))
		hours := float64(sh.engines) * simSteps * stepTime.Hours()
		cost = append(cost, 1e6*hours*hourly/float64(max(1, s.good)))
		again = append(again, 100*float64(s.prefilled)/float64(s.prompted))
		reclaimed = append(reclaimed, float64(s.reclaimed))
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
	for _, list := range [][]float64{within, p95, cost, again, reclaimed, slowest} {
		slices.Sort(list)
		cells = append(cells, fmt.Sprintf("%7.1f (%.1f-%.1f)", list[len(list)/2], list[0], list[len(list)-1]))
	}
	return "| " + strings.Join(cells, " | ") + " |\n"
}

// TestExperiment prints the table and compares it with the one that the docs
// quote.
func TestExperiment(t *testing.T) {
	const seeds = 7
	var out strings.Builder
	for _, sh := range shapes {
		fmt.Fprintf(&out, "### %s: %d engines, 4 failure domains, 9 gateways, %d seeds, median (least-most)\n\n", sh.name, sh.engines, seeds)
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
			out.WriteString(row(sh, w.name, w.c, w.reads, seeds))
		}
		out.WriteString("\n")
	}
	t.Log("\n" + out.String())
	goldie.New(t).Assert(t, "experiment", []byte(out.String()))
}
