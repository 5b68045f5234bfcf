package tcp

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// Presence is what a connection attempt shows about the process at an address.
type Presence uint8

// The outcomes of a connection attempt.
const (
	// PresenceUnknown: no answer, for instance because the instance lost power or the network
	// is partitioned.
	PresenceUnknown Presence = iota
	// PresenceUp: the connection was accepted.
	PresenceUp
	// PresenceEnded: the connection was refused. The instance is reachable, but no process
	// listens on the port.
	PresenceEnded
)

var presenceNames = [...]string{"unknown", "up", "ended"}

func (p Presence) String() string { return presenceNames[p] }

// Probe tries to connect to an address within a limit, without sending data, and returns
// the outcome.
func Probe(address string, limit time.Duration) Presence {
	conn, err := net.DialTimeout("tcp", address, limit)
	if err == nil {
		_ = conn.Close() // No data was sent.
		return PresenceUp
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return PresenceEnded
	}
	return PresenceUnknown
}

// EndedByPeer reports whether a connection failed because the peer closed or reset it: any
// error except a time-out and a local close.
func EndedByPeer(err error) bool {
	var timeout net.Error
	return !errors.Is(err, net.ErrClosed) && (!errors.As(err, &timeout) || !timeout.Timeout())
}
