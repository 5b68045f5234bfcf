package forward

import (
	"fmt"
	"sync"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/weldstream/weldstream/protocol"
)

// meters are the gateway's own figures.
type meters struct {
	requests metrics.Counter
	answered metrics.Counter
	refused  metrics.Counter
	broken   metrics.Counter
	attempts metrics.Counter
	resent   metrics.Counter
	first    metrics.Timer

	serversEnded metrics.Counter // serversEnded are servers that ended under requests, unannounced.
	restarted    metrics.Counter // restarted are servers that started again under their names.
	refusedHeld  metrics.Counter // refusedHeld are requests that were refused since servers had ended under them.
	triedHeld    metrics.Counter // triedHeld are trials of such requests.

	distances      *distanceMeters
	moves          metrics.Counter // moves are copies of runs that were begun.
	moved          metrics.Counter // moved are runs that went on elsewhere.
	moveFailed     metrics.Counter // moveFailed are runs that had stopped and were not taken anywhere.
	moveFreed      metrics.Counter // moveFreed are copies that served nobody.
	moveHeld       metrics.Counter // moveHeld are copies that are set aside now.
	moveTokens     metrics.Counter // moveTokens are those of the moved prompts.
	moveCopy       metrics.Timer   // moveCopy is how long one copy takes.
	moveTime       metrics.Timer   // moveTime is from the first copy until the next server answers.
	asked          metrics.Counter // asked are questions to servers for their state.
	noticed        metrics.Counter // noticed are answers to them that told of an end.
	rests          metrics.Counter // rests are how often servers asked for rest.
	limits         metrics.Counter // limits are how often servers named another limit of requests than before.
	refusedLimited metrics.Counter // refusedLimited are requests that were refused as all servers were at their limits.
	copies         metrics.Counter // copies are requests whose server was told whom to copy from.

	registry metrics.Registry
	mu       sync.Mutex // mu guards ended.
	ended    map[outcome]metrics.Counter
}

// outcome is what requests are counted by when they end.
type outcome struct {
	route     string
	workspace string
	verdict   protocol.Verdict
}

// mostOutcomes bounds the counters of outcomes: names come from the operators, and
// each counter costs memory and a line. What is beyond counts under otherName.
const (
	mostOutcomes = 512
	otherName    = "other"
)

func newMeters(r metrics.Registry) *meters {
	return &meters{
		requests: metrics.GetOrRegisterCounter("requests", r),
		answered: metrics.GetOrRegisterCounter("requests.answered", r),
		refused:  metrics.GetOrRegisterCounter("requests.refused", r),
		broken:   metrics.GetOrRegisterCounter("requests.broken", r),
		attempts: metrics.GetOrRegisterCounter("attempts", r),
		resent:   metrics.GetOrRegisterCounter("attempts.resent", r),
		first:    metrics.GetOrRegisterTimer("first", r),

		serversEnded:   metrics.GetOrRegisterCounter("servers.ended", r),
		restarted:      metrics.GetOrRegisterCounter("servers.restarted", r),
		refusedHeld:    metrics.GetOrRegisterCounter("quarantine.refused", r),
		triedHeld:      metrics.GetOrRegisterCounter("quarantine.tried", r),
		moves:          metrics.GetOrRegisterCounter(`moves.begun{cause="leaving"}`, r),
		moved:          metrics.GetOrRegisterCounter(`moves.done{cause="leaving"}`, r),
		moveFailed:     metrics.GetOrRegisterCounter(`moves.failed{cause="leaving"}`, r),
		moveFreed:      metrics.GetOrRegisterCounter("moves.freed", r),
		moveHeld:       metrics.GetOrRegisterCounter("moves.held", r),
		moveTokens:     metrics.GetOrRegisterCounter("moves.tokens", r),
		moveCopy:       metrics.GetOrRegisterTimer("moves.copy", r),
		moveTime:       metrics.GetOrRegisterTimer("moves.time", r),
		asked:          metrics.GetOrRegisterCounter("servers.asked", r),
		noticed:        metrics.GetOrRegisterCounter("servers.noticed", r),
		rests:          metrics.GetOrRegisterCounter("servers.rests", r),
		limits:         metrics.GetOrRegisterCounter("servers.limits", r),
		refusedLimited: metrics.GetOrRegisterCounter("limits.refused", r),
		copies:         metrics.GetOrRegisterCounter("copies", r),
		distances:      newDistanceMeters(r),
		registry:       r,
		ended:          map[outcome]metrics.Counter{},
	}
}

// end counts a request that ended. Its labels follow the name of the counter in
// braces, as scrapers read them.
func (m *meters) end(o outcome) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ended[o] == nil && len(m.ended) >= mostOutcomes {
		o.route, o.workspace = otherName, otherName
	}
	c := m.ended[o]
	if c == nil {
		name := fmt.Sprintf("requests.ended{route=%q,workspace=%q,verdict=%q}", o.route, o.workspace, o.verdict)
		c = metrics.GetOrRegisterCounter(name, m.registry)
		m.ended[o] = c
	}
	c.Inc(1)
}
