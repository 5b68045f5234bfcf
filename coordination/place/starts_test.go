package place

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/weldstream/weldstream/protocol"
)

func listOf(ids ...string) []protocol.Instance {
	var list []protocol.Instance
	for _, id := range ids {
		list = append(list, protocol.Instance{ID: id})
	}
	return list
}

// TestNewestStarts walks through lists and checks which servers are kept.
func TestNewestStarts(t *testing.T) {
	var s Incarnations
	now := time.Unix(1_800_000_000, 0)
	for _, step := range []struct {
		name  string
		list  []string
		kept  []string
		again int
	}{
		{"the first list", []string{"a@10", "b@10", "c"}, []string{"a@10", "b@10", "c"}, 0},
		{"a starts again", []string{"a@20", "b@10", "c"}, []string{"a@20", "b@10", "c"}, 1},
		{"an old list", []string{"a@10", "b@10", "c"}, []string{"b@10", "c"}, 0},
		{"both starts in one list", []string{"a@20", "a@10", "b@10"}, []string{"a@20", "b@10"}, 0},
		{"the old one first", []string{"b@10", "b@11"}, []string{"b@11"}, 1},
		{"gone and listed again as it was", []string{"a@20"}, []string{"a@20"}, 0},
		{"twice in a row", []string{"a@30", "a@40"}, []string{"a@40"}, 2},
		{"without its start", []string{"a"}, nil, 0},
	} {
		now = now.Add(time.Second)
		kept, again := s.Filter(listOf(step.list...), now)
		var ids []string
		for _, in := range kept {
			ids = append(ids, in.ID)
		}
		if !slices.Equal(ids, step.kept) || len(again) != step.again {
			t.Errorf("%s: kept %v, want %v; %d started again, want %d", step.name, ids, step.kept, len(again), step.again)
		}
	}
	if s.Filter(listOf("x@1"), now.Add(2*startKept)); len(s.newest) != 1 {
		t.Errorf("%d servers are remembered for ever", len(s.newest))
	}
}

// TestFormerStartNeverComesBack checks that once a start was listed no former one is, in
// whatever order and however often lists come.
func TestFormerStartNeverComesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Incarnations
		newest := map[string]int64{}
		for range rapid.IntRange(1, 20).Draw(t, "lists") {
			var list []protocol.Instance
			for range rapid.IntRange(0, 6).Draw(t, "servers") {
				in := protocol.Incarnation{Name: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), Start: rapid.Int64Range(0, 5).Draw(t, "start")}
				list = append(list, protocol.Instance{ID: in.String()})
				newest[in.Name] = max(newest[in.Name], in.Start)
			}
			kept, _ := s.Filter(list, time.Unix(1_800_000_000, 0))
			for _, in := range kept {
				if i := protocol.ParseIncarnation(in.ID); i.Start < newest[i.Name] {
					t.Fatalf("kept %v behind %d", i, newest[i.Name])
				}
			}
		}
	})
}
