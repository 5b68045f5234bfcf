package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

const (
	// successReportInterval is the time between two reports of successes of one watched part.
	successReportInterval = 100 * time.Millisecond
	// knownGoodTime is how long after its success a part is no suspect in a trial of another one.
	knownGoodTime = time.Minute
	// leaderSettleTime is how long a new leader takes to collect what all gateways saw, and to write to
	// the log what is to be held.
	leaderSettleTime = 2 * time.Second
	// pendingTime is how long a gateway holds a part that an earlier leader was writing to its log.
	pendingTime = 3 * time.Second
	// localHoldInterval is the time between two looks at what this gateway holds itself.
	localHoldInterval = 100 * time.Millisecond
)

// pendingHold is a part that a leader is writing to its log.
type pendingHold struct {
	term    uint64
	servers int // servers is how many servers crashed under it.
	until   time.Time
}

// localHolds are the parts that a gateway holds by what it saw itself.
type localHolds struct {
	at      time.Time                    // at is when they were found.
	servers map[protocol.Fingerprint]int // servers is how many servers crashed under each.
}

// partKey is the key of a part in a SuccessCache.
func partKey(f protocol.Fingerprint) uint64 { return f.Content[0] ^ f.Content[1] }

// successAge returns how long ago a request or a part last succeeded at this gateway, and false if
// that is not known.
func (flt *Filter) successAge(f protocol.Fingerprint, now time.Time) (time.Duration, bool) {
	if f.IsPart() {
		return flt.partSuccesses.Age(partKey(f), now)
	}
	return flt.successes.Age(f.Quick, now)
}

// RecordPartSuccess records that a server wrote an answer on parts of a prompt.
func (flt *Filter) RecordPartSuccess(parts []protocol.Fingerprint, now time.Time) {
	for _, f := range parts {
		flt.partSuccesses.Add(partKey(f), now)
		flt.parts.recordSuccess(f, now)
		held := flt.held[f] != nil
		if (flt.watched[f] || held) && (held || now.Sub(flt.reported[f]) >= successReportInterval) {
			flt.reported[f] = now
			flt.reportSuccess(f, now)
		}
	}
}

// CheckParts decides whether a request with parts of a prompt may be sent; see [Filter.Check]. It
// may if each held part may be tried; its trials are then used up together.
func (flt *Filter) CheckParts(parts []protocol.Fingerprint, use, leaderless bool, now time.Time) Decision {
	var held []*heldRequest
	var others []protocol.Fingerprint
	var d Decision
	for i, f := range parts {
		h := flt.held[f]
		switch {
		case h != nil:
			held = append(held, h)
			if !flt.canTry(h) && (!d.Held || h.Until > d.Until) {
				d = Decision{Held: true, Servers: h.Servers, Until: h.Until, Part: i + 1}
			}
		case flt.pendingHold(f, now) > 0:
			return Decision{Held: true, Servers: flt.pending[f].servers, Part: i + 1}
		case flt.localHold(f, leaderless, now) > 0:
			return Decision{Held: true, Servers: flt.localHolds.servers[f], Part: i + 1}
		default:
			others = append(others, f)
		}
	}
	if len(held) == 0 {
		return d
	}
	usable := flt.ask(held, parts, others, now)
	if d.Held {
		return d
	}
	if !usable || flt.completesLargerAsk(held, now) {
		return Decision{Held: true, Servers: held[0].Servers, Until: held[0].Until, Part: 1 + slices.Index(parts, held[0].Fingerprint)}
	}
	for _, h := range held {
		d.Servers, d.Trial = h.Servers, h.Trials
		if use {
			h.usedTrial = h.Trials
		}
	}
	if use {
		flt.recordTrial(parts, now)
	}
	return d
}

// SetPending sets the parts that the leader of a term is writing to its log as held. Those of an earlier
// leader stay held for pendingTime, by when the next one has decided.
func (flt *Filter) SetPending(term uint64, list []protocol.HoldRequest, now time.Time) {
	if flt.term != 0 && flt.term != term {
		flt.leaderSince = now
	}
	flt.term = term
	maps.DeleteFunc(flt.pending, func(_ protocol.Fingerprint, p pendingHold) bool { return p.term == term || now.After(p.until) })
	for i := range list {
		flt.pending[list[i].Fingerprint] = pendingHold{term: term, servers: list[i].Servers, until: now.Add(pendingTime)}
	}
}

// pendingHold returns how many servers crashed under a part that is being written to the log; 0 for other
// parts.
func (flt *Filter) pendingHold(f protocol.Fingerprint, now time.Time) int {
	if p := flt.pending[f]; !now.After(p.until) {
		return p.servers
	}
	return 0
}

// localHold returns how many servers crashed under a part that this gateway holds by what it saw itself,
// because no leader answers, or none has done so for leaderSettleTime. It returns 0 for other parts.
func (flt *Filter) localHold(f protocol.Fingerprint, leaderless bool, now time.Time) int {
	isNew := !flt.leaderSince.IsZero() && now.Sub(flt.leaderSince) < leaderSettleTime
	if !flt.parts.HasCrashes() || (!leaderless && !isNew) {
		return 0
	}
	if now.Sub(flt.localHolds.at) >= localHoldInterval {
		flt.localHolds = localHolds{at: now, servers: flt.parts.PartsToHold(now)}
	}
	return flt.localHolds.servers[f]
}

// canTry reports whether this gateway may send a held request once.
func (flt *Filter) canTry(h *heldRequest) bool {
	return h != nil && h.Trial == flt.name && h.Trials > h.usedTrial
}

// hasStarted reports whether a server has begun to write an answer on a part lately.
func (flt *Filter) hasStarted(f protocol.Fingerprint, now time.Time) bool {
	at, known := flt.partStarts.Last(partKey(f))
	return known && now.Sub(at) <= knownGoodTime
}

// RecordPartStart records that a server has begun to write an answer on parts of a prompt.
func (flt *Filter) RecordPartStart(parts []protocol.Fingerprint, now time.Time) {
	for _, f := range parts {
		flt.partStarts.Add(partKey(f), now)
	}
}

// isSuspect reports whether servers are known to have crashed under a part, which has not succeeded here
// lately.
func (flt *Filter) isSuspect(f protocol.Fingerprint, now time.Time) bool {
	if flt.held[f] == nil && !flt.watched[f] && flt.parts.suspects[f] == nil {
		return false
	}
	at, known := flt.partSuccesses.Last(partKey(f))
	return !known || now.Sub(at) > knownGoodTime
}
