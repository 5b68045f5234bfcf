package control

import (
	"bytes"
	"testing"
	"time"

	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// TestLoadsOfAllGateways checks that each gateway receives the loads of all gateways, in the
// order of the server IDs, and only if it holds the same list.
func TestLoadsOfAllGateways(t *testing.T) {
	u := newUplink(newFakeGroup())
	u.SetServers(1, []protocol.Instance{{ID: "b"}, {ID: "a"}})
	first := mustSync(t, u, protocol.SyncMsg{Gateway: "g", Running: []protocol.ServerLoad{{Server: "b", Running: 3}}})
	if len(first.Loads) > 0 {
		t.Errorf("loads %v for a gateway without the list", first.Loads)
	}
	u.common = commonReply{} // As if it had expired.
	got := mustSync(t, u, protocol.SyncMsg{Gateway: "h", Lister: first.Lister, Servers: first.Version, Running: []protocol.ServerLoad{{Server: "b", Running: 2}, {Server: "a", Running: 1}}})
	if !bytes.Equal(got.Loads, []byte{1, 5}) {
		t.Errorf("loads %v, want 1 and 5", got.Loads)
	}
	u.gateways["g"].lastSeen = clock.Now().Add(-gatewayTTL - time.Second)
	u.countGateways(clock.Now())
	if n := u.loads.Running("b"); n != 2 {
		t.Errorf("b has %d requests after a gateway was dropped, want 2", n)
	}
}

// TestClockFollowsMajority checks that the agreed wall-clock time is that of most instances,
// also if the clock of the leader or of some gateways differs.
func TestClockFollowsMajority(t *testing.T) {
	for name, ahead := range map[string][]time.Duration{
		"the leader is behind": {3 * time.Second, 3 * time.Second, 3 * time.Second},
		"a gateway is ahead":   {0, 0, 3 * time.Second},
	} {
		u := newUplink(newFakeGroup())
		var got protocol.SyncReply
		for i, d := range ahead {
			got = mustSync(t, u, protocol.SyncMsg{Gateway: string(rune('a' + i)), Clock: time.Now().Add(d)})
		}
		want := time.Now().Add(ahead[0])
		if off := got.Clock.Sub(want).Abs(); off > time.Second {
			t.Errorf("%s: the agreed time is off by %v", name, off)
		}
		if off := u.Clock().Sub(want).Abs(); off > time.Second {
			t.Errorf("%s: the leader's clock for windows is off by %v", name, off)
		}
	}
}
