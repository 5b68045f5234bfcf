//go:build unix

package caller

import (
	"errors"
	"net"
	"syscall"
)

// nonblockingWriter writes as much to a connection as the kernel accepts without blocking. A write
// does not allocate, since every event of every stream passes through it.
type nonblockingWriter struct {
	raw      syscall.RawConn // raw is nil if the connection has none; write then accepts nothing.
	tryWrite func(fd uintptr) bool
	p        []byte
	n        int
	err      error
}

func newNonblockingWriter(conn net.Conn) *nonblockingWriter {
	w := &nonblockingWriter{}
	if sc, ok := conn.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			w.raw = raw
		}
	}
	w.tryWrite = func(fd uintptr) bool {
		w.n, w.err = syscall.Write(int(fd), w.p)
		for errors.Is(w.err, syscall.EINTR) {
			w.n, w.err = syscall.Write(int(fd), w.p)
		}
		return true // True means do not wait.
	}
	return w
}

// write returns how many bytes were accepted; fewer than len(p) is not an error.
func (w *nonblockingWriter) write(p []byte) (int, error) {
	if w.raw == nil {
		return 0, nil
	}
	w.p, w.n, w.err = p, 0, nil
	err := w.raw.Write(w.tryWrite)
	w.p = nil
	if err != nil {
		return 0, err
	}
	if errors.Is(w.err, syscall.EAGAIN) {
		return 0, nil
	}
	return max(0, w.n), w.err
}
