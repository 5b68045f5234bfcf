package quarantine

import (
	"slices"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

const (
	// sureCrashes is the number of crashes from which a part is not tried early.
	sureCrashes = 5
	// earlyTrialDelay is the time to the first trial of a part that may well be harmless: others
	// explain its crashes as well, or they are fewer than sureCrashes.
	earlyTrialDelay = time.Second
	// partTrialDelay is the time to the first trial of others, and between two trials.
	partTrialDelay = time.Minute
	// holdMargin is the time from the decision to hold a part until requests that were on their way to
	// servers have ended. A crash after that under the part was a trial's, and one under another part
	// is not explained by it.
	holdMargin = 2 * time.Second
	// heldScanInterval is the time between two looks at the held parts while nothing is reported.
	heldScanInterval = time.Second
	// clearMargin is by how many crashes another part has to explain more than a held one for the
	// held one to be released.
	clearMargin = 2
	// disputedSettleTime is how long a crash does not count against a trusted part if others at the
	// server are not trusted: by then these are held, or servers are back and the trusted part succeeds.
	// It leaves a second of the time in which all gateways have to know of a harmful part.
	disputedSettleTime = 1800 * time.Millisecond
)

// partGroup is a part with all of its origins. The crashes under all of them count together, so that
// a part that several callers send is found as fast.
type partGroup struct {
	id          uint64
	members     []protocol.Fingerprint
	crashes     []*partCrash                  // crashes are those since the last success of each origin.
	joint       []*partCrash                  // joint are those since the last success of any origin.
	servers     int                           // servers is the number of servers that crashed, including those known from the log alone.
	trusted     map[protocol.Fingerprint]bool // trusted are the members that succeeded shortly before their crashes.
	heldUntil   time.Time                     // heldUntil is the end of the time in which requests with the part crashed servers; zero if it is not held.
	succeededAt time.Time                     // succeededAt is the last success of any origin.
}

// add adds a part and the crashes that count against it.
func (g *partGroup) add(f protocol.Fingerprint, s *suspect[partRun], list []*partCrash) {
	g.members = append(g.members, f)
	g.servers = max(g.servers, len(list))
	if s.succeededAt.After(g.succeededAt) {
		g.succeededAt = s.succeededAt
	}
	if !s.succeededAt.IsZero() && list[0].at.Sub(s.succeededAt) <= trustTime {
		g.trusted[f] = true
	}
	if len(g.crashes) == 0 {
		g.crashes = list
	} else {
		known := make(map[*partCrash]bool, len(g.crashes))
		for _, c := range g.crashes {
			known[c] = true
		}
		for _, c := range list {
			if !known[c] {
				g.crashes = append(g.crashes, c)
			}
		}
	}
}

// isTrusted reports whether the part succeeded at one of its origins shortly before the crashes there.
func (g *partGroup) isTrusted() bool { return len(g.trusted) > 0 }

// trust ranks a group for the order in which groups are looked at: 0 if the part is trusted at no
// origin, 1 at some, 2 at all.
func (g *partGroup) trust() int {
	switch len(g.trusted) {
	case 0:
		return 0
	case len(g.members):
		return 2
	}
	return 1
}

// isTrustedAt reports whether the part succeeded shortly before at each origin that was at a crash: it
// may be harmful on one route alone.
func (g *partGroup) isTrustedAt(c *partCrash) bool {
	return !slices.ContainsFunc(g.members, func(f protocol.Fingerprint) bool { return !g.trusted[f] && countsAgainst(c, f) })
}

// setJoint finds the crashes since the last success of any origin.
func (g *partGroup) setJoint() {
	g.joint = slices.DeleteFunc(slices.Clone(g.crashes), func(c *partCrash) bool { return !c.at.After(g.succeededAt) })
	g.servers = max(g.servers, len(g.joint))
}

// groups returns the groups of all suspects and held parts, the most trusted ones last, and
// otherwise by the number of their crashes.
func (t *PartTable) groups(now, timeOfDay time.Time) []*partGroup {
	byID := map[uint64]*partGroup{}
	group := func(f protocol.Fingerprint) *partGroup {
		g := byID[f.Content[0]]
		if g == nil {
			g = &partGroup{id: f.Content[0], trusted: map[protocol.Fingerprint]bool{}}
			byID[g.id] = g
		}
		return g
	}
	for f := range t.suspects {
		list := t.crashesSinceSuccess(f)
		if len(list) == 0 {
			continue
		}
		group(f).add(f, t.suspects[f], list)
	}
	for f, e := range t.held {
		g := group(f)
		g.servers = max(g.servers, e.Servers)
		if end := t.heldSince(e, now, timeOfDay).Add(holdMargin); g.heldUntil.Before(end) {
			g.heldUntil = end
		}
	}
	list := make([]*partGroup, 0, len(byID))
	for _, g := range byID {
		g.setJoint()
		slices.SortFunc(g.members, compare)
		list = append(list, g)
	}
	slices.SortFunc(list, func(a, b *partGroup) int {
		if a.trust() != b.trust() {
			return a.trust() - b.trust()
		}
		if a.servers != b.servers {
			return b.servers - a.servers
		}
		if a.id < b.id {
			return -1
		}
		return 1
	})
	return list
}

// Decide returns the changes to write to the log; see [CrashTable.Decide].
func (t *PartTable) Decide(now, timeOfDay time.Time) protocol.QuarantineMsg {
	var m protocol.QuarantineMsg
	if !t.mayChange(now) {
		return m
	}
	t.scannedAt = now
	groups := t.groups(now, timeOfDay)
	toHold, heldGroups := t.groupsToHold(groups, now)
	for _, g := range toHold {
		m.Hold = append(m.Hold, t.holds(g, groups, heldGroups, now, timeOfDay)...)
	}
	for f := range t.held {
		if t.isHarmless(f, findGroup(groups, f.Content[0]), heldGroups, now, timeOfDay) {
			m.Free = append(m.Free, f)
		}
	}
	m.Try = t.trials(groups, m.Free, now, timeOfDay)
	slices.SortFunc(m.Hold, func(a, b protocol.HoldRequest) int { return compare(a.Fingerprint, b.Fingerprint) })
	slices.SortFunc(m.Free, compare)
	t.changed = len(m.Hold)+len(m.Try)+len(m.Free) > 0
	return m
}

// groupsToHold returns the groups with enough crashes to be held, and all groups that are then held.
func (t *PartTable) groupsToHold(groups []*partGroup, now time.Time) (toHold, held []*partGroup) {
	held = t.heldGroups(groups)
	for _, g := range groups {
		if t.shouldHoldGroup(g, held, now) {
			toHold = append(toHold, g)
			held = append(held, g)
		}
	}
	return toHold, held
}

// mayChange reports whether a decision may differ from the last one.
func (t *PartTable) mayChange(now time.Time) bool {
	if t.changed || now.Before(t.scanTo) {
		return true
	}
	return len(t.held) > 0 && (len(t.freshAsks(now)) > 0 || now.Sub(t.scannedAt) >= heldScanInterval)
}

func findGroup(groups []*partGroup, id uint64) *partGroup {
	i := slices.IndexFunc(groups, func(g *partGroup) bool { return g.id == id })
	if i < 0 {
		return &partGroup{id: id}
	}
	return groups[i]
}

// heldGroups returns the groups with a held part.
func (t *PartTable) heldGroups(groups []*partGroup) []*partGroup {
	return slices.DeleteFunc(slices.Clone(groups), func(g *partGroup) bool {
		for f := range t.held {
			if f.Content[0] == g.id {
				return false
			}
		}
		return true
	})
}

// explains reports whether another group accounts for a crash under a member of g: it has more crashes
// by a margin, one of which this is. Against a trusted part, any number of crashes under one that is not
// is enough: several harmful parts may come with a harmless one.
func explains(other, g *partGroup, f protocol.Fingerprint, c *partCrash, margin int) bool {
	return mayExplain(other, g, f, c, margin) && slices.Contains(other.crashes, c)
}

// mayExplain reports whether another group would account for a crash under a member of g if it was there.
func mayExplain(other, g *partGroup, f protocol.Fingerprint, c *partCrash, margin int) bool {
	switch {
	case other.id == g.id:
		return g.trusted[f] && !g.isTrustedAt(c) // The same part is harmful at another origin.
	case !other.heldUntil.IsZero() && c.at.After(other.heldUntil):
		return false
	case g.succeededAt.IsZero() && other.succeededAt.IsZero():
		return false // Nothing tells them apart, and the one that is not held would be sent on.
	case g.isTrusted() && !other.isTrustedAt(c):
		return other.servers >= begunThreshold
	}
	return other.servers >= g.servers+margin
}

// unexplained returns the crashes of a list under a member of a group that no held group accounts for.
func unexplained(list []*partCrash, g *partGroup, f protocol.Fingerprint, held []*partGroup, margin int) []*partCrash {
	return slices.DeleteFunc(slices.Clone(list), func(c *partCrash) bool {
		return slices.ContainsFunc(held, func(h *partGroup) bool { return explains(h, g, f, c, margin) })
	})
}

// settled returns the crashes of a list of which all gateways had the time to report.
func settled(list []*partCrash, now time.Time) []*partCrash {
	return slices.DeleteFunc(slices.Clone(list), func(c *partCrash) bool { return now.Sub(c.reportedAt) < partSettleTime })
}

// undisputed returns the crashes of a list that count against a trusted group: those at which no other
// part is a likelier cause, and those that are older than disputedSettleTime.
func (t *PartTable) undisputed(list []*partCrash, g *partGroup, now time.Time) []*partCrash {
	return slices.DeleteFunc(list, func(c *partCrash) bool {
		return now.Sub(c.reportedAt) < disputedSettleTime && t.hasUntrusted(c, g)
	})
}

// hasUntrusted reports whether a crash counts against a part outside a group that did not succeed
// shortly before.
func (t *PartTable) hasUntrusted(c *partCrash, g *partGroup) bool {
	for f := range c.runs {
		if f.Content[0] == g.id || !countsAgainst(c, f) {
			continue
		}
		s := t.suspects[f]
		if s.succeededAt.IsZero() || c.at.Sub(s.succeededAt) > trustTime {
			return true
		}
	}
	return false
}

// shouldHoldGroup reports whether enough servers crashed under a group that no held group accounts
// for: under one origin, or under all of them while none succeeded.
func (t *PartTable) shouldHoldGroup(g *partGroup, held []*partGroup, now time.Time) bool {
	return t.isOverJointThreshold(g, held, now) ||
		slices.ContainsFunc(g.members, func(f protocol.Fingerprint) bool {
			return t.isOverThreshold(f, g, held, now)
		})
}

// isOverThreshold reports whether enough crashes under a member of a group are settled and not accounted
// for.
func (t *PartTable) isOverThreshold(f protocol.Fingerprint, g *partGroup, held []*partGroup, now time.Time) bool {
	list := t.crashesSinceSuccess(f)
	if len(list) < begunThreshold {
		return false
	}
	all := settled(list, now)
	list = unexplained(all, g, f, held, 1)
	if !g.isTrusted() && len(all) >= hiddenThreshold && len(list) > 0 {
		return true
	}
	begun := 0
	for _, c := range list {
		if c.begun {
			begun++
		}
	}
	if g.isTrusted() {
		return len(t.undisputed(list, g, now)) >= trustedThreshold
	}
	return begun >= begunThreshold || len(list) >= partThreshold
}

// isOverJointThreshold reports whether enough servers crashed under all origins of a part together.
func (*PartTable) isOverJointThreshold(g *partGroup, held []*partGroup, now time.Time) bool {
	return !g.isTrusted() && len(g.joint) >= jointThreshold && len(unexplained(settled(g.joint, now), g, protocol.Fingerprint{}, held, 1)) >= jointThreshold
}

// holds returns the parts of a group to hold: those that are not held, and under which themselves a
// server crashed.
func (t *PartTable) holds(g *partGroup, groups, held []*partGroup, now, timeOfDay time.Time) (list []protocol.HoldRequest) {
	delay := partTrialDelay
	if g.isDoubtful(g.servers, groups) {
		delay = earlyTrialDelay
	}
	for _, f := range t.membersToHold(g, held, now) {
		list = append(list, protocol.HoldRequest{Fingerprint: f, Servers: g.servers, Until: timeOfDay.Add(delay).UnixMilli()})
	}
	return list
}

// membersToHold returns the parts of a group that are to be held and are not.
func (t *PartTable) membersToHold(g *partGroup, held []*partGroup, now time.Time) (list []protocol.Fingerprint) {
	for _, f := range g.members {
		own := t.crashesSinceSuccess(f)
		enough := t.isOverThreshold(f, g, held, now) || (t.isOverJointThreshold(g, held, now) && len(unexplained(own, g, f, held, 1)) > 0)
		if t.held[f] == nil && enough {
			list = append(list, f)
		}
	}
	return list
}

// PartsToHold returns the parts that are to be held and are not, with the number of servers that crashed
// under each.
func (t *PartTable) PartsToHold(now time.Time) map[protocol.Fingerprint]int {
	toHold, held := t.groupsToHold(t.groups(now, now), now)
	parts := map[protocol.Fingerprint]int{}
	for _, g := range toHold {
		for _, f := range t.membersToHold(g, held, now) {
			parts[f] = g.servers
		}
	}
	return parts
}

// isHarmless reports whether a held part is to be released: it succeeded, or another held part
// explains all of its crashes clearly better.
func (t *PartTable) isHarmless(f protocol.Fingerprint, g *partGroup, held []*partGroup, now, timeOfDay time.Time) bool {
	s := t.suspects[f]
	if s == nil {
		return false
	}
	if len(s.crashes) < begunThreshold { // Most of the evidence was lost with a leader or a gateway.
		return s.succeededAt.After(t.heldSince(t.held[f], now, timeOfDay))
	}
	list := t.crashesSinceSuccess(f)
	if !s.succeededAt.IsZero() && (len(list) == 0 || (len(list) < begunThreshold && len(g.joint) < jointThreshold)) {
		return true
	}
	return g.isTrusted() && len(list) >= begunThreshold && len(unexplained(list, g, f, held, clearMargin)) == 0
}

// heldSince returns when a part was held, on the clock of the table's messages.
func (*PartTable) heldSince(e *protocol.Quarantined, now, timeOfDay time.Time) time.Time {
	return now.Add(-timeOfDay.Sub(time.UnixMilli(e.Since)))
}

// isDoubtful reports whether a group under which a number of servers crashed may well be harmless:
// they are few, it succeeded shortly before, or another group explains most of its crashes.
func (g *partGroup) isDoubtful(servers int, groups []*partGroup) bool {
	return servers < sureCrashes || g.isTrusted() || slices.ContainsFunc(groups, g.hasAlternative)
}

// hasAlternative reports whether most of a group's crashes are those of another one as well.
func (g *partGroup) hasAlternative(other *partGroup) bool {
	if other.id == g.id {
		return false
	}
	shared := 0
	for _, c := range g.crashes {
		if slices.Contains(other.crashes, c) {
			shared++
		}
	}
	return shared >= begunThreshold && 2*shared >= len(g.crashes)
}
