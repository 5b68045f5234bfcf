package forward

import (
	"time"

	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/coordination/rollout"
	"github.com/weldstream/weldstream/protocol"
)

// trial is a roll-out that runs, as this gateway takes part in it.
type trial struct {
	record  protocol.Rollout
	share   float64 // share is the part of the requests that the trial takes, as the leader told last.
	credits rollout.Credits
	arrived int64 // arrived are the service's requests that were sent to a server.
	tried   int64 // tried are sends to the new version.
	told    int64 // told is arrived as it was in the report before.
	rows    map[evidenceKey]*evidence
}

// evidenceKey names one row of a report.
type evidenceKey struct {
	route  string
	server string // server is empty for those of the former versions.
	isNew  bool
}

// evidence are the answers of one row, and how many of them the leader has.
type evidence struct {
	answers protocol.AnswerCounts
	taken   int64
	term    uint64 // term is of the leader that has them.
}

func newTrial(r protocol.Rollout) *trial {
	return &trial{record: r, rows: map[evidenceKey]*evidence{}}
}

const (
	// wantMost are the most credits that a gateway asks for ahead of its requests, and
	// wantPart how many of those of the last report: about as many requests come until the
	// next one.
	wantMost = 16
	wantPart = 0.5
)

// wants returns how many credits the gateway can use until the next answer.
func (t *trial) wants(now time.Time) int {
	if t.arrived == t.told {
		return 0
	}
	want := min(wantMost, 1+int(wantPart*float64(t.arrived-t.told)))
	return max(0, want-int(t.credits.Available(now)))
}

// report returns what the leader of a term lacks.
func (t *trial) report(term uint64, now time.Time) protocol.TrialReport {
	m := protocol.TrialReport{Number: t.record.Number, Held: t.record.Stage, Arrived: t.arrived, Tried: t.tried, Wants: t.wants(now)}
	t.told = t.arrived
	for key, row := range t.rows {
		if row.term != term || row.taken != row.answers.Good+row.answers.Bad {
			m.Rows = append(m.Rows, protocol.EvidenceRow{Route: key.route, New: key.isNew, Server: key.server, Answers: copyAnswers(row.answers)})
		}
	}
	return m
}

// copyAnswers returns a copy that later answers do not change.
func copyAnswers(a protocol.AnswerCounts) protocol.AnswerCounts {
	a.First = append([]int64(nil), a.First...)
	a.Pace = append([]int64(nil), a.Pace...)
	return a
}

// reported notes that the leader of a term has a report.
func (t *trial) reported(term uint64, m *protocol.TrialReport) {
	for i := range m.Rows {
		r := &m.Rows[i]
		if row := t.rows[evidenceKey{route: r.Route, server: r.Server, isNew: r.New}]; row != nil {
			row.term, row.taken = term, r.Answers.Good+r.Answers.Bad
		}
	}
}

// SetRollouts takes the leader's answer on roll-outs to a question that was sent at a
// time. A state older than the one that is kept to changes nothing.
func (g *Gateway) SetRollouts(reply *protocol.SyncReply, asked time.Time) {
	if !g.takeRollouts(reply, asked) {
		return
	}
	g.listing.Lock()
	defer g.listing.Unlock()
	g.renewView()
}

// takeRollouts reports whether the versions that get requests may have changed.
func (g *Gateway) takeRollouts(reply *protocol.SyncReply, asked time.Time) bool {
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
	if reply.Changes <= g.rolled {
		return false
	}
	g.rolled, g.rollouts = reply.Changes, reply.Rollouts
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

// chooseTrial returns a server of a version on trial if the request is to go to one,
// and takes the credit for it.
func (x *exchange) chooseTrial(view *place.View, m place.ChooseMsg) *place.Server {
	g := x.g
	x.credited = false
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
		x.credited = true
		return &view.Servers[i]
	}
	g.mu.Lock()
	t.credits.Refund()
	g.mu.Unlock()
	return nil
}

// creditBack gives back the credit for a trial that is not sent.
func (x *exchange) creditBack() {
	if !x.credited {
		return
	}
	x.credited = false
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	if t := x.g.trials[x.service]; t != nil {
		t.credits.Refund()
	}
}

// sentTo counts a request that is sent to a server, for the roll-out of its service.
func (x *exchange) sentTo(s *place.Server) {
	g := x.g
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.trials[x.service]
	if t == nil || x.continuation != nil {
		return // A moved run is the same run.
	}
	if x.state.Sent == 0 && x.state.FailedConnects == 0 {
		t.arrived++
	}
	if s.Version == t.record.Version {
		t.tried++
	}
}

// observe counts how an answer of a server went, for the roll-out of its service.
func (t *try) observe(a rollout.Answer) {
	g := t.x.g
	g.mu.Lock()
	defer g.mu.Unlock()
	tr := g.trials[t.x.service]
	if tr == nil || t.observed {
		return
	}
	t.observed = true
	key := evidenceKey{route: t.x.route.Name, isNew: t.server.Version == tr.record.Version}
	if key.isNew {
		key.server = t.server.ID
	}
	row := tr.rows[key]
	if row == nil {
		row = &evidence{}
		tr.rows[key] = row
	}
	rollout.RecordAnswer(&row.answers, a)
}

// eventsCame notes that events came.
func (t *try) eventsCame(now time.Time) {
	if t.first.IsZero() {
		t.first = now
	}
	t.last = now
	t.pieces++
}

// times returns how long the server took to begin its answer, and between its events.
func (t *try) times(now time.Time) rollout.Answer {
	a := rollout.Answer{FirstEvent: now.Sub(t.began)}
	if !t.first.IsZero() {
		a.FirstEvent = t.first.Sub(t.began)
	}
	if t.pieces > 1 {
		a.EventInterval = t.last.Sub(t.first) / time.Duration(t.pieces-1)
	}
	return a
}

// failedAnswer counts an answer that failed.
func (t *try) failedAnswer() { t.observe(rollout.Answer{Failed: true}) }

// callerLeft counts an answer that its caller did not wait for: behind the target it took
// as long at the least.
func (t *try) callerLeft(now time.Time) {
	if t.first.IsZero() && now.Sub(t.began) > t.x.route.Target {
		t.observe(t.times(now))
	}
}
