package forward

import (
	"time"

	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/coordination/quota"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// pressure counts the demand on a service; see protocol.Pressure.
type pressure struct {
	running        int
	begun          int64
	slow           int64
	averageRunning float64
	lanes          place.Lanes
	at             time.Time
}

// averagingPeriod is the time over which the number of running requests is averaged.
const averagingPeriod = time.Second

// add changes the number of running requests.
func (p *pressure) add(n int, now time.Time) {
	p.average(now)
	p.running += n
}

func (p *pressure) average(now time.Time) {
	fraction := min(1, float64(now.Sub(p.at))/float64(averagingPeriod))
	p.averageRunning += (float64(p.running) - p.averageRunning) * fraction
	p.at = now
}

// servicePressure returns the counts of a service. The caller must hold g.mu.
func (g *Gateway) servicePressure(name string) *pressure {
	p := g.pressure[name]
	if p == nil {
		p = &pressure{at: clock.Now()}
		g.pressure[name] = p
	}
	return p
}

// slotTaken records that the request is sent to a server with the given number of slots, and
// slotReleased that it ended after the given time.
func (x *exchange) slotTaken(slots int) {
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	p, now := x.g.servicePressure(x.service), clock.Now()
	p.add(1, now)
	p.lanes.RequestStarted(x.lane, slots, now)
}

func (x *exchange) slotReleased(held time.Duration, slots int) {
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	p, now := x.g.servicePressure(x.service), clock.Now()
	p.add(-1, now)
	p.lanes.RequestEnded(x.lane, held, slots, now)
}

// recordArrival counts a request for a service, which earns retry budget, and determines its
// lane.
func (x *exchange) recordArrival() {
	g := x.g
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.Now()
	p := g.servicePressure(x.service)
	if x.passed != passCounted {
		g.retries.recordRequest(x.service, now)
	}
	x.lane, x.laneShares = p.lanes.Observe(x.call.PromptTokens, x.call.SharedTokens())
	x.relativeSize = p.lanes.RelativeSize(x.call.PromptTokens)
}

// slowFraction is the fraction of the route's target latency above which an answer counts as
// slow.
const slowFraction = 0.6

// recordAnswerStart records the time until an answer started.
func (g *Gateway) recordAnswerStart(service string, took, target time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.servicePressure(service)
	p.begun++
	if float64(took) > slowFraction*float64(target) {
		p.slow++
	}
}

// countUsage records that a request of a workspace started to run.
func (g *Gateway) countUsage(workspace string) {
	if workspace == "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.usageCounter.RecordStart(workspace, g.clock.Now(clock.Since(g.startedAt)))
}

// quotaTimeout is how long a request waits for quota.
const quotaTimeout = 250 * time.Millisecond

// takeQuota takes a request's units from the quota of its workspace, and asks the leader for
// more if they do not suffice. It returns nil on success.
func (x *exchange) takeQuota(units float64) *protocol.Refusal {
	g, name := x.g, x.workspace.Name
	end := time.NewTimer(quotaTimeout)
	defer end.Stop()
	for {
		g.mu.Lock()
		decision, wait := g.allowance.Take(name, units, clock.Now())
		granted := g.grantsReceived
		g.mu.Unlock()
		switch decision {
		case quota.Taken:
			return nil
		case quota.Denied:
			return quotaRefusal(wait)
		case quota.Ask:
			g.requestQuota()
		}
		select {
		case <-granted:
		case <-end.C:
			return x.takeQuotaUnanswered(units)
		case <-x.ctx.Done():
			return callerGone()
		}
	}
}

// takeQuotaUnanswered takes units after the leader did not answer in time: by now the gateway
// may be allowed to continue on its own.
func (x *exchange) takeQuotaUnanswered(units float64) *protocol.Refusal {
	g := x.g
	g.mu.Lock()
	defer g.mu.Unlock()
	// The wait returned with a denial is not used: it counts from an answer of the leader,
	// which did not arrive in time.
	if decision, _ := g.allowance.Take(x.workspace.Name, units, clock.Now()); decision == quota.Taken {
		return nil
	}
	return quotaRefusal(quotaTimeout)
}

func quotaRefusal(wait time.Duration) *protocol.Refusal {
	const least = 100 * time.Millisecond
	return protocol.NewRefusal(protocol.StatusTooManyRequests, protocol.CodeOverloaded, "the workspace's quota is used up").WithRetryAfter(max(wait, least))
}

// Report returns the gateway's report for the leader of a term.
func (g *Gateway) Report(term uint64) protocol.SyncMsg {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.Now()
	since := now.Sub(g.startedAt)
	m := protocol.SyncMsg{Gateway: g.cfg.Name, Term: term, Number: g.Number(), Clock: g.clock.Local(since), Usage: g.usageCounter.Rows(term, g.clock.Now(since)), Counted: g.clock.Now(since), Domain: g.cfg.Domain, Running: g.view.Load().Running(), Distrusts: g.reportableDistrusts(now)}
	if !g.separateQuota {
		m.Wants = g.allowance.Wants(now)
		m.Done, g.finishedPlacements = g.finishedPlacements, nil // If the message is lost, the leader forgets the placements after a timeout.
	}
	m.Rollouts = g.rolloutChange
	g.reportPrefills(term, &m)
	g.reportQuarantine(term, &m)
	for _, t := range g.trials {
		m.Trials = append(m.Trials, t.report(term, now))
	}
	for name, p := range g.pressure {
		p.average(now)
		m.Pressure = append(m.Pressure, protocol.Pressure{Service: name, Begun: p.begun, Slow: p.slow, Work: p.averageRunning, Lanes: p.lanes.Local()})
	}
	return m
}

// HandleSyncReply records that the leader received a report, and applies its quota grants.
func (g *Gateway) HandleSyncReply(m *protocol.SyncMsg, reply *protocol.SyncReply, asked time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.usageCounter.Acknowledged(reply.Term, m.Usage)
	g.allowance.SetShort(reply.Short)
	g.allowance.Acknowledge(m.Wants)
	g.clock.SetAgreed(reply.Clock, clock.Since(g.startedAt))
	g.applyPrefills(reply, clock.Now())
	g.acknowledgeQuarantine(reply.Term, m)
	for i := range m.Trials {
		for _, t := range g.trials {
			if t.record.Number == m.Trials[i].Number {
				t.acknowledge(reply.Term, &m.Trials[i])
			}
		}
	}
	if len(m.Wants) > 0 {
		g.applyGrants(reply.Grants, asked)
	}
}

// reportPlacementEnd tells the leader that a request it placed has ended.
func (x *exchange) reportPlacementEnd() {
	if x.placement.Server == "" {
		return
	}
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	x.g.finishedPlacements = append(x.g.finishedPlacements, protocol.PlaceDone{Term: x.placement.Term, Number: x.placement.Number, Placer: x.placement.Placer, First: x.firstByte, Took: clock.Since(x.start)})
	x.placement = protocol.PlaceReply{}
	if x.g.separateQuota && x.g.triggerQuota != nil {
		x.g.triggerQuota()
	}
}

// SetLoads applies the number of requests that the listed servers have from all gateways, and
// which servers other gateways distrust.
func (g *Gateway) SetLoads(loads, distrusted []byte) {
	if ids := g.view.Load().ApplyLoads(loads, distrusted, clock.Now()); len(ids) > 0 {
		g.log.Info().Strs("servers", ids).Msg("servers distrusted by other gateways")
	}
}

// SetLanes sets the terms by which all gateways separate long prompts from short ones.
func (g *Gateway) SetLanes(lanes []protocol.ServiceLanes) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, l := range lanes {
		g.servicePressure(l.Service).lanes.SetAgreed(l.Terms)
	}
}
