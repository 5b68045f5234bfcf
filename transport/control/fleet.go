package control

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/weldstream/weldstream/coordination/scale"
)

// Fleet feeds the planner with what the gateways and the list tell.
type Fleet struct {
	uplink  *Uplink
	log     zerolog.Logger
	planner *scale.Planner
}

// NewFleet returns a fleet that has ordered nothing.
func NewFleet(u *Uplink, log zerolog.Logger) *Fleet {
	return &Fleet{uplink: u, log: log, planner: scale.New()}
}

// Reset forgets what an earlier term knew.
func (f *Fleet) Reset(time.Time) { f.planner = scale.New() }

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
		if s.Scaling != nil {
			l := loads[s.Name]
			m.Services = append(m.Services, scale.Service{Spec: s, Work: l.Work, Refused: l.Refused, Arrived: l.Arrived})
		}
	}
	var orders []Order
	for _, o := range f.planner.Plan(m) {
		orders = append(orders, Order(o))
	}
	return orders
}

// Ordered notes what became of an order.
func (f *Fleet) Ordered(o Order, err error, now time.Time) {
	f.planner.Ordered(scale.Order(o), err == nil, now)
}
