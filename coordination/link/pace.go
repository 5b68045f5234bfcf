package link

import "time"

const (
	// paceGain and paceSway are the weights of the latest answer in the mean time and
	// in its mean deviation, and paceMargin the deviations that are waited for: as TCP
	// estimates its retransmission time (RFC 6298).
	paceGain   = 1.0 / 8
	paceSway   = 1.0 / 4
	paceMargin = 4
)

// Pace estimates how long an answer may take, from how long others took.
type Pace struct {
	mean time.Duration // mean is 0 before the first answer.
	sway time.Duration // sway is the mean deviation.
}

// Observe notes how long an answer took.
func (p *Pace) Observe(took time.Duration) {
	took = max(took, time.Nanosecond)
	if p.mean == 0 {
		p.mean, p.sway = took, took/2
		return
	}
	p.sway += time.Duration(paceSway * float64((took-p.mean).Abs()-p.sway))
	p.mean += time.Duration(paceGain * float64(took-p.mean))
}

// Due returns when an answer is overdue: behind what is usual by a time that one
// region's answers never take, and first before any is known.
func (p *Pace) Due(slack, first time.Duration) time.Duration {
	if p.mean == 0 {
		return slack + first
	}
	return slack + p.mean + paceMargin*p.sway
}

// Miss notes that an answer was overdue and given up. Each one in a row has the next
// waited for twice as much longer than usual, up to a time: the way may have become
// longer, and an answer that is given up tells nothing.
func (p *Pace) Miss(most time.Duration) {
	if p.mean == 0 {
		return
	}
	p.sway = min(most/paceMargin, max(2*p.sway, missSway))
}

// missSway is the least deviation after an answer was given up.
const missSway = 10 * time.Millisecond
