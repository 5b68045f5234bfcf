package topology

import (
	"slices"
	"time"
)

const (
	// slowerWeight is the weight of an observation that is longer than the mean so far. It is
	// small, since a connect also waits for a busy server, and that is not the path's time.
	slowerWeight = 0.02
	// fasterWeight is the weight of a shorter one, which is nearer the path's own time.
	fasterWeight = 0.2
	// tripsLeast is how many observations of a domain are needed before it is judged.
	tripsLeast = 10
	// furtherFactor is by how many times the round trip to a near domain has to exceed the
	// one to another region before it contradicts the settings: means of connects vary by
	// some tenths (an estimate).
	furtherFactor = 1.5
)

// RoundTrips are the round trips and losses observed from one domain to others, learned
// from connects. They hold from that domain alone.
type RoundTrips struct {
	topology *Topology
	own      string
	domains  map[string]*trip
}

// trip is what was observed of the way to one domain.
type trip struct {
	time    time.Duration // time is the mean round trip, weighted.
	seen    int           // seen are connects that were made.
	lost    int           // lost are connects that failed.
	further bool          // further says that it contradicts the settings.
}

// NewRoundTrips returns trips from a domain of which none was observed yet.
func NewRoundTrips(t *Topology, own string) *RoundTrips {
	return &RoundTrips{topology: t, own: own, domains: map[string]*trip{}}
}

// domain returns what was observed of a domain.
func (t *RoundTrips) domain(name string) *trip {
	d := t.domains[name]
	if d == nil {
		d = &trip{}
		t.domains[name] = d
	}
	return d
}

// Observe notes how long a connect to a domain took.
func (t *RoundTrips) Observe(domain string, took time.Duration) {
	d := t.domain(domain)
	d.seen++
	switch {
	case d.seen == 1:
		d.time = took
	case took < d.time:
		d.time -= time.Duration(fasterWeight * float64(d.time-took))
	default:
		d.time += time.Duration(slowerWeight * float64(took-d.time))
	}
}

// RecordLoss notes a connect to a domain that failed.
func (t *RoundTrips) RecordLoss(domain string) { t.domain(domain).lost++ }

// Losses returns how many connects over a distance failed.
func (t *RoundTrips) Losses(d Distance) int {
	n := 0
	for name, trip := range t.domains {
		if t.topology.Distance(t.own, name) == d {
			n += trip.lost
		}
	}
	return n
}

// Shortest returns the shortest round trip over a distance that was observed often enough;
// 0 for none.
func (t *RoundTrips) Shortest(d Distance) time.Duration {
	least := time.Duration(0)
	for name, trip := range t.domains {
		if t.topology.Distance(t.own, name) == d && trip.seen >= tripsLeast && (least == 0 || trip.time < least) {
			least = trip.time
		}
	}
	return least
}

// Contradicting returns the domains, sorted, that are configured as near and whose round
// trip is furtherFactor times as long as the shortest one to another region, until it is
// shorter than that one: either they or the latter lie elsewhere than the settings say.
func (t *RoundTrips) Contradicting() []string {
	across := t.Shortest(OtherRegion)
	if across == 0 {
		return nil
	}
	var further []string
	for name, trip := range t.domains {
		if t.topology.Distance(t.own, name) == OtherRegion || trip.seen < tripsLeast {
			continue
		}
		limit := time.Duration(furtherFactor * float64(across))
		if trip.further {
			limit = across
		}
		if trip.further = trip.time > limit; trip.further {
			further = append(further, name)
		}
	}
	slices.Sort(further)
	return further
}
