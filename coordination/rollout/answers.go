package rollout

import (
	"math"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// Buckets is how many classes of durations are counted: half octaves from 1 ms to
// 46 s. A service that has become several times slower moves by three of them or
// more. Histograms of a library would be far larger on the way to the leader.
const Buckets = 32

// Bucket returns the class of a duration.
func Bucket(d time.Duration) int {
	ms := float64(d) / float64(time.Millisecond)
	if ms <= 1 {
		return 0
	}
	return min(Buckets-1, int(math.Round(2*math.Log2(ms))))
}

// Answer is how one answer went.
type Answer struct {
	Failed bool
	// FirstEvent is the time to the first event, or to a whole answer; 0 where none came and
	// no time is known.
	FirstEvent    time.Duration
	EventInterval time.Duration // Pace is the mean time between events; 0 with fewer than two.
}

// RecordAnswer counts an answer.
func RecordAnswer(a *protocol.AnswerCounts, one Answer) {
	if one.Failed {
		a.Bad++
	} else {
		a.Good++
	}
	a.First = count(a.First, one.FirstEvent)
	a.Pace = count(a.Pace, one.EventInterval)
}

func count(h []int64, d time.Duration) []int64 {
	if d <= 0 {
		return h
	}
	i := Bucket(d)
	for len(h) <= i {
		h = append(h, 0)
	}
	h[i]++
	return h
}

// since returns what was counted behind an earlier state of the same counts.
func since(a, before protocol.AnswerCounts) protocol.AnswerCounts {
	return protocol.AnswerCounts{
		Good:  a.Good - before.Good,
		Bad:   a.Bad - before.Bad,
		First: sinceEach(a.First, before.First),
		Pace:  sinceEach(a.Pace, before.Pace),
	}
}

func sinceEach(a, before []int64) []int64 {
	diff := make([]int64, len(a))
	for i := range a {
		diff[i] = a[i]
		if i < len(before) {
			diff[i] -= before[i]
		}
	}
	return diff
}

// Counters adds up the reports of all gateways, whose counts only rise.
type Counters struct {
	known map[counterKey]protocol.AnswerCounts
}

// counterKey names one row of one life of a gateway.
type counterKey struct {
	gateway string
	life    uint64
	route   string
	server  string
	isNew   bool
}

// NewCounters returns an empty book.
func NewCounters() *Counters { return &Counters{known: map[counterKey]protocol.AnswerCounts{}} }

// Update returns what a report holds that the ones before did not. A report that comes
// twice, or behind a later one, holds nothing new.
func (b *Counters) Update(gateway string, life uint64, rows []protocol.EvidenceRow) []protocol.EvidenceRow {
	var news []protocol.EvidenceRow
	for _, row := range rows {
		key := counterKey{gateway: gateway, life: life, route: row.Route, server: row.Server, isNew: row.New}
		before := b.known[key]
		if row.Answers.Good+row.Answers.Bad <= before.Good+before.Bad {
			continue
		}
		b.known[key] = row.Answers
		row.Answers = since(row.Answers, before)
		news = append(news, row)
	}
	return news
}
