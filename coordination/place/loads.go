package place

import (
	"math"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// Loads adds up what all gateways know of the servers: how many requests each has,
// and who distrusts it. With many gateways each one sees a server's own report of
// its load too seldom to choose by it, and each would find out by itself, with its
// callers' requests, that a server fails.
type Loads struct {
	totals    map[string]int
	distrusts map[string]map[string]int // distrusts count gateways, by server and the gateways' domain.
	gateways  map[string]GatewayReport
	relays    map[string]*relayed
	relayOf   map[string]string          // relayOf names the relay that a gateway asks, by gateway; none for those that ask the leader.
	avoided   map[string]map[string]bool // avoided are the servers that the leader has a relay's gateways pass over, by their domain; see Replace.
}

// GatewayReport is what one gateway knows of the servers.
type GatewayReport struct {
	Domain    string                // Domain is the gateway's.
	Running   []protocol.ServerLoad // Running are its requests under way.
	Distrusts []string              // Distrusts are servers that it passes over.
}

// NewLoads returns loads of which nothing is known.
func NewLoads() *Loads {
	return &Loads{
		totals:    map[string]int{},
		distrusts: map[string]map[string]int{},
		gateways:  map[string]GatewayReport{},
		relays:    map[string]*relayed{},
		relayOf:   map[string]string{},
	}
}

// SetReport notes what one gateway knows, in place of its report before, also where that
// came through a relay.
func (l *Loads) SetReport(gateway string, t GatewayReport) {
	l.leave(gateway)
	l.gateways[gateway] = t
	for _, r := range t.Running {
		l.addRunning(r.Server, r.Running)
	}
	for _, id := range t.Distrusts {
		l.addDistrusts(distrustKey{id, t.Domain}, 1)
	}
}

// Drop forgets a gateway.
func (l *Loads) Drop(gateway string) { l.leave(gateway) }

// dropDirect forgets what a gateway reported without a relay.
func (l *Loads) dropDirect(gateway string) {
	t := l.gateways[gateway]
	for _, r := range t.Running {
		l.addRunning(r.Server, -r.Running)
	}
	for _, id := range t.Distrusts {
		l.addDistrusts(distrustKey{id, t.Domain}, -1)
	}
	delete(l.gateways, gateway)
}

// leastDistrusts are how many gateways of one domain, or domains with any, have to
// distrust a server before others do.
const leastDistrusts = 2

// Distrusted reports whether the gateways of a domain are to pass a server over.
// The report of one gateway is never enough, as the fault may be its own; nor is that of
// another domain alone, which may have lost its path to the server.
func (l *Loads) Distrusted(server, domain string) bool {
	domains := l.distrusts[server]
	return l.avoided[domain][server] || domains[domain] >= leastDistrusts || len(domains) >= leastDistrusts
}

// Running returns how many requests a server has.
func (l *Loads) Running(server string) int { return l.totals[server] }

// Pack returns the loads of some servers, in their order, a byte each; more than
// fit into one are reported as the most that do.
func (l *Loads) Pack(servers []string) []byte {
	packed := make([]byte, len(servers))
	for i, id := range servers {
		packed[i] = byte(min(l.totals[id], math.MaxUint8))
	}
	return packed
}

// PackDistrust returns which of some servers the gateways of a domain are to pass
// over, in their order, a bit each; nil where there are none.
func (l *Loads) PackDistrust(servers []string, domain string) []byte {
	var packed []byte
	for i, id := range servers {
		if !l.Distrusted(id, domain) {
			continue
		}
		if packed == nil {
			packed = make([]byte, (len(servers)+bitsPerByte-1)/bitsPerByte)
		}
		packed[i/bitsPerByte] |= 1 << (i % bitsPerByte)
	}
	return packed
}

const bitsPerByte = 8

// bitSet reports whether a bit is set; what is behind the end is not.
func bitSet(bits []byte, i int) bool {
	return i/bitsPerByte < len(bits) && bits[i/bitsPerByte]&(1<<(i%bitsPerByte)) != 0
}

// Running returns the requests that this gateway has under way, and remembers
// which they are: loads that are received later include them.
func (v *View) Running() []protocol.ServerLoad {
	if v == nil {
		return nil
	}
	var rows []protocol.ServerLoad
	for i := range v.Servers {
		if n := v.Servers[i].Stats.report(); n > 0 {
			rows = append(rows, protocol.ServerLoad{Server: v.Servers[i].ID, Running: n})
		}
	}
	return rows
}

// Distrusts returns the servers that this gateway passes over by its own word.
func (v *View) Distrusts(now time.Time) []string {
	if v == nil {
		return nil
	}
	var ids []string
	for i := range v.Servers {
		if v.Servers[i].Stats.distrusts(now) {
			ids = append(ids, v.Servers[i].ID)
		}
	}
	return ids
}

// ApplyLoads takes the loads of all servers in the view's order, as they were when
// Running was last asked, or later, and which of them to pass over. It returns the
// servers that are passed over from now on, and were not before.
func (v *View) ApplyLoads(loads, distrusted []byte, now time.Time) []string {
	if v == nil || len(loads) != len(v.Servers) {
		return nil // They are of another list.
	}
	var ids []string
	for i, n := range loads {
		if v.Servers[i].Stats.shared(int(n), bitSet(distrusted, i), now) {
			ids = append(ids, v.Servers[i].ID)
		}
	}
	return ids
}
