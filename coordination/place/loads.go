package place

import (
	"math"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// Loads adds up how many requests each server has from all gateways. With many
// gateways each one sees a server's own word of its load too seldom to choose by
// it; together they know it exactly, as old as the last question of each.
type Loads struct {
	totals   map[string]int
	gateways map[string][]protocol.ServerLoad
}

// NewLoads returns loads of which nothing is known.
func NewLoads() *Loads {
	return &Loads{totals: map[string]int{}, gateways: map[string][]protocol.ServerLoad{}}
}

// Take notes what one gateway has under way, in place of what it told before.
func (l *Loads) Take(gateway string, rows []protocol.ServerLoad) {
	l.Drop(gateway)
	if len(rows) == 0 {
		return
	}
	l.gateways[gateway] = rows
	for _, r := range rows {
		l.totals[r.Server] += r.Running
	}
}

// Drop forgets a gateway.
func (l *Loads) Drop(gateway string) {
	for _, r := range l.gateways[gateway] {
		l.totals[r.Server] -= r.Running
		if l.totals[r.Server] <= 0 {
			delete(l.totals, r.Server)
		}
	}
	delete(l.gateways, gateway)
}

// Of returns how many requests a server has.
func (l *Loads) Of(server string) int { return l.totals[server] }

// Pack returns the loads of some servers, in their order, a byte each; more than
// fit into one are told as the most that do.
func (l *Loads) Pack(servers []string) []byte {
	packed := make([]byte, len(servers))
	for i, id := range servers {
		packed[i] = byte(min(l.totals[id], math.MaxUint8))
	}
	return packed
}

// Running returns the requests that this gateway has under way, and remembers
// which they are: loads that are told later hold them.
func (v *View) Running() []protocol.ServerLoad {
	if v == nil {
		return nil
	}
	var rows []protocol.ServerLoad
	for i := range v.Servers {
		if n := v.Servers[i].Cell.report(); n > 0 {
			rows = append(rows, protocol.ServerLoad{Server: v.Servers[i].ID, Running: n})
		}
	}
	return rows
}

// Share takes the loads of all servers in the view's order, as they were when
// Running was last asked, or later.
func (v *View) Share(loads []byte, now time.Time) {
	if v == nil || len(loads) != len(v.Servers) {
		return // They are of another list.
	}
	for i, n := range loads {
		v.Servers[i].Cell.shared(int(n), now)
	}
}
