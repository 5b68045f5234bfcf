package quarantine

import (
	"slices"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

const (
	// askAge is how long a gateway asks for a trial after it has refused a request, and maxAsks and
	// maxAskParts bound the asks. They are repeated with each refusal.
	askAge      = time.Second
	maxAsks     = 16
	maxAskParts = 16
	// askRotation is how long a gateway offers one request for a trial before it offers another one
	// with the same held parts: a leader answers within two syncs.
	askRotation = 1500 * time.Millisecond
)

// askedTrial is a trial that a gateway asks for.
type askedTrial struct {
	parts     []protocol.Fingerprint // parts are the held parts of a request, in order.
	others    []protocol.Fingerprint // others are its other parts.
	rank      trialRank
	offeredAt time.Time // offeredAt is when these others were first offered.
	at        time.Time // at is when such a request last came.
}

// trialRank is how likely a request is to show that its held parts are harmless.
type trialRank struct {
	made     bool // made reports that such a request has just been used for a trial.
	unproven int  // unproven is how many of its parts no server is known to have written an answer on.
}

// isBetter reports whether a request is to be tried before another one.
func (r trialRank) isBetter(than trialRank) bool {
	if r.made != than.made {
		return than.made
	}
	return r.unproven < than.unproven
}

// madeTrial is a trial that this gateway made.
type madeTrial struct {
	parts []protocol.Fingerprint // parts are all shared parts of the request.
	at    time.Time
}

// recordTrial remembers that a request with the given parts was tried.
func (flt *Filter) recordTrial(parts []protocol.Fingerprint, now time.Time) {
	flt.made = append(flt.made, madeTrial{parts: slices.Clone(parts), at: now})
	if len(flt.made) > maxAsks {
		flt.made = slices.Delete(flt.made, 0, 1)
	}
}

// rank ranks a request with the given parts for a trial.
func (flt *Filter) rank(parts []protocol.Fingerprint, now time.Time) (r trialRank) {
	r.made = slices.ContainsFunc(flt.made, func(m madeTrial) bool {
		return now.Sub(m.at) <= repeatTrialDelay && slices.Equal(m.parts, parts)
	})
	for _, f := range parts {
		if flt.isSuspect(f, now) && !flt.hasStarted(f, now) {
			r.unproven++
		}
	}
	return r
}

// ask remembers that a request with the given held parts and others came, and reports whether it may
// be used for a trial: its other parts are known to be good, or it is the best request with these
// held parts, which is the one offered to the leader.
func (flt *Filter) ask(held []*heldRequest, all, others []protocol.Fingerprint, now time.Time) (usable bool) {
	next := askedTrial{parts: heldParts(held), others: others, rank: flt.rank(all, now), offeredAt: now, at: now}
	i := slices.IndexFunc(flt.asks, func(a askedTrial) bool { return slices.Equal(a.parts, next.parts) })
	if i < 0 {
		flt.addAsk(next)
		return true
	}
	a := flt.asks[i]
	flt.asks = slices.Delete(flt.asks, i, i+1)
	same, better, worse := slices.Equal(a.others, others), next.rank.isBetter(a.rank), a.rank.isBetter(next.rank)
	usable = !worse && (same || better || flt.areGood(others, a.others, now))
	switch {
	case usable && !better: // The offer goes on with this request.
		next.offeredAt = a.offeredAt
	case !usable && now.Sub(a.at) <= askAge && (worse || now.Sub(a.offeredAt) < askRotation):
		next = a // The former request stays the one offered.
	}
	flt.addAsk(next)
	return usable
}

// areGood reports whether each part of a list is either in another list or no suspect.
func (flt *Filter) areGood(list, offered []protocol.Fingerprint, now time.Time) bool {
	return !slices.ContainsFunc(list, func(f protocol.Fingerprint) bool { return !slices.Contains(offered, f) && flt.isSuspect(f, now) })
}

// addAsk adds an ask as the latest one, and drops the oldest beyond maxAsks.
func (flt *Filter) addAsk(a askedTrial) {
	if flt.asks = append(flt.asks, a); len(flt.asks) > maxAsks {
		flt.asks = slices.Delete(flt.asks, 0, 1)
	}
}

// heldParts returns the fingerprints of held parts in order.
func heldParts(held []*heldRequest) []protocol.Fingerprint {
	parts := make([]protocol.Fingerprint, len(held))
	for i, h := range held {
		parts[i] = h.Fingerprint
	}
	slices.SortFunc(parts, compare)
	return parts
}

// completesLargerAsk reports whether trials of the given held parts were allowed for another request,
// which has further held parts that may be tried as well.
func (flt *Filter) completesLargerAsk(held []*heldRequest, now time.Time) bool {
	return slices.ContainsFunc(flt.asks, func(a askedTrial) bool {
		if len(a.parts) <= len(held) || now.Sub(a.at) > askAge {
			return false
		}
		for _, h := range held {
			if !slices.Contains(a.parts, h.Fingerprint) {
				return false
			}
		}
		return !slices.ContainsFunc(a.parts, func(f protocol.Fingerprint) bool { return !flt.canTry(flt.held[f]) })
	})
}

// Asks returns the trials that this gateway could make.
func (flt *Filter) Asks(now time.Time) (list []protocol.TrialAsk) {
	for _, a := range flt.asks {
		if now.Sub(a.at) <= askAge && len(a.parts)+len(a.others) <= maxAskParts {
			list = append(list, protocol.TrialAsk{Parts: a.parts, Others: a.others, Unproven: a.rank.unproven})
		}
	}
	return list
}
