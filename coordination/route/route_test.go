package route

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/state"
)

// naive sorts all servers that may take the request and takes the first.
func naive(v *state.View, counts []int32, m ChooseMsg) int {
	type candidate struct{ key, index int }
	var all []candidate
	for i := range v.Servers {
		s := &v.Servers[i]
		if !Eligible(s, m) {
			continue
		}
		key := int(counts[i])
		if m.Adapter != "" && !slices.Contains(s.Report.Adapters, m.Adapter) {
			key += 1_000
		}
		if s.Missed > maxMissed {
			key += 1_000_000
		}
		if slices.Contains(m.AvoidDomains, s.Domain) {
			key += 1_000_000_000
		}
		all = append(all, candidate{key, i})
	}
	if len(all) == 0 {
		return -1
	}
	slices.SortStableFunc(all, func(a, b candidate) int { return a.key - b.key })
	return all[0].index
}

func drawView(t *rapid.T) (*state.View, []int32) {
	v := &state.View{}
	var counts []int32
	for i := range rapid.IntRange(0, 12).Draw(t, "servers") {
		s := state.Server{Instance: protocol.Instance{
			ID:      fmt.Sprint("s", i),
			Kind:    rapid.SampledFrom([]protocol.InstanceKind{protocol.InstanceEngine, protocol.InstanceService}).Draw(t, "kind"),
			Service: "gantry",
			Domain:  rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain"),
			Leaving: rapid.IntRange(0, 4).Draw(t, "leaving") == 0,
		}}
		s.Report.Models = rapid.SampledFrom([][]string{nil, {"m"}, {"m", "n"}}).Draw(t, "models")
		s.Report.Adapters = rapid.SampledFrom([][]string{nil, {"x"}}).Draw(t, "adapters")
		s.Missed = rapid.IntRange(0, 4).Draw(t, "missed")
		v.Servers = append(v.Servers, s)
		counts = append(counts, int32(rapid.IntRange(0, 5).Draw(t, "count")))
	}
	return v, counts
}

// TestLeastOutstanding compares the choice with the naive full scan.
func TestLeastOutstanding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v, counts := drawView(t)
		m := ChooseMsg{
			Adapter:      rapid.SampledFrom([]string{"", "x"}).Draw(t, "adapter"),
			AvoidServers: rapid.SliceOfN(rapid.SampledFrom([]string{"s0", "s1", "s2"}), 0, 2).Draw(t, "avoid"),
			AvoidDomains: rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b"}), 0, 2).Draw(t, "domains"),
		}
		if rapid.Bool().Draw(t, "service") {
			m.Service = "gantry"
		} else {
			m.Model = "m"
		}
		got, err := LeastOutstanding{}.Choose(v, counts, m)
		if want := naive(v, counts, m); got != want || (err == nil) != (want >= 0) {
			t.Fatalf("chose %d (%v), the naive scan %d", got, err, want)
		}
	})
}

// BenchmarkChoose measures a decision among as many servers as are planned for.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{64, 240, 600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v := &state.View{}
			for i := range n {
				s := state.Server{Instance: protocol.Instance{ID: fmt.Sprintf("s%04d", i), Kind: protocol.InstanceEngine, Domain: fmt.Sprint("d", i%9)}, Counters: &state.Counters{}}
				s.Report.Models, s.Report.Adapters = []string{"m"}, []string{"x"}
				v.Servers = append(v.Servers, s)
			}
			var counts []int32
			b.ReportAllocs()
			for b.Loop() {
				counts = v.Outstanding(counts)
				if _, err := (LeastOutstanding{}).Choose(v, counts, ChooseMsg{Model: "m", Adapter: "x"}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
