package place

import (
	"math"

	"github.com/weldstream/weldstream/protocol"
)

// relayed is what a relay told of its gateways together. A gateway that asks elsewhere
// by now is taken out by its part of the number of gateways, until the relay leaves it
// out of its sums itself: a relay that died would otherwise count beside those that its
// gateways ask, and each server seem twice as full.
type relayed struct {
	sums
	away int // away are how many of the gateways in the sums ask elsewhere.
}

// RelayMsg is what a relay tells of its gateways together.
type RelayMsg struct {
	Relay string
	Whole bool // Whole says that the sums are all of them, not what changed.
	Sums  protocol.SumsMsg
	Asked []string // Asked are the gateways whose questions came with it.
}

// ApplyRelay notes what a relay tells. It returns the gateways in its sums that ask
// elsewhere.
func (l *Loads) ApplyRelay(m RelayMsg) (moved []string) {
	r := l.relays[m.Relay]
	if r == nil || m.Whole {
		l.DropRelay(m.Relay)
		r = &relayed{sums: sums{running: map[string]int{}, distrusts: map[distrustKey]int{}, counted: map[string]bool{}}}
		l.relays[m.Relay] = r
	}
	before, awayBefore := len(r.counted), r.away
	if awayBefore > 0 {
		l.addRelay(r, -1)
	}
	l.count(m.Relay, r, &m)
	if awayBefore > 0 || r.away > 0 {
		// The part of the gateways that still ask there changes with each batch, so the
		// sums are taken out whole and added again.
		if awayBefore == 0 {
			l.addRelayOf(r, -1, before, 0)
		}
		r.take(m.Sums)
		l.addRelay(r, 1)
	} else {
		l.takeChanges(r, m.Sums)
	}
	if r.away == 0 {
		return nil
	}
	for name, here := range r.counted {
		if !here {
			moved = append(moved, name)
		}
	}
	return moved
}

// count notes which gateways the sums of a relay hold, and which of them still ask it.
func (l *Loads) count(relay string, r *relayed, m *RelayMsg) {
	for _, name := range m.Sums.Gone {
		delete(r.counted, name)
		if l.relayOf[name] == relay {
			delete(l.relayOf, name)
		}
	}
	for _, name := range m.Asked {
		if l.relayOf[name] != relay {
			l.leave(name)
			l.relayOf[name] = relay
		}
		if _, ok := r.counted[name]; ok {
			r.counted[name] = true
		}
	}
	for _, name := range m.Sums.Counted {
		if _, direct := l.gateways[name]; !direct && l.relayOf[name] == "" {
			l.relayOf[name] = relay
		}
		r.counted[name] = l.relayOf[name] == relay
	}
	r.away = 0
	for _, here := range r.counted {
		if !here {
			r.away++
		}
	}
}

// leave notes that a gateway asks elsewhere than before: what it told without a relay is
// forgotten, and its part of its relay's sums is taken out.
func (l *Loads) leave(gateway string) {
	l.dropDirect(gateway)
	relay := l.relayOf[gateway]
	delete(l.relayOf, gateway)
	r := l.relays[relay]
	if r == nil || !r.counted[gateway] {
		return
	}
	l.addRelay(r, -1)
	r.counted[gateway] = false
	r.away++
	l.addRelay(r, 1)
}

// DropRelay forgets a relay.
func (l *Loads) DropRelay(relay string) {
	r := l.relays[relay]
	if r == nil {
		return
	}
	l.addRelay(r, -1)
	delete(l.relays, relay)
	for name := range r.counted {
		if l.relayOf[name] == relay {
			delete(l.relayOf, name)
		}
	}
}

// take notes sums that changed.
func (r *relayed) take(m protocol.SumsMsg) {
	for _, s := range m.Running {
		put(r.running, s.Server, s.Running)
	}
	for _, v := range m.Distrusts {
		put(r.distrusts, distrustKey{v.Server, v.Domain}, v.Gateways)
	}
}

// put sets a count, or deletes it where that is none.
func put[K comparable](m map[K]int, k K, n int) {
	if n <= 0 {
		delete(m, k)
		return
	}
	m[k] = n
}

// takeChanges notes new sums where no gateway asks elsewhere: only what changed is to
// be added up anew.
func (l *Loads) takeChanges(r *relayed, m protocol.SumsMsg) {
	for _, s := range m.Running {
		l.addRunning(s.Server, max(0, s.Running)-r.running[s.Server])
	}
	for _, v := range m.Distrusts {
		l.addDistrusts(distrustKey{v.Server, v.Domain}, max(0, v.Gateways)-r.distrusts[distrustKey{v.Server, v.Domain}])
	}
	r.take(m)
}

// addRelay adds a relay's sums to what all gateways know, or takes them out with sign -1:
// of them the part of the gateways that still ask there.
func (l *Loads) addRelay(r *relayed, sign int) { l.addRelayOf(r, sign, len(r.counted), r.away) }

// addRelayOf does the same as if counted gateways were in the relay's sums, and away of
// them asked elsewhere.
func (l *Loads) addRelayOf(r *relayed, sign, counted, away int) {
	part := 1.0
	if counted > 0 {
		part = float64(counted-away) / float64(counted)
	}
	for server, n := range r.running {
		l.addRunning(server, sign*int(math.Round(part*float64(n))))
	}
	for v, n := range r.distrusts {
		l.addDistrusts(v, sign*int(math.Ceil(part*float64(n))))
	}
}

// addRunning adds to the requests of a server that all know of.
func (l *Loads) addRunning(server string, n int) {
	put(l.totals, server, l.totals[server]+n)
}

// addDistrusts adds to the gateways of a domain that distrust a server.
func (l *Loads) addDistrusts(v distrustKey, n int) {
	domains := l.distrusts[v.server]
	if domains == nil {
		domains = map[string]int{}
		l.distrusts[v.server] = domains
	}
	put(domains, v.domain, domains[v.domain]+n)
	if len(domains) == 0 {
		delete(l.distrusts, v.server)
	}
}

// Replace replaces what is known, at a relay, by what the leader tells of all servers: their loads, in the order of
// some names, and which of them the gateways of a domain are to pass over, a bit each.
func (l *Loads) Replace(servers []string, loads []byte, distrusted map[string][]byte) {
	clear(l.totals)
	for i, n := range loads {
		put(l.totals, servers[i], int(n))
	}
	l.avoided = make(map[string]map[string]bool, len(distrusted))
	for domain, bits := range distrusted {
		passed := map[string]bool{}
		for i, id := range servers {
			if bitSet(bits, i) {
				passed[id] = true
			}
		}
		l.avoided[domain] = passed
	}
}
