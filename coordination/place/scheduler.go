package place

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/weldstream/weldstream/coordination/topology"
	"github.com/weldstream/weldstream/protocol"
)

// PromptMsg requests a server for a long prompt.
type PromptMsg struct {
	Service string
	Prompt  int    // Prompt is the length in tokens.
	Shared  int    // Shared is the number of tokens in parts that other requests may share.
	Answer  int    // Answer is the maximum number of answer tokens.
	Prefix  uint64 // Prefix is the hash of the shared parts.
	Chain   []protocol.PromptLink
	Domain  string
	Avoid   []string
	Copies  float64 // Copies is the rate in tokens per millisecond at which a server copies from another; 0 if it cannot.
	Parts   protocol.LaneShares
	Target  time.Duration // Target is the latest time for the first event.
	Gap     time.Duration // Gap is the longest acceptable pause between events.
	Version *string       // Version is the only software version that may take the prompt; nil for any.
}

// Placed is the placement of a prompt. Its number identifies the request in DoneMsg.
type Placed struct {
	Server   string
	Holder   string // Holder is a server to copy the shared parts from if Server lacks them; empty for none.
	Number   uint64
	NewLinks []uint32 // NewLinks are the links that Server was not known to hold; see [PrefillLog].
}

// DoneMsg reports the timing of a placed request that ended.
type DoneMsg struct {
	Number uint64
	First  time.Duration // First is the time to the first event; 0 if none came.
	Took   time.Duration
}

// PromptScheduler places the long prompts of all gateways. The prefill of a long prompt
// stalls every stream on the same server, so a placement depends most on where the other
// long prompts are, and no single gateway knows that. The leader of the control role runs
// one scheduler; a gateway that gets no answer from it in time chooses by itself.
type PromptScheduler struct {
	loads        *Loads // loads counts the requests of all gateways, including those placed here.
	queues       map[string]*serverQueue
	requests     map[uint64]*placedRequest
	lastNumber   uint64
	prefillSpeed float64 // prefillSpeed is the learned prefill rate in tokens per millisecond.
	tokenPace    float64 // tokenPace is the learned time per answer token in milliseconds.
	topology     *topology.Topology
	unsent       []protocol.Placement // unsent holds the placements not yet sent to the other instances.
	holders      *Holders
}

// SchedulerOption configures a new PromptScheduler.
type SchedulerOption func(*PromptScheduler)

// WithTopology sets the regions of the failure domains; without it all servers count as
// near.
func WithTopology(t *topology.Topology) SchedulerOption {
	return func(ps *PromptScheduler) { ps.topology = t }
}

// serverQueue is what the scheduler knows of one server.
type serverQueue struct {
	prefillUntil time.Time                 // prefillUntil is when the prefill of all placed prompts is expected to end.
	requests     map[uint64]*placedRequest // requests are the placed requests that have not ended.
	prefixes     map[uint64]time.Time      // prefixes maps the prefixes prefilled there to the latest time.
}

// placedRequest is one request placed at a server.
type placedRequest struct {
	server        string
	prefillEnd    time.Time // prefillEnd is when its prefill is expected to end.
	expectedEnd   time.Time // expectedEnd is when it is expected to end.
	prefillTokens int       // prefillTokens is the number of tokens to prefill.
	answerTokens  int
	uncontended   bool // uncontended says that no other prefill was queued before this one, so that its timing can be learned from.
}

const (
	initialPrefillSpeed = 40.0
	initialTokenPace    = 8.0
	// observationWeight is the weight of the latest request in the learned rates. For
	// an observation that is faster than the estimate, it is multiplied by fasterWeight,
	// since the server may have held more of the prompt than is known here.
	observationWeight = 0.1
	fasterWeight      = 0.15
	// gapShare is the share of the acceptable gap that a prefill may take before it counts
	// as stalling streams.
	gapShare = 0.8
	// prefixTTL is how long a server is assumed to hold a prefix, and maxPrefixesPerServer
	// how many prefixes are remembered for each server.
	prefixTTL            = 30 * time.Second
	maxPrefixesPerServer = 128
	// All costs, and distancePenalty, are in units of one stalled stream. lateCost is the
	// cost of a first event past its target.
	lateCost = 2.0
	// waitCost is the cost of a first event exactly at its target; earlier and later ones
	// are charged in proportion.
	waitCost = 0.5
	// requestCost is the cost of each request that the server already has.
	requestCost = 0.1
	// distrustCost keeps prompts off failing servers while there are others.
	distrustCost = 1000.0
	// recomputeCost is the cost of a completely shared prompt at a server that does not hold
	// it. In general it is multiplied by the shared part of the prompt, whether or not
	// another server holds that.
	recomputeCost = 0.8
	// minCopyShare of recomputeCost is the least cost of a copied prompt. A copy takes
	// memory at both servers and their network links, so a prompt stays with its holder
	// while that has room.
	minCopyShare = 0.25
)

// NewPromptScheduler returns a scheduler without placements that reads the loads of all
// gateways.
func NewPromptScheduler(loads *Loads, opts ...SchedulerOption) *PromptScheduler {
	ps := &PromptScheduler{loads: loads, queues: map[string]*serverQueue{}, requests: map[uint64]*placedRequest{}, prefillSpeed: initialPrefillSpeed, tokenPace: initialTokenPace}
	for _, opt := range opts {
		opt(ps)
	}
	ps.holders = NewHolders(ps.topology)
	return ps
}

// Place returns a server for a long prompt, or false if there is none.
func (ps *PromptScheduler) Place(v *View, m PromptMsg, now time.Time) (Placed, bool) {
	ps.removeOverdue(now)
	rows := inLane(v, candidates(v, ChooseMsg{Service: m.Service, Avoid: m.Avoid, Version: m.Version, Now: now}), ChooseMsg{Lane: LaneLong, Parts: m.Parts})
	holder := ps.holder(v, m, now)
	best, least := -1, math.Inf(1)
	for _, r := range rows {
		s := &v.Servers[r.index]
		cost := ps.cost(s, m, holder != "", now)
		if ps.loads.Distrusted(s.ID, m.Domain) {
			cost += distrustCost
		}
		if cost < least {
			best, least = r.index, cost
		}
	}
	if best < 0 {
		return Placed{}, false
	}
	placed := ps.record(v.Servers[best].ID, ps.copySource(v, &v.Servers[best], holder, m, now), m, now)
	ps.keepUnsent(placed, m)
	return placed, true
}

// holder returns the server with the latest prefill of the shared parts, preferring the
// gateway's region, or "" if nothing can be copied. A leaving server can still be copied
// from.
func (ps *PromptScheduler) holder(v *View, m PromptMsg, now time.Time) string {
	if m.Copies <= 0 || m.Prefix == 0 {
		return ""
	}
	holder, latest, isFar := "", time.Time{}, false
	for _, i := range v.Service(m.Service) {
		id := v.Servers[i].ID
		q := ps.queues[id]
		if q == nil || !q.holds(m.Prefix, now) || ps.loads.Distrusted(id, m.Domain) {
			continue
		}
		at, far := q.prefixes[m.Prefix], ps.topology.Distance(m.Domain, v.Servers[i].Domain) == topology.OtherRegion
		nearer := isFar && !far
		if holder == "" || nearer || (far == isFar && at.After(latest)) {
			holder, latest, isFar = id, at, far
		}
	}
	return holder
}

func (ps *PromptScheduler) queue(server string) *serverQueue {
	q := ps.queues[server]
	if q == nil {
		q = &serverQueue{requests: map[uint64]*placedRequest{}, prefixes: map[uint64]time.Time{}}
		ps.queues[server] = q
	}
	return q
}

// prefillTokens returns how many tokens of a prompt the server has to prefill. Parts that
// it can copy count by the time that the copy takes.
func (ps *PromptScheduler) prefillTokens(q *serverQueue, m PromptMsg, canCopy bool, now time.Time) int {
	own := max(1, m.Prompt-m.Shared)
	switch {
	case q.holds(m.Prefix, now):
		return own
	case canCopy:
		return own + int(float64(m.Shared)*ps.copyShare(m))
	}
	return m.Prompt
}

// copyShare returns the time of a copy as a share of the prefill time of the same tokens.
func (ps *PromptScheduler) copyShare(m PromptMsg) float64 { return min(1, ps.prefillSpeed/m.Copies) }

// holds reports whether the server prefilled the prefix within prefixTTL.
func (q *serverQueue) holds(prefix uint64, now time.Time) bool {
	at, ok := q.prefixes[prefix]
	return ok && prefix != 0 && now.Sub(at) < prefixTTL
}

func (ps *PromptScheduler) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / ps.prefillSpeed * float64(time.Millisecond))
}

// cost returns the cost of placing a prompt at a server, in stalled streams.
func (ps *PromptScheduler) cost(s *Server, m PromptMsg, canCopy bool, now time.Time) float64 {
	q := ps.queue(s.ID)
	wait := max(0, q.prefillUntil.Sub(now))
	prefill := ps.prefillTime(ps.prefillTokens(q, m, canCopy, now))
	limit := time.Duration(gapShare * float64(m.Gap))
	if m.Gap <= 0 {
		limit = m.Target
	}
	exceedsGap, stalledStreams := prefill > limit, 0
	for _, request := range q.requests {
		// A request whose prefill has ended stalls until all prefills end. It counts if this
		// one makes that longer than the limit; if the wait alone exceeds the limit, earlier
		// prompts have stalled it already. A request that is still to be prefilled stalls
		// only for this prompt's prefill.
		if block := wait + prefill; !request.prefillEnd.After(now) {
			if block > limit && wait <= limit {
				stalledStreams++
			}
		} else if exceedsGap {
			stalledStreams++
		}
	}
	others := max(0, ps.loads.Running(s.ID)-len(q.requests))
	if exceedsGap {
		stalledStreams += others
	}
	cost := float64(stalledStreams)
	if m.Target > 0 {
		cost += waitCost * float64(wait+prefill) / float64(m.Target)
		if wait+prefill > m.Target {
			cost += lateCost
		}
	}
	cost += requestCost * float64(len(q.requests)+others)
	if m.Prompt > 0 && !q.holds(m.Prefix, now) {
		weight := recomputeCost
		if canCopy {
			weight *= max(minCopyShare, ps.copyShare(m))
		}
		cost += weight * float64(m.Shared) / float64(m.Prompt)
	}
	return cost + distancePenalty[ps.topology.Distance(m.Domain, s.Domain)]
}

// record adds a request to the queue of a server.
func (ps *PromptScheduler) record(server, holder string, m PromptMsg, now time.Time) Placed {
	q := ps.queue(server)
	if q.holds(m.Prefix, now) {
		holder = ""
	}
	tokens := ps.prefillTokens(q, m, holder != "", now)
	uncontended := !q.prefillUntil.After(now)
	from := now
	if !uncontended {
		from = q.prefillUntil
	}
	q.prefillUntil = from.Add(ps.prefillTime(tokens))
	ps.lastNumber++
	request := &placedRequest{server: server, prefillEnd: q.prefillUntil, prefillTokens: tokens, answerTokens: m.Answer, uncontended: uncontended}
	request.expectedEnd = request.prefillEnd.Add(time.Duration(ps.tokenPace * float64(m.Answer) * float64(time.Millisecond)))
	q.requests[ps.lastNumber], ps.requests[ps.lastNumber] = request, request
	q.recordPrefix(m.Prefix, now)
	newLinks := ps.holders.Record(server, m.Chain, now)
	return Placed{Server: server, Holder: holder, Number: ps.lastNumber, NewLinks: newLinks}
}

// recordPrefix records the prefill of a prefix and evicts the oldest prefix beyond the
// limit.
func (q *serverQueue) recordPrefix(prefix uint64, now time.Time) {
	if prefix == 0 {
		return
	}
	q.prefixes[prefix] = now
	if len(q.prefixes) <= maxPrefixesPerServer {
		return
	}
	oldest, at := uint64(0), now
	for p, t := range q.prefixes {
		if t.Before(at) {
			oldest, at = p, t
		}
	}
	delete(q.prefixes, oldest)
}

// Done removes a placed request that ended and learns from its timing.
func (ps *PromptScheduler) Done(m DoneMsg) {
	request := ps.requests[m.Number]
	if request == nil {
		return
	}
	ps.remove(m.Number, request)
	if m.First <= 0 || !request.uncontended {
		return
	}
	if first := float64(m.First) / float64(time.Millisecond); first > 1 {
		ps.prefillSpeed += speedStep(float64(request.prefillTokens)/first - ps.prefillSpeed)
	}
	if request.answerTokens > 0 {
		rest := float64(m.Took-m.First) / float64(time.Millisecond)
		ps.tokenPace += observationWeight * (rest/float64(request.answerTokens) - ps.tokenPace)
	}
}

// speedStep returns the change of the learned speed that one observation makes.
func speedStep(diff float64) float64 {
	if diff > 0 {
		return observationWeight * fasterWeight * diff
	}
	return observationWeight * diff
}

func (ps *PromptScheduler) remove(number uint64, request *placedRequest) {
	delete(ps.requests, number)
	delete(ps.queues[request.server].requests, number)
}

// overdueAfter is how long after its expected end a request is removed whose end was never
// reported.
const overdueAfter = 2 * time.Second

func (ps *PromptScheduler) removeOverdue(now time.Time) {
	for number, request := range ps.requests {
		if now.Sub(request.expectedEnd) > overdueAfter {
			ps.remove(number, request)
		}
	}
}

// InProgress returns the number of placed requests that have not ended.
func (ps *PromptScheduler) InProgress() int { return len(ps.requests) }

// Prune drops the servers that are no longer listed.
func (ps *PromptScheduler) Prune(v *View) {
	for id, q := range ps.queues {
		if v.Find(id) != nil {
			continue
		}
		for _, number := range slices.Collect(maps.Keys(q.requests)) {
			delete(ps.requests, number)
		}
		delete(ps.queues, id)
	}
}
