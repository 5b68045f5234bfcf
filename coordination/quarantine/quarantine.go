// Package quarantine finds requests that crash backend servers, and holds them: they are
// no longer sent to servers.
//
// Such a request may crash each server that starts to run it, and arrive again under another
// id. Gateways observe which requests were running on a server when it crashed, and report
// them to the leader. A [CrashTable] combines these observations: [CrashTable.Update] takes
// a message, [CrashTable.Decide] returns changes. It reads no clock and does no I/O.
//
// Most requests on a crashed server are harmless, and ran beside the one that crashed it.
// A request is held once [holdThreshold] servers crashed under it, except if:
//
//   - it succeeded a short time before the crashes, or at any time after them, or
//   - the servers are known to have ended for another reason.
//
// A part of a prompt may also crash servers, in requests no two of which are alike. A [PartTable]
// looks for such parts in the same observations, and holds each request with one.
//
// This also holds harmless requests that ran beside a harmful one at each crash. Therefore
// a held request is tried again: one gateway may send it once. If other requests explain
// the same crashes as well, the trial is made soon, otherwise after a longer time. A success
// releases the request. Until then no other gateway sends it, so that a wrong guess costs
// one server, and not one for each gateway.
package quarantine

import (
	"time"

	"github.com/weldstream/weldstream/protocol"
)

const (
	// holdThreshold is the number of servers that crash under a request before it is held.
	// The requirements allow this many; a lower number would hold more harmless requests.
	holdThreshold = 3
	// settleTime is how long observations of one crash from several gateways are collected. A
	// gateway that saw the crash reports it at once. Reports of other gateways, such as those
	// of successes, are sent every 150 to 450 ms and may arrive later.
	settleTime = 300 * time.Millisecond
	// doubtfulDelay is how long after its latest crash was first reported a doubtful request
	// is tried; see isDoubtful. By then the requests that were running have ended, and the
	// trial still ends within the 3 s in which all gateways have to hold a harmful request.
	doubtfulDelay = time.Second
	// trustTime is how long after a success of a request crashes do not count against it. So
	// a harmless request that many callers send is not held: it succeeds many times within
	// this time, even while few servers are left.
	trustTime = 10 * time.Second
	// mergeWindow is the time within which observations of one server belong to the same
	// crash: a server takes longer than that to restart and to get requests.
	mergeWindow = 1500 * time.Millisecond
	// retention is how long a crash is remembered.
	retention = time.Hour
	// maxCrashes and maxRuns bound the table. A run takes some 130 bytes.
	maxCrashes = 2048
	maxRuns    = 32 << 10
	// maxRunsPerCrash bounds the runs of one crash. It is more than a server runs at once.
	maxRunsPerCrash = 512
	// watchThreshold is the number of crashes from which on a request's successes are reported.
	watchThreshold = 2
	// maxWatched bounds the requests whose successes are reported.
	maxWatched = 256
)

// CrashTable holds the crashes and successes that gateways observed.
type CrashTable struct{ crashStore[crashRun] }

// crashRun is a request that ran on a server that crashed.
type crashRun struct {
	gateway string    // gateway is the one that sent it.
	sent    time.Time // sent is when it was sent, the last time if there were several sends.
}

// NewCrashTable returns an empty table.
func NewCrashTable() *CrashTable { return &CrashTable{newCrashStore[crashRun]()} }

// Update processes a message.
func (t *CrashTable) Update(m Msg) {
	switch m := m.(type) {
	case ObservedMsg:
		t.observe(m)
	case IgnoreCrashMsg:
		t.ignoreCrash(m)
	case LogStateMsg:
		t.setLogState(m, func(f protocol.Fingerprint) bool { return !f.IsPart() })
	}
}

// observe adds an observation of a gateway.
func (t *CrashTable) observe(m ObservedMsg) {
	at := m.Now.Add(-m.Observation.Ago)
	if m.Now.Sub(at) > retention {
		return
	}
	if m.Observation.Server == "" {
		for i := range m.Observation.Runs {
			t.recordSuccess(m.Observation.Runs[i].Fingerprint, at)
		}
		return
	}
	var c *crash[crashRun]
	for i := range m.Observation.Runs {
		r := &m.Observation.Runs[i]
		if r.IsPart() {
			continue
		}
		if c == nil {
			c = t.findOrAddCrash(&m.Observation, at, m.Now)
		}
		if run := (crashRun{gateway: m.Gateway, sent: at.Add(-r.Age)}); run.sent.After(c.runs[r.Fingerprint].sent) {
			t.addRun(c, r.Fingerprint, run)
		}
		if r.Well > 0 {
			t.recordSuccess(r.Fingerprint, at.Add(-r.Well))
		}
	}
	t.enforceBounds(m.Now)
}

// Watched returns the requests whose successes should be reported, those with the most
// crashes first. The order is deterministic.
func (t *CrashTable) Watched() []protocol.Fingerprint {
	counts := map[protocol.Fingerprint]int{}
	for f := range t.suspects {
		counts[f] = len(t.crashesSinceSuccess(f))
	}
	return mostCrashes(counts, watchThreshold, maxWatched)
}

// crashesSinceSuccess returns the crashes more than trustTime after the last success of the
// request, or all crashes if it never succeeded.
func (t *CrashTable) crashesSinceSuccess(f protocol.Fingerprint) []*crash[crashRun] {
	s := t.suspects[f]
	if s.succeededAt.IsZero() {
		return s.crashes
	}
	for i, c := range s.crashes {
		if c.at.Sub(s.succeededAt) > trustTime {
			return s.crashes[i:]
		}
	}
	return nil
}
