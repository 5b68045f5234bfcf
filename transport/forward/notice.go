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
	// noticeEvery is between two rounds of questions to servers. A run is moved a second
	// before its server's end and takes some 0.2 s, so three rounds fall into the rest.
	noticeEvery = 250 * time.Millisecond
	// noticeTime bounds one question: a round has ended when the next one begins.
	noticeTime = 200 * time.Millisecond
	// mostNotices bounds the questions of a round. Gateways of the largest fleet that was
	// played have runs at fewer servers than that.
	mostNotices = 64
)

// Reporter translates the question by which a server tells its own state.
type Reporter interface {
	// StateRequest makes out the question.
	StateRequest(out *fasthttp.Request)
	// ReadState reads the answer, whose body is given. It is false for one that tells no state.
	ReadState(status int, body []byte) (ServerState, bool)
}

// ServerState is what a server tells of itself.
type ServerState struct {
	Start   int64         // Start is when it started, in ms since 1970; 0 where it does not tell.
	Leaving bool          // Leaving says that it takes no new requests.
	Left    time.Duration // Left is how much longer it runs, if it is leaving; 0 where that is not known.
}

// WithReporter sets what translates the questions to servers for their state; without it
// notices come with the list alone.
func WithReporter(r Reporter) Option { return func(g *Gateway) { g.moves.reporter = r } }

// askForNotices asks the servers that have runs whether they are leaving. It is called
// again and again while the list may be out of date, since no leader answers or the platform
// does not answer the leader: the servers then are the only ones that tell of their ends. Without it the running answers of a
// server that is taken away between two leaders were cut: 27 of 360 in 30 notices of 1.2 s
// beside two deaths of the leader.
func (g *Gateway) askForNotices(now time.Time) {
	m := &g.moves
	if m.mover == nil || m.reporter == nil {
		return
	}
	for _, s := range m.toAsk(now) {
		go g.askForNotice(s)
	}
}

// toAsk returns the servers to ask in a round that begins now; none before it is time.
func (m *moves) toAsk(now time.Time) []*place.Server {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.askedAt) < noticeEvery {
		return nil
	}
	m.askedAt = now
	var list []*place.Server
	for id, runs := range m.runs { // The order is drawn anew each time, so that none is always left out.
		if _, known := m.notices[id]; known || len(list) == mostNotices {
			continue
		}
		for r := range runs {
			list = append(list, r.server)
			break
		}
	}
	return list
}

// askForNotice asks one server, and has its runs moved if it is leaving. One that limits
// its requests is asked only where it takes one more.
func (g *Gateway) askForNotice(s *place.Server) {
	if !g.spare(s.ID) {
		return
	}
	out := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(out)
	g.moves.reporter.StateRequest(out)
	g.meters.asked.Inc(1)
	status, body, err := g.ask(s, out, time.Now().Add(noticeTime))
	if err != nil {
		g.log.Debug().Err(err).Str("server", s.ID).Msg("a server did not tell its state")
		return // It is asked again in the next round.
	}
	state, ok := g.moves.reporter.ReadState(status, body)
	if !ok || !state.Leaving || state.Left <= 0 || !sameStart(s.ID, state.Start) {
		return
	}
	g.log.Info().Str("server", s.ID).Dur("left", state.Left).Msg("server tells that it leaves")
	g.meters.noticed.Inc(1)
	now := clock.Now()
	g.moves.addOwn(s.ID, notice{at: now, end: now.Add(state.Left)})
	g.relist()
	time.AfterFunc(state.Left+moveGrace, g.relist) // Else a server that stays would count as leaving until the list changes.
}

// sameStart reports whether an answer of the start of a server is of the one that has an id,
// as far as both are told. Another server may have come to the address.
func sameStart(id string, start int64) bool {
	known := protocol.ParseIncarnation(id).Start
	return known == 0 || start == 0 || known == start
}

// addOwn keeps a notice that a server gave itself.
func (m *moves) addOwn(server string, n notice) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.own[server] = n
}

// withNotices returns a list with the servers as leaving that told so themselves. The list
// may be older than that; a server that is still there a while behind its end counts as
// listed again.
func (m *moves) withNotices(list []protocol.Instance, now time.Time) []protocol.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.own, func(_ string, n notice) bool { return now.After(n.end.Add(moveGrace)) })
	if len(m.own) == 0 {
		return list
	}
	list = slices.Clone(list)
	for i := range list {
		n, ok := m.own[list[i].ID]
		if ok && (!list[i].Leaving || list[i].LeftMS <= 0) {
			list[i].Leaving, list[i].LeftMS = true, max(1, n.end.Sub(now).Milliseconds())
		}
	}
	return list
}
