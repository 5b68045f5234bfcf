package forward

import (
	"time"

	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/coordination/quota"
	"github.com/weldstream/weldstream/coordination/retry"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// pressure counts what a service's requests ask for; see protocol.Pressure.
type pressure struct {
	running int
	begun   int64
	slow    int64
	work    float64
	lanes   place.Lanes
	at      time.Time
}

// workMemory is the time over which the running requests are averaged.
const workMemory = time.Second

// add changes the number of running requests.
func (p *pressure) add(n int, now time.Time) {
	p.average(now)
	p.running += n
}

func (p *pressure) average(now time.Time) {
	part := min(1, float64(now.Sub(p.at))/float64(workMemory))
	p.work += (float64(p.running) - p.work) * part
	p.at = now
}

// service returns a service's counts. It needs g.mu.
func (g *Gateway) service(name string) *pressure {
	p := g.pressure[name]
	if p == nil {
		p = &pressure{at: clock.Now()}
		g.pressure[name] = p
	}
	return p
}

// takesSlot notes that the request is sent to a server with some slots, and givesBack
// that it has been there for a time.
func (x *exchange) takesSlot(slots int) {
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	p, now := x.g.service(x.service), clock.Now()
	p.add(1, now)
	p.lanes.RequestStarted(x.lane, slots, now)
}

func (x *exchange) givesBack(held time.Duration, slots int) {
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	p, now := x.g.service(x.service), clock.Now()
	p.add(-1, now)
	p.lanes.RequestEnded(x.lane, held, slots, now)
}

// arrived notes a request for a service, by which retries are earned, and finds
// its lane.
func (x *exchange) arrived() {
	g := x.g
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.Now()
	p := g.service(x.service)
	g.share(x.service, now).Request(now)
	x.lane, x.parts = p.lanes.Observe(x.call.PromptTokens, x.call.SharedTokens())
	x.size = p.lanes.RelativeSize(x.call.PromptTokens)
}

// slowPart of its target makes an answer a slow one.
const slowPart = 0.6

// begun notes how long an answer took to begin.
func (g *Gateway) begun(service string, took, target time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.service(service)
	p.begun++
	if float64(took) > slowPart*float64(target) {
		p.slow++
	}
}

// share needs g.mu.
func (g *Gateway) share(service string, now time.Time) *retry.Share {
	s := g.shares[service]
	if s == nil {
		s = retry.NewShare(g.cfg.RetryRatio, g.cfg.RetryExtra, g.cfg.RetryWindow, int(g.gateways.Load()), now)
		g.shares[service] = s
	}
	return s
}

// retries takes one retry from the budget of a service.
func (g *Gateway) retries(service string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.Now()
	return g.share(service, now).Spend(now)
}

// count notes that a request of a workspace began to run.
func (g *Gateway) count(workspace string) {
	if workspace == "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.counter.RecordStart(workspace, g.clock.Now(clock.Since(g.began)))
}

// askTime is how long a request waits for a part of its quota.
const askTime = 250 * time.Millisecond

// take takes a request's units from its workspace's quota, and asks for more
// where they are lacking. It returns nil when they were there.
func (x *exchange) take(units float64) *protocol.Refusal {
	g, name := x.g, x.workspace.Name
	end := time.NewTimer(askTime)
	defer end.Stop()
	for {
		g.mu.Lock()
		verdict, wait := g.allowance.Take(name, units, clock.Now())
		granted := g.granted
		g.mu.Unlock()
		switch verdict {
		case quota.Taken:
			return nil
		case quota.Denied:
			return overQuota(wait)
		case quota.Ask:
			g.askQuota()
		}
		select {
		case <-granted:
		case <-end.C:
			return x.takeLast(units)
		case <-x.ctx.Done():
			return callerGone()
		}
	}
}

// takeLast takes units after a question was not answered in time: by now the
// gateway may go on alone.
func (x *exchange) takeLast(units float64) *protocol.Refusal {
	g := x.g
	g.mu.Lock()
	defer g.mu.Unlock()
	// The wait that comes with a denial is not used: it counts from an answer of the
	// leader, which did not come in time.
	if verdict, _ := g.allowance.Take(x.workspace.Name, units, clock.Now()); verdict == quota.Taken {
		return nil
	}
	return overQuota(askTime)
}

func overQuota(wait time.Duration) *protocol.Refusal {
	const least = 100 * time.Millisecond
	return protocol.NewRefusal(protocol.StatusTooManyRequests, protocol.CodeOverloaded, "the workspace's quota is used up").WithRetryAfter(max(wait, least))
}

// Report returns what the gateway tells the leader of a term.
func (g *Gateway) Report(term uint64) protocol.SyncMsg {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.Now()
	since := now.Sub(g.began)
	m := protocol.SyncMsg{Gateway: g.cfg.Name, Term: term, Number: g.Number(), Clock: g.clock.Local(since), Usage: g.counter.Rows(term, g.clock.Now(since)), Counted: g.clock.Now(since), Domain: g.cfg.Domain, Running: g.view.Load().Running(), Distrusts: g.view.Load().Distrusts(now)}
	if !g.apart {
		m.Wants = g.allowance.Wants(now)
		m.Done, g.done = g.done, nil // One that is lost is forgotten by the leader in time.
	}
	m.Rollouts = g.rolled
	g.reportReadings(term, &m)
	g.reportQuarantine(term, &m)
	for _, t := range g.trials {
		m.Trials = append(m.Trials, t.report(term, now))
	}
	for name, p := range g.pressure {
		p.average(now)
		m.Pressure = append(m.Pressure, protocol.Pressure{Service: name, Begun: p.begun, Slow: p.slow, Work: p.work, Lanes: p.lanes.Local()})
	}
	return m
}

// HandleSyncReply notes that the leader has a report, and what it answered of quotas.
func (g *Gateway) HandleSyncReply(m *protocol.SyncMsg, reply *protocol.SyncReply, asked time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.counter.Acknowledged(reply.Term, m.Usage)
	g.allowance.SetShort(reply.Short)
	g.allowance.Acknowledge(m.Wants)
	g.clock.SetAgreed(reply.Clock, clock.Since(g.began))
	g.takeReadings(reply, clock.Now())
	g.reportedQuarantine(reply.Term, m)
	for i := range m.Trials {
		for _, t := range g.trials {
			if t.record.Number == m.Trials[i].Number {
				t.reported(reply.Term, &m.Trials[i])
			}
		}
	}
	if len(m.Wants) > 0 {
		g.grant(reply.Grants, asked)
	}
}

// ended tells the leader that a placed request ended.
func (x *exchange) ended() {
	if x.placed.Server == "" {
		return
	}
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	x.g.done = append(x.g.done, protocol.PlaceDone{Term: x.placed.Term, Number: x.placed.Number, Placer: x.placed.Placer, First: x.first, Took: clock.Since(x.start)})
	x.placed = protocol.PlaceReply{}
	if x.g.apart && x.g.quotaNow != nil {
		x.g.quotaNow()
	}
}

// SetLoads takes how many requests the listed servers have from all gateways, and
// which of them others distrust.
func (g *Gateway) SetLoads(loads, distrusted []byte) {
	if ids := g.view.Load().ApplyLoads(loads, distrusted, clock.Now()); len(ids) > 0 {
		g.log.Info().Strs("servers", ids).Msg("servers distrusted by other gateways")
	}
}

// SetLanes takes the terms by which all gateways part long prompts from short ones.
func (g *Gateway) SetLanes(lanes []protocol.ServiceLanes) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, l := range lanes {
		g.service(l.Service).lanes.SetAgreed(l.Terms)
	}
}
