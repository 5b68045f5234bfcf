//go:build unix

package transport

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// isReset reports whether the other side closed the connection under a write
// or a read.
func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// callerConn is an accepted connection. Each write has its own deadline, so
// that a caller that takes no byte for the stall time is cut off, however long
// its answer may be. And a hang-up can be noticed while nothing is written.
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

// SetWriteDeadline implements net.Conn. The server's one deadline for a whole
// answer is not wanted; see Write.
func (c *callerConn) SetWriteDeadline(time.Time) error { return nil }

// callerListener hands out callerConns.
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

// watchHangUp calls gone once if the caller closes its side before stop is
// called. The HTTP server reads nothing while a handler runs, so a hang-up
// shows only to a peek at the socket. Bytes that arrive (a pipelined request)
// end the watch and stay where they are. Stop waits for the watch to end,
// since the server needs the read side back.
func watchHangUp(conn net.Conn, gone func()) (stop func()) {
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
	if c.SetReadDeadline(time.Time{}) != nil { // The server's deadline was for reading the request.
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if peekEnd(raw) {
			gone()
		}
	}()
	var once sync.Once
	return func() {
		once.Do(func() {
			_ = c.SetReadDeadline(time.Unix(1, 0)) // Wakes the peek.
			<-done
			_ = c.SetReadDeadline(time.Time{})
		})
	}
}

// peekEnd waits until the socket is readable and reports whether that is
// because the other side closed it.
func peekEnd(raw syscall.RawConn) bool {
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
