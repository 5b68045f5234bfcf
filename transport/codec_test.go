package transport

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/weldstream/weldstream/coordination/replicate"
	"github.com/weldstream/weldstream/protocol"
)

// echoService returns its argument.
type echoService struct{}

// Sync is a net/rpc method.
func (echoService) Sync(m protocol.SyncMsg, reply *protocol.SyncMsg) error {
	*reply = m
	return nil
}

// Step is a net/rpc method.
func (echoService) Step(m StepArgs, reply *StepArgs) error {
	*reply = m
	return nil
}

// Fail is a net/rpc method.
func (echoService) Fail(bool, *bool) error { return errors.New("requested error") }

// serveEcho returns the address of an instance that serves an echoService and
// authenticates with a key.
func serveEcho(t testing.TB, key string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := NewLinks("entry-2", []byte(key), time.Second, zerolog.Nop())
	if err := l.Register("Echo", echoService{}); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- l.Serve(ctx, ln) }()
	t.Cleanup(func() {
		stop()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return ln.Addr().String()
}

const echoKey = "a key of the cluster"

// gatewayReport returns a typical report of a gateway.
func gatewayReport() protocol.SyncMsg {
	m := protocol.SyncMsg{
		Gateway: "gateway-17", Life: 1 << 63, Number: 12, Servers: 3, Lister: 2, Domain: "a",
		Usage:    []protocol.UsageRow{{Window: 12345, Workspace: "w", Count: 17}},
		Wants:    []protocol.QuotaRequest{{Workspace: "w", Units: 1234.5}},
		Pressure: []protocol.Pressure{{Service: "model", Begun: 12, Work: 0.3, Lanes: protocol.LaneParams{Mean: 6000, Seen: 4}}},
		Done:     []protocol.PlaceDone{{Term: 1, Number: 4, First: 20 * time.Millisecond, Took: time.Second}},
		Clock:    time.Date(2026, 1, 2, 3, 4, 5, 678901234, time.UTC),
	}
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		m.Running = append(m.Running, protocol.ServerLoad{Server: id, Running: 1})
	}
	return m
}

// TestMessagesRoundTrip checks that messages between instances arrive unchanged:
// times to the nanosecond, bytes, log entries, empty fields.
func TestMessagesRoundTrip(t *testing.T) {
	address := serveEcho(t, echoKey)
	l := NewLinks("entry-1", []byte(echoKey), time.Second, zerolog.Nop())
	t.Cleanup(l.closeAll)
	for name, m := range map[string]protocol.SyncMsg{"full": gatewayReport(), "empty": {}} {
		var got protocol.SyncMsg
		if err := l.Call(address, "Echo.Sync", m, &got, 10*time.Second); err != nil {
			t.Fatal(err)
		}
		if !cmp.Equal(got, m) {
			t.Errorf("%s: %s", name, cmp.Diff(m, got))
		}
	}
	id := protocol.ReplicaID{Name: "10.0.0.1:1", Incarnation: 1<<64 - 1}
	m := StepArgs{Group: 7, Messages: []replicate.Message{{
		Kind: replicate.Append, From: id, To: id, Term: 3,
		Entries: []replicate.Entry{{Index: 1, Term: 3, Kind: replicate.EntryMembers, Data: bytes.Repeat([]byte{0, 255}, maxReusedBuffer)}},
	}}}
	var got StepArgs
	if err := l.Call(address, "Echo.Step", m, &got, 10*time.Second); err != nil {
		t.Fatal(err)
	}
	if !cmp.Equal(got, m) {
		t.Error(cmp.Diff(m, got))
	}
}

// TestMethodErrors checks that the error of a method and that of an unknown method
// reach the caller and leave the connection usable.
func TestMethodErrors(t *testing.T) {
	address := serveEcho(t, echoKey)
	l := NewLinks("entry-1", []byte(echoKey), time.Second, zerolog.Nop())
	t.Cleanup(l.closeAll)
	var done bool
	for _, method := range []string{"Echo.Fail", "Echo.None", "None.None"} {
		var own rpc.ServerError
		if err := l.Call(address, method, true, &done, 10*time.Second); !errors.As(err, &own) {
			t.Errorf("%s: %v", method, err)
		}
	}
	first := l.clients[address]
	var got protocol.SyncMsg
	if err := l.Call(address, "Echo.Sync", gatewayReport(), &got, 10*time.Second); err != nil || l.clients[address] != first {
		t.Errorf("call after method errors: %v", err)
	}
}

// TestUnreadableFrames checks that invalid and oversized frames end in an error
// and not in a large buffer.
func TestUnreadableFrames(t *testing.T) {
	length := func(n uint32) []byte { return binary.BigEndian.AppendUint32(nil, n) }
	for name, c := range map[string]struct {
		sent []byte
		want error
	}{
		"too long":   {length(maxHelloBytes + 1), ErrFrame},
		"not CBOR":   {append(length(2), 0xff, 0xff), ErrFrame},
		"wrong type": {append(length(1), 0x01), ErrFrame}, // A number instead of a map.
		"no body":    {length(0), ErrFrame},
		"no hello":   {[]byte("GET / HTTP/1.1\r\n\r\n"), ErrFrame},
		"cut short":  {append(length(9), 0x01), io.ErrUnexpectedEOF},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := net.Pipe()
			go func() {
				_, _ = near.Write(c.sent) // The peer may have closed the connection.
				_ = near.Close()
			}()
			defer func() { _ = far.Close() }()
			if _, err := NewLinks("a", []byte(echoKey), time.Second, zerolog.Nop()).accept(far); !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
}

// BenchmarkFirstCalls opens a connection and makes one call, as each gateway does
// after a leader is elected. It measures the cost of both ends together.
func BenchmarkFirstCalls(b *testing.B) {
	address := serveEcho(b, echoKey)
	m := gatewayReport()
	b.ReportAllocs()
	for b.Loop() {
		l := NewLinks("gateway", []byte(echoKey), time.Second, zerolog.Nop())
		var got protocol.SyncMsg
		if err := l.Call(address, "Echo.Sync", m, &got, 10*time.Second); err != nil {
			b.Fatal(err)
		}
		l.closeAll()
	}
}
