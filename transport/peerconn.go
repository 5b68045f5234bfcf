package transport

import (
	"net"
	"time"
)

const (
	// peerStall is how long another instance may take no byte of a write. A
	// frozen one still acknowledges at its kernel, so without a bound a write
	// that fills the buffers would last as long as the freeze, and with it every
	// call that waits for the same connection.
	peerStall = 2 * time.Second
	// peerPiece is written under one deadline, so that a long message over a
	// slow link is not taken for a stall.
	peerPiece = 64 << 10
)

// peerConn is a connection to another instance. Each piece of a write has its
// own deadline.
type peerConn struct {
	net.Conn
	stall time.Duration
}

// Write implements net.Conn.
func (c *peerConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		piece := p[written:min(len(p), written+peerPiece)]
		if err := c.SetWriteDeadline(time.Now().Add(c.stall)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(piece)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
