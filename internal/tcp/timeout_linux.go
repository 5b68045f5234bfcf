package tcp

import (
	"net"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// setUserTimeout bounds how long sent bytes may stay without an acknowledgement; the
// kernel counts in milliseconds.
func setUserTimeout(c *net.TCPConn, silent time.Duration) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return eris.Wrap(err, "bound silence")
	}
	var set error
	err = raw.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silent.Milliseconds()))
	})
	if err == nil {
		err = set
	}
	return eris.Wrap(err, "bound silence")
}
