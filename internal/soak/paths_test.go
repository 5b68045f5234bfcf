package soak

import (
	"fmt"
	"io"
	"net"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/weldstream/weldstream/coordination/roundtrip"
)

// plan7 is the plan of seed 7 for a small cluster from before regions were added.
const plan7 = `seed 7, 2s
     500ms damage 0 for 38ms
     853ms reload 2 for 1619ms
`

var threeRegions = Size{Controls: 3, Gateways: 3, Backends: 3, Regions: 3, Delay: 8 * time.Millisecond}

// TestRegionsKeepPlans checks that regions only add their own faults to a seed's plan, so
// that seeds in tests keep generating the same plans.
func TestRegionsKeepPlans(t *testing.T) {
	for seed := range uint64(50) {
		without := threeRegions
		without.Regions = 0
		old, more := DrawPlan(seed, time.Minute, without), DrawPlan(seed, time.Minute, threeRegions)
		kept := slices.DeleteFunc(slices.Clone(more.Steps), func(s Step) bool { return s.Fault >= FaultRegion })
		if !slices.Equal(kept, old.Steps) || len(kept) == len(more.Steps) {
			t.Fatalf("seed %d: of %d steps %d are no region faults, want %d", seed, len(more.Steps), len(kept), len(old.Steps))
		}
	}
	// The plan of a seed from before regions were added.
	if got := DrawPlan(7, 2*time.Second, small).String(); got != plan7 {
		t.Errorf("seed 7 draws\n%s", got)
	}
}

// TestNoCutWhileADiskIsLost checks that no plan isolates a region while a control instance
// whose disk was lost catches up, and that plans still have enough cuts.
func TestNoCutWhileADiskIsLost(t *testing.T) {
	cuts := 0
	for seed := range uint64(4000) {
		steps := DrawPlan(seed, 12*time.Second, threeRegions).Steps
		for _, cut := range steps {
			if cut.Fault < FaultRegion {
				continue
			}
			cuts++
			for _, s := range steps {
				if s.losesDisk() && cut.At < s.At+s.For+catchUpTime && cut.At+cut.For > s.At {
					t.Fatalf("seed %d: %v at %v while the instance whose disk was lost at %v catches up", seed, cut.Fault, cut.At, s.At)
				}
			}
		}
	}
	if cuts < 2*4000 {
		t.Errorf("only %d cuts, want at least two per seed", cuts)
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
		"apart":   {Step{Fault: FaultPartition, Index: 2, Link: LinkSilent}, "[[0 2] [2 0]]"},
	} {
		if got := fmt.Sprint(tt.step.cutPaths(threeRegions)); got != tt.want {
			t.Errorf("%s: %s, want %s", name, got, tt.want)
		}
	}
}

// TestPathsBetweenRegions checks that a proxy learns the region of a connection from its
// greeting, delays what crosses regions, also under load, and forwards nothing while the
// path is cut.
func TestPathsBetweenRegions(t *testing.T) {
	ln, err := net.Listen("tcp", listenIP(90)+":0")
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
	paths := NewRegionPaths(delay, map[string]int{"gateway-1": 0, "gateway-10": 1})
	p, err := NewProxy(listenIP(91)+":0", ln.Addr().String(), WithPaths(paths, 1))
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
			t.Errorf("%s: echo after %v, error %v", name, took, err)
		}
		if name == "gateway-10" {
			paths.Cut(0, 1, true)
			if _, err := echo(c, "within a region"); err != nil {
				t.Error(err)
			}
			paths.Cut(0, 1, false)
			continue
		}
		paths.Cut(1, 0, true) // The return path.
		_ = c.SetReadDeadline(time.Now().Add(5 * delay))
		if _, err := echo(c, "lost"); err == nil {
			t.Error("got a reply over a path that is cut")
		}
		paths.Cut(1, 0, false)
		_ = c.SetReadDeadline(time.Time{})
		if _, err := io.ReadFull(c, make([]byte, len("lost"))); err != nil {
			t.Error(err)
		}
	}
}

// waitForRoundTrips waits until a control instance knows all round-trip times, and returns
// them.
func waitForRoundTrips(t *testing.T, c *Cluster, i int) []roundtrip.Trip {
	t.Helper()
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(requestPause) {
		if s, err := c.Status(i); err == nil && len(s.RoundTrips) == c.Size.Controls*(c.Size.Controls-1) {
			return s.RoundTrips
		}
	}
	t.Fatal("the round-trip times did not become known")
	return nil
}

// TestRoundTripsAreKnown checks that every control instance knows the round-trip times
// between any two.
func TestRoundTripsAreKnown(t *testing.T) {
	c, _, _ := startCluster(t, threeRegions)
	for i := range c.Size.Controls {
		for _, trip := range waitForRoundTrips(t, c, i) {
			if trip.Smoothed < 2*threeRegions.Delay {
				t.Errorf("control instance %d: %+v is less than twice the delay", i, trip)
			}
		}
	}
}

// putAt sends a configuration to the given control instance.
func putAt(o *Operator, i int, number uint64) bool {
	o.next = i
	return o.Put(number)
}

// TestLeadersRegionIsCutOff isolates the leader's region, in both directions and in each.
// The other instances elect a leader and accept configurations; the isolated one has no
// lease and returns no configuration. After the cut it follows and returns the latest one.
func TestLeadersRegionIsCutOff(t *testing.T) {
	c, k, o := startCluster(t, threeRegions)
	number := uint64(2)
	for _, link := range []Link{LinkSilent, LinkOneWay, linkOutward} {
		leader := waitForLeader(t, c, -1)
		before, err := c.Status(leader)
		if err != nil {
			t.Fatal(err)
		}
		s := Step{Fault: FaultRegion, Index: c.Size.regionOf(leader), Link: link}
		for _, path := range s.cutPaths(c.Size) {
			c.Paths.Cut(path[0], path[1], true)
		}
		began := time.Now()
		next := waitForLeader(t, c, leader)
		t.Logf("%v: another instance led %v after the cut, election timeout %v", link, time.Since(began), before.Timeout)
		if former, err := c.Status(leader); err != nil || former.LeaseLeftMS > 0 {
			t.Errorf("%v: the isolated leader has a lease of %d ms, error %v", link, former.LeaseLeftMS, err)
		}
		if link == LinkSilent && o.Get(leader) {
			t.Error("the isolated leader returned a configuration")
		}
		for !putAt(o, next, number) {
			if time.Since(began) > readyTimeout {
				t.Fatalf("%v: configuration %d was not accepted", link, number)
			}
			time.Sleep(requestPause)
		}
		number++
		for _, path := range s.cutPaths(c.Size) {
			c.Paths.Cut(path[0], path[1], false)
		}
		began = time.Now()
		waitUntilReadBack(t, o, leader)
		t.Logf("%v: it returned the latest configuration %v after the cut ended", link, time.Since(began))
	}
	for _, b := range append(k.Breaches(), c.API.Breaches()...) {
		t.Error(b)
	}
}

// TestRegionsApart cuts the paths between the leader's region and another while both reach
// the third: the leader keeps leading in its term, also after the cut.
func TestRegionsApart(t *testing.T) {
	c, k, o := startCluster(t, threeRegions)
	leader := waitForLeader(t, c, -1)
	before, err := c.Status(leader)
	if err != nil {
		t.Fatal(err)
	}
	s := Step{Fault: FaultPartition, Index: c.Size.regionOf(leader)}
	for _, path := range s.cutPaths(c.Size) {
		c.Paths.Cut(path[0], path[1], true)
	}
	third := (leader + 2) % 3
	for number := uint64(2); number < 5; number++ {
		for end := time.Now().Add(readyTimeout); !putAt(o, third, number); time.Sleep(requestPause) {
			if time.Now().After(end) {
				t.Fatalf("configuration %d was not accepted", number)
			}
		}
	}
	for _, path := range s.cutPaths(c.Size) {
		c.Paths.Cut(path[0], path[1], false)
	}
	waitUntilReadBack(t, o, (leader+1)%3)
	after, err := c.Status(leader)
	if err != nil || after.Role != "leader" || after.Term != before.Term {
		t.Errorf("the leader of term %d became %s of term %d, %v", before.Term, after.Role, after.Term, err)
	}
	for _, b := range append(k.Breaches(), c.API.Breaches()...) {
		t.Error(b)
	}
}

// handOverToOtherRegion stops a leader while the other control instances of its region are suspended, so
// that it hands over to another region: otherwise the nearest one always takes over.
func handOverToOtherRegion(t *testing.T, c *Cluster, o *Operator, leader int) {
	t.Helper()
	var near []*Proc
	for i := range c.Size.Controls {
		if i != leader && c.Size.regionOf(i) == c.Size.regionOf(leader) {
			near = append(near, c.procs[i])
		}
	}
	signalAll(t, near, syscall.SIGSTOP)
	err := c.procs[leader].Stop()
	signalAll(t, near, syscall.SIGCONT)
	if err != nil {
		t.Fatal(err)
	}
	waitForLeader(t, c, leader)
	if err := c.procs[leader].Start(); err != nil {
		t.Fatal(err)
	}
	waitUntilReadBack(t, o, leader)
}

func signalAll(t *testing.T, procs []*Proc, s syscall.Signal) {
	t.Helper()
	for _, p := range procs {
		if err := p.Signal(s); err != nil {
			t.Error(err)
		}
	}
}

// TestLeadershipMoves has a leader alone in its region while a quorum is in another:
// leadership moves there once without intervention, and configurations are accepted all
// the time. The test waits for the half minute that a leader leads at least.
func TestLeadershipMoves(t *testing.T) {
	size := Size{Controls: 3, Gateways: 1, Backends: 2, Regions: 2, Delay: 40 * time.Millisecond}
	c, k, o := startCluster(t, size)
	leader := waitForLeader(t, c, -1)
	for end := time.Now().Add(2 * readyTimeout); c.Size.regionOf(leader) != 1; leader = waitForLeader(t, c, -1) {
		if time.Now().After(end) {
			t.Fatal("no control instance of the other region came to lead")
		}
		handOverToOtherRegion(t, c, o, leader)
	}
	before, err := c.Status(leader)
	if err != nil {
		t.Fatal(err)
	}
	began, next := time.Now(), leader
	for number := uint64(2); c.Size.regionOf(next) == 1; number++ {
		if time.Since(began) > 2*readyTimeout {
			t.Fatal("leadership did not move to the region with a quorum")
		}
		putUntilTaken(t, o, number)
		next = waitForLeader(t, c, -1)
	}
	after, err := c.Status(next)
	if err != nil || after.Term != before.Term+1 {
		t.Errorf("leadership moved from term %d to %d, error %v", before.Term, after.Term, err)
	}
	t.Logf("leadership moved after %v; round trips %+v", time.Since(began), after.RoundTrips)
	for _, b := range append(k.Breaches(), c.API.Breaches()...) {
		t.Error(b)
	}
}
