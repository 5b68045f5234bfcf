package transport

import (
	"net"
	"sync/atomic"

	metrics "github.com/rcrowley/go-metrics"
)

// byteMeter counts the bytes sent and received over a group of connections.
type byteMeter struct {
	sent     atomic.Int64
	received atomic.Int64
}

// register registers the counts as metrics, in bytes since the start.
func (m *byteMeter) register(name string, r metrics.Registry) {
	metrics.NewRegisteredFunctionalGauge(name+".bytes.sent", r, m.sent.Load)
	metrics.NewRegisteredFunctionalGauge(name+".bytes.received", r, m.received.Load)
}

// meteredConn counts the bytes of one connection.
type meteredConn struct {
	net.Conn
	meter    *byteMeter
	distance connMeter
}

// Read implements net.Conn.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.received.Add(int64(n))
	c.distance.count(0, n)
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.sent.Add(int64(n))
	c.distance.count(n, 0)
	return n, err
}
