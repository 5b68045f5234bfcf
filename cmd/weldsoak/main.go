// Command weldsoak runs the daemons as separate processes on this machine, injects
// faults and checks that the guarantees of the system hold; see package soak.
//
//	weldsoak -daemon bin/weldstreamd [-seeds 1,2,3 | -first 1 -count 50] [-time 12s] [-controls 3] [-gateways 3] [-regions 3] [-earlier PROGRAM -mix gateways|controls|first|last]
//
// It prints one line per seed, and for a failed seed the plan, the violated guarantees
// and the directory with the logs. Exit status: 1 if a seed failed, 2 on a usage error.
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

// regionDelay is the one-way delay between two regions some thousand kilometers apart.
const regionDelay = 8 * time.Millisecond

func run() int {
	daemon := flag.String("daemon", "", "`program` of the daemon (required)")
	seedList := flag.String("seeds", "", "`seeds`, separated by commas")
	first := flag.Uint64("first", 1, "the first `seed`, if -seeds is not set")
	count := flag.Uint64("count", 1, "number of seeds, if -seeds is not set")
	length := flag.Duration("time", 12*time.Second, "duration of the fault injection per seed")
	size := soak.Size{}
	flag.IntVar(&size.Controls, "controls", 3, "number of control instances, 1 to 9")
	flag.IntVar(&size.Gateways, "gateways", 3, "number of gateways, 1 to 30")
	flag.IntVar(&size.Backends, "backends", 6, "number of backend servers, 1 to 30")
	flag.IntVar(&size.Regions, "regions", 0, "number of regions that instances and servers are spread over, 2 or 3; 0 for none")
	flag.DurationVar(&size.Delay, "delay", regionDelay, "one-way delay between two regions")
	var kinds planKinds
	flag.BoolVar(&kinds.reclaim, "reclaim", false, "also reclaim servers while requests run on them")
	flag.BoolVar(&kinds.crash, "crash", false, "also send requests that crash every server that runs them")
	flag.BoolVar(&kinds.parts, "parts", false, "also send requests whose prompts have a part that crashes every server that begins to answer them")
	flag.BoolVar(&kinds.restarts, "restarts", false, "also kill all gateways at once, and the leader with them, while servers reject most requests")
	flag.BoolVar(&kinds.backpressure, "words", false, "also let servers announce request limits and ask for pauses")
	flag.BoolVar(&kinds.cutOffs, "cut", false, "also cut gateways off from all backend servers")
	flag.BoolVar(&kinds.brittle, "brittle", false, "also let servers be brittle, which fall over under requests that they have to reject")
	flag.BoolVar(&kinds.streams, "streams", false, "also let servers of two versions break streams and send some without a length, and callers resume theirs")
	earlier := earlierBuild{}
	flag.StringVar(&earlier.program, "earlier", "", "`program` of an earlier build of the daemon, for some of the processes")
	mix := flag.String("mix", string(soak.MixUpgrade), "processes that run the earlier build: gateways, controls, first (every process until its first restart) or last (every process after its first restart)")
	flag.Parse()
	earlier.mix = soak.BuildMix(*mix)
	seeds, err := parseSeeds(*seedList, *first, *count)
	if err != nil || *daemon == "" || flag.NArg() > 0 || !validSize(size) {
		if err != nil {
			fmt.Fprintln(os.Stderr, "weldsoak:", err)
		}
		flag.Usage()
		return 2
	}
	size.Sources = kinds.cutOffs
	if kinds.restarts {
		size.RetryRatio = soak.RestartRetryRatio
	}
	failed := 0
	for _, seed := range seeds {
		if !runSeed(*daemon, earlier, seed, *length, size, kinds) {
			failed++
		}
	}
	fmt.Printf("%d seeds, %d failed\n", len(seeds), failed)
	if failed > 0 {
		return 1
	}
	return 0
}

func validSize(s soak.Size) bool {
	inRange := func(n, upper int) bool { return n >= 1 && n <= upper }
	return inRange(s.Controls, 9) && inRange(s.Gateways, 30) && inRange(s.Backends, 30) && (s.Regions == 0 || inRange(s.Regions, 3)) && s.Delay >= 0
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
			return nil, fmt.Errorf("seed %q is not a number", text)
		}
		seeds = append(seeds, seed)
	}
	return seeds, nil
}

// earlierBuild is an earlier build of the daemon and the processes that run it; none do
// if program is empty.
type earlierBuild struct {
	program string
	mix     soak.BuildMix
}

// planKinds are the kinds of steps that are added to a plan.
type planKinds struct{ reclaim, crash, parts, backpressure, restarts, cutOffs, brittle, streams bool }

func (k planKinds) addTo(p soak.Plan, size soak.Size) soak.Plan {
	if k.reclaim {
		p = p.WithReclaims(size)
	}
	if k.crash {
		p = p.WithCrashes()
	}
	if k.parts {
		p = p.WithParts()
	}
	if k.backpressure {
		p = p.WithBackpressure()
	}
	if k.restarts {
		p = p.WithRestarts()
	}
	if k.cutOffs {
		p = p.WithCutOffs(size)
	}
	if k.brittle {
		p = p.WithBrittleServers()
	}
	if k.streams {
		p = p.WithStreams()
	}
	return p
}

// runSeed runs one seed and reports whether all guarantees held. The logs of a failed
// run are kept.
func runSeed(daemon string, earlier earlierBuild, seed uint64, length time.Duration, size soak.Size, kinds planKinds) bool {
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
	plan := kinds.addTo(soak.DrawPlan(seed, length, size), size)
	result, err := soak.Run(c, plan)
	c.Close()
	if err == nil && len(result.Breaches) == 0 {
		fmt.Printf("seed %d: %d faults, %d of %d requests served, %d roll-outs completed, %d turned back, %d answers moved, %d servers ended under requests, %d limits kept to, nothing broken\n",
			seed, len(plan.Steps), result.Served, result.Sent, result.Completed, result.RolledBack, result.Moved, result.ServersCrashed, result.LimitsChecked)
		if s := result.Streams; plan.Streams {
			fmt.Printf("  %d streams begun, %d whole, %d resumptions, %d of them went on, %d servers send streams without a length\n", s.Begun, s.Whole, s.Resumed, s.WentOn, s.Unframed)
		}
		return os.RemoveAll(dir) == nil
	}
	fmt.Printf("seed %d: BROKEN, error %v, logs in %s\n%s", seed, err, dir, plan)
	for _, b := range result.Breaches {
		fmt.Println("  broken:", b)
	}
	return false
}
