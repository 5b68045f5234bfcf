package rollout

import (
	"math"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// Buckets is the number of duration buckets: half octaves from 1 ms to 46 s. A service that
// has become several times slower moves by three buckets or more. The histograms of common
// libraries would make the reports to the leader far larger.
const Buckets = 32

// Bucket returns the index of the bucket that holds a duration.
func Bucket(d time.Duration) int {
	ms := float64(d) / float64(time.Millisecond)
	if ms <= 1 {
		return 0
	}
	return min(Buckets-1, int(math.Round(2*math.Log2(ms))))
}

// Answer is the outcome and the timing of one answer.
type Answer struct {
	Failed bool
	// FirstEvent is the time to the first event, or to the complete answer if it is not
	// streamed; 0 if neither arrived.
	FirstEvent    time.Duration
	EventInterval time.Duration // EventInterval is the mean time between events; 0 with fewer than two.
}

// RecordAnswer adds an answer to a gateway's counts.
func RecordAnswer(a *protocol.AnswerCounts, answer Answer) {
	if answer.Failed {
		a.Bad++
	} else {
		a.Good++
	}
	a.First = countDuration(a.First, answer.FirstEvent)
	a.Pace = countDuration(a.Pace, answer.EventInterval)
}

func countDuration(histogram []int64, d time.Duration) []int64 {
	if d <= 0 {
		return histogram
	}
	i := Bucket(d)
	for len(histogram) <= i {
		histogram = append(histogram, 0)
	}
	histogram[i]++
	return histogram
}

// answersSince returns the difference between two states of the same counts.
func answersSince(a, before protocol.AnswerCounts) protocol.AnswerCounts {
	return protocol.AnswerCounts{
		Good:  a.Good - before.Good,
		Bad:   a.Bad - before.Bad,
		First: countsSince(a.First, before.First),
		Pace:  countsSince(a.Pace, before.Pace),
	}
}

func countsSince(a, before []int64) []int64 {
	diff := make([]int64, len(a))
	for i := range a {
		diff[i] = a[i]
		if i < len(before) {
			diff[i] -= before[i]
		}
	}
	return diff
}

// Counters turns the cumulative counts that gateways report into increments.
type Counters struct {
	last map[counterKey]protocol.AnswerCounts
}

// counterKey identifies a row of a report. The life tells apart the counts before and after
// a restart of the gateway.
type counterKey struct {
	gateway string
	life    uint64
	route   string
	server  string
	isNew   bool
}

// NewCounters returns an empty set of counters.
func NewCounters() *Counters { return &Counters{last: map[counterKey]protocol.AnswerCounts{}} }

// Update returns the increments of a report over the previous ones. Duplicate and reordered
// reports add nothing.
func (b *Counters) Update(gateway string, life uint64, rows []protocol.EvidenceRow) []protocol.EvidenceRow {
	var increments []protocol.EvidenceRow
	for _, row := range rows {
		key := counterKey{gateway: gateway, life: life, route: row.Route, server: row.Server, isNew: row.New}
		before := b.last[key]
		if row.Answers.Good+row.Answers.Bad <= before.Good+before.Bad {
			continue
		}
		b.last[key] = row.Answers
		row.Answers = answersSince(row.Answers, before)
		increments = append(increments, row)
	}
	return increments
}
