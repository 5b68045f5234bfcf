package topology

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "github.com/weldstream/weldstream/internal/testseed" // Fixes the seed.
)

func TestDistance(t *testing.T) {
	regions := New(map[string]string{"a-1": "a", "a-2": "a", "b-1": "b"})
	for _, c := range []struct {
		name     string
		topology *Topology
		from, to string
		want     Distance
	}{
		{"a domain and itself", regions, "a-1", "a-1", SameDomain},
		{"two in one region", regions, "a-1", "a-2", SameRegion},
		{"two in different regions", regions, "a-1", "b-1", OtherRegion},
		{"one without a region", regions, "a-1", "c-1", SameRegion},
		{"one without a region and itself", regions, "c-1", "c-1", SameDomain},
		{"no regions", New(nil), "a-1", "b-1", SameRegion},
		{"no topology", nil, "a-1", "b-1", SameRegion},
		{"no topology, one domain", nil, "a-1", "a-1", SameDomain},
	} {
		if got := c.topology.Distance(c.from, c.to); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}

func TestRegions(t *testing.T) {
	for _, c := range []struct {
		name     string
		topology *Topology
		want     []string
		several  bool
	}{
		{"two", New(map[string]string{"b-1": "b", "a-1": "a", "a-2": "a"}), []string{"a", "b"}, true},
		{"one", New(map[string]string{"a-1": "a", "a-2": "a"}), []string{"a"}, false},
		{"none", New(nil), nil, false},
		{"no topology", nil, nil, false},
	} {
		if got := c.topology.Regions(); !slices.Equal(got, c.want) || c.topology.MultiRegion() != c.several {
			t.Errorf("%s: %v, several %v", c.name, got, c.topology.MultiRegion())
		}
	}
}

// TestDistanceIsSymmetric checks that a distance is the same in both directions, for any
// configured regions.
func TestDistanceIsSymmetric(t *testing.T) {
	domain := rapid.StringMatching(`[a-d]`)
	rapid.Check(t, func(t *rapid.T) {
		topology := New(rapid.MapOf(domain, rapid.StringMatching(`[x-z]?`)).Draw(t, "regions"))
		a, b := domain.Draw(t, "a"), domain.Draw(t, "b")
		if there, back := topology.Distance(a, b), topology.Distance(b, a); there != back {
			t.Fatalf("distance is %s in one direction and %s in the other", there, back)
		}
	})
}

// TestWithoutRegion checks that domains without a region are returned if there are several
// regions.
func TestWithoutRegion(t *testing.T) {
	two := New(map[string]string{"a-1": "a", "b-1": "b"})
	for _, c := range []struct {
		name     string
		topology *Topology
		domains  []string
		want     []string
	}{
		{"all known", two, []string{"a-1", "b-1"}, nil},
		{"two unknown, one of them twice", two, []string{"d", "a-1", "c", "d"}, []string{"c", "d"}},
		{"one region", New(map[string]string{"a-1": "a"}), []string{"c"}, nil},
		{"no topology", nil, []string{"c"}, nil},
	} {
		if got := c.topology.WithoutRegion(c.domains); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
