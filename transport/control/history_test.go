package control

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	_ "github.com/weldstream/weldstream/internal/testseed" // Fixes the seed.
	"github.com/weldstream/weldstream/protocol"
)

// TestHistoryYieldsLatestList checks over random lists that a gateway that receives only
// changes, from any version on, ends with the latest list.
func TestHistoryYieldsLatestList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h history
		lists := [][]protocol.Instance{nil}
		versions := rapid.IntRange(1, 2*maxHistory).Draw(t, "versions")
		for version := 1; version <= versions; version++ {
			var list []protocol.Instance
			for id := range 6 {
				switch rapid.IntRange(0, 2).Draw(t, "server") {
				case 1:
					list = append(list, protocol.Instance{ID: fmt.Sprint(id)})
				case 2:
					list = append(list, protocol.Instance{ID: fmt.Sprint(id), Leaving: true})
				}
			}
			h.add(uint64(version), uint64(version-1), lists[version-1], list)
			lists = append(lists, list)
		}
		latest := len(lists) - 1
		from := rapid.IntRange(0, latest).Draw(t, "from")
		changed, gone, ok := h.since(uint64(from))
		if ok != (latest-from <= maxHistory) {
			t.Fatalf("from %d of %d: known %v", from, latest, ok)
		}
		if !ok {
			return
		}
		held := map[string]protocol.Instance{}
		for _, in := range lists[from] {
			held[in.ID] = in
		}
		for _, in := range changed {
			held[in.ID] = in
		}
		for _, id := range gone {
			delete(held, id)
		}
		want := map[string]protocol.Instance{}
		for _, in := range lists[latest] {
			want[in.ID] = in
		}
		if diff := cmp.Diff(want, held); diff != "" {
			t.Fatal(diff)
		}
	})
}

// TestGatewayReceivesListChanges checks that a gateway with a version of this term receives
// only the server that changed, and one with a version of another term the complete list.
func TestGatewayReceivesListChanges(t *testing.T) {
	g := newFakeGroup()
	u := newUplink(g)
	list := []protocol.Instance{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	u.SetServers(1, list)
	first := mustSync(t, u, protocol.SyncMsg{Gateway: "g"})
	u.SetServers(1, []protocol.Instance{{ID: "a"}, {ID: "b", Leaving: true}})
	got := mustSync(t, u, protocol.SyncMsg{Gateway: "g", Lister: first.Lister, Servers: first.Version})
	if list, err := UnpackList(got.List); err != nil || list.Whole || len(list.Servers) != 1 || !list.Servers[0].Leaving || len(list.Gone) != 1 {
		t.Errorf("got %+v, %v", list, err)
	}
	other := mustSync(t, u, protocol.SyncMsg{Gateway: "g", Lister: 9, Servers: first.Version})
	if list, err := UnpackList(other.List); err != nil || !list.Whole || len(list.Servers) != 2 || len(list.Gone) > 0 {
		t.Errorf("with a version of another term: got %+v, %v", list, err)
	}
}

// TestListIsPackedOnce checks that gateways that lack the same changes share the same encoded
// bytes, that other gateways do not, and that cached bytes are not used for a newer list.
func TestListIsPackedOnce(t *testing.T) {
	u := newUplink(newFakeGroup())
	ask := func(lister, version uint64) []byte {
		return mustSync(t, u, protocol.SyncMsg{Gateway: "g", Lister: lister, Servers: version}).List
	}
	list := []protocol.Instance{{ID: "a"}, {ID: "b"}}
	u.SetServers(1, list)
	whole := ask(0, 0)
	u.SetServers(1, list[:1])
	u.SetServers(1, []protocol.Instance{{ID: "a", Leaving: true}})
	first, second := ask(1, 1), ask(1, 2)
	for name, c := range map[string]struct {
		a, b []byte
		same bool
	}{
		"the same changes": {first, ask(1, 1), true},
		"other changes":    {first, second, false},
		"the whole":        {ask(0, 0), ask(7, 2), true},
		"a newer list":     {whole, ask(0, 0), false},
	} {
		if same := &c.a[0] == &c.b[0]; same != c.same {
			t.Errorf("%s: shares the encoded bytes: %v", name, same)
		}
	}
}
