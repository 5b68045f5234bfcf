package control

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/weldstream/weldstream/protocol"
)

// brittle is the limit of a server that is brittle.
var brittle = protocol.RateLimit{Brittle: true, MaxRejections: 8}

// copyCaller answers requests for copies from another instance.
type copyCaller struct{ from *Uplink }

func (c copyCaller) Call(_, method string, args, reply any, _ time.Duration) error {
	m, ok := args.(protocol.LimitsMsg)
	if !ok || method != "Uplink.LimitCopies" {
		return errors.New("unexpected call of " + method)
	}
	return c.from.LimitCopies(m, reply.(*protocol.LimitsReply))
}

// TestNewLeaderKnowsLimits checks that a new leader knows the limits that its predecessor knew: from
// its own copy, or, if it has just started, from that of another instance.
func TestNewLeaderKnowsLimits(t *testing.T) {
	leader := newUplink(newFakeGroup())
	var learned protocol.LimitsReply
	heard := protocol.LimitsMsg{Gateway: "g", Life: 1, Heard: []protocol.ReportedLimit{{Server: "a", Limit: brittle}}}
	if err := leader.Limits(heard, &learned); err != nil {
		t.Fatal(err)
	}
	var copied protocol.LimitsReply
	if err := leader.Limits(protocol.LimitsMsg{}, &copied); err != nil {
		t.Fatal(err)
	}
	withCopy := newUplink(newFakeGroup())
	withCopy.limitCopies.apply(&copied)
	started := NewUplink(newFakeGroup(), func() (string, []string) { return "", []string{"other", "relay"} }, parse, 8*time.Second)
	started.relay.Store(NewRelay(started, copyCaller{withCopy}, "r", "relay", metrics.NewRegistry()))
	for name, u := range map[string]*Uplink{"with a copy": withCopy, "just started": started} {
		var reply protocol.LimitsReply
		if err := u.Limits(protocol.LimitsMsg{Gateway: "g", Life: 2}, &reply); err != nil {
			t.Fatal(err)
		}
		if len(reply.Limits) != 1 || reply.Limits[0] != (protocol.ServerLimit{Server: "a", Limit: brittle}) {
			t.Errorf("%s: got %+v", name, reply.Limits)
		}
	}
}

// countingCaller answers requests for copies as the address says, and counts them.
type countingCaller struct {
	mu    sync.Mutex // mu guards calls.
	calls map[string]int
}

func (c *countingCaller) Call(address, _ string, _, reply any, _ time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[address]++
	switch {
	case strings.HasPrefix(address, "refused"):
		return fmt.Errorf("connect to peer: %w", syscall.ECONNREFUSED)
	case strings.HasPrefix(address, "silent"):
		return errors.New("the call timed out")
	case strings.HasPrefix(address, "late") && c.calls[address] > 2:
		*reply.(*protocol.LimitsReply) = protocol.LimitsReply{Leads: true, Limits: []protocol.ServerLimit{{Server: "a", Limit: brittle}}}
	case strings.HasPrefix(address, "late"):
		return errors.New("the call timed out")
	}
	return nil // It has no copy.
}

// TestLeaderDoesNotWaitForLimitsNobodyHas guards against gateways that send nothing for as long as a
// new leader asks instances for limits that have said that they have none, or cannot have any.
func TestLeaderDoesNotWaitForLimitsNobodyHas(t *testing.T) {
	for name, c := range map[string]struct {
		voters []string
		again  string // again is the only instance that is asked more than once; empty for none.
		limits int
	}{
		"all have just started":          {[]string{"self", "started-1", "started-2", "started-3", "started-4"}, "", 0},
		"some are still down":            {[]string{"self", "started-1", "started-2", "refused-1", "refused-2"}, "", 0},
		"one may have limits":            {[]string{"self", "started-1", "started-2", "refused-1", "silent-1"}, "silent-1", 0},
		"one that answers late has some": {[]string{"self", "started-1", "late-1"}, "late-1", 1},
	} {
		t.Run(name, func(t *testing.T) {
			caller := &countingCaller{calls: map[string]int{}}
			known := c.voters[:2] // The others are not known from the membership yet.
			u := NewUplink(newFakeGroup(), func() (string, []string) { return "", known }, parse, 8*time.Second, WithVoters(func() []string { return c.voters }))
			u.relay.Store(NewRelay(u, caller, "r", "self", metrics.NewRegistry()))
			var reply protocol.LimitsReply
			if err := u.Limits(protocol.LimitsMsg{Gateway: "g", Life: 1}, &reply); err != nil || len(reply.Limits) != c.limits {
				t.Fatalf("got %+v, error %v, want %d limits", reply, err, c.limits)
			}
			for _, v := range c.voters[1:] {
				if n := caller.calls[v]; (v == c.again) != (n > 1) || n == 0 {
					t.Errorf("%s was asked %d times", v, n)
				}
			}
			if caller.calls["self"] > 0 {
				t.Error("the leader asked itself")
			}
		})
	}
}

// TestNoRoomBeforePredecessorsExpired checks that a new leader grants no room at a brittle server that
// its predecessor may have granted to others, and renews what a gateway has.
func TestNoRoomBeforePredecessorsExpired(t *testing.T) {
	g := newFakeGroup()
	u := newUplink(g)
	ask := func(gateway string, places, credits int) protocol.RoomGrant {
		t.Helper()
		m := protocol.LimitsMsg{Gateway: gateway, Life: 1, Heard: []protocol.ReportedLimit{{Server: "a", Limit: brittle}}}
		m.Rooms = []protocol.RoomRequest{{Server: "a", Service: "s", Slots: 32, Places: places, Credits: credits, Wanted: 1}}
		var reply protocol.LimitsReply
		if err := u.Limits(m, &reply); err != nil || len(reply.Rooms) != 1 {
			t.Fatalf("got %+v, error %v", reply, err)
		}
		return reply.Rooms[0]
	}
	if r := ask("g", 5, 2); r.Places != 5 || r.Credits != 2 {
		t.Errorf("a gateway that has room: got %+v", r)
	}
	if r := ask("h", 0, 0); r.Places != 0 || r.Credits != 0 {
		t.Errorf("a gateway that has none: got %+v", r)
	}
}

// TestRelayThatDoesNotKnowLimitsSaysSo guards against a gateway that has just started and sends to servers whose limits
// the leader knows, since its relay had not asked for their version yet.
func TestRelayThatDoesNotKnowLimitsSaysSo(t *testing.T) {
	leader, _, w := newLeader(3)
	w.noLimits = true
	relay, _ := newTestRelay(t, w, "a")
	leader.Install(5, []byte("five"))
	sync := func() protocol.SyncReply {
		return receive(t, syncAsync(relay, protocol.SyncMsg{Gateway: "g", Lister: 1}), "an answer")
	}
	if r := sync(); !r.Leads || r.Limits == 0 {
		t.Errorf("a relay that knows no version: leads %v, limits %d", r.Leads, r.Limits)
	}
	w.set(func() { w.noLimits = false })
	mustLimits(t, relay, protocol.LimitsMsg{Gateway: "g", Life: 1, Number: 1})
	if r := sync(); !r.Leads || r.Limits != 0 {
		t.Errorf("a leader without limits: leads %v, limits %d", r.Leads, r.Limits)
	}
}
