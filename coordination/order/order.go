// Package order decides which orders the leader sends to backend servers.
//
// [Plan] compares the configuration with the servers' reports and returns orders
// for what is missing. It keeps no state: if an order is lost, the next report
// shows that its effect is missing, and it is planned again. Orders are
// idempotent.
package order

import (
	"cmp"
	"slices"

	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/state"
)

// Order is an order for one server. Its fencing token is set when it is sent.
type Order struct {
	Server  string
	Address string
	Kind    protocol.OrderKind
	Name    string
}

// Plan returns up to limit orders that are due; the limit exists because the weight
// store from which the servers load is rate-limited. Adapters loaded on the fewest
// servers come first.
func Plan(ix *state.Index, v *state.View, limit int) []Order {
	if ix == nil {
		return nil
	}
	holders := countHolders(v)
	var orders []Order
	for i := range v.Servers {
		orders = append(orders, missing(ix, &v.Servers[i])...)
	}
	slices.SortStableFunc(orders, func(a, b Order) int { return cmp.Compare(holders[a.Name], holders[b.Name]) })
	return orders[:min(limit, len(orders))]
}

func countHolders(v *state.View) map[string]int {
	holders := map[string]int{}
	for i := range v.Servers {
		for _, a := range v.Servers[i].Report.Adapters {
			holders[a]++
		}
	}
	return holders
}

// missing returns orders for the configured adapters that an engine has not loaded,
// for the models that it has loaded. A server that is leaving, missed its latest
// report or has not reported yet gets no order.
func missing(ix *state.Index, s *state.Server) []Order {
	if s.Kind != protocol.InstanceEngine || s.Leaving || s.ReportAt.IsZero() || s.Missed > 0 {
		return nil
	}
	var orders []Order
	for _, a := range ix.Config.Adapters {
		if slices.Contains(s.Report.Models, a.Model) && !slices.Contains(s.Report.Adapters, a.Name) {
			orders = append(orders, Order{Server: s.ID, Address: s.Address, Kind: protocol.OrderLoadAdapter, Name: a.Name})
		}
	}
	return orders
}
