package backpressure

import (
	"maps"
	"slices"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// Decision says whether a request may be sent to a server.
type Decision uint8

// The verdicts.
const (
	Send       Decision = iota // Send means that it may be sent.
	NeedPermit                 // Ask means that the leader must be asked for a permit first.
	Wait                       // Wait means that it may not be sent for a while.
)

// Limits are the limits of servers as one gateway knows them, and its permits.
type Limits struct {
	gateways   int
	chance     func() float64 // chance is from 0 to 1, each time another.
	term       uint64         // term is the leader's that held is of.
	held       uint64         // held is the change of its limits that is known here.
	unanswered time.Time      // unanswered is when the first question was sent that got no answer; zero for none.
	servers    map[string]*limited
	sent       map[string]*sent
}

// limited is one server that named a limit.
type limited struct {
	limit     protocol.RateLimit
	said      time.Time // said is when the server said so, as far as is known.
	reported  bool      // reported says that the leader of the term has this.
	counted   bool      // counted says that it has what was sent here, too.
	heard     bool      // heard says that the server said so in an answer to this gateway.
	permits   []permits
	lacking   int       // lacking are requests without a permit since the last question.
	back      int       // back are permits that expired unused, to be reported.
	alone     int       // alone are requests that were sent without a permit, to be reported.
	reporting int       // reporting are those of them that the report under way names.
	room      time.Time // room is when there will be more permits, as far as is known.
	own       ownPart
}

// permits may be used up to a time.
type permits struct {
	count int
	until time.Time
}

// LimitsOption changes new limits.
type LimitsOption func(*Limits)

// WithRandom sets what is drawn by chance, from 0 to 1; without it gateways draw the same.
func WithRandom(chance func() float64) LimitsOption { return func(l *Limits) { l.chance = chance } }

// NewLimits returns those of a gateway that knows none.
func NewLimits(opts ...LimitsOption) *Limits {
	l := &Limits{gateways: 1, chance: func() float64 { return 0 }, servers: map[string]*limited{}, sent: map[string]*sent{}}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// SetGateways notes how many gateways there are.
func (l *Limits) SetGateways(n int) { l.gateways = max(1, n) }

// UpdateLimit notes what a server said of its limit in an answer, and reports whether that is
// another limit than before.
func (l *Limits) UpdateLimit(server string, limit protocol.RateLimit, now time.Time) (changed bool) {
	s := l.servers[server]
	if s == nil && !limit.Named {
		return false
	}
	if s == nil {
		s = &limited{}
		l.servers[server] = s
	}
	s.said = now
	if !s.set(limit, false) {
		return false
	}
	s.heard = true
	return true
}

// set puts a limit in force, and reports whether it is another one than before.
func (s *limited) set(limit protocol.RateLimit, reported bool) (changed bool) {
	if s.limit == limit {
		return false
	}
	if !s.limit.Named {
		s.counted = false // What was sent meanwhile is to be reported.
	}
	s.limit, s.reported = limit, reported
	s.permits, s.room = nil, time.Time{} // What was granted under another limit is given up.
	return true
}

// RecordSent counts a request that is sent to a server, whether or not it names a limit.
func (l *Limits) RecordSent(server string, now time.Time) {
	s := l.sent[server]
	if s == nil {
		s = &sent{}
		l.sent[server] = s
	}
	s.add(now)
}

// Acquire takes a permit for a request to a server. With Wait, wait is when there may be one.
func (l *Limits) Acquire(server string, now time.Time) (v Decision, wait time.Duration) {
	s := l.servers[server]
	if s == nil || !s.limit.Named || s.spend(now) {
		return Send, 0
	}
	if l.isAlone(now) {
		s.own.begin(l, s.limit, now)
		if s.own.take(now) {
			s.alone++
			return Send, 0
		}
		return Wait, s.own.wait()
	}
	if now.Before(s.room) {
		return Wait, s.room.Sub(now)
	}
	s.lacking++
	return NeedPermit, 0
}

// ForceAcquire takes a permit for a request that is sent in any case: it has its place at the
// server already. Where there is none, it is reported as sent without one.
func (l *Limits) ForceAcquire(server string, now time.Time) {
	s := l.servers[server]
	if s != nil && s.limit.Named && !s.spend(now) {
		s.alone++
	}
}

// spend uses a permit, the one that expires first before others.
func (s *limited) spend(now time.Time) bool {
	s.expire(now)
	if len(s.permits) == 0 {
		return false
	}
	s.permits[0].count--
	if s.permits[0].count == 0 {
		s.permits = s.permits[1:]
	}
	return true
}

// expire drops the permits whose time is over, and returns how many are left.
func (s *limited) expire(now time.Time) (left int) {
	s.permits = slices.DeleteFunc(s.permits, func(p permits) bool {
		if now.Before(p.until) {
			left += p.count
			return false
		}
		s.back += p.count
		return true
	})
	return left
}

// Limit returns what a server limits its requests to.
func (l *Limits) Limit(server string) protocol.RateLimit {
	if s := l.servers[server]; s != nil {
		return s.limit
	}
	return protocol.RateLimit{}
}

// EachWaiting calls a func with each server for which there is no permit for a while, as the
// leader said, and for how long. While none answers, that says nothing.
func (l *Limits) EachWaiting(now time.Time, call func(server string, wait time.Duration)) {
	if l.isAlone(now) {
		return
	}
	for server, s := range l.servers {
		if wait := s.room.Sub(now); s.limit.Named && wait > 0 && s.expire(now) == 0 {
			call(server, wait)
		}
	}
}

// Limited returns the servers that name a limit, sorted.
func (l *Limits) Limited() []string {
	var list []string
	for server, s := range l.servers {
		if s.limit.Named {
			list = append(list, server)
		}
	}
	slices.Sort(list)
	return list
}

// Prune drops the servers that are listed no more.
func (l *Limits) Prune(listed func(server string) bool) {
	gone := func(server string) bool { return !listed(server) }
	maps.DeleteFunc(l.servers, func(server string, _ *limited) bool { return gone(server) })
	maps.DeleteFunc(l.sent, func(server string, _ *sent) bool { return gone(server) })
}

// IsStale reports whether a leader has limits that are not known here.
func (l *Limits) IsStale(term, change uint64) bool {
	return change != 0 && (term != l.term || change != l.held)
}

// Report returns what the leader lacks and the permits that are wanted. It is false where
// there is neither: no server names a limit, as far as is known here.
func (l *Limits) Report(now time.Time) (m protocol.LimitsMsg, any bool) {
	m.Term, m.Held = l.term, l.held
	for server, s := range l.servers {
		if !s.reported {
			m.Heard = append(m.Heard, protocol.HeardLimit{Server: server, Limit: s.limit, Ago: now.Sub(s.said)})
		}
		if !s.limit.Named {
			continue
		}
		if !s.counted {
			m.Sent = append(m.Sent, protocol.SentRequests{Server: server, Slots: l.sentTo(server, now)})
		}
		if want := s.want(server, now); want.Count+want.Back+want.Alone > 0 {
			m.Wants = append(m.Wants, want)
		}
	}
	switch {
	case len(l.servers) == 0:
		l.unanswered = time.Time{}
	case l.unanswered.IsZero():
		l.unanswered = now
	}
	return m, len(l.servers) > 0
}

// sentTo returns how many requests were sent to a server, by age.
func (l *Limits) sentTo(server string, now time.Time) []int {
	if s := l.sent[server]; s != nil {
		return s.byAge(now)
	}
	return nil
}

// want returns the permits that are to be asked for. None are asked for in advance: where
// requests for one server are rare at each of many gateways, most of those would expire
// while others lack them.
func (s *limited) want(server string, now time.Time) protocol.PermitWant {
	count := max(0, s.lacking-s.expire(now))
	w := protocol.PermitWant{Server: server, Count: count, Back: s.back}
	s.reporting = s.alone
	if s.counted {
		w.Alone = s.alone // Else they are among what was sent.
	}
	s.lacking, s.back = 0, 0 // If the message is lost, so are they.
	return w
}

// HandleReply takes the leader's answer to a report that was made at a time. It reports
// whether anything came of it for requests that wait.
func (l *Limits) HandleReply(m *protocol.LimitsMsg, reply *protocol.LimitsReply, asked, now time.Time) (news bool) {
	l.unanswered = time.Time{}
	if reply.Term != l.term {
		l.newTerm(reply.Term)
	}
	l.acknowledge(m)
	l.held = reply.Change
	for i := range reply.Limits {
		news = l.hear(&reply.Limits[i], asked) || news
	}
	for i := range reply.Grants {
		news = l.granted(&reply.Grants[i], asked, now) || news
	}
	maps.DeleteFunc(l.servers, func(_ string, s *limited) bool { return !s.limit.Named && s.reported })
	return news
}

// acknowledge notes that the leader has a report.
func (l *Limits) acknowledge(m *protocol.LimitsMsg) {
	for _, h := range m.Heard {
		if s := l.servers[h.Server]; s != nil && s.limit == h.Limit {
			s.reported = true
		}
	}
	for _, row := range m.Sent {
		if s := l.servers[row.Server]; s != nil {
			s.counted = true
		}
	}
	for _, s := range l.servers {
		s.alone, s.reporting = s.alone-s.reporting, 0
	}
}

// newTerm has all reported again: another leader knows nothing of it.
func (l *Limits) newTerm(term uint64) {
	l.term = term
	for _, s := range l.servers {
		s.reported, s.counted = false, false
	}
}

// hear takes a limit that the leader tells. What a server said here and has not been
// reported yet goes before it.
func (l *Limits) hear(news *protocol.ServerLimit, asked time.Time) (changed bool) {
	s := l.servers[news.Server]
	if s != nil && !s.reported {
		return false
	}
	if s == nil {
		s = &limited{reported: true}
		l.servers[news.Server] = s
	}
	s.said = asked
	if !s.set(news.Limit, true) {
		return false
	}
	s.heard = false
	return true
}

// granted puts permits in.
func (l *Limits) granted(g *protocol.PermitGrant, asked, now time.Time) bool {
	s := l.servers[g.Server]
	if s == nil {
		return false
	}
	s.room = time.Time{}
	if g.Wait > 0 {
		s.room = now.Add(g.Wait)
	}
	if g.Count > 0 {
		s.permits = append(s.permits, permits{count: g.Count, until: asked.Add(g.Lasts)})
	}
	return g.Count > 0
}
