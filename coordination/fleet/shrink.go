package fleet

import (
	"cmp"
	"slices"
)

// shrink drains one instance of a model once it has been surplus for a while:
// on-demand instances first, then the most expensive.
func (p *Planner) shrink(m ViewMsg, have *capacity, need int) []Cmd {
	slices.SortFunc(have.instances, func(a, b Instance) int {
		return cmp.Or(onDemandFirst(a, b), cmp.Compare(b.Hourly, a.Hourly), cmp.Compare(a.Running, b.Running), cmp.Compare(a.ID, b.ID))
	})
	chosen := ""
	for _, in := range have.instances {
		if chosen != "" || !p.canSpare(have, in, need) {
			delete(p.surplusSince, in.ID)
			continue
		}
		chosen = in.ID
	}
	if chosen == "" {
		return nil
	}
	if since, ok := p.surplusSince[chosen]; !ok {
		p.surplusSince[chosen] = m.Now
		return nil
	} else if m.Now.Sub(since) < p.cfg.Surplus {
		return nil
	}
	delete(p.surplusSince, chosen)
	p.drainingSince[chosen] = m.Now
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

// canSpare reports whether the model can spare an instance, that is, whether the
// others still survive the loss of any one domain. For a reclaimable instance only
// the other reclaimable ones count, since it was bought to survive such a loss; an
// on-demand instance can also be spared if all others are in its domain and cover
// the need. Only ready instances count, so that none is given back before its
// replacement works.
func (p *Planner) canSpare(have *capacity, in Instance, need int) bool {
	total, all, reclaimable := 0, map[string]int{}, map[string]int{}
	for _, o := range have.instances {
		if o.ID == in.ID || !o.Ready || !slices.Contains(o.Models, have.model) {
			continue
		}
		slots := have.class[o.Class].Slots
		total += slots
		all[o.Domain] += slots
		if o.Market != OnDemand {
			reclaimable[o.Domain] += slots
		}
	}
	if in.Market != OnDemand {
		return survivesDomainLoss(reclaimable, need)
	}
	if survivesDomainLoss(all, need) {
		return true
	}
	return total >= need && all[in.Domain] == total
}

// giveBack gives back drained instances that run no more requests.
func (p *Planner) giveBack(m ViewMsg) []Cmd {
	var cmds []Cmd
	for i := range m.Instances {
		in := &m.Instances[i]
		since, ok := p.drainingSince[in.ID]
		if ok && in.Leaving && in.Running == 0 && m.Now.Sub(since) >= p.cfg.Drain {
			cmds = append(cmds, GiveBackCmd{ID: in.ID})
		}
	}
	return cmds
}

// planLoads returns the commands that load the models that instances were bought for
// or reassigned to, at most MaxLoads of them, for the models with the largest
// shortfall first.
func (p *Planner) planLoads(m ViewMsg) []Cmd {
	var waiting []LoadCmd
	for i := range m.Instances {
		in := &m.Instances[i]
		model := p.assigned[in.ID]
		if in.Ready && !in.Leaving && model != "" && !slices.Contains(in.Models, model) {
			waiting = append(waiting, LoadCmd{ID: in.ID, Model: model, Replace: len(in.Models) > 0})
		}
	}
	shortfall := p.shortfalls(m)
	slices.SortStableFunc(waiting, func(a, b LoadCmd) int {
		return cmp.Or(cmp.Compare(shortfall[b.Model], shortfall[a.Model]), cmp.Compare(a.ID, b.ID))
	})
	var cmds []Cmd
	for _, w := range waiting[:min(len(waiting), p.cfg.MaxLoads)] {
		cmds = append(cmds, w)
	}
	return cmds
}

// shortfalls returns, for each model, the fraction of its demand that ready
// instances do not cover.
func (p *Planner) shortfalls(m ViewMsg) map[string]float64 {
	shortfall := map[string]float64{}
	for _, n := range m.Needs {
		have := p.capacityOf(m, n.Model)
		ready := 0
		for _, in := range have.instances {
			if in.Ready && slices.Contains(in.Models, n.Model) {
				ready += have.class[in.Class].Slots
			}
		}
		shortfall[n.Model] = float64(n.Slots-ready) / float64(max(1, n.Slots))
	}
	return shortfall
}

// adopt assigns instances that started without a model and without an order known
// to this leader to the model with the largest shortfall.
func (p *Planner) adopt(m ViewMsg) {
	shortfall := p.shortfalls(m)
	for i := range m.Instances {
		in := &m.Instances[i]
		if !in.Ready || in.Leaving || len(in.Models) > 0 || p.assigned[in.ID] != "" {
			continue
		}
		best := ""
		for _, n := range m.Needs {
			if p.canServe(m, in, n.Model) && (best == "" || shortfall[n.Model] > shortfall[best]) {
				best = n.Model
			}
		}
		if best != "" {
			p.assigned[in.ID] = best
		}
	}
}

func (p *Planner) canServe(m ViewMsg, in *Instance, model string) bool {
	return slices.ContainsFunc(m.Classes, func(c Class) bool {
		return c.Name == in.Class && slices.Contains(c.Models, model)
	})
}

// reassign assigns idle instances that other models can spare to a model that lacks
// capacity: that is faster than buying and costs nothing.
func (p *Planner) reassign(m ViewMsg, model string, needs map[string]int) {
	for _, other := range m.Needs {
		if other.Model == model {
			continue
		}
		for _, in := range p.capacityOf(m, other.Model).instances {
			if survivesDomainLoss(p.capacityOf(m, model).slots, needs[model]) {
				return
			}
			if in.Running == 0 && in.Ready && p.canServe(m, &in, model) && p.canSpare(p.capacityOf(m, other.Model), in, needs[other.Model]) {
				p.assigned[in.ID] = model
			}
		}
	}
}
