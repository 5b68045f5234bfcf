package topology

import (
	"slices"
	"time"
)

const (
	// slowerWeight is the weight of an observation above the mean. It is small, since a
	// connect also waits for a busy server, which is not part of the round trip.
	slowerWeight = 0.02
	// fasterWeight is the weight of one below the mean, which is closer to the round trip.
	fasterWeight = 0.2
	// minObservations is the number of observations needed before a domain's mean is used.
	minObservations = 10
	// contradictionFactor is the factor by which the round trip to a near domain has to
	// exceed the one to another region to contradict the settings: means of connects vary
	// by some tenths (an estimate).
	contradictionFactor = 1.5
)

// RoundTrips holds the round-trip times and losses from one domain to others, as measured
// by connects. They are not valid for any other domain.
type RoundTrips struct {
	topology *Topology
	from     string
	domains  map[string]*domainStats
}

// domainStats holds the observations of the connects to one domain.
type domainStats struct {
	mean        time.Duration // mean is the weighted mean round trip.
	connects    int           // connects counts the successful connects.
	failures    int           // failures counts the failed connects.
	contradicts bool          // contradicts reports whether the round trip contradicts the settings.
}

// NewRoundTrips returns the round trips from a domain, without any observations.
func NewRoundTrips(t *Topology, from string) *RoundTrips {
	return &RoundTrips{topology: t, from: from, domains: map[string]*domainStats{}}
}

// stats returns the observations of a domain, and creates them if there are none.
func (t *RoundTrips) stats(name string) *domainStats {
	d := t.domains[name]
	if d == nil {
		d = &domainStats{}
		t.domains[name] = d
	}
	return d
}

// Observe records how long a connect to a domain took.
func (t *RoundTrips) Observe(domain string, took time.Duration) {
	d := t.stats(domain)
	d.connects++
	switch {
	case d.connects == 1:
		d.mean = took
	case took < d.mean:
		d.mean -= time.Duration(fasterWeight * float64(d.mean-took))
	default:
		d.mean += time.Duration(slowerWeight * float64(took-d.mean))
	}
}

// RecordLoss records a failed connect to a domain.
func (t *RoundTrips) RecordLoss(domain string) { t.stats(domain).failures++ }

// Losses returns the number of failed connects over a distance.
func (t *RoundTrips) Losses(d Distance) int {
	n := 0
	for name, stats := range t.domains {
		if t.topology.Distance(t.from, name) == d {
			n += stats.failures
		}
	}
	return n
}

// Shortest returns the shortest mean round trip over a distance, of domains with enough
// observations; 0 if there is none.
func (t *RoundTrips) Shortest(d Distance) time.Duration {
	shortest := time.Duration(0)
	for name, stats := range t.domains {
		if t.topology.Distance(t.from, name) == d && stats.connects >= minObservations && (shortest == 0 || stats.mean < shortest) {
			shortest = stats.mean
		}
	}
	return shortest
}

// Contradicting returns the domains, sorted, that are configured as near and whose round
// trip exceeds the shortest one to another region by contradictionFactor. For hysteresis a
// domain is returned until its round trip is no longer than the latter. Either it or the
// other region's domain is not where the settings say.
func (t *RoundTrips) Contradicting() []string {
	otherRegion := t.Shortest(OtherRegion)
	if otherRegion == 0 {
		return nil
	}
	var contradicting []string
	for name, stats := range t.domains {
		if t.topology.Distance(t.from, name) == OtherRegion || stats.connects < minObservations {
			continue
		}
		limit := time.Duration(contradictionFactor * float64(otherRegion))
		if stats.contradicts {
			limit = otherRegion
		}
		if stats.contradicts = stats.mean > limit; stats.contradicts {
			contradicting = append(contradicting, name)
		}
	}
	slices.Sort(contradicting)
	return contradicting
}
