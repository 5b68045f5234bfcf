package allot

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/weldstream/weldstream/internal/testseed" // Fixes the seed.
)

var testStart = time.Unix(1_700_000_000, 0)

// allotSim simulates gateways that start, are cut off and lose answers while leaders change.
type allotSim struct {
	t      *rapid.T
	now    time.Time
	table  *Table // table is nil while no leader is running.
	starts uint64
	// gateways are the starts that run or were cut off; a part counts until it expires.
	gateways []*gateway
}

type gateway struct {
	start uint64
	part  Part
	alive bool
}

func (s *allotSim) start() {
	s.starts++
	s.gateways = append(s.gateways, &gateway{start: s.starts, alive: true})
}

func (s *allotSim) step() {
	s.now = s.now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 100, 2000, 9999, 10000}).Draw(s.t, "ms")) * time.Millisecond)
	switch rapid.IntRange(0, 7).Draw(s.t, "event") {
	case 0:
		s.table = nil
	case 1:
		s.table = NewTable(s.now)
	case 2: // All gateways start again; the former ones may still run, cut off from the leader.
		n := 0
		for _, g := range s.gateways {
			if g.alive {
				g.alive = false
				n++
			}
		}
		for range n {
			s.start()
		}
	default:
		for _, g := range s.gateways {
			if g.alive && s.table != nil && rapid.IntRange(0, 3).Draw(s.t, "asks") > 0 {
				s.request(g)
			}
		}
	}
}

func (s *allotSim) request(g *gateway) {
	asked := s.now.Add(-time.Duration(rapid.SampledFrom([]int{0, 50, 3000}).Draw(s.t, "ago")) * time.Millisecond)
	size := s.table.Request(g.start, g.part.Renewable(s.now), s.now)
	if rapid.IntRange(0, 4).Draw(s.t, "lost") > 0 {
		g.part = NewPart(size, asked.Add(Lifetime))
	}
}

// sum returns the sum of the parts that may be used.
func (s *allotSim) sum() float64 {
	sum := 0.0
	for _, g := range s.gateways {
		sum += g.part.Size(s.now)
	}
	return sum
}

// TestPartsNeverExceedTheWhole guards against bounds that hold only if each gateway knows how many
// there are: any number that start at once or again and again, are cut off or lose answers, with a
// leader, with a new one and with none.
func TestPartsNeverExceedTheWhole(t *testing.T) {
	for _, gateways := range []int{1, 8, 80} {
		t.Run(fmt.Sprint(gateways), rapid.MakeCheck(func(t *rapid.T) {
			s := &allotSim{t: t, now: testStart}
			for range gateways {
				s.start()
			}
			if rapid.Bool().Draw(t, "leader") {
				s.table = NewTable(s.now.Add(-Lifetime))
			}
			for range 40 {
				s.step()
				if sum := s.sum(); sum > 1+1e-9 {
					t.Fatalf("the parts add up to %v", sum)
				}
			}
		}))
	}
}

// TestPartExpires checks until when a part may be used, and named in a request.
func TestPartExpires(t *testing.T) {
	p := NewPart(0.5, testStart.Add(Lifetime))
	for _, c := range []struct {
		after           time.Duration
		size, renewable float64
	}{{0, 0.5, 0.5}, {Lifetime - renewalMargin - 1, 0.5, 0.5}, {Lifetime - renewalMargin, 0.5, 0}, {Lifetime - 1, 0.5, 0}, {Lifetime, 0, 0}} {
		now := testStart.Add(c.after)
		if size, renewable := p.Size(now), p.Renewable(now); size != c.size || renewable != c.renewable {
			t.Errorf("after %v: size %v, renewable %v", c.after, size, renewable)
		}
	}
}

// TestFirstLeaderAllotsAtOnce checks that a leader without a predecessor allots parts at once.
func TestFirstLeaderAllotsAtOnce(t *testing.T) {
	table := NewTable(testStart, WithoutPredecessor())
	if size := table.Request(1, 0, testStart); size != 1 {
		t.Errorf("the only gateway got %v", size)
	}
}

// BenchmarkRequest measures the requests of a thousand gateways.
func BenchmarkRequest(b *testing.B) {
	const gateways = 1000
	table, now := NewTable(testStart.Add(-Lifetime)), testStart
	for i := range b.N {
		now = now.Add(RenewalInterval / gateways)
		table.Request(uint64(i%gateways), 0, now)
	}
}

// TestWholeIsAllotted checks that gateways which renew their parts come to hold equal ones that add
// up to the whole, keep them under a new leader, and give way to gateways that start.
func TestWholeIsAllotted(t *testing.T) {
	now := testStart
	table := NewTable(now)
	parts := map[uint64]Part{}
	run := func(gateways uint64, d time.Duration) (sum float64) {
		for end := now.Add(d); now.Before(end); now = now.Add(RenewalInterval) {
			for g := range gateways {
				parts[g] = NewPart(table.Request(g, parts[g].Renewable(now), now), now.Add(Lifetime))
			}
		}
		for g := range gateways {
			sum += parts[g].Size(now)
		}
		return sum
	}
	if sum := run(8, Lifetime-RenewalInterval); sum > 0 {
		t.Errorf("a new leader allotted %v", sum)
	}
	if sum := run(8, 3*Lifetime); sum < 0.99 {
		t.Errorf("8 gateways hold %v", sum)
	}
	table = NewTable(now)
	if sum := run(8, Lifetime/2); sum < 0.99 {
		t.Errorf("under a new leader 8 gateways hold %v", sum)
	}
	if sum := run(80, 4*Lifetime); sum < 0.99 || parts[79].Size(now) < 0.012 {
		t.Errorf("80 gateways hold %v, the last one %v", sum, parts[79].Size(now))
	}
	if n := len(table.held); n != 80 {
		t.Errorf("%d gateways in the table", n)
	}
	run(8, 3*Lifetime)
	if n := len(table.held) + len(table.seen); n != 16 {
		t.Errorf("%d rows in the table after 72 gateways ended", n)
	}
}
