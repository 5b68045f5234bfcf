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

// TestLeaderSharesOutAtTheStart checks the pattern of a thousand gateways that start at the
// same time: the leader sends its whole list to as many as it answers at the usual pace, and
// has the others ask relays. It answers those that found no relay, those of builds that know
// none in one region, and those that were linked before.
func TestLeaderSharesOutAtTheStart(t *testing.T) {
	u := newUplink(newFakeGroup())
	u.SetServers(1, []protocol.Instance{{ID: "a"}})
	ask := func(i int, m protocol.SyncMsg) protocol.SyncReply {
		m.Gateway = fmt.Sprint("edge-", i)
		return sync1(t, u, m)
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
		t.Errorf("%d gateways got the list of the leader itself, want %d", lists, link.MaxDirectGateways)
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

// TestLateListPassesRelays checks that the gateways of a relay hear that the leader's list
// is out of date, and when it is not any more.
func TestLateListPassesRelays(t *testing.T) {
	leader, _, w := newLeader(3)
	relay, _ := newRelayOf(t, w, "a")
	leader.Install(5, []byte("document"))
	leader.SetServers(3, []protocol.Instance{{ID: "s"}})
	heard := func(late bool) {
		t.Helper()
		leader.ExpectList(3, true, time.Hour)
		if late {
			leader.mu.Lock()
			leader.due = clock.Now().Add(-time.Second)
			leader.mu.Unlock()
		}
		for end := time.Now().Add(patience); ; {
			r := within(t, asked(relay, protocol.SyncMsg{Gateway: "g", Number: 5, Lister: 3, Servers: 1}), "an answer")
			if r.Leads && r.ListLate == late {
				return
			}
			if time.Now().After(end) {
				t.Fatalf("gateways are not told that the list is late: %v", late)
			}
		}
	}
	heard(false)
	heard(true)
	heard(false)
}

// TestRelaysGatherByTheirNumber checks that the relays of one region together ask the leader
// no more often than it answers gateways, however many relays there are, and those of several
// regions as soon as requests that wait for parts of quotas need.
func TestRelaysGatherByTheirNumber(t *testing.T) {
	for _, instances := range []int{2, 3, 10, 40} {
		peers := func() (string, []string) { return "", make([]string, instances) }
		u := NewUplink(newFakeGroup(), peers, parse, 8*time.Second)
		r := NewRelay(u, nil, "relay", "relay:7000", metrics.NewRegistry())
		relays := instances - 1
		if a := float64(relays) / r.gather().Seconds(); a > 668 {
			t.Errorf("%d relays ask %.0f times a second", relays, a)
		}
	}
	_, _, w := newLeader(1)
	u, _ := newRelayOf(t, w, "a")
	if got := u.relay.Load().gather(); got != gatherTime {
		t.Errorf("over several regions a relay gathers for %v", got)
	}
}
