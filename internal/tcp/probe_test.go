package tcp_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/weldstream/weldstream/internal/tcp"
)

// listen listens on a port chosen by the kernel.
func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

// TestProbe checks the outcome for a listening process, for one that has stopped listening
// and for an invalid address.
func TestProbe(t *testing.T) {
	ln := listen(t)
	address := ln.Addr().String()
	if got := tcp.Probe(address, time.Second); got != tcp.PresenceUp {
		t.Errorf("Probe of a listening process returned %v", got)
	}
	_ = ln.Close()
	if got := tcp.Probe(address, time.Second); got != tcp.PresenceEnded {
		t.Errorf("Probe after the listener closed returned %v", got)
	}
	if got := tcp.Probe("no address", time.Second); got != tcp.PresenceUnknown {
		t.Errorf("Probe of an invalid address returned %v", got)
	}
}

// TestEndedByPeer checks which errors of a connection count as ended by the peer.
func TestEndedByPeer(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(local, peer net.Conn)
		want bool
	}{
		"closed by the peer": {func(_, peer net.Conn) { _ = peer.Close() }, true},
		"reset by the peer":  {func(_, peer net.Conn) { _ = peer.(*net.TCPConn).SetLinger(0); _ = peer.Close() }, true},
		"closed locally":     {func(local, _ net.Conn) { _ = local.Close() }, false},
		"read timed out":     {func(local, _ net.Conn) { _ = local.SetReadDeadline(time.Unix(1, 0)) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			ln := listen(t)
			local, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer local.Close()
			peer, err := ln.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer peer.Close()
			c.end(local, peer)
			_, err = io.ReadFull(local, make([]byte, 1))
			if got := tcp.EndedByPeer(err); got != c.want {
				t.Errorf("%v: got %v", err, got)
			}
		})
	}
}
