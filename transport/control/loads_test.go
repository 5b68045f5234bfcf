package control

import (
	"bytes"
	"testing"
	"time"

	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// TestLoadsOfAllGateways checks that each gateway is told what all of them have
// under way, in the order of the servers' names, and only with the same list.
func TestLoadsOfAllGateways(t *testing.T) {
	u := newUplink(newFakeGroup())
	u.SetServers(1, []protocol.Instance{{ID: "b"}, {ID: "a"}})
	first := sync1(t, u, protocol.SyncMsg{Gateway: "g", Running: []protocol.ServerLoad{{Server: "b", Running: 3}}})
	if len(first.Loads) > 0 {
		t.Errorf("loads %v for a gateway without the list", first.Loads)
	}
	u.common = common{} // As if some time had passed.
	got := sync1(t, u, protocol.SyncMsg{Gateway: "h", Lister: first.Lister, Servers: first.Version, Running: []protocol.ServerLoad{{Server: "b", Running: 2}, {Server: "a", Running: 1}}})
	if !bytes.Equal(got.Loads, []byte{1, 5}) {
		t.Errorf("loads %v, want 1 and 5", got.Loads)
	}
	u.gateways["g"].at = clock.Now().Add(-gatewayKept - time.Second)
	u.alive(clock.Now())
	if n := u.loads.Running("b"); n != 2 {
		t.Errorf("b has %d with a gateway gone, want 2", n)
	}
}

// TestClockOfMost checks that the time of day is that of most instances, also
// where the leader's own is another, or that of some gateways.
func TestClockOfMost(t *testing.T) {
	for name, ahead := range map[string][]time.Duration{
		"the leader is behind": {3 * time.Second, 3 * time.Second, 3 * time.Second},
		"a gateway is ahead":   {0, 0, 3 * time.Second},
	} {
		u := newUplink(newFakeGroup())
		var got protocol.SyncReply
		for i, d := range ahead {
			got = sync1(t, u, protocol.SyncMsg{Gateway: string(rune('a' + i)), Clock: time.Now().Add(d)})
		}
		want := time.Now().Add(ahead[0])
		if off := got.Clock.Sub(want).Abs(); off > time.Second {
			t.Errorf("%s: the time of day is off by %v", name, off)
		}
		if off := u.Clock().Sub(want).Abs(); off > time.Second {
			t.Errorf("%s: the leader's own windows are off by %v", name, off)
		}
	}
}
