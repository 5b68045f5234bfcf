package soak

import (
	"fmt"
	"io"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/weldstream/weldstream/coordination/roundtrip"
)

// plan7 is what seed 7 drew for a small cluster before there were regions.
const plan7 = `seed 7, 2s
     500ms damage 0 for 38ms
     853ms reload 2 for 1619ms
`

var wide = Size{Controls: 3, Gateways: 3, Backends: 3, Regions: 3, Delay: 8 * time.Millisecond}

// TestRegionsKeepPlans checks that regions only add their own faults to a seed's plan,
// so that seeds which stand in tests draw what they always drew.
func TestRegionsKeepPlans(t *testing.T) {
	for seed := range uint64(50) {
		without := wide
		without.Regions = 0
		old, more := DrawPlan(seed, time.Minute, without), DrawPlan(seed, time.Minute, wide)
		kept := slices.DeleteFunc(slices.Clone(more.Steps), func(s Step) bool { return s.Fault >= FaultRegion })
		if !slices.Equal(kept, old.Steps) || len(kept) == len(more.Steps) {
			t.Fatalf("seed %d: of %d steps %d are not of regions, %d before", seed, len(more.Steps), len(kept), len(old.Steps))
		}
	}
	// The plan of a seed as it was drawn before there were regions.
	if got := DrawPlan(7, 2*time.Second, small).String(); got != plan7 {
		t.Errorf("seed 7 draws\n%s", got)
	}
}

// TestNoCutWhileADiskIsLost checks that no plan cuts a region off while a control
// instance whose disk was lost catches up, and that most plans still cut some.
func TestNoCutWhileADiskIsLost(t *testing.T) {
	cuts := 0
	for seed := range uint64(4000) {
		steps := DrawPlan(seed, 12*time.Second, wide).Steps
		for _, cut := range steps {
			if cut.Fault < FaultRegion {
				continue
			}
			cuts++
			for _, s := range steps {
				if s.losesDisk() && cut.At < s.At+s.For+catchUp && cut.At+cut.For > s.At {
					t.Fatalf("seed %d: %v at %v while the disk lost at %v is caught up", seed, cut.Fault, cut.At, s.At)
				}
			}
		}
	}
	if cuts < 2*4000 {
		t.Errorf("only %d cuts", cuts)
	}
}

func TestCutPaths(t *testing.T) {
	for name, tt := range map[string]struct {
		step Step
		want string
	}{
		"whole":   {Step{Fault: FaultRegion, Index: 1, Link: LinkSilent}, "[[0 1] [1 0] [2 1] [1 2]]"},
		"inward":  {Step{Fault: FaultRegion, Index: 1, Link: LinkOneWay}, "[[0 1] [2 1]]"},
		"outward": {Step{Fault: FaultRegion, Index: 1, Link: linkOutward}, "[[1 0] [1 2]]"},
		"apart":   {Step{Fault: FaultApart, Index: 2, Link: LinkSilent}, "[[0 2] [2 0]]"},
	} {
		if got := fmt.Sprint(tt.step.cutPaths(wide)); got != tt.want {
			t.Errorf("%s: %s, want %s", name, got, tt.want)
		}
	}
}

// TestPathsBetweenRegions checks that a proxy tells by the greeting from where a
// connection comes, delays what crosses between regions, also while it passes much, and
// holds it while the path is cut.
func TestPathsBetweenRegions(t *testing.T) {
	ln, err := net.Listen("tcp", behind(90)+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	const delay = 20 * time.Millisecond
	paths := NewPaths(delay, map[string]int{"gateway-1": 0, "gateway-10": 1})
	p, err := NewProxy(behind(91)+":0", ln.Addr().String(), WithPaths(paths, 1))
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	echo := func(c net.Conn, text string) (time.Duration, error) {
		began := time.Now()
		if _, err := io.WriteString(c, text); err != nil {
			return 0, err
		}
		_, err := io.ReadFull(c, make([]byte, len(text)))
		return time.Since(began), err
	}
	for name, least := range map[string]time.Duration{"gateway-1": 2 * delay, "gateway-10": 0} {
		c, err := net.Dial("tcp", p.Address())
		if err != nil {
			t.Fatal(err)
		}
		took, err := echo(c, "hello "+name+"!")
		if err != nil || took < least {
			t.Errorf("%s: an echo in %v, %v", name, took, err)
		}
		if name == "gateway-10" {
			paths.Cut(0, 1, true)
			if _, err := echo(c, "within a region"); err != nil {
				t.Error(err)
			}
			paths.Cut(0, 1, false)
			continue
		}
		paths.Cut(1, 0, true) // The way back.
		_ = c.SetReadDeadline(time.Now().Add(5 * delay))
		if _, err := echo(c, "lost"); err == nil {
			t.Error("an answer came over a path that was cut")
		}
		paths.Cut(1, 0, false)
		_ = c.SetReadDeadline(time.Time{})
		if _, err := io.ReadFull(c, make([]byte, len("lost"))); err != nil {
			t.Error(err)
		}
	}
}

// tripsOf waits until a control instance knows all round trips, and returns them.
func tripsOf(t *testing.T, c *Cluster, i int) []roundtrip.Trip {
	t.Helper()
	for end := time.Now().Add(readyTime); time.Now().Before(end); time.Sleep(askPause) {
		if s, err := c.Status(i); err == nil && len(s.RoundTrips) == c.Size.Controls*(c.Size.Controls-1) {
			return s.RoundTrips
		}
	}
	t.Fatal("round trips are not known")
	return nil
}

// TestRoundTripsAreKnown checks that every control instance knows the round trips
// between any two.
func TestRoundTripsAreKnown(t *testing.T) {
	c, _, _ := cluster(t, wide)
	for i := range c.Size.Controls {
		for _, trip := range tripsOf(t, c, i) {
			if trip.Smoothed < 2*wide.Delay {
				t.Errorf("control instance %d: %+v, less than light allows", i, trip)
			}
		}
	}
}

// putAt sends a configuration to one control instance.
func putAt(o *Operator, i int, number uint64) bool {
	o.next = i
	return o.Put(number)
}

// TestLeadersRegionIsCutOff cuts off the region of the leader, whole and each way. The
// others elect one and take configurations; the one inside vouches for nothing and
// reads nothing back. Behind the heal it follows, and reads the newest back.
func TestLeadersRegionIsCutOff(t *testing.T) {
	c, k, o := cluster(t, wide)
	number := uint64(2)
	for _, link := range []Link{LinkSilent, LinkOneWay, linkOutward} {
		leader := leaderOf(t, c, -1)
		before, err := c.Status(leader)
		if err != nil {
			t.Fatal(err)
		}
		s := Step{Fault: FaultRegion, Index: c.Size.regionOf(leader), Link: link}
		for _, path := range s.cutPaths(c.Size) {
			c.Paths.Cut(path[0], path[1], true)
		}
		began := time.Now()
		next := leaderOf(t, c, leader)
		t.Logf("%v: another led %v behind the cut, timeout %v", link, time.Since(began), before.Timeout)
		if former, err := c.Status(leader); err != nil || former.LeaseLeftMS > 0 {
			t.Errorf("%v: the one that is cut off has a lease of %d ms, %v", link, former.LeaseLeftMS, err)
		}
		if link == LinkSilent && o.Get(leader) {
			t.Error("the one that is cut off read a configuration back")
		}
		for !putAt(o, next, number) {
			if time.Since(began) > readyTime {
				t.Fatalf("%v: configuration %d was not taken", link, number)
			}
			time.Sleep(askPause)
		}
		number++
		for _, path := range s.cutPaths(c.Size) {
			c.Paths.Cut(path[0], path[1], false)
		}
		began = time.Now()
		readsBack(t, o, leader)
		t.Logf("%v: it read the newest back %v behind the heal", link, time.Since(began))
	}
	for _, b := range append(k.Breaches(), c.API.Breaches()...) {
		t.Error(b)
	}
}

// TestRegionsApart has the leader's region and another lose each other while both reach
// the third: the leader goes on in its term, also behind the heal.
func TestRegionsApart(t *testing.T) {
	c, k, o := cluster(t, wide)
	leader := leaderOf(t, c, -1)
	before, err := c.Status(leader)
	if err != nil {
		t.Fatal(err)
	}
	s := Step{Fault: FaultApart, Index: c.Size.regionOf(leader)}
	for _, path := range s.cutPaths(c.Size) {
		c.Paths.Cut(path[0], path[1], true)
	}
	third := (leader + 2) % 3
	for number := uint64(2); number < 5; number++ {
		for end := time.Now().Add(readyTime); !putAt(o, third, number); time.Sleep(askPause) {
			if time.Now().After(end) {
				t.Fatalf("configuration %d was not taken", number)
			}
		}
	}
	for _, path := range s.cutPaths(c.Size) {
		c.Paths.Cut(path[0], path[1], false)
	}
	readsBack(t, o, (leader+1)%3)
	after, err := c.Status(leader)
	if err != nil || after.Role != "leader" || after.Term != before.Term {
		t.Errorf("the leader of term %d became %s of term %d, %v", before.Term, after.Role, after.Term, err)
	}
	for _, b := range append(k.Breaches(), c.API.Breaches()...) {
		t.Error(b)
	}
}

// TestLeadershipMoves has a leader alone in its region while a quorum is in another:
// leadership moves there by itself, once, and configurations are taken all the while.
// It waits out the half minute for which a leader leads at the least.
func TestLeadershipMoves(t *testing.T) {
	size := Size{Controls: 3, Gateways: 1, Backends: 2, Regions: 2, Delay: 40 * time.Millisecond}
	c, k, o := cluster(t, size)
	leader := leaderOf(t, c, -1)
	for ; c.Size.regionOf(leader) != 1; leader = leaderOf(t, c, -1) {
		p := c.procs[leader]
		if err := p.Stop(); err != nil {
			t.Fatal(err)
		}
		leaderOf(t, c, leader)
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		readsBack(t, o, leader)
	}
	before, err := c.Status(leader)
	if err != nil {
		t.Fatal(err)
	}
	began, next := time.Now(), leader
	for number := uint64(2); c.Size.regionOf(next) == 1; number++ {
		if time.Since(began) > 2*readyTime {
			t.Fatal("leadership stays where a quorum is far")
		}
		takes(t, o, number)
		next = leaderOf(t, c, -1)
	}
	after, err := c.Status(next)
	if err != nil || after.Term != before.Term+1 {
		t.Errorf("from term %d to %d, %v", before.Term, after.Term, err)
	}
	t.Logf("leadership moved %v behind the look; round trips %+v", time.Since(began), after.RoundTrips)
	for _, b := range append(k.Breaches(), c.API.Breaches()...) {
		t.Error(b)
	}
}
