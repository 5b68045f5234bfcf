// Package tcp opens connections that do not hang when the other side, or the way to
// it, falls silent.
//
// A connection whose packets are lost sends no reset. By default the kernel repeats
// what was not acknowledged for a quarter of an hour, and a connection that rests sends
// nothing at all. Connections of this package end after a bound: where
// bytes are not acknowledged for so long, and where one that rests does not answer the
// kernel's probes. A process that stands still is no reason: its kernel acknowledges.
package tcp

import (
	"net"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// restProbed is how long a connection rests before the kernel probes it, and the
	// pause between two probes; the kernel counts in whole seconds.
	restProbed = time.Second
	// probes that are not answered end a connection where there is no other bound.
	probes = 2
)

// Dial connects to an address within a limit. The connection ends when the other side
// has been silent for a time, in which several packets in a row must be lost.
func Dial(address string, limit, silent time.Duration) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, limit)
	if err != nil {
		return nil, err
	}
	if err := Bound(conn, silent); err != nil {
		_ = conn.Close() // The caller gets the error that made it of no use.
		return nil, err
	}
	return conn, nil
}

// Bound has a connection that was accepted end like those of [Dial]. Others than TCP
// connections are left as they are.
func Bound(conn net.Conn, silent time.Duration) error {
	c, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	alive := net.KeepAliveConfig{Enable: true, Idle: restProbed, Interval: restProbed, Count: probes}
	if err := c.SetKeepAliveConfig(alive); err != nil {
		return eris.Wrap(err, "probe connection")
	}
	return setUserTimeout(c, silent)
}
