package link

import "time"

const (
	// meanWeight and deviationWeight are the weights of the latest answer in the mean
	// time and in its mean deviation, and deviations how many of these an answer may be
	// behind the mean: as TCP estimates its retransmission timeout (RFC 6298).
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	deviations      = 4
	// missDeviation is the least deviation after an answer was given up: doubling the
	// next to nothing of a steady path would not make the timeout longer.
	missDeviation = 10 * time.Millisecond
)

// AnswerTime estimates how long an instance's answer may take, from how long its earlier
// answers took.
type AnswerTime struct {
	mean      time.Duration // mean is 0 before the first answer.
	deviation time.Duration // deviation is the mean deviation from mean.
}

// Observe notes how long an answer took.
func (t *AnswerTime) Observe(took time.Duration) {
	took = max(took, time.Nanosecond)
	if t.mean == 0 {
		t.mean, t.deviation = took, took/2
		return
	}
	t.deviation += time.Duration(deviationWeight * float64((took-t.mean).Abs()-t.deviation))
	t.mean += time.Duration(meanWeight * float64(took-t.mean))
}

// Timeout returns the timeout after which an answer is overdue: slack, which answers within
// one region never take, and besides what is usual, or first before that is known.
func (t *AnswerTime) Timeout(slack, first time.Duration) time.Duration {
	if t.mean == 0 {
		return slack + first
	}
	return slack + t.mean + deviations*t.deviation
}

// RecordTimeout notes that an answer was overdue and given up. Each one in a row doubles the
// deviation that the next is allowed, up to most in all: the path may have become
// longer, and an answer that is given up tells nothing of it.
func (t *AnswerTime) RecordTimeout(most time.Duration) {
	if t.mean == 0 {
		return
	}
	t.deviation = min(most/deviations, max(2*t.deviation, missDeviation))
}
