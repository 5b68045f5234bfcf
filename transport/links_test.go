package transport

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// stalledPeer accepts one connection, completes the handshake and then stops
// reading, like a frozen instance.
func stalledPeer(t *testing.T, key string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	frozen := NewLinks("entry-2", []byte(key), time.Second, zerolog.Nop())
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		t.Cleanup(func() { _ = conn.Close() })
		if _, err := frozen.accept(conn); err != nil {
			t.Errorf("handshake: %v", err)
		}
	}()
	return ln.Addr().String()
}

// TestCallToStalledPeer sends more than the socket buffers hold to an instance
// that has stopped reading. The call must end, and so must others that wait for
// the same connection, such as the membership's probe.
func TestCallToStalledPeer(t *testing.T) {
	const key = "a key of the cluster"
	const testTimeout = 20 * time.Second // Only bounds a test that would hang.
	address := stalledPeer(t, key)
	l := NewLinks("entry-1", []byte(key), time.Second, zerolog.Nop())
	if _, err := l.client(address, time.Second); err != nil {
		t.Fatal(err)
	}
	results := make(chan error, 2)
	for range 2 {
		go func() {
			var ok bool
			results <- l.Call(address, "Sink.Take", make([]byte, 32<<20), &ok, 100*time.Millisecond)
		}()
	}
	limit := time.NewTimer(testTimeout)
	defer limit.Stop()
	for range 2 {
		select {
		case err := <-results:
			if err == nil {
				t.Error("a call to a stalled peer succeeded")
			}
		case <-limit.C:
			t.Fatal("a call is still blocked by a stalled peer")
		}
	}
}

// TestDialTimeoutGrows checks that connects to a silent instance are short at
// first, so that one that has just been started is found quickly, and later use
// the whole timeout, since the path may be long.
func TestDialTimeoutGrows(t *testing.T) {
	l := NewLinks("a", []byte("0123456789abcdef"), 400*time.Millisecond, zerolog.Nop())
	for i, want := range []time.Duration{100, 100, 100, 100, 200, 200, 200, 200, 400, 400} {
		if got := l.dialTimeout("b"); got != want*time.Millisecond {
			t.Errorf("timeout of connect %d is %v, want %v ms", i+1, got, int64(want))
		}
		l.recordDial("b", false)
	}
	for range 1000 {
		l.recordDial("b", false)
	}
	if got := l.dialTimeout("b"); got != 400*time.Millisecond {
		t.Errorf("timeout after many failures is %v", got)
	}
	l.recordDial("b", true)
	if got := l.dialTimeout("b"); got != 100*time.Millisecond {
		t.Errorf("timeout after a successful connect is %v", got)
	}
}

// TestCallTimeoutIncludesConnect calls an instance whose kernel accepts connections while its
// process is suspended. Each call waited for the whole handshake, however short its time-out.
// The connect goes on beyond the calls and serves a later one.
func TestCallTimeoutIncludesConnect(t *testing.T) {
	const key = "a key of the cluster"
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	peer := NewLinks("entry-2", []byte(key), time.Second, zerolog.Nop())
	l := NewLinks("entry-1", []byte(key), time.Second, zerolog.Nop())
	results := make(chan error, 3)
	for range cap(results) {
		go func() {
			var ok bool
			results <- l.Call(ln.Addr().String(), "Sink.Take", true, &ok, 10*time.Millisecond)
		}()
	}
	for range cap(results) {
		if err := <-results; !errors.Is(err, ErrPeerTimeout) {
			t.Errorf("a call to a suspended peer failed with %v, want %v", err, ErrPeerTimeout)
		}
	}
	go func() { _ = peer.Serve(ctx, ln) }()
	if _, err := l.client(ln.Addr().String(), handshakeTimeout); err != nil {
		t.Errorf("the pending connect failed with %v after the peer had resumed", err)
	}
}
