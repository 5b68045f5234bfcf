package control

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/weldstream/weldstream/protocol"
)

// gatewayBuilds are a gateway's questions, by its build, and how it is told of the start 5 of
// a server "a".
var gatewayBuilds = map[string]struct {
	from protocol.SyncMsg
	want string
}{
	"no starts":              {protocol.SyncMsg{Gateway: "g"}, "a"},
	"starts and no features": {protocol.SyncMsg{Gateway: "g", Quarantined: new(uint64)}, "a@5"},
	"today's":                {protocol.SyncMsg{Gateway: "g", Features: protocol.OwnFeatures}, "a@5"},
}

// TestGatewaysOfEarlierBuilds checks how gateways of three builds are told of a server that
// tells its start: one that knows no starts, by the name alone, whole at each change; one that
// knows them and tells no features; and one of today. What each reports counts for the same
// server.
func TestGatewaysOfEarlierBuilds(t *testing.T) {
	for name, c := range gatewayBuilds {
		u := newUplink(newFakeGroup())
		u.SetServers(1, []protocol.Instance{{ID: "a@5", Service: "s"}, {ID: "b", Service: "s"}})
		first := sync1(t, u, c.from)
		if got := ids(t, first.List); !cmp.Equal(got, []string{c.want, "b"}) {
			t.Errorf("%s: told of %v", name, got)
		}
		next := c.from
		next.Lister, next.Servers = first.Lister, first.Version
		next.Running = []protocol.ServerLoad{{Server: c.want, Running: 3}}
		told := sync1(t, u, next)
		if told.Listed {
			t.Errorf("%s: told of the list again", name)
		}
		if byOrder := len(told.Loads) > 0; byOrder != (c.want == "a@5") {
			t.Errorf("%s: told of loads by the order of the list: %v", name, byOrder)
		}
		if got := u.loads.Running("a@5"); got != 3 {
			t.Errorf("%s: the server has %d requests, want 3", name, got)
		}
	}
}

// TestStartlessPlatform checks that a gateway of an earlier build loses nothing where the
// platform tells no starts.
func TestStartlessPlatform(t *testing.T) {
	u := newUplink(newFakeGroup())
	u.SetServers(1, []protocol.Instance{{ID: "a", Service: "s"}})
	first := sync1(t, u, protocol.SyncMsg{Gateway: "g"})
	told := sync1(t, u, protocol.SyncMsg{Gateway: "g", Lister: first.Lister, Servers: first.Version})
	if len(told.Loads) == 0 {
		t.Error("it is told no loads")
	}
}

// ids returns the servers of a packed list.
func ids(t *testing.T, packed []byte) []string {
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

// TestRelaysAreToldStarts checks that a relay, and through it each gateway, is told of a
// server as the leader tells gateways of that build. Told names alone, a relay passed these on;
// gateways of the build before, which had the starts from the leader itself, took the names for
// older news and left all servers out ("list of servers", servers 0; soak seed 105 in three
// regions).
func TestRelaysAreToldStarts(t *testing.T) {
	for name, c := range gatewayBuilds {
		leader, _, w := newLeader(1)
		leader.SetServers(1, []protocol.Instance{{ID: "a@5", Service: "s"}})
		relay, _ := newRelayOf(t, w, "relay")
		r := within(t, asked(relay, c.from), "an answer")
		if got := ids(t, r.List); !cmp.Equal(got, []string{c.want}) {
			t.Errorf("%s: told of %v", name, got)
		}
	}
}
