package scale

import (
	"maps"
	"math"
	"time"
)

const (
	// evaluationInterval is the shortest time between two evaluations of how many answers
	// are slow.
	evaluationInterval = 500 * time.Millisecond
	// minEvaluationAnswers is the number of answers required for an evaluation.
	minEvaluationAnswers = 12
	// A fraction of slow answers above growThreshold raises the need for servers, one below
	// shrinkThreshold lowers it.
	growThreshold, shrinkThreshold = 0.08, 0.015
	// growFactor and shrinkFactor change the need in one evaluation. minNeedFactor and
	// maxNeedFactor limit the accumulated change.
	growFactor, shrinkFactor     = 1.08, 0.994
	minNeedFactor, maxNeedFactor = 0.6, 1.8
	// serversPerRequest for each running request plus extraServers is the largest need:
	// once each request has a server of its own, more servers do not shorten any caller's
	// wait. The additional half is for bursts, and for requests that are routed to the same
	// server because it has their prompt cached.
	serversPerRequest = 1.5
	extraServers      = 16
	// shareWindow is the averaging time of the regions' shares of the load. The shares of
	// the few hundred requests of one second vary by several hundredths, and every change
	// of a layout starts servers that the next change stops. It is half of peakWindow, for
	// which a peak counts.
	shareWindow = peakWindow / 2
)

// load tracks the load of one service.
type load struct {
	peakRunning float64 // peakRunning is the recent peak of running requests.
	peakAt      time.Time
	begun       int64
	slow        int64
	evaluatedAt time.Time
	needFactor  float64   // needFactor corrects the initial estimate of the need.
	busySince   time.Time // busySince is when the first answer began; zero before.

	shares      map[string]float64 // shares are the regions' average shares of the load.
	sharesAt    time.Time          // sharesAt is when shares were last updated.
	sharesSince time.Time          // sharesSince is when shares were first known.
}

func newLoad(s *Service, now time.Time) *load {
	return &load{begun: s.BegunAnswers, slow: s.SlowAnswers, evaluatedAt: now, needFactor: 1}
}

// peak returns the recent peak of running requests, which decays linearly over peakWindow.
func (l *load) peak(running float64, now time.Time) float64 {
	decayed := l.peakRunning * max(0, 1-float64(now.Sub(l.peakAt))/float64(peakWindow))
	if running < decayed {
		return decayed
	}
	l.peakRunning, l.peakAt = running, now
	return running
}

// maxNeed returns the largest number of servers that the running requests can use. There is
// no limit until requests have arrived for a while, because the first ones say little about
// the load to come.
func (l *load) maxNeed(now time.Time) int {
	if l.busySince.IsZero() || now.Sub(l.busySince) < shrinkDelay {
		return math.MaxInt
	}
	return int(math.Ceil(serversPerRequest*l.peakRunning)) + extraServers
}

// observe corrects the need by the fraction of answers that were slow since the last
// evaluation.
func (l *load) observe(s *Service, now time.Time) {
	if l.busySince.IsZero() && !s.idle() {
		l.busySince = now
	}
	begun, slow := s.BegunAnswers-l.begun, s.SlowAnswers-l.slow
	if begun < 0 || slow < 0 {
		l.begun, l.slow, l.evaluatedAt = s.BegunAnswers, s.SlowAnswers, now // A gateway left.
		return
	}
	if now.Sub(l.evaluatedAt) < evaluationInterval || begun < minEvaluationAnswers {
		return
	}
	l.begun, l.slow, l.evaluatedAt = s.BegunAnswers, s.SlowAnswers, now
	switch slowShare := float64(slow) / float64(begun); {
	case slowShare > growThreshold:
		l.needFactor = min(maxNeedFactor, l.needFactor*growFactor)
	case slowShare < shrinkThreshold:
		l.needFactor = max(minNeedFactor, l.needFactor*shrinkFactor)
	}
}

// meanShares returns the regions' shares of the load, averaged over shareWindow, or over
// the time since they were first known if that is shorter.
func (l *load) meanShares(shares map[string]float64, now time.Time) map[string]float64 {
	if l.shares == nil {
		l.shares, l.sharesAt, l.sharesSince = maps.Clone(shares), now, now
		return shares
	}
	weight := 0.0
	if elapsed := now.Sub(l.sharesAt); elapsed > 0 {
		weight = float64(elapsed) / float64(min(shareWindow, now.Sub(l.sharesSince)))
	}
	mean := map[string]float64{}
	for region, share := range l.shares {
		mean[region] = (1 - min(1, weight)) * share
	}
	for region, share := range shares {
		mean[region] += min(1, weight) * share
	}
	l.shares, l.sharesAt = mean, now
	return mean
}
