// Package tcp opens connections that do not hang when the peer or the network path to it
// stops responding.
//
// A connection whose packets are lost receives no reset. By default the kernel retransmits
// unacknowledged data for a quarter of an hour, and an idle connection sends nothing at
// all. Connections of this package fail within a bound: when sent data stays
// unacknowledged for that long, and when an idle connection does not answer the kernel's
// keep-alive probes. A peer process that is stopped does not fail the connection, because
// its kernel still acknowledges.
package tcp

import (
	"net"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// keepAliveInterval is how long a connection is idle before the kernel probes it, and
	// the interval between two probes; the kernel counts in whole seconds.
	keepAliveInterval = time.Second
	// keepAliveProbes is the number of unanswered probes after which the kernel drops a
	// connection that has no user timeout.
	keepAliveProbes = 2
)

// Dial connects to an address within a limit. The connection fails when the peer has
// acknowledged nothing for ackTimeout, which should be long enough that several packets in
// a row must be lost.
func Dial(address string, limit, ackTimeout time.Duration) (net.Conn, error) {
	return DialFrom("", address, limit, ackTimeout)
}

// DialFrom is Dial with the IP address that the connection comes from; empty for the kernel's
// choice.
func DialFrom(source, address string, limit, ackTimeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: limit}
	if source != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(source)}
	}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	if err := SetTimeouts(conn, ackTimeout); err != nil {
		_ = conn.Close() // The caller gets the first error.
		return nil, err
	}
	return conn, nil
}

// SetTimeouts sets the time-outs of [Dial] on an accepted connection. Connections other than TCP
// stay unchanged.
func SetTimeouts(conn net.Conn, ackTimeout time.Duration) error {
	c, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	keepAlive := net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes}
	if err := c.SetKeepAliveConfig(keepAlive); err != nil {
		return eris.Wrap(err, "enable TCP keep-alive")
	}
	return setUserTimeout(c, ackTimeout)
}
