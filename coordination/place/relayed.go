package place

import (
	"math"

	"github.com/weldstream/weldstream/protocol"
)

// relaySums holds the sums that a relay sent for its gateways. A gateway that has moved to
// another relay or to the leader is subtracted in proportion to the number of gateways,
// until the relay itself drops it from its sums. Otherwise the sums of a dead relay would
// count in addition to the new reports of its gateways, and each server would seem twice as
// loaded.
type relaySums struct {
	reportTotals
	movedAway int // movedAway counts the gateways in the sums that now report elsewhere.
}

// RelayMsg is a relay's update of the sums over its gateways.
type RelayMsg struct {
	Relay string
	Whole bool // Whole says that the sums are complete, not only the changes.
	Sums  protocol.SumsMsg
	Asked []string // Asked lists the gateways whose requests came with the message.
}

// ApplyRelay applies a relay's update. It returns the gateways in its sums that now report
// elsewhere.
func (l *Loads) ApplyRelay(m RelayMsg) (moved []string) {
	r := l.relays[m.Relay]
	if r == nil || m.Whole {
		l.DropRelay(m.Relay)
		r = &relaySums{reportTotals: reportTotals{running: map[string]int{}, distrusts: map[distrustKey]int{}, gateways: map[string]bool{}}}
		l.relays[m.Relay] = r
	}
	before, awayBefore := len(r.gateways), r.movedAway
	if awayBefore > 0 {
		l.addRelay(r, -1)
	}
	l.updateMembers(m.Relay, r, &m)
	if awayBefore > 0 || r.movedAway > 0 {
		// The share of the gateways that still report to the relay changes with each batch,
		// so the sums are subtracted completely and added again.
		if awayBefore == 0 {
			l.addRelayShare(r, -1, before, 0)
		}
		r.apply(m.Sums)
		l.addRelay(r, 1)
	} else {
		l.applyChanges(r, m.Sums)
	}
	if r.movedAway == 0 {
		return nil
	}
	for name, here := range r.gateways {
		if !here {
			moved = append(moved, name)
		}
	}
	return moved
}

// updateMembers updates which gateways the sums of a relay include, and which of them still
// report to it.
func (l *Loads) updateMembers(relay string, r *relaySums, m *RelayMsg) {
	for _, name := range m.Sums.Gone {
		delete(r.gateways, name)
		if l.relayOf[name] == relay {
			delete(l.relayOf, name)
		}
	}
	for _, name := range m.Asked {
		if l.relayOf[name] != relay {
			l.detach(name)
			l.relayOf[name] = relay
		}
		if _, ok := r.gateways[name]; ok {
			r.gateways[name] = true
		}
	}
	for _, name := range m.Sums.Counted {
		if _, direct := l.reports[name]; !direct && l.relayOf[name] == "" {
			l.relayOf[name] = relay
		}
		r.gateways[name] = l.relayOf[name] == relay
	}
	r.movedAway = 0
	for _, here := range r.gateways {
		if !here {
			r.movedAway++
		}
	}
}

// detach removes a gateway from where it reported before: its direct report is dropped, and
// its share of its relay's sums is subtracted.
func (l *Loads) detach(gateway string) {
	l.dropDirect(gateway)
	relay := l.relayOf[gateway]
	delete(l.relayOf, gateway)
	r := l.relays[relay]
	if r == nil || !r.gateways[gateway] {
		return
	}
	l.addRelay(r, -1)
	r.gateways[gateway] = false
	r.movedAway++
	l.addRelay(r, 1)
}

// DropRelay removes a relay and its sums.
func (l *Loads) DropRelay(relay string) {
	r := l.relays[relay]
	if r == nil {
		return
	}
	l.addRelay(r, -1)
	delete(l.relays, relay)
	for name := range r.gateways {
		if l.relayOf[name] == relay {
			delete(l.relayOf, name)
		}
	}
}

// apply stores the changed sums.
func (r *relaySums) apply(m protocol.SumsMsg) {
	for _, s := range m.Running {
		setCount(r.running, s.Server, s.Running)
	}
	for _, v := range m.Distrusts {
		setCount(r.distrusts, distrustKey{v.Server, v.Domain}, v.Gateways)
	}
}

// setCount sets a count, or deletes the entry if the count is not positive.
func setCount[K comparable](m map[K]int, k K, n int) {
	if n <= 0 {
		delete(m, k)
		return
	}
	m[k] = n
}

// applyChanges applies new sums if all gateways still report to the relay: only the
// differences are added.
func (l *Loads) applyChanges(r *relaySums, m protocol.SumsMsg) {
	for _, s := range m.Running {
		l.addRunning(s.Server, max(0, s.Running)-r.running[s.Server])
	}
	for _, v := range m.Distrusts {
		l.addDistrusts(distrustKey{v.Server, v.Domain}, max(0, v.Gateways)-r.distrusts[distrustKey{v.Server, v.Domain}])
	}
	r.apply(m)
}

// addRelay adds a relay's sums to the totals, or subtracts them if sign is -1, scaled by
// the share of gateways that still report to the relay.
func (l *Loads) addRelay(r *relaySums, sign int) {
	l.addRelayShare(r, sign, len(r.gateways), r.movedAway)
}

// addRelayShare is addRelay for a given number of gateways in the sums (counted), of which
// some report elsewhere (away).
func (l *Loads) addRelayShare(r *relaySums, sign, counted, away int) {
	share := 1.0
	if counted > 0 {
		share = float64(counted-away) / float64(counted)
	}
	for server, n := range r.running {
		l.addRunning(server, sign*int(math.Round(share*float64(n))))
	}
	for v, n := range r.distrusts {
		l.addDistrusts(v, sign*int(math.Ceil(share*float64(n))))
	}
}

// addRunning adds n requests to a server's total.
func (l *Loads) addRunning(server string, n int) {
	setCount(l.totals, server, l.totals[server]+n)
}

// addDistrusts adds n gateways of a domain to those that distrust a server.
func (l *Loads) addDistrusts(v distrustKey, n int) {
	domains := l.distrusts[v.server]
	if domains == nil {
		domains = map[string]int{}
		l.distrusts[v.server] = domains
	}
	setCount(domains, v.domain, domains[v.domain]+n)
	if len(domains) == 0 {
		delete(l.distrusts, v.server)
	}
}

// Replace replaces a relay's knowledge by the leader's: the loads in the order of the
// servers, and for each domain a bit set of the servers that its gateways are to distrust.
func (l *Loads) Replace(servers []string, loads []byte, distrusted map[string][]byte) {
	clear(l.totals)
	for i, n := range loads {
		setCount(l.totals, servers[i], int(n))
	}
	l.leaderDistrusts = make(map[string]map[string]bool, len(distrusted))
	for domain, bits := range distrusted {
		distrusts := map[string]bool{}
		for i, id := range servers {
			if bitSet(bits, i) {
				distrusts[id] = true
			}
		}
		l.leaderDistrusts[domain] = distrusts
	}
}
