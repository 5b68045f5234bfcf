// Package roundtrip keeps the round trips that were observed between replicas, and
// chooses by them where the leader is best placed.
//
// A [Table] holds a row for each replica and each other one, as that replica observed
// it: a smoothed round trip, how much it varies, and the part that was lost. Each tells
// the others its own rows. [Placer] decides from them; see there.
package roundtrip

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// gain and spread are the parts by which an observation moves a smoothed round
	// trip and its variation: those of TCP (RFC 6298).
	gain   = 8
	spread = 4
	// mostTimes and leastStep bound what one observation can say: a replica that was
	// frozen for a second is no second away.
	mostTimes = 2
	leastStep = 10 * time.Millisecond
	// firstFew are the observations of which the least counts: the first ones often
	// hold the opening of a connection, or what waited while a path was cut.
	firstFew = 4
	// lossGain is the part by which one observation moves the loss.
	lossGain = 16
	// lateTimes is how many variations late answers take longer, as in RFC 6298.
	lateTimes = 4
	// freshFor is how long a row is of use: some pings.
	freshFor = 5 * time.Second
	// mostLoss is the part lost from which a path counts as broken.
	mostLoss = 0.3
)

// Trip is what one replica observed on the way to another and back.
type Trip struct {
	From      string        `json:"from"`
	To        string        `json:"to"`
	Smoothed  time.Duration `json:"smoothed"`
	Variation time.Duration `json:"variation"`
	Loss      float64       `json:"loss"` // Loss is the part that was not answered, of late.
	Age       time.Duration `json:"age"`  // Age is how long ago the last answer came.
}

// UpperBound is a time within which nearly all answers come.
func (t Trip) UpperBound() time.Duration { return t.Smoothed + lateTimes*t.Variation }

type pair struct{ from, to string }

type row struct {
	smoothed, variation time.Duration
	loss                float64
	at                  time.Duration
	first               int // first counts the observations up to firstFew.
}

// Table holds the round trips. It is changed in place.
type Table struct{ rows map[pair]*row }

// New returns a table without any round trips.
func New() *Table { return &Table{rows: map[pair]*row{}} }

// Observe takes in an answer.
func (t *Table) Observe(from, to string, trip, now time.Duration) {
	r := t.rows[pair{from, to}]
	if r == nil || now-r.at > freshFor {
		t.rows[pair{from, to}] = &row{smoothed: trip, variation: trip / spread, at: now, first: 1}
		return
	}
	if r.first < firstFew {
		r.first++
		r.smoothed = min(r.smoothed, trip)
		r.variation = r.smoothed / spread
		r.at = now
		return
	}
	trip = min(trip, mostTimes*r.smoothed+leastStep)
	r.variation += ((r.smoothed - trip).Abs() - r.variation) / spread
	r.smoothed += (trip - r.smoothed) / gain
	r.loss -= r.loss / lossGain
	r.at = now
}

// RecordLoss takes in so many questions that were not answered.
func (t *Table) RecordLoss(from, to string, count int) {
	r := t.rows[pair{from, to}]
	if r == nil {
		return
	}
	for range count {
		r.loss += (1 - r.loss) / lossGain
	}
}

// Merge takes over the rows that another replica tells of itself.
func (t *Table) Merge(from string, trips []Trip, now time.Duration) {
	for _, trip := range trips {
		if trip.From == from {
			t.rows[pair{from, trip.To}] = &row{smoothed: trip.Smoothed, variation: trip.Variation, loss: trip.Loss, at: now - trip.Age, first: firstFew}
		}
	}
}

// Trip returns what one replica observed of another, if that is fresh.
func (t *Table) Trip(from, to string, now time.Duration) (Trip, bool) {
	r := t.rows[pair{from, to}]
	if r == nil || now-r.at > freshFor {
		return Trip{}, false
	}
	return Trip{From: from, To: to, Smoothed: r.smoothed, Variation: r.variation, Loss: r.loss, Age: now - r.at}, true
}

// ObservedBy returns what one replica observed, sorted.
func (t *Table) ObservedBy(from string, now time.Duration) []Trip {
	return slices.DeleteFunc(t.All(now), func(trip Trip) bool { return trip.From != from })
}

// All returns all fresh rows, sorted.
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

// QuorumRoundTrip returns the round trip within which a leader would have the answers of so many
// of the others, itself not counted. ok is false where that many cannot be reached, or
// were not observed.
func (t *Table) QuorumRoundTrip(leader string, others []string, answers int, now time.Duration) (trip time.Duration, ok bool) {
	var trips []time.Duration
	for _, name := range others {
		if name == leader {
			continue
		}
		if row, fresh := t.Trip(leader, name, now); fresh && row.Loss < mostLoss {
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

// QuorumUpperBound returns a time within which nearly always so many of the others answer, or all
// that were observed often enough where they are fewer; zero for none.
func (t *Table) QuorumUpperBound(from string, others []string, answers int, now time.Duration) time.Duration {
	var times []time.Duration
	for _, name := range others {
		if trip, ok := t.Trip(from, name, now); ok && t.rows[pair{from, name}].first >= firstFew {
			times = append(times, trip.UpperBound())
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[min(answers, len(times))-1]
}
