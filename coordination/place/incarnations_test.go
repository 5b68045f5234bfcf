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

// TestNewestIncarnations checks which servers are kept over a sequence of lists.
func TestNewestIncarnations(t *testing.T) {
	var s Incarnations
	now := time.Unix(1_800_000_000, 0)
	for _, step := range []struct {
		name     string
		list     []string
		kept     []string
		restarts int
	}{
		{"the first list", []string{"a@10", "b@10", "c"}, []string{"a@10", "b@10", "c"}, 0},
		{"a restarts", []string{"a@20", "b@10", "c"}, []string{"a@20", "b@10", "c"}, 1},
		{"an outdated list", []string{"a@10", "b@10", "c"}, []string{"b@10", "c"}, 0},
		{"both incarnations in one list", []string{"a@20", "a@10", "b@10"}, []string{"a@20", "b@10"}, 0},
		{"the earlier one first", []string{"b@10", "b@11"}, []string{"b@11"}, 1},
		{"removed and listed again unchanged", []string{"a@20"}, []string{"a@20"}, 0},
		{"two restarts in one list", []string{"a@30", "a@40"}, []string{"a@40"}, 2},
		{"without its start time", []string{"a"}, nil, 0},
	} {
		now = now.Add(time.Second)
		kept, restarted := s.Filter(listOf(step.list...), now)
		var ids []string
		for _, in := range kept {
			ids = append(ids, in.ID)
		}
		if !slices.Equal(ids, step.kept) || len(restarted) != step.restarts {
			t.Errorf("%s: kept %v, want %v; %d restarts, want %d", step.name, ids, step.kept, len(restarted), step.restarts)
		}
	}
	if s.Filter(listOf("x@1"), now.Add(2*incarnationTTL)); len(s.newest) != 1 {
		t.Errorf("%d servers are remembered, want 1", len(s.newest))
	}
}

// TestFormerStartNeverComesBack checks that no earlier incarnation is kept once a later one
// was listed, whatever the order and repetition of lists.
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
					t.Fatalf("kept %v although %d was listed", i, newest[i.Name])
				}
			}
		}
	})
}
