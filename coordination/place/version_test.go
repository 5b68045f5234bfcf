package place

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/weldstream/weldstream/protocol"
)

// TestOnlyTheRequiredVersion checks over random views that a request that only one version may take
// gets no server of another one, on any way, and that Serves says whether there is a server at all.
func TestOnlyTheRequiredVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list []protocol.Instance
		serving := 0
		for n := range rapid.IntRange(1, 12).Draw(t, "servers") {
			in := protocol.Instance{ID: fmt.Sprint("s", n), Address: fmt.Sprint("a", n), Service: "model", Domain: "a", Slots: 4,
				Version: rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "version"), Leaving: rapid.Bool().Draw(t, "leaving")}
			list = append(list, in)
			if in.Version == "v2" && !in.Leaving {
				serving++
			}
		}
		v := NewView(list, nil, WithRollouts([]protocol.Rollout{{Service: "model", Version: "v3", Stage: protocol.RolloutTrial}}))
		version := "v2"
		m := ChooseMsg{Service: "model", Domain: "a", Version: &version, Rand: rapid.Uint64().Draw(t, "random"), Brief: rapid.Bool().Draw(t, "brief"),
			Lane: rapid.SampledFrom([]Lane{LaneAny, LaneLong, LaneShort}).Draw(t, "lane"), Parts: protocol.LaneShares{Tokens: 0.5}, Prefix: rapid.Uint64Range(0, 2).Draw(t, "prefix"), Now: start}
		if Serves(v, m) != (serving > 0) {
			t.Fatalf("Serves says %v with %d servers of %q", Serves(v, m), serving, version)
		}
		i, ok := Choose(v, m)
		if ok != (serving > 0) || (ok && v.Servers[i].Version != version) {
			t.Fatalf("chose %v, with %d servers of %q", ok, serving, version)
		}
		if _, ok := ChooseTrial(v, TrialMsg{ChooseMsg: m, Canaries: func(ready int) int { return ready }}); ok {
			t.Fatal("a server of the version on trial was chosen")
		}
		p, ok := NewPromptScheduler(NewLoads()).Place(v, PromptMsg{Service: "model", Prompt: 9000, Gap: time.Second, Parts: m.Parts, Version: &version}, start)
		if ok && v.Find(p.Server).Version != version {
			t.Fatalf("%q was placed at a server of version %q", version, v.Find(p.Server).Version)
		}
		for n := range v.Servers {
			m.Avoid = append(m.Avoid, v.Servers[n].ID)
		}
		if Serves(v, m) {
			t.Fatal("Serves counts servers to avoid")
		}
	})
}
