package fleet

import (
	"cmp"
	"slices"
)

// shrink drains one instance of a model that has been too many for a while:
// on-demand ones first, and then the dearest.
func (p *Planner) shrink(m ViewMsg, g *held, need int) []Cmd {
	slices.SortFunc(g.instances, func(a, b Instance) int {
		return cmp.Or(onDemandFirst(a, b), cmp.Compare(b.Hourly, a.Hourly), cmp.Compare(a.Running, b.Running), cmp.Compare(a.ID, b.ID))
	})
	chosen := ""
	for _, in := range g.instances {
		if chosen != "" || !p.spare(g, in, need) {
			delete(p.surplus, in.ID)
			continue
		}
		chosen = in.ID
	}
	if chosen == "" {
		return nil
	}
	if since, ok := p.surplus[chosen]; !ok {
		p.surplus[chosen] = m.Now
		return nil
	} else if m.Now.Sub(since) < p.cfg.Surplus {
		return nil
	}
	delete(p.surplus, chosen)
	p.draining[chosen] = m.Now
	return []Cmd{DrainCmd{ID: chosen}}
}

func onDemandFirst(a, b Instance) int {
	rank := func(m Market) int {
		if m == OnDemand {
			return 0
		}
		return 1
	}
	return cmp.Compare(rank(a.Market), rank(b.Market))
}

// spare reports whether the model can do without an instance: the others still
// bear the loss of any domain. For a reclaimable one only the others that are
// not on demand count, since it was bought for that; an on-demand one can also go
// when everything is in its domain anyway and the others cover the need. Only what
// is ready counts, so that nothing goes before its replacement works.
func (p *Planner) spare(g *held, in Instance, need int) bool {
	total, all, lasting := 0, map[string]int{}, map[string]int{}
	for _, o := range g.instances {
		if o.ID == in.ID || !o.Ready || !slices.Contains(o.Models, g.model) {
			continue
		}
		slots := g.class[o.Class].Slots
		total += slots
		all[o.Domain] += slots
		if o.Market != OnDemand {
			lasting[o.Domain] += slots
		}
	}
	if in.Market != OnDemand {
		return survives(lasting, need)
	}
	if survives(all, need) {
		return true
	}
	return total >= need && all[in.Domain] == total
}

// giveBack gives back what was drained and has nothing left to do.
func (p *Planner) giveBack(m ViewMsg) []Cmd {
	var cmds []Cmd
	for i := range m.Instances {
		in := &m.Instances[i]
		since, ok := p.draining[in.ID]
		if ok && in.Leaving && in.Running == 0 && m.Now.Sub(since) >= p.cfg.Drain {
			cmds = append(cmds, GiveBackCmd{ID: in.ID})
		}
	}
	return cmds
}

// loads has instances load what they were bought for or turned to. Only so
// many load at once; the model that lacks the largest part goes first.
func (p *Planner) loads(m ViewMsg) []Cmd {
	var waiting []LoadCmd
	for i := range m.Instances {
		in := &m.Instances[i]
		model := p.models[in.ID]
		if in.Ready && !in.Leaving && model != "" && !slices.Contains(in.Models, model) {
			waiting = append(waiting, LoadCmd{ID: in.ID, Model: model, Replace: len(in.Models) > 0})
		}
	}
	lack := p.lacks(m)
	slices.SortStableFunc(waiting, func(a, b LoadCmd) int {
		return cmp.Or(cmp.Compare(lack[b.Model], lack[a.Model]), cmp.Compare(a.ID, b.ID))
	})
	var cmds []Cmd
	for _, w := range waiting[:min(len(waiting), p.cfg.Loads)] {
		cmds = append(cmds, w)
	}
	return cmds
}

// lacks is, for each model, the part of its need that nothing ready covers.
func (p *Planner) lacks(m ViewMsg) map[string]float64 {
	lack := map[string]float64{}
	for _, n := range m.Needs {
		g := p.gather(m, n.Model)
		ready := 0
		for _, in := range g.instances {
			if in.Ready && slices.Contains(in.Models, n.Model) {
				ready += g.class[in.Class].Slots
			}
		}
		lack[n.Model] = float64(n.Slots-ready) / float64(max(1, n.Slots))
	}
	return lack
}

// adopt gives an instance that came up without a model, and without an order
// that this leader knows, to the model that lacks most.
func (p *Planner) adopt(m ViewMsg) {
	lack := p.lacks(m)
	for i := range m.Instances {
		in := &m.Instances[i]
		if !in.Ready || in.Leaving || len(in.Models) > 0 || p.models[in.ID] != "" {
			continue
		}
		best := ""
		for _, n := range m.Needs {
			if p.fits(m, in, n.Model) && (best == "" || lack[n.Model] > lack[best]) {
				best = n.Model
			}
		}
		if best != "" {
			p.models[in.ID] = best
		}
	}
}

func (p *Planner) fits(m ViewMsg, in *Instance, model string) bool {
	return slices.ContainsFunc(m.Classes, func(c Class) bool {
		return c.Name == in.Class && slices.Contains(c.Models, model)
	})
}

// turn gives a model that lacks instances those that another one can spare and
// that run nothing: that is faster than buying, and costs nothing.
func (p *Planner) turn(m ViewMsg, model string, needs map[string]int) {
	for _, other := range m.Needs {
		if other.Model == model {
			continue
		}
		for _, in := range p.gather(m, other.Model).instances {
			if survives(p.gather(m, model).slots, needs[model]) {
				return
			}
			if in.Running == 0 && in.Ready && p.fits(m, &in, model) && p.spare(p.gather(m, other.Model), in, needs[other.Model]) {
				p.models[in.ID] = model
			}
		}
	}
}
