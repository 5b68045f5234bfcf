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

// words are what servers say of themselves beside their answers, and what follows from it
// for requests to them. All sends but those of moved runs ask take for leave.
type words struct {
	mu         sync.Mutex // mu guards all below; no other lock is taken under it.
	limits     *backpressure.Limits
	answered   chan struct{} // answered is closed and replaced when the leader answered on limits, or did not in time.
	rests      backpressure.Backoffs
	departures backpressure.Departures
	unread     map[string]bool // unread are the servers of which something could not be read, which was logged.
}

// firstUnread reports whether nothing of a server's start could not be read before.
func (w *words) firstUnread(server string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unread[server] {
		return false
	}
	if w.unread == nil {
		w.unread = map[string]bool{}
	}
	w.unread[server] = true
	return true
}

// forGood stands for a time that does not end while the server is there.
const forGood = 24 * time.Hour

// closed returns the servers of a service that take nothing from this gateway now, as far
// as is known without asking the leader, and when the first of them does; forGood where
// none of them will.
func (w *words) closed(view *place.View, service string) (list []string, wait time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, wait := clock.Now(), forGood
	add := func(server string, left time.Duration) {
		if s := view.Find(server); s != nil && s.Service == service {
			list = append(list, server)
			wait = min(wait, left)
		}
	}
	w.rests.Each(now, add)
	w.limits.EachWaiting(now, add)
	return list, wait
}

// heard notes what a server says of itself beside an answer.
func (x *exchange) heard(s *place.Server, says *protocol.ServerFeedback) {
	if says.Unread != "" && x.g.words.firstUnread(s.ID) { // A server says the same in each answer.
		x.log.Warn().Str("server", s.ID).Str("said", says.Unread).Msg("what a server says of itself cannot be read")
	}
	if !says.LimitUnread {
		x.heardLimit(s.ID, says.Limit)
	}
	if says.Rest > 0 {
		x.heardRest(s.ID, says.Rest)
	}
	if says.Leaving {
		x.heardLeaving(s.ID)
	}
}

// heardLimit notes what a server said of its limit beside an answer to an exchange.
func (x *exchange) heardLimit(server string, limit protocol.RateLimit) {
	w := &x.g.words
	w.mu.Lock()
	before := w.limits.Limit(server)
	changed := w.limits.UpdateLimit(server, limit, clock.Now())
	w.mu.Unlock()
	if !changed {
		return
	}
	x.g.meters.limits.Inc(1)
	x.log.Info().Str("server", server).Bool("named", limit.Named).Float64("rate", limit.PerSecond).Float64("before", before.PerSecond).Msg("server names another limit")
	x.g.limitsNow() // Others send to the server as well.
}

// heardRest notes that a server wants nothing from this gateway for a while. Other gateways
// go on: it turns away what it is given too much of, and may take theirs.
func (x *exchange) heardRest(server string, rest time.Duration) {
	w := &x.g.words
	w.mu.Lock()
	w.rests.Add(server, rest, clock.Now())
	w.mu.Unlock()
	x.g.meters.rests.Inc(1)
	x.log.Info().Str("server", server).Dur("rest", rest).Msg("server asks for rest")
}

// heardLeaving notes that a server takes no new requests any more. The list may tell it
// seconds later, and tells when the server ends.
func (x *exchange) heardLeaving(server string) {
	w := &x.g.words
	w.mu.Lock()
	news := w.departures.MarkLeaving(server, clock.Now())
	w.mu.Unlock()
	if news {
		x.log.Info().Str("server", server).Msg("server says that it leaves")
		x.g.relist()
	}
}

// withDepartures returns a list with the servers as leaving that said so themselves.
func (w *words) withDepartures(list []protocol.Instance) []protocol.Instance {
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

// keep forgets what servers said that are listed no more.
func (w *words) keep(view *place.View, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	listed := func(server string) bool { return view.Find(server) != nil }
	w.limits.Prune(listed)
	w.rests.Prune(listed, now)
	w.departures.Prune(listed, now)
	maps.DeleteFunc(w.unread, func(server string, _ bool) bool { return !listed(server) })
}

// resting reports whether a server wants nothing from this gateway now, calls for running
// answers included.
func (w *words) resting(server string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rests.Remaining(server, clock.Now()) > 0
}

// unwilling returns the servers that take no runs of others: those that rest, and those
// that limit their requests.
func (w *words) unwilling() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := w.limits.Limited()
	w.rests.Each(clock.Now(), func(server string, _ time.Duration) { list = append(list, server) })
	return list
}
