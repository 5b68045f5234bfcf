package forward

import (
	"fmt"
	"sync"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/weldstream/weldstream/coordination/origin"
	"github.com/weldstream/weldstream/protocol"
)

// meters are the gateway's metrics.
type meters struct {
	requests      metrics.Counter
	answered      metrics.Counter
	refused       metrics.Counter
	brokenStreams metrics.Counter
	attempts      metrics.Counter
	retried       metrics.Counter
	firstByte     metrics.Timer

	serversCrashed    metrics.Counter // serversCrashed counts servers that terminated unannounced while they had requests.
	serversRestarted  metrics.Counter // serversRestarted counts servers that restarted under the same name.
	crashesIgnored    metrics.Counter // crashesIgnored counts servers that seemed to terminate because the path to them was lost.
	quarantineRefused metrics.Counter // quarantineRefused counts requests refused because servers had terminated while running them.
	quarantineTrials  metrics.Counter // quarantineTrials counts trials of such requests.

	distances        *distanceMeters
	moves            metrics.Counter // moves counts copies of runs that were started.
	movesDone        metrics.Counter // movesDone counts runs that continued at another server.
	moveFailed       metrics.Counter // moveFailed counts runs that were stopped and that no server accepted.
	copiesFreed      metrics.Counter // copiesFreed counts copies that were not used.
	copiesHeld       metrics.Counter // copiesHeld is the number of copies that exist at present.
	movedTokens      metrics.Counter // movedTokens counts the tokens of moved prompts.
	copyDuration     metrics.Timer   // copyDuration is the duration of one copy.
	moveDuration     metrics.Timer   // moveDuration is the time from the first copy until the next server answers.
	stateRequests    metrics.Counter // stateRequests counts state requests to servers.
	departureNotices metrics.Counter // departureNotices counts answers to them that announced a departure.
	backoffs         metrics.Counter // backoffs counts how often servers asked for backoff.
	limitChanges     metrics.Counter // limitChanges counts how often servers changed their request limit.
	firstContacts    metrics.Counter // firstContacts counts requests to servers that had not answered this gateway yet.
	roomWaits        metrics.Counter // roomWaits counts requests that waited for room at brittle servers.
	limitRefused     metrics.Counter // limitRefused counts requests refused because all servers were at their limits.
	probes           metrics.Counter // probes counts connections opened to see whether a server is reached.
	passes           metrics.Counter // passes counts requests that another gateway answered.
	passesUntaken    metrics.Counter // passesUntaken counts requests that no other gateway took.
	passesLost       metrics.Counter // passesLost counts requests whose answer did not come from another gateway.
	passesServed     metrics.Counter // passesServed counts requests that other gateways passed on to this one.
	promptCopies     metrics.Counter // promptCopies counts requests whose server was told to copy from another one.

	registry     metrics.Registry
	mu           sync.Mutex // mu guards the fields below.
	ended        map[outcome]metrics.Counter
	retries      map[retryOutcome]metrics.Counter
	rejected     map[string]metrics.Counter // rejected counts the requests that servers turned away, by service.
	ends         map[answerEnd]metrics.Counter
	originsLate  metrics.Counter // originsLate counts first events that no longer waited for their stream's origin to be kept.
	originsGiven metrics.Counter // originsGiven counts the origins of streams that other gateways took.
}

// outcome is the key by which ended requests are counted.
type outcome struct {
	route     string
	workspace string
	verdict   protocol.Verdict
}

// maxOutcomes bounds the number of outcome counters: the labels contain names chosen by
// operators, and each counter costs memory and a line of output. Outcomes beyond the bound
// count under overflowLabel.
const (
	maxOutcomes   = 512
	overflowLabel = "other"
)

func newMeters(r metrics.Registry) *meters {
	return &meters{
		requests:      metrics.GetOrRegisterCounter("requests", r),
		answered:      metrics.GetOrRegisterCounter("requests.answered", r),
		refused:       metrics.GetOrRegisterCounter("requests.refused", r),
		brokenStreams: metrics.GetOrRegisterCounter("requests.broken", r),
		attempts:      metrics.GetOrRegisterCounter("attempts", r),
		retried:       metrics.GetOrRegisterCounter("attempts.resent", r),
		firstByte:     metrics.GetOrRegisterTimer("first", r),

		serversCrashed:    metrics.GetOrRegisterCounter("servers.ended", r),
		serversRestarted:  metrics.GetOrRegisterCounter("servers.restarted", r),
		crashesIgnored:    metrics.GetOrRegisterCounter("servers.ends_ignored", r),
		quarantineRefused: metrics.GetOrRegisterCounter("quarantine.refused", r),
		quarantineTrials:  metrics.GetOrRegisterCounter("quarantine.tried", r),
		moves:             metrics.GetOrRegisterCounter(`moves.begun{cause="leaving"}`, r),
		movesDone:         metrics.GetOrRegisterCounter(`moves.done{cause="leaving"}`, r),
		moveFailed:        metrics.GetOrRegisterCounter(`moves.failed{cause="leaving"}`, r),
		copiesFreed:       metrics.GetOrRegisterCounter("moves.freed", r),
		copiesHeld:        metrics.GetOrRegisterCounter("moves.held", r),
		movedTokens:       metrics.GetOrRegisterCounter("moves.tokens", r),
		copyDuration:      metrics.GetOrRegisterTimer("moves.copy", r),
		moveDuration:      metrics.GetOrRegisterTimer("moves.time", r),
		stateRequests:     metrics.GetOrRegisterCounter("servers.asked", r),
		departureNotices:  metrics.GetOrRegisterCounter("servers.noticed", r),
		backoffs:          metrics.GetOrRegisterCounter("servers.rests", r),
		limitChanges:      metrics.GetOrRegisterCounter("servers.limits", r),
		firstContacts:     metrics.GetOrRegisterCounter("servers.first_contacts", r),
		roomWaits:         metrics.GetOrRegisterCounter("servers.room_waits", r),
		limitRefused:      metrics.GetOrRegisterCounter("limits.refused", r),
		probes:            metrics.GetOrRegisterCounter("servers.probed", r),
		passes:            metrics.GetOrRegisterCounter("passes", r),
		passesUntaken:     metrics.GetOrRegisterCounter("passes.untaken", r),
		passesLost:        metrics.GetOrRegisterCounter("passes.lost", r),
		passesServed:      metrics.GetOrRegisterCounter("passes.served", r),
		promptCopies:      metrics.GetOrRegisterCounter("copies", r),
		originsLate:       metrics.GetOrRegisterCounter("streams.origins.late", r),
		originsGiven:      metrics.GetOrRegisterCounter("streams.origins.given", r),
		distances:         newDistanceMeters(r),
		registry:          r,
		ended:             map[outcome]metrics.Counter{},
		retries:           map[retryOutcome]metrics.Counter{},
		rejected:          map[string]metrics.Counter{},
		ends:              map[answerEnd]metrics.Counter{},
	}
}

// countOutcome counts a request that ended. The labels follow the counter's name in braces,
// as scrapers expect them.
func (m *meters) countOutcome(o outcome) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ended[o] == nil && len(m.ended) >= maxOutcomes {
		o.route, o.workspace = overflowLabel, overflowLabel
	}
	c := m.ended[o]
	if c == nil {
		name := fmt.Sprintf("requests.ended{route=%q,workspace=%q,verdict=%q}", o.route, o.workspace, o.verdict)
		c = metrics.GetOrRegisterCounter(name, m.registry)
		m.ended[o] = c
	}
	c.Inc(1)
}

// retryOutcome is the key by which decisions on the retry budget are counted.
type retryOutcome struct {
	service string
	granted bool
}

// countRetry counts a retry that the budget of a service granted or refused.
func (m *meters) countRetry(service string, granted bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o := retryOutcome{service, granted}
	if m.retries[o] == nil && len(m.retries) >= maxOutcomes {
		o.service = overflowLabel
	}
	c := m.retries[o]
	if c == nil {
		name := "retries.refused"
		if granted {
			name = "retries.granted"
		}
		c = metrics.GetOrRegisterCounter(fmt.Sprintf("%s{service=%q}", name, o.service), m.registry)
		m.retries[o] = c
	}
	c.Inc(1)
}

// countStreamResumed counts a stream that a caller resumes, by whence its version is known.
func (m *meters) countStreamResumed(source origin.Source) {
	metrics.GetOrRegisterCounter(fmt.Sprintf("streams.resumed{source=%q}", source), m.registry).Inc(1)
}

// countStreamRefused counts a stream that cannot go on, by the reason.
func (m *meters) countStreamRefused(reason string) {
	metrics.GetOrRegisterCounter(fmt.Sprintf("streams.refused{reason=%q}", reason), m.registry).Inc(1)
}

// countRejection counts a request that a server of a service turned away.
func (m *meters) countRejection(service string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.rejected[service] == nil && len(m.rejected) >= maxOutcomes {
		service = overflowLabel
	}
	c := m.rejected[service]
	if c == nil {
		c = metrics.GetOrRegisterCounter(fmt.Sprintf("servers.rejections{service=%q}", service), m.registry)
		m.rejected[service] = c
	}
	c.Inc(1)
}
