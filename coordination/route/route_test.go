package route

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "github.com/weldstream/weldstream/internal/testseed" // Sets the seed.
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/state"
)

// naive sorts all eligible servers and returns the first.
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
		if s.Silent() {
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
	var servers []state.Server
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
		s.Hash = mix(uint64(i))
		s.Report.Running = rapid.IntRange(0, 9).Draw(t, "running")
		s.OwnAt = int32(rapid.IntRange(0, 3).Draw(t, "own"))
		servers = append(servers, s)
		counts = append(counts, int32(rapid.IntRange(0, 5).Draw(t, "count")))
	}
	return state.NewView(servers), counts
}

// TestLeastOutstanding compares the choice with a naive scan of all servers.
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
			t.Fatalf("chose %d (%v), the naive scan chose %d", got, err, want)
		}
	})
}

// naiveClass derives the class of a server from its rank.
func naiveClass(s *state.Server, m ChooseMsg) int {
	r := rankOf(s, 0, m)
	return classAvoided*r.domain + classSilent*r.silent + classNoAdapter*r.adapter
}

// naiveAffinity lists, sorts and picks servers without any shortcut.
func naiveAffinity(a Affinity, v *state.View, counts []int32, m ChooseMsg) int {
	var best []int
	for i := range v.Servers {
		if !Eligible(&v.Servers[i], m) {
			continue
		}
		if len(best) > 0 && naiveClass(&v.Servers[i], m) < naiveClass(&v.Servers[best[0]], m) {
			best = nil
		}
		if len(best) == 0 || naiveClass(&v.Servers[i], m) == naiveClass(&v.Servers[best[0]], m) {
			best = append(best, i)
		}
	}
	if len(best) == 0 {
		return -1
	}
	total := 0.0
	for _, i := range best {
		total += v.Servers[i].Load(counts[i])
	}
	limit := a.Bound*total/float64(len(best)) + a.Slack
	best = slices.DeleteFunc(best, func(i int) bool { return v.Servers[i].Load(counts[i]) > limit })
	slices.SortStableFunc(best, func(x, y int) int {
		return cmp.Compare(mix(m.Prefix^v.Servers[y].Hash), mix(m.Prefix^v.Servers[x].Hash))
	})
	return best[0]
}

// TestAffinity compares the choice with the naive one. So two gateways with the same reports
// agree, and no server above the bound is chosen while another is below it.
func TestAffinity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v, counts := drawView(t)
		a := Affinity{Bound: rapid.Float64Range(1, 2).Draw(t, "bound"), Slack: rapid.Float64Range(0, 3).Draw(t, "slack")}
		m := ChooseMsg{
			Model:        "m",
			Prefix:       rapid.Uint64Min(1).Draw(t, "prefix"),
			Adapter:      rapid.SampledFrom([]string{"", "x"}).Draw(t, "adapter"),
			AvoidDomains: rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b"}), 0, 2).Draw(t, "domains"),
		}
		got, err := a.Choose(v, counts, m)
		if want := naiveAffinity(a, v, counts, m); got != want || (err == nil) != (want >= 0) {
			t.Fatalf("chose %d (%v), the naive chooser chose %d", got, err, want)
		}
	})
}

// BenchmarkChoose measures a choice among up to the planned number of servers.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{64, 240, 600} {
		for name, chooser := range map[string]Chooser{"least-outstanding": LeastOutstanding{}, "affinity": NewAffinity()} {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) { benchChooser(b, chooser, n) })
		}
	}
}

func benchChooser(b *testing.B, chooser Chooser, n int) {
	var servers []state.Server
	for i := range n {
		s := state.Server{Instance: protocol.Instance{ID: fmt.Sprintf("s%04d", i), Kind: protocol.InstanceEngine, Domain: fmt.Sprint("d", i%9)}, Counters: &state.Counters{}}
		s.Report.Models, s.Report.Adapters = []string{"m"}, []string{"x"}
		s.Hash = mix(uint64(i))
		servers = append(servers, s)
	}
	v := state.NewView(servers)
	var counts []int32
	b.ReportAllocs()
	for b.Loop() {
		counts = v.Outstanding(counts)
		if _, err := chooser.Choose(v, counts, ChooseMsg{Model: "m", Adapter: "x", Prefix: 7}); err != nil {
			b.Fatal(err)
		}
	}
}
