// Package link decides which control instance a gateway asks, and how long an answer
// may take.
//
// Where failure domains lie in several regions, a gateway asks a control instance of
// its own region, which is the leader or a relay that passes its questions on. What
// crosses between regions then grows with the control instances, not with the gateways.
// One that fails is passed over for a while. Without one in the region, or without
// several regions, [Selector.Choose] names none, and the gateway asks the leader.
//
// In one region the gateways ask the leader while there are no more of them than one
// instance answers at the usual pace. Beyond that they are shared out over the control
// instances, each gateway to one in its own domain if there is one, so that how long a
// change takes to reach all of them does not grow with their number. The leader comes last:
// it answers the relays.
//
// The package reads no clock: the time comes in with each call.
package link

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/weldstream/weldstream/coordination/topology"
)

const (
	// refusedBackoff is for how long an instance that says that it cannot answer is passed
	// over the first time: about the time in which a relay learns of a new leader.
	refusedBackoff = 100 * time.Millisecond
	// silentBackoff is the same for one that is silent. It is longer, since each try of such
	// an instance costs a gateway a whole timeout.
	silentBackoff = time.Second
	// maxBackoff bounds both, which double with each failure in a row: an instance that is
	// back is used again within that time.
	maxBackoff = 16 * time.Second
	// maxDoublings keeps the doubled time from running over; maxBackoff is reached before.
	maxDoublings = 10
)

const (
	// MinAskInterval is the usual time between two questions of a gateway, at the least.
	MinAskInterval = 150 * time.Millisecond
	// IntervalPerGateway is the time between two questions for each gateway that asks the same
	// instance, which then answers 667 times a second at the most.
	IntervalPerGateway = 1500 * time.Microsecond
	// MaxDirectGateways is how many gateways of one region ask the leader themselves: as many as one
	// instance answers at the usual pace.
	MaxDirectGateways = int(MinAskInterval / IntervalPerGateway)
	// shareUntil is below how many they do so again.
	shareUntil = MaxDirectGateways * 3 / 4
)

// Selector are the control instances as one gateway knows them.
type Selector struct {
	topology *topology.Topology
	domain   string
	gateway  string
	controls []control
	failures map[string]failure
	shared   bool // shared says that the gateways of the only region are shared out.
}

type control struct {
	address string
	domain  string
}

// failure is what is known of an instance that failed.
type failure struct {
	inRow int       // inRow is how many times in a row it failed.
	until time.Time // until is when it may be asked again.
}

// New returns links of which nothing is known, for a gateway in a failure domain.
func New(t *topology.Topology, domain, gateway string) *Selector {
	return &Selector{topology: t, domain: domain, gateway: gateway, failures: map[string]failure{}}
}

// Enabled reports whether instances of the own region are asked at all: only where there
// are several regions, or many gateways. Choose names none otherwise.
func (l *Selector) Enabled() bool { return l != nil && (l.shared || l.topology.Several()) }

// SetGateways notes how many gateways there are.
func (l *Selector) SetGateways(n int) {
	switch {
	case l == nil:
	case n > MaxDirectGateways:
		l.shared = true
	case n < shareUntil:
		l.shared = false
	}
}

// GatewaysPerInstance is how many of some gateways one instance answers. Where there are several regions
// it is all of them: their questions cross to the leader's, however they are parted.
func (l *Selector) GatewaysPerInstance(gateways int) int {
	if !l.Enabled() || l.topology.Several() {
		return gateways
	}
	relays := max(1, len(l.controls)-1)
	return (gateways + relays - 1) / relays
}

// SetControls takes the addresses of all control instances and their domains, in one order.
func (l *Selector) SetControls(addresses, domains []string) {
	if l == nil || len(addresses) != len(domains) {
		return // An instance that does not tell domains.
	}
	l.controls = l.controls[:0]
	for i, address := range addresses {
		l.controls = append(l.controls, control{address, domains[i]})
	}
}

// RecordFailure notes that an instance did not answer in time (silent), or said that it cannot
// answer. It is passed over for a backoff.
func (l *Selector) RecordFailure(address string, silent bool, now time.Time) {
	if !l.Enabled() {
		return
	}
	f := l.failures[address]
	backoff := refusedBackoff
	if silent {
		backoff = silentBackoff
	}
	f.until = now.Add(min(maxBackoff, backoff<<min(f.inRow, maxDoublings)))
	f.inRow++
	l.failures[address] = f
}

// RecordAnswer notes that an instance answered.
func (l *Selector) RecordAnswer(address string) {
	if l.Enabled() {
		delete(l.failures, address)
	}
}

// Choose returns the address of the instance to ask; empty if there is none in the own
// region that has not failed lately. The leader's address is empty while it is unknown.
func (l *Selector) Choose(leader string, now time.Time) string {
	if !l.Enabled() {
		return ""
	}
	var near []control
	for _, c := range l.controls {
		if l.inRegion(c) && !now.Before(l.failures[c.address].until) {
			near = append(near, c)
		}
	}
	if len(near) == 0 {
		return ""
	}
	return slices.MinFunc(near, func(a, b control) int {
		return cmp.Or(
			cmp.Compare(l.rank(a, leader), l.rank(b, leader)),
			cmp.Compare(l.draw(a), l.draw(b)),
			cmp.Compare(a.address, b.address),
		)
	}).address
}

// inRegion reports whether an instance is of the own region. One region needs no names.
func (l *Selector) inRegion(c control) bool {
	if !l.topology.Several() {
		return true
	}
	own := l.topology.Region(l.domain)
	return own != "" && l.topology.Region(c.domain) == own
}

// rank is lower for an instance that is asked first.
func (l *Selector) rank(c control, leader string) int {
	switch {
	case c.address == leader && !l.topology.Several():
		return 3
	case c.domain == l.domain:
		return 0
	case c.address == leader:
		return 1
	}
	return 2
}

// draw is a hash (rendezvous hashing) that spreads the gateways evenly over instances of
// the same rank.
func (l *Selector) draw(c control) uint64 { return xxhash.Sum64String(l.gateway + " " + c.address) }
