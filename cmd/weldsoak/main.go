// Command weldsoak runs the daemons as separate processes on this machine and
// harms them while it holds their promises; see package soak.
//
//	weldsoak -daemon bin/weldstreamd [-seeds 1,2,3 | -first 1 -count 50] [-time 12s] [-controls 3] [-gateways 3] [-regions 3] [-earlier PROGRAM -mix gateways|controls|first|last]
//
// It prints a line a seed, and for one that broke a promise its plan, what was
// broken and where the logs are. It exits with 1 if any did, with 2 on wrong use.
package main

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/weldstream/weldstream/internal/soak"
)

func main() { os.Exit(run()) }

// regionDelay is between two regions some thousand kilometers apart, one way.
const regionDelay = 8 * time.Millisecond

func run() int {
	daemon := flag.String("daemon", "", "the daemon's `program` (required)")
	list := flag.String("seeds", "", "`seeds`, separated by commas")
	first := flag.Uint64("first", 1, "the first `seed`, without -seeds")
	count := flag.Uint64("count", 1, "how many seeds, without -seeds")
	length := flag.Duration("time", 12*time.Second, "how long each seed's faults go on")
	size := soak.Size{}
	flag.IntVar(&size.Controls, "controls", 3, "control instances, 1 to 9")
	flag.IntVar(&size.Gateways, "gateways", 3, "gateways, 1 to 30")
	flag.IntVar(&size.Backends, "backends", 6, "backend servers, 1 to 30")
	flag.IntVar(&size.Regions, "regions", 0, "regions that all lie in, 2 or 3; 0 for none")
	flag.DurationVar(&size.Delay, "delay", regionDelay, "the delay between two regions, one way")
	reclaim := flag.Bool("reclaim", false, "take servers away with what runs there as well")
	crash := flag.Bool("crash", false, "have requests come that end each server which runs them")
	words := flag.Bool("words", false, "have servers name limits and ask for rest")
	earlier := builds{}
	flag.StringVar(&earlier.program, "earlier", "", "the daemon's `program` of an earlier build, for some processes")
	mix := flag.String("mix", string(soak.MixUpgrade), "which processes run it: gateways, controls, first (lives) or last (lives)")
	flag.Parse()
	earlier.mix = soak.BuildMix(*mix)
	seeds, err := parseSeeds(*list, *first, *count)
	if err != nil || *daemon == "" || flag.NArg() > 0 || !sound(size) {
		if err != nil {
			fmt.Fprintln(os.Stderr, "weldsoak:", err)
		}
		flag.Usage()
		return 2
	}
	failed := 0
	for _, seed := range seeds {
		if !play(*daemon, earlier, seed, *length, size, *reclaim, *crash, *words) {
			failed++
		}
	}
	fmt.Printf("%d seeds, %d failed\n", len(seeds), failed)
	if failed > 0 {
		return 1
	}
	return 0
}

func sound(s soak.Size) bool {
	in := func(n, most int) bool { return n >= 1 && n <= most }
	return in(s.Controls, 9) && in(s.Gateways, 30) && in(s.Backends, 30) && (s.Regions == 0 || in(s.Regions, 3)) && s.Delay >= 0
}

func parseSeeds(list string, first, count uint64) ([]uint64, error) {
	var seeds []uint64
	if list == "" {
		for i := range count {
			seeds = append(seeds, first+i)
		}
		return seeds, nil
	}
	for text := range strings.SplitSeq(list, ",") {
		seed, err := strconv.ParseUint(strings.TrimSpace(text), 10, 64)
		if err != nil {
			return nil, fmt.Errorf("seed %q is no number", text)
		}
		seeds = append(seeds, seed)
	}
	return seeds, nil
}

// builds are which processes run an earlier build; none without a program.
type builds struct {
	program string
	mix     soak.BuildMix
}

// play runs one seed and reports whether every promise held. Logs of a run that
// broke one are kept.
func play(daemon string, earlier builds, seed uint64, length time.Duration, size soak.Size, reclaim, crash, words bool) bool {
	dir, err := os.MkdirTemp("", fmt.Sprintf("weldsoak-%d-", seed))
	if err != nil {
		fmt.Fprintln(os.Stderr, "weldsoak:", err)
		return false
	}
	c, err := soak.New(dir, daemon, size)
	if err != nil {
		fmt.Fprintln(os.Stderr, "weldsoak:", err)
		return false
	}
	if earlier.program != "" {
		if err := c.UseEarlierBuild(earlier.program, earlier.mix); err != nil {
			c.Close()
			fmt.Fprintln(os.Stderr, "weldsoak:", err)
			return false
		}
	}
	plan := soak.DrawPlan(seed, length, size)
	if reclaim {
		plan = plan.WithReclaims(size)
	}
	if crash {
		plan = plan.WithCrashes()
	}
	if words {
		plan = plan.WithBackpressure()
	}
	result, err := soak.Run(c, plan)
	c.Close()
	if err == nil && len(result.Breaches) == 0 {
		fmt.Printf("seed %d: %d faults, %d of %d requests served, %d roll-outs completed, %d turned back, %d answers moved, %d servers ended under requests, %d limits kept to, nothing broken\n",
			seed, len(plan.Steps), result.Served, result.Sent, result.Completed, result.RolledBack, result.Moved, result.ServersCrashed, result.LimitsChecked)
		return os.RemoveAll(dir) == nil
	}
	fmt.Printf("seed %d: BROKEN, error %v, logs in %s\n%s", seed, err, dir, plan)
	for _, b := range result.Breaches {
		fmt.Println("  broken:", b)
	}
	return false
}
