// Package roundtrip records the round-trip times between replicas, and decides from them
// which replica should be the leader.
//
// A [Table] holds a row for each ordered pair of replicas, as observed by the first: the
// smoothed round-trip time, its variation, and the loss rate. Replicas exchange their own
// rows. [Placer] decides on the leader from the table.
package roundtrip

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// smoothingDivisor and variationDivisor are the inverse weights of an observation in the
	// smoothed round trip and its variation, as in TCP (RFC 6298).
	smoothingDivisor = 8
	variationDivisor = 4
	// maxFactor and maxStep bound an observation relative to the smoothed round trip: a
	// pause of a second at the other replica must not count as a round trip of a second.
	maxFactor = 2
	maxStep   = 10 * time.Millisecond
	// warmupObservations is the number of first observations of which the minimum is used:
	// they often include the time to open a connection, or the wait during an outage.
	warmupObservations = 4
	// lossDivisor is the inverse weight of an observation in the loss rate.
	lossDivisor = 16
	// upperBoundVariations is the number of variations from the smoothed round trip to the
	// upper bound, as in RFC 6298.
	upperBoundVariations = 4
	// maxAge is the age up to which a row is used: several pings.
	maxAge = 5 * time.Second
	// maxLoss is the loss rate from which a path counts as down.
	maxLoss = 0.3
)

// Trip is the round trip from one replica to another, as observed by the first.
type Trip struct {
	From      string        `json:"from"`
	To        string        `json:"to"`
	Smoothed  time.Duration `json:"smoothed"`
	Variation time.Duration `json:"variation"`
	Loss      float64       `json:"loss"` // Loss is the recent rate of unanswered requests.
	Age       time.Duration `json:"age"`  // Age is the time since the last answer.
}

// UpperBound returns the time within which nearly all answers arrive.
func (t Trip) UpperBound() time.Duration { return t.Smoothed + upperBoundVariations*t.Variation }

type pair struct{ from, to string }

type row struct {
	smoothed, variation time.Duration
	loss                float64
	observedAt          time.Duration
	observations        int // observations counts up to warmupObservations.
}

// Table holds the round trips between replicas. Its methods change it in place.
type Table struct{ rows map[pair]*row }

// New returns an empty table.
func New() *Table { return &Table{rows: map[pair]*row{}} }

// Observe records the round trip of an answer.
func (t *Table) Observe(from, to string, trip, now time.Duration) {
	r := t.rows[pair{from, to}]
	if r == nil || now-r.observedAt > maxAge {
		t.rows[pair{from, to}] = &row{smoothed: trip, variation: trip / variationDivisor, observedAt: now, observations: 1}
		return
	}
	if r.observations < warmupObservations {
		r.observations++
		r.smoothed = min(r.smoothed, trip)
		r.variation = r.smoothed / variationDivisor
		r.observedAt = now
		return
	}
	trip = min(trip, maxFactor*r.smoothed+maxStep)
	r.variation += ((r.smoothed - trip).Abs() - r.variation) / variationDivisor
	r.smoothed += (trip - r.smoothed) / smoothingDivisor
	r.loss -= r.loss / lossDivisor
	r.observedAt = now
}

// RecordLoss records count requests that were not answered.
func (t *Table) RecordLoss(from, to string, count int) {
	r := t.rows[pair{from, to}]
	if r == nil {
		return
	}
	for range count {
		r.loss += (1 - r.loss) / lossDivisor
	}
}

// Merge replaces the rows of another replica by those it sent. Rows observed by any other
// replica are ignored.
func (t *Table) Merge(from string, trips []Trip, now time.Duration) {
	for _, trip := range trips {
		if trip.From == from {
			t.rows[pair{from, trip.To}] = &row{smoothed: trip.Smoothed, variation: trip.Variation, loss: trip.Loss, observedAt: now - trip.Age, observations: warmupObservations}
		}
	}
}

// Trip returns the round trip from one replica to another, and false if it is unknown or
// older than maxAge.
func (t *Table) Trip(from, to string, now time.Duration) (Trip, bool) {
	r := t.rows[pair{from, to}]
	if r == nil || now-r.observedAt > maxAge {
		return Trip{}, false
	}
	return Trip{From: from, To: to, Smoothed: r.smoothed, Variation: r.variation, Loss: r.loss, Age: now - r.observedAt}, true
}

// ObservedBy returns the rows that one replica observed, sorted.
func (t *Table) ObservedBy(from string, now time.Duration) []Trip {
	return slices.DeleteFunc(t.All(now), func(trip Trip) bool { return trip.From != from })
}

// All returns all rows not older than maxAge, sorted.
func (t *Table) All(now time.Duration) []Trip {
	var list []Trip
	for p := range maps.Keys(t.rows) {
		if trip, ok := t.Trip(p.from, p.to, now); ok {
			list = append(list, trip)
		}
	}
	slices.SortFunc(list, func(a, b Trip) int { return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To)) })
	return list
}

// QuorumRoundTrip returns the round trip within which a leader gets the answers of a number
// of others, not counting itself. ok is false if fewer are known to be reachable.
func (t *Table) QuorumRoundTrip(leader string, others []string, answers int, now time.Duration) (trip time.Duration, ok bool) {
	var trips []time.Duration
	for _, name := range others {
		if name == leader {
			continue
		}
		if row, fresh := t.Trip(leader, name, now); fresh && row.Loss < maxLoss {
			trips = append(trips, row.Smoothed)
		}
	}
	switch {
	case answers <= 0:
		return 0, true
	case len(trips) < answers:
		return 0, false
	}
	slices.Sort(trips)
	return trips[answers-1], true
}

// QuorumUpperBound returns the time within which nearly always a number of the others have
// answered, or all with enough observations if they are fewer; zero if there are none.
func (t *Table) QuorumUpperBound(from string, others []string, answers int, now time.Duration) time.Duration {
	var times []time.Duration
	for _, name := range others {
		if trip, ok := t.Trip(from, name, now); ok && t.rows[pair{from, name}].observations >= warmupObservations {
			times = append(times, trip.UpperBound())
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[min(answers, len(times))-1]
}
