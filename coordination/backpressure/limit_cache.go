package backpressure

import (
	"maps"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// forwardedRetention is how long a limit is served to other gateways. Each gateway reports
// it once, and those that can still reach a control instance learn of it much earlier.
const forwardedRetention = time.Minute

// LimitCache holds, on a control instance, the limits that gateways report while no leader
// answers them. It serves them to other gateways, and issues no permits.
type LimitCache struct {
	incarnation uint64 // incarnation differs with each start of the control instance.
	change      uint64 // change is a counter that rises with each change of a limit.
	limits      map[string]cachedLimit
}

// cachedLimit is a limit that a server sent to some gateway.
type cachedLimit struct {
	service  string // service is empty if the gateway is of an earlier build.
	limit    protocol.RateLimit
	statedAt time.Time
	change   uint64 // change is the cache's counter at the last change of this limit.
}

// NewLimitCache returns an empty cache.
func NewLimitCache(incarnation uint64) *LimitCache {
	return &LimitCache{incarnation: incarnation, limits: map[string]cachedLimit{}}
}

// Exchange stores the limits that servers sent to a gateway, and returns those of other
// gateways that it does not know yet.
func (c *LimitCache) Exchange(m *protocol.SharedLimitsMsg, now time.Time) protocol.SharedLimitsReply {
	maps.DeleteFunc(c.limits, func(_ string, l cachedLimit) bool { return now.Sub(l.statedAt) > forwardedRetention })
	known := m.Held.Change
	if m.Held.Incarnation != c.incarnation {
		known = 0
	}
	reply := protocol.SharedLimitsReply{Heard: c.changedSince(known, now)}
	for i := range m.Heard {
		c.store(&m.Heard[i], now)
	}
	reply.Holds = protocol.SharedLimitsVersion{Incarnation: c.incarnation, Change: c.change}
	return reply
}

// changedSince returns the limits that changed after the given value of the counter.
func (c *LimitCache) changedSince(change uint64, now time.Time) (list []protocol.ReportedLimit) {
	if change == c.change {
		return nil
	}
	for server, l := range c.limits {
		if l.change > change {
			list = append(list, protocol.ReportedLimit{Server: server, Service: l.service, Limit: l.limit, Ago: now.Sub(l.statedAt)})
		}
	}
	return list
}

// store stores a limit that a server sent to a gateway, unless a later one is known.
func (c *LimitCache) store(h *protocol.ReportedLimit, now time.Time) {
	l, known := c.limits[h.Server]
	statedAt := now.Add(-h.Ago)
	if known && statedAt.Before(l.statedAt) {
		return
	}
	if !known || l.limit != h.Limit {
		c.change++
		l.change = c.change
	}
	l.service, l.limit, l.statedAt = h.Service, h.Limit, statedAt
	c.limits[h.Server] = l
}

// DirectLimits returns the limits, and withdrawals of limits, that came in responses of
// servers to this gateway. While no leader answers, the gateway reports all of them, even
// those that the last leader knew: it may have told only some gateways before it failed.
func (l *Limits) DirectLimits(now time.Time) (list []protocol.ReportedLimit) {
	for server, s := range l.servers {
		if s.direct {
			list = append(list, protocol.ReportedLimit{Server: server, Service: l.listed[server].Service, Limit: s.limit, Ago: now.Sub(s.statedAt)})
		}
	}
	return list
}

// MergeForwarded takes limits that servers sent to other gateways, and reports whether a
// limit changed. A later response of the server to this gateway overrides such a limit. The
// gateway's next report passes it to the next leader.
func (l *Limits) MergeForwarded(rows []protocol.ReportedLimit, now time.Time) (changed bool) {
	for i := range rows {
		changed = l.mergeLimit(&rows[i], now) || changed
	}
	return changed
}

func (l *Limits) mergeLimit(row *protocol.ReportedLimit, now time.Time) (changed bool) {
	s, statedAt := l.servers[row.Server], now.Add(-row.Ago)
	if s == nil && row.Limit.IsZero() || s != nil && !s.presumed && !statedAt.After(s.statedAt) {
		return false
	}
	if s == nil {
		s = &serverState{}
		l.servers[row.Server] = s
	}
	s.statedAt, s.presumed = statedAt, false
	changed = s.setLimit(row.Limit, false)
	s.direct = s.direct && !changed
	l.recordBrittle(row.Server, row.Service, row.Limit)
	return changed
}
