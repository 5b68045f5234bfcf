package e2e

import (
	"fmt"
	"strings"
	"testing"

	"github.com/weldstream/weldstream/internal/standin"
	"github.com/weldstream/weldstream/protocol"
)

// fleetText returns the test configuration with a fleet that keeps at least
// minSlots slots.
func fleetText(minSlots int) string {
	text := strings.Replace(configText(), `version: "1"}`, fmt.Sprintf(`version: "1", min_slots: %d}`, minSlots), 1)
	return text + "fleet: {on_demand: true, max_instances: 8, classes: [{name: gpu-small, slots: 16, models: [docket-8b]}]}\n"
}

// publishMarket lists the first engines, offers the others as spares, and sets
// the prices.
func (c *cluster) publishMarket(listed int, refuse ...string) {
	setup := standin.PlatformSetup{Refuse: refuse}
	for i, in := range c.listed {
		in.Market = "reclaimable"
		if i < listed {
			setup.Instances = append(setup.Instances, in)
			continue
		}
		setup.Spares = append(setup.Spares, in)
	}
	for i, hourly := range []float64{0.3, 0.4, 0.2} {
		setup.Prices = append(setup.Prices,
			protocol.Price{Domain: domain(i), Class: "gpu-small", Market: "reclaimable", Hourly: hourly},
			protocol.Price{Domain: domain(i), Class: "gpu-small", Market: "on_demand", Hourly: 1})
	}
	post(c.t, c.platform.control, "/setup", setup)
}

// remainingServers returns the IDs of the servers that the instance knows and
// that are not leaving.
func (d *daemon) remainingServers() string {
	var ids []string
	for _, s := range d.dump().Servers {
		if !s.Leaving {
			ids = append(ids, s.ID)
		}
	}
	return strings.Join(ids, " ")
}

// TestFleet reclaims the failure domain of one of two engines. The platform
// refuses the cheapest replacement, so the next cheapest is bought. A higher
// slot minimum adds an engine, and a lower one drains and returns the most
// expensive. A stream runs without interruption throughout.
func TestFleet(t *testing.T) {
	c := newCluster(t, clusterSpec{daemons: 3, engines: 5, settings: "fleet: {settle: 300ms, surplus: 1s}\n"})
	c.publishMarket(2, "zone-c/gpu-small/reclaimable") // engine-3 is in zone-c, engine-4 in zone-a, engine-5 in zone-b.
	for _, d := range c.daemons {
		eventually(t, d.name+" knows both engines", func() bool { return d.remainingServers() == "engine-1 engine-2" })
	}
	c.apply(1, fleetText(16))
	d := c.daemons[0]
	s := d.openStream(completion("docket-summary", "long", 1500, true))
	defer s.close()
	s.next()
	c.reclaim(standin.ReclaimOrder{Domain: "zone-a", InMS: 5000})
	eventually(t, "a replacement is bought where the platform does not refuse it", func() bool { return d.remainingServers() == "engine-2 engine-4" })
	if code, out := d.ctl("apply", "-number", "2", "-wait", "30s", c.write("two.yaml", fleetText(32))); code != 0 {
		t.Fatal(out)
	}
	eventually(t, "a higher minimum adds an engine", func() bool { return d.remainingServers() == "engine-2 engine-4 engine-5" })
	if code, out := d.ctl("apply", "-number", "3", "-wait", "30s", c.write("three.yaml", fleetText(1))); code != 0 {
		t.Fatal(out)
	}
	eventually(t, "the most expensive engine is returned", func() bool {
		held := d.remainingServers()
		return held == "engine-2 engine-4" || held == "engine-4 engine-5"
	})
	for s.next() {
	}
	if want := standin.AnswerText("long", 1500); s.text.String() != want || s.err != nil {
		t.Errorf("%d of %d bytes arrived, error %v", s.text.Len(), len(want), s.err)
	}
}
