package place

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/weldstream/weldstream/internal/testseed" // Fixes the seed.
	"github.com/weldstream/weldstream/protocol"
)

var start = time.Unix(1_700_000_000, 0)

// fleet returns n servers of one service over four domains.
func fleet(n int) *View {
	var list []protocol.Instance
	for i := range n {
		list = append(list, protocol.Instance{
			ID:      fmt.Sprintf("server-%d", i),
			Address: fmt.Sprintf("10.0.0.%d:80", i+1),
			Service: "model",
			Domain:  fmt.Sprintf("domain-%d", i%4),
			Slots:   16,
		})
	}
	return NewView(list, nil)
}

// TestChooseNeverTakesTheExcluded checks that a server that leaves, or that
// failed the request, or that has as many requests as it may, is never chosen,
// and that one is chosen whenever any is left.
func TestChooseNeverTakesTheExcluded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := fleet(rapid.IntRange(1, 12).Draw(t, "servers"))
		m := ChooseMsg{Service: "model", Now: start, Rand: rapid.Uint64().Draw(t, "rand"), Domain: "domain-1"}
		m.Prefix = rapid.SampledFrom([]uint64{0, 7, 99}).Draw(t, "prefix")
		m.Lane = rapid.SampledFrom([]Lane{LaneAny, LaneLong, LaneShort}).Draw(t, "lane")
		m.Parts.Tokens = rapid.Float64Range(0, 1).Draw(t, "share")
		m.MaxOutstanding = rapid.IntRange(0, 3).Draw(t, "most")
		left := 0
		for i := range v.Servers {
			s := &v.Servers[i]
			s.Leaving = rapid.Bool().Draw(t, "leaving")
			avoided := rapid.Bool().Draw(t, "avoided")
			if avoided {
				m.Avoid = append(m.Avoid, s.ID)
			}
			own := rapid.IntRange(0, 4).Draw(t, "own")
			for range own {
				s.Stats.RequestStarted()
			}
			if rapid.Bool().Draw(t, "failed") {
				s.Stats.RequestFailed(true, start)
			}
			if !s.Leaving && !avoided && (m.MaxOutstanding == 0 || own < m.MaxOutstanding) {
				left++
			}
		}
		i, ok := Choose(v, m)
		if ok != (left > 0) {
			t.Fatalf("chosen: %v, with %d that may be", ok, left)
		}
		if !ok {
			return
		}
		s := &v.Servers[i]
		for _, id := range m.Avoid {
			if id == s.ID {
				t.Fatalf("%s was to be avoided", id)
			}
		}
		if s.Leaving || (m.MaxOutstanding > 0 && s.Stats.Outstanding() >= m.MaxOutstanding) {
			t.Fatalf("chosen %+v with %d outstanding of %d", s, s.Stats.Outstanding(), m.MaxOutstanding)
		}
	})
}

// TestGatewaysAgreeOnAPrefix checks that two gateways that know nothing of each
// other send the same prompt to the same server, and that losing another server
// moves no prompt.
func TestGatewaysAgreeOnAPrefix(t *testing.T) {
	a, b, moved := fleet(12), fleet(12), 0
	smaller := fleet(12)
	smaller.Servers[3].Leaving = true
	for prefix := uint64(1); prefix <= 200; prefix++ {
		m := ChooseMsg{Service: "model", Prefix: prefix, Now: start}
		i, _ := Choose(a, m)
		j, _ := Choose(b, m)
		if i != j {
			t.Fatalf("prefix %d: one gateway takes %d, the other %d", prefix, i, j)
		}
		if k, _ := Choose(smaller, m); i != 3 && k != i {
			moved++
		}
	}
	if moved > 0 {
		t.Errorf("%d of 200 prefixes moved though their server stayed", moved)
	}
}

// TestPrefixLeavesAFullServer checks that a server two requests above the bound
// is passed over, whatever its slots; the bound let it run six ahead before.
func TestPrefixLeavesAFullServer(t *testing.T) {
	v := fleet(4)
	for i := range v.Servers {
		v.Servers[i].Slots = 64
	}
	m := ChooseMsg{Service: "model", Prefix: 42, Now: start}
	home, _ := Choose(v, m)
	for n := 1; ; n++ {
		v.Servers[home].Stats.RequestStarted()
		if i, _ := Choose(v, m); i != home {
			if n > 4 {
				t.Errorf("left its server only at %d requests", n)
			}
			return
		}
	}
}

// TestFailingServerIsLeftAlone checks that a server that fails a part of its
// requests gets next to nothing while others work.
func TestFailingServerIsLeftAlone(t *testing.T) {
	v := fleet(4)
	now, bad := start, 0
	for n := range 400 {
		now = now.Add(20 * time.Millisecond)
		i, _ := Choose(v, ChooseMsg{Service: "model", Rand: uint64(n) * 0x9e3779b97f4a7c15, Now: now})
		if i != 0 {
			v.Servers[i].Stats.RequestSucceeded()
			continue
		}
		bad++
		if n%2 == 0 {
			v.Servers[i].Stats.RequestFailed(false, now)
		} else {
			v.Servers[i].Stats.RequestSucceeded()
		}
	}
	if bad > 40 {
		t.Errorf("%d of 400 requests went to a server that fails half", bad)
	}
}

// TestNearServerFirst checks that equal servers are taken from the own domain,
// and that a clearly fuller one is not.
func TestNearServerFirst(t *testing.T) {
	v := fleet(4)
	m := ChooseMsg{Service: "model", Domain: "domain-2", Now: start}
	if i, _ := Choose(v, m); i != 2 {
		t.Errorf("chosen %d, want the own domain's", i)
	}
	for range 4 {
		v.Servers[2].Stats.RequestStarted()
	}
	if i, _ := Choose(v, m); i == 2 {
		t.Error("the own domain's was taken though it is a quarter full")
	}
}

// TestLanes checks that long prompts and short ones get servers of their own,
// that all servers are in one lane or the other, and that prompts of one size
// make no lanes.
func TestLanes(t *testing.T) {
	var l, even Lanes
	lanes := map[Lane]int{}
	var parts protocol.LaneShares
	for i := range 400 {
		tokens := 800
		if i%5 == 0 {
			tokens = 12_000
		}
		var lane Lane
		lane, parts = l.Observe(tokens, 0)
		if i > 100 {
			lanes[lane]++
			if (tokens > 800) != (lane == LaneLong) {
				t.Fatalf("%d tokens came into lane %d", tokens, lane)
			}
		}
		if lane, _ := even.Observe(1000, 0); lane != LaneAny {
			t.Fatalf("prompts of one size came into lane %d", lane)
		}
	}
	v := fleet(10)
	used := map[int]Lane{}
	for n := range 2000 {
		lane := LaneShort
		if n%2 == 0 {
			lane = LaneLong
		}
		i, _ := Choose(v, ChooseMsg{Service: "model", Rand: mix(uint64(n)), Prefix: mix(uint64(n)), Lane: lane, Parts: parts, Now: start})
		if other, ok := used[i]; ok && other != lane {
			t.Fatalf("server %d is in both lanes", i)
		}
		used[i] = lane
	}
	if len(used) != 10 {
		t.Errorf("%d of 10 servers are used", len(used))
	}
}

// TestNewViewKeepsCells checks that a server that is listed again keeps what is
// known of it, and that one with its address does not get it.
func TestNewViewKeepsCells(t *testing.T) {
	before := fleet(3)
	before.Servers[1].Stats.RequestStarted()
	list := []protocol.Instance{before.Servers[1].Instance, before.Servers[2].Instance}
	list[1].ID = "another"
	after := NewView(list, before)
	if after.Servers[0].Stats.Outstanding() != 1 {
		t.Error("what was known of a server is lost")
	}
	if after.Servers[1].Stats == before.Servers[2].Stats {
		t.Error("a server got what was known of another one at its address")
	}
}

// BenchmarkChoose measures a decision before many servers, in both lanes.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{20, 95, 600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v := fleet(n)
			for i := 0; b.Loop(); i++ {
				Choose(v, ChooseMsg{Service: "model", Prefix: mix(uint64(i)), Lane: LaneLong + Lane(i%2), Parts: protocol.LaneShares{Tokens: 0.6}, Now: start})
			}
		})
	}
}

// TestNewAddressIsUnknown checks that a server which comes back under its name at
// another address begins without what was known of it.
func TestNewAddressIsUnknown(t *testing.T) {
	before := fleet(1)
	before.Servers[0].Stats.RequestFailed(true, start)
	in := before.Servers[0].Instance
	in.Address = "10.9.9.9:80"
	if NewView([]protocol.Instance{in}, before).Servers[0].Stats.Suspect(start) {
		t.Error("a new server is passed over for what another did")
	}
}

// TestColdServerComesAfterAWarmOne checks that of two equal servers the one that
// has just started is not taken.
func TestColdServerComesAfterAWarmOne(t *testing.T) {
	v := fleet(2)
	for cold := range v.Servers {
		v.Servers[cold].ColdMS, v.Servers[1-cold].ColdMS = 500, 0
		if i, _ := Choose(v, ChooseMsg{Service: "model", Now: start}); i == cold {
			t.Errorf("server %d was taken though it is cold", i)
		}
	}
}

// TestLeavingServersHelpOut checks that a brief request goes to a leaving server while
// all others are full, that server still runs for a while and its notice is fresh, and
// that nothing else does.
func TestLeavingServersHelpOut(t *testing.T) {
	for name, c := range map[string]struct {
		brief, full bool
		left, since time.Duration
		want        string
	}{
		"all others full":         {true, true, 2 * time.Second, 0, "leaving"},
		"one other has room":      {true, false, 2 * time.Second, 0, "stays"},
		"not a brief one":         {false, true, 2 * time.Second, 0, "stays"},
		"it stops soon":           {true, true, 2 * time.Second, 1600 * time.Millisecond, "stays"},
		"the notice is old":       {true, true, time.Minute, leavingMost + time.Millisecond, "stays"},
		"not known how long":      {true, true, 0, 0, "stays"},
		"just before the last of": {true, true, time.Minute, leavingMost - time.Millisecond, "leaving"},
	} {
		v := NewView([]protocol.Instance{{ID: "stays", Service: "model", Slots: 2}, {ID: "leaving", Service: "model", Slots: 2, Leaving: true}}, nil)
		if c.left > 0 {
			v.Find("leaving").Stats.SetLeaving(c.left, start)
		}
		if c.full {
			v.Find("stays").Stats.SetReportedLoad(2, start.Add(c.since))
		}
		i, ok := Choose(v, ChooseMsg{Service: "model", Brief: c.brief, Now: start.Add(c.since)})
		if !ok || v.Servers[i].ID != c.want {
			t.Errorf("%s: %v, %s", name, ok, v.Servers[i].ID)
		}
	}
}
