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

// This file plays a day's first six hours on a small, seeded market: four
// failure domains, prices that wander, starts that are refused for a while,
// domains whose reclaimable instances are all taken back on 30 s of notice, and
// one that fails without any. The table is in testdata/experiment.golden and in
// docs/design/0009-fleet.md.

const (
	marketStep    = 5 * time.Second
	marketSpan    = 6 * time.Hour
	marketDomains = 4
	marketSlots   = 8
	bootSteps     = 12   // a minute from the order to the first report
	loadSteps     = 6    // half a minute to load weights
	noticeSteps   = 6    // from the notice to the reclaim
	lossAt        = 2160 // the third hour: a domain fails
	lossLasts     = 180
	answerTokens  = 3000 // tokens of a request whose cache is lost, prompt and answer
)

// box is an instance of the fake market.
type box struct {
	Instance
	bootAt  int // bootAt is the step at which it reports.
	loadAt  int // loadAt is the step at which its weights are loaded; 0 before it loads.
	goneAt  int // goneAt is the step at which it is reclaimed; 0 for never.
	running float64
}

type market struct {
	rnd     *rand.Rand
	step    int
	boxes   []*box
	price   [marketDomains]float64
	shut    [marketDomains]int // shut is until when reclaimable starts are refused.
	down    [marketDomains]int // down is until when nothing starts.
	nextID  int
	score   marketScore
	windows []float64 // windows are the parts served, by ten minutes.
	asked   []float64
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
	m.windows, m.asked = make([]float64, n), make([]float64, n)
	return m
}

func marketTime(step int) time.Time { return time.Unix(0, 0).Add(time.Duration(step) * marketStep) }

func domainName(d int) string { return fmt.Sprint("zone-", d) }

// wanted is the demand in slots: a quiet night, the morning's docket, the day.
func (m *market) wanted() float64 {
	h := (time.Duration(m.step) * marketStep).Hours()
	morning := (h - 2.5) / 0.8
	w := 20 + 44*math.Exp(-morning*morning) + 3*math.Sin(h*9)
	return max(4, w)
}

// change moves prices and closes and opens domains.
func (m *market) change() {
	for d := range marketDomains {
		m.price[d] = min(0.7, max(0.2, m.price[d]+0.004*m.rnd.NormFloat64()))
		if m.rnd.Float64() < marketStep.Minutes()/30 {
			m.shut[d] = max(m.shut[d], m.step+int(m.rnd.ExpFloat64()*60))
		}
		if m.rnd.Float64() < marketStep.Hours()/2 {
			m.reclaim(d)
		}
	}
	if m.step == lossAt {
		m.lose(m.rnd.IntN(marketDomains))
	}
}

func (m *market) reclaim(d int) {
	m.shut[d] = m.step + 120
	for _, b := range m.boxes {
		if b.Domain == domainName(d) && b.Market == Reclaimable && b.goneAt == 0 {
			b.goneAt, b.Leaving = m.step+noticeSteps, true
		}
	}
}

// lose takes a domain without notice: what ran there is computed again.
func (m *market) lose(d int) {
	m.down[d], m.shut[d] = m.step+lossLasts, m.step+lossLasts
	m.boxes = slices.DeleteFunc(m.boxes, func(b *box) bool {
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
func (m *market) start(domain string, how Market) *box {
	d := int(domain[len(domain)-1] - '0')
	refused := m.step < m.down[d] || (how == Reclaimable && m.step < m.shut[d]) || (how == OnDemand && m.rnd.IntN(20) == 0)
	if refused {
		m.score.refusals++
		return nil
	}
	m.score.starts++
	m.nextID++
	b := &box{bootAt: m.step + bootSteps}
	b.ID, b.Domain, b.Class, b.Market = fmt.Sprintf("i%04d", m.nextID), domain, "gpu", how
	m.boxes = append(m.boxes, b)
	return b
}

// serve advances the instances by one step and adds up what was served.
func (m *market) serve() {
	var ready []*box
	for _, b := range m.boxes {
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
	wanted := m.wanted()
	capacity := float64(len(ready) * marketSlots)
	served := min(wanted, capacity)
	for _, b := range ready {
		b.running = served / float64(len(ready))
		b.Running = int(b.running)
	}
	m.depart(wanted, capacity)
	m.score.served += served * marketStep.Hours()
	m.score.wanted += wanted * marketStep.Hours()
	m.windows[m.step/120] += served
	m.asked[m.step/120] += wanted
}

// depart has leaving instances move what they run to where there is room; what
// they still have when they are taken is computed again.
func (m *market) depart(wanted, capacity float64) {
	room := max(0, capacity-wanted)
	m.boxes = slices.DeleteFunc(m.boxes, func(b *box) bool {
		if !b.Leaving {
			return false
		}
		moved := min(room, b.running)
		b.running -= moved
		b.Running = int(math.Ceil(b.running))
		room -= moved
		if b.goneAt > 0 && m.step >= b.goneAt {
			m.score.tokens += b.running * answerTokens
			return true
		}
		return false
	})
}

// way runs the fleet.
type way func(m *market) func()

// planned runs the planner. What it is told of the market may be changed.
func planned(cfg Config, see func([]Offer) []Offer, as func(Market) Market) way {
	return func(m *market) func() {
		p := New(cfg)
		return func() {
			v := ViewMsg{Now: marketTime(m.step), Offers: see(m.offers()), Classes: []Class{{Name: "gpu", Slots: marketSlots, Models: []string{"m"}}}}
			for _, b := range m.boxes {
				in := b.Instance
				if as(Reclaimable) == OnDemand {
					in.Market = Reclaimable // As the offers are shown.
				}
				v.Instances = append(v.Instances, in)
			}
			v.Needs = []Need{{Model: "m", Slots: int(math.Ceil(m.wanted())), Floor: 16}}
			for _, cmd := range p.Update(v) {
				m.carryOut(p, cmd, as)
			}
		}
	}
}

func (m *market) carryOut(p *Planner, cmd Cmd, as func(Market) Market) {
	switch cmd := cmd.(type) {
	case StartCmd:
		if b := m.start(cmd.Domain, as(cmd.Market)); b != nil {
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
		m.boxes = slices.DeleteFunc(m.boxes, func(b *box) bool { return b.ID == cmd.ID })
	}
}

func (m *market) find(id string) *box {
	for _, b := range m.boxes {
		if b.ID == id {
			return b
		}
	}
	return nil
}

// cheapestOnly keeps the need and its headroom in the domain that is the
// cheapest at the moment, and gives back what has been too many for a while.
func cheapestOnly(m *market) func() {
	surplus := 0
	return func() {
		target := int(math.Ceil(m.wanted() * 1.15 / marketSlots))
		have := 0
		for _, b := range m.boxes {
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
		if surplus > 60 && len(m.boxes) > 0 {
			m.boxes = m.boxes[1:]
			surplus = 0
		}
	}
}

func keepOffers(o []Offer) []Offer { return o }
func keepMarket(m Market) Market   { return m }

// onDemandOnly shows the planner on-demand offers in place of the others.
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

// play runs a way over one seed.
func play(seed uint64, w way) *market {
	m := newMarket(seed)
	act := w(m)
	for m.step = 0; m.step < int(marketSpan/marketStep); m.step++ {
		m.change()
		act()
		m.serve()
	}
	return m
}

// worst is the least part served in any ten minutes, after the first twenty.
func (m *market) worst() float64 {
	worst := 1.0
	for i := 2; i < len(m.windows); i++ {
		worst = min(worst, m.windows[i]/m.asked[i])
	}
	return 100 * worst
}

func spread(list []float64) string {
	slices.Sort(list)
	return fmt.Sprintf("%.1f (%.1f-%.1f)", list[len(list)/2], list[0], list[len(list)-1])
}

// TestExperiment prints the table and compares it with the one that the docs
// quote.
func TestExperiment(t *testing.T) {
	const seeds = 15
	with, without := DefaultConfig(), DefaultConfig()
	with.OnDemand = true
	var out strings.Builder
	out.WriteString("| way | cost an hour | cost of a slot-hour served | within target % | worst ten minutes % | tokens again, thousands | starts | refused |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, w := range []struct {
		name string
		way  way
	}{
		{"all on demand", planned(without, onDemandOnly, func(Market) Market { return OnDemand })},
		{"reclaimable, cheapest domain", cheapestOnly},
		{"planner without on demand", planned(without, keepOffers, keepMarket)},
		{"planner", planned(with, keepOffers, keepMarket)},
	} {
		var cost, each, within, worst, tokens, starts, refused []float64
		for seed := range uint64(seeds) {
			m := play(seed, w.way)
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
			fmt.Fprintf(&out, " %s |", spread(list))
		}
		out.WriteString("\n")
	}
	t.Log("\n" + out.String())
	goldie.New(t).Assert(t, "experiment", []byte(out.String()))
}
