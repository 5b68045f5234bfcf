package link

import "time"

const (
	// meanWeight and deviationWeight are the weights of the latest answer in the smoothed
	// mean and mean deviation, and deviations is the number of deviations above the mean
	// that are allowed: as TCP computes its retransmission timeout (RFC 6298).
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	deviations      = 4
	// minTimeoutDeviation is the minimum deviation after a timeout: on a path with steady
	// times the deviation is near zero, and doubling it would not make the timeout longer.
	minTimeoutDeviation = 10 * time.Millisecond
)

// AnswerTime computes the timeout of an instance's answer from the times of earlier ones.
type AnswerTime struct {
	mean      time.Duration // mean is 0 before the first answer.
	deviation time.Duration // deviation is the mean deviation from mean.
}

// Observe records how long an answer took.
func (t *AnswerTime) Observe(took time.Duration) {
	took = max(took, time.Nanosecond)
	if t.mean == 0 {
		t.mean, t.deviation = took, took/2
		return
	}
	t.deviation += time.Duration(deviationWeight * float64((took-t.mean).Abs()-t.deviation))
	t.mean += time.Duration(meanWeight * float64(took-t.mean))
}

// Timeout returns the timeout of the next answer: slack, which answers within one region
// never exceed, plus the estimate, or plus initial before the first answer.
func (t *AnswerTime) Timeout(slack, initial time.Duration) time.Duration {
	if t.mean == 0 {
		return slack + initial
	}
	return slack + t.mean + deviations*t.deviation
}

// RecordTimeout records that an answer timed out. Each consecutive timeout doubles the
// deviation, so that the part of the timeout due to it is at most limit: the latency may
// have increased, and abandoned answers give no observation of it.
func (t *AnswerTime) RecordTimeout(limit time.Duration) {
	if t.mean == 0 {
		return
	}
	t.deviation = min(limit/deviations, max(2*t.deviation, minTimeoutDeviation))
}
