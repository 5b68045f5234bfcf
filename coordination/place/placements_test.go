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

// TestPlacementsReachOthers checks over random places that each instance is told, in
// order and once, what others placed, and nothing of its own, as long as it asks before
// that is too old.
func TestPlacementsReachOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p Placements
		placers := []string{"", "a", "b"}
		told, known, want := map[string][]protocol.Placement{}, map[string]uint64{}, map[string][]protocol.Placement{}
		n := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			placer := rapid.SampledFrom(placers).Draw(t, "placer")
			if rapid.Bool().Draw(t, "asks") {
				rows, latest := p.Since(known[placer], placer)
				told[placer], known[placer] = append(told[placer], rows...), latest
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
			if diff := cmp.Diff(want[placer], append(told[placer], rows...), cmpopts.EquateEmpty()); diff != "" {
				t.Fatalf("%q: %s", placer, diff)
			}
		}
	})
}

// TestPlacementsAreBounded checks that what is kept does not grow, and that one who is
// far behind gets the latest.
func TestPlacementsAreBounded(t *testing.T) {
	var p Placements
	for i := range 10 * mostFresh {
		p.Add("a", []protocol.Placement{{Server: fmt.Sprint(i)}})
	}
	rows, latest := p.Since(0, "b")
	if len(rows) != 2*mostFresh || rows[len(rows)-1].Server != fmt.Sprint(10*mostFresh-1) || latest != 10*mostFresh {
		t.Errorf("%d rows up to %d", len(rows), latest)
	}
	if rows, _ := p.Since(latest+7, "b"); len(rows) != 2*mostFresh { // Of an earlier leader.
		t.Errorf("%d rows for a number that was never told", len(rows))
	}
}

// TestPlacesOfOthersCount checks that a ledger avoids a server at which another
// instance placed a prompt while that is read, sends what shares parts with it there
// afterwards, and keeps nothing of it that no end would take away.
func TestPlacesOfOthersCount(t *testing.T) {
	now := time.Unix(1000, 0)
	var list []protocol.Instance
	for _, id := range []string{"a", "b", "c", "d"} { // Not all are for long prompts.
		list = append(list, protocol.Instance{ID: id, Service: "s", Slots: 8})
	}
	v := NewView(list, nil)
	l := NewPromptScheduler(NewLoads())
	m := PromptMsg{Service: "s", Prompt: 4000, Shared: 3000, Prefix: 7, Parts: protocol.LaneShares{Tokens: 1}, Target: time.Second, Gap: time.Second}
	first, ok := l.Place(v, m, now)
	if !ok {
		t.Fatal("no place")
	}
	fresh := l.TakeUnsent()
	if len(fresh) != 1 || fresh[0].Server != first.Server || fresh[0].Prefix != 7 || fresh[0].Tokens != 4000 || len(l.TakeUnsent()) > 0 {
		t.Fatalf("tells %+v", fresh)
	}
	other := NewPromptScheduler(NewLoads())
	other.AddRemote(fresh, now)
	apart := m
	apart.Prefix, apart.Shared = 0, 0
	second, _ := other.Place(v, apart, now)
	if second.Server == first.Server {
		t.Errorf("placed at %s, which reads another instance's prompt", second.Server)
	}
	third, later := NewPromptScheduler(NewLoads()), now.Add(10*time.Second)
	third.AddRemote([]protocol.Placement{{Server: second.Server, Prefix: 7, Tokens: 4000}}, now)
	if got, _ := third.Place(v, m, later); got.Server != second.Server {
		t.Errorf("placed at %s, while %s holds the shared parts", got.Server, second.Server)
	}
	if n := len(third.servers[second.Server].stays); n != 1 {
		t.Errorf("%d requests are taken to be there, one is", n)
	}
}
