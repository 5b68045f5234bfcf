package uplink

import (
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/weldstream/weldstream/coordination/topology"
	"github.com/weldstream/weldstream/protocol"
)

// The control instances of two regions: near and near2 in the gateway's, far leads.
var (
	controls = []string{"near", "near2", "far"}
	domains  = []string{"a1", "a2", "b1"}
	regions  = topology.New(map[string]string{"a1": "a", "a2": "a", "b1": "b"})
)

// faults is how instances fail; one without a fault answers.
type faults struct {
	mu      sync.Mutex
	of      map[string]string
	asked   []string
	release chan struct{} // release lets silent ones end.
}

func (f *faults) set(of map[string]string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.of = of
}

func (f *faults) Call(address, method string, args, reply any, _ time.Duration) error {
	f.mu.Lock()
	fault := f.of[address]
	if method == "Uplink.Sync" {
		f.asked = append(f.asked, address)
	}
	f.mu.Unlock()
	switch fault {
	case "killed":
		return errors.New("connection refused")
	case "frozen":
		<-f.release
		return errors.New("no answer in time")
	}
	if r, ok := reply.(*protocol.LeaderReply); ok {
		*r = protocol.LeaderReply{Controls: controls, Domains: domains}
		if args.(protocol.LeaderMsg).Besides != "far" {
			r.Leader = "far"
		}
		return nil
	}
	r := protocol.SyncReply{Leader: "far", Controls: controls, Domains: domains, Term: 2, Number: 3}
	switch fault {
	case "cut off from the leader":
	case "knows no leader":
		r.Leader = ""
	default:
		r.Leads = args.(protocol.SyncMsg).Relayed || address == "far"
	}
	*reply.(*protocol.SyncReply) = r
	return nil
}

// newRegional returns the client of a gateway in a domain with its own instance.
func newRegional(t *testing.T, f *faults, g Gateway) *Client {
	t.Helper()
	f.release = make(chan struct{})
	t.Cleanup(func() { close(f.release) })
	return New(f, g, controls, unpackIDs, zerolog.Nop(), WithRegions(regions, "a1", "g"))
}

// until steps until the gateway is linked to an instance.
func until(t *testing.T, c *Client, want string) {
	t.Helper()
	for end := time.Now().Add(patience); c.linked != want; {
		if time.Now().After(end) {
			t.Fatalf("linked to %q, want %q", c.linked, want)
		}
		c.step(t.Context())
	}
}

// TestGatewayLeavesItsRelay checks that a gateway whose relay is killed, freezes (or is
// cut off from it), or is cut off from the leader, asks the other instance of its
// region, and the leader where that fails too, and comes back.
func TestGatewayLeavesItsRelay(t *testing.T) {
	for _, fault := range []string{"killed", "frozen", "cut off from the leader", "knows no leader"} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			f, g := &faults{}, &fakeGateway{}
			c := newRegional(t, f, g)
			until(t, c, "near")
			f.set(map[string]string{"near": fault})
			until(t, c, "near2")
			f.set(map[string]string{"near": fault, "near2": fault})
			until(t, c, "far")
			f.set(nil)
			until(t, c, "near")
		})
	}
}

// TestSilentRelayIsLeftInTime checks that a gateway waits for a silent relay about as
// long as for a silent leader, and tells meanwhile that the answer is overdue.
func TestSilentRelayIsLeftInTime(t *testing.T) {
	f, g := &faults{}, &fakeGateway{}
	c := newRegional(t, f, g)
	until(t, c, "near")
	for range 20 {
		c.step(t.Context()) // Answers that take next to nothing.
	}
	if due := c.due("near"); due > 2*answerDue {
		t.Errorf("overdue after %v", due)
	}
	before := g.overdue.Load()
	f.set(map[string]string{"near": "frozen"})
	until(t, c, "near2")
	if g.overdue.Load() == before {
		t.Error("the gateway was not told that the answer is overdue")
	}
}

// TestOneRegionAsksTheLeader checks that without several regions nobody but the leader
// is asked, and no relaying is asked for.
func TestOneRegionAsksTheLeader(t *testing.T) {
	f, g := &faults{release: make(chan struct{})}, &fakeGateway{}
	one := topology.New(map[string]string{"a1": "a", "a2": "a"})
	c := New(f, g, controls, unpackIDs, zerolog.Nop(), WithRegions(one, "a1", "g"))
	until(t, c, "far")
	for range 3 {
		c.step(t.Context())
	}
	if f.asked = slices.Compact(f.asked); !slices.Equal(f.asked, []string{"far"}) || c.due("far") != answerDue {
		t.Errorf("asked %v", f.asked)
	}
}

// TestLoadsAsChanges checks that the gateway gets all loads where only changes are
// told, and asks for all of them after changes that it cannot read.
func TestLoadsAsChanges(t *testing.T) {
	g := &fakeGateway{}
	c := New(nil, g, nil, unpackIDs, zerolog.Nop())
	mark := func(version uint64) protocol.LoadVersion {
		return protocol.LoadVersion{Incarnation: 5, Version: version}
	}
	for _, step := range []struct {
		reply protocol.SyncReply
		want  string
		mark  protocol.LoadVersion
	}{
		{protocol.SyncReply{Loads: []byte{1, 2, 3}, Loaded: mark(1)}, "\x01\x02\x03", mark(1)},
		{protocol.SyncReply{LoadChanges: []byte{1, 9}, Loaded: mark(2)}, "\x01\x09\x03", mark(2)},
		{protocol.SyncReply{Loaded: mark(2)}, "\x01\x09\x03", mark(2)},
		{protocol.SyncReply{LoadChanges: []byte{7, 9}, Loaded: mark(3)}, "\x01\x09\x03", protocol.LoadVersion{}},
		{protocol.SyncReply{Loads: []byte{4}}, "\x04", protocol.LoadVersion{}},
	} {
		_ = c.share(&step.reply)
		if string(g.loads) != step.want || c.mark != step.mark {
			t.Errorf("%+v: loads %v, mark %v", step.reply, g.loads, c.mark)
		}
	}
}
