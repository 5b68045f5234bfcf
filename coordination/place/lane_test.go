package place

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// requestKind is one kind of request in a synthetic load.
type requestKind struct {
	rate   float64 // rate is in requests per second.
	tokens int
	shared int
	runs   time.Duration // runs is how long a request holds a slot.
}

// mixedLoad returns long prompts, short prompts with long answers, and short prompts with
// brief answers. The long ones have 0.6 to 0.7 of the tokens, and the short ones with long
// answers hold most slots.
func mixedLoad(times float64) []requestKind {
	return []requestKind{
		{rate: 68 * times, tokens: 12_000, shared: 5400, runs: 1800 * time.Millisecond},
		{rate: 155 * times, tokens: 830, shared: 200, runs: 1250 * time.Millisecond},
		{rate: 153 * times, tokens: 2370, shared: 570, runs: 200 * time.Millisecond},
	}
}

// agreedParts returns the split that the gateways agree on after 20 seconds of a load.
func agreedParts(load []requestKind, gateways, slots int) protocol.LaneShares {
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
	var params []protocol.LaneParams
	for i := range lanes {
		params = append(params, lanes[i].Local())
	}
	return MergeParams(params).Parts
}

func poisson(rnd *rand.Rand, mean float64) int {
	n := 0
	for at := rnd.ExpFloat64(); at < mean; at += rnd.ExpFloat64() {
		n++
	}
	return n
}

// TestShortLaneHasSlots checks how servers are split by load and fleet size. With enough
// servers the split follows the tokens, as long prompts require; with few servers during a
// burst the short lane keeps slots for its requests, and neither lane is starved.
func TestShortLaneHasSlots(t *testing.T) {
	const slots = 12
	for _, c := range []struct {
		name     string
		times    float64
		servers  int
		byTokens bool
		fill     float64 // fill is the maximum use of the short lane.
	}{
		{"168 servers, normal load", 1, 168, true, 0.6},
		{"93 servers, 0.7 of the load", 0.7, 93, true, 0.6},
		{"90 servers, 1.45 times the load", 1.45, 90, false, 0.85},
		{"60 servers, 1.45 times the load", 1.45, 60, false, 1.25},
	} {
		parts := agreedParts(mixedLoad(c.times), 20, slots)
		n := longServers(parts, c.servers)
		byTokens := int(parts.Tokens*float64(c.servers) + 0.5)
		if c.byTokens != (n == byTokens) {
			t.Errorf("%s: %d of %d servers for long prompts, %d by tokens: %+v", c.name, n, c.servers, byTokens, parts)
		}
		if fill := parts.Short / float64(c.servers-n); fill > c.fill {
			t.Errorf("%s: the short lane's use is %.2f", c.name, fill)
		}
		if least := parts.Work * float64(c.servers); float64(n) < least-1 {
			t.Errorf("%s: %d servers for long prompts, whose share of all work is %.0f servers", c.name, n, least)
		}
	}
}

// TestLongServersBounds checks the number of servers for long prompts: by tokens if nothing
// else is known, by work if short prompts need more than all servers, and at least one.
func TestLongServersBounds(t *testing.T) {
	if n := longServers(protocol.LaneShares{Tokens: 0.6}, 10); n != 6 {
		t.Errorf("%d of 10 servers for long prompts, by tokens alone", n)
	}
	if n := longServers(protocol.LaneShares{Tokens: 0.6, Work: 0.5, Short: 100}, 10); n != 5 {
		t.Errorf("%d of 10 servers for long prompts although short ones need more than all", n)
	}
	if n := longServers(protocol.LaneShares{Tokens: 0.01}, 2); n != 1 {
		t.Errorf("%d of 2 servers for few long prompts", n)
	}
}
