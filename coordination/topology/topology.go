// Package topology tells how far failure domains are from one another.
//
// Operators say which region each domain lies in. Without that, or with one region
// alone, all domains are near: a [Topology] that knows no regions, or is nil, tells
// only a domain from the others.
package topology

import (
	"maps"
	"slices"
)

// Distance is how far two failure domains are from one another; a greater one is
// further.
type Distance uint8

// The distances.
const (
	SameDomain  Distance = iota // SameDomain is within one failure domain.
	SameRegion                  // SameRegion is between two domains of a region, about a millisecond.
	OtherRegion                 // OtherRegion is between two regions, where round trips are long and bytes dear.
)

var distanceNames = [...]string{"same domain", "same region", "other region"}

// String returns the distance's name.
func (d Distance) String() string {
	if int(d) < len(distanceNames) {
		return distanceNames[d]
	}
	return "unknown"
}

// Topology holds the region of each failure domain. It does not change.
type Topology struct {
	regions map[string]string // regions are by domain.
	names   []string
}

// New returns the topology of domains whose regions are given by domain.
func New(regions map[string]string) *Topology {
	names := slices.Compact(slices.Sorted(maps.Values(regions)))
	return &Topology{regions: maps.Clone(regions), names: names}
}

// Region returns the region of a domain; empty where none is known.
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

// WithoutRegion returns those of some domains, sorted, that have no region though there are
// several: they count as near, which may be wrong.
func (t *Topology) WithoutRegion(domains []string) []string {
	if !t.MultiRegion() {
		return nil
	}
	unplaced := slices.DeleteFunc(slices.Clone(domains), func(d string) bool { return t.Region(d) != "" })
	slices.Sort(unplaced)
	return slices.Compact(unplaced)
}

// Distance returns how far two domains are from one another. One without a region
// counts as near: nothing says that it is not.
func (t *Topology) Distance(a, b string) Distance { return t.Location(a).Distance(t.Location(b)) }

// Location is a domain with its region: what distances are measured between, without a
// look-up for each.
type Location struct {
	Domain string
	Region string // Region is empty where none is known.
}

// Location returns where a domain lies.
func (t *Topology) Location(domain string) Location {
	return Location{Domain: domain, Region: t.Region(domain)}
}

// Distance returns how far two locations are from one another.
func (a Location) Distance(b Location) Distance {
	switch {
	case a.Domain == b.Domain:
		return SameDomain
	case a.Region == b.Region || a.Region == "" || b.Region == "":
		return SameRegion
	}
	return OtherRegion
}
