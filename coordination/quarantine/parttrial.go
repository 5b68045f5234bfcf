package quarantine

import (
	"slices"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

const (
	// maxPartTrials is how many trials of a part may crash servers. The requirements allow three sends
	// behind the fifth crash; one is left for a request that a gateway was about to send.
	maxPartTrials = 2
	// maxPartGrants is how often a trial is allowed. Some are not used, or end with their server for
	// another reason.
	maxPartGrants = 8
	// lateTrialDelay is the time from the fifth crash under a part from which on trials count against
	// maxPartTrials: a little before the bound on such requests begins.
	lateTrialDelay = 2900 * time.Millisecond
	// repeatTrialDelay is the time to the next trial of such a part if the last one showed nothing. One
	// that crashed its server is followed after earlyTrialDelay by one with another request.
	repeatTrialDelay = 5 * time.Second
	// noTrialDelay is the Retry-After of requests with a part that is not tried any more: an operator may
	// release it.
	noTrialDelay = time.Hour
	// askTTL is how long a gateway's ask for a trial is valid, and askPatience how long a due trial
	// waits for one. Behind a relay gateways cannot ask.
	askTTL      = 2 * time.Second
	askPatience = 5 * time.Second
)

// trialAsks are the trials that a gateway asked for.
type trialAsks struct {
	at   time.Time
	asks []protocol.TrialAsk
}

// isDue reports whether a held part may be tried now.
func (t *PartTable) isDue(f protocol.Fingerprint, groups []*partGroup, now, timeOfDay time.Time) bool {
	e := t.held[f]
	since := t.heldSince(e, now, timeOfDay)
	if t.lateTrials(f, since) >= maxPartTrials || e.Trials >= maxPartGrants {
		return false
	}
	if timeOfDay.UnixMilli() >= e.Until {
		return true
	}
	if !findGroup(groups, f.Content[0]).isDoubtful(e.Servers, groups) {
		return false
	}
	if e.Trials == 0 {
		return now.Sub(since) >= earlyTrialDelay
	}
	if t.crashesAfter(f, t.grantedAt[f]) > 0 {
		return now.Sub(t.grantedAt[f]) >= earlyTrialDelay
	}
	return now.Sub(t.grantedAt[f]) >= repeatTrialDelay
}

// lateTrials returns the number of trials of a held part that crashed a server and count against
// maxPartTrials. Crashes shortly after the hold are those of requests on their way, unless a trial is
// known to have been at the server.
func (t *PartTable) lateTrials(f protocol.Fingerprint, heldSince time.Time) (n int) {
	list := t.crashesSinceSuccess(f)
	for i, c := range list {
		isLateTrial := c.trial != "" && i >= sureCrashes && c.at.Sub(list[sureCrashes-1].at) > lateTrialDelay
		if isLateTrial || c.at.After(heldSince.Add(holdMargin)) {
			n++
		}
	}
	return n
}

// crashesAfter returns the number of crashes under a part after a time.
func (t *PartTable) crashesAfter(f protocol.Fingerprint, after time.Time) (n int) {
	for _, c := range t.crashesSinceSuccess(f) {
		if c.at.After(after) {
			n++
		}
	}
	return n
}

// trials returns the trials to allow. Each goes to a gateway that has just refused a request with no
// other held part than those that are due.
func (t *PartTable) trials(groups []*partGroup, freed []protocol.Fingerprint, now, timeOfDay time.Time) (list []protocol.TryRequest) {
	due := map[protocol.Fingerprint]bool{}
	for f := range t.held {
		due[f] = !slices.Contains(freed, f) && t.isDue(f, groups, now, timeOfDay)
	}
	try := func(f protocol.Fingerprint, gateway string) {
		due[f] = false
		t.grantedAt[f] = now
		e := t.held[f]
		delay := partTrialDelay
		if e.Trials+1 >= maxPartTrials {
			delay = noTrialDelay
		}
		list = append(list, protocol.TryRequest{Fingerprint: f, Gateway: gateway, Trials: e.Trials, Until: timeOfDay.Add(delay).UnixMilli()})
	}
	for _, a := range t.freshAsks(now) {
		if slices.ContainsFunc(a.parts, func(f protocol.Fingerprint) bool { return !due[f] }) || t.isKnownToCrash(&a, now, timeOfDay) {
			continue
		}
		for _, f := range a.parts {
			try(f, a.gateway)
		}
	}
	for f, ok := range due {
		e := t.held[f]
		if gateway := t.lastGateway(f); ok && gateway != "" && timeOfDay.UnixMilli() >= e.Until+askPatience.Milliseconds() && !t.canAsk(gateway, now) {
			try(f, gateway)
		}
	}
	slices.SortFunc(list, func(a, b protocol.TryRequest) int { return compare(a.Fingerprint, b.Fingerprint) })
	return list
}

// isKnownToCrash reports whether a request with the given parts would crash its server: one crashed
// lately under parts that are all among them.
func (t *PartTable) isKnownToCrash(a *gatewayAsk, now, timeOfDay time.Time) bool {
	for _, c := range slices.Backward(t.crashes) {
		if now.Sub(c.at) >= partTrialDelay {
			continue
		}
		if t.isUnder(c, slices.Concat(a.parts, a.others), now, timeOfDay) {
			return true
		}
	}
	return false
}

// isUnder reports whether all parts that may have crashed a server are in a list. If it crashed under a
// trial, only the parts of that request may have done so.
func (t *PartTable) isUnder(c *partCrash, parts []protocol.Fingerprint, now, timeOfDay time.Time) bool {
	trial := t.trialGateway(c, now, timeOfDay)
	for f, r := range c.runs {
		isSuspect := countsAgainst(c, f) && (trial == "" || r.gateway == trial)
		if isSuspect && !slices.Contains(parts, f) {
			return false
		}
	}
	return true
}

// trialGateway returns the gateway that tried a held part at a server when it crashed; empty if none
// did.
func (t *PartTable) trialGateway(c *partCrash, now, timeOfDay time.Time) string {
	if c.trial != "" {
		return c.trial
	}
	for f, r := range c.runs {
		e := t.held[f]
		if e != nil && countsAgainst(c, f) && c.at.After(t.heldSince(e, now, timeOfDay).Add(holdMargin)) {
			return r.gateway
		}
	}
	return ""
}

// isTrial reports whether a gateway was allowed to try a part before a server crashed under it.
func (t *PartTable) isTrial(f protocol.Fingerprint, gateway string, crashedAt time.Time) bool {
	e, grantedAt := t.held[f], t.grantedAt[f]
	return e != nil && e.Trial == gateway && !grantedAt.IsZero() && crashedAt.After(grantedAt)
}

// gatewayAsk is an ask with its gateway.
type gatewayAsk struct {
	gateway  string
	parts    []protocol.Fingerprint
	others   []protocol.Fingerprint
	unproven int
}

// freshAsks returns the asks that are still valid, those with the fewest parts that may crash a server
// first, and then those that may show the most held parts to be harmless.
func (t *PartTable) freshAsks(now time.Time) (list []gatewayAsk) {
	for gateway, a := range t.asks {
		if now.Sub(a.at) > askTTL {
			continue
		}
		for i := range a.asks {
			list = append(list, gatewayAsk{gateway: gateway, parts: a.asks[i].Parts, others: a.asks[i].Others, unproven: a.asks[i].Unproven})
		}
	}
	slices.SortFunc(list, func(a, b gatewayAsk) int {
		if a.unproven != b.unproven {
			return a.unproven - b.unproven
		}
		if len(a.parts) != len(b.parts) {
			return len(b.parts) - len(a.parts)
		}
		if c := slices.CompareFunc(a.parts, b.parts, compare); c != 0 {
			return c
		}
		if a.gateway < b.gateway {
			return -1
		}
		return 1
	})
	return list
}

// canAsk reports whether a gateway reports its asks to this leader: then its silence means that it
// gets no request with a held part.
func (t *PartTable) canAsk(gateway string, now time.Time) bool {
	a, known := t.asks[gateway]
	return known && now.Sub(a.at) <= askTTL
}

// lastGateway returns the gateway that sent a part to the server that crashed last under it.
func (t *PartTable) lastGateway(f protocol.Fingerprint) string {
	s := t.suspects[f]
	if s == nil || len(s.crashes) == 0 {
		return ""
	}
	return s.crashes[len(s.crashes)-1].runs[f].gateway
}
