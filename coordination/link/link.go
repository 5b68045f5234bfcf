// Package link decides which control instance a gateway asks, and how long an answer
// may take.
//
// With several regions, a gateway asks a control instance of its own region, which is
// either the leader or a relay that forwards the question. So the traffic between regions
// grows with the number of control instances, not of gateways. An instance that fails is
// skipped for a backoff. If there is no instance in the region, or only one region,
// [Selector.Choose] returns none, and the gateway asks the leader.
//
// In a single region all gateways ask the leader, as long as one instance can answer that
// many at the usual interval. A larger fleet is distributed over the control instances,
// with a preference for one in the gateway's own domain, so that the time in which a change
// reaches all gateways does not grow with their number. The leader is chosen last, since
// it answers the relays.
//
// The package reads no clock: callers pass the time.
package link

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/weldstream/weldstream/coordination/topology"
)

const (
	// refusedBackoff is the initial backoff for an instance that replied that it cannot
	// answer: about the time in which a relay learns of a new leader.
	refusedBackoff = 100 * time.Millisecond
	// silentBackoff is the initial backoff for one that did not reply. It is longer, since
	// each attempt with such an instance costs a gateway a whole timeout.
	silentBackoff = time.Second
	// maxBackoff bounds both, which double with each consecutive failure: an instance that
	// has recovered is used again within that time.
	maxBackoff = 16 * time.Second
	// maxDoublings prevents an overflow of the backoff, which reaches maxBackoff earlier.
	maxDoublings = 10
)

const (
	// MinAskInterval is the minimum time between two questions of a gateway.
	MinAskInterval = 150 * time.Millisecond
	// IntervalPerGateway is what each gateway that asks the same instance adds to the time
	// between two questions of each, so that an instance answers at most 667 per second.
	IntervalPerGateway = 1500 * time.Microsecond
	// MaxDirectGateways is the maximum number of gateways of a single region that all ask
	// the leader: as many as one instance can answer at MinAskInterval.
	MaxDirectGateways = int(MinAskInterval / IntervalPerGateway)
	// minSharedGateways is the number of gateways below which they all ask the leader again.
	// It is lower than MaxDirectGateways for hysteresis.
	minSharedGateways = MaxDirectGateways * 3 / 4
)

// Selector selects a control instance for one gateway. A nil Selector chooses none.
type Selector struct {
	topology *topology.Topology
	domain   string
	gateway  string
	controls []control
	failures map[string]failure
	shared   bool // shared reports that the gateways of a single region are distributed over the instances.
}

type control struct {
	address string
	domain  string
}

// failure is the backoff state of an instance that failed.
type failure struct {
	consecutive int       // consecutive is the number of consecutive failures.
	retryAt     time.Time // retryAt is when it may be asked again.
}

// New returns a selector without control instances, for a gateway in a failure domain.
func New(t *topology.Topology, domain, gateway string) *Selector {
	return &Selector{topology: t, domain: domain, gateway: gateway, failures: map[string]failure{}}
}

// Enabled reports whether the gateway asks instances of its own region: only with several
// regions, or many gateways. Otherwise Choose returns none.
func (l *Selector) Enabled() bool { return l != nil && (l.shared || l.topology.MultiRegion()) }

// SetGateways sets the number of gateways.
func (l *Selector) SetGateways(n int) {
	switch {
	case l == nil:
	case n > MaxDirectGateways:
		l.shared = true
	case n < minSharedGateways:
		l.shared = false
	}
}

// GatewaysPerInstance returns how many of the gateways one instance answers. With several
// regions it is all of them: however they are distributed, their questions are forwarded to
// the leader's region.
func (l *Selector) GatewaysPerInstance(gateways int) int {
	if !l.Enabled() || l.topology.MultiRegion() {
		return gateways
	}
	relays := max(1, len(l.controls)-1)
	return (gateways + relays - 1) / relays
}

// SetControls sets the addresses of all control instances and, in the same order, their
// domains.
func (l *Selector) SetControls(addresses, domains []string) {
	if l == nil || len(addresses) != len(domains) {
		return // The list comes from an instance that does not send domains.
	}
	l.controls = l.controls[:0]
	for i, address := range addresses {
		l.controls = append(l.controls, control{address, domains[i]})
	}
}

// RecordFailure records that an instance did not reply in time (silent), or replied that it
// cannot answer. It is skipped for a backoff.
func (l *Selector) RecordFailure(address string, silent bool, now time.Time) {
	if !l.Enabled() {
		return
	}
	f := l.failures[address]
	backoff := refusedBackoff
	if silent {
		backoff = silentBackoff
	}
	f.retryAt = now.Add(min(maxBackoff, backoff<<min(f.consecutive, maxDoublings)))
	f.consecutive++
	l.failures[address] = f
}

// RecordAnswer records that an instance answered, which resets its backoff.
func (l *Selector) RecordAnswer(address string) {
	if l.Enabled() {
		delete(l.failures, address)
	}
}

// Choose returns the address of the instance to ask; empty if every instance of the own
// region is in backoff, or there is none. The leader's address is empty while unknown.
func (l *Selector) Choose(leader string, now time.Time) string {
	if !l.Enabled() {
		return ""
	}
	var near []control
	for _, c := range l.controls {
		if l.inOwnRegion(c) && !now.Before(l.failures[c.address].retryAt) {
			near = append(near, c)
		}
	}
	if len(near) == 0 {
		return ""
	}
	return slices.MinFunc(near, func(a, b control) int {
		return cmp.Or(
			cmp.Compare(l.rank(a, leader), l.rank(b, leader)),
			cmp.Compare(l.hash(a), l.hash(b)),
			cmp.Compare(a.address, b.address),
		)
	}).address
}

// inOwnRegion reports whether an instance is in the gateway's own region. A single region
// need not be configured.
func (l *Selector) inOwnRegion(c control) bool {
	if !l.topology.MultiRegion() {
		return true
	}
	own := l.topology.Region(l.domain)
	return own != "" && l.topology.Region(c.domain) == own
}

// rank returns the preference of an instance; lower is preferred.
func (l *Selector) rank(c control, leader string) int {
	switch {
	case c.address == leader && !l.topology.MultiRegion():
		return 3
	case c.domain == l.domain:
		return 0
	case c.address == leader:
		return 1
	}
	return 2
}

// hash returns the score for rendezvous hashing, which distributes the gateways evenly over
// instances of the same rank.
func (l *Selector) hash(c control) uint64 { return xxhash.Sum64String(l.gateway + " " + c.address) }
