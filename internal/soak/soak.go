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

// Result is the outcome of a run.
type Result struct {
	Sent           int
	Served         int
	Completed      int // Completed and RolledBack count roll-outs by their final state.
	RolledBack     int
	ServersCrashed int // ServersCrashed counts servers that crashed under requests.
	Falls          int // Falls counts how often brittle servers fell over.
	LimitsChecked  int // LimitsChecked counts rate limits that were in force long enough to be checked.
	Moved          int // Moved counts running answers that continued on another server.
	Streams        StreamCounts
	Breaches       []string
}

const (
	// readyTimeout bounds the first start and the recovery at the end.
	readyTimeout = 40 * time.Second
	// clientsPerGateway is the number of callers at each gateway.
	clientsPerGateway = 3
	requestPause      = 15 * time.Millisecond
	putPause          = 300 * time.Millisecond
)

// Run executes a plan on a cluster and returns the guarantees that were broken. The error
// is for a cluster that could not be set up.
func Run(c *Cluster, p Plan) (Result, error) {
	k := NewChecker(c.Record)
	o := NewOperator(c, k)
	c.prepareReclaims(p)
	c.prepareStreams(p)
	if err := c.Start(); err != nil {
		return Result{}, err
	}
	if !o.putFirst() {
		return Result{}, fmt.Errorf("no configuration was taken within %v", readyTimeout)
	}
	if err := c.DisableFounding(); err != nil {
		return Result{}, err
	}
	r := &run{cluster: c, checker: k, operator: o}
	ctx, cancel := context.WithCancel(context.Background())
	var load sync.WaitGroup
	r.startLoad(ctx, &load, p.Seed)
	rollouts := NewRollouts(c, k)
	ordering, stopOrders := context.WithCancel(ctx)
	d := r.startDisturbances(ctx, ordering, &load, p)
	var ordered sync.WaitGroup
	if !p.replacesRollouts() {
		ordered.Go(func() { rollouts.run(ordering, p.Seed) })
	}
	r.play(p)
	if p.Crashes {
		r.checkQuarantine()
	}
	if p.Parts {
		d.parts.check(r)
	}
	c.acceptAll()
	stopOrders()
	ordered.Wait() // A version is judged by the callers' requests, so they continue until the roll-outs end.
	cancel()
	load.Wait()
	counts, ended := d.streams.finish(), d.crashes()
	fallen := d.brittle.breaches()
	overLimits, limits := d.pressure.breaches()
	r.checkRecovery()
	k.Finish()
	rollouts.Finish()
	return Result{Sent: len(k.requests), Served: k.Served(), Completed: rollouts.Completed, RolledBack: rollouts.RolledBack, Moved: c.Record.Moved(), ServersCrashed: ended, Falls: d.brittle.falls, LimitsChecked: limits, Streams: counts,
		Breaches: slices.Concat(k.Breaches(), c.API.Breaches(), c.Record.Breaches(), overLimits, c.retryBudgetBreaches(p), fallen)}, nil
}

// replacesRollouts reports whether a kind of disturbance leaves no room for roll-outs.
func (p Plan) replacesRollouts() bool {
	return p.Streams || p.Reclaims || p.Crashes || p.Parts || p.Backpressure || p.Restarts || p.Brittle
}

// disturbances are what a plan does beside its steps.
type disturbances struct {
	crashes  func() int // crashes ends the replacement of crashed servers and returns their number.
	pressure backpressure
	brittle  brittlePeriods
	streams  markedStreams
	parts    crashingParts
}

// startDisturbances starts what the plan does beside its steps. The requests that crash servers end
// with ctx, everything else with ordering.
func (r *run) startDisturbances(ctx, ordering context.Context, load *sync.WaitGroup, p Plan) *disturbances {
	c := r.cluster
	d := &disturbances{crashes: func() int { return 0 }, streams: markedStreams{cluster: c, checker: r.checker}}
	if p.Crashes || p.Parts {
		d.crashes = c.enableCrashes()
	}
	if p.Crashes {
		r.startCrashRequests(ctx, load)
	}
	if p.Parts {
		d.parts.start(ctx, r, load)
	}
	if p.Backpressure {
		d.pressure.start(ordering, c, p.Seed)
	}
	if p.Brittle {
		d.brittle.start(ordering, c, p.Seed)
	}
	if p.Streams {
		d.streams.start(ordering, p.Seed)
	}
	if p.Restarts {
		c.rejectMost()
	}
	return d
}

// startLoad starts the callers and the operator, who go on until ctx ends.
func (r *run) startLoad(ctx context.Context, load *sync.WaitGroup, seed uint64) {
	for g := range r.cluster.Size.Gateways {
		for i := range clientsPerGateway {
			load.Go(func() { r.sendRequests(ctx, g, fmt.Sprintf("%d-%d", g, i), seed) })
		}
		load.Go(func() { r.sendPacedRequests(ctx, g) })
	}
	load.Go(func() { r.runOperator(ctx) })
}

// putFirst sends the first configuration until it is accepted or readyTimeout has passed.
func (o *Operator) putFirst() bool {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(requestPause) {
		if o.Put(1) {
			return true
		}
	}
	return false
}

// run is one execution of a plan.
type run struct {
	cluster  *Cluster
	checker  *Checker
	operator *Operator
	faults   sync.WaitGroup
	reclaims sync.Mutex // reclaims is held while a server is taken away.
	restarts sync.Mutex // restarts is held while all gateways are started again.
}

// requestKinds are the four kinds of requests.
var requestKinds = []Request{
	{Path: "/once/x", AtMostOnce: true},
	{Path: "/again/x"},
	{Path: "/stream/again/x", Stream: true},
	{Path: "/stream/once/x", Stream: true, AtMostOnce: true},
}

// sendRequests is one caller, which keeps its connection for as long as it is open.
func (r *run) sendRequests(ctx context.Context, g int, name string, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, uint64(len(name)+g)))
	c := standin.NewClient(r.cluster.Callers()[g])
	defer c.Close()
	for n := 0; ctx.Err() == nil; n++ {
		a := requestKinds[rnd.IntN(len(requestKinds))]
		a.ID = fmt.Sprintf("%s-%d", name, n)
		r.checker.Observe(a, c.Ask(a.ID, a.Path))
		time.Sleep(requestPause)
	}
}

// pacedRequests come from slow callers or go to slow servers: an answer of 320 KB that is
// read at 80 KB a second at first, a body of 64 KB that is sent in parts, and a body that
// never ends.
var pacedRequests = []struct {
	request Request
	pacing  standin.Pacing
}{
	{Request{Path: "/again/large", LargeReply: true, Padding: 5 << 10}, standin.Pacing{Pause: eventPause, ChunkSize: 2 << 10, Padding: 5 << 10}},
	{Request{Path: "/once/x", AtMostOnce: true, Padding: 64 << 10}, standin.Pacing{Pause: bodyPause, ChunkSize: 4 << 10, Padding: 64 << 10}},
	{Request{Path: "/once/x", AtMostOnce: true, AbortedBody: true, Padding: 64 << 10}, standin.Pacing{Pause: bodyPause, ChunkSize: 8 << 10, Padding: 64 << 10, Abort: true}},
	{Request{Path: "/stream/again/x", Stream: true}, standin.Pacing{Pause: eventPause, ChunkSize: 16}},
}

// sendPacedRequests is one slow caller.
func (r *run) sendPacedRequests(ctx context.Context, g int) {
	for n := g; ctx.Err() == nil; n++ {
		s := pacedRequests[n%len(pacedRequests)]
		s.request.ID = fmt.Sprintf("slow-%d-%d", g, n)
		r.checker.Observe(s.request, standin.AskPaced(r.cluster.Callers()[g], s.request.ID, s.request.Path, s.pacing))
		time.Sleep(requestPause)
	}
}

// runOperator sends configurations, each until it is acknowledged, and reads them back.
func (r *run) runOperator(ctx context.Context) {
	for n := uint64(2); ctx.Err() == nil; n++ {
		for ctx.Err() == nil && !r.operator.Put(n) {
			time.Sleep(requestPause)
		}
		r.operator.Get(int(n))
		time.Sleep(putPause)
	}
}

// play applies the steps at their times.
func (r *run) play(p Plan) {
	began := time.Now()
	for _, s := range p.Steps {
		time.Sleep(time.Until(began.Add(s.At)))
		r.faults.Go(func() { r.applyFault(s) })
	}
	time.Sleep(time.Until(began.Add(p.Length)))
	r.faults.Wait()
}

func (r *run) applyFault(s Step) {
	c := r.cluster
	switch s.Fault {
	case FaultKill, FaultPause, FaultStop, FaultReload:
		r.applyProcessFault(c.procs[s.Index], s)
	case FaultRegion, FaultPartition:
		r.applyRegionFault(s)
	case FaultWipe:
		r.restartWithDiskFault(c.procs[s.Index], (*Proc).Wipe, s.For)
	case FaultDamage:
		r.restartWithDiskFault(c.procs[s.Index], (*Proc).Damage, s.For)
	case FaultLink:
		for _, proxy := range c.controlProxies[2*s.Index : 2*s.Index+2] {
			proxy.Set(s.Link)
			defer proxy.Set(LinkGood)
		}
		time.Sleep(s.For)
	case FaultServer:
		c.backendProxies[s.Index].Set(s.Link)
		time.Sleep(s.For)
		c.backendProxies[s.Index].Set(LinkGood)
	case FaultReset:
		c.backendProxies[s.Index].Reset()
		c.controlProxies[s.Index%len(c.controlProxies)].Reset()
	case FaultReplies:
		c.Backends[s.Index].SetFaults(standin.Faults{Shed: 5, Fail: 7, Lose: 9, Break: 3})
		time.Sleep(s.For)
		c.Backends[s.Index].SetFaults(standin.Faults{})
	case FaultReclaim:
		r.reclaim(c.Backends[s.Index], s.For)
	case FaultRestart:
		r.restartGateways(s.Index != 0, s.For)
	case FaultCutOff:
		restore := c.CutOff(s.Index)
		time.Sleep(s.For)
		restore()
	case FaultAPI:
		c.API.SetDown(true)
		time.Sleep(s.For)
		c.API.SetDown(false)
	}
}

// restartWithDiskFault kills a control instance, changes its data directory and starts it
// again.
func (r *run) restartWithDiskFault(p *Proc, harm func(*Proc) error, after time.Duration) {
	p.Kill()
	r.reportError(harm(p))
	time.Sleep(after)
	r.reportError(p.Start())
}

func (r *run) applyProcessFault(p *Proc, s Step) {
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
	r.reportError(p.Start())
}

// reportError reports an error of the soak run itself as a breach, since the run then
// proves nothing.
func (r *run) reportError(err error) {
	if err != nil {
		r.checker.breach("soak: %v", err)
	}
}

// checkRecovery checks that everything works again after the faults: each gateway serves
// each kind of request, and every control instance returns the configuration.
func (r *run) checkRecovery() {
	for _, p := range r.cluster.procs {
		if err, died := p.Exited(); died {
			r.checker.breach("%s ended by itself: %v", p.Name, err)
		}
	}
	end := time.Now().Add(readyTimeout)
	for g, address := range r.cluster.Callers() {
		for i, a := range requestKinds {
			if !r.retryUntil(end, func(n int) bool {
				c := standin.NewClient(address)
				defer c.Close()
				a.ID = fmt.Sprintf("end-%d-%d-%d", g, i, n)
				reply := c.Ask(a.ID, a.Path)
				r.checker.Observe(a, reply)
				return reply.Complete && reply.Status == 200
			}) {
				r.checker.breach("%s at gateway %d does not come back", a.Path, g)
			}
		}
	}
	for i := range r.cluster.Operators() {
		if !r.retryUntil(end, func(int) bool { return r.operator.Get(i) }) {
			r.checker.breach("control instance %d reads nothing back", i)
		}
	}
}

func (r *run) retryUntil(end time.Time, done func(n int) bool) bool {
	for n := 0; time.Now().Before(end); n++ {
		if done(n) {
			return true
		}
		time.Sleep(requestPause)
	}
	return false
}

const (
	// eventPause is the pause between two parts of an answer that a slow caller reads: an
	// answer then lasts some tenths of a second, so that faults hit it.
	eventPause = 10 * time.Millisecond
	// bodyPause is the pause between two parts of a body that a slow caller sends: 64 KB then
	// take about as long.
	bodyPause = 5 * time.Millisecond
)
