package backend

import (
	"errors"
	"syscall"

	"github.com/weldstream/weldstream/internal/tcp"
)

// Presence is what a connect tells of a server.
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

// Probe connects to an address, sends nothing and tells what that shows.
func (p *Pool) Probe(address string) Presence {
	conn, err := tcp.Dial(address, p.dial, silentServer)
	if err == nil {
		_ = conn.Close() // Nothing was sent over it.
		return PresenceUp
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return PresenceEnded
	}
	return PresenceUnknown
}
