package replicate

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/weldstream/weldstream/coordination/roundtrip"
)

// How long a leader may rely on its voters follows the round trips that it observes.
// The leader's messages ask for a promise: for how long from its arrival a voter elects
// no other. The voter tells in its answer what it promised, and the leader's lease is
// made of these answers alone. So each replica may estimate as it likes, be configured
// in another way, or be of a version that promises its own election timeout: a lease is
// never longer than what a quorum really promised.
//
// Why a lease is safe. A voter that promised P when a message came helps to elect no
// other before P has passed on its own clock, also if a later message asked for less
// (promisedUntil only grows) and after a restart (the longest promise that may run is on
// disk before the answer is sent). The message was sent before it came, so by the
// leader's clock the promise ends after the sending plus P, less what the clocks differ
// by in P; leaseMargin takes that off. The leader acts until the end that a quorum of
// voters reaches, and an election needs a voter out of that quorum. When the voters
// change, the lease is cut to what a quorum of the new ones promised.

// leaseMargin takes a tenth off a promise, for clocks that run unevenly.
const leaseMargin = 10

const (
	// leaseBeats is how many heartbeats of a leader may be lost, or late, before its
	// lease ends.
	leaseBeats = 3
	// mostPromise bounds a promise, in election timeouts of the settings: what a voter
	// may wait in vain for a leader that is gone.
	mostPromise = 6
	// promiseSteps is in how many parts of an election timeout a promise is rounded,
	// so that it seldom changes: a longer one than ever costs each voter a sync.
	promiseSteps = 4
	// lowerSteps is by how many such parts less a promise must do before it falls.
	lowerSteps = 2
)

// timeout is the least election timeout of this replica: the one of the settings, or
// the longest promise of late, which tells how far the replicas are from one another.
func (r *Replica) timeout() time.Duration {
	if r.role == Leader {
		return r.wantPromise
	}
	return max(r.cfg.Election, r.hard.Promise)
}

// promiseToSend is the promise that a message asks for: none where the voters' own election
// timeout will do.
func (r *Replica) promiseToSend() time.Duration {
	if r.wantPromise <= r.cfg.Election {
		return 0
	}
	return r.wantPromise
}

// adaptPromise follows the round trips of a quorum with one voter to spare: the lease must
// outlast a round trip with some heartbeats, and a candidate two round trips, for
// whether it would be elected and for the votes.
func (r *Replica) adaptPromise() {
	if !r.cfg.Wide {
		return
	}
	members := r.log.Members()
	late := r.rounds.Late(r.id.Name, r.others(), members.Quorum(), r.now)
	step := max(r.cfg.Election/promiseSteps, 1)
	need := 2*late + leaseBeats*r.cfg.Heartbeat
	need += need / leaseMargin
	need = min(max((need+step-1)/step*step, r.cfg.Election), mostPromise*r.cfg.Election)
	if need > r.wantPromise || need <= r.wantPromise-lowerSteps*step {
		r.wantPromise = need
	}
}

// promise promises a leader to elect no other, for what it asks or the own election
// timeout, and returns for how long.
func (r *Replica) promise(asked time.Duration) time.Duration {
	p := min(max(asked, r.cfg.Election), mostPromise*r.cfg.Election)
	r.promisedUntil = max(r.promisedUntil, r.now+p)
	onDisk := r.hard.Promise
	switch {
	case p > max(onDisk, r.cfg.Election):
		onDisk = p
	case p < onDisk && r.promisedUntil <= r.now+p: // No other that runs ends later.
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

// restorePromise takes up, at a start, the longest promise that the former self may have made.
func (r *Replica) restorePromise() { r.promisedUntil = r.now + r.hard.Promise }

// clearPromises ends all promises.
func (r *Replica) clearPromises() {
	r.heardAt, r.promisedUntil = math.MinInt64/2, math.MinInt64/2
}

// noteAnswer notes for how long a voter that answered a round elects no other, and how
// long the answer took.
func (r *Replica) noteAnswer(m Message, p *progress) {
	sent, ok := r.sent.at(m.Round)
	if ok {
		promise := cmp.Or(m.Promise, r.cfg.Election) // An earlier version tells none.
		p.promisedUntil = max(p.promisedUntil, sent+promise-promise/leaseMargin)
	}
	if ok && m.Round > p.round && r.now-p.tripAt >= r.cfg.Heartbeat/2 {
		// Answers that come in a heap, as from a replica that was frozen, count once.
		p.tripAt = r.now
		r.rounds.Observe(r.id.Name, m.From.Name, r.now-sent, r.now)
	}
	p.round = max(p.round, m.Round)
}

// promised is until when a quorum of voters elects no other, this replica among them.
func (r *Replica) promised() time.Duration {
	members := r.log.Members()
	var ends []time.Duration
	for _, id := range members.Voters {
		switch p := r.peers[id]; {
		case id == r.id:
			ends = append(ends, r.sent.latest+r.wantPromise-r.wantPromise/leaseMargin)
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

// sentRounds are the rounds that a leader sent of late, by their numbers, which follow
// one another.
type sentRounds struct {
	first  uint64 // first is the number of the round at times[0].
	times  []time.Duration
	latest time.Duration
}

// keptRounds is for how long rounds are kept for the answers of those that are slower
// than the quorum: the longest round trips that are worth to be measured.
const keptRounds = 2 * time.Second

func (s *sentRounds) add(round uint64, now time.Duration) {
	if len(s.times) == 0 {
		s.first = round
	}
	s.times = append(s.times, now)
	s.latest = now
}

func (s *sentRounds) at(round uint64) (time.Duration, bool) {
	if round < s.first || round-s.first >= uint64(len(s.times)) {
		return 0, false
	}
	return s.times[round-s.first], true
}

// forget drops what is older than keptRounds, and no round from the confirmed one on.
func (s *sentRounds) forget(confirmed uint64, now time.Duration) {
	n := 0
	for n < len(s.times) && s.first+uint64(n) < confirmed && now-s.times[n] > keptRounds {
		n++
	}
	s.first += uint64(n)
	s.times = s.times[n:]
}

// pingEvery is between two pings to each replica: places are chosen over seconds.
const pingEvery = time.Second

// ping measures the round trips to the other voters, without their disks. All replicas
// do, as a place is compared with the one of the leader.
func (r *Replica) ping() {
	members := r.log.Members()
	if !r.cfg.Wide || r.now < r.pingAt || !members.IsVoter(r.id) {
		return
	}
	r.pingAt = r.now + pingEvery
	for id := range r.pings {
		r.trips.Lose(r.id.Name, id.Name, 1)
	}
	r.pings = map[ID]time.Duration{}
	for _, id := range members.Voters {
		if id == r.id {
			continue
		}
		r.pings[id] = r.now
		r.do(SendCmd{Message: Message{Kind: Ping, From: r.id, To: id, Round: uint64(r.now)}})
	}
}

// pinged takes pings and their answers, which are of no term.
func (r *Replica) pinged(m Message) bool {
	switch m.Kind {
	case Ping:
		r.do(SendCmd{Message: Message{Kind: Pong, From: r.id, To: m.From, Round: m.Round, Trips: r.trips.Of(r.id.Name, r.now)}})
	case Pong:
		if sent, ok := r.pings[m.From]; ok && uint64(sent) == m.Round {
			delete(r.pings, m.From)
			r.trips.Observe(r.id.Name, m.From.Name, r.now-sent, r.now)
		}
		r.trips.Learn(m.From.Name, m.Trips, r.now)
	default:
		return false
	}
	return true
}

// Trips returns the round trips between any two replicas, as far as they are known,
// and those of the rounds of a leader.
func (r *Replica) Trips() (all, rounds []roundtrip.Trip) {
	return r.trips.All(r.now), r.rounds.All(r.now)
}
