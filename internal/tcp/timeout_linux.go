package tcp

import (
	"net"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// setUserTimeout sets TCP_USER_TIMEOUT, which limits how long sent data may stay
// unacknowledged; the kernel counts in milliseconds.
func setUserTimeout(c *net.TCPConn, ackTimeout time.Duration) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return eris.Wrap(err, "set TCP user timeout")
	}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	if err == nil {
		err = setErr
	}
	return eris.Wrap(err, "set TCP user timeout")
}
