package place

import (
	"sync"
	"time"
)

const (
	// reportHalf is how long it takes for a reported load to count half.
	reportHalf = 2 * time.Second
	// distrustFirst and distrustMost bound how long a server that failed is
	// passed over.
	distrustFirst = 400 * time.Millisecond
	distrustMost  = 6 * time.Second
	// distrustAfter failures in a row a server is passed over.
	distrustAfter = 2
	// othersLast is how long a report of other gateways holds without being renewed.
	othersLast = 800 * time.Millisecond
	// rateWeight is the weight of the latest request in the rate of failures.
	rateWeight = 0.15
)

// ServerStats is one gateway's own knowledge of one server.
type ServerStats struct {
	mu          sync.Mutex // mu guards all below.
	own         int        // own counts requests sent and not ended.
	lastLoad    int        // lastLoad is the load that the server reported last, of all gateways.
	lastLoadOwn int        // lastLoadOwn is own at that time.
	lastLoadAt  time.Time
	failures    int       // failures are in a row.
	until       time.Time // until is how long the server is passed over.
	byOthers    time.Time // byOthers is how long it is passed over because other gateways report failures.
	ownReported int       // ownReported is own as it was last reported to the leader.
	gone        time.Time // gone is when the server stops running, if it is leaving and that is known.
	pending     float64   // pending are prompts of mean length that it has still to read.
	rate        float64   // rate is the part of the latest requests that failed.
}

// RequestStarted notes a request that is sent.
func (c *ServerStats) RequestStarted() {
	c.mu.Lock()
	c.own++
	c.mu.Unlock()
}

// RequestEnded notes that one ended.
func (c *ServerStats) RequestEnded() {
	c.mu.Lock()
	c.own--
	c.mu.Unlock()
}

// PrefillStarted notes a prompt that the server is to read, as a multiple of the mean
// one, and Read that it has read it.
func (c *ServerStats) PrefillStarted(prompt float64) {
	c.mu.Lock()
	c.pending += prompt
	c.mu.Unlock()
}

// PrefillDone notes that the server has read a prompt.
func (c *ServerStats) PrefillDone(prompt float64) { c.PrefillStarted(-prompt) }

// SetReportedLoad notes what the server reported of its load: the requests that run there and
// wait there, of all gateways.
func (c *ServerStats) SetReportedLoad(load int, now time.Time) {
	c.mu.Lock()
	c.lastLoad, c.lastLoadOwn, c.lastLoadAt = load, c.own, now
	c.mu.Unlock()
}

// report returns how many requests the server has from this gateway, which is
// about to tell it.
func (c *ServerStats) report() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ownReported = c.own
	return c.own
}

// shared notes the load from all gateways, in which this one's own is as it was
// reported, and whether others distrust the server. It reports whether they do
// since now.
func (c *ServerStats) shared(load int, distrusted bool, now time.Time) (since bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastLoad, c.lastLoadOwn, c.lastLoadAt = load, c.ownReported, now
	since = distrusted && !now.Before(c.byOthers)
	c.byOthers = time.Time{}
	if distrusted {
		c.byOthers = now.Add(othersLast)
	}
	return since
}

// distrusts reports whether the server is passed over for failures that this gateway saw itself.
func (c *ServerStats) distrusts(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.until)
}

// RequestFailed notes a failure that speaks against the server, and reports whether the
// server is passed over from now on. A hard one, such as a connection that cannot
// be opened, counts at once.
func (c *ServerStats) RequestFailed(hard bool, now time.Time) (distrusted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	trusted := !now.Before(c.until)
	c.failures++
	c.rate += rateWeight * (1 - c.rate)
	if hard {
		c.failures = max(c.failures, distrustAfter)
	}
	if c.failures < distrustAfter {
		return false
	}
	wait := min(distrustFirst<<min(c.failures-distrustAfter, 5), distrustMost)
	c.until = now.Add(wait)
	return trusted
}

// RequestSucceeded notes an answer that speaks for the server, and reports whether the
// server had been passed over.
func (c *ServerStats) RequestSucceeded() (trusted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	trusted = !c.until.IsZero()
	c.failures, c.until = 0, time.Time{}
	c.rate -= rateWeight * c.rate
	return trusted
}

// Outstanding returns how many requests of this gateway the server has.
func (c *ServerStats) Outstanding() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.own
}

// Suspect reports whether the server failed lately, here or elsewhere, and is to
// be passed over.
func (c *ServerStats) Suspect(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.suspect(now)
}

// suspect needs c.mu.
func (c *ServerStats) suspect(now time.Time) bool {
	return now.Before(c.until) || now.Before(c.byOthers)
}

// load estimates how many requests the server has, tells the prompts of mean length that
// it has still to read and the part of its latest requests that failed, and reports
// whether it is to be passed over. What it reported of its load fades as it grows old.
func (c *ServerStats) load(now time.Time) (load, pending, failing float64, suspect bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	load = float64(c.own)
	if !c.lastLoadAt.IsZero() {
		age := float64(now.Sub(c.lastLoadAt)) / float64(reportHalf)
		others := float64(max(0, c.lastLoad-c.lastLoadOwn)) / (1 + age)
		load += others
	}
	return load, c.pending, c.rate, c.suspect(now)
}

// leavingMost is how long after the notice a leaving server may be sent requests at
// the most: the users want none of them to get new work after a few seconds, and the
// notice itself may come a second late.
const leavingMost = 1500 * time.Millisecond

// SetLeaving notes that the server is leaving and stops running after a time. The first
// notice holds, since a later one may have been on the way for longer.
func (c *ServerStats) SetLeaving(after time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gone.IsZero() {
		c.gone = now.Add(min(after, leavingMost+leaveMargin))
	}
}

// runsUntil returns when a leaving server stops running; zero where that is not known.
func (c *ServerStats) runsUntil() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gone
}
