package roundtrip

import "time"

// The bounds of a move of leadership. A move costs about two round trips without a
// leader, and everything that depends on who leads asks anew.
const (
	// leastGain is the least that a quorum's round trip falls by: more than disks and
	// schedulers vary within a region.
	leastGain = 5 * time.Millisecond
	// leastPart is the least part of it, so that far replicas are not moved for what
	// is small against their round trips.
	leastPart = 0.25
	// betterFor is how long the same place must have been better: longer than a burst
	// of losses or a full queue lasts.
	betterFor = 5 * time.Second
	// minTenure is the least time in which a leader leads, or goes on behind a move that
	// failed, before it is moved. It bounds the moves where what is observed goes up and
	// down, or the better place does not catch up: one in that time.
	minTenure = 30 * time.Second
)

// DecideMsg asks where the leader is best placed.
type DecideMsg struct {
	Now      time.Duration
	Since    time.Duration // Since is when this replica began to lead, or last failed to move.
	Leader   string
	Voters   []string
	Eligible func(name string) bool // Able reports whether a voter has the log, and answers.
}

// Move is where the leader should move to, and what is gained.
type Move struct {
	To     string
	Before time.Duration // Before is a quorum's round trip where the leader is.
	After  time.Duration // After is the one where it would be.
}

// Placer chooses the leader's place. It holds what it has seen of late, and is for one
// time of leading.
type Placer struct {
	better string        // better is the place that was best at the last look; empty for the leader's own.
	since  time.Duration // since is from when on it has been that one.
}

// Decide returns where to move, and whether that gains enough now and has for some time.
func (p *Placer) Decide(t *Table, m DecideMsg) (Move, bool) {
	move, ok := t.best(m)
	if !ok || !enough(move) {
		p.better = ""
		return Move{}, false
	}
	if move.To != p.better {
		p.better, p.since = move.To, m.Now
	}
	return move, m.Now-p.since >= betterFor && m.Now-m.Since >= minTenure
}

// enough reports whether a move gains what makes it worth a short time without a leader.
func enough(m Move) bool {
	gained := m.Before - m.After
	return gained >= leastGain && float64(gained) >= leastPart*float64(m.Before)
}

// best returns the place with the least round trip to a quorum, the leader's own among
// equals.
func (t *Table) best(m DecideMsg) (Move, bool) {
	answers := len(m.Voters) / 2
	before, ok := t.QuorumRoundTrip(m.Leader, m.Voters, answers, m.Now)
	if !ok {
		return Move{}, false // A leader without a quorum steps down by itself.
	}
	move := Move{To: m.Leader, Before: before, After: before}
	for _, name := range m.Voters {
		trip, known := t.QuorumRoundTrip(name, m.Voters, answers, m.Now)
		if name != m.Leader && known && trip < move.After && m.Eligible(name) {
			move.To, move.After = name, trip
		}
	}
	return move, move.To != m.Leader
}
