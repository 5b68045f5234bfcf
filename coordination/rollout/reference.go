package rollout

import (
	"math"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

const (
	// priorFailureRate is the failure rate assumed before any answers are known, with the
	// weight of priorWeight answers.
	priorFailureRate = 0.01
	priorWeight      = 20
	// slowHalfLife is the half-life of baseline answers. Bursts and the loss of a failure
	// domain last for seconds.
	slowHalfLife = 2 * time.Second
	// fastHalfLife is the half-life of the baseline over all routes that detects a sudden
	// rise of failures. When all servers failed 0.4 of their answers for 3 s, 14 of 40 good
	// versions were rolled back without it, three at 500 ms, none at 200 ms.
	fastHalfLife = 200 * time.Millisecond
)

// baseline holds the answers of the other versions' servers, weighted by age.
type baseline struct {
	at         time.Time
	slow, fast decayingCounts
	first      [Buckets]float64
	pace       [Buckets]float64
}

// decayingCounts counts good and bad answers with exponential decay.
type decayingCounts struct{ good, bad float64 }

// add decays the answers so far and adds new ones.
func (r *baseline) add(a *protocol.AnswerCounts, now time.Time) {
	if !r.at.IsZero() {
		r.decay(now.Sub(r.at))
	}
	r.at = now
	r.slow.add(a)
	r.fast.add(a)
	for i, n := range a.First {
		r.first[min(i, Buckets-1)] += float64(n)
	}
	for i, n := range a.Pace {
		r.pace[min(i, Buckets-1)] += float64(n)
	}
}

func (r *baseline) decay(age time.Duration) {
	factor := math.Exp2(-float64(age) / float64(slowHalfLife))
	r.slow.scale(factor)
	r.fast.scale(math.Exp2(-float64(age) / float64(fastHalfLife)))
	for i := range r.first {
		r.first[i] *= factor
		r.pace[i] *= factor
	}
}

func (m *decayingCounts) add(a *protocol.AnswerCounts) {
	m.good += float64(a.Good)
	m.bad += float64(a.Bad)
}

func (m *decayingCounts) scale(factor float64) { m.good, m.bad = factor*m.good, factor*m.bad }

// failureRate estimates the fraction of answers that fail, including the prior.
func (m *decayingCounts) failureRate() float64 {
	return (m.bad + priorFailureRate*priorWeight) / (m.good + m.bad + priorWeight)
}
