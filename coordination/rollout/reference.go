package rollout

import (
	"math"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

const (
	// usualFailures is taken for the part of answers that fail before more is known, with
	// the weight of usualWeight answers.
	usualFailures = 0.01
	usualWeight   = 20
	// oldHalf is how long it takes for the others' answers to count half: bursts and
	// lost domains last for seconds.
	oldHalf = 2 * time.Second
	// fastHalf is the same for the failures that began just now, on all routes together.
	// Without it 14 of 40 good versions were condemned where all servers failed 0.4 of
	// their answers for 3 s, with 500 ms three, with 200 ms none.
	fastHalf = 200 * time.Millisecond
)

// reference are the answers of the other servers, of which older ones count less.
type reference struct {
	at         time.Time
	slow, fast mix
	first      [Buckets]float64
	pace       [Buckets]float64
}

// mix counts good and bad answers that fade.
type mix struct{ good, bad float64 }

// add takes answers, and fades those before.
func (r *reference) add(a *protocol.AnswerCounts, now time.Time) {
	if !r.at.IsZero() {
		r.fade(now.Sub(r.at))
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

func (r *reference) fade(age time.Duration) {
	part := math.Exp2(-float64(age) / float64(oldHalf))
	r.slow.fade(part)
	r.fast.fade(math.Exp2(-float64(age) / float64(fastHalf)))
	for i := range r.first {
		r.first[i] *= part
		r.pace[i] *= part
	}
}

func (m *mix) add(a *protocol.AnswerCounts) {
	m.good += float64(a.Good)
	m.bad += float64(a.Bad)
}

func (m *mix) fade(part float64) { m.good, m.bad = part*m.good, part*m.bad }

// failures is the part of the answers that fail.
func (m *mix) failures() float64 {
	return (m.bad + usualFailures*usualWeight) / (m.good + m.bad + usualWeight)
}
