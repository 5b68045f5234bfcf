package control

import "github.com/weldstream/weldstream/coordination/scale"

// from notes in which region a gateway's work arises.
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
