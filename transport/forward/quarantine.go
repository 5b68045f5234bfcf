package forward

import (
	"sync"
	"time"

	"github.com/weldstream/weldstream/coordination/quarantine"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// leaderSilenceLimit is the age of the leader's last answer above which a gateway relies on
// its own observations. It corresponds to several consecutive unanswered syncs.
const leaderSilenceLimit = time.Second

// quarantineState is what a gateway knows of requests that crash servers.
type quarantineState struct {
	mu     sync.Mutex // mu guards filter; no other lock is taken while it is held.
	filter *quarantine.Filter
}

// SetQuarantine applies the leader's decisions on held requests.
func (g *Gateway) SetQuarantine(reply *protocol.SyncReply) {
	q := &g.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	now := clock.Now()
	q.filter.SetPending(reply.Term, reply.Pending, now)
	q.filter.ApplyUpdate(reply.Quarantine, reply.Watch, now)
	if reply.Quarantine != nil {
		g.log.Info().Uint64("changes", reply.Quarantine.Changes).Int("held", q.filter.Held()).Msg("quarantine")
	}
}

// reportQuarantine adds to a report the observations that the leader of a term lacks.
func (g *Gateway) reportQuarantine(term uint64, m *protocol.SyncMsg) {
	q := &g.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	m.Observations = q.filter.Report(term, clock.Now())
	changes, watched := q.filter.SyncState()
	m.Quarantined, m.Watched = &changes, watched
	m.Asks = q.filter.Asks(clock.Now())
}

// acknowledgeQuarantine records that the leader of a term received a report.
func (g *Gateway) acknowledgeQuarantine(term uint64, m *protocol.SyncMsg) {
	q := &g.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	q.filter.Acknowledged(term, m.Observations)
}

// Held returns the number of requests that are held in quarantine.
func (g *Gateway) Held() int {
	q := &g.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.filter.Held()
}

// recordCrash records that a server terminated while it had the given requests, whose
// connections broke at brokenAt; at is the same on [clock.Now].
func (g *Gateway) recordCrash(server string, runs []quarantine.BrokenRun, brokenAt, at time.Time) {
	g.recordObservedCrash(server, append(quarantine.ObservedRuns(runs, brokenAt), quarantine.ObservedParts(runs, brokenAt)...), at)
}

// recordObservedCrash records that a server terminated under the given requests and parts.
func (g *Gateway) recordObservedCrash(server string, runs []protocol.ObservedRun, at time.Time) {
	q := &g.quarantine
	q.mu.Lock()
	q.filter.RecordCrash(server, runs, at)
	q.mu.Unlock()
	g.triggerSync() // Other gateways may be sent the same requests.
}

// recordSuccess records that a server ran the request to its end and answered it.
func (x *exchange) recordSuccess() {
	q, quick := &x.g.quarantine, x.quickHash()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.filter.RecordSuccess(quick, x.fingerprint, clock.Now())
}

// recordPartSuccess records that a server wrote an answer on the parts of the prompt.
func (x *exchange) recordPartSuccess() { x.recordParts((*quarantine.Filter).RecordPartSuccess) }

// recordPartStart records that a server has begun to write an answer on the parts of the prompt.
func (x *exchange) recordPartStart() { x.recordParts((*quarantine.Filter).RecordPartStart) }

// recordParts passes the shared parts of the prompt to a method of the filter.
func (x *exchange) recordParts(record func(*quarantine.Filter, []protocol.Fingerprint, time.Time)) {
	parts := x.partFingerprints()
	if len(parts) == 0 {
		return
	}
	q := &x.g.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	record(q.filter, parts, clock.Now())
}

// recordProvenParts records the start and the success of the parts once the stream has gone on for
// long enough.
func (t *serverAttempt) recordProvenParts() {
	if !t.partsStarted && quarantine.HasStartedParts(t.firstEventAt, t.lastEventAt) {
		t.partsStarted = true
		t.x.recordPartStart()
	}
	if !t.partsProven && quarantine.HasProvenParts(t.firstEventAt, t.lastEventAt) {
		t.partsProven = true
		t.x.recordPartSuccess()
	}
}

// partFingerprints returns the fingerprints of the shared parts of the prompt, computed on first use.
func (x *exchange) partFingerprints() []protocol.Fingerprint {
	if x.cachedParts == nil && len(x.call.Prefix) > 1 {
		origin := quarantine.PartOrigin{Caller: x.callerName(), Route: x.routeName(), Model: x.call.Model}
		x.cachedParts = origin.Fingerprints(x.call.SharedParts())
	}
	return x.cachedParts
}

// quarantineRefusal returns the refusal of a request held in quarantine, or nil. If this
// gateway may try the request and use is set, the trial is consumed and the request passes
// once; without use, the trial is only checked.
func (x *exchange) quarantineRefusal(use bool) *protocol.Refusal {
	whole, parts := x.checkQuarantine(use)
	for _, d := range []quarantine.Decision{parts, whole} {
		switch {
		case d.Held:
			return x.refuseHeld(d)
		case use && d.Trial > 0:
			x.g.meters.quarantineTrials.Inc(1)
			x.log.Info().Stringer("fingerprint", x.fingerprint()).Strs("parts", x.partIDs()).Int("trial", d.Trial).Int("servers", d.Servers).Msg("trying a request held in quarantine")
		}
	}
	return nil
}

// checkQuarantine asks the filter for the whole request and for the parts of its prompt. A trial is
// used only if neither is held.
func (x *exchange) checkQuarantine(use bool) (whole, parts quarantine.Decision) {
	q, quick, prints, alone, now := &x.g.quarantine, x.quickHash(), x.partFingerprints(), x.g.leaderSilent(), clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	whole = q.filter.Check(quick, x.fingerprint, false, alone, now)
	parts = q.filter.CheckParts(prints, false, alone, now)
	if use && !whole.Held && !parts.Held {
		q.filter.Check(quick, x.fingerprint, true, alone, now)
		x.partTrial = q.filter.CheckParts(prints, true, alone, now).Trial > 0
	}
	return whole, parts
}

// refuseHeld returns the refusal of a held request.
func (x *exchange) refuseHeld(d quarantine.Decision) *protocol.Refusal {
	x.g.meters.quarantineRefused.Inc(1)
	if d.Part > 0 {
		f := x.partFingerprints()[d.Part-1]
		x.g.log.Info().Str("request", x.call.ID).Str("workspace", x.workspaceName()).Str("route", x.routeName()).Stringer("fingerprint", f).Strs("parts", x.partIDs()).
			Int("part", d.Part).Int("servers", d.Servers).Int64("until", d.Until).Msg("request with a part that crashes servers refused")
	}
	return d.Refusal(time.Now())
}

// partIDs returns the IDs of the shared parts of the prompt, for the log.
func (x *exchange) partIDs() []string { return quarantine.PartIDs(x.call.SharedParts()) }

// leaderSilent reports whether the gateway has not heard from the leader for longer than
// leaderSilenceLimit.
func (g *Gateway) leaderSilent() bool {
	age, ok := g.Age()
	return ok && age > leaderSilenceLimit
}

// quickHash returns the request's quick hash, computed on first use.
func (x *exchange) quickHash() uint64 {
	if x.cachedQuickHash == 0 {
		x.cachedQuickHash = max(1, x.quarantineRequest().QuickHash())
	}
	return x.cachedQuickHash
}
