package quarantine

import (
	"fmt"
	"maps"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// Filter decides, on one gateway, which requests may be sent to servers. It knows the
// requests that the leader holds or watches, and what the gateway observed itself.
type Filter struct {
	name         string
	changes      uint64 // changes is the counter of quarantine changes up to which held is current.
	held         map[protocol.Fingerprint]*heldRequest
	watched      map[protocol.Fingerprint]bool
	watchHash    uint64          // watchMark identifies the list of watched requests.
	quickHashes  map[uint64]bool // quickHashes are those of all held and watched requests.
	successes    *SuccessCache
	observations Observations
	// crashes and parts are what this gateway saw, which it uses while it gets no answer from a leader.
	crashes       *CrashTable
	parts         *PartTable
	partSuccesses *SuccessCache
	partStarts    *SuccessCache                      // partStarts is when servers last began to write answers on parts.
	reported      map[protocol.Fingerprint]time.Time // reported is when the success of a watched part was last reported.
	asks          []askedTrial
	made          []madeTrial // made are the latest trials.
	localHolds    localHolds
	pending       map[protocol.Fingerprint]pendingHold
	term          uint64    // term is that of the leader that answered last.
	leaderSince   time.Time // leaderSince is when a new leader first answered; zero if there was only one.
}

// heldRequest is a request that may not be sent to servers.
type heldRequest struct {
	protocol.HeldRequest
	usedTrial int // usedTrial is the latest trial that this gateway made.
}

// NewFilter returns the filter of the named gateway, without held or watched requests.
func NewFilter(name string, now time.Time) *Filter {
	return &Filter{
		name:        name,
		held:        map[protocol.Fingerprint]*heldRequest{},
		watched:     map[protocol.Fingerprint]bool{},
		quickHashes: map[uint64]bool{},
		successes:   NewSuccessCache(now),
		crashes:     NewCrashTable(),

		parts:         NewPartTable(),
		partSuccesses: NewSuccessCache(now),
		partStarts:    NewSuccessCache(now),
		reported:      map[protocol.Fingerprint]time.Time{},
		pending:       map[protocol.Fingerprint]pendingHold{},
	}
}

// ApplyUpdate applies the leader's changes of held and of watched requests; nil means no
// change.
func (flt *Filter) ApplyUpdate(update *protocol.QuarantineUpdate, watch *protocol.WatchUpdate, now time.Time) {
	if update != nil {
		flt.applyChanges(update, now)
	}
	if watch != nil {
		flt.setWatched(watch.Requests, now)
	}
	if update != nil || watch != nil {
		flt.rebuildIndex()
	}
}

// applyChanges applies changes of the held requests. What this gateway saw of a part before its release
// does not count any more.
func (flt *Filter) applyChanges(update *protocol.QuarantineUpdate, now time.Time) {
	before := flt.held
	if update.Whole {
		flt.held = make(map[protocol.Fingerprint]*heldRequest, len(update.Held))
	}
	for _, f := range update.Free {
		delete(flt.held, f)
		delete(flt.pending, f)
		flt.parts.recordSuccess(f, now)
	}
	for i := range update.Held {
		next := &heldRequest{HeldRequest: update.Held[i]}
		if old := before[next.Fingerprint]; old != nil && old.Trials <= next.Trials {
			next.usedTrial = old.usedTrial // Fewer trials mean that the request was released and is held anew.
		}
		flt.held[next.Fingerprint] = next
	}
	flt.changes = update.Changes
}

// setWatched replaces the requests whose successes are reported, and reports the successes
// that newly watched ones had within the last trustTime.
func (flt *Filter) setWatched(list []protocol.Fingerprint, now time.Time) {
	before := flt.watched
	flt.watched, flt.watchHash = make(map[protocol.Fingerprint]bool, len(list)), protocol.WatchHash(list)
	for _, f := range list {
		flt.watched[f] = true
		if ago, ok := flt.successAge(f, now); ok && !before[f] {
			flt.reportSuccess(f, now.Add(-ago))
		}
	}
	maps.DeleteFunc(flt.reported, func(f protocol.Fingerprint, _ time.Time) bool { return !flt.watched[f] })
}

// rebuildIndex recomputes the quick hashes.
func (flt *Filter) rebuildIndex() {
	flt.quickHashes = make(map[uint64]bool, len(flt.held)+len(flt.watched))
	for f := range flt.held {
		flt.quickHashes[f.Quick] = true
	}
	for f := range flt.watched {
		flt.quickHashes[f.Quick] = true
	}
}

// reportSuccess adds a success to the observations to be reported.
func (flt *Filter) reportSuccess(f protocol.Fingerprint, at time.Time) {
	flt.observations.Add(protocol.Observation{Runs: []protocol.ObservedRun{{Fingerprint: f}}}, at)
}

// Held returns the number of held requests.
func (flt *Filter) Held() int { return len(flt.held) }

// SyncState returns the counter of quarantine changes that this filter is at, and the hash
// of the list of watched requests.
func (flt *Filter) SyncState() (changes, watched uint64) { return flt.changes, flt.watchHash }

// Report returns the observations that the leader of a term does not have yet.
func (flt *Filter) Report(term uint64, now time.Time) []protocol.Observation {
	return flt.observations.Report(term, now)
}

// Acknowledged marks a report as received by the leader of a term.
func (flt *Filter) Acknowledged(term uint64, list []protocol.Observation) {
	flt.observations.Acknowledged(term, list)
}

// RecordCrash records that a server crashed with the given requests running on it.
func (flt *Filter) RecordCrash(server string, runs []protocol.ObservedRun, now time.Time) {
	for i := range runs {
		if ago, ok := flt.successAge(runs[i].Fingerprint, now); ok {
			runs[i].Well = ago
		}
	}
	o := protocol.Observation{Server: server, Runs: runs}
	flt.observations.Add(o, now)
	m := ObservedMsg{Now: now, Gateway: flt.name, Observation: o}
	flt.crashes.Update(m)
	flt.parts.Update(m)
}

// RecordSuccess records that a server completed a request. The fingerprint is computed only
// if the quick hash matches a held or watched request.
func (flt *Filter) RecordSuccess(quick uint64, fingerprint func() protocol.Fingerprint, now time.Time) {
	flt.successes.Add(quick, now)
	if !flt.quickHashes[quick] {
		return
	}
	if f := fingerprint(); flt.watched[f] || flt.held[f] != nil {
		flt.reportSuccess(f, now)
	}
}

// Decision says whether a request may be sent to a server.
type Decision struct {
	Held    bool  // Held means that the request may not be sent.
	Servers int   // Servers is how many servers crashed under it, or at least so many if only this gateway holds it.
	Until   int64 // Until is the time of the next trial, in ms since 1970; 0 if only this gateway holds it.
	Trial   int   // Trial is the number of the trial that lets it pass; 0 for none.
	Part    int   // Part is the position among the shared parts of the prompt of the one that is held, from 1; 0 for the whole request.
}

// minRetryAfter is the least Retry-After for a held request.
const minRetryAfter = time.Second

// Refusal returns the refusal of a held request. It states that this send was not run, and
// its Retry-After is the time until the next trial.
func (d Decision) Refusal(timeOfDay time.Time) *protocol.Refusal {
	wait := minRetryAfter
	if d.Until > 0 {
		wait = max(wait, time.UnixMilli(d.Until).Sub(timeOfDay))
	}
	if d.Part > 0 && d.Until > 0 && d.Until <= timeOfDay.UnixMilli() {
		wait = partTrialDelay // No trial is due before the next crash or success is known.
	}
	what := "this request"
	if d.Part > 0 {
		what = fmt.Sprintf("part %d of prompts like this one", d.Part)
	}
	r := protocol.NewRefusal(protocol.StatusServiceUnavailable, protocol.CodeQuarantined, "%d servers ended under %s: it is kept from others", d.Servers, what)
	return r.WithRetryAfter(wait)
}

// Check decides whether a request may be sent. If use is set, a trial that lets it pass is
// used up. leaderless means that the gateway has not heard from a leader recently.
func (flt *Filter) Check(quick uint64, fingerprint func() protocol.Fingerprint, use, leaderless bool, now time.Time) Decision {
	h := flt.find(quick, fingerprint)
	switch {
	case h != nil && h.Trial == flt.name && h.Trials > h.usedTrial:
		if use {
			h.usedTrial = h.Trials
		}
		return Decision{Servers: h.Servers, Trial: h.Trials}
	case h != nil:
		return Decision{Held: true, Servers: h.Servers, Until: h.Until}
	case leaderless && flt.heldLocally(quick, fingerprint, now):
		return Decision{Held: true, Servers: holdThreshold}
	}
	return Decision{}
}

// find returns the held request with the same fingerprint, or nil.
func (flt *Filter) find(quick uint64, fingerprint func() protocol.Fingerprint) *heldRequest {
	if len(flt.held) == 0 || !flt.quickHashes[quick] {
		return nil
	}
	return flt.held[fingerprint()]
}

// heldLocally reports whether this gateway saw enough servers crash under the request, and
// no success within trustTime.
func (flt *Filter) heldLocally(quick uint64, fingerprint func() protocol.Fingerprint, now time.Time) bool {
	if !flt.crashes.HasCrashes() {
		return false
	}
	if _, succeeded := flt.successes.Age(quick, now); succeeded {
		return false
	}
	return flt.crashes.ShouldHold(fingerprint(), now)
}
