package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Fault is what goes wrong at one moment.
type Fault uint8

// The faults. Those of one process name it, those of a link the control
// instance or backend server behind it.
const (
	FaultKill    Fault = iota // FaultKill kills a process; it starts again.
	FaultPause                // FaultPause stops a process by a signal and has it go on.
	FaultStop                 // FaultStop has a process end as planned; it starts again.
	FaultReload               // FaultReload has a process read its settings anew.
	FaultWipe                 // FaultWipe kills a control instance and takes its disk.
	FaultLink                 // FaultLink harms the link to a control instance.
	FaultServer               // FaultServer harms the link to a backend server.
	FaultReset                // FaultReset resets the connections to both.
	FaultReplies              // FaultReplies has backend servers shed, fail, lose and break off.
	FaultAPI                  // FaultAPI has the platform's API fail.
	FaultDamage               // FaultDamage kills a control instance and flips a bit in its log.
	faults                    // faults are those above, which DrawPlan draws from.
)

// FaultReclaim takes a server away after a notice; see WithReclaims. It stands behind
// the faults of regions.
const FaultReclaim = FaultApart + 1

var faultNames = [...]string{"kill", "pause", "stop", "reload", "wipe", "link", "server", "reset", "replies", "api", "damage", "region", "apart", "reclaim"}

// String returns the fault's name.
func (f Fault) String() string { return faultNames[f] }

// Step is one fault of a plan.
type Step struct {
	At    time.Duration
	For   time.Duration
	Fault Fault
	Index int // Index is of the process, control instance or server.
	Link  Link
}

// Plan is what goes wrong, by time.
type Plan struct {
	Seed   uint64
	Length time.Duration
	Steps  []Step
	// Reclaims says that servers are taken away with what runs there.
	Reclaims bool
	Crashes  bool // Crashes says that requests come which end servers.
	Words    bool // Words says that servers name limits and ask for rest.
}

const (
	firstFault = 500 * time.Millisecond
	mostPause  = 1500 * time.Millisecond
	mostHarm   = 2 * time.Second
)

// DrawPlan draws a plan from a seed. Faults come in series and overlap; of the
// control instances no more are lost at once than a majority bears.
func DrawPlan(seed uint64, length time.Duration, size Size) Plan {
	rnd := rand.New(rand.NewPCG(seed, seed))
	p := Plan{Seed: seed, Length: length}
	controlsBusy := time.Duration(0)
	for at := firstFault; at < length; at += time.Duration(rnd.Int64N(int64(mostPause))) {
		s := Step{At: at, Fault: Fault(rnd.IntN(int(faults))), For: time.Duration(rnd.Int64N(int64(mostHarm)))}
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
			controlsBusy = at + s.For + catchUp
		}
		p.Steps = append(p.Steps, s)
	}
	p.withCuts(size)
	return p
}

// catchUp is how long a control instance counts as lost behind a fault of its.
const catchUp = 3 * time.Second

func (s Step) losesControl(size Size) bool {
	switch s.Fault {
	case FaultKill, FaultPause, FaultStop:
		return s.Index < size.Controls
	case FaultWipe, FaultDamage, FaultLink:
		return true
	}
	return false
}

// String renders the plan, a step a line.
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
