package place

import (
	"math"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// Loads adds up the reports of all gateways: how many requests each server has, and which
// gateways distrust it. With many gateways, each one sees a server's own load report too
// rarely to balance by it, and each would have to detect a failing server by failing
// requests of its own callers.
type Loads struct {
	totals          map[string]int
	distrusts       map[string]map[string]int // distrusts counts the gateways that distrust a server, by server and by the gateways' domain.
	reports         map[string]GatewayReport
	relays          map[string]*relaySums
	relayOf         map[string]string          // relayOf maps a gateway to the relay that it reports to; gateways that report to the leader are absent.
	leaderDistrusts map[string]map[string]bool // leaderDistrusts holds, at a relay, the servers that the leader told the gateways of each domain to distrust; see Replace.
}

// GatewayReport is what one gateway reports of the servers.
type GatewayReport struct {
	Domain    string                // Domain is the gateway's failure domain.
	Running   []protocol.ServerLoad // Running holds its outstanding requests by server.
	Distrusts []string              // Distrusts lists the servers that it distrusts for failures that it saw itself.
}

// NewLoads returns loads without any report.
func NewLoads() *Loads {
	return &Loads{
		totals:    map[string]int{},
		distrusts: map[string]map[string]int{},
		reports:   map[string]GatewayReport{},
		relays:    map[string]*relaySums{},
		relayOf:   map[string]string{},
	}
}

// SetReport replaces the report of one gateway, including one that came through a relay.
func (l *Loads) SetReport(gateway string, report GatewayReport) {
	l.detach(gateway)
	l.reports[gateway] = report
	for _, r := range report.Running {
		l.addRunning(r.Server, r.Running)
	}
	for _, id := range report.Distrusts {
		l.addDistrusts(distrustKey{id, report.Domain}, 1)
	}
}

// Drop removes a gateway and its report.
func (l *Loads) Drop(gateway string) { l.detach(gateway) }

// dropDirect removes the report that a gateway sent without a relay.
func (l *Loads) dropDirect(gateway string) {
	report := l.reports[gateway]
	for _, r := range report.Running {
		l.addRunning(r.Server, -r.Running)
	}
	for _, id := range report.Distrusts {
		l.addDistrusts(distrustKey{id, report.Domain}, -1)
	}
	delete(l.reports, gateway)
}

// distrustQuorum is how many gateways of one domain, or how many domains with any such
// gateway, must distrust a server before others do, too.
const distrustQuorum = 2

// Distrusted reports whether the gateways of a domain are to distrust a server. The report
// of a single gateway is never enough, since the fault may be its own; nor are the reports
// of one other domain, which may have lost its path to the server.
func (l *Loads) Distrusted(server, domain string) bool {
	domains := l.distrusts[server]
	return l.leaderDistrusts[domain][server] || domains[domain] >= distrustQuorum || len(domains) >= distrustQuorum
}

// Running returns the number of requests at a server.
func (l *Loads) Running(server string) int { return l.totals[server] }

// Pack returns the loads of the given servers in order, one byte each; higher loads are
// capped at 255.
func (l *Loads) Pack(servers []string) []byte {
	packed := make([]byte, len(servers))
	for i, id := range servers {
		packed[i] = byte(min(l.totals[id], math.MaxUint8))
	}
	return packed
}

// PackDistrust returns a bit set, in the order of the given servers, of those that the
// gateways of a domain are to distrust; nil if there are none.
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

// bitSet reports whether bit i is set; bits past the end are unset.
func bitSet(bits []byte, i int) bool {
	return i/bitsPerByte < len(bits) && bits[i/bitsPerByte]&(1<<(i%bitsPerByte)) != 0
}

// Running returns the outstanding requests of this gateway by server, and remembers the
// numbers so that loads received later can be adjusted by them.
func (v *View) Running() []protocol.ServerLoad {
	if v == nil {
		return nil
	}
	var rows []protocol.ServerLoad
	for i := range v.Servers {
		if n := v.Servers[i].Stats.reportOutstanding(); n > 0 {
			rows = append(rows, protocol.ServerLoad{Server: v.Servers[i].ID, Running: n})
		}
	}
	return rows
}

// Distrusts returns the servers that this gateway distrusts for failures that it saw itself.
func (v *View) Distrusts(now time.Time) []string {
	if v == nil {
		return nil
	}
	var ids []string
	for i := range v.Servers {
		if v.Servers[i].Stats.distrustedLocally(now) {
			ids = append(ids, v.Servers[i].ID)
		}
	}
	return ids
}

// ApplyLoads applies the loads of all servers in the view's order, as of the latest call of
// Running or later, and the bit set of servers to distrust. It returns the servers that
// other gateways distrust now and did not before.
func (v *View) ApplyLoads(loads, distrusted []byte, now time.Time) []string {
	if v == nil || len(loads) != len(v.Servers) {
		return nil // They belong to another list of servers.
	}
	var ids []string
	for i, n := range loads {
		if v.Servers[i].Stats.applyLoad(int(n), bitSet(distrusted, i), now) {
			ids = append(ids, v.Servers[i].ID)
		}
	}
	return ids
}
