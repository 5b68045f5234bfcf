package control

import (
	"testing"

	"github.com/weldstream/weldstream/protocol"
)

// TestLeaderPresumesLoggedBrittleServices guards against servers that fall over after all instances and gateways have
// started: what servers had said was known to nobody.
func TestLeaderPresumesLoggedBrittleServices(t *testing.T) {
	u := newUplink(newFakeGroup())
	u.InstallBrittleServices([]protocol.BrittleService{{Service: "s", MaxRejections: 3}})
	u.SetServers(1, []protocol.Instance{{ID: "a@5", Service: "s"}, {ID: "b@5", Service: "other"}})
	if r := mustSync(t, u, protocol.SyncMsg{Gateway: "g"}); r.Limits == 0 {
		t.Error("a gateway is not told that there are limits")
	}
	got := mustLimits(t, u, protocol.LimitsMsg{Gateway: "g", Life: 1, Number: 1}).Limits
	want := protocol.ServerLimit{Server: "a@5", Service: "s", Limit: protocol.RateLimit{Brittle: true, MaxRejections: 3}, Presumed: true}
	if len(got) != 1 || got[0] != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// TestReservedCreditBehindKnownPredecessor checks that a new leader grants the reserved credit only if it has a copy of
// its predecessor's limits from when that had nothing of an earlier leader to wait for.
func TestReservedCreditBehindKnownPredecessor(t *testing.T) {
	for name, c := range map[string]struct {
		copied protocol.LimitsReply
		want   bool
	}{
		"from the predecessor":              {protocol.LimitsReply{Term: 6, RoomsOpen: true}, true},
		"from the predecessor, not open":    {protocol.LimitsReply{Term: 6}, false},
		"from the one before":               {protocol.LimitsReply{Term: 5, RoomsOpen: true}, false},
		"none since the instance's start":   {protocol.LimitsReply{}, false},
		"of an earlier build's predecessor": {protocol.LimitsReply{Term: 6, GrantsRooms: true}, false},
	} {
		t.Run(name, func(t *testing.T) {
			u := newUplink(newFakeGroup())
			u.limitCopies.apply(&c.copied)
			u.term = 7
			if got := len(u.ledgerOptions()) > 0; got != c.want {
				t.Errorf("granted early: %v, want %v", got, c.want)
			}
		})
	}
}
