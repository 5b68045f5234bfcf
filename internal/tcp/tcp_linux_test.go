package tcp_test

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/weldstream/weldstream/internal/tcp"
)

// option reads a socket option of a connection from the kernel.
func option(t *testing.T, conn net.Conn, level, name int) (value int) {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var optErr error
	if err := raw.Control(func(fd uintptr) { value, optErr = unix.GetsockoptInt(int(fd), level, name) }); err != nil || optErr != nil {
		t.Fatal(err, optErr)
	}
	return value
}

// TestTimeoutsOnBothEnds checks the socket options of a dialed and of an accepted
// connection: only the kernel can distinguish a broken network path from a process that
// sends nothing.
func TestTimeoutsOnBothEnds(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	const ackTimeout = 700 * time.Millisecond
	dialed, err := tcp.Dial(ln.Addr().String(), 10*time.Second, ackTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = dialed.Close() })
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = accepted.Close() })
	if err := tcp.SetTimeouts(accepted, ackTimeout); err != nil {
		t.Fatal(err)
	}
	for end, conn := range map[string]net.Conn{"dialed": dialed, "accepted": accepted} {
		for _, o := range []struct {
			name          string
			level, option int
			want          int
		}{
			{"user timeout", unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, 700},
			{"keep-alive", unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
			{"keep-alive idle time", unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, 1},
			{"keep-alive interval", unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, 1},
		} {
			if got := option(t, conn, o.level, o.option); got != o.want {
				t.Errorf("%s: %s is %d, want %d", end, o.name, got, o.want)
			}
		}
	}
}

// TestNonTCPConnIsIgnored checks that a connection other than TCP is no error.
func TestNonTCPConnIsIgnored(t *testing.T) {
	near, far := net.Pipe()
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	if err := tcp.SetTimeouts(near, time.Second); err != nil {
		t.Error(err)
	}
}
