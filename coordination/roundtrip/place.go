package roundtrip

import "time"

// Limits on moves of leadership. During a move there is no leader for about two round
// trips, and every client of the leader has to find the new one.
const (
	// minGain is the minimum reduction of the quorum round trip: more than the variation
	// from disks and schedulers within a region.
	minGain = 5 * time.Millisecond
	// minRelativeGain is the minimum reduction relative to the round trip, so that
	// leadership of distant replicas does not move for a relatively small gain.
	minRelativeGain = 0.25
	// minBetterDuration is how long the same replica must have been the better place: longer
	// than a burst of losses or a full queue lasts.
	minBetterDuration = 5 * time.Second
	// minTenure is the minimum time between the start of a leader's tenure, or its last
	// failed move, and a move. It limits moves to one in that time where the observations
	// fluctuate, or the better replica does not catch up with the log.
	minTenure = 30 * time.Second
)

// DecideMsg is the input of [Placer.Decide].
type DecideMsg struct {
	Now      time.Duration
	Since    time.Duration // Since is when this replica became the leader, or last failed to move.
	Leader   string
	Voters   []string
	Eligible func(name string) bool // Eligible reports whether a voter is reachable and has the whole log.
}

// Move is a proposed move of leadership.
type Move struct {
	To     string
	Before time.Duration // Before is the quorum round trip of the current leader.
	After  time.Duration // After is that of the replica To.
}

// Placer decides which replica should be the leader. It holds the state between decisions;
// each tenure of a leader needs a new one.
type Placer struct {
	candidate      string        // candidate is the replica to move to as of the last decision; empty if none.
	candidateSince time.Duration // candidateSince is since when it has been the candidate.
}

// Decide returns the best move, and whether to make it: whether it gains enough, has done
// so for minBetterDuration, and minTenure is over.
func (p *Placer) Decide(t *Table, m DecideMsg) (Move, bool) {
	move, ok := t.best(m)
	if !ok || !worthwhile(move) {
		p.candidate = ""
		return Move{}, false
	}
	if move.To != p.candidate {
		p.candidate, p.candidateSince = move.To, m.Now
	}
	return move, m.Now-p.candidateSince >= minBetterDuration && m.Now-m.Since >= minTenure
}

// worthwhile reports whether a move gains enough to justify a short time without a leader.
func worthwhile(m Move) bool {
	gained := m.Before - m.After
	return gained >= minGain && float64(gained) >= minRelativeGain*float64(m.Before)
}

// best returns the move to the eligible voter with the shortest quorum round trip, and
// whether that is shorter than the leader's own.
func (t *Table) best(m DecideMsg) (Move, bool) {
	answers := len(m.Voters) / 2
	before, ok := t.QuorumRoundTrip(m.Leader, m.Voters, answers, m.Now)
	if !ok {
		return Move{}, false // A leader without a quorum steps down on its own.
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
