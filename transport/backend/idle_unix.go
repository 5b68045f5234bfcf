//go:build unix

package backend

import (
	"errors"
	"net"
	"syscall"
)

// idleAndQuiet reports whether an idle connection is open and has delivered no data: a server
// that sends unsolicited data on it cannot be trusted.
func idleAndQuiet(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var buf [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true // Do not wait for the socket to become readable.
	})
	return err == nil && quiet
}
