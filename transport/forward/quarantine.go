package forward

import (
	"sync"
	"time"

	"github.com/weldstream/weldstream/coordination/quarantine"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// aloneAfter is how old the leader's word may be before a gateway goes by what it saw
// itself: some questions in a row without an answer.
const aloneAfter = time.Second

// quarantined is what a gateway knows of requests under which servers end.
type quarantined struct {
	mu   sync.Mutex // mu guards gate; no other lock is taken under it.
	gate *quarantine.Filter
}

// SetQuarantine takes the leader's word on requests that are kept from servers.
func (g *Gateway) SetQuarantine(reply *protocol.SyncReply) {
	q := &g.quarantined
	q.mu.Lock()
	defer q.mu.Unlock()
	q.gate.ApplyUpdate(reply.Quarantine, reply.Watch, clock.Now())
	if reply.Quarantine != nil {
		g.log.Info().Uint64("changes", reply.Quarantine.Changes).Int("held", q.gate.Held()).Msg("quarantine")
	}
}

// reportQuarantine puts what the leader of a term lacks into a report.
func (g *Gateway) reportQuarantine(term uint64, m *protocol.SyncMsg) {
	q := &g.quarantined
	q.mu.Lock()
	defer q.mu.Unlock()
	m.Observations = q.gate.Report(term, clock.Now())
	changes, watched := q.gate.SyncState()
	m.Quarantined, m.Watched = &changes, watched
}

// reportedQuarantine notes that the leader of a term has a report.
func (g *Gateway) reportedQuarantine(term uint64, m *protocol.SyncMsg) {
	q := &g.quarantined
	q.mu.Lock()
	defer q.mu.Unlock()
	q.gate.Acknowledged(term, m.Observations)
}

// Held returns how many requests are kept from servers.
func (g *Gateway) Held() int {
	q := &g.quarantined
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.gate.Held()
}

// sawEnd keeps that a server ended under requests.
func (g *Gateway) sawEnd(server string, runs []protocol.ObservedRun) {
	q := &g.quarantined
	q.mu.Lock()
	q.gate.RecordCrash(server, runs, clock.Now())
	q.mu.Unlock()
	g.syncNow() // Others may be sent the same requests.
}

// endedWell notes that the request ran to an end at a server, which answered it.
func (x *exchange) endedWell() {
	q, quick := &x.g.quarantined, x.quickHash()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.gate.RecordSuccess(quick, x.fingerprint, clock.Now())
}

// refusedHeld returns the refusal of a request that is kept from servers, or nil. A
// request that this gateway may try passes once with use; without, it only would.
func (x *exchange) refusedHeld(use bool) *protocol.Refusal {
	q, quick, alone := &x.g.quarantined, x.quickHash(), x.g.alone()
	q.mu.Lock()
	p := q.gate.Check(quick, x.fingerprint, use, alone, clock.Now())
	q.mu.Unlock()
	switch {
	case p.Held:
		x.g.meters.refusedHeld.Inc(1)
		return p.Refusal(time.Now())
	case use && p.Trial > 0:
		x.g.meters.triedHeld.Inc(1)
		x.log.Info().Stringer("fingerprint", x.fingerprint()).Int("trial", p.Trial).Msg("held request is tried")
	}
	return nil
}

// alone reports whether the gateway has not heard from the leader for a while.
func (g *Gateway) alone() bool {
	age, ok := g.Age()
	return ok && age > aloneAfter
}

// quickHash returns the request's quick hash.
func (x *exchange) quickHash() uint64 {
	if x.quick == 0 {
		x.quick = max(1, x.request().QuickHash())
	}
	return x.quick
}
