package quarantine

import (
	"slices"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// Judge returns what is to change in the log at a time: now by the clock of the table's
// messages, and date by the time of day. It returns the same until the log has it.
func (t *Table) Judge(now, date time.Time) protocol.QuarantineMsg {
	var m protocol.QuarantineMsg
	for f := range t.suspects {
		if t.held[f] == nil && t.Condemns(f, now) {
			m.Hold = append(m.Hold, protocol.HoldRequest{Fingerprint: f, Servers: t.weight(f)})
		}
	}
	for f, q := range t.held {
		switch {
		case t.harmless(f):
			m.Free = append(m.Free, f)
		case q.Until <= date.UnixMilli(), q.Trials == 0 && t.doubtful(f, now):
			m.Try = append(m.Try, protocol.TryRequest{Fingerprint: f, Gateway: t.lastGateway(f), Trials: q.Trials})
		}
	}
	slices.SortFunc(m.Hold, func(a, b protocol.HoldRequest) int { return compare(a.Fingerprint, b.Fingerprint) })
	slices.SortFunc(m.Free, compare)
	slices.SortFunc(m.Try, func(a, b protocol.TryRequest) int { return compare(a.Fingerprint, b.Fingerprint) })
	return m
}

// Any reports whether any server ended.
func (t *Table) Any() bool { return len(t.crashes) > 0 }

// Condemns reports whether a request would be held.
func (t *Table) Condemns(f protocol.Fingerprint, now time.Time) bool {
	return t.suspects[f] != nil && len(t.against(f, now)) >= holdAfter
}

// against returns the servers that speak against a request, of which all gateways that saw
// them end have had the time to tell.
func (t *Table) against(f protocol.Fingerprint, now time.Time) []*crash {
	all := t.suspects[f].since()
	if len(all) < holdAfter {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(all), func(c *crash) bool { return now.Sub(c.reportedAt) < settleTime })
}

// weight returns at how many servers that ended a request was: those of the table or, of
// one that is held, those in the log, which an earlier leader saw.
func (t *Table) weight(f protocol.Fingerprint) int {
	n := 0
	if s := t.suspects[f]; s != nil {
		n = len(s.since())
	}
	if q := t.held[f]; q != nil {
		return max(n, q.Servers)
	}
	return n
}

// harmless reports whether a request that is held ended well, so that too few servers are
// left that speak against it.
func (t *Table) harmless(f protocol.Fingerprint) bool {
	s := t.suspects[f]
	return s != nil && !s.ranAt.IsZero() && len(s.since()) < holdAfter
}

// doubtful reports whether a request that is held may well be harmless, and is to be tried
// at once: fewer than holdAfter servers ended under it one after the other, that no other
// request explains as well. What was under way when it was held has ended by then.
func (t *Table) doubtful(f protocol.Fingerprint, now time.Time) bool {
	s := t.suspects[f]
	if s == nil || len(s.crashes) == 0 {
		return false // Nothing is known but what the log says.
	}
	if now.Sub(s.crashes[len(s.crashes)-1].reportedAt) < proofTime {
		return false
	}
	list := slices.DeleteFunc(slices.Clone(s.since()), func(c *crash) bool { return t.explained(c, f) })
	return waves(f, list) < holdAfter
}

// explained reports whether another request at a server that ended was at as many others
// as f, or more.
func (t *Table) explained(c *crash, f protocol.Fingerprint) bool {
	for other := range c.runs {
		if other != f && t.weight(other) >= t.weight(f) {
			return true
		}
	}
	return false
}

// waves counts the servers that ended one after the other: each under a request that was
// sent after the one before had ended.
func waves(f protocol.Fingerprint, list []*crash) int {
	n := 0
	var last *crash
	for _, c := range list {
		if last == nil || c.runs[f].sent.After(last.at) {
			n++
			last = c
		}
	}
	return n
}

// lastGateway returns the gateway that sent a request last to a server which ended; empty
// where none is known.
func (t *Table) lastGateway(f protocol.Fingerprint) string {
	s := t.suspects[f]
	if s == nil || len(s.crashes) == 0 {
		return ""
	}
	return s.crashes[len(s.crashes)-1].runs[f].gateway
}
