package tcp_test

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/weldstream/weldstream/internal/tcp"
)

// option reads a connection's option as the kernel has it.
func option(t *testing.T, conn net.Conn, level, name int) (value int) {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var got error
	if err := raw.Control(func(fd uintptr) { value, got = unix.GetsockoptInt(int(fd), level, name) }); err != nil || got != nil {
		t.Fatal(err, got)
	}
	return value
}

// TestBothEndsAreBounded checks what the kernel was told of a connection that was
// opened and of one that was accepted: only it can tell a silent way from a process
// that has nothing to say.
func TestBothEndsAreBounded(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	const silent = 700 * time.Millisecond
	near, err := tcp.Dial(ln.Addr().String(), 10*time.Second, silent)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = near.Close() })
	far, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = far.Close() })
	if err := tcp.Bound(far, silent); err != nil {
		t.Fatal(err)
	}
	for end, conn := range map[string]net.Conn{"opened": near, "accepted": far} {
		for _, o := range []struct {
			name          string
			level, option int
			want          int
		}{
			{"user timeout", unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, 700},
			{"probes", unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
			{"rest before a probe", unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, 1},
			{"pause between probes", unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, 1},
		} {
			if got := option(t, conn, o.level, o.option); got != o.want {
				t.Errorf("%s: %s is %d, want %d", end, o.name, got, o.want)
			}
		}
	}
}

// TestOthersAreLeft checks that a connection which is none of TCP is no error.
func TestOthersAreLeft(t *testing.T) {
	near, far := net.Pipe()
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	if err := tcp.Bound(near, time.Second); err != nil {
		t.Error(err)
	}
}
