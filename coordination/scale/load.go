package scale

import (
	"maps"
	"math"
	"time"
)

const (
	// judgeEvery is between two looks at how slow the answers are.
	judgeEvery = 500 * time.Millisecond
	// judgeLeast answers are looked at together.
	judgeLeast = 12
	// slowMuch of the answers call for more servers, slowLittle for fewer.
	slowMuch, slowLittle = 0.08, 0.015
	// growBy and shrinkBy change the need at one look; leastFactor and mostFactor
	// bound what comes of it.
	growBy, shrinkBy        = 1.08, 0.994
	leastFactor, mostFactor = 0.6, 1.8
	// ownServers for each running request, and ownSpare besides, are the most that are
	// needed: where each has a server of its own, more servers shorten nothing that a caller
	// waits for. Half as many again are for bursts and for requests that meet at the server
	// which has read their prompt.
	ownServers = 1.5
	ownSpare   = 16
	// partsMemory is the time over which the regions' parts of the load are averaged: the
	// parts of the some hundred requests of one second vary by a few hundredths, and each
	// change of a layout starts servers that the next change ends. It is half of
	// sinceMemory, for which a peak counts.
	partsMemory = sinceMemory / 2
)

// load is what is known of one service's load.
type load struct {
	work   float64 // work is the highest of late.
	workAt time.Time
	begun  int64
	slow   int64
	at     time.Time
	factor float64   // factor corrects the first guess of the need.
	busy   time.Time // busy is when the first answer began; zero before.

	parts      map[string]float64 // parts are of the load by region, in the mean of late.
	partsAt    time.Time          // partsAt is when parts were renewed last.
	partsSince time.Time          // partsSince is when the first ones came.
}

func newLoad(s *Service, now time.Time) *load {
	return &load{begun: s.BegunAnswers, slow: s.SlowAnswers, at: now, factor: 1}
}

// peak returns the highest number of running requests of late.
func (l *load) peak(work float64, now time.Time) float64 {
	faded := l.work * max(0, 1-float64(now.Sub(l.workAt))/float64(sinceMemory))
	if work < faded {
		return faded
	}
	l.work, l.workAt = work, now
	return work
}

// most is how many servers are needed at the most, by how many requests run. It is no bound
// before requests have come for a while: the first ones say little about how many will.
func (l *load) most(now time.Time) int {
	if l.busy.IsZero() || now.Sub(l.busy) < shrinkAfter {
		return math.MaxInt
	}
	return int(math.Ceil(ownServers*l.work)) + ownSpare
}

// observe corrects the need by how many answers were slow since the last look.
func (l *load) observe(s *Service, now time.Time) {
	if l.busy.IsZero() && !s.idle() {
		l.busy = now
	}
	begun, slow := s.BegunAnswers-l.begun, s.SlowAnswers-l.slow
	if begun < 0 || slow < 0 {
		l.begun, l.slow, l.at = s.BegunAnswers, s.SlowAnswers, now // A gateway is gone.
		return
	}
	if now.Sub(l.at) < judgeEvery || begun < judgeLeast {
		return
	}
	l.begun, l.slow, l.at = s.BegunAnswers, s.SlowAnswers, now
	switch part := float64(slow) / float64(begun); {
	case part > slowMuch:
		l.factor = min(mostFactor, l.factor*growBy)
	case part < slowLittle:
		l.factor = max(leastFactor, l.factor*shrinkBy)
	}
}

// meanParts returns the regions' parts of the load, averaged over partsMemory, or over the
// time since the first ones while that is shorter.
func (l *load) meanParts(parts map[string]float64, now time.Time) map[string]float64 {
	if l.parts == nil {
		l.parts, l.partsAt, l.partsSince = maps.Clone(parts), now, now
		return parts
	}
	weight := 0.0
	if past := now.Sub(l.partsAt); past > 0 {
		weight = float64(past) / float64(min(partsMemory, now.Sub(l.partsSince)))
	}
	mean := map[string]float64{}
	for region, part := range l.parts {
		mean[region] = (1 - min(1, weight)) * part
	}
	for region, part := range parts {
		mean[region] += min(1, weight) * part
	}
	l.parts, l.partsAt = mean, now
	return mean
}
