// Package topology classifies the distances between failure domains.
//
// Operators configure the region of each domain. A [Topology] without regions, or a nil
// one, only distinguishes a domain from all others: without regions, or with a single one,
// all domains count as near.
package topology

import (
	"maps"
	"slices"
)

// Distance is the class of distance between two failure domains, in increasing order.
type Distance uint8

// The distances.
const (
	SameDomain  Distance = iota // SameDomain is within one failure domain.
	SameRegion                  // SameRegion is between two domains of a region, about a millisecond.
	OtherRegion                 // OtherRegion is between two regions, with long round trips and costly traffic.
)

var distanceNames = [...]string{"same domain", "same region", "other region"}

// String returns the distance's name.
func (d Distance) String() string {
	if int(d) < len(distanceNames) {
		return distanceNames[d]
	}
	return "unknown"
}

// Topology holds the region of each failure domain. It is immutable.
type Topology struct {
	regions map[string]string // regions are by domain.
	names   []string
}

// New returns a topology from the region of each domain.
func New(regions map[string]string) *Topology {
	names := slices.Compact(slices.Sorted(maps.Values(regions)))
	return &Topology{regions: maps.Clone(regions), names: names}
}

// Region returns the region of a domain; empty if none is configured.
func (t *Topology) Region(domain string) string {
	if t == nil {
		return ""
	}
	return t.regions[domain]
}

// Regions returns the names of all regions, sorted.
func (t *Topology) Regions() []string {
	if t == nil {
		return nil
	}
	return t.names
}

// MultiRegion reports whether there is more than one region.
func (t *Topology) MultiRegion() bool { return len(t.Regions()) > 1 }

// WithoutRegion returns those of the given domains, sorted, that have no region although
// several regions are configured: they count as near, which may be wrong.
func (t *Topology) WithoutRegion(domains []string) []string {
	if !t.MultiRegion() {
		return nil
	}
	without := slices.DeleteFunc(slices.Clone(domains), func(d string) bool { return t.Region(d) != "" })
	slices.Sort(without)
	return slices.Compact(without)
}

// Distance returns the distance between two domains. A domain without a region counts as
// near, since nothing says otherwise.
func (t *Topology) Distance(a, b string) Distance { return t.Location(a).Distance(t.Location(b)) }

// Location is a domain with its region. Distances between locations need no lookup.
type Location struct {
	Domain string
	Region string // Region is empty if none is configured.
}

// Location returns a domain with its region.
func (t *Topology) Location(domain string) Location {
	return Location{Domain: domain, Region: t.Region(domain)}
}

// Distance returns the distance between two locations.
func (a Location) Distance(b Location) Distance {
	switch {
	case a.Domain == b.Domain:
		return SameDomain
	case a.Region == b.Region || a.Region == "" || b.Region == "":
		return SameRegion
	}
	return OtherRegion
}
