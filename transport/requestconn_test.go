package transport

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// TestRequestConnections checks that a gateway accepts requests only from gateways with the
// cluster's key, that one which is slow in the handshake delays no other, and that the bytes behind
// the handshake arrive as they were sent, in both directions.
func TestRequestConnections(t *testing.T) {
	const limit = 10 * time.Second
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	requests := NewLinks("gateway-1", []byte("key"), limit, zerolog.Nop()).ListenRequests(ln)
	served := make(chan struct{})
	go func() {
		defer close(served)
		for {
			conn, err := requests.Accept()
			if err != nil {
				if !errors.Is(err, net.ErrClosed) {
					t.Errorf("accept: %v", err)
				}
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	slow, err := net.Dial("tcp", ln.Addr().String()) // It never begins the handshake.
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	if conn, err := NewLinks("stranger", []byte("another key"), limit, zerolog.Nop()).DialRequests(ln.Addr().String(), limit); err == nil {
		_ = conn.Close()
		t.Error("a gateway with another key was accepted")
	}
	conn, err := NewLinks("gateway-2", []byte("key"), limit, zerolog.Nop()).DialRequests(ln.Addr().String(), limit)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	const text = "a request"
	_, _ = io.WriteString(conn, text)
	got := make([]byte, len(text))
	if _, err := io.ReadFull(conn, got); err != nil || string(got) != text {
		t.Errorf("got %q, error %v", got, err)
	}
	_ = requests.Close()
	<-served
}
