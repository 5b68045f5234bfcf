package forward

import (
	"maps"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

const (
	// noticeInterval is the interval between two rounds of state requests. A run is moved a
	// second before its server's end, and a move takes some 0.2 s, so three rounds fit into
	// the remaining time.
	noticeInterval = 250 * time.Millisecond
	// noticeTimeout bounds one state request, so that a round has ended when the next one
	// starts.
	noticeTimeout = 200 * time.Millisecond
	// maxNoticeRequests bounds the state requests of a round. In the largest simulated fleet,
	// gateways had runs at fewer servers.
	maxNoticeRequests = 64
)

// Reporter translates the request by which a server is asked for its state.
type Reporter interface {
	// StateRequest builds the request.
	StateRequest(out *fasthttp.Request)
	// ReadState reads the answer. It returns false if the answer contains no state.
	ReadState(status int, body []byte) (ServerState, bool)
}

// ServerState is a server's state as the server reports it.
type ServerState struct {
	Start   int64         // Start is the server's start time in Unix milliseconds; 0 if not reported.
	Leaving bool          // Leaving reports that the server accepts no new requests.
	Left    time.Duration // Left is the time until a leaving server ends; 0 if unknown.
}

// WithReporter sets the translator of state requests. Without it, departures are known from
// the list only.
func WithReporter(r Reporter) Option { return func(g *Gateway) { g.moves.reporter = r } }

// askForNotices asks the servers that have runs whether they are leaving. It is called
// repeatedly while the list may be out of date because no leader answers, or because the
// platform does not answer the leader: only the servers can then report their ends. Without
// it, running answers were cut off when a server was removed between two leaders: 27 of 360
// in 30 notices of 1.2 s that coincided with two leader crashes.
func (g *Gateway) askForNotices(now time.Time) {
	m := &g.moves
	if m.mover == nil || m.reporter == nil {
		return
	}
	for _, s := range m.serversToAsk(now) {
		go g.askForNotice(s)
	}
}

// serversToAsk returns the servers to ask in a round that starts now, or none if no round is
// due.
func (m *runMoves) serversToAsk(now time.Time) []*place.Server {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.askedAt) < noticeInterval {
		return nil
	}
	m.askedAt = now
	var list []*place.Server
	for id, runs := range m.runs { // Map order is random, so that no server is always left out.
		if _, known := m.notices[id]; known || len(list) == maxNoticeRequests {
			continue
		}
		for r := range runs {
			list = append(list, r.server)
			break
		}
	}
	return list
}

// askForNotice asks one server for its state, and starts to move its runs if it is leaving. A
// server that limits its requests is asked only if there is a permit.
func (g *Gateway) askForNotice(s *place.Server) {
	if !g.acquireProbePermit(s.ID) {
		return
	}
	out := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(out)
	g.moves.reporter.StateRequest(out)
	g.meters.stateRequests.Inc(1)
	status, body, err := g.call(s, out, time.Now().Add(noticeTimeout))
	if err != nil {
		g.log.Debug().Err(err).Str("server", s.ID).Msg("server did not answer a state request")
		return // Repeated in the next round.
	}
	state, ok := g.moves.reporter.ReadState(status, body)
	if !ok || !state.Leaving || state.Left <= 0 || !sameStart(s.ID, state.Start) {
		return
	}
	g.log.Info().Str("server", s.ID).Dur("left", state.Left).Msg("server reports its departure")
	g.meters.departureNotices.Inc(1)
	now := clock.Now()
	g.moves.addSelfNotice(s.ID, departureNotice{at: now, end: now.Add(state.Left)})
	g.refreshView()
	time.AfterFunc(state.Left+departureGrace, g.refreshView) // Otherwise a server that stays would count as leaving until the list changes.
}

// sameStart reports whether an answer from a server that started at the given time belongs to
// the server with the given ID, as far as both start times are known. Another server may have
// taken over the address.
func sameStart(id string, start int64) bool {
	known := protocol.ParseIncarnation(id).Start
	return known == 0 || start == 0 || known == start
}

// addSelfNotice records a departure notice that a server gave itself.
func (m *runMoves) addSelfNotice(server string, n departureNotice) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.selfNotices[server] = n
}

// applySelfNotices returns the list with servers marked as leaving that announced it
// themselves. The list may be older than their notices. A server that still exists
// departureGrace after its announced end follows the list again.
func (m *runMoves) applySelfNotices(list []protocol.Instance, now time.Time) []protocol.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.selfNotices, func(_ string, n departureNotice) bool { return now.After(n.end.Add(departureGrace)) })
	if len(m.selfNotices) == 0 {
		return list
	}
	list = slices.Clone(list)
	for i := range list {
		n, ok := m.selfNotices[list[i].ID]
		if ok && (!list[i].Leaving || list[i].LeftMS <= 0) {
			list[i].Leaving, list[i].LeftMS = true, max(1, n.end.Sub(now).Milliseconds())
		}
	}
	return list
}
