package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/weldstream/weldstream/protocol"
)

// TestPlacementsReachOthers checks over random placements that each instance receives those
// of the others once and in order, and none of its own, as long as it polls before they are
// dropped.
func TestPlacementsReachOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p Placements
		placers := []string{"", "a", "b"}
		received, known, want := map[string][]protocol.Placement{}, map[string]uint64{}, map[string][]protocol.Placement{}
		n := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			placer := rapid.SampledFrom(placers).Draw(t, "placer")
			if rapid.Bool().Draw(t, "asks") {
				rows, latest := p.Since(known[placer], placer)
				received[placer], known[placer] = append(received[placer], rows...), latest
				continue
			}
			var rows []protocol.Placement
			for range rapid.IntRange(0, 5).Draw(t, "rows") {
				n++
				rows = append(rows, protocol.Placement{Server: fmt.Sprint(n)})
			}
			p.Add(placer, rows)
			for _, other := range placers {
				if other != placer {
					want[other] = append(want[other], rows...)
				}
			}
		}
		for _, placer := range placers {
			rows, _ := p.Since(known[placer], placer)
			if diff := cmp.Diff(want[placer], append(received[placer], rows...), cmpopts.EquateEmpty()); diff != "" {
				t.Fatalf("%q: %s", placer, diff)
			}
		}
	})
}

// TestPlacementsAreBounded checks that the number of rows is limited, and that an instance
// far behind gets the latest ones.
func TestPlacementsAreBounded(t *testing.T) {
	var p Placements
	for i := range 10 * maxUnsent {
		p.Add("a", []protocol.Placement{{Server: fmt.Sprint(i)}})
	}
	rows, latest := p.Since(0, "b")
	if len(rows) != 2*maxUnsent || rows[len(rows)-1].Server != fmt.Sprint(10*maxUnsent-1) || latest != 10*maxUnsent {
		t.Errorf("%d rows, latest number %d", len(rows), latest)
	}
	if rows, _ := p.Since(latest+7, "b"); len(rows) != 2*maxUnsent { // The number belongs to an earlier leader.
		t.Errorf("%d rows for a number that was never given out", len(rows))
	}
}

// TestRemotePlacementsCount checks that a scheduler avoids a server during the prefill of a
// prompt that another instance placed there, later sends prompts with the same prefix
// there, and keeps no remote placement for good, since no end is reported for it.
func TestRemotePlacementsCount(t *testing.T) {
	now := time.Unix(1000, 0)
	var list []protocol.Instance
	for _, id := range []string{"a", "b", "c", "d"} { // Some remain in the short lane.
		list = append(list, protocol.Instance{ID: id, Service: "s", Slots: 8})
	}
	v := NewView(list, nil)
	ps := NewPromptScheduler(NewLoads())
	m := PromptMsg{Service: "s", Prompt: 4000, Shared: 3000, Prefix: 7, Parts: protocol.LaneShares{Tokens: 1}, Target: time.Second, Gap: time.Second}
	first, ok := ps.Place(v, m, now)
	if !ok {
		t.Fatal("no server")
	}
	fresh := ps.TakeUnsent()
	if len(fresh) != 1 || fresh[0].Server != first.Server || fresh[0].Prefix != 7 || fresh[0].Tokens != 4000 || len(ps.TakeUnsent()) > 0 {
		t.Fatalf("unsent placements are %+v", fresh)
	}
	other := NewPromptScheduler(NewLoads())
	other.AddRemote(fresh, now)
	apart := m
	apart.Prefix, apart.Shared = 0, 0
	second, _ := other.Place(v, apart, now)
	if second.Server == first.Server {
		t.Errorf("placed at %s, which prefills another instance's prompt", second.Server)
	}
	third, later := NewPromptScheduler(NewLoads()), now.Add(10*time.Second)
	third.AddRemote([]protocol.Placement{{Server: second.Server, Prefix: 7, Tokens: 4000}}, now)
	if got, _ := third.Place(v, m, later); got.Server != second.Server {
		t.Errorf("placed at %s, while %s holds the shared parts", got.Server, second.Server)
	}
	if n := len(third.queues[second.Server].requests); n != 1 {
		t.Errorf("%d requests are kept for the server, want 1", n)
	}
}
