package backpressure

import (
	"maps"
	"math"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// PermitAllocator is what the leader knows of the servers that limit their requests. It gives out the
// permits.
type PermitAllocator struct {
	change  uint64 // change rises with each limit that changes.
	entries map[string]*entry
}

// entry is one server in the book.
type entry struct {
	limit  protocol.RateLimit
	said   time.Time // said is when the server said so.
	change uint64    // change is that of the book by which the limit came.
	counts map[lifeOf]bool
	level  float64 // level are the permits that may be given at once; below 0 where more was sent.
	at     time.Time
	recent []count // recent are permits that were given, and requests that were sent without.
}

// lifeOf names a gateway whose requests of the time before are counted.
type lifeOf struct {
	gateway string
	life    uint64
}

// count are some requests at a time.
type count struct {
	requests int
	at       time.Time
}

const (
	// span is the time over which permits are counted: those that are used in a window were
	// given in it, or just ahead of it.
	span = Window + PermitLasts
	// atOnce is the time whose permits may be given at once, so that a server in need gets
	// its requests one after the other.
	atOnce = 500 * time.Millisecond
	// leastWait is the least time after which a gateway may ask again.
	leastWait = 10 * time.Millisecond
	// goneKept is for how long a limit that is gone stays in the book, so that all gateways hear of it.
	goneKept = time.Minute
)

// NewPermitAllocator returns a book without entries.
func NewPermitAllocator() *PermitAllocator { return &PermitAllocator{entries: map[string]*entry{}} }

// HandleReport takes a gateway's report and returns what it lacks, and its permits.
func (b *PermitAllocator) HandleReport(m *protocol.LimitsMsg, term uint64, now time.Time) protocol.LimitsReply {
	var overruled []protocol.ServerLimit
	for i := range m.Heard {
		h := &m.Heard[i]
		b.hear(h, now)
		if holds := b.Limit(h.Server); holds != h.Limit {
			overruled = append(overruled, protocol.ServerLimit{Server: h.Server, Limit: holds})
		}
	}
	for i := range m.Sent {
		b.countSent(lifeOf{m.Gateway, m.Life}, &m.Sent[i], now)
	}
	held := m.Held
	if m.Term != term {
		held = 0
	}
	reply := protocol.LimitsReply{Leads: true, Term: term, Change: b.change, Limits: append(b.news(held), overruled...)}
	for i := range m.Wants {
		reply.Grants = append(reply.Grants, b.grant(lifeOf{m.Gateway, m.Life}, &m.Wants[i], now))
	}
	return reply
}

// hear takes what a server said to a gateway, unless it said something else since.
func (b *PermitAllocator) hear(h *protocol.HeardLimit, now time.Time) {
	said := now.Add(-h.Ago)
	e := b.entries[h.Server]
	if e == nil {
		e = &entry{at: now, counts: map[lifeOf]bool{}}
		b.entries[h.Server] = e
	}
	if said.Before(e.said) {
		return
	}
	e.said = said
	if e.limit == h.Limit {
		return
	}
	if !e.limit.Named {
		clear(e.counts) // What was sent without a limit is counted anew.
		e.recent, e.level, e.at = nil, 0, now
	}
	e.limit = h.Limit
	b.change++
	e.change = b.change
}

// countSent counts what a gateway had sent before it kept to the limit, once.
func (b *PermitAllocator) countSent(by lifeOf, row *protocol.SentRequests, now time.Time) {
	e := b.entries[row.Server]
	if e == nil || e.counts[by] {
		return
	}
	e.counts[by] = true
	for age, n := range row.Slots {
		if n > 0 {
			e.recent = append(e.recent, count{n, now.Add(-time.Duration(age) * protocol.SentSlot)})
		}
	}
}

// news returns the limits that changed behind a change.
func (b *PermitAllocator) news(held uint64) []protocol.ServerLimit {
	if held == b.change {
		return nil
	}
	var list []protocol.ServerLimit
	for server, e := range b.entries {
		if e.change > held {
			list = append(list, protocol.ServerLimit{Server: server, Limit: e.limit})
		}
	}
	return list
}

// Change returns the change of the latest limit; 0 before the first.
func (b *PermitAllocator) Change() uint64 { return b.change }

// Limit returns a server's limit.
func (b *PermitAllocator) Limit(server string) protocol.RateLimit {
	if e := b.entries[server]; e != nil {
		return e.limit
	}
	return protocol.RateLimit{}
}

// Limits returns the limits that hold, by server.
func (b *PermitAllocator) Limits() map[string]float64 {
	all := map[string]float64{}
	for server, e := range b.entries {
		if e.limit.Named {
			all[server] = e.limit.PerSecond
		}
	}
	return all
}

// Prune drops the servers that are listed no more, and limits that are gone for long.
func (b *PermitAllocator) Prune(listed func(server string) bool, now time.Time) {
	maps.DeleteFunc(b.entries, func(server string, e *entry) bool {
		return !listed(server) || (!e.limit.Named && now.Sub(e.said) > goneKept)
	})
}

// grant gives permits to a gateway. One whose earlier requests are not counted gets none.
func (b *PermitAllocator) grant(by lifeOf, w *protocol.PermitWant, now time.Time) protocol.PermitGrant {
	g := protocol.PermitGrant{Server: w.Server, Lasts: PermitLasts}
	e := b.entries[w.Server]
	if e == nil || !e.limit.Named {
		return g
	}
	e.fill(now)
	e.returned(max(0, w.Back))
	e.note(max(0, w.Alone), now)
	if e.counts[by] {
		g.Count = max(0, min(w.Count, int(math.Floor(e.level)), e.room()))
		e.note(g.Count, now)
	}
	if g.Count < w.Count {
		g.Wait = e.wait(now)
	}
	return g
}

// rate is the limit that is kept to, in requests a second.
func (e *entry) rate() float64 { return max(e.limit.PerSecond, slowest) }

// fill brings the level up to date, and forgets what lies behind the span.
func (e *entry) fill(now time.Time) {
	most := max(1, e.rate()*atOnce.Seconds())
	e.level = min(most, e.level+e.rate()*max(0, now.Sub(e.at).Seconds()))
	e.at = now
	kept := e.recent[:0]
	for _, c := range e.recent {
		if now.Sub(c.at) < span {
			kept = append(kept, c)
		}
	}
	e.recent = kept
}

// room is how many permits may be given in the span that ends now.
func (e *entry) room() int {
	room := e.mostInSpan()
	for _, c := range e.recent {
		room -= c.requests
	}
	return room
}

// mostInSpan is how many permits may be given in a span.
func (e *entry) mostInSpan() int { return int(max(1, e.rate()*span.Seconds())) }

// note counts permits that are given, or requests that were sent without. Of the latter the
// level owes no more than it gets back in a window.
func (e *entry) note(requests int, now time.Time) {
	if requests == 0 {
		return
	}
	e.level = max(e.level-float64(requests), -e.rate()*Window.Seconds())
	e.recent = append(e.recent, count{requests, now})
}

// returned takes permits off that were not used: the latest ones, since they expire soon.
func (e *entry) returned(n int) {
	e.level += float64(n)
	for i := len(e.recent) - 1; i >= 0 && n > 0; i-- {
		part := min(n, e.recent[i].requests)
		e.recent[i].requests -= part
		n -= part
	}
}

// wait is when a permit may be given next.
func (e *entry) wait(now time.Time) time.Duration {
	wait := time.Duration((1 - e.level) / e.rate() * float64(time.Second))
	over := 1 - e.room()
	for _, c := range e.recent { // Not in order of time: gateways tell what they sent before.
		if over > 0 && c.requests > 0 {
			wait = max(wait, c.at.Add(span).Sub(now))
			over -= c.requests
		}
	}
	return max(leastWait, wait)
}
