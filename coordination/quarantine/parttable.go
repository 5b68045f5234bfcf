package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

const (
	// partThreshold is the number of servers that crash under a part, without a success in between,
	// before it is held. The requirements allow five.
	partThreshold = 4
	// begunThreshold is the same for crashes at which an answer on the part had begun: few others are
	// in that state.
	begunThreshold = 3
	// trustedThreshold is the same for a part that succeeded shortly before the crashes.
	trustedThreshold = 5
	// hiddenThreshold is the number of crashes, all but one explained by another held part, from which
	// one more is enough: that part may have hidden a second harmful one.
	hiddenThreshold = 5
	// jointThreshold is the same for the crashes under all origins of a part together.
	jointThreshold = 5
	// partSettleTime is how long observations of one crash are collected: gateways learn which parts
	// are watched, and report their successes, within two syncs.
	partSettleTime = 700 * time.Millisecond
	// scanTime is how long after an observation it may change a decision without another one.
	scanTime = disputedSettleTime + partSettleTime
	// watchWindow is how long the successes of a part at crashed servers are watched after a crash.
	watchWindow = 30 * time.Second
	// maxWatchedParts bounds the parts whose successes are reported.
	maxWatchedParts = 128
)

// PartTable holds the crashes under parts of prompts, and the successes of these parts.
//
// A harmful part crashes each server that begins to write an answer on it, so it is at every crash
// and never succeeds. Harmless parts that come with it, such as a first part that all requests share,
// are at the same crashes and succeed in between. The crashes of a part are therefore counted since
// its last success, and those that another held part explains better do not count.
type PartTable struct {
	crashStore[partRun]
	asks      map[string]trialAsks               // asks are keyed by gateway.
	grantedAt map[protocol.Fingerprint]time.Time // grantedAt is when a trial of a held part was last allowed.
	scanTo    time.Time                          // scanTo is the end of the time in which the last observation may change a decision.
	scannedAt time.Time                          // scannedAt is when the last decision was made.
	changed   bool                               // changed reports that the last decision had changes: it is made again until they are in the log.
}

// partCrash is the unannounced end of a server under requests with parts.
type partCrash = crash[partRun]

// partRun is a part at a server that crashed.
type partRun struct {
	begun   bool // begun reports that an answer on the part had begun and got no event.
	gateway string
}

// NewPartTable returns an empty table.
func NewPartTable() *PartTable {
	return &PartTable{crashStore: newCrashStore[partRun](), asks: map[string]trialAsks{}, grantedAt: map[protocol.Fingerprint]time.Time{}}
}

// Update processes a message.
func (t *PartTable) Update(m Msg) {
	switch m := m.(type) {
	case ObservedMsg:
		t.observe(m)
	case IgnoreCrashMsg:
		t.ignoreCrash(m)
	case LogStateMsg:
		t.setLogState(m, protocol.Fingerprint.IsPart)
		maps.DeleteFunc(t.grantedAt, func(f protocol.Fingerprint, _ time.Time) bool { return t.held[f] == nil })
		t.scanTo = m.Now.Add(scanTime)
	case AskedMsg:
		t.setAsks(m)
	}
}

// setAsks replaces the asks of a gateway, and forgets those of gateways that no longer report.
func (t *PartTable) setAsks(m AskedMsg) {
	maps.DeleteFunc(t.asks, func(_ string, a trialAsks) bool { return m.Now.Sub(a.at) > askTTL })
	t.asks[m.Gateway] = trialAsks{at: m.Now, asks: m.Asks}
}

// observe adds an observation of a gateway.
func (t *PartTable) observe(m ObservedMsg) {
	at := m.Now.Add(-m.Observation.Ago)
	if m.Now.Sub(at) > retention {
		return
	}
	var c *partCrash
	for i := range m.Observation.Runs {
		r := &m.Observation.Runs[i]
		switch {
		case !r.IsPart():
		case m.Observation.Server == "":
			t.recordSuccess(r.Fingerprint, at)
		default:
			if c == nil {
				c = t.findOrAddCrash(&m.Observation, at, m.Now)
			}
			c.begun = c.begun || r.Age > 0
			if t.isTrial(r.Fingerprint, m.Gateway, at) {
				c.trial = m.Gateway
			}
			t.addRun(c, r.Fingerprint, partRun{begun: r.Age > 0 || c.runs[r.Fingerprint].begun, gateway: m.Gateway})
			if r.Well > 0 {
				t.recordSuccess(r.Fingerprint, at.Add(-r.Well))
			}
		}
	}
	t.scanTo = m.Now.Add(scanTime)
	t.enforceBounds(m.Now)
}

// countsAgainst reports whether a crash counts against a part, apart from its successes: while answers
// at the server had begun, only their parts are suspects.
func countsAgainst(c *partCrash, f protocol.Fingerprint) bool {
	r, here := c.runs[f]
	return here && (r.begun || !c.begun)
}

// crashesSinceSuccess returns the crashes that count against a part.
func (t *PartTable) crashesSinceSuccess(f protocol.Fingerprint) []*partCrash {
	s := t.suspects[f]
	if s == nil {
		return nil
	}
	var list []*partCrash
	for _, c := range s.crashes {
		if c.at.After(s.succeededAt) && countsAgainst(c, f) {
			list = append(list, c)
		}
	}
	return list
}

// Watched returns the parts whose successes should be reported, those with the most crashes first.
// The order is deterministic.
func (t *PartTable) Watched(now time.Time) []protocol.Fingerprint {
	counts := map[protocol.Fingerprint]int{}
	for _, c := range slices.Backward(t.crashes) {
		if now.Sub(c.reportedAt) > watchWindow {
			break
		}
		for f := range c.runs {
			counts[f]++
		}
	}
	return mostCrashes(counts, watchThreshold, maxWatchedParts)
}
