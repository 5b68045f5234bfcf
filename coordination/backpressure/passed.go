package backpressure

import (
	"maps"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// passedKept is for how long a limit is passed on: gateways tell it once, and those that
// can still reach a control instance have heard of it long before.
const passedKept = time.Minute

// LimitCache are the limits that gateways tell a control instance while no leader answers them.
// It passes them on to the others, and gives out no permits.
type LimitCache struct {
	incarnation uint64 // incarnation differs with each start of the control instance.
	change      uint64 // change rises with each limit that changes.
	limits      map[string]passedLimit
}

// passedLimit is what a server said to some gateway.
type passedLimit struct {
	limit  protocol.RateLimit
	said   time.Time
	change uint64 // change is that by which the limit came.
}

// NewLimitCache returns those of a control instance that has heard of none.
func NewLimitCache(incarnation uint64) *LimitCache {
	return &LimitCache{incarnation: incarnation, limits: map[string]passedLimit{}}
}

// Exchange takes what servers said to a gateway and returns what the gateway lacks of what
// they said to others.
func (p *LimitCache) Exchange(m *protocol.PassedMsg, now time.Time) protocol.PassedReply {
	maps.DeleteFunc(p.limits, func(_ string, l passedLimit) bool { return now.Sub(l.said) > passedKept })
	held := m.Held.Change
	if m.Held.Incarnation != p.incarnation {
		held = 0
	}
	reply := protocol.PassedReply{Heard: p.since(held, now)}
	for i := range m.Heard {
		p.hear(&m.Heard[i], now)
	}
	reply.Holds = protocol.PassedMark{Incarnation: p.incarnation, Change: p.change}
	return reply
}

// since returns the limits that changed behind a change.
func (p *LimitCache) since(change uint64, now time.Time) (list []protocol.HeardLimit) {
	if change == p.change {
		return nil
	}
	for server, l := range p.limits {
		if l.change > change {
			list = append(list, protocol.HeardLimit{Server: server, Limit: l.limit, Ago: now.Sub(l.said)})
		}
	}
	return list
}

// hear takes what a server said to a gateway, unless it said something else since.
func (p *LimitCache) hear(h *protocol.HeardLimit, now time.Time) {
	l, known := p.limits[h.Server]
	said := now.Add(-h.Ago)
	if known && said.Before(l.said) {
		return
	}
	if !known || l.limit != h.Limit {
		p.change++
		l.change = p.change
	}
	l.limit, l.said = h.Limit, said
	p.limits[h.Server] = l
}

// DirectLimits returns the limits that servers named, or took back, in answers to this gateway.
// The gateway reports all of them while no leader answers, also those that a leader had:
// it may have told only some gateways before it failed.
func (l *Limits) DirectLimits(now time.Time) (list []protocol.HeardLimit) {
	for server, s := range l.servers {
		if s.heard {
			list = append(list, protocol.HeardLimit{Server: server, Limit: s.limit, Ago: now.Sub(s.said)})
		}
	}
	return list
}

// MergeForwarded takes what servers said to other gateways, and reports whether a limit changed
// by it. A later answer of the server to this gateway overrides it. The next leader gets it
// with the gateway's report.
func (l *Limits) MergeForwarded(rows []protocol.HeardLimit, now time.Time) (changed bool) {
	for i := range rows {
		changed = l.takePassed(&rows[i], now) || changed
	}
	return changed
}

func (l *Limits) takePassed(row *protocol.HeardLimit, now time.Time) bool {
	s, said := l.servers[row.Server], now.Add(-row.Ago)
	if s == nil && !row.Limit.Named || s != nil && !said.After(s.said) {
		return false
	}
	if s == nil {
		s = &limited{}
		l.servers[row.Server] = s
	}
	s.said = said
	if !s.set(row.Limit, false) {
		return false
	}
	s.heard = false
	return true
}
