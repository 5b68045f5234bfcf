package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/weldstream/weldstream/platform/standin"
)

// Result is how a run went.
type Result struct {
	Sent           int
	Served         int
	Completed      int // Completed and RolledBack are how roll-outs ended.
	RolledBack     int
	ServersCrashed int // ServersCrashed are servers that ended under requests.
	LimitsChecked  int // LimitsChecked are how many were named for long enough to be checked.
	Moved          int // Moved are running answers that went on at another server.
	Breaches       []string
}

const (
	// readyTime bounds the first start and the recovery at the end.
	readyTime = 40 * time.Second
	// clientsEach is how many callers each gateway has.
	clientsEach = 3
	askPause    = 15 * time.Millisecond
	putPause    = 300 * time.Millisecond
)

// Run plays a plan on a cluster and returns what was broken. The error is for a
// cluster that could not be set up.
func Run(c *Cluster, p Plan) (Result, error) {
	k := NewChecker(c.Record)
	o := NewOperator(c, k)
	c.prepare(p)
	if err := c.Start(); err != nil {
		return Result{}, err
	}
	if !o.first() {
		return Result{}, fmt.Errorf("no configuration was taken within %v", readyTime)
	}
	if err := c.Founded(); err != nil {
		return Result{}, err
	}
	r := &run{cluster: c, checker: k, operator: o}
	ctx, cancel := context.WithCancel(context.Background())
	var load sync.WaitGroup
	for g := range c.Size.Gateways {
		for i := range clientsEach {
			load.Go(func() { r.ask(ctx, g, fmt.Sprintf("%d-%d", g, i), p.Seed) })
		}
	}
	for g := range c.Size.Gateways {
		load.Go(func() { r.askSlowly(ctx, g) })
	}
	load.Go(func() { r.operate(ctx) })
	rollouts := NewRollouts(c, k)
	ordering, stopOrders := context.WithCancel(ctx)
	var ordered sync.WaitGroup
	crashes := func() int { return 0 }
	if p.Crashes {
		crashes = c.letCrash()
		r.crash(ctx, &load)
	}
	words := talkers{}
	if p.Words {
		words.talk(ordering, c, p.Seed)
	}
	if !p.Reclaims && !p.Crashes && !p.Words {
		ordered.Go(func() { rollouts.run(ordering, p.Seed) })
	}
	r.play(p)
	if p.Crashes {
		r.calm()
	}
	stopOrders()
	ordered.Wait() // A version is judged by the callers' requests, so these go on until then.
	cancel()
	load.Wait()
	ended := crashes()
	overLimits, limits := words.breaches()
	r.recover()
	k.Finish()
	rollouts.Finish()
	return Result{Sent: len(k.asks), Served: k.Served(), Completed: rollouts.Completed, RolledBack: rollouts.RolledBack, Moved: c.Record.Moved(), ServersCrashed: ended, LimitsChecked: limits,
		Breaches: slices.Concat(k.Breaches(), c.API.Breaches(), c.Record.Breaches(), overLimits)}, nil
}

// first has the first configuration taken, which opens the day.
func (o *Operator) first() bool {
	for end := time.Now().Add(readyTime); time.Now().Before(end); time.Sleep(askPause) {
		if o.Put(1) {
			return true
		}
	}
	return false
}

// run is one run of a plan.
type run struct {
	cluster  *Cluster
	checker  *Checker
	operator *Operator
	faults   sync.WaitGroup
	reclaims sync.Mutex // reclaims is held while a server is taken away.
}

// paths are of the four kinds of requests.
var paths = []Ask{
	{Path: "/once/x", Once: true},
	{Path: "/again/x"},
	{Path: "/stream/again/x", Stream: true},
	{Path: "/stream/once/x", Stream: true, Once: true},
}

// ask is one caller, which keeps its connection for as long as it is open.
func (r *run) ask(ctx context.Context, g int, name string, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, uint64(len(name)+g)))
	c := standin.NewClient(r.cluster.Callers()[g])
	defer c.Close()
	for n := 0; ctx.Err() == nil; n++ {
		a := paths[rnd.IntN(len(paths))]
		a.ID = fmt.Sprintf("%s-%d", name, n)
		r.checker.Note(a, c.Ask(a.ID, a.Path))
		time.Sleep(askPause)
	}
}

// slowAsks are of callers and servers that take their time: an answer of 320 KB that is
// read at 80 KB a second at first, a body of 64 KB that comes in pieces, and one that
// never ends.
var slowAsks = []struct {
	ask  Ask
	slow standin.Pacing
}{
	{Ask{Path: "/again/large", Large: true, Pad: 5 << 10}, standin.Pacing{Pause: eventPause, ChunkSize: 2 << 10, Padding: 5 << 10}},
	{Ask{Path: "/once/x", Once: true, Pad: 64 << 10}, standin.Pacing{Pause: bodyPause, ChunkSize: 4 << 10, Padding: 64 << 10}},
	{Ask{Path: "/once/x", Once: true, Halted: true, Pad: 64 << 10}, standin.Pacing{Pause: bodyPause, ChunkSize: 8 << 10, Padding: 64 << 10, Abort: true}},
	{Ask{Path: "/stream/again/x", Stream: true}, standin.Pacing{Pause: eventPause, ChunkSize: 16}},
}

// askSlowly is one caller that takes its time.
func (r *run) askSlowly(ctx context.Context, g int) {
	for n := g; ctx.Err() == nil; n++ {
		s := slowAsks[n%len(slowAsks)]
		s.ask.ID = fmt.Sprintf("slow-%d-%d", g, n)
		r.checker.Note(s.ask, standin.AskPaced(r.cluster.Callers()[g], s.ask.ID, s.ask.Path, s.slow))
		time.Sleep(askPause)
	}
}

// operate sends configurations, each until it is acknowledged, and reads back.
func (r *run) operate(ctx context.Context) {
	for n := uint64(2); ctx.Err() == nil; n++ {
		for ctx.Err() == nil && !r.operator.Put(n) {
			time.Sleep(askPause)
		}
		r.operator.Get(int(n))
		time.Sleep(putPause)
	}
}

// play carries the steps out at their times.
func (r *run) play(p Plan) {
	began := time.Now()
	for _, s := range p.Steps {
		time.Sleep(time.Until(began.Add(s.At)))
		r.faults.Go(func() { r.harm(s) })
	}
	time.Sleep(time.Until(began.Add(p.Length)))
	r.faults.Wait()
}

func (r *run) harm(s Step) {
	c := r.cluster
	switch s.Fault {
	case FaultKill, FaultPause, FaultStop, FaultReload:
		r.harmProcess(c.procs[s.Index], s)
	case FaultRegion, FaultApart:
		r.harmRegion(s)
	case FaultWipe:
		r.harmDisk(c.procs[s.Index], (*Proc).Wipe, s.For)
	case FaultDamage:
		r.harmDisk(c.procs[s.Index], (*Proc).Damage, s.For)
	case FaultLink:
		for _, proxy := range c.proxies[2*s.Index : 2*s.Index+2] {
			proxy.Set(s.Link)
			defer proxy.Set(LinkGood)
		}
		time.Sleep(s.For)
	case FaultServer:
		c.servers[s.Index].Set(s.Link)
		time.Sleep(s.For)
		c.servers[s.Index].Set(LinkGood)
	case FaultReset:
		c.servers[s.Index].Reset()
		c.proxies[s.Index%len(c.proxies)].Reset()
	case FaultReplies:
		c.Backends[s.Index].SetFaults(standin.Faults{Shed: 5, Fail: 7, Lose: 9, Break: 3})
		time.Sleep(s.For)
		c.Backends[s.Index].SetFaults(standin.Faults{})
	case FaultReclaim:
		r.reclaim(c.Backends[s.Index], s.For)
	case FaultAPI:
		c.API.SetDown(true)
		time.Sleep(s.For)
		c.API.SetDown(false)
	}
}

// harmDisk has a control instance come back with another data folder.
func (r *run) harmDisk(p *Proc, harm func(*Proc) error, after time.Duration) {
	p.Kill()
	r.note(harm(p))
	time.Sleep(after)
	r.note(p.Start())
}

func (r *run) harmProcess(p *Proc, s Step) {
	switch s.Fault {
	case FaultPause:
		_ = p.Signal(syscall.SIGSTOP)
		time.Sleep(s.For)
		_ = p.Signal(syscall.SIGCONT)
		return
	case FaultReload:
		_ = p.Signal(syscall.SIGHUP)
		return
	case FaultStop:
		if err := p.Stop(); err != nil {
			r.checker.breach("%s stopped with %v", p.Name, err)
		}
	default:
		p.Kill()
	}
	time.Sleep(s.For)
	r.note(p.Start())
}

// note keeps an error of the soak's own as a breach: the run shows nothing then.
func (r *run) note(err error) {
	if err != nil {
		r.checker.breach("soak: %v", err)
	}
}

// recover checks that everything works again once nothing is harmed: each
// gateway serves each kind of request, and the configuration is read back.
func (r *run) recover() {
	for _, p := range r.cluster.procs {
		if err, died := p.Died(); died {
			r.checker.breach("%s ended by itself: %v", p.Name, err)
		}
	}
	end := time.Now().Add(readyTime)
	for g, address := range r.cluster.Callers() {
		for i, a := range paths {
			if !r.until(end, func(n int) bool {
				c := standin.NewClient(address)
				defer c.Close()
				a.ID = fmt.Sprintf("end-%d-%d-%d", g, i, n)
				reply := c.Ask(a.ID, a.Path)
				r.checker.Note(a, reply)
				return reply.Complete && reply.Status == 200
			}) {
				r.checker.breach("%s at gateway %d does not come back", a.Path, g)
			}
		}
	}
	for i := range r.cluster.Operators() {
		if !r.until(end, func(int) bool { return r.operator.Get(i) }) {
			r.checker.breach("control instance %d reads nothing back", i)
		}
	}
}

func (r *run) until(end time.Time, done func(n int) bool) bool {
	for n := 0; time.Now().Before(end); n++ {
		if done(n) {
			return true
		}
		time.Sleep(askPause)
	}
	return false
}

const (
	// eventPause is between two pieces that a slow caller takes: an answer then lasts some
	// tenths of a second, so that faults meet it.
	eventPause = 10 * time.Millisecond
	// bodyPause is between two pieces of a body that a slow caller sends: 64 KB then take
	// about as long.
	bodyPause = 5 * time.Millisecond
)
