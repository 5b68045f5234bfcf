package control

import (
	"maps"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/weldstream/weldstream/coordination/topology"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// TestLoadsByRegion checks that work is added up by the gateways' region, if it is known.
func TestLoadsByRegion(t *testing.T) {
	two := topology.New(map[string]string{"a-1": "a", "a-2": "a", "b-1": "b"})
	for _, c := range []struct {
		name     string
		topology *topology.Topology
		want     map[string]float64
	}{
		{"two regions", two, map[string]float64{"a": 3, "b": 4}},
		{"no regions", nil, nil},
	} {
		u := NewUplink(newFakeGroup(), noPeers, parse, 8*time.Second, WithTopology(c.topology))
		for i, domain := range []string{"a-1", "a-2", "b-1", "unknown"} {
			mustSync(t, u, protocol.SyncMsg{Gateway: domain, Domain: domain, Pressure: []protocol.Pressure{{Service: "s", Work: []float64{1, 2, 4, 8}[i]}}})
		}
		got := u.Loads()["s"]
		if got.Work != 15 || !maps.Equal(got.Regions, c.want) {
			t.Errorf("%s: work %v, by region %v, want 15 and %v", c.name, got.Work, got.Regions, c.want)
		}
	}
}

// TestFleetOrdersWhereWorkArises checks that full-price servers are ordered in the region with
// the gateways' work, even though that region is a twentieth more expensive.
func TestFleetOrdersWhereWorkArises(t *testing.T) {
	const servers = 4
	for _, c := range []struct {
		name     string
		topology *topology.Topology
		want     string
	}{
		{"two regions", topology.New(map[string]string{"a-1": "a", "b-1": "b"}), "b-1"},
		{"no regions", nil, "a-1"},
	} {
		u := NewUplink(newFakeGroup(), noPeers, parse, 8*time.Second, WithTopology(c.topology))
		u.catalog = &protocol.Catalog{Services: []protocol.ServiceSpec{{Name: "s", Slots: 8, Scaling: &protocol.ScalingSpec{
			Max: 30, DomainPrices: map[string]float64{"a-1": 0.95, "b-1": 1},
		}}}}
		f := NewFleet(u, zerolog.Nop())
		f.SetBaseline("s", servers)
		mustSync(t, u, protocol.SyncMsg{Gateway: "g", Domain: "b-1", Pressure: []protocol.Pressure{{Service: "s", Work: 10, Begun: 1}}})
		u.SetServers(1, []protocol.Instance{})
		full := map[string]int{}
		for _, o := range f.Plan(clock.Now()) {
			if !o.Reclaimable {
				full[o.Domain] += o.Count
			}
		}
		if full[c.want] == 0 || len(full) != 1 {
			t.Errorf("%s: full-price servers ordered in %v, want only %s", c.name, full, c.want)
		}
	}
}
