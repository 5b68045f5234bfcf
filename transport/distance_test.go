package transport

import (
	"net"
	"runtime"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/weldstream/weldstream/coordination/topology"
)

// Echoing returns its argument.
type Echoing struct{}

// Say is a net/rpc method.
func (Echoing) Say(text string, reply *string) error {
	*reply = text
	return nil
}

// TestBytesByDistance checks that both ends of a connection count its bytes under
// the distance to the peer, and under no other.
func TestBytesByDistance(t *testing.T) {
	regions := topology.New(map[string]string{"a1": "a", "a2": "a", "b1": "b"})
	for _, c := range []struct {
		domain string
		want   topology.Distance
	}{{"a1", topology.SameDomain}, {"a2", topology.SameRegion}, {"b1", topology.OtherRegion}} {
		newLinks := func(domain string) *Links {
			l := NewLinks(domain, []byte(echoKey), time.Second, zerolog.Nop())
			l.MeterDistances(regions, domain, metrics.NewRegistry())
			return l
		}
		server, client := newLinks("a1"), newLinks(c.domain)
		if err := server.Register("Echoing", Echoing{}); err != nil {
			t.Fatal(err)
		}
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = server.Serve(t.Context(), ln) }()
		for range 2 { // The first call may be read together with the handshake.
			var reply string
			if err := client.Call(ln.Addr().String(), "Echoing.Say", "some text", &reply, 10*time.Second); err != nil || reply != "some text" {
				t.Fatalf("%q, %v", reply, err)
			}
		}
		for _, l := range []*Links{server, client} {
			want := &l.distances.meters[c.want]
			for end := time.Now().Add(10 * time.Second); want.sent.Load() == 0 || want.received.Load() == 0; runtime.Gosched() {
				if time.Now().After(end) {
					t.Fatalf("%s: %d bytes sent and %d received", c.domain, want.sent.Load(), want.received.Load())
				}
			}
			for d := range l.distances.meters {
				if m := &l.distances.meters[d]; m != want && m.sent.Load()+m.received.Load() > 0 {
					t.Errorf("%s: bytes are counted under the distance %v", c.domain, topology.Distance(d))
				}
			}
		}
	}
}
