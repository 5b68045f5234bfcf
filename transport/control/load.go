package control

import (
	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// Load is what the gateways' requests ask of one service.
type Load struct {
	Work    float64
	Begun   int64
	Slow    int64
	Regions map[string]float64 // Regions are Work by the gateways' region; empty where none is known.
}

// Loads adds up the reports of all gateways.
func (u *Uplink) Loads() map[string]Load {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.alive(clock.Now())
	loads := map[string]Load{}
	for _, g := range u.gateways {
		for _, p := range g.pressure {
			loads[p.Service] = loads[p.Service].plus(p).from(u.topology.Region(g.domain), p.Work)
		}
	}
	return loads
}

func (l Load) plus(p protocol.Pressure) Load {
	return Load{Work: l.Work + p.Work, Begun: l.Begun + p.Begun, Slow: l.Slow + p.Slow, Regions: l.Regions}
}

// load adds up the reports on one service. It needs u.mu.
func (u *Uplink) load(service string) Load {
	var l Load
	for _, g := range u.gateways {
		for _, p := range g.pressure {
			if p.Service == service {
				l = l.plus(p)
			}
		}
	}
	return l
}

// lanes returns the terms of all gateways together, by service. It needs u.mu.
func (u *Uplink) lanes() []protocol.ServiceLanes {
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
