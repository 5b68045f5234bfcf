package place

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// kind is one kind of request of a made load.
type kind struct {
	rate   float64 // rate is in requests a second.
	tokens int
	shared int
	runs   time.Duration // runs is for how long one holds a slot.
}

// docket is a mix of long drafts, brief notices that run long, and labels: the drafts
// have 0.6 to 0.7 of the tokens, the notices most of the slots.
func docket(times float64) []kind {
	return []kind{
		{rate: 68 * times, tokens: 12_000, shared: 5400, runs: 1800 * time.Millisecond},
		{rate: 155 * times, tokens: 830, shared: 200, runs: 1250 * time.Millisecond},
		{rate: 153 * times, tokens: 2370, shared: 570, runs: 200 * time.Millisecond},
	}
}

// observed returns the parts that gateways agree on behind some seconds of a load.
func observed(load []kind, gateways, slots int) protocol.LaneShares {
	rnd := rand.New(rand.NewPCG(1, 2))
	type event struct {
		at      time.Time
		gateway int
		lane    Lane
		held    time.Duration
	}
	lanes := make([]Lanes, gateways)
	var running []event
	const tick = 10 * time.Millisecond
	for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(tick) {
		kept := running[:0]
		for _, e := range running {
			if now.Before(e.at) {
				kept = append(kept, e)
				continue
			}
			lanes[e.gateway].RequestEnded(e.lane, e.held, slots, now)
		}
		running = kept
		for _, k := range load {
			for range poisson(rnd, k.rate*tick.Seconds()) {
				g := rnd.IntN(gateways)
				lane, _ := lanes[g].Observe(k.tokens, k.shared)
				lanes[g].RequestStarted(lane, slots, now)
				running = append(running, event{now.Add(k.runs), g, lane, k.runs})
			}
		}
	}
	var terms []protocol.LaneParams
	for i := range lanes {
		terms = append(terms, lanes[i].Local())
	}
	return MergeTerms(terms).Parts
}

func poisson(rnd *rand.Rand, mean float64) int {
	n := 0
	for at := rnd.ExpFloat64(); at < mean; at += rnd.ExpFloat64() {
		n++
	}
	return n
}

// TestShortLaneHasSlots checks the parting of a fleet by load and size: while there are
// servers enough it goes by tokens, as the long prompts need; where few are left in a
// burst the short lane keeps slots for what runs there, and neither lane is starved.
func TestShortLaneHasSlots(t *testing.T) {
	const slots = 12
	for _, c := range []struct {
		name     string
		times    float64
		servers  int
		byTokens bool
		fill     float64 // fill is the most that the short lane may be in use.
	}{
		{"a calm fleet", 1, 168, true, 0.6},
		{"a fleet at the full price, few requests", 0.7, 93, true, 0.6},
		{"a burst, domains gone", 1.45, 90, false, 0.85},
		{"a burst, half of the fleet", 1.45, 60, false, 1.25},
	} {
		parts := observed(docket(c.times), 20, slots)
		n := longServers(parts, c.servers)
		byTokens := int(parts.Tokens*float64(c.servers) + 0.5)
		if c.byTokens != (n == byTokens) {
			t.Errorf("%s: %d of %d servers for long prompts, %d by tokens: %+v", c.name, n, c.servers, byTokens, parts)
		}
		if fill := parts.Short / float64(c.servers-n); fill > c.fill {
			t.Errorf("%s: the short lane is %.2f full", c.name, fill)
		}
		if least := parts.Work * float64(c.servers); float64(n) < least-1 {
			t.Errorf("%s: %d servers for long prompts, whose part of all work is %.0f", c.name, n, least)
		}
	}
}

// TestLanesWithoutReports checks that a gateway without a word of the leader parts the
// servers by what it saw itself.
func TestLanesWithoutReports(t *testing.T) {
	if n := longServers(protocol.LaneShares{Tokens: 0.6}, 10); n != 6 {
		t.Errorf("%d of 10 servers by tokens alone", n)
	}
	if n := longServers(protocol.LaneShares{Tokens: 0.6, Work: 0.5, Short: 100}, 10); n != 5 {
		t.Errorf("%d of 10 servers where short prompts need more than there are", n)
	}
	if n := longServers(protocol.LaneShares{Tokens: 0.01}, 2); n != 1 {
		t.Errorf("%d of 2 servers for few long prompts", n)
	}
}
