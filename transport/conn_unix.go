//go:build unix

package transport

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// isReset reports whether the peer closed the connection during a write or a read.
func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// callerConn is an accepted connection. Each write has its own deadline, so that a
// caller that accepts no data for the stall time is disconnected, however long its
// answer is. It also allows a disconnect to be detected while nothing is written.
type callerConn struct {
	net.Conn
	stall time.Duration
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(c.stall)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// SetWriteDeadline implements net.Conn. It ignores the server's single deadline
// for the whole response; see Write.
func (c *callerConn) SetWriteDeadline(time.Time) error { return nil }

// callerListener wraps accepted connections in callerConn.
type callerListener struct {
	net.Listener
	stall time.Duration
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, stall: l.stall}, nil
}

// watchDisconnect calls gone once if the caller closes its side before stop is
// called. The HTTP server does not read while a handler runs, so only a peek at
// the socket detects a disconnect. Bytes that arrive (a pipelined request) end the
// watch and stay in the socket buffer. Stop waits for the watch to end, since the
// server needs the read side back.
func watchDisconnect(conn net.Conn, gone func()) (stop func()) {
	c, ok := conn.(*callerConn)
	if !ok {
		return func() {}
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return func() {}
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return func() {}
	}
	if c.SetReadDeadline(time.Time{}) != nil { // The server's deadline applied to reading the request.
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if waitForClose(raw) {
			gone()
		}
	}()
	var once sync.Once
	return func() {
		once.Do(func() {
			_ = c.SetReadDeadline(time.Unix(1, 0)) // Unblocks waitForClose.
			<-done
			_ = c.SetReadDeadline(time.Time{})
		})
	}
}

// waitForClose waits until the socket is readable and reports whether the peer
// closed it.
func waitForClose(raw syscall.RawConn) bool {
	ended := false
	buf := make([]byte, 1)
	err := raw.Read(func(fd uintptr) bool {
		n, _, err := syscall.Recvfrom(int(fd), buf, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR) {
			return false
		}
		ended = err != nil || n == 0
		return true
	})
	return err == nil && ended
}
