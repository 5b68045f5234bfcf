package control

import "github.com/weldstream/weldstream/coordination/scale"

// addRegion returns the load with work added to that of a region. It does not change Work.
func (l Load) addRegion(region string, work float64) Load {
	if region == "" {
		return l
	}
	if l.Regions == nil {
		l.Regions = map[string]float64{}
	}
	l.Regions[region] += work
	return l
}

// newPlanner returns a planner without pending orders that knows the regions.
func (u *Uplink) newPlanner() *scale.Planner { return scale.New(scale.WithTopology(u.topology)) }
