package control

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/weldstream/weldstream/protocol"
)

// gatewayBuilds are the requests of gateways by build, and how incarnation 5 of a server "a" is
// sent to them.
var gatewayBuilds = map[string]struct {
	from protocol.SyncMsg
	want string
}{
	"no starts":              {protocol.SyncMsg{Gateway: "g"}, "a"},
	"starts and no features": {protocol.SyncMsg{Gateway: "g", Quarantined: new(uint64)}, "a@5"},
	"today's":                {protocol.SyncMsg{Gateway: "g", Features: protocol.OwnFeatures}, "a@5"},
}

// TestGatewaysOfEarlierBuilds checks how a server with an incarnation is sent to gateways of
// three builds: to one without support for incarnations by name only, with the complete list at
// each change; to one with that support but without features; and to a current one. The loads
// that each reports count for the same server.
func TestGatewaysOfEarlierBuilds(t *testing.T) {
	for name, c := range gatewayBuilds {
		u := newUplink(newFakeGroup())
		u.SetServers(1, []protocol.Instance{{ID: "a@5", Service: "s"}, {ID: "b", Service: "s"}})
		first := mustSync(t, u, c.from)
		if got := listIDs(t, first.List); !cmp.Equal(got, []string{c.want, "b"}) {
			t.Errorf("%s: received servers %v", name, got)
		}
		next := c.from
		next.Lister, next.Servers = first.Lister, first.Version
		next.Running = []protocol.ServerLoad{{Server: c.want, Running: 3}}
		told := mustSync(t, u, next)
		if told.Listed {
			t.Errorf("%s: received the list again", name)
		}
		if byOrder := len(told.Loads) > 0; byOrder != (c.want == "a@5") {
			t.Errorf("%s: received loads by the order of the list: %v", name, byOrder)
		}
		if got := u.loads.Running("a@5"); got != 3 {
			t.Errorf("%s: the server has %d requests, want 3", name, got)
		}
	}
}

// TestPlatformWithoutIncarnations checks that a gateway of an earlier build receives everything
// if the platform does not report incarnations.
func TestPlatformWithoutIncarnations(t *testing.T) {
	u := newUplink(newFakeGroup())
	u.SetServers(1, []protocol.Instance{{ID: "a", Service: "s"}})
	first := mustSync(t, u, protocol.SyncMsg{Gateway: "g"})
	told := mustSync(t, u, protocol.SyncMsg{Gateway: "g", Lister: first.Lister, Servers: first.Version})
	if len(told.Loads) == 0 {
		t.Error("the gateway receives no loads")
	}
}

// listIDs returns the server IDs in an encoded list.
func listIDs(t *testing.T, packed []byte) []string {
	t.Helper()
	list, err := UnpackList(packed)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, in := range list.Servers {
		names = append(names, in.ID)
	}
	return names
}

// TestRelaysReceiveIncarnations checks that a relay, and each gateway through it, receives
// servers in the same form as the leader sends to gateways of that build. A relay that received
// names only forwarded them, and gateways of the previous build, which had received
// incarnations from the leader, treated the names as older and dropped all servers ("list of
// servers", servers 0; soak seed 105 in three regions).
func TestRelaysReceiveIncarnations(t *testing.T) {
	for name, c := range gatewayBuilds {
		leader, _, w := newLeader(1)
		leader.SetServers(1, []protocol.Instance{{ID: "a@5", Service: "s"}})
		relay, _ := newTestRelay(t, w, "relay")
		r := receive(t, syncAsync(relay, c.from), "an answer")
		if got := listIDs(t, r.List); !cmp.Equal(got, []string{c.want}) {
			t.Errorf("%s: received servers %v", name, got)
		}
	}
}
