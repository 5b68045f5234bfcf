package control

import (
	"testing"
	"time"

	"github.com/weldstream/weldstream/coordination/origin"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// findOrigin returns what a control instance says of a stream.
func findOrigin(t *testing.T, u *Uplink, id string) protocol.OriginReply {
	t.Helper()
	var reply protocol.OriginReply
	if err := u.FindOrigin(protocol.OriginQuery{Key: protocol.NewStreamKey("w", "h", id), Route: "r"}, &reply); err != nil {
		t.Fatal(err)
	}
	return reply
}

// TestOriginsAreKept checks that a control instance keeps origins of streams whether it leads or not, for
// their lifetime.
func TestOriginsAreKept(t *testing.T) {
	g := newFakeGroup()
	u := newUplink(g)
	long := protocol.StreamOrigin{Key: protocol.NewStreamKey("w", "h", "long"), Service: "s", Version: "v1", Lifetime: time.Hour}
	short := protocol.StreamOrigin{Key: protocol.NewStreamKey("w", "h", "short"), Service: "s", Version: "v2", Lifetime: time.Nanosecond}
	var kept protocol.KeepOriginsReply
	if err := u.KeepOrigins(protocol.OriginsMsg{Origins: []protocol.StreamOrigin{long, short}}, &kept); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		term  uint64
		leads bool
	}{{1, true}, {1, false}, {2, true}} {
		g.set(c.term, c.leads)
		mustSyncOrNot(u)
		if got := findOrigin(t, u, "long"); !got.Found || got.Origin.Version != "v1" || got.Origin.Service != "s" {
			t.Errorf("term %d, leads %v: %+v", c.term, c.leads, got)
		}
		if got := findOrigin(t, u, "short"); got.Found {
			t.Errorf("term %d, leads %v: found %+v behind its lifetime", c.term, c.leads, got.Origin)
		}
	}
}

// mustSyncOrNot lets the uplink enter the current term if it leads.
func mustSyncOrNot(u *Uplink) {
	var reply protocol.SyncReply
	_ = u.Sync(protocol.SyncMsg{Gateway: "g", Lister: 1}, &reply) // It never fails.
}

// TestLeaderTellsOnlyVersion checks that the leader tells for how long the lists of its term have had a
// single version, and nothing if its list is not current or it does not lead.
func TestLeaderTellsOnlyVersion(t *testing.T) {
	const lasting = time.Minute
	g := newFakeGroup()
	u := newUplink(g)
	mustSyncOrNot(u)
	began := clock.Now().Add(-lasting)
	u.versions = origin.NewHistory(began)
	u.versions.Routes([]protocol.PathRoute{{Name: "r", Split: []protocol.WeightedService{{Service: "s"}}}}, began)
	u.versions.List([]protocol.Instance{{ID: "a", Service: "s", Version: "v1"}}, began)
	for at := began; at.Before(clock.Now().Add(-2 * time.Second)); at = at.Add(time.Second) {
		u.versions.Confirm(at)
	}
	if got := findOrigin(t, u, "first").Single; got.For != 0 {
		t.Errorf("the list is old: %+v", got)
	}
	u.RecordListRead(1, true, time.Second)
	if !findOrigin(t, u, "first").Leads {
		t.Error("the leader does not say that it leads")
	}
	if got := findOrigin(t, u, "first").Single; got.Service != "s" || got.Version != "v1" || got.For < lasting {
		t.Errorf("got %+v, want v1 for %v or more", got, lasting)
	}
	u.SetServers(1, []protocol.Instance{{ID: "a", Service: "s", Version: "v1"}, {ID: "b", Service: "s", Version: "v2"}})
	if got := findOrigin(t, u, "first").Single; got.For != 0 {
		t.Errorf("two versions: %+v", got)
	}
	g.set(1, false)
	if got := findOrigin(t, u, "first"); got.Single.Version != "" || got.Leads {
		t.Errorf("it does not lead: %+v", got)
	}
	g.set(2, true)
	mustSyncOrNot(u)
	if got := findOrigin(t, u, "first").Single; got.For > lasting {
		t.Errorf("another term: %+v", got)
	}
}
