package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Fault is a kind of fault.
type Fault uint8

// The faults. A process fault names the process; a link fault names the control instance
// or backend server behind the link.
const (
	FaultKill    Fault = iota // FaultKill kills a process and starts it again.
	FaultPause                // FaultPause stops a process with SIGSTOP and resumes it.
	FaultStop                 // FaultStop shuts a process down and starts it again.
	FaultReload               // FaultReload makes a process reload its settings.
	FaultWipe                 // FaultWipe kills a control instance and removes its data directory.
	FaultLink                 // FaultLink degrades the link to a control instance.
	FaultServer               // FaultServer degrades the link to a backend server.
	FaultReset                // FaultReset resets the connections to both.
	FaultReplies              // FaultReplies makes backend servers shed requests, fail, lose replies and break off.
	FaultAPI                  // FaultAPI makes the platform's API fail.
	FaultDamage               // FaultDamage kills a control instance and flips a bit in its log.
	faultCount                // faultCount is the number of faults above, from which DrawPlan draws.
)

// The faults that plans draw only with an option. Their values come after those of the region
// faults.
const (
	FaultReclaim = FaultPartition + 1 + iota // FaultReclaim takes a server away after a notice; see WithReclaims.
	FaultRestart                             // FaultRestart kills all gateways, and the leader as well if Index is not 0; see WithRestarts.
	FaultCutOff                              // FaultCutOff cuts a gateway off from all servers; see WithCutOffs.
)

var faultNames = [...]string{"kill", "pause", "stop", "reload", "wipe", "link", "server", "reset", "replies", "api", "damage", "region", "apart", "reclaim", "restart", "cut off"}

// String returns the name of the fault.
func (f Fault) String() string { return faultNames[f] }

// Step is one fault of a plan.
type Step struct {
	At    time.Duration
	For   time.Duration
	Fault Fault
	Index int // Index is the number of the process, control instance, backend server or region.
	Link  Link
}

// Plan is a schedule of faults.
type Plan struct {
	Seed   uint64
	Length time.Duration
	Steps  []Step
	// Reclaims enables the removal of servers with the requests that run on them.
	Reclaims     bool
	Crashes      bool // Crashes enables requests that crash servers.
	Parts        bool // Parts enables requests with parts of prompts that crash servers; see WithParts.
	Brittle      bool // Brittle enables periods in which servers are brittle.
	Restarts     bool // Restarts makes servers reject most requests.
	Streams      bool // Streams enables servers of two versions and callers that resume their streams; see WithStreams.
	Backpressure bool // Backpressure enables servers that announce rate limits and send retry delays.
}

const (
	firstFaultAt     = 500 * time.Millisecond
	maxFaultGap      = 1500 * time.Millisecond
	maxFaultDuration = 2 * time.Second
)

// DrawPlan generates a plan from a seed. Faults come in series and overlap; no more
// control instances are lost at once than the quorum tolerates.
func DrawPlan(seed uint64, length time.Duration, size Size) Plan {
	rnd := rand.New(rand.NewPCG(seed, seed))
	p := Plan{Seed: seed, Length: length}
	controlsBusy := time.Duration(0)
	for at := firstFaultAt; at < length; at += time.Duration(rnd.Int64N(int64(maxFaultGap))) {
		s := Step{At: at, Fault: Fault(rnd.IntN(int(faultCount))), For: time.Duration(rnd.Int64N(int64(maxFaultDuration)))}
		s.Link = Link(1 + rnd.IntN(3))
		switch s.Fault {
		case FaultKill, FaultPause, FaultStop, FaultReload:
			s.Index = rnd.IntN(size.Controls + size.Gateways)
		case FaultWipe, FaultDamage, FaultLink:
			s.Index = rnd.IntN(size.Controls)
		default:
			s.Index = rnd.IntN(size.Backends)
		}
		if s.losesControl(size) {
			if at < controlsBusy {
				continue
			}
			controlsBusy = at + s.For + catchUpTime
		}
		p.Steps = append(p.Steps, s)
	}
	p.addRegionFaults(size)
	return p
}

// catchUpTime is how long a control instance counts as lost after one of its faults has
// ended.
const catchUpTime = 3 * time.Second

func (s Step) losesControl(size Size) bool {
	switch s.Fault {
	case FaultKill, FaultPause, FaultStop:
		return s.Index < size.Controls
	case FaultWipe, FaultDamage, FaultLink:
		return true
	}
	return false
}

// String renders the plan with one step per line.
func (p Plan) String() string {
	var out strings.Builder
	fmt.Fprintf(&out, "seed %d, %v\n", p.Seed, p.Length)
	for _, s := range p.Steps {
		fmt.Fprintf(&out, "  %6dms %s %d for %dms", s.At.Milliseconds(), s.Fault, s.Index, s.For.Milliseconds())
		if s.Fault == FaultLink || s.Fault == FaultServer || s.Fault == FaultRegion {
			fmt.Fprintf(&out, " (%s)", s.Link)
		}
		out.WriteByte('\n')
	}
	return out.String()
}
