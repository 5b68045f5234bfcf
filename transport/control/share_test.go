package control

import (
	"fmt"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/weldstream/weldstream/coordination/link"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// TestLeaderRedirectsToRelaysAtStart checks the case of a thousand gateways that start at the
// same time: the leader sends its complete list to as many as it can serve at the usual
// interval and redirects the others to relays. It answers gateways that found no relay, those
// of builds without relays in one region, and those that were connected before.
func TestLeaderRedirectsToRelaysAtStart(t *testing.T) {
	u := newUplink(newFakeGroup())
	u.SetServers(1, []protocol.Instance{{ID: "a"}})
	ask := func(i int, m protocol.SyncMsg) protocol.SyncReply {
		m.Gateway = fmt.Sprint("edge-", i)
		return mustSync(t, u, m)
	}
	lists := 0
	for i := range 986 {
		r := ask(i, protocol.SyncMsg{Features: protocol.OwnFeatures})
		switch {
		case r.Leads && len(r.List) > 0:
			lists++
		case r.Leads || r.Gateways <= link.MaxDirectGateways || len(r.Controls) < 2:
			t.Fatalf("gateway %d got %+v", i, r)
		}
	}
	if lists != link.MaxDirectGateways {
		t.Errorf("%d gateways received the list from the leader, want %d", lists, link.MaxDirectGateways)
	}
	for name, m := range map[string]protocol.SyncMsg{
		"that found no relay":  {Features: protocol.OwnFeatures, Gateways: 986},
		"of an earlier build":  {Features: protocol.FeatureIncarnations},
		"that is linked to it": {Features: protocol.OwnFeatures, Gateways: 80, Lister: 1, Servers: 1},
	} {
		if r := ask(5, m); !r.Leads {
			t.Errorf("a gateway %s got %+v", name, r)
		}
	}
}

// TestStaleListIsReportedViaRelay checks that the gateways of a relay are told when the leader's
// list is out of date and when it no longer is.
func TestStaleListIsReportedViaRelay(t *testing.T) {
	leader, _, w := newLeader(3)
	relay, _ := newTestRelay(t, w, "a")
	leader.Install(5, []byte("document"))
	leader.SetServers(3, []protocol.Instance{{ID: "s"}})
	heard := func(late bool) {
		t.Helper()
		leader.RecordListRead(3, true, time.Hour)
		if late {
			leader.mu.Lock()
			leader.staleAt = clock.Now().Add(-time.Second)
			leader.mu.Unlock()
		}
		for end := time.Now().Add(testTimeout); ; {
			r := receive(t, syncAsync(relay, protocol.SyncMsg{Gateway: "g", Number: 5, Lister: 3, Servers: 1}), "an answer")
			if r.Leads && r.ListLate == late {
				return
			}
			if time.Now().After(end) {
				t.Fatalf("gateways do not receive the state of the list, out of date: %v", late)
			}
		}
	}
	heard(false)
	heard(true)
	heard(false)
}

// TestGatherDelayScalesWithRelays checks that the relays of one region together call the leader
// no more often than it answers gateways, however many relays there are, and that relays of
// several regions collect no longer than requests that wait for quota allow.
func TestGatherDelayScalesWithRelays(t *testing.T) {
	for _, instances := range []int{2, 3, 10, 40} {
		peers := func() (string, []string) { return "", make([]string, instances) }
		u := NewUplink(newFakeGroup(), peers, parse, 8*time.Second)
		r := NewRelay(u, nil, "relay", "relay:7000", metrics.NewRegistry())
		relays := instances - 1
		if a := float64(relays) / r.gatherDelay().Seconds(); a > 668 {
			t.Errorf("%d relays call the leader %.0f times a second", relays, a)
		}
	}
	_, _, w := newLeader(1)
	u, _ := newTestRelay(t, w, "a")
	if got := u.relay.Load().gatherDelay(); got != batchDelay {
		t.Errorf("with several regions a relay collects for %v", got)
	}
}
