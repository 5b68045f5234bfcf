package soak

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"
)

// A cluster may span regions. The failure domain and region of a process follow from its
// number. Each peer connection names its process in its greeting, so that the proxy in
// front of a control instance knows both regions: it delays data by the distance between
// them and forwards nothing where a fault has cut the path. Connections of the operator,
// of callers and to backend servers stay within a region.

// regionOf returns the region of a process, by its number among those of its role.
func (s Size) regionOf(i int) int {
	if s.Regions < 2 {
		return 0
	}
	return i % zones % s.Regions
}

// zones is the number of failure domains of a cluster.
const zones = 3

// regionSettings returns the lines of a process's settings that name the regions.
func (s Size) regionSettings(i int) string {
	if s.Regions < 2 {
		return ""
	}
	text := fmt.Sprintf("region: region-%d\ndomains:\n", s.regionOf(i))
	for z := range zones {
		text += fmt.Sprintf("  zone-%d: region-%d\n", z, s.regionOf(z))
	}
	return text
}

// RegionPaths are the paths between regions.
type RegionPaths struct {
	delay   time.Duration
	regions map[string]int // regions are the regions of processes, by the name in their greeting.

	mu   sync.Mutex // mu guards the fields below.
	cut  map[[2]int]int
	wake chan struct{} // wake is closed and replaced when cut changes.
}

// NewRegionPaths returns paths with a one-way delay, none of them cut.
func NewRegionPaths(delay time.Duration, names map[string]int) *RegionPaths {
	return &RegionPaths{delay: delay, regions: names, cut: map[[2]int]int{}, wake: make(chan struct{})}
}

// Cut cuts the path from one region to another, or undoes one cut of it.
func (p *RegionPaths) Cut(from, to int, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cut {
		p.cut[[2]int{from, to}]++
	} else {
		p.cut[[2]int{from, to}]--
	}
	close(p.wake)
	p.wake = make(chan struct{})
}

// waitPassable blocks while the path is cut.
func (p *RegionPaths) waitPassable(from, to int) {
	for {
		p.mu.Lock()
		cut, wake := p.cut[[2]int{from, to}] > 0, p.wake
		p.mu.Unlock()
		if !cut {
			return
		}
		<-wake
	}
}

// regionOfPeer returns the region of the process that a greeting names. A name that is
// only the prefix of a longer one, as gateway-1 of gateway-12, does not match.
func (p *RegionPaths) regionOfPeer(greeting []byte) (region int, ok bool) {
	for name, region := range p.regions {
		if i := bytes.Index(greeting, []byte(name)); i >= 0 && !startsWithDigit(greeting[i+len(name):]) {
			return region, true
		}
	}
	return 0, false
}

// startsWithDigit reports whether the matched name continues with another digit.
func startsWithDigit(rest []byte) bool { return len(rest) > 0 && rest[0] >= '0' && rest[0] <= '9' }

// forwardBetweenRegions forwards a connection over the path between two regions. A
// connection from outside the cluster counts as one within the region.
func (p *Proxy) forwardBetweenRegions(c, s net.Conn) {
	in := bufio.NewReader(c)
	if _, err := in.Peek(1); err != nil {
		return
	}
	greeting, _ := in.Peek(in.Buffered()) // Peek returns what is buffered without an error.
	from, known := p.paths.regionOfPeer(greeting)
	if !known {
		from = p.region
	}
	var both sync.WaitGroup
	both.Go(func() { p.copyDelayed(s, c, in, true, from, p.region) })
	both.Go(func() { p.copyDelayed(c, s, bufio.NewReader(s), false, p.region, from) })
	both.Wait()
}

// chunk is the data of one read and its time.
type chunk struct {
	at   time.Time
	data []byte
}

// maxChunksInFlight is how many chunks of a direction may be in flight before the reader
// blocks: 4 MB, as a chunk has 16 KB at most.
const maxChunksInFlight = 256

// copyDelayed forwards one direction and delays each chunk by the distance between the
// regions.
func (p *Proxy) copyDelayed(dst, src net.Conn, in *bufio.Reader, inward bool, from, to int) {
	defer func() {
		_ = dst.Close() // The copy has ended; no caller is left to return the error to.
		_ = src.Close() // The copy has ended; no caller is left to return the error to.
	}()
	delay := p.paths.delay
	if from == to {
		delay = 0
	}
	chunks := make(chan chunk, maxChunksInFlight)
	go func() {
		defer close(chunks)
		buf := make([]byte, 16<<10)
		for {
			n, err := in.Read(buf)
			if n > 0 {
				chunks <- chunk{at: time.Now(), data: bytes.Clone(buf[:n])}
			}
			if err != nil {
				return
			}
		}
	}()
	broken := false
	for next := range chunks { // Drain the channel so that the reader also ends.
		if broken {
			continue
		}
		time.Sleep(time.Until(next.at.Add(delay)))
		p.waitPassable(inward)
		if from != to {
			p.paths.waitPassable(from, to)
		}
		if _, err := dst.Write(next.data); err != nil {
			broken = true
			_ = src.Close() // The copy has ended; no caller is left to return the error to.
		}
	}
}

// The region faults. They are drawn from a separate generator, so that the plans of
// clusters without regions do not change.
const (
	FaultRegion    Fault = faultCount + iota // FaultRegion isolates a region, in both directions or one.
	FaultPartition                           // FaultPartition cuts the paths between two regions.
)

// maxCutGap is the longest pause between two cuts, so that every run has some.
const maxCutGap = 4 * time.Second

// drawRegionFaults generates the region faults.
func drawRegionFaults(seed uint64, length time.Duration, size Size) []Step {
	rnd := rand.New(rand.NewPCG(seed, ^seed))
	var steps []Step
	for at := firstFaultAt; at < length; at += time.Duration(rnd.Int64N(int64(maxCutGap))) {
		s := Step{At: at, Fault: FaultRegion + Fault(rnd.IntN(2)), Index: rnd.IntN(size.Regions)}
		s.For = time.Duration(rnd.Int64N(int64(maxFaultDuration)))
		s.Link = []Link{LinkSilent, LinkOneWay, linkOutward}[rnd.IntN(3)]
		steps = append(steps, s)
	}
	return steps
}

// addRegionFaults adds the region faults to a plan. None of them overlaps the time in
// which a control instance that lost its disk catches up: it could not, and the next lost
// disk would be the second, which is more than the quorum tolerates. In seed 3543 with a
// one-way delay of 80 ms the group lost two of three disks in that way.
func (p *Plan) addRegionFaults(size Size) {
	if size.Regions < 2 {
		return
	}
	cuts := slices.DeleteFunc(drawRegionFaults(p.Seed, p.Length, size), func(cut Step) bool {
		return slices.ContainsFunc(p.Steps, func(s Step) bool { return s.losesDisk() && s.overlaps(cut) })
	})
	p.Steps = append(p.Steps, cuts...)
	slices.SortStableFunc(p.Steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
}

func (s Step) losesDisk() bool { return s.Fault == FaultWipe || s.Fault == FaultDamage }

// overlaps reports whether another step overlaps this one, including the time to catch up.
func (s Step) overlaps(other Step) bool {
	return other.At < s.At+s.For+catchUpTime && s.At < other.At+other.For
}

// cutPaths returns the paths that a region fault cuts.
func (s Step) cutPaths(size Size) [][2]int {
	var paths [][2]int
	for other := range size.Regions {
		if other == s.Index || (s.Fault == FaultPartition && other != (s.Index+1)%size.Regions) {
			continue
		}
		if s.Fault == FaultPartition || s.Link != linkOutward {
			paths = append(paths, [2]int{other, s.Index})
		}
		if s.Fault == FaultPartition || s.Link != LinkOneWay {
			paths = append(paths, [2]int{s.Index, other})
		}
	}
	return paths
}

// applyRegionFault cuts paths between regions for the duration of the step.
func (r *run) applyRegionFault(s Step) {
	cut := s.cutPaths(r.cluster.Size)
	for _, path := range cut {
		r.cluster.Paths.Cut(path[0], path[1], true)
	}
	time.Sleep(s.For)
	for _, path := range cut {
		r.cluster.Paths.Cut(path[0], path[1], false)
	}
}

// makeRegionPaths creates the paths between regions and registers the region of each
// process.
func (c *Cluster) makeRegionPaths() {
	if c.Size.Regions < 2 {
		return
	}
	names := map[string]int{}
	for i := range c.Size.Controls {
		names[hostPort(advertisedIP(i), c.ports.operator)] = c.Size.regionOf(i)
	}
	for i := range c.Size.Gateways {
		names[fmt.Sprintf("gateway-%d", i)] = c.Size.regionOf(i)
	}
	c.Paths = NewRegionPaths(c.Size.Delay, names)
}
