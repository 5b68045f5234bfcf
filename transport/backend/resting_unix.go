//go:build unix

package backend

import (
	"errors"
	"net"
	"syscall"
)

// resting reports whether an idle connection is open and has delivered
// nothing: a server that sends without being asked is not to be trusted on it.
func resting(conn net.Conn) bool {
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
		return true // Never waits.
	})
	return err == nil && quiet
}
