package replicate

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/weldstream/weldstream/coordination/roundtrip"
)

// The length of a leader's lease follows observed round-trip times. The leader's messages
// request a promise: for how long after its arrival a voter will vote for no other
// candidate. The voter returns the promise it made, and only these answers extend the
// lease. Replicas may therefore estimate differently, have different settings, or run an
// earlier version that promises its own election timeout: a lease never exceeds what a
// quorum actually promised.
//
// Why a lease is safe: a voter that promised P when a message arrived helps to elect no
// other leader before P has passed on its own clock. A later message that requests less
// does not shorten this (promisedUntil only grows), nor does a restart (the longest
// promise that may still run is on disk before the answer is sent). The message was sent
// before it arrived, so on the leader's clock the promise ends no earlier than the send
// time plus P, less the clock drift during P, which leaseMarginDivisor covers. The leader
// acts until the end reached by a quorum of voters, and every election needs a voter of
// that quorum. When the voters change, the lease is cut to what a quorum of the new voters
// promised.

// The lease is shorter than a promise by 1/leaseMarginDivisor, to allow for clocks that
// run at different rates.
const leaseMarginDivisor = 10

const (
	// leaseHeartbeats is how many heartbeats of a leader may be lost or late before its
	// lease ends.
	leaseHeartbeats = 3
	// maxPromiseElections limits a promise, in configured election timeouts: this is how
	// long a voter may wait in vain for a failed leader.
	maxPromiseElections = 6
	// Promises are rounded up to 1/promiseStepsPerElection of an election timeout so that
	// they seldom change: each new maximum costs every voter a sync.
	promiseStepsPerElection = 4
	// promiseDecreaseSteps is by how many of these steps the computed promise must be
	// shorter before the requested promise is reduced.
	promiseDecreaseSteps = 2
)

// electionTimeout returns this replica's minimum election timeout: the configured one, or
// the longest recent promise, which reflects the round-trip times between the replicas.
func (r *Replica) electionTimeout() time.Duration {
	if r.role == Leader {
		return r.requestedPromise
	}
	return max(r.cfg.Election, r.hard.Promise)
}

// promiseInMessage returns the promise that a message requests, or 0 if the voters' own
// election timeout is enough.
func (r *Replica) promiseInMessage() time.Duration {
	if r.requestedPromise <= r.cfg.Election {
		return 0
	}
	return r.requestedPromise
}

// adjustRequestedPromise derives the requested promise from the round-trip times of a
// quorum with one voter to spare. The lease must outlast a round trip and some
// heartbeats, and a candidate needs two round trips, one for the pre-vote and one for the
// vote.
func (r *Replica) adjustRequestedPromise() {
	if !r.cfg.Wide {
		return
	}
	members := r.log.Members()
	latency := r.roundLatencies.QuorumUpperBound(r.id.Name, r.otherVoterNames(), members.Quorum(), r.now)
	step := max(r.cfg.Election/promiseStepsPerElection, 1)
	promise := 2*latency + leaseHeartbeats*r.cfg.Heartbeat
	promise += promise / leaseMarginDivisor
	promise = min(max((promise+step-1)/step*step, r.cfg.Election), maxPromiseElections*r.cfg.Election)
	if promise > r.requestedPromise || promise <= r.requestedPromise-promiseDecreaseSteps*step {
		r.requestedPromise = promise
	}
}

// makePromise promises a leader to vote for no other candidate for the requested time,
// limited to between one and maxPromiseElections election timeouts, and returns the
// promised time.
func (r *Replica) makePromise(requested time.Duration) time.Duration {
	p := min(max(requested, r.cfg.Election), maxPromiseElections*r.cfg.Election)
	r.promisedUntil = max(r.promisedUntil, r.now+p)
	onDisk := r.hard.Promise
	switch {
	case p > max(onDisk, r.cfg.Election):
		onDisk = p
	case p < onDisk && r.promisedUntil <= r.now+p: // No other running promise ends later.
		onDisk = p
		if p == r.cfg.Election {
			onDisk = 0
		}
	}
	if onDisk != r.hard.Promise {
		r.hard.Promise = onDisk
		r.persist(nil)
	}
	return p
}

// restorePromise restores, at a start, the longest promise that this replica may have
// made before the restart.
func (r *Replica) restorePromise() { r.promisedUntil = r.now + r.hard.Promise }

func (r *Replica) clearPromises() {
	r.leaderContactAt, r.promisedUntil = math.MinInt64/2, math.MinInt64/2
}

// recordRoundAnswer records how long a voter that answered a round will vote for no other
// candidate, and how long the answer took.
func (r *Replica) recordRoundAnswer(m Message, p *progress) {
	sent, ok := r.sentRounds.sentAt(m.Round)
	if ok {
		promise := cmp.Or(m.Promise, r.cfg.Election) // Earlier versions do not report it.
		p.promisedUntil = max(p.promisedUntil, sent+promise-promise/leaseMarginDivisor)
	}
	if ok && m.Round > p.answeredRound && r.now-p.latencyObservedAt >= r.cfg.Heartbeat/2 {
		// Answers that arrive in a burst, as from a replica that was suspended, count
		// once.
		p.latencyObservedAt = r.now
		r.roundLatencies.Observe(r.id.Name, m.From.Name, r.now-sent, r.now)
	}
	p.answeredRound = max(p.answeredRound, m.Round)
}

// quorumPromisedUntil returns the time until which a quorum of voters, this replica
// included, will vote for no other candidate.
func (r *Replica) quorumPromisedUntil() time.Duration {
	members := r.log.Members()
	var ends []time.Duration
	for _, id := range members.Voters {
		switch p := r.peers[id]; {
		case id == r.id:
			ends = append(ends, r.sentRounds.latest+r.requestedPromise-r.requestedPromise/leaseMarginDivisor)
		case p != nil:
			ends = append(ends, p.promisedUntil)
		default:
			ends = append(ends, 0)
		}
	}
	if len(ends) == 0 {
		return 0
	}
	slices.Sort(ends)
	return ends[len(ends)-members.Quorum()]
}

// sentRounds holds the send times of a leader's recent heartbeat rounds. Round numbers
// are consecutive.
type sentRounds struct {
	first  uint64 // first is the number of the round at times[0].
	times  []time.Duration
	latest time.Duration
}

// sentRoundRetention is how long rounds are kept for answers from replicas that are
// slower than the quorum. It bounds the round-trip times that can be measured.
const sentRoundRetention = 2 * time.Second

func (s *sentRounds) add(round uint64, now time.Duration) {
	if len(s.times) == 0 {
		s.first = round
	}
	s.times = append(s.times, now)
	s.latest = now
}

func (s *sentRounds) sentAt(round uint64) (time.Duration, bool) {
	if round < s.first || round-s.first >= uint64(len(s.times)) {
		return 0, false
	}
	return s.times[round-s.first], true
}

// prune drops rounds that are older than sentRoundRetention, but none from the confirmed
// round on.
func (s *sentRounds) prune(confirmed uint64, now time.Duration) {
	n := 0
	for n < len(s.times) && s.first+uint64(n) < confirmed && now-s.times[n] > sentRoundRetention {
		n++
	}
	s.first += uint64(n)
	s.times = s.times[n:]
}

// pingInterval is the interval between pings to each replica. The leader's placement is
// chosen from measurements over many seconds.
const pingInterval = time.Second

// ping measures the round-trip times to the other voters, without their syncs. Followers
// do so too, since the leader's placement is compared with theirs.
func (r *Replica) ping() {
	members := r.log.Members()
	if !r.cfg.Wide || r.now < r.nextPingAt || !members.IsVoter(r.id) {
		return
	}
	r.nextPingAt = r.now + pingInterval
	for id := range r.pendingPings {
		r.pingTrips.RecordLoss(r.id.Name, id.Name, 1)
	}
	r.pendingPings = map[ID]time.Duration{}
	for _, id := range members.Voters {
		if id == r.id {
			continue
		}
		r.pendingPings[id] = r.now
		r.emit(SendCmd{Message: Message{Kind: Ping, From: r.id, To: id, Round: uint64(r.now)}})
	}
}

// handlePing processes pings and their answers, which belong to no term, and reports
// whether m was one of them.
func (r *Replica) handlePing(m Message) bool {
	switch m.Kind {
	case Ping:
		r.emit(SendCmd{Message: Message{Kind: Pong, From: r.id, To: m.From, Round: m.Round, Trips: r.pingTrips.ObservedBy(r.id.Name, r.now)}})
	case Pong:
		if sent, ok := r.pendingPings[m.From]; ok && uint64(sent) == m.Round {
			delete(r.pendingPings, m.From)
			r.pingTrips.Observe(r.id.Name, m.From.Name, r.now-sent, r.now)
		}
		r.pingTrips.Merge(m.From.Name, m.Trips, r.now)
	default:
		return false
	}
	return true
}

// Trips returns the known round-trip times between any two replicas, and the latencies of
// a leader's heartbeat rounds.
func (r *Replica) Trips() (all, rounds []roundtrip.Trip) {
	return r.pingTrips.All(r.now), r.roundLatencies.All(r.now)
}
