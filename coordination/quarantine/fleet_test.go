package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/state"
)

// The load that decides, in a world without network: a service of eighteen servers before nine gateways, as the
// smallest deployment with many servers has, with requests that end servers and come as
// often as twenty times a second at any gateway. Three in four other requests are there
// once; each fifth has a body that others have too. Servers also end by themselves, half
// of them at once. The leader changes, and messages to it are lost.
const (
	fleetStep = 10 * time.Millisecond
	fleetTime = 40 * time.Second
	// fleetCalm is for how long nothing ends before that.
	fleetCalm    = 4 * time.Second
	fleetServers = 18
	fleetGates   = 9
	// fleetSync is between two questions of a gateway, and fleetSoon how long behind a
	// server's end it asks.
	fleetSync = 150 * time.Millisecond
	fleetSoon = 30 * time.Millisecond
	// fleetKnown is within what all gateways know, and fleetLater how often a request may
	// be sent after that: the users' bound.
	fleetKnown = 3 * time.Second
	fleetLater = 3
)

// fleetRun is a request at a server.
type fleetRun struct {
	r    *fleetRequest
	gate int
	sent time.Time
	ends time.Time // ends is when it ends well, or the server under it.
}

// fleetRequest is one send of a caller.
type fleetRequest struct {
	print    protocol.Fingerprint
	poison   int // poison is the number of a request that ends servers; -1 for others.
	attempts int
	again    int // again is how often its caller sends it again.
}

type fleetServer struct {
	id   string
	up   time.Time // up is from when on it serves.
	runs []*fleetRun
}

type fleetGate struct {
	name  string
	gate  *Filter
	askAt time.Time
}

// fleet is the simulated world.
type fleet struct {
	rnd     *rand.Rand
	now     time.Time
	servers []*fleetServer
	gates   []*fleetGate
	keeper  *Coordinator
	term    uint64
	away    time.Time // away is until when nobody leads.
	log     *state.Machine

	ended    map[int][]time.Time // ended are the servers' ends by the number of the request.
	arrivals map[int][]time.Time
	unstable []time.Time
	count    int
	asked    int
	refused  int
	harmless int // harmless are requests refused that do no harm.
}

func newFleet(seed uint64) *fleet {
	f := &fleet{rnd: rand.New(rand.NewPCG(seed, seed)), now: day, keeper: NewCoordinator(), term: 1, log: state.NewMachine(), ended: map[int][]time.Time{}, arrivals: map[int][]time.Time{}}
	for range fleetServers {
		f.servers = append(f.servers, f.server(f.now))
	}
	for i := range fleetGates {
		f.gates = append(f.gates, &fleetGate{
			name:  fmt.Sprint("gateway-", i),
			gate:  NewFilter(fmt.Sprint("gateway-", i), f.now),
			askAt: f.now.Add(f.upTo(fleetSync)),
		})
	}
	return f
}

func (f *fleet) server(up time.Time) *fleetServer {
	f.count++
	return &fleetServer{id: fmt.Sprint("server-", f.count), up: up}
}

func (f *fleet) upTo(d time.Duration) time.Duration { return time.Duration(f.rnd.Int64N(int64(d))) }

// send has a gateway send a request to a server that is up.
func (f *fleet) send(r *fleetRequest, gate int) {
	if f.gates[gate].passage(r.print, f.now).Held {
		f.refused++
		if r.poison < 0 {
			f.harmless++
		}
		return
	}
	var up []*fleetServer
	for _, s := range f.servers {
		if !f.now.Before(s.up) {
			up = append(up, s)
		}
	}
	if len(up) == 0 {
		return
	}
	r.attempts--
	s := up[f.rnd.IntN(len(up))]
	run := &fleetRun{r: r, gate: gate, sent: f.now}
	if r.poison >= 0 {
		f.arrivals[r.poison] = append(f.arrivals[r.poison], f.now)
		run.ends = f.now.Add(50*time.Millisecond + f.upTo(150*time.Millisecond))
	} else {
		run.ends = f.now.Add(100*time.Millisecond + f.upTo(1400*time.Millisecond))
	}
	s.runs = append(s.runs, run)
}

// passage asks a gateway whether it sends a request on.
func (g *fleetGate) passage(p protocol.Fingerprint, now time.Time) Decision {
	return g.gate.Check(p.Quick, func() protocol.Fingerprint { return p }, true, false, now)
}

// end ends a server with all that runs there, and has another one come.
func (f *fleet) end(i int) {
	s := f.servers[i]
	f.servers[i] = f.server(f.now.Add(time.Second + f.upTo(4*time.Second)))
	byGate := map[int][]protocol.ObservedRun{}
	for _, run := range s.runs {
		byGate[run.gate] = append(byGate[run.gate], protocol.ObservedRun{Fingerprint: run.r.print, Age: f.now.Sub(run.sent)})
	}
	for gate, runs := range byGate {
		g := f.gates[gate]
		g.gate.RecordCrash(s.id, runs, f.now)
		g.askAt = minTime(g.askAt, f.now.Add(fleetSoon))
	}
	for _, run := range s.runs {
		if run.r.attempts > 0 {
			f.send(run.r, run.gate)
		} else if run.r.again > 0 {
			next := *run.r
			next.again, next.attempts = run.r.again-1, 2
			f.send(&next, f.rnd.IntN(fleetGates))
		}
	}
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// work has what runs at servers go on.
func (f *fleet) work() {
	for i, s := range f.servers {
		var left []*fleetRun
		ends := -1
		for _, run := range s.runs {
			switch {
			case f.now.Before(run.ends):
				left = append(left, run)
			case run.r.poison >= 0:
				ends = run.r.poison
				left = append(left, run)
			default:
				f.gates[run.gate].gate.RecordSuccess(run.r.print.Quick, func() protocol.Fingerprint { return run.r.print }, f.now)
			}
		}
		s.runs = left
		if ends >= 0 {
			f.ended[ends] = append(f.ended[ends], f.now)
			f.end(i)
		}
	}
}

// lead has the leader decide, and gateways ask it.
func (f *fleet) lead() {
	if f.now.Before(f.away) {
		return
	}
	if f.now.UnixMilli()%100 == 0 {
		m := f.keeper.Decide(f.logged(), f.now, f.now)
		f.log.Apply(&protocol.Command{At: f.now.UnixMilli(), Quarantine: &m})
	}
	for _, g := range f.gates {
		if f.now.Before(g.askAt) {
			continue
		}
		g.askAt = f.now.Add(fleetSync)
		f.ask(g)
	}
}

// ask has a gateway ask the leader; a tenth of the questions and of the answers are lost.
func (f *fleet) ask(g *fleetGate) {
	list := g.gate.Report(f.term, f.now)
	known, mark := g.gate.SyncState()
	if f.rnd.IntN(10) == 0 {
		return
	}
	f.keeper.AddObservations(g.name, list, func(string) bool { return false }, f.now)
	news, watch := f.logged().UpdateSince(known), protocol.NewWatchUpdate(f.keeper.Watched(), mark)
	if f.rnd.IntN(10) == 0 {
		return
	}
	g.gate.Acknowledged(f.term, list)
	g.gate.ApplyUpdate(news, watch, f.now)
}

func (f *fleet) logged() *protocol.QuarantineLog {
	l := f.log.QuarantineLog()
	return &l
}

// nextLeader has another leader take over after a while.
func (f *fleet) nextLeader() {
	f.away = f.now.Add(200*time.Millisecond + f.upTo(400*time.Millisecond))
	f.term++
	f.keeper = NewCoordinator()
	f.unstable = append(f.unstable, f.now)
}

// later returns how often a request was sent that had ended three servers long enough
// before, while the gateways were in touch.
func (f *fleet) later(poison int) int {
	if len(f.ended[poison]) < 3 {
		return 0
	}
	known, n := f.ended[poison][2].Add(fleetKnown), 0
	for _, at := range f.arrivals[poison] {
		inTouch := true
		for _, u := range f.unstable {
			inTouch = inTouch && (at.Before(u) || at.After(u.Add(fleetKnown)))
		}
		if at.After(known) && inTouch {
			n++
		}
	}
	return n
}

// play plays a plan.
func (f *fleet) play(p fleetPlan) {
	next := make([]time.Time, len(p.periods))
	for i := range next {
		next[i] = f.now.Add(fleetCalm + f.upTo(2*time.Second))
	}
	for end := f.now.Add(fleetTime); f.now.Before(end); f.now = f.now.Add(fleetStep) {
		f.work()
		f.lead()
		for i, period := range p.periods {
			for !f.now.Before(next[i]) {
				next[i] = next[i].Add(period/2 + f.upTo(period))
				for range p.copies[i] {
					f.send(&fleetRequest{print: named(fmt.Sprint("poison-", i)), poison: i, attempts: p.attempts}, f.rnd.IntN(fleetGates))
				}
			}
		}
		for range 2 { // 200 requests a second.
			f.asked++
			name := fmt.Sprint("once-", f.asked)
			if f.asked%5 == 0 {
				name = fmt.Sprint("shared-", f.rnd.IntN(4))
			}
			f.send(&fleetRequest{print: named(name), poison: -1, attempts: 2, again: 1}, f.rnd.IntN(fleetGates))
		}
		if p.storms > 0 && f.rnd.Int64N(int64(fleetTime/fleetStep)) < int64(p.storms) {
			for i := range f.servers {
				if f.rnd.IntN(2) == 0 && !f.now.Before(f.servers[i].up) {
					f.end(i)
				}
			}
		}
		if p.leaders > 0 && f.rnd.Int64N(int64(fleetTime/fleetStep)) < int64(p.leaders) {
			f.nextLeader()
		}
	}
}

// fleetPlan is what is played.
type fleetPlan struct {
	periods  []time.Duration // periods are between two sends of each request that ends servers.
	copies   []int           // copies are how many of each come at once, at any gateways.
	attempts int
	storms   int // storms are how often half of the servers end by themselves, on average.
	leaders  int // leaders are how often the leader changes, on average.
}

// fleetRefused is how many harmless requests may be refused in a play.
const fleetRefused = 8

// fleetPlays are played in each run of the tests; 401 were by hand, without a failure.
const fleetPlays = 16

// TestBoundInAFleet checks the users' bound for each of many requests that end servers, and
// that next to none of the others is refused: of 8,000 in a play, fleetRefused at most.
func TestBoundInAFleet(t *testing.T) {
	for seed := range uint64(fleetPlays) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			p := drawFleet(seed)
			f := newFleet(seed)
			f.play(p)
			for i := range p.periods {
				if n := f.later(i); n > fleetLater {
					t.Errorf("request %d, each %v: sent %d times more; it ended %d servers", i, p.periods[i], n, len(f.ended[i]))
				}
			}
			if f.harmless > fleetRefused {
				t.Errorf("%d of %d harmless requests were refused", f.harmless, f.asked)
			}
		})
	}
}

// drawFleet draws a plan.
func drawFleet(seed uint64) fleetPlan {
	rnd := rand.New(rand.NewPCG(seed, 1))
	p := fleetPlan{attempts: 1 + rnd.IntN(3), storms: rnd.IntN(5), leaders: rnd.IntN(3)}
	for range rnd.IntN(9) {
		p.periods = append(p.periods, 50*time.Millisecond+time.Duration(rnd.Int64N(int64(3*time.Second))))
		p.copies = append(p.copies, 1+rnd.IntN(2)*rnd.IntN(6))
	}
	return p
}
