package main

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/weldstream/weldstream/coordination/group"
	"github.com/weldstream/weldstream/coordination/topology"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/state"
	"github.com/weldstream/weldstream/transport/control"
)

// regionsEvery is between two looks for domains without a region: settings are changed
// by hand, and the list of servers is read each second.
const regionsEvery = 2 * time.Second

// controlDump is a control instance's state on request.
type controlDump struct {
	group.Status
	Domain  string              `json:"domain"`
	Region  string              `json:"region,omitempty"`
	Regions map[string]string   `json:"regions,omitempty"` // Regions are those of the control instances, by name, where there are several.
	Relay   *control.RelayState `json:"relay,omitempty"`   // Relay is set where gateways asked the instance as a relay.

	Quarantine []protocol.Quarantined `json:"quarantine,omitempty"` // Quarantine are the requests that are kept from servers.

	Limited map[string]float64 `json:"limited_servers"` // Limited are the servers that name a limit, in requests a second, as the leader knows them.
}

// dump returns the state that /dump shows.
func (c *controlInstance) dump() any {
	n, topology := c.settings, c.settings.Topology()
	d := controlDump{Status: c.group.Status(), Domain: n.Domain, Region: topology.Region(n.Domain), Quarantine: c.uplink.Quarantine(), Limited: c.uplink.LimitedServers()}
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

// watchRegions warns of domains that instances or servers are in and whose region the
// settings do not tell, and counts them among the meters.
func (c *controlInstance) watchRegions(ctx context.Context) error {
	var unplaced atomic.Int64
	metrics.NewRegisteredFunctionalGauge("domains.unplaced", c.registry, unplaced.Load)
	t := c.settings.Topology()
	if !t.MultiRegion() {
		return nil
	}
	var before []string
	for tick := time.NewTicker(regionsEvery); ; {
		servers, _ := c.uplink.Servers() // None are listed yet, or not by this instance.
		domains := unplacedDomains(t, c.tables.Members.Rows(), servers)
		if !slices.Equal(domains, before) && len(domains) > 0 {
			c.log.Warn().Strs("domains", domains).Msg("domains without a region")
		}
		before = domains
		unplaced.Store(int64(len(domains)))
		select {
		case <-tick.C:
		case <-ctx.Done():
			tick.Stop()
			return nil
		}
	}
}

// unplacedDomains returns the domains of members and servers that have no region. A
// member that is known as a seed alone has no known domain yet.
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
