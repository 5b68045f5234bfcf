// Package link decides which control instance a gateway asks, and how long an answer
// may take.
//
// Where failure domains lie in several regions, a gateway asks a control instance of
// its own region, which is the leader or a relay that passes its questions on. What
// crosses between regions then grows with the control instances, not with the gateways.
// One that fails is passed over for a while. Without one in the region, or without
// several regions, [Links.Choose] names none, and the gateway asks the leader.
//
// All is pure: time comes in with each call.
package link

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/weldstream/weldstream/coordination/topology"
)

const (
	// toldAway is how long an instance that tells that it cannot answer is passed over
	// first: about the time in which a relay learns of a new leader.
	toldAway = 100 * time.Millisecond
	// silentAway is that for one that is silent, since each try costs an overdue answer.
	silentAway = time.Second
	// mostAway is the longest of both; each failure in a row doubles the time.
	mostAway = 16 * time.Second
)

// Links are the control instances as one gateway knows them.
type Links struct {
	topology *topology.Topology
	domain   string
	gateway  string
	controls []control
	failures map[string]failure
}

type control struct {
	address string
	domain  string
}

// failure is what is known of an instance that failed.
type failure struct {
	inRow int
	until time.Time
}

// New returns links of which nothing is known, for a gateway in a failure domain.
func New(t *topology.Topology, domain, gateway string) *Links {
	return &Links{topology: t, domain: domain, gateway: gateway, failures: map[string]failure{}}
}

// Near reports whether instances of the own region are asked at all.
func (l *Links) Near() bool { return l != nil && l.topology.Several() }

// Learn takes the addresses of all control instances and their domains, in one order.
func (l *Links) Learn(addresses, domains []string) {
	if !l.Near() || len(addresses) != len(domains) {
		return // An instance that does not tell domains.
	}
	l.controls = l.controls[:0]
	for i, address := range addresses {
		l.controls = append(l.controls, control{address, domains[i]})
	}
}

// Failed notes that an instance did not answer, or told that it cannot.
func (l *Links) Failed(address string, silent bool, now time.Time) {
	if !l.Near() {
		return
	}
	f := l.failures[address]
	away := toldAway
	if silent {
		away = silentAway
	}
	f.until = now.Add(min(mostAway, away<<min(f.inRow, 10)))
	f.inRow++
	l.failures[address] = f
}

// Answered notes that an instance answered.
func (l *Links) Answered(address string) {
	if l.Near() {
		delete(l.failures, address)
	}
}

// Choose returns the instance to ask, or none. The leader may be unknown.
func (l *Links) Choose(leader string, now time.Time) string {
	if !l.Near() {
		return ""
	}
	own := l.topology.Region(l.domain)
	var near []control
	for _, c := range l.controls {
		if own != "" && l.topology.Region(c.domain) == own && !now.Before(l.failures[c.address].until) {
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

// rank is lower for an instance that is asked first.
func (l *Links) rank(c control, leader string) int {
	switch {
	case c.domain == l.domain:
		return 0
	case c.address == leader:
		return 1
	}
	return 2
}

// draw parts the gateways evenly between instances that are alike.
func (l *Links) draw(c control) uint64 { return xxhash.Sum64String(l.gateway + " " + c.address) }
