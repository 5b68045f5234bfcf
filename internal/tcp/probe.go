package tcp

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// Presence is what a connect tells of the process at an address.
type Presence uint8

// The answers to a connect.
const (
	// PresenceUnknown is after no answer, as of an instance without power or behind a cut.
	PresenceUnknown Presence = iota
	// PresenceUp is after a connection that was accepted.
	PresenceUp
	// PresenceEnded is after one that was refused: the instance is there, and no process
	// listens at the port.
	PresenceEnded
)

var presenceNames = [...]string{"unknown", "up", "ended"}

// String returns the presence's name.
func (p Presence) String() string { return presenceNames[p] }

// Probe connects to an address within a limit, sends nothing and returns what that shows.
func Probe(address string, limit time.Duration) Presence {
	conn, err := net.DialTimeout("tcp", address, limit)
	if err == nil {
		_ = conn.Close() // Nothing was sent over it.
		return PresenceUp
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return PresenceEnded
	}
	return PresenceUnknown
}

// EndedByPeer reports whether an error of a connection is that the other side ended it:
// not a time-out, and not that it was closed here.
func EndedByPeer(err error) bool {
	var timeout net.Error
	return !errors.Is(err, net.ErrClosed) && (!errors.As(err, &timeout) || !timeout.Timeout())
}
