package tcp_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/weldstream/weldstream/internal/tcp"
)

// listen listens at a port of the kernel's choice.
func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

// TestProbe checks what a connect tells of a process that listens, and of one that does
// not any more.
func TestProbe(t *testing.T) {
	ln := listen(t)
	address := ln.Addr().String()
	if got := tcp.Probe(address, time.Second); got != tcp.PresenceUp {
		t.Errorf("a process that listens is %v", got)
	}
	_ = ln.Close()
	if got := tcp.Probe(address, time.Second); got != tcp.PresenceEnded {
		t.Errorf("one that listens no more is %v", got)
	}
	if got := tcp.Probe("no address", time.Second); got != tcp.PresenceUnknown {
		t.Errorf("an address that is none is %v", got)
	}
}

// TestEndedByPeer checks which ends of a connection are the other side's.
func TestEndedByPeer(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(own, other net.Conn)
		want bool
	}{
		"closed there":  {func(_, other net.Conn) { _ = other.Close() }, true},
		"reset there":   {func(_, other net.Conn) { _ = other.(*net.TCPConn).SetLinger(0); _ = other.Close() }, true},
		"closed here":   {func(own, _ net.Conn) { _ = own.Close() }, false},
		"silent so far": {func(own, _ net.Conn) { _ = own.SetReadDeadline(time.Unix(1, 0)) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			ln := listen(t)
			own, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer own.Close()
			other, err := ln.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer other.Close()
			c.end(own, other)
			_, err = io.ReadFull(own, make([]byte, 1))
			if got := tcp.EndedByPeer(err); got != c.want {
				t.Errorf("%v: got %v", err, got)
			}
		})
	}
}
