package place

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/weldstream/weldstream/internal/testseed" // Sets the seed.
	"github.com/weldstream/weldstream/protocol"
)

var start = time.Unix(1_700_000_000, 0)

// fleet returns a view of n servers of one service in four domains.
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

// TestChooseNeverTakesTheExcluded checks that a server is never chosen that is leaving,
// that is to be avoided or that has the maximum of requests, and that some server is chosen
// whenever any is left.
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
			t.Fatalf("chosen: %v, with %d servers left", ok, left)
		}
		if !ok {
			return
		}
		s := &v.Servers[i]
		for _, id := range m.Avoid {
			if id == s.ID {
				t.Fatalf("%s should have been avoided", id)
			}
		}
		if s.Leaving || (m.MaxOutstanding > 0 && s.Stats.Outstanding() >= m.MaxOutstanding) {
			t.Fatalf("chosen %+v with %d outstanding of at most %d", s, s.Stats.Outstanding(), m.MaxOutstanding)
		}
	})
}

// TestGatewaysAgreeOnAPrefix checks that two gateways without knowledge of each other send
// the same prompt to the same server, and that the loss of another server moves no prompt.
func TestGatewaysAgreeOnAPrefix(t *testing.T) {
	a, b, moved := fleet(12), fleet(12), 0
	smaller := fleet(12)
	smaller.Servers[3].Leaving = true
	for prefix := uint64(1); prefix <= 200; prefix++ {
		m := ChooseMsg{Service: "model", Prefix: prefix, Now: start}
		i, _ := Choose(a, m)
		j, _ := Choose(b, m)
		if i != j {
			t.Fatalf("prefix %d: one gateway chooses %d, the other %d", prefix, i, j)
		}
		if k, _ := Choose(smaller, m); i != 3 && k != i {
			moved++
		}
	}
	if moved > 0 {
		t.Errorf("%d of 200 prefixes moved although their server stayed", moved)
	}
}

// TestPrefixSkipsAFullServer checks that among idle servers of 64 slots one with at most four
// requests is skipped. The slack must not grow with the slots: with an earlier bound, a server
// had six requests more than the others.
func TestPrefixSkipsAFullServer(t *testing.T) {
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
				t.Errorf("server skipped only at %d requests", n)
			}
			return
		}
	}
}

// TestFailingServerIsAvoided checks that a server that fails half of its requests gets very
// few of them while others work.
func TestFailingServerIsAvoided(t *testing.T) {
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
		t.Errorf("%d of 400 requests went to a server that fails half of them", bad)
	}
}

// TestServerInOwnDomainFirst checks that among equal servers the one in the gateway's
// domain is chosen, but not if it is clearly fuller.
func TestServerInOwnDomainFirst(t *testing.T) {
	v := fleet(4)
	m := ChooseMsg{Service: "model", Domain: "domain-2", Now: start}
	if i, _ := Choose(v, m); i != 2 {
		t.Errorf("chosen %d, want the server in the gateway's domain", i)
	}
	for range 4 {
		v.Servers[2].Stats.RequestStarted()
	}
	if i, _ := Choose(v, m); i == 2 {
		t.Error("the server in the gateway's domain was chosen although it is a quarter full")
	}
}

// TestLanes checks that long and short prompts are sent to different servers, that each
// server is in exactly one lane, and that prompts of equal length create no lanes.
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
				t.Fatalf("prompt of %d tokens was assigned to lane %d", tokens, lane)
			}
		}
		if lane, _ := even.Observe(1000, 0); lane != LaneAny {
			t.Fatalf("prompts of equal length were assigned to lane %d", lane)
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

// TestNewViewKeepsStats checks that a server that is listed again keeps its stats, and that
// another server at its address does not get them.
func TestNewViewKeepsStats(t *testing.T) {
	before := fleet(3)
	before.Servers[1].Stats.RequestStarted()
	list := []protocol.Instance{before.Servers[1].Instance, before.Servers[2].Instance}
	list[1].ID = "another"
	after := NewView(list, before)
	if after.Servers[0].Stats.Outstanding() != 1 {
		t.Error("the stats of a server are lost")
	}
	if after.Servers[1].Stats == before.Servers[2].Stats {
		t.Error("a server got the stats of another one at its address")
	}
}

// BenchmarkChoose measures a choice among many servers, in both lanes.
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

// TestNewAddressIsUnknown checks that a server that is listed with another address starts
// without the stats of the old one.
func TestNewAddressIsUnknown(t *testing.T) {
	before := fleet(1)
	before.Servers[0].Stats.RequestFailed(true, start)
	in := before.Servers[0].Instance
	in.Address = "10.9.9.9:80"
	if NewView([]protocol.Instance{in}, before).Servers[0].Stats.Suspect(start) {
		t.Error("a new server is suspect for failures of the old one")
	}
}

// TestColdServerComesAfterAWarmOne checks that of two otherwise equal servers the one that
// has just started is not chosen.
func TestColdServerComesAfterAWarmOne(t *testing.T) {
	v := fleet(2)
	for cold := range v.Servers {
		v.Servers[cold].ColdMS, v.Servers[1-cold].ColdMS = 500, 0
		if i, _ := Choose(v, ChooseMsg{Service: "model", Now: start}); i == cold {
			t.Errorf("server %d was chosen although it is cold", i)
		}
	}
}

// TestBriefRequestsUseLeavingServers checks that a brief request is sent to a leaving server
// while all others are full, if that server still runs for long enough and its notice is recent,
// and that no other request is.
func TestBriefRequestsUseLeavingServers(t *testing.T) {
	for name, c := range map[string]struct {
		brief, full bool
		left, since time.Duration
		want        string
	}{
		"all others full":           {true, true, 2 * time.Second, 0, "leaving"},
		"another server has room":   {true, false, 2 * time.Second, 0, "stays"},
		"not a brief request":       {false, true, 2 * time.Second, 0, "stays"},
		"stops too soon":            {true, true, 2 * time.Second, 1600 * time.Millisecond, "stays"},
		"old notice":                {true, true, time.Minute, maxUseAfterNotice + time.Millisecond, "stays"},
		"stop time unknown":         {true, true, 0, 0, "stays"},
		"notice just recent enough": {true, true, time.Minute, maxUseAfterNotice - time.Millisecond, "leaving"},
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
			t.Errorf("%s: chosen %v, %s", name, ok, v.Servers[i].ID)
		}
	}
}
