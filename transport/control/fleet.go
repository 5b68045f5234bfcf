package control

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/weldstream/weldstream/coordination/scale"
	"github.com/weldstream/weldstream/protocol"
)

// Fleet provides the planner with its input: the gateways' reports and the list of servers.
type Fleet struct {
	uplink    *Uplink
	log       zerolog.Logger
	planner   *scale.Planner
	baselines map[string]int         // baselines are the initial numbers of servers, as committed to the log.
	queried   map[string]bool        // queried are the services for which the log was queried and had no number.
	observed  map[string]serverCount // observed are the numbers of servers in the list, for services without a baseline.
}

// serverCount is a number of servers and the time since which it has been seen.
type serverCount struct {
	servers int
	since   time.Time
}

// baselineStableTime is how long the number of servers must be unchanged before it is
// committed as the initial one: the list grows while all servers start.
const baselineStableTime = 1500 * time.Millisecond

// NewFleet returns a fleet without pending orders.
func NewFleet(u *Uplink, log zerolog.Logger) *Fleet {
	return &Fleet{uplink: u, log: log, planner: u.newPlanner(), baselines: map[string]int{}, queried: map[string]bool{}, observed: map[string]serverCount{}}
}

// Reset discards the planner's state of an earlier term.
func (f *Fleet) Reset(time.Time) { f.planner = f.uplink.newPlanner() }

// PendingBaselines returns the services whose initial number of servers is unknown here,
// with the current number. The number is 0 until the log has been queried for a committed
// one, since the servers that a later leader finds are not the initial ones.
func (f *Fleet) PendingBaselines(now time.Time) []protocol.BaselineMsg {
	catalog := f.uplink.Catalog()
	servers, listed := f.uplink.Servers()
	if catalog == nil || !listed {
		return nil
	}
	var rows []protocol.BaselineMsg
	for i := range catalog.Services {
		s := &catalog.Services[i]
		if _, ok := f.baselines[s.Name]; ok || s.Scaling == nil {
			continue
		}
		if !f.queried[s.Name] {
			rows = append(rows, protocol.BaselineMsg{Service: s.Name})
			continue
		}
		// Whether servers may be ordered now does not affect the count.
		planned, _ := f.uplink.plannableServers(s.Name, servers)
		n := countServers(planned, s.Name)
		if c := f.observed[s.Name]; c.servers != n {
			f.observed[s.Name] = serverCount{servers: n, since: now}
		}
		if n > 0 && now.Sub(f.observed[s.Name].since) >= baselineStableTime {
			rows = append(rows, protocol.BaselineMsg{Service: s.Name, Servers: n})
		}
	}
	return rows
}

// SetBaseline records a service's initial number of servers, or with 0 that the log has
// none.
func (f *Fleet) SetBaseline(service string, servers int) {
	if servers == 0 {
		f.queried[service] = true
		return
	}
	f.baselines[service] = servers
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
		base, ok := f.baselines[s.Name]
		estimate := f.observed[s.Name].servers
		if s.Scaling == nil || (!ok && estimate == 0) {
			continue
		}
		planned, canPlan := f.uplink.plannableServers(s.Name, m.Servers)
		if !canPlan {
			continue
		}
		m.Servers = planned
		l := loads[s.Name]
		m.Services = append(m.Services, scale.Service{Spec: s, Running: l.Work, BegunAnswers: l.Begun, SlowAnswers: l.Slow, InitialServers: initialServers(ok, base, estimate), Provisional: !ok, RunningByRegion: l.Regions})
	}
	var orders []Order
	for _, o := range f.planner.Plan(m) {
		orders = append(orders, Order(o))
	}
	return orders
}

// RecordOrder records the result of an order.
func (f *Fleet) RecordOrder(o Order, err error, now time.Time) {
	f.planner.RecordOrder(scale.Order(o), err == nil, now)
}

// initialServers returns the committed number if there is one, else the estimate.
func initialServers(settled bool, base, estimate int) int {
	if settled {
		return base
	}
	return estimate
}

// countServers counts a service's full-price servers, because the planner itself may have
// ordered reclaimable ones. If there are only reclaimable ones, it counts those.
func countServers(servers []protocol.Instance, service string) int {
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
