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
	mu      sync.Mutex // mu guards all below; no other lock is taken under it.
	changes uint64     // changes is the change of the quarantine that is kept to.
	held    map[protocol.Fingerprint]*heldRequest
	watched map[protocol.Fingerprint]bool
	mark    uint64          // mark names the watched requests.
	quick   map[uint64]bool // quick are the quick hashes of all these.
	well    *quarantine.WellEnds
	seen    quarantine.Observations
	own     *quarantine.Table // own is what this gateway saw, by which it goes while it hears of no leader.
}

// heldRequest is a request that is kept from servers.
type heldRequest struct {
	protocol.HeldRequest
	used int // used is the latest trial that was made here.
}

// mayTry reports whether a gateway may send the request once more.
func (h *heldRequest) mayTry(gateway string) bool {
	return h.Trials > h.used && h.Trial == gateway
}

func newQuarantined(now time.Time) *quarantined {
	return &quarantined{
		held:    map[protocol.Fingerprint]*heldRequest{},
		watched: map[protocol.Fingerprint]bool{},
		quick:   map[uint64]bool{},
		well:    quarantine.NewWellEnds(now),
		own:     quarantine.NewTable(),
	}
}

// SetQuarantine takes the leader's word on requests that are kept from servers.
func (g *Gateway) SetQuarantine(reply *protocol.SyncReply) {
	q := g.quarantined
	q.mu.Lock()
	defer q.mu.Unlock()
	if reply.Quarantine != nil {
		q.take(reply.Quarantine)
		g.log.Info().Uint64("changes", q.changes).Int("held", len(q.held)).Msg("quarantine")
	}
	if reply.Watch != nil {
		q.watch(reply.Watch.Requests, clock.Now())
	}
	if reply.Quarantine != nil || reply.Watch != nil {
		q.index()
	}
}

// take takes what changed. It needs q.mu.
func (q *quarantined) take(n *protocol.QuarantineNews) {
	before := q.held
	if n.Whole {
		q.held = make(map[protocol.Fingerprint]*heldRequest, len(n.Held))
	}
	for _, f := range n.Free {
		delete(q.held, f)
	}
	for i := range n.Held {
		next := &heldRequest{HeldRequest: n.Held[i]}
		if old := before[next.Fingerprint]; old != nil && old.Trials <= next.Trials {
			next.used = old.used // Fewer trials are of one that was freed and is held anew.
		}
		q.held[next.Fingerprint] = next
	}
	q.changes = n.Changes
}

// watch takes the requests whose good ends are to be told, and tells those of a moment
// ago. It needs q.mu.
func (q *quarantined) watch(list []protocol.Fingerprint, now time.Time) {
	before := q.watched
	q.watched, q.mark = make(map[protocol.Fingerprint]bool, len(list)), protocol.WatchMark(list)
	for _, f := range list {
		q.watched[f] = true
		if ago, ok := q.well.Ago(f.Quick, now); ok && !before[f] {
			q.sawWell(f, now.Add(-ago))
		}
	}
}

// index renews the quick hashes. It needs q.mu.
func (q *quarantined) index() {
	q.quick = make(map[uint64]bool, len(q.held)+len(q.watched))
	for f := range q.held {
		q.quick[f.Quick] = true
	}
	for f := range q.watched {
		q.quick[f.Quick] = true
	}
}

// sawWell keeps a good end to be told. It needs q.mu.
func (q *quarantined) sawWell(f protocol.Fingerprint, at time.Time) {
	q.seen.Add(protocol.Observation{Runs: []protocol.ObservedRun{{Fingerprint: f}}}, at)
}

// reportQuarantine puts what the leader of a term lacks into a report.
func (g *Gateway) reportQuarantine(term uint64, m *protocol.SyncMsg) {
	q := g.quarantined
	q.mu.Lock()
	defer q.mu.Unlock()
	m.Observations, m.Quarantined, m.Watched = q.seen.Report(term, clock.Now()), q.changes, q.mark
}

// reportedQuarantine notes that the leader of a term has a report.
func (g *Gateway) reportedQuarantine(term uint64, m *protocol.SyncMsg) {
	q := g.quarantined
	q.mu.Lock()
	defer q.mu.Unlock()
	q.seen.Acknowledged(term, m.Observations)
}

// Held returns how many requests are kept from servers.
func (g *Gateway) Held() int {
	q := g.quarantined
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.held)
}

// sawEnd keeps that a server ended under requests.
func (g *Gateway) sawEnd(server string, runs []protocol.ObservedRun) {
	q, now := g.quarantined, clock.Now()
	q.mu.Lock()
	for i := range runs {
		if ago, ok := q.well.Ago(runs[i].Quick, now); ok {
			runs[i].Well = ago
		}
	}
	o := protocol.Observation{Server: server, Runs: runs}
	q.seen.Add(o, now)
	q.own.Update(quarantine.ObservedMsg{Now: now, Gateway: g.cfg.Name, Observation: o})
	q.mu.Unlock()
	g.syncNow() // Others may be sent the same requests.
}

// endedWell notes that the request ran to an end at a server, which answered it.
func (x *exchange) endedWell() {
	q, now, quick := x.g.quarantined, clock.Now(), x.quickHash()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.well.Note(quick, now)
	if !q.quick[quick] {
		return
	}
	if f := x.fingerprint(); q.watched[f] || q.held[f] != nil {
		q.sawWell(f, now)
	}
}

// refusedHeld returns the refusal of a request that is kept from servers, or nil. A
// request that this gateway may try passes once with use; without, it only would.
func (x *exchange) refusedHeld(use bool) *protocol.Refusal {
	refusal := x.held(use)
	if refusal != nil {
		x.g.meters.refusedHeld.Inc(1)
	}
	return refusal
}

// held is refusedHeld without counting.
func (x *exchange) held(use bool) *protocol.Refusal {
	g, q := x.g, x.g.quarantined
	q.mu.Lock()
	defer q.mu.Unlock()
	h := q.find(x)
	switch {
	case h == nil && g.alone() && q.heldAlone(x):
		return heldRefusal(aloneServers, aloneAfter)
	case h == nil:
		return nil
	case !h.mayTry(g.cfg.Name):
		return heldRefusal(h.Servers, time.Until(time.UnixMilli(h.Until)))
	}
	if use {
		h.used = h.Trials
		g.meters.triedHeld.Inc(1)
		x.log.Info().Stringer("fingerprint", h.Fingerprint).Int("trial", h.Trials).Msg("held request is tried")
	}
	return nil
}

// find returns the held request that this one is, or nil. It needs q.mu.
func (q *quarantined) find(x *exchange) *heldRequest {
	if len(q.held) == 0 || !q.quick[x.quickHash()] {
		return nil
	}
	return q.held[x.fingerprint()]
}

// alone reports whether the gateway has not heard from the leader for a while.
func (g *Gateway) alone() bool {
	age, ok := g.Age()
	return ok && age > aloneAfter
}

// heldAlone reports whether enough servers ended under the request at this gateway. It
// needs q.mu.
func (q *quarantined) heldAlone(x *exchange) bool {
	now := clock.Now()
	if !q.own.Any() {
		return false
	}
	if _, well := q.well.Ago(x.quickHash(), now); well {
		return false
	}
	return q.own.Condemns(x.fingerprint(), now)
}

const (
	// leastHeld is the soonest that the caller of a held request is told to come back.
	leastHeld = time.Second
	// aloneServers are those that ended at the least under a request that this gateway holds
	// by itself.
	aloneServers = 3
)

// heldRefusal refuses a request under which servers ended. It has not run, this time.
func heldRefusal(servers int, wait time.Duration) *protocol.Refusal {
	r := protocol.NewRefusal(protocol.StatusServiceUnavailable, protocol.CodeQuarantined, "%d servers ended under this request: it is kept from others", servers)
	return r.WithRetryAfter(max(leastHeld, wait))
}

// quickHash returns the request's quick hash.
func (x *exchange) quickHash() uint64 {
	if x.quick == 0 {
		x.quick = max(1, x.request().Quick())
	}
	return x.quick
}
