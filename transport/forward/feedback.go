package forward

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/weldstream/weldstream/coordination/backpressure"
	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// feedbackState holds what servers report about themselves in their answers, and what follows
// from it for sending requests to them. All sends except those of moved runs must acquire a
// permit.
type feedbackState struct {
	mu         sync.Mutex // mu guards the fields below; no other lock is taken while it is held.
	limits     *backpressure.Limits
	replied    chan struct{} // replied is closed and replaced when the leader's answer on limits arrives or is overdue.
	backoffs   backpressure.Backoffs
	departures backpressure.Departures
	unparsed   map[string]bool // unparsed are the servers whose unparsable feedback has been logged.
}

// firstUnparsed reports whether this is the first unparsable feedback from an incarnation of
// a server.
func (w *feedbackState) firstUnparsed(server string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unparsed[server] {
		return false
	}
	if w.unparsed == nil {
		w.unparsed = map[string]bool{}
	}
	w.unparsed[server] = true
	return true
}

// unboundedWait stands for a wait that does not end while the server exists.
const unboundedWait = 24 * time.Hour

// unavailable returns the servers of a service that currently accept no requests from this
// gateway, as far as is known without asking the leader, and the time until the first of them
// does; unboundedWait if none of them will.
func (w *feedbackState) unavailable(view *place.View, service string) (list []string, wait time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, wait := clock.Now(), unboundedWait
	add := func(server string, left time.Duration) {
		if s := view.Find(server); s != nil && s.Service == service {
			list = append(list, server)
			wait = min(wait, left)
		}
	}
	w.backoffs.Each(now, add)
	w.limits.EachWaiting(now, func(server string, left time.Duration) {
		if s := view.Find(server); s != nil && !view.OnTrial(s) { // Room at a server on trial is asked for by its name.
			add(server, left)
		}
	})
	return list, wait
}

// applyFeedback applies what a server reports about itself in an answer.
func (x *exchange) applyFeedback(s *place.Server, feedback *protocol.ServerFeedback) {
	if feedback.Unread != "" && x.g.feedback.firstUnparsed(s.ID) { // A server repeats its feedback in each answer.
		x.log.Warn().Str("server", s.ID).Str("said", feedback.Unread).Msg("what a server says of itself cannot be read")
	}
	if !feedback.LimitUnread {
		x.applyLimit(s.ID, feedback.Limit)
	}
	if feedback.Rest > 0 {
		x.applyBackoff(s.ID, feedback.Rest)
	}
	if feedback.Leaving {
		x.applyDeparture(s.ID)
	}
}

// applyLimit applies a request limit that a server named in an answer.
func (x *exchange) applyLimit(server string, limit protocol.RateLimit) {
	w := &x.g.feedback
	w.mu.Lock()
	before := w.limits.Limit(server)
	changed := w.limits.UpdateLimit(server, limit, clock.Now())
	w.mu.Unlock()
	if !changed {
		return
	}
	x.g.meters.limitChanges.Inc(1)
	x.log.Info().Str("server", server).Bool("named", limit.Named).Float64("rate", limit.PerSecond).Float64("before", before.PerSecond).
		Bool("brittle", limit.Brittle).Int("max_rejections", limit.MaxRejections).Msg("server changed its request limit")
	x.g.triggerLimits() // Other gateways send to the server as well.
}

// applyBackoff records that a server wants no requests from this gateway for a while. Other
// gateways continue: a server asks for backoff where it receives too much, and may still
// accept their requests.
func (x *exchange) applyBackoff(server string, rest time.Duration) {
	w := &x.g.feedback
	w.mu.Lock()
	w.backoffs.Add(server, rest, clock.Now())
	w.mu.Unlock()
	x.g.meters.backoffs.Inc(1)
	x.log.Info().Str("server", server).Dur("rest", rest).Msg("server asks for rest")
}

// applyDeparture records that a server accepts no new requests. The list may report this
// seconds later, and includes when the server ends.
func (x *exchange) applyDeparture(server string) {
	w := &x.g.feedback
	w.mu.Lock()
	isNew := w.departures.MarkLeaving(server, clock.Now())
	w.mu.Unlock()
	if isNew {
		x.log.Info().Str("server", server).Msg("server announced its departure in an answer")
		x.g.refreshView()
	}
}

// applyDepartures returns the list with servers marked as leaving that announced it in an
// answer.
func (w *feedbackState) applyDepartures(list []protocol.Instance) []protocol.Instance {
	w.mu.Lock()
	defer w.mu.Unlock()
	copied := false
	for i := range list {
		if list[i].Leaving || !w.departures.IsLeaving(list[i].ID) {
			continue
		}
		if !copied {
			list, copied = slices.Clone(list), true
		}
		list[i].Leaving = true
	}
	return list
}

// setServers tells the limits which servers are listed, before requests are sent to them.
func (w *feedbackState) setServers(view *place.View) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limits.SetServers(view.Listing(), clock.Now())
}

// prune removes the state of servers that are no longer listed.
func (w *feedbackState) prune(view *place.View, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	listed := func(server string) bool { return view.Find(server) != nil }
	w.backoffs.Prune(listed, now)
	w.departures.Prune(listed, now)
	maps.DeleteFunc(w.unparsed, func(server string, _ bool) bool { return !listed(server) })
}

// backingOff reports whether a server currently wants no requests from this gateway,
// including calls for running answers.
func (w *feedbackState) backingOff(server string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.backoffs.Remaining(server, clock.Now()) > 0
}

// excludedTargets returns the servers to which no runs are moved: those that asked for
// backoff, those that limit their requests and those that are brittle.
func (w *feedbackState) excludedTargets() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := slices.Concat(w.limits.Limited(), w.limits.Brittle())
	w.backoffs.Each(clock.Now(), func(server string, _ time.Duration) { list = append(list, server) })
	return list
}
