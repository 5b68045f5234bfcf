package retry

import "time"

// Share is one gateway's part of a retry budget that holds over all gateways
// and for each service: in a window, the sendings beyond the first of each
// request are at most a part of the requests, and some more.
//
// Each gateway earns by its own requests, so what all of them earn adds up to
// the whole, and begins with its even part of the extra. It keeps to less than
// both, since a gateway that is started anew begins again.
type Share struct {
	ratio  float64
	most   float64
	tokens float64
	at     time.Time
	window time.Duration
}

// shareOf is the part of the bounds that is used.
const shareOf = 0.7

// NewShare returns a gateway's part of a budget.
func NewShare(ratio, extra float64, window time.Duration, gateways int, now time.Time) *Share {
	most := extra * shareOf / float64(max(1, gateways))
	return &Share{ratio: ratio * shareOf, most: most, tokens: most, at: now, window: window}
}

// Resize takes on another number of gateways.
func (s *Share) Resize(extra float64, gateways int) {
	s.most = extra * shareOf / float64(max(1, gateways))
}

// Request notes a request.
func (s *Share) Request(now time.Time) {
	s.fill(now)
	s.tokens += s.ratio
}

// Spend takes one retry, if there is one.
func (s *Share) Spend(now time.Time) bool {
	s.fill(now)
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// fill lets the extra come back over two windows, and what was earned beyond it
// fade over one, so that nothing is saved up for a later window.
func (s *Share) fill(now time.Time) {
	part := float64(now.Sub(s.at)) / float64(s.window)
	s.at = now
	if s.tokens < s.most {
		s.tokens = min(s.most, s.tokens+s.most*part/2)
		return
	}
	s.tokens -= (s.tokens - s.most) * min(1, part)
}
