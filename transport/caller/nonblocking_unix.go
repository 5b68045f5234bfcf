//go:build unix

package caller

import (
	"errors"
	"net"
	"syscall"
)

// nonblocking writes to a connection what its kernel takes without waiting. It allocates nothing for a
// write, as each event of each stream passes here.
type nonblocking struct {
	raw syscall.RawConn // raw is nil for a connection without one: nothing is taken.
	try func(fd uintptr) bool
	p   []byte
	n   int
	err error
}

func newNonblocking(conn net.Conn) *nonblocking {
	w := &nonblocking{}
	if sc, ok := conn.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			w.raw = raw
		}
	}
	w.try = func(fd uintptr) bool {
		w.n, w.err = syscall.Write(int(fd), w.p)
		for errors.Is(w.err, syscall.EINTR) {
			w.n, w.err = syscall.Write(int(fd), w.p)
		}
		return true // Never waits.
	}
	return w
}

// write returns how many bytes were taken; fewer than all are no error.
func (w *nonblocking) write(p []byte) (int, error) {
	if w.raw == nil {
		return 0, nil
	}
	w.p, w.n, w.err = p, 0, nil
	err := w.raw.Write(w.try)
	w.p = nil
	if err != nil {
		return 0, err
	}
	if errors.Is(w.err, syscall.EAGAIN) {
		return 0, nil
	}
	return max(0, w.n), w.err
}
