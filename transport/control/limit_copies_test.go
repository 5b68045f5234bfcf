package control

import (
	"errors"
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
