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

// setControls sets one control instance in each domain except c1, and a second one in b2.
// The addresses have the names of the domains.
func setControls(l *Selector) {
	l.SetControls([]string{"at-a1", "at-a2", "at-b1", "at-b2", "at-b2-2"}, []string{"a1", "a2", "b1", "b2", "b2"})
}

// TestChoice checks the order of preference: the instance of the own domain, the leader if
// it is in the own region, any other instance of the region, none.
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
		setControls(l)
		for _, address := range c.failed {
			l.RecordFailure(address, true, start)
		}
		if got := l.Choose(c.leader, start); got != c.want {
			t.Errorf("%s: chose %q, want %q", c.name, got, c.want)
		}
	}
	one := New(topology.New(map[string]string{"a1": "a"}), "a1", "g")
	setControls(one)
	if got := one.Choose("at-a1", start); got != "" {
		t.Errorf("chose %q with a single region, want none", got)
	}
	var none *Selector
	if none.Choose("at-a1", start) != "" || none.Enabled() {
		t.Error("a nil selector is enabled or chose an instance")
	}
}

// TestBackoffGrows checks that the backoff of an instance grows with each failure up to
// maxBackoff, and starts from its initial value again after an answer.
func TestBackoffGrows(t *testing.T) {
	for _, silent := range []bool{true, false} {
		l := New(regions, "a1", "g")
		setControls(l)
		now, last := start, time.Duration(0)
		for range 6 {
			l.RecordFailure("at-a1", silent, now)
			away := time.Duration(0)
			for l.Choose("", now.Add(away)) != "at-a1" {
				away += 10 * time.Millisecond
			}
			if away < last || away > maxBackoff || (away == last && away < maxBackoff) {
				t.Errorf("silent %v: backoff %v after one of %v", silent, away, last)
			}
			now, last = now.Add(away), away
		}
		l.RecordAnswer("at-a1")
		l.RecordFailure("at-a1", silent, now)
		if l.Choose("", now.Add(silentBackoff)) != "at-a1" {
			t.Errorf("silent %v: an answer did not reset the backoff", silent)
		}
	}
}

// TestGatewaysSpread checks that the gateways of a domain with several instances are
// distributed over them.
func TestGatewaysSpread(t *testing.T) {
	counts := map[string]int{}
	for i := range 100 {
		l := New(regions, "b2", fmt.Sprint("gateway-", i))
		setControls(l)
		counts[l.Choose("", start)]++
	}
	if counts["at-b2"] < 30 || counts["at-b2-2"] < 30 {
		t.Errorf("100 gateways are distributed unevenly: %v", counts)
	}
}

// TestChoiceStaysInRegion checks over random failures that only an instance of the own
// region is chosen, never one in backoff, and always one if any is not in backoff.
func TestChoiceStaysInRegion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(regions, "b1", rapid.String().Draw(t, "gateway"))
		setControls(l)
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
				if !now.Before(l.failures[address].retryAt) {
					free++
				} else if address == got {
					t.Fatalf("chose %s, which is in backoff", got)
				}
			}
			if (got == "") != (free == 0) {
				t.Fatalf("chose %q with %d instances available", got, free)
			}
		}
	})
}

// TestAnswerTimeFollowsRoundTrips checks that after some observations at any distance
// answers do not time out, and that the timeout is at most the slack and four round trips.
func TestAnswerTimeFollowsRoundTrips(t *testing.T) {
	const slack = 100 * time.Millisecond
	for _, oneWay := range []time.Duration{1, 8, 40, 80} {
		trip := 2 * oneWay * time.Millisecond
		var answerTime AnswerTime
		if first := answerTime.Timeout(slack, 400*time.Millisecond); first != 500*time.Millisecond {
			t.Errorf("the timeout of the first answer is %v, want 500ms", first)
		}
		for i := range 100 {
			took := trip + time.Duration(i%10)*trip/10 // Waits up to a round trip for the batch in progress.
			if i > 10 && took > answerTime.Timeout(slack, 0) {
				t.Errorf("one way %d ms: an answer after %v exceeds the timeout of %v", oneWay, took, answerTime.Timeout(slack, 0))
			}
			answerTime.Observe(took)
		}
		if due := answerTime.Timeout(slack, 0); due > slack+4*trip {
			t.Errorf("one way %d ms: the timeout is %v, longer than the slack and four round trips", oneWay, due)
		}
	}
}

// TestManyGatewaysAreSpreadOverRelays guards against a thousand gateways asking one leader:
// beyond MaxDirectGateways they must be distributed evenly over the other control instances,
// also over the remaining ones after two have failed, and each instance must answer its
// share alone, so that the interval of questions does not grow with the whole fleet.
func TestManyGatewaysAreSpreadOverRelays(t *testing.T) {
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
				t.Fatalf("%d gateways: wrong number of gateways per instance: %d", gateways, share)
			}
		}
		if gateways <= MaxDirectGateways {
			if counts[""] != gateways {
				t.Errorf("%d gateways: some do not ask the leader: %v", gateways, counts)
			}
			continue
		}
		if counts[""] > 0 || counts[leader] > 0 || counts["at-d0-0"] > 0 || counts["at-d1-1"] > 0 {
			t.Errorf("%d gateways: some chose the leader, a failed instance, or none: %v", gateways, counts)
		}
		for address, n := range counts {
			if n > 2*gateways/9 {
				t.Errorf("%d gateways: uneven distribution, %d ask %s", gateways, n, address)
			}
		}
	}
}

// TestSharingHysteresis checks that a fleet whose size varies around MaxDirectGateways
// switches only once.
func TestSharingHysteresis(t *testing.T) {
	l := New(topology.New(nil), "d0", "g")
	changes, before := 0, false
	for n := range 200 {
		l.SetGateways(MaxDirectGateways - 10 + n%20)
		if l.Enabled() != before {
			changes, before = changes+1, l.Enabled()
		}
	}
	if changes > 1 {
		t.Errorf("switched %d times, want at most once", changes)
	}
	l.SetGateways(minSharedGateways - 1)
	if l.Enabled() {
		t.Error("gateways are still distributed below minSharedGateways")
	}
}
