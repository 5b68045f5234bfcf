package transport

import (
	"net"
	"strings"
	"sync/atomic"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/weldstream/weldstream/coordination/topology"
)

// distances count the bytes between this instance and others by their distance, since
// bytes between regions are dearer than others. The other side's failure domain comes
// with the greeting of a connection; the bytes up to then are not counted.
type distances struct {
	topology *topology.Topology
	domain   string
	meters   [topology.OtherRegion + 1]byteMeter
}

// MeterDistances shows the bytes to and from other instances by their distance, where
// failure domains lie in several regions. It is called before any link is opened.
func (l *Links) MeterDistances(t *topology.Topology, domain string, r metrics.Registry) {
	l.domain = domain
	if !t.MultiRegion() {
		return
	}
	l.distances = &distances{topology: t, domain: domain}
	for d := range l.distances.meters {
		meter := &l.distances.meters[d]
		label := `{distance="` + strings.ReplaceAll(topology.Distance(d).String(), " ", "_") + `"}`
		metrics.NewRegisteredFunctionalGauge("peers.bytes.sent.by"+label, r, meter.sent.Load)
		metrics.NewRegisteredFunctionalGauge("peers.bytes.received.by"+label, r, meter.received.Load)
	}
}

// classify has a connection counted by the distance of the other side's domain.
func (d *distances) classify(conn net.Conn, domain string) {
	if d == nil || domain == "" {
		return
	}
	if p, ok := conn.(*peerConn); ok {
		if m, ok := p.Conn.(*meteredConn); ok {
			m.distance.Store(&d.meters[d.topology.Distance(d.domain, domain)])
		}
	}
}

// distanceMeter is the meter of a connection whose other side's distance is known.
type distanceMeter struct{ atomic.Pointer[byteMeter] }

// count notes bytes that were sent and received.
func (m *distanceMeter) count(sent, received int) {
	if meter := m.Load(); meter != nil {
		meter.sent.Add(int64(sent))
		meter.received.Add(int64(received))
	}
}
