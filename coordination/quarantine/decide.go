package quarantine

import (
	"slices"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// Decide returns the changes to write to the Raft log. now is on the clock of the table's
// messages, timeOfDay is the wall-clock time. It returns the same changes until they are in
// the log.
func (t *CrashTable) Decide(now, timeOfDay time.Time) protocol.QuarantineMsg {
	var m protocol.QuarantineMsg
	for f := range t.suspects {
		if t.held[f] == nil && t.ShouldHold(f, now) {
			m.Hold = append(m.Hold, protocol.HoldRequest{Fingerprint: f, Servers: t.crashCount(f)})
		}
	}
	for f, q := range t.held {
		switch {
		case t.isCleared(f):
			m.Free = append(m.Free, f)
		case q.Until <= timeOfDay.UnixMilli(), q.Trials == 0 && t.isDoubtful(f, now):
			m.Try = append(m.Try, protocol.TryRequest{Fingerprint: f, Gateway: t.lastGateway(f), Trials: q.Trials})
		}
	}
	slices.SortFunc(m.Hold, func(a, b protocol.HoldRequest) int { return compare(a.Fingerprint, b.Fingerprint) })
	slices.SortFunc(m.Free, compare)
	slices.SortFunc(m.Try, func(a, b protocol.TryRequest) int { return compare(a.Fingerprint, b.Fingerprint) })
	return m
}

// ShouldHold reports whether the crashes are enough to hold a request.
func (t *CrashTable) ShouldHold(f protocol.Fingerprint, now time.Time) bool {
	return t.suspects[f] != nil && len(t.settledCrashes(f, now)) >= holdThreshold
}

// settledCrashes returns the crashes that count against a request and were reported at
// least settleTime ago, so that the gateways that saw them have had the time to report them.
func (t *CrashTable) settledCrashes(f protocol.Fingerprint, now time.Time) []*crash[crashRun] {
	all := t.crashesSinceSuccess(f)
	if len(all) < holdThreshold {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(all), func(c *crash[crashRun]) bool { return now.Sub(c.reportedAt) < settleTime })
}

// crashCount returns the number of servers that crashed under a request. For a held one it
// is at least the number in the log, as an earlier leader may have seen more.
func (t *CrashTable) crashCount(f protocol.Fingerprint) int {
	n := 0
	if s := t.suspects[f]; s != nil {
		n = len(t.crashesSinceSuccess(f))
	}
	if q := t.held[f]; q != nil {
		return max(n, q.Servers)
	}
	return n
}

// isCleared reports whether a held request succeeded, so that the crashes since then are
// below the threshold.
func (t *CrashTable) isCleared(f protocol.Fingerprint) bool {
	s := t.suspects[f]
	return s != nil && !s.succeededAt.IsZero() && len(t.crashesSinceSuccess(f)) < holdThreshold
}

// isDoubtful reports whether a held request may well be harmless and should be tried early.
// All of this must hold:
//
//   - The table has crashes under the request.
//   - The latest of them was first reported at least doubtfulDelay ago, so that the requests
//     that were running when it was held have ended.
//   - Of the crashes since its last success that no other request explains as well (see
//     hasOtherExplanation), fewer than holdThreshold happened one after the other (see
//     countSequential).
func (t *CrashTable) isDoubtful(f protocol.Fingerprint, now time.Time) bool {
	s := t.suspects[f]
	if s == nil || len(s.crashes) == 0 {
		return false // Only the log knows of the request.
	}
	if now.Sub(s.crashes[len(s.crashes)-1].reportedAt) < doubtfulDelay {
		return false
	}
	list := slices.DeleteFunc(slices.Clone(t.crashesSinceSuccess(f)), func(c *crash[crashRun]) bool { return t.hasOtherExplanation(c, f) })
	return countSequential(f, list) < holdThreshold
}

// hasOtherExplanation reports whether another request at a crashed server was at as many
// crashed servers as f, or at more.
func (t *CrashTable) hasOtherExplanation(c *crash[crashRun], f protocol.Fingerprint) bool {
	for other := range c.runs {
		if other != f && t.crashCount(other) >= t.crashCount(f) {
			return true
		}
	}
	return false
}

// countSequential counts the crashes that happened one after the other: each under a request
// that was sent after the previous crash.
func countSequential(f protocol.Fingerprint, list []*crash[crashRun]) int {
	n := 0
	var last *crash[crashRun]
	for _, c := range list {
		if last == nil || c.runs[f].sent.After(last.at) {
			n++
			last = c
		}
	}
	return n
}

// lastGateway returns the gateway that last sent a request to a server that crashed under
// it; empty if unknown.
func (t *CrashTable) lastGateway(f protocol.Fingerprint) string {
	s := t.suspects[f]
	if s == nil || len(s.crashes) == 0 {
		return ""
	}
	return s.crashes[len(s.crashes)-1].runs[f].gateway
}
