package main

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/weldstream/weldstream/coordination/backpressure"
	"github.com/weldstream/weldstream/coordination/group"
	"github.com/weldstream/weldstream/coordination/topology"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/state"
	"github.com/weldstream/weldstream/transport/control"
)

// regionCheckInterval is the interval of the checks for domains without a region. Settings
// change only by hand, and the server list is read once a second.
const regionCheckInterval = 2 * time.Second

// controlDump is the state of a control instance, served at /dump.
type controlDump struct {
	group.Status
	Domain  string              `json:"domain"`
	Region  string              `json:"region,omitempty"`
	Regions map[string]string   `json:"regions,omitempty"` // Regions maps control instances to their regions; it is empty with a single region.
	Relay   *control.RelayState `json:"relay,omitempty"`   // Relay is set if gateways have used the instance as a relay.

	Quarantine []protocol.Quarantined `json:"quarantine,omitempty"` // Quarantine are the quarantined requests, which are not sent to servers.

	LimitedServers map[string]float64 `json:"limited_servers"` // LimitedServers maps servers that announce a limit to that limit, in requests per second, as known to the leader.

	BrittleRooms []backpressure.RoomUse `json:"brittle_rooms,omitempty"` // BrittleRooms is the room at brittle servers, as counted by the leader.
}

// dump returns the state that /dump serves.
func (c *controlInstance) dump() any {
	n, topology := c.settings, c.settings.Topology()
	d := controlDump{Status: c.group.Status(), Domain: n.Domain, Region: topology.Region(n.Domain), Quarantine: c.uplink.Quarantine(), LimitedServers: c.uplink.LimitedServers(), BrittleRooms: c.uplink.RoomUse()}
	if relay := c.relay.State(); relay.Batches > 0 {
		d.Relay = &relay
	}
	if !topology.MultiRegion() {
		return d
	}
	d.Regions = map[string]string{c.name(): d.Region}
	for _, row := range c.tables.Members.Rows() {
		d.Regions[row.Name] = topology.Region(row.Domain)
	}
	return d
}

// watchRegions logs a warning for domains of instances or servers that have no region in the
// settings, and exports their number as a metric.
func (c *controlInstance) watchRegions(ctx context.Context) error {
	var unplaced atomic.Int64
	metrics.NewRegisteredFunctionalGauge("domains.unplaced", c.registry, unplaced.Load)
	t := c.settings.Topology()
	if !t.MultiRegion() {
		return nil
	}
	var previous []string
	for tick := time.NewTicker(regionCheckInterval); ; {
		servers, _ := c.uplink.Servers() // Empty before the first list, and on instances that do not hold it.
		domains := unplacedDomains(t, c.tables.Members.Rows(), servers)
		if !slices.Equal(domains, previous) && len(domains) > 0 {
			c.log.Warn().Strs("domains", domains).Msg("domains without a region")
		}
		previous = domains
		unplaced.Store(int64(len(domains)))
		select {
		case <-tick.C:
		case <-ctx.Done():
			tick.Stop()
			return nil
		}
	}
}

// unplacedDomains returns the domains of members and servers that have no region. The
// domain of a member that is known only as a seed is still empty and is skipped.
func unplacedDomains(t *topology.Topology, members []state.MemberRow, servers []protocol.Instance) []string {
	var domains []string
	for i := range members {
		if members[i].Domain != "" {
			domains = append(domains, members[i].Domain)
		}
	}
	for i := range servers {
		domains = append(domains, servers[i].Domain)
	}
	return t.WithoutRegion(domains)
}
