package control

import (
	"bytes"
	"time"

	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// relayRecord is the leader's state for a relay, apart from its sums, which are part of
// the loads.
type relayRecord struct {
	lastSeen    time.Time
	incarnation uint64
	lastBatch   uint64 // lastBatch is the newest batch whose sums were applied.
	placedPos   uint64 // placedPos is the position in Uplink.placed up to which the relay has received the placements of others.
	readingsPos uint64 // readingsPos is the same for Uplink.readings.
}

// Batch answers a relay on behalf of the gateways whose requests it collected. Each gateway
// gets what Sync would have returned to it at this moment.
func (u *Uplink) Batch(m protocol.BatchMsg, reply *protocol.BatchReply) error {
	reply.Leader, _ = u.peers()
	term, ok := u.group.Vouches()
	if !ok {
		return nil
	}
	u.prepareDocument()
	u.mu.Lock()
	defer u.mu.Unlock()
	now := clock.Now()
	u.enterTerm(term)
	u.applySums(&m, reply, now)
	reply.Answers = make([]protocol.BatchAnswer, len(m.Parts))
	for i := range m.Parts {
		request := fromBatchPart(&m.Parts[i])
		var own protocol.SyncReply
		u.handleReport(&request, &own, now)
		reply.Answers[i] = toBatchAnswer(&own)
	}
	u.fillCommon(&m, reply, now)
	u.exchangePlacements(&m, reply, now)
	// The lease may have expired meanwhile, in which case nothing of this answer may count.
	still, ok := u.group.Vouches()
	reply.Leads = ok && still == term
	return nil
}

// applySums applies the sums of a relay if this instance holds the batch that they build
// on, and otherwise requests complete ones. The caller holds u.mu.
func (u *Uplink) applySums(m *protocol.BatchMsg, reply *protocol.BatchReply, now time.Time) {
	record := u.relays[m.Relay]
	whole := m.Base == 0
	if !whole && (record == nil || record.incarnation != m.Life || record.lastBatch != m.Base) {
		reply.Resend = true
		return
	}
	if record != nil && record.incarnation == m.Life && m.Batch <= record.lastBatch {
		reply.Resend = true // A newer batch has overtaken this one.
		return
	}
	if record == nil {
		record = &relayRecord{}
		u.relays[m.Relay] = record
	}
	if record.incarnation != m.Life {
		record.readingsPos = 0 // The relay has restarted and holds no readings.
	}
	record.lastSeen, record.incarnation, record.lastBatch = now, m.Life, m.Batch
	asked := make([]string, len(m.Parts))
	for i := range m.Parts {
		asked[i] = m.Parts[i].Gateway
	}
	reply.Moved = u.loads.ApplyRelay(place.RelayMsg{Relay: m.Relay, Whole: whole, Sums: m.Sums, Asked: asked})
}

// dropRelays removes the relays that have stopped sending batches. The caller holds u.mu.
func (u *Uplink) dropRelays(now time.Time) {
	for name, record := range u.relays {
		if now.Sub(record.lastSeen) > gatewayTTL {
			delete(u.relays, name)
			u.loads.DropRelay(name)
		}
	}
}

// exchangePlacements records the placements that a relay made and returns those of others.
// The caller holds u.mu.
func (u *Uplink) exchangePlacements(m *protocol.BatchMsg, reply *protocol.BatchReply, now time.Time) {
	u.placed.Add("", u.places.TakeUnsent())
	u.placed.Add(m.Relay, m.Placed)
	u.places.AddRemote(m.Placed, now)
	u.addReadings(m.Life, m.Readings, now)
	record := u.relays[m.Relay]
	if record == nil {
		return
	}
	reply.Placed, record.placedPos = u.placed.Since(record.placedPos, m.Relay)
	if reply.Listed || (m.Lister == u.listTerm && m.Servers == u.version) {
		reply.Readings, record.readingsPos = u.readings.SinceExcept(record.readingsPos, m.Life)
	}
}

// fillCommon fills in what is the same for all gateways of a relay. The caller holds u.mu.
func (u *Uplink) fillCommon(m *protocol.BatchMsg, reply *protocol.BatchReply, now time.Time) {
	var all protocol.SyncReply // all is the answer to a gateway that holds what the relay holds.
	// Every relay that sends batches of this format supports incarnations of servers.
	held := protocol.SyncMsg{Lister: m.Lister, Servers: m.Servers, Features: protocol.FeatureIncarnations}
	u.applyRollouts()
	u.fillRollouts(m.Rollouts, &all)
	fillQuarantine(u.quarantineLog.Load(), u.quarantine.Watched(), m.Quarantined, m.Watched, &all)
	reply.Quarantine, reply.Watch = all.Quarantine, all.Watch
	u.fillServers(&held, &all)
	u.refreshCommon(now)
	fillLoads(&u.vector, u.loadVersion(), m.Loads, &all)
	reply.Term, reply.Number = u.term, u.number
	if u.number > m.Number {
		reply.Document = u.packed
	}
	reply.Rollouts, reply.Changes = all.Rollouts, all.Changes
	reply.Listed, reply.Lister, reply.Version, reply.List = all.Listed, all.Lister, all.Version, all.List
	reply.Loads, reply.Whole, reply.LoadChanges = all.Loaded, all.Loads, all.LoadChanges
	reply.Short, reply.Gateways = u.common.short, u.common.gateways
	reply.Clock = u.clock.Now(now.Sub(u.startedAt)).UnixNano()
	for _, l := range u.common.lanes {
		reply.Lanes = append(reply.Lanes, protocol.LanesRow{BatchLanes: packLanes(l.Service, l.Terms)})
	}
	for i := range m.Parts {
		domain := m.Parts[i].Domain
		if packed := u.distrusted(domain); packed != nil {
			if reply.Distrusted == nil {
				reply.Distrusted = map[string][]byte{}
			}
			reply.Distrusted[domain] = bytes.Clone(packed)
		}
	}
}

// toBatchPart returns the part of a gateway's request that differs between gateways. Its
// clock and the ages of its observations are advanced by the time that the request has
// waited at the relay.
func toBatchPart(m *protocol.SyncMsg, waited time.Duration) protocol.BatchPart {
	p := protocol.BatchPart{Gateway: m.Gateway, Life: m.Life, Domain: m.Domain, Gateways: m.Gateways, Term: m.Term, Trials: m.Trials}
	if !m.Counted.IsZero() {
		p.Counted = m.Counted.UnixNano()
	}
	if !m.Clock.IsZero() {
		p.Clock = m.Clock.Add(waited).UnixNano()
	}
	for _, o := range m.Observations {
		o.Ago += waited
		p.Observations = append(p.Observations, o)
	}
	for _, r := range m.Usage {
		p.Usage = append(p.Usage, protocol.BatchUsage{Window: r.Window, Workspace: r.Workspace, Count: r.Count})
	}
	for _, w := range m.Wants {
		p.Wants = append(p.Wants, protocol.BatchQuotaRequest{Workspace: w.Workspace, Units: w.Units, Waiting: w.Waiting, Back: w.Back, Alone: w.Alone})
	}
	for _, r := range m.Pressure {
		p.Pressure = append(p.Pressure, protocol.BatchPressure{Begun: r.Begun, Slow: r.Slow, Work: float32(r.Work), BatchLanes: packLanes(r.Service, r.Lanes)})
	}
	return p
}

// fromBatchPart reverses toBatchPart, without what the gateways have in common.
func fromBatchPart(p *protocol.BatchPart) protocol.SyncMsg {
	m := protocol.SyncMsg{Gateway: p.Gateway, Life: p.Life, Domain: p.Domain, Gateways: p.Gateways, Term: p.Term, Trials: p.Trials, Observations: p.Observations}
	if p.Counted != 0 {
		m.Counted = time.Unix(0, p.Counted)
	}
	if p.Clock != 0 {
		m.Clock = time.Unix(0, p.Clock)
	}
	for _, r := range p.Usage {
		m.Usage = append(m.Usage, protocol.UsageRow{Window: r.Window, Workspace: r.Workspace, Count: r.Count})
	}
	for _, w := range p.Wants {
		m.Wants = append(m.Wants, protocol.QuotaRequest{Workspace: w.Workspace, Units: w.Units, Waiting: w.Waiting, Back: w.Back, Alone: w.Alone})
	}
	for _, r := range p.Pressure {
		m.Pressure = append(m.Pressure, protocol.Pressure{Service: r.Service, Begun: r.Begun, Slow: r.Slow, Work: float64(r.Work), Lanes: unpackLanes(r.BatchLanes)})
	}
	return m
}

// toBatchAnswer returns the part of an answer that differs between gateways.
func toBatchAnswer(r *protocol.SyncReply) protocol.BatchAnswer {
	a := protocol.BatchAnswer{Trials: r.Trials}
	for _, g := range r.Grants {
		a.Grants = append(a.Grants, protocol.BatchGrant{Workspace: g.Workspace, Units: g.Units, Lasts: g.Lasts, Wait: g.Wait})
	}
	return a
}

// fromBatchGrants returns the quota grants in one gateway's part of a batch's answer.
func fromBatchGrants(a *protocol.BatchAnswer) []protocol.QuotaGrant {
	var grants []protocol.QuotaGrant
	for _, g := range a.Grants {
		grants = append(grants, protocol.QuotaGrant{Workspace: g.Workspace, Units: g.Units, Lasts: g.Lasts, Wait: g.Wait})
	}
	return grants
}

// packLanes encodes a service's lane parameters in single precision, which is enough for
// estimates.
func packLanes(service string, t protocol.LaneParams) protocol.BatchLanes {
	return protocol.BatchLanes{Service: service, Seen: t.Seen, Mean: float32(t.Mean), Tokens: float32(t.Parts.Tokens), Busy: float32(t.Parts.Work), Short: float32(t.Parts.Short)}
}

// unpackLanes reverses packLanes.
func unpackLanes(l protocol.BatchLanes) protocol.LaneParams {
	return protocol.LaneParams{Seen: l.Seen, Mean: float64(l.Mean), Parts: protocol.LaneShares{Tokens: float64(l.Tokens), Work: float64(l.Busy), Short: float64(l.Short)}}
}
