package control

import (
	"bytes"
	"time"

	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// relayRecord is what the leader keeps of a relay beside its sums, which are in the loads.
type relayRecord struct {
	at    time.Time
	life  uint64
	batch uint64 // batch is the latest one whose sums were taken.
	known uint64 // known is the position in placed up to which the relay was told the places of others.
	heard uint64 // heard is the position in readings up to which it was told those of others.
}

// Batch answers a relay for the gateways whose questions it gathered. Each gets what
// Sync would have answered it at this moment.
func (u *Uplink) Batch(m protocol.BatchMsg, reply *protocol.BatchReply) error {
	reply.Leader, _ = u.peers()
	term, ok := u.group.Vouches()
	if !ok {
		return nil
	}
	u.ready()
	u.mu.Lock()
	defer u.mu.Unlock()
	now := clock.Now()
	u.enter(term)
	u.takeSums(&m, reply, now)
	reply.Answers = make([]protocol.BatchAnswer, len(m.Parts))
	for i := range m.Parts {
		question := questionOf(&m.Parts[i])
		var own protocol.SyncReply
		u.answerOwn(&question, &own, now)
		reply.Answers[i] = answerOf(&own)
	}
	u.answerCommon(&m, reply, now)
	u.sharePlaces(&m, reply, now)
	// The lease may have run out meanwhile: then nothing of this may count.
	still, ok := u.group.Vouches()
	reply.Leads = ok && still == term
	return nil
}

// takeSums takes the sums of a relay, if this instance holds what they build on, and
// asks for the whole if not. It needs u.mu.
func (u *Uplink) takeSums(m *protocol.BatchMsg, reply *protocol.BatchReply, now time.Time) {
	record := u.relays[m.Relay]
	whole := m.Base == 0
	if !whole && (record == nil || record.life != m.Life || record.batch != m.Base) {
		reply.Resend = true
		return
	}
	if record != nil && record.life == m.Life && m.Batch <= record.batch {
		reply.Resend = true // It was overtaken by a later one.
		return
	}
	if record == nil {
		record = &relayRecord{}
		u.relays[m.Relay] = record
	}
	if record.life != m.Life {
		record.heard = 0 // It was started anew and knows no readings.
	}
	record.at, record.life, record.batch = now, m.Life, m.Batch
	asked := make([]string, len(m.Parts))
	for i := range m.Parts {
		asked[i] = m.Parts[i].Gateway
	}
	reply.Moved = u.loads.ApplyRelay(place.RelayMsg{Relay: m.Relay, Whole: whole, Sums: m.Sums, Asked: asked})
}

// dropRelays forgets the relays that ask no more. It needs u.mu.
func (u *Uplink) dropRelays(now time.Time) {
	for name, record := range u.relays {
		if now.Sub(record.at) > gatewayKept {
			delete(u.relays, name)
			u.loads.DropRelay(name)
		}
	}
}

// sharePlaces takes the places that a relay gave, and tells it those of others. It
// needs u.mu.
func (u *Uplink) sharePlaces(m *protocol.BatchMsg, reply *protocol.BatchReply, now time.Time) {
	u.placed.Add("", u.places.TakeUnsent())
	u.placed.Add(m.Relay, m.Placed)
	u.places.AddRemote(m.Placed, now)
	u.takeReadings(m.Life, m.Readings, now)
	record := u.relays[m.Relay]
	if record == nil {
		return
	}
	reply.Placed, record.known = u.placed.Since(record.known, m.Relay)
	if reply.Listed || (m.Lister == u.lister && m.Servers == u.version) {
		reply.Readings, record.heard = u.readings.SinceExcept(record.heard, m.Life)
	}
}

// answerCommon answers what is the same for all gateways of a relay. It needs u.mu.
func (u *Uplink) answerCommon(m *protocol.BatchMsg, reply *protocol.BatchReply, now time.Time) {
	var all protocol.SyncReply // all is the answer to a gateway that holds what the relay does.
	// A relay whose batches can be read knows the starts of servers.
	held := protocol.SyncMsg{Lister: m.Lister, Servers: m.Servers, Features: protocol.FeatureIncarnations}
	u.renewRollouts()
	u.answerChanges(m.Rollouts, &all)
	tellQuarantine(u.quarantined.Load(), u.keeper.Watched(), m.Quarantined, m.Watched, &all)
	reply.Quarantine, reply.Watch = all.Quarantine, all.Watch
	u.tellServers(&held, &all)
	u.renewCommon(now)
	tellLoads(&u.vector, u.mark(), m.Loads, &all)
	reply.Term, reply.Number = u.term, u.number
	if u.number > m.Number {
		reply.Document = u.packed
	}
	reply.Rollouts, reply.Changes = all.Rollouts, all.Changes
	reply.Listed, reply.Lister, reply.Version, reply.List = all.Listed, all.Lister, all.Version, all.List
	reply.Loads, reply.Whole, reply.LoadChanges = all.Loaded, all.Loads, all.LoadChanges
	reply.Short, reply.Gateways = u.common.short, u.common.gateways
	reply.Clock = u.clock.Now(now.Sub(u.began)).UnixNano()
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

// partOf returns the part of a gateway's question that is its own. The clock in it is set
// on by how long the question has waited at the relay.
func partOf(m *protocol.SyncMsg, waited time.Duration) protocol.BatchPart {
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

// questionOf returns the question that a part was made of, without what all share.
func questionOf(p *protocol.BatchPart) protocol.SyncMsg {
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

// answerOf returns the part of an answer that is one gateway's own.
func answerOf(r *protocol.SyncReply) protocol.BatchAnswer {
	a := protocol.BatchAnswer{Trials: r.Trials}
	for _, g := range r.Grants {
		a.Grants = append(a.Grants, protocol.BatchGrant{Workspace: g.Workspace, Units: g.Units, Lasts: g.Lasts, Wait: g.Wait})
	}
	return a
}

// grantsOf returns the grants in the part of an answer that is one gateway's own.
func grantsOf(a *protocol.BatchAnswer) []protocol.QuotaGrant {
	var grants []protocol.QuotaGrant
	for _, g := range a.Grants {
		grants = append(grants, protocol.QuotaGrant{Workspace: g.Workspace, Units: g.Units, Lasts: g.Lasts, Wait: g.Wait})
	}
	return grants
}

// packLanes returns a service's terms in single precision, which is enough for estimates.
func packLanes(service string, t protocol.LaneParams) protocol.BatchLanes {
	return protocol.BatchLanes{Service: service, Seen: t.Seen, Mean: float32(t.Mean), Tokens: float32(t.Parts.Tokens), Busy: float32(t.Parts.Work), Short: float32(t.Parts.Short)}
}

// unpackLanes returns the terms that packLanes packed.
func unpackLanes(l protocol.BatchLanes) protocol.LaneParams {
	return protocol.LaneParams{Seen: l.Seen, Mean: float64(l.Mean), Parts: protocol.LaneShares{Tokens: float64(l.Tokens), Work: float64(l.Busy), Short: float64(l.Short)}}
}
