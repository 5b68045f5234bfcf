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

// The control instances of two regions: near and near2 are in the gateway's region, far leads.
var (
	controls = []string{"near", "near2", "far"}
	domains  = []string{"a1", "a2", "b1"}
	regions  = topology.New(map[string]string{"a1": "a", "a2": "a", "b1": "b"})
)

// faultyCaller simulates control instances with faults by address. An instance without a fault
// answers.
type faultyCaller struct {
	mu        sync.Mutex
	byAddress map[string]string
	asked     []string
	release   chan struct{} // release ends the calls to frozen instances.
}

func (f *faultyCaller) set(faults map[string]string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.byAddress = faults
}

func (f *faultyCaller) Call(address, method string, args, reply any, _ time.Duration) error {
	f.mu.Lock()
	fault := f.byAddress[address]
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

// newRegionalClient returns the client of a gateway in a failure domain that has a control
// instance.
func newRegionalClient(t *testing.T, f *faultyCaller, g Gateway) *Client {
	t.Helper()
	f.release = make(chan struct{})
	t.Cleanup(func() { close(f.release) })
	return New(f, g, controls, unpackIDs, zerolog.Nop(), WithRegions(regions, "a1", "g"))
}

// stepUntilLinked calls step until the client is linked to the wanted instance.
func stepUntilLinked(t *testing.T, c *Client, want string) {
	t.Helper()
	for end := time.Now().Add(testTimeout); c.linked != want; {
		if time.Now().After(end) {
			t.Fatalf("linked to %q, want %q", c.linked, want)
		}
		c.step(t.Context())
	}
}

// TestFailedRelayIsReplaced checks that a gateway whose relay is killed, is frozen or
// unreachable, or has lost the leader uses the other instance of its region, then the leader
// if that one fails too, and returns to its relay after recovery.
func TestFailedRelayIsReplaced(t *testing.T) {
	for _, fault := range []string{"killed", "frozen", "cut off from the leader", "knows no leader"} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			f, g := &faultyCaller{}, &fakeGateway{}
			c := newRegionalClient(t, f, g)
			stepUntilLinked(t, c, "near")
			f.set(map[string]string{"near": fault})
			stepUntilLinked(t, c, "near2")
			f.set(map[string]string{"near": fault, "near2": fault})
			stepUntilLinked(t, c, "far")
			f.set(nil)
			stepUntilLinked(t, c, "near")
		})
	}
}

// TestSilentRelayTimesOut checks that a silent relay times out about as fast as a silent leader
// and that the gateway is told that the answer is overdue.
func TestSilentRelayTimesOut(t *testing.T) {
	f, g := &faultyCaller{}, &fakeGateway{}
	c := newRegionalClient(t, f, g)
	stepUntilLinked(t, c, "near")
	for range 20 {
		c.step(t.Context()) // These answers take almost no time.
	}
	if due := c.answerTimeout("near"); due > 2*overdueTimeout {
		t.Errorf("relay is overdue only after %v", due)
	}
	before := g.overdue.Load()
	f.set(map[string]string{"near": "frozen"})
	stepUntilLinked(t, c, "near2")
	if g.overdue.Load() == before {
		t.Error("the gateway was not told that the answer is overdue")
	}
}

// TestOneRegionAsksTheLeader checks that with one region only the leader is asked and no relay
// is used.
func TestOneRegionAsksTheLeader(t *testing.T) {
	f, g := &faultyCaller{release: make(chan struct{})}, &fakeGateway{}
	one := topology.New(map[string]string{"a1": "a", "a2": "a"})
	c := New(f, g, controls, unpackIDs, zerolog.Nop(), WithRegions(one, "a1", "g"))
	stepUntilLinked(t, c, "far")
	for range 3 {
		c.step(t.Context())
	}
	if f.asked = slices.Compact(f.asked); !slices.Equal(f.asked, []string{"far"}) || c.answerTimeout("far") != overdueTimeout {
		t.Errorf("asked %v, want only the leader", f.asked)
	}
}

// TestLoadChangesAreApplied checks that the gateway gets all loads after an answer with only the
// changes, and that the client requests all loads after changes that it cannot decode.
func TestLoadChangesAreApplied(t *testing.T) {
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
		_ = c.updateLoads(&step.reply)
		if string(g.loads) != step.want || c.loadVersion != step.mark {
			t.Errorf("%+v: loads %v, mark %v", step.reply, g.loads, c.loadVersion)
		}
	}
}
