package forward

import (
	"time"

	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/coordination/rollout"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// trial is a running rollout as seen by this gateway.
type trial struct {
	record          protocol.Rollout
	share           float64 // share is the fraction of requests assigned to the trial, according to the leader's last answer.
	credits         rollout.Credits
	arrived         int64 // arrived counts the service's requests that were sent to a server.
	sentToNew       int64 // sentToNew counts the attempts sent to the new version.
	reportedArrived int64 // reportedArrived is the value of arrived in the previous report.
	rows            map[evidenceKey]*evidence
}

// evidenceKey identifies one row of a report.
type evidenceKey struct {
	route  string
	server string // server is empty for the former versions.
	isNew  bool
}

// evidence holds the answers of one row, and how many of them the leader has.
type evidence struct {
	answers      protocol.AnswerCounts
	acknowledged int64
	term         uint64 // term is the term of the leader that has them.
}

func newTrial(r protocol.Rollout) *trial {
	return &trial{record: r, rows: map[evidenceKey]*evidence{}}
}

const (
	// maxCreditsWanted bounds the credits that a gateway requests in advance, and
	// creditsWantedFraction is their number relative to the requests since the last report:
	// about as many requests are expected until the next one.
	maxCreditsWanted      = 16
	creditsWantedFraction = 0.5
)

// creditsWanted returns how many more credits the gateway can use until the next answer.
func (t *trial) creditsWanted(now time.Time) int {
	if t.arrived == t.reportedArrived {
		return 0
	}
	want := min(maxCreditsWanted, 1+int(creditsWantedFraction*float64(t.arrived-t.reportedArrived)))
	return max(0, want-int(t.credits.Available(now)))
}

// report returns the rows that the leader of a term lacks.
func (t *trial) report(term uint64, now time.Time) protocol.TrialReport {
	m := protocol.TrialReport{Number: t.record.Number, Held: t.record.Stage, Arrived: t.arrived, Tried: t.sentToNew, Wants: t.creditsWanted(now)}
	t.reportedArrived = t.arrived
	for key, row := range t.rows {
		if row.term != term || row.acknowledged != row.answers.Good+row.answers.Bad {
			m.Rows = append(m.Rows, protocol.EvidenceRow{Route: key.route, New: key.isNew, Server: key.server, Answers: copyAnswers(row.answers)})
		}
	}
	return m
}

// copyAnswers returns a copy that is not affected by later answers.
func copyAnswers(a protocol.AnswerCounts) protocol.AnswerCounts {
	a.First = append([]int64(nil), a.First...)
	a.Pace = append([]int64(nil), a.Pace...)
	return a
}

// acknowledge records that the leader of a term received a report.
func (t *trial) acknowledge(term uint64, m *protocol.TrialReport) {
	for i := range m.Rows {
		r := &m.Rows[i]
		if row := t.rows[evidenceKey{route: r.Route, server: r.Server, isNew: r.New}]; row != nil {
			row.term, row.acknowledged = term, r.Answers.Good+r.Answers.Bad
		}
	}
}

// SetRollouts applies the rollout part of the leader's answer to a sync sent at the given
// time. A state older than the current one changes nothing.
func (g *Gateway) SetRollouts(reply *protocol.SyncReply, asked time.Time) {
	if !g.applyRollouts(reply, asked) {
		return
	}
	g.viewMu.Lock()
	defer g.viewMu.Unlock()
	g.rebuildView()
}

// applyRollouts applies the answer, and reports whether the versions that receive requests
// may have changed.
func (g *Gateway) applyRollouts(reply *protocol.SyncReply, asked time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, grant := range reply.Trials {
		for _, t := range g.trials {
			if t.record.Number == grant.Number {
				t.share = grant.Share
				t.credits.Renew(reply.Term, grant.Credits, asked)
			}
		}
	}
	if reply.Changes <= g.rolloutChange {
		return false
	}
	g.rolloutChange, g.rollouts = reply.Changes, reply.Rollouts
	trials := map[string]*trial{}
	for _, r := range reply.Rollouts {
		before := g.trials[r.Service]
		if before == nil || before.record.Number != r.Number || before.record.Stage != r.Stage {
			g.log.Info().Str("service", r.Service).Uint64("rollout", r.Number).Str("version", r.Version).Stringer("stage", r.Stage).Str("reason", r.Reason).Msg("roll-out")
		}
		switch {
		case r.Stage.Final():
		case before != nil && before.record.Number == r.Number:
			before.record = r
			trials[r.Service] = before
		default:
			trials[r.Service] = newTrial(r)
		}
	}
	g.trials = trials
	return true
}

// chooseTrial returns a server of the version on trial if the request is to go to one, and
// spends a credit for it.
func (x *exchange) chooseTrial(view *place.View, m place.ChooseMsg) *place.Server {
	g := x.g
	x.trialCredited = false
	g.mu.Lock()
	t := g.trials[x.service]
	spend := t != nil && t.record.Stage == protocol.RolloutTrial && t.credits.Spend(m.Now)
	var number uint64
	var share float64
	if spend {
		number, share = t.record.Number, t.share
	}
	g.mu.Unlock()
	if !spend {
		return nil
	}
	canaries := func(ready int) int { return rollout.CanaryCount(ready, share) }
	if i, ok := place.ChooseTrial(view, place.TrialMsg{ChooseMsg: m, Number: number, Canaries: canaries}); ok {
		x.trialCredited = true
		return &view.Servers[i]
	}
	g.mu.Lock()
	t.credits.Refund()
	g.mu.Unlock()
	return nil
}

// refundTrialCredit returns the credit for a trial request that is not sent.
func (x *exchange) refundTrialCredit() {
	if !x.trialCredited {
		return
	}
	x.trialCredited = false
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	if t := x.g.trials[x.service]; t != nil {
		t.credits.Refund()
	}
}

// countTrialSend counts a request sent to a server for the rollout of its service.
func (x *exchange) countTrialSend(s *place.Server) {
	g := x.g
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.trials[x.service]
	if t == nil || x.continuation != nil {
		return // A moved run is still the same run.
	}
	if x.state.Sent == 0 && x.state.FailedConnects == 0 {
		t.arrived++
	}
	if s.Version == t.record.Version {
		t.sentToNew++
	}
}

// observe records the outcome of a server's answer for the rollout of its service.
func (t *serverAttempt) observe(a rollout.Answer) {
	if t.observed {
		return
	}
	t.observed = true
	t.x.g.recordEvidence(t.server, t.x.route.Name, a)
}

// recordEvidence records the outcome of a server's answer to a request of a route.
func (g *Gateway) recordEvidence(server *place.Server, route string, a rollout.Answer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	tr := g.trials[server.Service]
	if tr == nil {
		return
	}
	key := evidenceKey{route: route, isNew: server.Version == tr.record.Version}
	if key.isNew {
		key.server = server.ID
	}
	row := tr.rows[key]
	if row == nil {
		row = &evidence{}
		tr.rows[key] = row
	}
	rollout.RecordAnswer(&row.answers, a)
}

// recordEvents records the arrival of events.
func (t *serverAttempt) recordEvents(now time.Time) {
	if t.firstEventAt.IsZero() {
		t.firstEventAt = now
	}
	t.lastEventAt = now
	t.eventReads++
}

// answerTimes returns the server's time to first event and the interval between its events.
func (t *serverAttempt) answerTimes(now time.Time) rollout.Answer {
	a := rollout.Answer{FirstEvent: now.Sub(t.sentAt)}
	if !t.firstEventAt.IsZero() {
		a.FirstEvent = t.firstEventAt.Sub(t.sentAt)
	}
	if t.eventReads > 1 {
		a.EventInterval = t.lastEventAt.Sub(t.firstEventAt) / time.Duration(t.eventReads-1)
	}
	return a
}

// observeFailure records a failed answer.
func (t *serverAttempt) observeFailure() {
	if t.x.g.pathSuspected(t.x.service) {
		return // It says nothing of the version.
	}
	t.observe(rollout.Answer{Failed: true})
}

// pathVerdictDelay is the time after which it is known whether a connection broke with the path to the
// servers: further requests and probes fail meanwhile, and other gateways report what they reach.
const pathVerdictDelay = 500 * time.Millisecond

// observeBroken records a connection that broke without an answer, unless it turns out that the path
// to the servers was lost, which says nothing of the version.
func (t *serverAttempt) observeBroken() {
	if t.observed || t.x.g.pathSuspected(t.x.service) {
		return
	}
	t.observed = true
	g, server, route, at := t.x.g, t.server, t.x.route.Name, clock.Now()
	time.AfterFunc(pathVerdictDelay, func() {
		if g.failedByPath(server, at) {
			g.log.Info().Str("server", server.ID).Str("version", server.Version).Msg("broken connection does not count for the version")
			return
		}
		g.recordEvidence(server, route, rollout.Answer{Failed: true})
	})
}

// observeCallerGone records an answer whose caller disconnected. It counts only after the
// target latency: the answer then took at least that long.
func (t *serverAttempt) observeCallerGone(now time.Time) {
	if t.firstEventAt.IsZero() && now.Sub(t.sentAt) > t.x.route.Target {
		t.observe(t.answerTimes(now))
	}
}
