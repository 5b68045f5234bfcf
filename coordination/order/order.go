// Package order decides which orders the leader gives to backend servers.
//
// [Plan] compares what the operators declare with what the servers report and
// returns what is missing. It keeps no state: an order that was lost shows in
// the next report, and is planned again. Orders are such that a second one does
// no harm.
package order

import (
	"cmp"
	"slices"

	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/state"
)

// Order is one order for one server. Its fence is set when it is sent.
type Order struct {
	Server  string
	Address string
	Kind    protocol.OrderKind
	Name    string
}

// Plan returns the orders that are due, at most most of them, since the weight
// store that the servers load from is rate-limited. Adapters that the fewest
// servers hold come first.
func Plan(ix *state.Index, v *state.View, most int) []Order {
	if ix == nil {
		return nil
	}
	holders := countHolders(v)
	var orders []Order
	for i := range v.Servers {
		orders = append(orders, missing(ix, &v.Servers[i])...)
	}
	slices.SortStableFunc(orders, func(a, b Order) int { return cmp.Compare(holders[a.Name], holders[b.Name]) })
	return orders[:min(most, len(orders))]
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

// missing lists the declared adapters that an engine lacks, of models that it
// holds. A server that leaves, or has not reported, gets no order.
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
