package forward

import (
	"slices"
	"time"

	"github.com/weldstream/weldstream/coordination/origin"
	"github.com/weldstream/weldstream/coordination/resend"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// firstAsked is the number of gateways that are asked first for the origin of a stream: those that
// keep it, and the one that began the stream if it would suit best itself.
const firstAsked = origin.Copies + 1

// findOrigin finds out which version began the stream that the caller resumes. It returns a refusal
// if that is not known for certain.
func (x *exchange) findOrigin() *protocol.Refusal {
	if x.call.LastEvent == "" || x.route.Kind != protocol.RouteStream {
		return nil
	}
	began := clock.Now()
	found, source, complete := x.lookUpOrigin()
	_, listAge := x.history()
	x.g.meters.countStreamResumed(source)
	x.log.Info().Str("resumes", x.call.Resumes).Stringer("source", source).Str("service", found.Service).Str("version", found.Version).
		Bool("all_answered", complete).Dur("list_age", listAge).Dur("took", clock.Since(began)).Msg("version of a resumed stream")
	if source == origin.Unknown {
		return x.refuseUnknownVersion(complete)
	}
	if !slices.ContainsFunc(x.route.Split, func(s protocol.WeightedService) bool { return s.Service == found.Service }) {
		x.g.meters.countStreamRefused("service gone")
		return protocol.NewRefusal(protocol.StatusServiceUnavailable, protocol.CodeVersionGone, "the route no longer leads to the service that began the stream")
	}
	x.service = found.Service
	found.Key, found.Lifetime = x.streamKey(), x.streamLifetime()
	x.origin = &found
	return x.refuseVanishedVersion(nil)
}

// refuseUnknownVersion refuses a stream of unknown version. Another gateway may know it unless all
// that would keep it have answered.
func (x *exchange) refuseUnknownVersion(complete bool) *protocol.Refusal {
	x.g.meters.countStreamRefused("version unknown")
	refusal := protocol.NewRefusal(protocol.StatusServiceUnavailable, protocol.CodeVersionUnknown, "the version that began the stream is not known")
	if complete {
		return refusal
	}
	return refusal.WithRetryAfter(resend.RetryAfter(x.route.Target))
}

// lookUpOrigin looks for the origin of the stream in the table, at other gateways, in the origin store
// and in the histories. complete reports that asking again is of no use: all instances that may keep the
// origin have answered and, if there is an origin store, the leader among them.
func (x *exchange) lookUpOrigin() (found protocol.StreamOrigin, source origin.Source, complete bool) {
	g, key := x.g, x.streamKey()
	s, now := &g.origins, clock.Now()
	s.mu.Lock()
	r, known := s.table.Find(key, now)
	s.mu.Unlock()
	if known {
		return r.Origin(key, now), origin.FromTable, true
	}
	m := origin.JudgeMsg{Lifetime: x.streamLifetime(), HasStore: g.originStore != nil}
	keepers, store := g.peerTargets(origin.Keepers(key, g.cfg.Topology, g.keepers())), g.storeTargets()
	first, leads := min(firstAsked, len(keepers)), false
	query := &protocol.OriginQuery{Key: key, Route: x.route.Name}
	for _, targets := range [][]originTarget{slices.Concat(store, keepers[:first]), keepers[first:]} {
		for i, reply := range g.askOrigin(targets, query) {
			m.Replies = append(m.Replies, reply)
			if targets[i].isStore && (reply.Leads || reply.Single.For > 0) { // A leader of an earlier build does not say that it leads.
				leads, m.Leader = true, reply.Single
			}
		}
		m.AllAnswered = len(m.Replies) == len(keepers)+len(store)
		m.Single, m.ListAge = x.history()
		if found, source = origin.Judge(m); source != origin.Unknown {
			break
		}
	}
	return found, source, len(keepers) > 0 && m.AllAnswered && (leads || !m.HasStore)
}

// history returns what this gateway has seen of the route's service and its versions, and how old
// its list of servers is.
func (x *exchange) history() (protocol.SingleVersion, time.Duration) {
	s, now := &x.g.origins, clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history.Single(x.route.Name, now), s.history.ListAge(now)
}

// askOrigin asks instances for the origin of a stream, all at once, and returns the replies that came
// until one of them has it, by the index of the instance.
func (g *Gateway) askOrigin(targets []originTarget, query *protocol.OriginQuery) map[int]protocol.OriginReply {
	type answer struct {
		index int
		reply protocol.OriginReply
		err   error
	}
	received := make(chan answer, len(targets))
	for i := range targets {
		go func() { // It ends with the time-out of the call.
			a := answer{index: i}
			a.err = targets[i].find(query, &a.reply)
			received <- a
		}()
	}
	replies := map[int]protocol.OriginReply{}
	for range targets {
		a := <-received
		if a.err != nil {
			g.log.Info().Str("peer", targets[a.index].name).Err(a.err).Msg("an instance did not say what version began a stream")
			continue
		}
		replies[a.index] = a.reply
		if a.reply.Found {
			break
		}
	}
	return replies
}

// answerOrigin answers another gateway's query.
func (g *Gateway) answerOrigin(q *protocol.OriginQuery) (reply protocol.OriginReply) {
	s, now := &g.origins, clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.table.Find(q.Key, now); ok {
		reply.Found, reply.Origin = true, r.Origin(q.Key, now)
	}
	reply.Several = s.history.Several(q.Route)
	if origin.Current(s.history.ListAge(now)) {
		reply.Single = s.history.Single(q.Route, now)
	}
	return reply
}
