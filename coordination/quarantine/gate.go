package quarantine

import (
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// Filter is what one gateway knows of requests under which servers end: what the leader
// says, and what it saw itself.
type Filter struct {
	name    string
	changes uint64 // changes is the change of the quarantine that is kept to.
	held    map[protocol.Fingerprint]*heldRequest
	watched map[protocol.Fingerprint]bool
	mark    uint64          // mark names the watched requests.
	quick   map[uint64]bool // quick are the quick hashes of all these.
	well    *WellEnds
	seen    Observations
	own     *Table // own is what this gateway saw, by which it goes while it hears of no leader.
}

// heldRequest is a request that is kept from servers.
type heldRequest struct {
	protocol.HeldRequest
	used int // used is the latest trial that was made here.
}

// NewFilter returns what a gateway with a name knows at its start: nothing.
func NewFilter(name string, now time.Time) *Filter {
	return &Filter{
		name:    name,
		held:    map[protocol.Fingerprint]*heldRequest{},
		watched: map[protocol.Fingerprint]bool{},
		quick:   map[uint64]bool{},
		well:    NewWellEnds(now),
		own:     NewTable(),
	}
}

// ApplyUpdate takes the leader's word on what is held and watched; nil is for no change.
func (g *Filter) ApplyUpdate(n *protocol.QuarantineUpdate, w *protocol.WatchUpdate, now time.Time) {
	if n != nil {
		g.take(n)
	}
	if w != nil {
		g.watch(w.Requests, now)
	}
	if n != nil || w != nil {
		g.index()
	}
}

// take takes what changed of what is held.
func (g *Filter) take(n *protocol.QuarantineUpdate) {
	before := g.held
	if n.Whole {
		g.held = make(map[protocol.Fingerprint]*heldRequest, len(n.Held))
	}
	for _, f := range n.Free {
		delete(g.held, f)
	}
	for i := range n.Held {
		next := &heldRequest{HeldRequest: n.Held[i]}
		if old := before[next.Fingerprint]; old != nil && old.Trials <= next.Trials {
			next.used = old.used // Fewer trials are of one that was freed and is held anew.
		}
		g.held[next.Fingerprint] = next
	}
	g.changes = n.Changes
}

// watch takes the requests whose good ends are to be reported, and reports those of a moment ago.
func (g *Filter) watch(list []protocol.Fingerprint, now time.Time) {
	before := g.watched
	g.watched, g.mark = make(map[protocol.Fingerprint]bool, len(list)), protocol.WatchHash(list)
	for _, f := range list {
		g.watched[f] = true
		if ago, ok := g.well.Ago(f.Quick, now); ok && !before[f] {
			g.sawWell(f, now.Add(-ago))
		}
	}
}

// index renews the quick hashes.
func (g *Filter) index() {
	g.quick = make(map[uint64]bool, len(g.held)+len(g.watched))
	for f := range g.held {
		g.quick[f.Quick] = true
	}
	for f := range g.watched {
		g.quick[f.Quick] = true
	}
}

// sawWell keeps a good end for the next reports.
func (g *Filter) sawWell(f protocol.Fingerprint, at time.Time) {
	g.seen.Add(protocol.Observation{Runs: []protocol.ObservedRun{{Fingerprint: f}}}, at)
}

// Held returns how many requests are kept from servers.
func (g *Filter) Held() int { return len(g.held) }

// SyncState returns the change of the quarantine that is kept to, and the mark of the
// requests that are watched.
func (g *Filter) SyncState() (changes, watched uint64) { return g.changes, g.mark }

// Report returns the observations that the leader of a term lacks.
func (g *Filter) Report(term uint64, now time.Time) []protocol.Observation {
	return g.seen.Report(term, now)
}

// Acknowledged notes that the leader of a term has a report.
func (g *Filter) Acknowledged(term uint64, list []protocol.Observation) {
	g.seen.Acknowledged(term, list)
}

// RecordCrash keeps that a server ended unannounced under requests.
func (g *Filter) RecordCrash(server string, runs []protocol.ObservedRun, now time.Time) {
	for i := range runs {
		if ago, ok := g.well.Ago(runs[i].Quick, now); ok {
			runs[i].Well = ago
		}
	}
	o := protocol.Observation{Server: server, Runs: runs}
	g.seen.Add(o, now)
	g.own.Update(ObservedMsg{Now: now, Gateway: g.name, Observation: o})
}

// RecordSuccess notes that a request was answered by its server. Its fingerprint is asked for
// only where it counts.
func (g *Filter) RecordSuccess(quick uint64, fingerprint func() protocol.Fingerprint, now time.Time) {
	g.well.Note(quick, now)
	if !g.quick[quick] {
		return
	}
	if f := fingerprint(); g.watched[f] || g.held[f] != nil {
		g.sawWell(f, now)
	}
}

// Decision is whether a request may be sent to a server.
type Decision struct {
	Held    bool  // Held says that it is kept from servers.
	Servers int   // Servers are those that ended under it.
	Until   int64 // Until is when it is tried next, in ms since 1970; 0 where only this gateway holds it.
	Trial   int   // Trial is the trial by which it passes; 0 for none.
}

// leastHeld is the least Retry-After of the caller of a held request.
const leastHeld = time.Second

// Refusal returns the refusal of a held request at a time of day: it has not run, this
// time, and is to come back when it is tried next.
func (p Decision) Refusal(date time.Time) *protocol.Refusal {
	wait := leastHeld
	if p.Until > 0 {
		wait = max(wait, time.UnixMilli(p.Until).Sub(date))
	}
	r := protocol.NewRefusal(protocol.StatusServiceUnavailable, protocol.CodeQuarantined, "%d servers ended under this request: it is kept from others", p.Servers)
	return r.WithRetryAfter(wait)
}

// Check returns whether a request may be sent. With use, a trial by which it passes is used
// up. Alone says that the gateway has not heard from a leader of late.
func (g *Filter) Check(quick uint64, fingerprint func() protocol.Fingerprint, use, alone bool, now time.Time) Decision {
	h := g.find(quick, fingerprint)
	switch {
	case h != nil && h.Trial == g.name && h.Trials > h.used:
		if use {
			h.used = h.Trials
		}
		return Decision{Servers: h.Servers, Trial: h.Trials}
	case h != nil:
		return Decision{Held: true, Servers: h.Servers, Until: h.Until}
	case alone && g.heldAlone(quick, fingerprint, now):
		return Decision{Held: true, Servers: holdAfter}
	}
	return Decision{}
}

// find returns the held request that this one is, or nil.
func (g *Filter) find(quick uint64, fingerprint func() protocol.Fingerprint) *heldRequest {
	if len(g.held) == 0 || !g.quick[quick] {
		return nil
	}
	return g.held[fingerprint()]
}

// heldAlone reports whether enough servers ended under the request at this gateway.
func (g *Filter) heldAlone(quick uint64, fingerprint func() protocol.Fingerprint, now time.Time) bool {
	if !g.own.Any() {
		return false
	}
	if _, well := g.well.Ago(quick, now); well {
		return false
	}
	return g.own.Condemns(fingerprint(), now)
}
