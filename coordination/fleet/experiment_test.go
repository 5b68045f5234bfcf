package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// This experiment simulates the first six hours of a day on a small, seeded market:
// four failure domains with random-walk prices, orders that are refused for a while,
// domains that reclaim all their reclaimable instances with 30 s notice, and one
// domain that fails without notice. The table is in testdata/experiment.golden and
// in docs/design/0009-fleet.md.

const (
	marketStep    = 5 * time.Second
	marketSpan    = 6 * time.Hour
	marketDomains = 4
	marketSlots   = 8
	bootSteps     = 12   // one minute from the order to the first report
	loadSteps     = 6    // half a minute to load weights
	noticeSteps   = 6    // from the notice to the reclaim
	lossAt        = 2160 // a domain fails after three hours
	lossLasts     = 180
	answerTokens  = 3000 // prompt and answer tokens recomputed for a request whose KV cache is lost
)

// marketInstance is an instance of the simulated market.
type marketInstance struct {
	Instance
	bootAt    int // bootAt is the step of its first report.
	loadAt    int // loadAt is the step at which its weights are loaded; 0 if loading has not started.
	reclaimAt int // reclaimAt is the step at which it is reclaimed; 0 if it is not.
	running   float64
}

type market struct {
	rnd          *rand.Rand
	step         int
	instances    []*marketInstance
	price        [marketDomains]float64
	refusesUntil [marketDomains]int // refusesUntil is until when reclaimable orders are refused.
	downUntil    [marketDomains]int // downUntil is until when all orders are refused.
	nextID       int
	score        marketScore
	served       []float64 // served are the slots served, by ten-minute window.
	demanded     []float64
}

type marketScore struct {
	cost, served, wanted, tokens float64
	starts, refusals             int
}

func newMarket(seed uint64) *market {
	m := &market{rnd: rand.New(rand.NewPCG(seed, 9))}
	for d := range m.price {
		m.price[d] = 0.30 + 0.05*float64(d)
	}
	n := int(marketSpan / (10 * time.Minute))
	m.served, m.demanded = make([]float64, n), make([]float64, n)
	return m
}

func marketTime(step int) time.Time { return time.Unix(0, 0).Add(time.Duration(step) * marketStep) }

func domainName(d int) string { return fmt.Sprint("zone-", d) }

// demand returns the demand in slots: low at night, with a morning peak.
func (m *market) demand() float64 {
	h := (time.Duration(m.step) * marketStep).Hours()
	morning := (h - 2.5) / 0.8
	w := 20 + 44*math.Exp(-morning*morning) + 3*math.Sin(h*9)
	return max(4, w)
}

// change moves prices, closes offers, reclaims instances and fails a domain.
func (m *market) change() {
	for d := range marketDomains {
		m.price[d] = min(0.7, max(0.2, m.price[d]+0.004*m.rnd.NormFloat64()))
		if m.rnd.Float64() < marketStep.Minutes()/30 {
			m.refusesUntil[d] = max(m.refusesUntil[d], m.step+int(m.rnd.ExpFloat64()*60))
		}
		if m.rnd.Float64() < marketStep.Hours()/2 {
			m.reclaim(d)
		}
	}
	if m.step == lossAt {
		m.failDomain(m.rnd.IntN(marketDomains))
	}
}

func (m *market) reclaim(d int) {
	m.refusesUntil[d] = m.step + 120
	for _, b := range m.instances {
		if b.Domain == domainName(d) && b.Market == Reclaimable && b.reclaimAt == 0 {
			b.reclaimAt, b.Leaving = m.step+noticeSteps, true
		}
	}
}

// failDomain fails a domain without notice: its requests are recomputed.
func (m *market) failDomain(d int) {
	m.downUntil[d], m.refusesUntil[d] = m.step+lossLasts, m.step+lossLasts
	m.instances = slices.DeleteFunc(m.instances, func(b *marketInstance) bool {
		if b.Domain == domainName(d) {
			m.score.tokens += b.running * answerTokens
		}
		return b.Domain == domainName(d)
	})
}

func (m *market) offers() []Offer {
	var offers []Offer
	for d := range marketDomains {
		offers = append(offers,
			Offer{Domain: domainName(d), Class: "gpu", Market: Reclaimable, Hourly: m.price[d]},
			Offer{Domain: domainName(d), Class: "gpu", Market: OnDemand, Hourly: 1})
	}
	return offers
}

// start buys an instance unless the market refuses.
func (m *market) start(domain string, how Market) *marketInstance {
	d := int(domain[len(domain)-1] - '0')
	refused := m.step < m.downUntil[d] || (how == Reclaimable && m.step < m.refusesUntil[d]) || (how == OnDemand && m.rnd.IntN(20) == 0)
	if refused {
		m.score.refusals++
		return nil
	}
	m.score.starts++
	m.nextID++
	b := &marketInstance{bootAt: m.step + bootSteps}
	b.ID, b.Domain, b.Class, b.Market = fmt.Sprintf("i%04d", m.nextID), domain, "gpu", how
	m.instances = append(m.instances, b)
	return b
}

// serve advances the instances by one step and adds up the served demand.
func (m *market) serve() {
	var ready []*marketInstance
	for _, b := range m.instances {
		b.Ready = m.step >= b.bootAt
		if b.loadAt > 0 && m.step >= b.loadAt {
			b.Models = []string{"m"}
		}
		b.Hourly = 1
		if b.Market == Reclaimable {
			b.Hourly = m.price[int(b.Domain[len(b.Domain)-1]-'0')]
		}
		m.score.cost += b.Hourly * marketStep.Hours()
		if len(b.Models) > 0 && !b.Leaving {
			ready = append(ready, b)
		}
	}
	wanted := m.demand()
	capacity := float64(len(ready) * marketSlots)
	served := min(wanted, capacity)
	for _, b := range ready {
		b.running = served / float64(len(ready))
		b.Running = int(b.running)
	}
	m.drain(wanted, capacity)
	m.score.served += served * marketStep.Hours()
	m.score.wanted += wanted * marketStep.Hours()
	m.served[m.step/120] += served
	m.demanded[m.step/120] += wanted
}

// drain moves the requests of leaving instances to spare capacity. Those still there
// when an instance is reclaimed are recomputed.
func (m *market) drain(wanted, capacity float64) {
	room := max(0, capacity-wanted)
	m.instances = slices.DeleteFunc(m.instances, func(b *marketInstance) bool {
		if !b.Leaving {
			return false
		}
		moved := min(room, b.running)
		b.running -= moved
		b.Running = int(math.Ceil(b.running))
		room -= moved
		if b.reclaimAt > 0 && m.step >= b.reclaimAt {
			m.score.tokens += b.running * answerTokens
			return true
		}
		return false
	})
}

// strategy returns the function that manages the fleet of a market in each step.
type strategy func(m *market) func()

// plannerStrategy runs the planner. The offers it sees and the markets it buys on can
// be mapped to others.
func plannerStrategy(cfg Config, mapOffers func([]Offer) []Offer, mapMarket func(Market) Market) strategy {
	return func(m *market) func() {
		p := New(cfg)
		return func() {
			v := ViewMsg{Now: marketTime(m.step), Offers: mapOffers(m.offers()), Classes: []Class{{Name: "gpu", Slots: marketSlots, Models: []string{"m"}}}}
			for _, b := range m.instances {
				in := b.Instance
				if mapMarket(Reclaimable) == OnDemand {
					in.Market = Reclaimable // Consistent with the mapped offers.
				}
				v.Instances = append(v.Instances, in)
			}
			v.Needs = []Need{{Model: "m", Slots: int(math.Ceil(m.demand())), Floor: 16}}
			for _, cmd := range p.Update(v) {
				m.execute(p, cmd, mapMarket)
			}
		}
	}
}

func (m *market) execute(p *Planner, cmd Cmd, mapMarket func(Market) Market) {
	switch cmd := cmd.(type) {
	case StartCmd:
		if b := m.start(cmd.Domain, mapMarket(cmd.Market)); b != nil {
			p.Update(StartedMsg{Order: cmd.Order, ID: b.ID, Now: marketTime(m.step)})
			return
		}
		p.Update(RefusedMsg{Order: cmd.Order, Now: marketTime(m.step)})
	case LoadCmd:
		if b := m.find(cmd.ID); b != nil && b.loadAt == 0 {
			b.loadAt = m.step + loadSteps
		}
	case DrainCmd:
		if b := m.find(cmd.ID); b != nil {
			b.Leaving = true
		}
	case GiveBackCmd:
		m.instances = slices.DeleteFunc(m.instances, func(b *marketInstance) bool { return b.ID == cmd.ID })
	}
}

func (m *market) find(id string) *marketInstance {
	for _, b := range m.instances {
		if b.ID == id {
			return b
		}
	}
	return nil
}

// cheapestOnly buys the demand plus headroom in the currently cheapest domain and
// gives back instances that have been surplus for a while.
func cheapestOnly(m *market) func() {
	surplus := 0
	return func() {
		target := int(math.Ceil(m.demand() * 1.15 / marketSlots))
		have := 0
		for _, b := range m.instances {
			if !b.Leaving {
				have++
			}
			if b.Ready && b.loadAt == 0 {
				b.loadAt = m.step + loadSteps
			}
		}
		cheapest := 0
		for d := range m.price {
			if m.price[d] < m.price[cheapest] {
				cheapest = d
			}
		}
		for ; have < target; have++ {
			if m.start(domainName(cheapest), Reclaimable) == nil {
				break
			}
		}
		if surplus++; have <= target {
			surplus = 0
		}
		if surplus > 60 && len(m.instances) > 0 {
			m.instances = m.instances[1:]
			surplus = 0
		}
	}
}

func keepOffers(o []Offer) []Offer { return o }
func keepMarket(m Market) Market   { return m }

// onDemandOnly replaces the reclaimable offers by the on-demand ones.
func onDemandOnly(offers []Offer) []Offer {
	var out []Offer
	for _, o := range offers {
		if o.Market == OnDemand {
			o.Market = Reclaimable
			out = append(out, o)
		}
	}
	return out
}

// simulate runs a strategy with one seed.
func simulate(seed uint64, s strategy) *market {
	m := newMarket(seed)
	act := s(m)
	for m.step = 0; m.step < int(marketSpan/marketStep); m.step++ {
		m.change()
		act()
		m.serve()
	}
	return m
}

// worst returns the lowest percentage of demand served in any ten-minute window after
// the first twenty minutes.
func (m *market) worst() float64 {
	worst := 1.0
	for i := 2; i < len(m.served); i++ {
		worst = min(worst, m.served[i]/m.demanded[i])
	}
	return 100 * worst
}

func medianAndRange(list []float64) string {
	slices.Sort(list)
	return fmt.Sprintf("%.1f (%.1f-%.1f)", list[len(list)/2], list[0], list[len(list)-1])
}

// TestExperiment compares purchase strategies. Its table is quoted in the docs.
func TestExperiment(t *testing.T) {
	const seeds = 15
	with, without := DefaultConfig(), DefaultConfig()
	with.OnDemand = true
	var out strings.Builder
	out.WriteString("| way | cost an hour | cost of a slot-hour served | within target % | worst ten minutes % | tokens again, thousands | starts | refused |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, w := range []struct {
		name     string
		strategy strategy
	}{
		{"all on demand", plannerStrategy(without, onDemandOnly, func(Market) Market { return OnDemand })},
		{"reclaimable, cheapest domain", cheapestOnly},
		{"planner without on demand", plannerStrategy(without, keepOffers, keepMarket)},
		{"planner", plannerStrategy(with, keepOffers, keepMarket)},
	} {
		var cost, each, within, worst, tokens, starts, refused []float64
		for seed := range uint64(seeds) {
			m := simulate(seed, w.strategy)
			cost = append(cost, m.score.cost/marketSpan.Hours())
			each = append(each, 100*m.score.cost/m.score.served)
			within = append(within, 100*m.score.served/m.score.wanted)
			worst = append(worst, m.worst())
			tokens = append(tokens, m.score.tokens/1000)
			starts = append(starts, float64(m.score.starts))
			refused = append(refused, float64(m.score.refusals))
		}
		fmt.Fprintf(&out, "| %s |", w.name)
		for _, list := range [][]float64{cost, each, within, worst, tokens, starts, refused} {
			fmt.Fprintf(&out, " %s |", medianAndRange(list))
		}
		out.WriteString("\n")
	}
	t.Log("\n" + out.String())
	goldie.New(t).Assert(t, "experiment", []byte(out.String()))
}
