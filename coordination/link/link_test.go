package link

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/weldstream/weldstream/coordination/topology"
	_ "github.com/weldstream/weldstream/internal/testseed" // Fixes the seed.
)

var regions = topology.New(map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c"})

var start = time.Unix(1000, 0)

// controls are one in each domain but c1, named by it, and a second one in b2.
func controls(l *Selector) {
	l.SetControls([]string{"at-a1", "at-a2", "at-b1", "at-b2", "at-b2-2"}, []string{"a1", "a2", "b1", "b2", "b2"})
}

// TestChoice checks whom a gateway asks: its own domain's instance, its region's
// leader, any of its region, and none where there is none.
func TestChoice(t *testing.T) {
	for _, c := range []struct {
		name, domain, leader string
		failed               []string
		want                 string
	}{
		{"own domain", "a1", "at-b1", nil, "at-a1"},
		{"own domain before the region's leader", "a1", "at-a2", nil, "at-a1"},
		{"the region's leader", "b2", "at-b1", []string{"at-b2", "at-b2-2"}, "at-b1"},
		{"any of the region", "a1", "at-b1", []string{"at-a1"}, "at-a2"},
		{"all of the region failed", "a1", "at-b1", []string{"at-a1", "at-a2"}, ""},
		{"none in the region", "c1", "at-b1", nil, ""},
		{"a domain without a region", "x", "at-b1", nil, ""},
	} {
		l := New(regions, c.domain, "g")
		controls(l)
		for _, address := range c.failed {
			l.RecordFailure(address, true, start)
		}
		if got := l.Choose(c.leader, start); got != c.want {
			t.Errorf("%s: asks %q, want %q", c.name, got, c.want)
		}
	}
	one := New(topology.New(map[string]string{"a1": "a"}), "a1", "g")
	controls(one)
	if got := one.Choose("at-a1", start); got != "" {
		t.Errorf("with one region it asks %q by itself", got)
	}
	var none *Selector
	if none.Choose("at-a1", start) != "" || none.Enabled() {
		t.Error("without links something is chosen")
	}
}

// TestFailedIsPassedOver checks that an instance that fails is passed over for longer
// each time, and at once taken again after it has answered and failed once more.
func TestFailedIsPassedOver(t *testing.T) {
	for _, silent := range []bool{true, false} {
		l := New(regions, "a1", "g")
		controls(l)
		now, last := start, time.Duration(0)
		for range 6 {
			l.RecordFailure("at-a1", silent, now)
			away := time.Duration(0)
			for l.Choose("", now.Add(away)) != "at-a1" {
				away += 10 * time.Millisecond
			}
			if away < last || away > maxBackoff || (away == last && away < maxBackoff) {
				t.Errorf("silent %v: away for %v after %v", silent, away, last)
			}
			now, last = now.Add(away), away
		}
		l.RecordAnswer("at-a1")
		l.RecordFailure("at-a1", silent, now)
		if l.Choose("", now.Add(silentBackoff)) != "at-a1" {
			t.Errorf("silent %v: an earlier failure counts after an answer", silent)
		}
	}
}

// TestGatewaysSpread checks that the gateways of a domain with several instances are
// parted between them.
func TestGatewaysSpread(t *testing.T) {
	counts := map[string]int{}
	for i := range 100 {
		l := New(regions, "b2", fmt.Sprint("gateway-", i))
		controls(l)
		counts[l.Choose("", start)]++
	}
	if counts["at-b2"] < 30 || counts["at-b2-2"] < 30 {
		t.Errorf("100 gateways ask %v", counts)
	}
}

// TestChoiceStaysNear checks over random failures that only an instance of the own
// region is chosen, never one that is passed over, and always one if there is any.
func TestChoiceStaysNear(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(regions, "b1", rapid.String().Draw(t, "gateway"))
		controls(l)
		near := []string{"at-b1", "at-b2", "at-b2-2"}
		now := start
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			address := rapid.SampledFrom(near).Draw(t, "address")
			if rapid.Bool().Draw(t, "fails") {
				l.RecordFailure(address, rapid.Bool().Draw(t, "silent"), now)
			} else {
				l.RecordAnswer(address)
			}
			got, free := l.Choose("at-a1", now), 0
			for _, address := range near {
				if !now.Before(l.failures[address].until) {
					free++
				} else if address == got {
					t.Fatalf("chose %s, which is passed over", got)
				}
			}
			if (got == "") != (free == 0) {
				t.Fatalf("chose %q of %d", got, free)
			}
		}
	})
}

// TestAnswerTimeFollowsRoundTrips checks that answers at any distance are not overdue once
// some were seen, and a missing one is noticed within the slack and a few round trips.
func TestAnswerTimeFollowsRoundTrips(t *testing.T) {
	const slack = 100 * time.Millisecond
	for _, oneWay := range []time.Duration{1, 8, 40, 80} {
		trip := 2 * oneWay * time.Millisecond
		var p AnswerTime
		if first := p.Timeout(slack, 400*time.Millisecond); first != 500*time.Millisecond {
			t.Errorf("the first answer is overdue after %v", first)
		}
		for i := range 100 {
			took := trip + time.Duration(i%10)*trip/10 // A batch under way is waited for.
			if i > 10 && took > p.Timeout(slack, 0) {
				t.Errorf("%v: an answer after %v is overdue at %v", oneWay, took, p.Timeout(slack, 0))
			}
			p.Observe(took)
		}
		if due := p.Timeout(slack, 0); due > slack+4*trip {
			t.Errorf("%v: a missing answer is noticed after %v", oneWay, due)
		}
	}
}

// TestManyGatewaysOfOneRegionAreShared checks the pattern of a thousand gateways before one
// leader: beyond what it answers at the usual pace they are shared out evenly over the other
// control instances, also over those that are left when two are gone, and the pause between
// two questions of each does not grow with the fleet as long as the instances do.
func TestManyGatewaysOfOneRegionAreShared(t *testing.T) {
	var addresses, domains []string
	for i := range 10 {
		domains = append(domains, fmt.Sprint("d", i%5))
		addresses = append(addresses, fmt.Sprint("at-d", i%5, "-", i/5))
	}
	const leader = "at-d2-0"
	for _, gateways := range []int{60, 100, 300, 986, 1972} {
		counts := map[string]int{}
		for i := range gateways {
			l := New(topology.New(nil), fmt.Sprint("d", i%6), fmt.Sprint("edge-", i)) // One domain has no control instance.
			l.SetControls(addresses, domains)
			l.SetGateways(gateways)
			l.RecordFailure("at-d0-0", true, start)
			l.RecordFailure("at-d1-1", true, start)
			counts[l.Choose(leader, start)]++
			if share := l.GatewaysPerInstance(gateways); gateways > MaxDirectGateways && share != (gateways+8)/9 || gateways <= MaxDirectGateways && share != gateways {
				t.Fatalf("%d gateways: the share of an instance is %d", gateways, share)
			}
		}
		if gateways <= MaxDirectGateways {
			if counts[""] != gateways {
				t.Errorf("%d gateways ask by themselves: %v", gateways, counts)
			}
			continue
		}
		if counts[""] > 0 || counts[leader] > 0 || counts["at-d0-0"] > 0 || counts["at-d1-1"] > 0 {
			t.Errorf("%d gateways: some ask the leader, one that failed, or none: %v", gateways, counts)
		}
		for address, n := range counts {
			if n > 2*gateways/9 {
				t.Errorf("%d gateways: %d ask %s", gateways, n, address)
			}
		}
	}
}

// TestSharingIsSteady checks that a fleet around the bound does not change to and fro.
func TestSharingIsSteady(t *testing.T) {
	l := New(topology.New(nil), "d0", "g")
	changes, before := 0, false
	for n := range 200 {
		l.SetGateways(MaxDirectGateways - 10 + n%20)
		if l.Enabled() != before {
			changes, before = changes+1, l.Enabled()
		}
	}
	if changes > 1 {
		t.Errorf("changed %d times", changes)
	}
	l.SetGateways(shareUntil - 1)
	if l.Enabled() {
		t.Error("a fleet that shrank is still shared out")
	}
}
