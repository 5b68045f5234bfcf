// Package fleet plans which instances to buy and which to give back to the
// platform.
//
// Only the leader runs a [Planner]. From the existing instances, the demand and
// the platform's offers it computes orders. It does no I/O and reads no clock.
// Three rules determine its plan for each model:
//
//   - Capacity survives the loss of any one failure domain: the instances of the
//     other domains, including those that are starting, cover the need. Instances
//     are therefore spread over domains, and the number of domains is chosen by
//     price: over m domains the capacity bought is m/(m-1) times the need, so a
//     fourth domain pays off unless it is much more expensive.
//   - Reclaimable instances provide both the need and the reserve. On-demand
//     instances are bought only while the need itself is not covered and
//     reclaimable ones are refused, and they are given back first.
//   - A refusal closes an offer for a backoff that doubles each time. The next
//     cheapest offer is used in the same round.
//
// A new leader learns of its predecessor's orders only from the platform's list,
// which lags; it therefore observes for a settling time before it buys.
package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Config tunes a planner.
type Config struct {
	Headroom     float64       // Headroom is the spare capacity above the demand, as a fraction of it.
	OnDemand     bool          // OnDemand allows on-demand instances.
	MaxInstances int           // MaxInstances limits the instances, including those that are starting.
	Settle       time.Duration // Settle is how long a new leader observes before it buys: the lag of the platform's list.
	Boot         time.Duration // Boot is how long a started instance may take to appear in the list.
	Surplus      time.Duration // Surplus is how long an instance must be surplus before it is drained.
	Drain        time.Duration // Drain is the minimum time an instance is drained before it is given back, because reports lag.
	PeakHalfLife time.Duration // PeakHalfLife is the half-life of a past demand peak.
	MaxLoads     int           // MaxLoads limits the instances that load weights at once: the weight store is rate-limited.
	FirstBackoff time.Duration // FirstBackoff is how long the first refusal closes an offer.
	MaxBackoff   time.Duration // MaxBackoff is the longest time that a refusal closes an offer.
}

// DefaultConfig returns the settings that the experiment supports; see
// docs/design/0009-fleet.md.
func DefaultConfig() Config {
	return Config{
		Headroom:     0.15,
		MaxInstances: 1000,
		Settle:       30 * time.Second,
		Boot:         5 * time.Minute,
		Surplus:      5 * time.Minute,
		Drain:        10 * time.Second,
		PeakHalfLife: 10 * time.Minute,
		MaxLoads:     4,
		FirstBackoff: 15 * time.Second,
		MaxBackoff:   10 * time.Minute,
	}
}

// Planner is the leader's view of the fleet. [Planner.Update] is deterministic
// and changes the planner in place.
type Planner struct {
	cfg           Config
	startedAt     time.Time
	lastOrder     uint64
	orders        map[uint64]*pending
	backoffs      map[offerKey]backoff
	peaks         map[string]peak
	surplusSince  map[string]time.Time // surplusSince is since when an instance has been surplus, by ID.
	assigned      map[string]string    // assigned is the model that an instance was bought for or reassigned to, by ID.
	drainingSince map[string]time.Time // drainingSince is since when an instance has been draining, by ID.
}

// pending is an order whose instance the platform's list does not show yet.
type pending struct {
	StartCmd
	id string
	at time.Time
}

// offerKey identifies an offer.
type offerKey struct {
	domain string
	class  string
	market Market
}

// backoff is the time until which an offer is not requested, and its number of
// refusals.
type backoff struct {
	until time.Time
	times int
}

// peak is a model's recent peak demand, which decays exponentially.
type peak struct {
	slots float64
	at    time.Time
}

// New returns a planner without any state.
func New(cfg Config) *Planner {
	return &Planner{
		cfg:           cfg,
		orders:        map[uint64]*pending{},
		backoffs:      map[offerKey]backoff{},
		peaks:         map[string]peak{},
		surplusSince:  map[string]time.Time{},
		assigned:      map[string]string{},
		drainingSince: map[string]time.Time{},
	}
}

// Update applies a message and returns the commands to execute.
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
	p.assigned[m.ID] = o.Model
	delete(p.backoffs, o.key())
}

// refused closes the offer for its backoff. An order whose answer was lost counts
// as starting until its instance would have appeared in the list.
func (p *Planner) refused(m RefusedMsg) {
	o := p.orders[m.Order]
	if o == nil || m.Lost {
		return
	}
	delete(p.orders, m.Order)
	c := p.backoffs[o.key()]
	if m.Now.Before(c.until) {
		return // The order was sent before the first refusal arrived.
	}
	c.times++
	c.until = m.Now.Add(min(p.cfg.MaxBackoff, p.cfg.FirstBackoff<<min(c.times-1, 16)))
	p.backoffs[o.key()] = c
}

func (o *pending) key() offerKey { return offerKey{o.Domain, o.Class, o.Market} }

func (p *Planner) view(m ViewMsg) []Cmd {
	if p.startedAt.IsZero() {
		p.startedAt = m.Now
	}
	p.prune(m)
	p.adopt(m)
	needs := map[string]int{}
	for _, need := range m.Needs {
		needs[need.Model] = p.need(need, m.Now)
	}
	if m.Now.Sub(p.startedAt) < p.cfg.Settle {
		return p.planLoads(m)
	}
	var cmds []Cmd
	for _, need := range m.Needs {
		p.reassign(m, need.Model, needs)
	}
	for _, need := range m.Needs {
		have := p.capacityOf(m, need.Model)
		cmds = append(cmds, p.buy(m, have, needs[need.Model])...)
		cmds = append(cmds, p.shrink(m, have, needs[need.Model])...)
	}
	cmds = append(cmds, p.planLoads(m)...)
	return append(cmds, p.giveBack(m)...)
}

// prune deletes orders whose instance is listed or did not appear in time, and the
// state of instances that no longer exist.
func (p *Planner) prune(m ViewMsg) {
	listed := map[string]bool{}
	for i := range m.Instances {
		listed[m.Instances[i].ID] = true
	}
	for n, o := range p.orders {
		if listed[o.id] || m.Now.Sub(o.at) > p.cfg.Boot {
			delete(p.orders, n)
		}
	}
	starting := map[string]bool{}
	for _, o := range p.orders {
		starting[o.id] = true
	}
	for id := range p.assigned {
		if !listed[id] && !starting[id] {
			delete(p.assigned, id)
		}
	}
	for id := range p.drainingSince {
		if !listed[id] {
			delete(p.drainingSince, id)
		}
	}
	for id := range p.surplusSince {
		if !listed[id] {
			delete(p.surplusSince, id)
		}
	}
}

// need returns the number of slots that a model should have: the recent peak
// demand plus headroom. It rises at once and decays slowly, so that no instance is
// given back during a short pause.
func (p *Planner) need(n Need, now time.Time) int {
	pk := p.peaks[n.Model]
	if !pk.at.IsZero() {
		pk.slots *= math.Exp2(-float64(now.Sub(pk.at)) / float64(p.cfg.PeakHalfLife))
	}
	pk.slots, pk.at = max(pk.slots, float64(n.Slots)), now
	p.peaks[n.Model] = pk
	return max(n.Floor, int(math.Ceil(pk.slots*(1+p.cfg.Headroom))))
}

// capacity is the capacity of one model.
type capacity struct {
	model       string
	slots       map[string]int // slots are the slots by failure domain.
	reclaimable map[string]int // reclaimable are the slots that are not on demand, by failure domain.
	total       int
	instances   []Instance
	class       map[string]Class
}

// capacityOf adds up a model's instances and pending orders. Leaving and draining
// instances do not count.
func (p *Planner) capacityOf(m ViewMsg, model string) *capacity {
	have := &capacity{model: model, slots: map[string]int{}, reclaimable: map[string]int{}, class: map[string]Class{}}
	for _, c := range m.Classes {
		if slices.Contains(c.Models, model) {
			have.class[c.Name] = c
		}
	}
	for _, in := range m.Instances {
		if c, ok := have.class[in.Class]; ok && !in.Leaving && p.drainingSince[in.ID].IsZero() && p.serves(&in, model) {
			have.add(in.Domain, in.Market, c.Slots)
			have.instances = append(have.instances, in)
		}
	}
	for _, o := range p.orders {
		if o.Model == model {
			have.add(o.Domain, o.Market, have.class[o.Class].Slots)
		}
	}
	return have
}

func (have *capacity) add(domain string, market Market, slots int) {
	have.slots[domain] += slots
	have.total += slots
	if market != OnDemand {
		have.reclaimable[domain] += slots
	}
}

// serves reports whether an instance belongs to a model: it was bought for it or
// reassigned to it or, if neither, has it loaded.
func (p *Planner) serves(in *Instance, model string) bool {
	if assigned := p.assigned[in.ID]; assigned != "" {
		return assigned == model
	}
	return slices.Contains(in.Models, model)
}

// survivesDomainLoss reports whether the slots still cover the need after the loss
// of any one failure domain.
func survivesDomainLoss(slots map[string]int, need int) bool {
	total, most := 0, 0
	for _, n := range slots {
		total += n
		most = max(most, n)
	}
	return total-most >= need
}

// buy orders the missing instances.
func (p *Planner) buy(m ViewMsg, have *capacity, need int) []Cmd {
	var cmds []Cmd
	for _, o := range p.reserve(m, have, need) {
		cmds = append(cmds, p.start(m, have, o)...)
	}
	if !p.cfg.OnDemand {
		return cmds
	}
	for have.total < need {
		o, ok := p.cheapest(m, have, OnDemand, nil)
		if !ok {
			break
		}
		more := p.start(m, have, o)
		if more == nil {
			break
		}
		cmds = append(cmds, more...)
	}
	return cmds
}

func (p *Planner) start(m ViewMsg, have *capacity, o Offer) []Cmd {
	if len(m.Instances)+len(p.orders) >= p.cfg.MaxInstances {
		return nil
	}
	p.lastOrder++
	cmd := StartCmd{Order: p.lastOrder, Domain: o.Domain, Class: o.Class, Market: o.Market, Model: have.model}
	p.orders[p.lastOrder] = &pending{StartCmd: cmd, at: m.Now}
	have.add(o.Domain, o.Market, have.class[o.Class].Slots)
	return []Cmd{cmd}
}

// reserve returns the cheapest reclaimable offers with which the need survives the
// loss of any one domain. If each domain is counted up to a ceiling only, and the
// total still reaches the need plus one ceiling, any one domain can be lost. Each
// number of domains has its own ceiling; the cheapest result is used. On-demand
// instances do not count: they only bridge the time until reclaimable ones are
// available again.
func (p *Planner) reserve(m ViewMsg, have *capacity, need int) []Offer {
	if need == 0 || survivesDomainLoss(have.reclaimable, need) {
		return nil
	}
	var best []Offer
	bestMissing, bestCost := math.MaxInt, math.Inf(1)
	for domains := 2; domains <= max(2, p.domains(m, have)); domains++ {
		ceiling := (need + domains - 2) / (domains - 1)
		offers, missing, cost := p.fill(m, have, need, ceiling)
		if missing < bestMissing || (missing == bestMissing && cost < bestCost) {
			best, bestMissing, bestCost = offers, missing, cost
		}
	}
	return best
}

// domains returns the number of failure domains with offers for the model.
func (p *Planner) domains(m ViewMsg, have *capacity) int {
	seen := map[string]bool{}
	for _, o := range m.Offers {
		if _, ok := have.class[o.Class]; ok {
			seen[o.Domain] = true
		}
	}
	return len(seen)
}

// fill selects the cheapest offers, up to the ceiling in each domain. It returns
// them with the slots still missing and the hourly cost.
func (p *Planner) fill(m ViewMsg, have *capacity, need, ceiling int) (offers []Offer, missing int, cost float64) {
	slots := map[string]int{}
	missing = need + ceiling
	for domain, n := range have.reclaimable {
		slots[domain] = n
		missing -= min(n, ceiling)
	}
	for missing > 0 {
		o, ok := p.cheapest(m, have, Reclaimable, func(domain string) bool { return slots[domain] < ceiling })
		if !ok {
			return offers, missing, cost
		}
		before := min(slots[o.Domain], ceiling)
		slots[o.Domain] += have.class[o.Class].Slots
		missing -= min(slots[o.Domain], ceiling) - before
		offers, cost = append(offers, o), cost+o.Hourly
	}
	return offers, 0, cost
}

// cheapest returns the offer with the lowest price per slot that is not closed by
// a backoff.
func (p *Planner) cheapest(m ViewMsg, have *capacity, market Market, fits func(domain string) bool) (Offer, bool) {
	best, found := Offer{}, false
	for _, o := range m.Offers {
		c, ok := have.class[o.Class]
		if !ok || c.Slots == 0 || o.Market != market || m.Now.Before(p.backoffs[offerKey{o.Domain, o.Class, o.Market}].until) {
			continue
		}
		if fits != nil && !fits(o.Domain) {
			continue
		}
		if !found || compareOffers(o, best, have) < 0 {
			best, found = o, true
		}
	}
	return best, found
}

// compareOffers orders offers by price per slot, then by the slots already in the
// domain, so that instances of equal price are spread.
func compareOffers(a, b Offer, have *capacity) int {
	return cmp.Or(
		cmp.Compare(a.Hourly/float64(have.class[a.Class].Slots), b.Hourly/float64(have.class[b.Class].Slots)),
		cmp.Compare(have.slots[a.Domain], have.slots[b.Domain]),
		cmp.Compare(a.Domain, b.Domain),
		cmp.Compare(a.Class, b.Class),
	)
}
