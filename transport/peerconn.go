package transport

import (
	"net"
	"time"
)

const (
	// peerWriteTimeout is how long another instance may accept no data of a write.
	// The kernel of a frozen instance still acknowledges, so without a limit a
	// write that fills the buffers would block for as long as the freeze, and with
	// it every call that waits for the same connection.
	peerWriteTimeout = 2 * time.Second
	// peerWriteChunk is written under one deadline, so that a long message over a
	// slow link does not time out.
	peerWriteChunk = 64 << 10
)

// peerConn is a connection to another instance. Each chunk of a write has its own
// deadline.
type peerConn struct {
	net.Conn
	stall time.Duration
}

// Write implements net.Conn.
func (c *peerConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		piece := p[written:min(len(p), written+peerWriteChunk)]
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
