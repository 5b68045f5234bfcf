package control

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/weldstream/weldstream/coordination/scale"
	"github.com/weldstream/weldstream/protocol"
)

// Fleet feeds the planner with what the gateways and the list tell.
type Fleet struct {
	uplink  *Uplink
	log     zerolog.Logger
	planner *scale.Planner
	bases   map[string]int  // bases are the first numbers of servers, as settled in the log.
	asked   map[string]bool // asked are services of which the log was asked, and had no number.
	first   map[string]count
}

// count is how many servers a service had, and since when.
type count struct {
	servers int
	since   time.Time
}

// baseSteady is how long a first number of servers must have stayed the same:
// the list fills up while all servers start.
const baseSteady = 1500 * time.Millisecond

// NewFleet returns a fleet that has ordered nothing.
func NewFleet(u *Uplink, log zerolog.Logger) *Fleet {
	return &Fleet{uplink: u, log: log, planner: u.planner(), bases: map[string]int{}, asked: map[string]bool{}, first: map[string]count{}}
}

// Reset forgets what an earlier term knew.
func (f *Fleet) Reset(time.Time) { f.planner = f.uplink.planner() }

// Unsettled returns the services whose first number of servers is not known here,
// with the number that there is. The number is 0 until the log was asked whether
// one is settled: what a later leader finds is not what was there first.
func (f *Fleet) Unsettled(now time.Time) []protocol.BaselineMsg {
	catalog := f.uplink.Catalog()
	servers, listed := f.uplink.Servers()
	if catalog == nil || !listed {
		return nil
	}
	var rows []protocol.BaselineMsg
	for i := range catalog.Services {
		s := &catalog.Services[i]
		if _, ok := f.bases[s.Name]; ok || s.Scaling == nil {
			continue
		}
		if !f.asked[s.Name] {
			rows = append(rows, protocol.BaselineMsg{Service: s.Name})
			continue
		}
		// Whether servers may be ordered now does not matter to how many there are.
		planned, _ := f.uplink.planned(s.Name, servers)
		n := standing(planned, s.Name)
		if c := f.first[s.Name]; c.servers != n {
			f.first[s.Name] = count{servers: n, since: now}
		}
		if n > 0 && now.Sub(f.first[s.Name].since) >= baseSteady {
			rows = append(rows, protocol.BaselineMsg{Service: s.Name, Servers: n})
		}
	}
	return rows
}

// Settled notes a service's first number of servers, or that the log has none.
func (f *Fleet) Settled(service string, servers int) {
	if servers == 0 {
		f.asked[service] = true
		return
	}
	f.bases[service] = servers
}

// Plan returns the orders to send now.
func (f *Fleet) Plan(now time.Time) []Order {
	catalog := f.uplink.Catalog()
	servers, listed := f.uplink.Servers()
	if catalog == nil || !listed {
		return nil
	}
	m := scale.PlanMsg{Servers: servers, Now: now}
	loads := f.uplink.Loads()
	for i := range catalog.Services {
		s := &catalog.Services[i]
		base, ok := f.bases[s.Name]
		guess := f.first[s.Name].servers
		if s.Scaling == nil || (!ok && guess == 0) {
			continue
		}
		planned, may := f.uplink.planned(s.Name, m.Servers)
		if !may {
			continue
		}
		m.Servers = planned
		l := loads[s.Name]
		m.Services = append(m.Services, scale.Service{Spec: s, Running: l.Work, BegunAnswers: l.Begun, SlowAnswers: l.Slow, InitialServers: pick(ok, base, guess), Provisional: !ok, RunningByRegion: l.Regions})
	}
	var orders []Order
	for _, o := range f.planner.Plan(m) {
		orders = append(orders, Order(o))
	}
	return orders
}

// Ordered notes what became of an order.
func (f *Fleet) Ordered(o Order, err error, now time.Time) {
	f.planner.RecordOrder(scale.Order(o), err == nil, now)
}

// pick returns the settled number if there is one, else the guess.
func pick(settled bool, base, guess int) int {
	if settled {
		return base
	}
	return guess
}

// standing counts a service's servers at the full price: reclaimable ones may
// have been ordered here. Where there are no others, they count.
func standing(servers []protocol.Instance, service string) int {
	full, reclaimable := 0, 0
	for i := range servers {
		switch {
		case servers[i].Service != service || servers[i].Leaving:
		case servers[i].Market == scale.MarketReclaimable:
			reclaimable++
		default:
			full++
		}
	}
	if full == 0 {
		return reclaimable
	}
	return full
}
