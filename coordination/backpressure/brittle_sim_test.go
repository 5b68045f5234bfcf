package backpressure

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

const (
	simTick = time.Millisecond
	// simServeTicks is the number of ticks after which a gateway looks again for room for requests that wait.
	simServeTicks = 2
	// simTrip is the time of a message from a gateway to a server or the leader, or back.
	simTrip = time.Millisecond
	// simReportInterval is the time between two reports without a reason, and simTimeout that until an answer
	// counts as lost.
	simReportInterval = 100 * time.Millisecond
	simTimeout        = 320 * time.Millisecond
	// simMaxWait is how long a request waits for room.
	simMaxWait = 250 * time.Millisecond
	// simDownTime is the time from a fall to the start of the replacement, and simListLag bounds the time
	// until the leader or a gateway has a new list.
	simDownTime = time.Second
	simListLag  = 200 * time.Millisecond
)

// sim simulates gateways, a leader and the brittle servers of one service. Servers that fall over come back
// under new ids.
type sim struct {
	rnd        *rand.Rand
	now        time.Time
	slots      int
	room       int // room is what each server takes.
	rejections int // rejections is what each server says that it bears; negative for none.
	runTime    time.Duration
	lossRate   float64
	servers    []*simServer
	gateways   []*simGateway
	allocator  *PermitAllocator // allocator is nil without a leader.
	term       uint64
	leaderList []protocol.ListedServer // leaderList is the list as the leader knows it.
	count      int                     // count numbers the servers.
	events     map[time.Time][]func()

	rejected, falls, leaderReports int
	log                            []protocol.BrittleService // log is what the replicated log holds.
	copies                         []protocol.ServerLimit
	opened                         bool // opened reports that the last copy came from a leader whose ledger was open.
}

type simServer struct {
	id         string
	running    int
	ended      bool
	rejections []time.Time
}

type simGateway struct {
	name      string
	life      uint64
	limits    *Limits
	runs      map[string]int
	waiters   []*simWaiter
	reporting bool
	trigger   bool
	nextAt    time.Time

	arrived, served, refused, waited int
}

type simWaiter struct {
	since time.Time
	begun bool
	asked bool
}

func newSim(seed uint64, gateways, servers, slots, rejections int, runTime time.Duration) *sim {
	s := &sim{rnd: rand.New(rand.NewPCG(seed, 1)), now: start, slots: slots, room: slots, rejections: rejections, runTime: runTime, events: map[time.Time][]func(){}, opened: true}
	for range servers {
		s.addServer()
	}
	for i := range gateways {
		s.gateways = append(s.gateways, &simGateway{name: fmt.Sprint("g", i)})
	}
	s.startLeader(true)
	for _, g := range s.gateways {
		s.startGateway(g)
	}
	for _, g := range s.gateways {
		for _, b := range s.servers {
			g.limits.UpdateLimit(b.id, s.limit(), s.now)
		}
	}
	return s
}

func (s *sim) limit() protocol.RateLimit {
	if s.rejections < 0 {
		return protocol.RateLimit{}
	}
	return protocol.RateLimit{Brittle: true, MaxRejections: s.rejections}
}

// after calls a func after some time.
func (s *sim) after(d time.Duration, f func()) {
	at := s.now.Add(d.Truncate(simTick))
	s.events[at] = append(s.events[at], f)
}

func (s *sim) addServer() *simServer {
	s.count++
	b := &simServer{id: fmt.Sprint("s", s.count)}
	s.servers = append(s.servers, b)
	return b
}

func (s *sim) list() (list []protocol.ListedServer) {
	for _, b := range s.servers {
		list = append(list, protocol.ListedServer{Server: b.id, Service: "a", Slots: s.slots, Takes: true})
	}
	return list
}

// relist lets the leader, and after it each gateway, learn the list. Without a leader nobody does.
func (s *sim) relist() {
	s.after(time.Duration(s.rnd.Int64N(int64(simListLag))), func() {
		if s.allocator == nil {
			return
		}
		s.leaderList = s.list()
		s.allocator.SetServers(s.leaderList, s.now)
		for _, g := range s.gateways {
			s.after(time.Duration(s.rnd.Int64N(int64(simListLag))), func() { s.tell(g) })
		}
	})
}

// tell lets a gateway learn the list from the leader.
func (s *sim) tell(g *simGateway) {
	if s.allocator != nil {
		g.limits.IsStale(s.term, s.allocator.Change())
		g.limits.SetServers(s.leaderList, s.now)
	}
}

// end ends a server, which is replaced after simDownTime.
func (s *sim) end(b *simServer) {
	if b.ended {
		return
	}
	b.ended = true
	s.after(simDownTime, func() {
		s.servers = slices.DeleteFunc(s.servers, func(other *simServer) bool { return other == b })
		s.addServer()
		s.relist()
	})
}

// startGateway starts a gateway, whose earlier start knows nothing any more and whose requests have ended.
func (s *sim) startGateway(g *simGateway) {
	for _, b := range s.servers {
		b.running -= g.runs[b.id]
	}
	g.life, g.limits, g.runs, g.waiters, g.reporting = g.life+1, NewLimits(), map[string]int{}, nil, false
	g.nextAt = s.now
	s.tell(g)
}

// startLeader replaces the leader, as the control role does: with the copies of the limits, the services of the
// log, and the reserved credits if its predecessor was the only one that may have granted any.
func (s *sim) startLeader(first bool) {
	var opts []RoomLedgerOption
	switch {
	case first:
		opts = append(opts, WithoutPredecessor())
	case s.opened:
		opts = append(opts, WithReservedCredit())
	}
	s.term++
	s.allocator = NewPermitAllocator(WithRoomLedger(NewRoomLedger(s.now, opts...)))
	s.allocator.Inherit(s.copies, s.now)
	s.allocator.RememberBrittle(s.log, s.now)
	s.leaderList = s.list()
	s.allocator.SetServers(s.leaderList, s.now)
	s.opened = false
	s.relist()
}

// copyLeader copies the leader's limits, as other control instances and the log do.
func (s *sim) copyLeader() {
	if s.allocator == nil {
		return
	}
	reply := s.allocator.HandleReport(&protocol.LimitsMsg{}, s.term, s.now)
	s.copies, s.opened, s.log = reply.Limits, reply.RoomsOpen, s.allocator.BrittleServices()
}

// losePower ends all gateways and the leader, and what control instances hold in memory.
func (s *sim) losePower() {
	s.copies, s.opened, s.allocator = nil, false, nil
	s.startLeader(false)
	for _, g := range s.gateways {
		s.startGateway(g)
	}
}

// report sends a gateway's report to the leader.
func (s *sim) report(g *simGateway) {
	life, limits := g.life, g.limits
	limits.SetRunning(func(server string) int { return g.runs[server] })
	m, hasData := limits.Report(s.now)
	g.nextAt, g.trigger = s.now.Add(simReportInterval), false
	if !hasData && s.allocator != nil && s.allocator.Change() == 0 {
		return
	}
	m.Gateway, m.Life = g.name, g.life
	asked := s.now
	g.reporting = true
	done := func(reply *protocol.LimitsReply) {
		if g.life != life || !g.reporting {
			return
		}
		g.reporting = false
		if reply != nil {
			limits.HandleReply(&m, reply, asked, s.now)
		}
	}
	lost := s.rnd.Float64()
	if lost >= s.lossRate/2 {
		s.after(simTrip, func() {
			if s.allocator == nil {
				return
			}
			s.leaderReports++
			reply := s.allocator.HandleReport(&m, s.term, s.now)
			if lost >= s.lossRate {
				s.after(simTrip, func() { done(&reply) })
			}
		})
	}
	number := m.Number
	s.after(simTimeout, func() {
		if g.life == life && limits.number == number {
			done(nil)
		}
	})
}

// arrive adds a request of a caller at a gateway.
func (s *sim) arrive(g *simGateway) {
	g.arrived++
	g.waiters = append(g.waiters, &simWaiter{since: s.now})
}

// serve sends the waiting requests of a gateway that may be sent, and refuses those that waited for too long.
func (s *sim) serve(g *simGateway) {
	if len(g.waiters) == 0 {
		return
	}
	kept := g.waiters[:0]
	ids := s.available(g)
	for _, w := range g.waiters {
		switch {
		case s.send(g, w, ids):
			ids = s.available(g)
			s.endWait(g, w)
			if w.asked {
				g.waited++
			}
		case s.now.Sub(w.since) >= simMaxWait:
			g.refused++
			s.endWait(g, w)
		default:
			kept = append(kept, w)
		}
	}
	g.waiters = kept
}

func (s *sim) endWait(g *simGateway, w *simWaiter) {
	if w.begun && g.limits.EndWait("a", true) {
		g.trigger = true
	}
}

// available returns the servers that a gateway may send a request to, as far as it knows, the least loaded first.
func (s *sim) available(g *simGateway) (ids []string) {
	without := map[string]bool{}
	g.limits.EachWaiting(s.now, func(server string, _ time.Duration) { without[server] = true })
	for id := range g.limits.listed {
		if !without[id] {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids) // The order of a map is not the same in each run.
	s.rnd.Shuffle(len(ids), func(i, k int) { ids[i], ids[k] = ids[k], ids[i] })
	slices.SortStableFunc(ids, func(a, b string) int { return g.runs[a] - g.runs[b] })
	return ids
}

// send sends a request to the first of the servers that takes it, and reports whether there is one.
func (s *sim) send(g *simGateway, w *simWaiter, ids []string) bool {
	for _, id := range ids {
		m := &TicketRequest{Server: id, Service: "a", Slots: s.slots, Running: g.runs[id], Urgent: true, Settle: MinSettleTime}
		t, d, _ := g.limits.Admit(m, s.now)
		if d == Send {
			s.run(g, id, t)
			return true
		}
		if d == NeedPermit {
			g.trigger, w.asked = true, true
		}
	}
	if !w.begun {
		w.begun = g.limits.BeginWait("a", true, nil, s.now)
	}
	if w.begun && g.limits.UntilAsk("a", s.now) == 0 {
		g.trigger, w.asked = true, true
	}
	return false
}

// run sends a request to a server.
func (s *sim) run(g *simGateway, id string, t *Ticket) {
	life := g.life
	g.limits.RecordTicketSent(t, s.now)
	g.runs[id]++
	end := func(served bool) {
		if g.life != life {
			return
		}
		g.runs[id]--
		if g.limits.EndTicket(t, s.now) {
			g.trigger = true
		}
		if served {
			g.served++
		}
	}
	s.after(MinSettleTime, func() {
		if g.life == life && t != nil && g.limits.AcceptTicket(t, s.now) {
			g.trigger = true
		}
	})
	s.after(simTrip, func() {
		if g.life != life {
			return
		}
		i := slices.IndexFunc(s.servers, func(b *simServer) bool { return b.id == id && !b.ended })
		if i < 0 {
			s.after(simTrip, func() { end(false) })
			return
		}
		s.arriveAt(s.servers[i], g, life, t, end)
	})
}

// arriveAt has a server run a request or reject it.
func (s *sim) arriveAt(b *simServer, g *simGateway, life uint64, t *Ticket, end func(served bool)) {
	said, load := s.limit(), b.running
	if b.running >= s.room {
		s.reject(b)
		s.after(simTrip, func() {
			if g.life == life {
				g.limits.UpdateLimit(b.id, said, s.now)
				g.limits.RecordRejection(b.id, load, s.now)
				g.limits.AcceptTicket(t, s.now)
				g.trigger = true
			}
			end(false)
		})
		return
	}
	b.running++
	s.after(s.runTime, func() {
		if g.life == life {
			b.running--
		}
	})
	s.after(s.runTime+simTrip, func() {
		if g.life == life && !b.ended {
			g.limits.UpdateLimit(b.id, said, s.now)
		}
		end(!b.ended)
	})
}

// reject records a rejection; the server falls over if it bears no more of them.
func (s *sim) reject(b *simServer) {
	s.rejected++
	b.rejections = append(slices.DeleteFunc(b.rejections, func(at time.Time) bool { return s.now.Sub(at) >= time.Second }), s.now)
	if s.rejections >= 0 && len(b.rejections) > s.rejections {
		s.falls++
		s.end(b)
	}
}

// run lets the time pass, with arrivals at random gateways at a rate in requests per second; each gateway has at
// least backlog requests that wait.
func (s *sim) pass(d time.Duration, rate float64, backlog int) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(simTick) {
		for _, f := range s.events[s.now] {
			f()
		}
		delete(s.events, s.now)
		if s.now.UnixMilli()%500 == 0 {
			s.copyLeader()
		}
		for due := rate * simTick.Seconds(); due > 0; due-- {
			if s.rnd.Float64() < due {
				s.arrive(s.gateways[s.rnd.IntN(len(s.gateways))])
			}
		}
		for i, g := range s.gateways {
			for len(g.waiters) < backlog {
				s.arrive(g)
			}
			if (s.now.UnixMilli()+int64(i))%simServeTicks == 0 {
				s.serve(g)
			}
			if !g.reporting && (g.trigger || !s.now.Before(g.nextAt)) {
				s.report(g)
			}
		}
	}
}

// simCounts are sums over the gateways, and over the one that fared worst.
type simCounts struct {
	arrived, served, refused, waited int
	least                            float64 // least is the part served at the gateway that served the least.
}

// measure lets the time pass and returns what happened in it.
func (s *sim) measure(d time.Duration, rate float64, backlog int) (c simCounts) {
	for _, g := range s.gateways {
		g.arrived, g.served, g.refused, g.waited = 0, 0, 0, 0
	}
	s.pass(d, rate, backlog)
	c.least = 1
	for _, g := range s.gateways {
		c.arrived, c.served, c.refused, c.waited = c.arrived+g.arrived, c.served+g.served, c.refused+g.refused, c.waited+g.waited
		if ended := g.served + g.refused; ended > 0 {
			c.least = min(c.least, float64(g.served)/float64(ended))
		}
	}
	return c
}
