// Package fleet decides which instances to buy and which to give back.
//
// The leader alone runs a [Planner]. It looks at what there is, what is asked
// for and what the platform sells, and returns orders; it holds no clock and
// calls nobody. Three rules shape its plan for each model:
//
//   - The loss of any one failure domain leaves enough: what the others hold,
//     or have on the way, covers the need. So instances are spread, and the
//     spread is chosen by price: over m domains the need costs m/(m-1) times
//     itself, so that a fourth domain pays off unless it is far dearer.
//   - Reclaimable instances carry need and reserve. On-demand ones are bought
//     only while the need itself is not covered and the reclaimable ones are
//     refused, and they are given back first.
//   - A refusal closes an offer for a while, twice as long each time. The next
//     cheapest takes its place in the same round.
//
// A new leader knows nothing of the orders of its predecessor but what the
// platform's list shows, which lags; so it looks on for a while before it buys.
package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Config tunes a planner.
type Config struct {
	Headroom     float64       // Headroom is what is held above the need, as a part of it.
	OnDemand     bool          // OnDemand allows on-demand instances.
	MaxInstances int           // Most bounds the instances, those on the way with them.
	Settle       time.Duration // Settle is how long a new leader looks on: the lag of the platform's list.
	Boot         time.Duration // Boot is how long a started instance may take to show up in the list.
	Surplus      time.Duration // Surplus is how long an instance must be one too many before it is given back.
	Drain        time.Duration // Drain is how long one that is given up is kept at the least: reports lag.
	Forget       time.Duration // Forget is the time in which a need that has gone falls to a half.
	Loads        int           // Loads is how many instances load weights at once: the weight store is rate-limited.
	FirstBackoff time.Duration // FirstBackoff is how long the first refusal closes an offer.
	MostBackoff  time.Duration // MostBackoff is the longest such time.
}

// DefaultConfig returns the settings that the experiment argues for; see
// docs/design/0009-fleet.md.
func DefaultConfig() Config {
	return Config{
		Headroom:     0.15,
		MaxInstances: 1000,
		Settle:       30 * time.Second,
		Boot:         5 * time.Minute,
		Surplus:      5 * time.Minute,
		Drain:        10 * time.Second,
		Forget:       10 * time.Minute,
		Loads:        4,
		FirstBackoff: 15 * time.Second,
		MostBackoff:  10 * time.Minute,
	}
}

// Planner is the leader's view of the fleet. [Planner.Update] is deterministic
// and changes the planner in place.
type Planner struct {
	cfg      Config
	began    time.Time
	order    uint64
	orders   map[uint64]*pending
	backoffs map[offerKey]backoff
	peaks    map[string]peak
	surplus  map[string]time.Time // surplus is since when an instance is one too many.
	models   map[string]string    // models are what instances were bought for, or turned to.
	draining map[string]time.Time // draining are instances that are given up, and since when.
}

// pending is a purchase that the platform's list does not show yet.
type pending struct {
	StartCmd
	id string
	at time.Time
}

// offerKey names an offer.
type offerKey struct {
	domain string
	class  string
	market Market
}

// backoff is how long an offer is not asked for, after refusals.
type backoff struct {
	until time.Time
	times int
}

// peak is the need of the recent past, falling.
type peak struct {
	slots float64
	at    time.Time
}

// New returns a planner that has seen nothing.
func New(cfg Config) *Planner {
	return &Planner{
		cfg:      cfg,
		orders:   map[uint64]*pending{},
		backoffs: map[offerKey]backoff{},
		peaks:    map[string]peak{},
		surplus:  map[string]time.Time{},
		models:   map[string]string{},
		draining: map[string]time.Time{},
	}
}

// Update applies a message and returns what to do.
func (p *Planner) Update(m Msg) []Cmd {
	switch m := m.(type) {
	case ViewMsg:
		return p.view(m)
	case StartedMsg:
		p.started(m)
	case RefusedMsg:
		p.refused(m)
	}
	return nil
}

func (p *Planner) started(m StartedMsg) {
	o := p.orders[m.Order]
	if o == nil {
		return
	}
	o.id, o.at = m.ID, m.Now
	p.models[m.ID] = o.Model
	delete(p.backoffs, o.key())
}

// refused closes the offer. An order whose answer was lost counts as on its
// way, until it would have shown up.
func (p *Planner) refused(m RefusedMsg) {
	o := p.orders[m.Order]
	if o == nil || m.Lost {
		return
	}
	delete(p.orders, m.Order)
	c := p.backoffs[o.key()]
	if m.Now.Before(c.until) {
		return // It was on its way when the first refusal came.
	}
	c.times++
	c.until = m.Now.Add(min(p.cfg.MostBackoff, p.cfg.FirstBackoff<<min(c.times-1, 16)))
	p.backoffs[o.key()] = c
}

func (o *pending) key() offerKey { return offerKey{o.Domain, o.Class, o.Market} }

func (p *Planner) view(m ViewMsg) []Cmd {
	if p.began.IsZero() {
		p.began = m.Now
	}
	p.tidy(m)
	p.adopt(m)
	needs := map[string]int{}
	for _, need := range m.Needs {
		needs[need.Model] = p.need(need, m.Now)
	}
	if m.Now.Sub(p.began) < p.cfg.Settle {
		return p.loads(m)
	}
	var cmds []Cmd
	for _, need := range m.Needs {
		p.turn(m, need.Model, needs)
	}
	for _, need := range m.Needs {
		g := p.gather(m, need.Model)
		cmds = append(cmds, p.buy(m, g, needs[need.Model])...)
		cmds = append(cmds, p.shrink(m, g, needs[need.Model])...)
	}
	cmds = append(cmds, p.loads(m)...)
	return append(cmds, p.giveBack(m)...)
}

// tidy forgets orders that the list shows or that came to nothing, and what
// belongs to instances that are gone.
func (p *Planner) tidy(m ViewMsg) {
	listed := map[string]bool{}
	for i := range m.Instances {
		listed[m.Instances[i].ID] = true
	}
	for n, o := range p.orders {
		if listed[o.id] || m.Now.Sub(o.at) > p.cfg.Boot {
			delete(p.orders, n)
		}
	}
	coming := map[string]bool{}
	for _, o := range p.orders {
		coming[o.id] = true
	}
	for id := range p.models {
		if !listed[id] && !coming[id] {
			delete(p.models, id)
		}
	}
	for id := range p.draining {
		if !listed[id] {
			delete(p.draining, id)
		}
	}
	for id := range p.surplus {
		if !listed[id] {
			delete(p.surplus, id)
		}
	}
}

// need is how many slots a model should have: the recent peak with headroom.
// It rises at once and falls slowly, so that a pause gives nothing back.
func (p *Planner) need(n Need, now time.Time) int {
	pk := p.peaks[n.Model]
	if !pk.at.IsZero() {
		pk.slots *= math.Exp2(-float64(now.Sub(pk.at)) / float64(p.cfg.Forget))
	}
	pk.slots, pk.at = max(pk.slots, float64(n.Slots)), now
	p.peaks[n.Model] = pk
	return max(n.Floor, int(math.Ceil(pk.slots*(1+p.cfg.Headroom))))
}

// held is what one model has, by failure domain.
type held struct {
	model     string
	slots     map[string]int
	lasting   map[string]int // lasting are those of slots that are not on demand.
	total     int
	instances []Instance
	class     map[string]Class
}

// gather adds up what a model has or has on the way. Instances that leave do
// not count.
func (p *Planner) gather(m ViewMsg, model string) *held {
	g := &held{model: model, slots: map[string]int{}, lasting: map[string]int{}, class: map[string]Class{}}
	for _, c := range m.Classes {
		if slices.Contains(c.Models, model) {
			g.class[c.Name] = c
		}
	}
	for _, in := range m.Instances {
		if c, ok := g.class[in.Class]; ok && !in.Leaving && p.draining[in.ID].IsZero() && p.serves(&in, model) {
			g.add(in.Domain, in.Market, c.Slots)
			g.instances = append(g.instances, in)
		}
	}
	for _, o := range p.orders {
		if o.Model == model {
			g.add(o.Domain, o.Market, g.class[o.Class].Slots)
		}
	}
	return g
}

func (g *held) add(domain string, market Market, slots int) {
	g.slots[domain] += slots
	g.total += slots
	if market != OnDemand {
		g.lasting[domain] += slots
	}
}

// serves reports whether an instance is a model's: it was bought for it or
// turned to it, or has it loaded.
func (p *Planner) serves(in *Instance, model string) bool {
	if meant := p.models[in.ID]; meant != "" {
		return meant == model
	}
	return slices.Contains(in.Models, model)
}

// survives reports whether the loss of any one domain leaves the need covered.
func survives(slots map[string]int, need int) bool {
	total, most := 0, 0
	for _, n := range slots {
		total += n
		most = max(most, n)
	}
	return total-most >= need
}

// buy orders what is missing.
func (p *Planner) buy(m ViewMsg, g *held, need int) []Cmd {
	var cmds []Cmd
	for _, o := range p.reserve(m, g, need) {
		cmds = append(cmds, p.start(m, g, o)...)
	}
	if !p.cfg.OnDemand {
		return cmds
	}
	for g.total < need {
		o, ok := p.cheapest(m, g, OnDemand, nil)
		if !ok {
			break
		}
		more := p.start(m, g, o)
		if more == nil {
			break
		}
		cmds = append(cmds, more...)
	}
	return cmds
}

func (p *Planner) start(m ViewMsg, g *held, o Offer) []Cmd {
	if len(m.Instances)+len(p.orders) >= p.cfg.MaxInstances {
		return nil
	}
	p.order++
	cmd := StartCmd{Order: p.order, Domain: o.Domain, Class: o.Class, Market: o.Market, Model: g.model}
	p.orders[p.order] = &pending{StartCmd: cmd, at: m.Now}
	g.add(o.Domain, o.Market, g.class[o.Class].Slots)
	return []Cmd{cmd}
}

// reserve returns the cheapest reclaimable offers that make the loss of any
// one domain bearable. If no domain counts for more than a ceiling, and all
// together, so counted, for the need and one ceiling more, then any one may go.
// Each number of domains has its ceiling; the cheapest is taken. On-demand
// instances do not count: they only bridge the time until reclaimable ones are
// to be had again.
func (p *Planner) reserve(m ViewMsg, g *held, need int) []Offer {
	if need == 0 || survives(g.lasting, need) {
		return nil
	}
	var best []Offer
	bestMissing, bestCost := math.MaxInt, math.Inf(1)
	for domains := 2; domains <= max(2, p.domains(m, g)); domains++ {
		ceiling := (need + domains - 2) / (domains - 1)
		offers, missing, cost := p.fill(m, g, need, ceiling)
		if missing < bestMissing || (missing == bestMissing && cost < bestCost) {
			best, bestMissing, bestCost = offers, missing, cost
		}
	}
	return best
}

// domains counts the failure domains in which the model could be.
func (p *Planner) domains(m ViewMsg, g *held) int {
	seen := map[string]bool{}
	for _, o := range m.Offers {
		if _, ok := g.class[o.Class]; ok {
			seen[o.Domain] = true
		}
	}
	return len(seen)
}

// fill buys in the cheapest domains, up to the ceiling in each.
func (p *Planner) fill(m ViewMsg, g *held, need, ceiling int) (offers []Offer, missing int, cost float64) {
	slots := map[string]int{}
	missing = need + ceiling
	for domain, n := range g.lasting {
		slots[domain] = n
		missing -= min(n, ceiling)
	}
	for missing > 0 {
		o, ok := p.cheapest(m, g, Reclaimable, func(domain string) bool { return slots[domain] < ceiling })
		if !ok {
			return offers, missing, cost
		}
		before := min(slots[o.Domain], ceiling)
		slots[o.Domain] += g.class[o.Class].Slots
		missing -= min(slots[o.Domain], ceiling) - before
		offers, cost = append(offers, o), cost+o.Hourly
	}
	return offers, 0, cost
}

// cheapest returns the open offer with the least price for a slot.
func (p *Planner) cheapest(m ViewMsg, g *held, market Market, fits func(domain string) bool) (Offer, bool) {
	best, found := Offer{}, false
	for _, o := range m.Offers {
		c, ok := g.class[o.Class]
		if !ok || c.Slots == 0 || o.Market != market || m.Now.Before(p.backoffs[offerKey{o.Domain, o.Class, o.Market}].until) {
			continue
		}
		if fits != nil && !fits(o.Domain) {
			continue
		}
		if !found || compareOffers(o, best, g) < 0 {
			best, found = o, true
		}
	}
	return best, found
}

// compareOffers orders by the price of a slot, then by what the domain has, so
// that equal prices spread.
func compareOffers(a, b Offer, g *held) int {
	return cmp.Or(
		cmp.Compare(a.Hourly/float64(g.class[a.Class].Slots), b.Hourly/float64(g.class[b.Class].Slots)),
		cmp.Compare(g.slots[a.Domain], g.slots[b.Domain]),
		cmp.Compare(a.Domain, b.Domain),
		cmp.Compare(a.Class, b.Class),
	)
}
