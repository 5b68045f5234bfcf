package control

import (
	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// Load is the demand for one service, as reported by the gateways.
type Load struct {
	Work    float64
	Begun   int64
	Slow    int64
	Regions map[string]float64 // Regions is Work by the gateways' region; empty if no regions are known.
}

// Loads adds up the reports of all gateways.
func (u *Uplink) Loads() map[string]Load {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.countGateways(clock.Now())
	loads := map[string]Load{}
	for _, g := range u.gateways {
		for _, p := range g.pressure {
			loads[p.Service] = loads[p.Service].addPressure(p).addRegion(u.topology.Region(g.domain), p.Work)
		}
	}
	return loads
}

func (l Load) addPressure(p protocol.Pressure) Load {
	return Load{Work: l.Work + p.Work, Begun: l.Begun + p.Begun, Slow: l.Slow + p.Slow, Regions: l.Regions}
}

// serviceLoad adds up the reports on one service. The caller holds u.mu.
func (u *Uplink) serviceLoad(service string) Load {
	var l Load
	for _, g := range u.gateways {
		for _, p := range g.pressure {
			if p.Service == service {
				l = l.addPressure(p)
			}
		}
	}
	return l
}

// mergedLanes merges the lane parameters of all gateways, by service. The caller holds u.mu.
func (u *Uplink) mergedLanes() []protocol.ServiceLanes {
	terms := map[string][]protocol.LaneParams{}
	for _, g := range u.gateways {
		for _, p := range g.pressure {
			if p.Lanes.Seen > 0 {
				terms[p.Service] = append(terms[p.Service], p.Lanes)
			}
		}
	}
	rows := make([]protocol.ServiceLanes, 0, len(terms))
	for name, list := range terms {
		rows = append(rows, protocol.ServiceLanes{Service: name, Terms: place.MergeParams(list)})
	}
	return rows
}
