package retry

import "time"

// Share is one gateway's share of a service's retry budget, which applies to all
// gateways together: in each window, the retries are at most a fraction (the
// ratio) of the requests plus a fixed number (the extra).
//
// A gateway earns retries from its own requests, so that the gateways together
// earn the ratio of all requests, and starts with an equal share of the extra.
// Each uses only a part of both, because a gateway that restarts gets its share
// of the extra again.
type Share struct {
	ratio       float64
	extraTokens float64
	tokens      float64
	at          time.Time
	window      time.Duration
}

// usedFraction is the fraction of ratio and extra that the gateways use.
const usedFraction = 0.7

// NewShare returns one gateway's share of a budget.
func NewShare(ratio, extra float64, window time.Duration, gateways int, now time.Time) *Share {
	extraTokens := extra * usedFraction / float64(max(1, gateways))
	return &Share{ratio: ratio * usedFraction, extraTokens: extraTokens, tokens: extraTokens, at: now, window: window}
}

// Resize adjusts the share to a new number of gateways.
func (s *Share) Resize(extra float64, gateways int) {
	s.extraTokens = extra * usedFraction / float64(max(1, gateways))
}

// Request records a request, which earns a part of a retry.
func (s *Share) Request(now time.Time) {
	s.adjust(now)
	s.tokens += s.ratio
}

// Spend takes one retry and reports whether one was available.
func (s *Share) Spend(now time.Time) bool {
	s.adjust(now)
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// Available returns how many retries are available at the time, and the number that a share is
// refilled to.
func (s *Share) Available(now time.Time) (available, refilledTo float64) {
	s.adjust(now)
	return s.tokens, s.extraTokens
}

// adjust refills extraTokens over two windows. Tokens above it decay over one
// window, so that retries do not accumulate for a later window.
func (s *Share) adjust(now time.Time) {
	windows := float64(now.Sub(s.at)) / float64(s.window)
	s.at = now
	if s.tokens < s.extraTokens {
		s.tokens = min(s.extraTokens, s.tokens+s.extraTokens*windows/2)
		return
	}
	s.tokens -= (s.tokens - s.extraTokens) * min(1, windows)
}
