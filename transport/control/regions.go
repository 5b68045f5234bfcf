package control

import "github.com/weldstream/weldstream/coordination/scale"

// from returns the load with work by a gateway of a region added to that region's. It adds
// nothing to Work.
func (l Load) from(region string, work float64) Load {
	if region == "" {
		return l
	}
	if l.Regions == nil {
		l.Regions = map[string]float64{}
	}
	l.Regions[region] += work
	return l
}

// planner returns a planner that has ordered nothing and knows the regions.
func (u *Uplink) planner() *scale.Planner { return scale.New(scale.WithTopology(u.topology)) }
