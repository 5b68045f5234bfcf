package transport

import (
	"net"
	"strings"
	"sync/atomic"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/weldstream/weldstream/coordination/topology"
)

// distanceMeters counts the bytes between this instance and others by their
// distance, since traffic between regions is more expensive. The peer's failure
// domain is known only after the handshake; bytes before that are not counted.
type distanceMeters struct {
	topology *topology.Topology
	domain   string
	meters   [topology.OtherRegion + 1]byteMeter
}

// MeterDistances registers metrics of the bytes to and from other instances by
// distance, if the failure domains span several regions. It must be called before
// any connection is opened.
func (l *Links) MeterDistances(t *topology.Topology, domain string, r metrics.Registry) {
	l.domain = domain
	if !t.MultiRegion() {
		return
	}
	l.distances = &distanceMeters{topology: t, domain: domain}
	for d := range l.distances.meters {
		meter := &l.distances.meters[d]
		label := `{distance="` + strings.ReplaceAll(topology.Distance(d).String(), " ", "_") + `"}`
		metrics.NewRegisteredFunctionalGauge("peers.bytes.sent.by"+label, r, meter.sent.Load)
		metrics.NewRegisteredFunctionalGauge("peers.bytes.received.by"+label, r, meter.received.Load)
	}
}

// classify assigns a connection to the meter for the distance of the peer's
// domain.
func (d *distanceMeters) classify(conn net.Conn, domain string) {
	if d == nil || domain == "" {
		return
	}
	if p, ok := conn.(*peerConn); ok {
		if m, ok := p.Conn.(*meteredConn); ok {
			m.distance.Store(&d.meters[d.topology.Distance(d.domain, domain)])
		}
	}
}

// connMeter is the meter of a connection; nil until the peer's distance is known.
type connMeter struct{ atomic.Pointer[byteMeter] }

// count adds bytes sent and received.
func (m *connMeter) count(sent, received int) {
	if meter := m.Load(); meter != nil {
		meter.sent.Add(int64(sent))
		meter.received.Add(int64(received))
	}
}
