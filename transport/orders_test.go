package transport

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/state"
)

// fakeLease answers Leads from a list and then repeats the last answer.
type fakeLease struct {
	answers []leaseAnswer
}

type leaseAnswer struct {
	term uint64
	ok   bool
}

func (f *fakeLease) Leads() (uint64, bool) {
	a := f.answers[0]
	if len(f.answers) > 1 {
		f.answers = f.answers[1:]
	}
	return a.term, a.ok
}

// TestOrdersRequireLease checks that an order is sent only if the lease of the
// same term holds right before it, and not until a new leader has waited for its
// predecessor's lease to expire.
func TestOrdersRequireLease(t *testing.T) {
	yes, no, next := leaseAnswer{7, true}, leaseAnswer{7, false}, leaseAnswer{9, true}
	for _, tt := range []struct {
		name   string
		leads  []leaseAnswer
		settle time.Duration
		want   int
	}{
		{"leads", []leaseAnswer{yes}, 0, 1},
		{"does not lead", []leaseAnswer{no}, 0, 0},
		{"lease expired before the order", []leaseAnswer{yes, no}, 0, 0},
		{"new term before the order", []leaseAnswer{yes, next}, 0, 0},
		{"newly elected", []leaseAnswer{yes}, time.Hour, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			orders := 0
			srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { orders++ }))
			defer srv.Close()
			tables := state.NewTables()
			tables.Install(protocol.Revision{Number: 1, Config: &protocol.Config{
				Models:   []protocol.Model{{Name: "m"}},
				Adapters: []protocol.Adapter{{Name: "a", Model: "m"}},
			}})
			tables.Backends.SetList([]protocol.Instance{{ID: "e", Kind: protocol.InstanceEngine, Address: strings.TrimPrefix(srv.URL, "http://")}}, time.Now())
			tables.Backends.SetReports([]state.ReportRow{{Server: "e", Report: protocol.LoadReport{Models: []string{"m"}}, At: time.Now()}})
			c := NewCommander(&fakeLease{answers: tt.leads}, tt.settle, time.Second, tables, zerolog.Nop())
			c.round()
			if orders != tt.want {
				t.Errorf("%d orders, want %d", orders, tt.want)
			}
		})
	}
}

// TestPeerAuthentication connects with another key, another protocol version and
// an invalid proof: each is refused and logged.
func TestPeerAuthentication(t *testing.T) {
	var log strings.Builder
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	server := NewLinks("server", []byte("the cluster's key"), time.Second, zerolog.New(&log))
	go func() {
		defer close(done)
		for range 3 {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			server.serveConn(conn)
		}
	}()
	var reply bool
	wrong := NewLinks("wrong", []byte("another key"), time.Second, zerolog.Nop())
	if err := wrong.Call(ln.Addr().String(), "Member.Ping", protocol.GossipMsg{}, &reply, time.Second); err == nil || !strings.Contains(err.Error(), "key") {
		t.Errorf("call with another key: %v", err)
	}
	for _, first := range []hello{{Version: protocol.PeerVersion + 1, Name: "newer"}, {Version: protocol.PeerVersion, Name: "liar"}} {
		conn, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		s, err := newHandshake(conn)
		if err != nil {
			t.Fatal(err)
		}
		first.Nonce = s.nonce
		if err := s.frames.write(first); err != nil {
			t.Fatal(err)
		}
		_ = s.frames.write(hello{Proof: []byte("guess")})
		_, _ = s.receive()
		conn.Close()
	}
	<-done
	for _, want := range []string{`"peer":"newer"`, ErrPeerVersion.Error(), `"peer":"liar"`, ErrPeerKey.Error()} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("the log does not contain %q:\n%s", want, log.String())
		}
	}
}
