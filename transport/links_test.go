package transport

import (
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// stoppedReader accepts one instance, proves itself and then reads no more, as
// an instance does that was frozen.
func stoppedReader(t *testing.T, key string) string {
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

// TestCallToStoppedReader sends more than the sockets' buffers hold to an
// instance that reads no more. The call must end, and so must one that waits
// for the same connection: the membership's probe, for one.
func TestCallToStoppedReader(t *testing.T) {
	const key = "a key of the cluster"
	const patience = 20 * time.Second // It only ends a test that would hang.
	address := stoppedReader(t, key)
	l := NewLinks("entry-1", []byte(key), time.Second, zerolog.Nop())
	if _, err := l.client(address); err != nil {
		t.Fatal(err)
	}
	results := make(chan error, 2)
	for range 2 {
		go func() {
			var ok bool
			results <- l.Call(address, "Sink.Take", make([]byte, 32<<20), &ok, 100*time.Millisecond)
		}()
	}
	limit := time.NewTimer(patience)
	defer limit.Stop()
	for range 2 {
		select {
		case err := <-results:
			if err == nil {
				t.Error("a call that nobody read succeeded")
			}
		case <-limit.C:
			t.Fatal("a call is still held up by a reader that stopped")
		}
	}
}

// TestFirstConnectsAreShort checks that an instance that is silent is tried often at
// first, so that one that has just been started is found at once, and for the whole
// time later, as the way to it may be long.
func TestFirstConnectsAreShort(t *testing.T) {
	l := NewLinks("a", []byte("0123456789abcdef"), 400*time.Millisecond, zerolog.Nop())
	for i, want := range []time.Duration{100, 100, 100, 100, 200, 200, 200, 200, 400, 400} {
		if got := l.dialTime("b"); got != want*time.Millisecond {
			t.Errorf("connect %d may take %v, want %v ms", i+1, got, int64(want))
		}
		l.dialed("b", false)
	}
	for range 1000 {
		l.dialed("b", false)
	}
	if got := l.dialTime("b"); got != 400*time.Millisecond {
		t.Errorf("after many failures a connect may take %v", got)
	}
	l.dialed("b", true)
	if got := l.dialTime("b"); got != 100*time.Millisecond {
		t.Errorf("after a connect the next may take %v", got)
	}
}
