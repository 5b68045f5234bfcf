package reach

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

var start = time.Unix(1_700_000_000, 0)

// TestTracker checks what one gateway takes for unreachable, and when it suspects the path.
func TestTracker(t *testing.T) {
	k := NewTracker()
	if !k.Lost("a", "s", false, start) || k.Lost("a", "s", false, start.Add(time.Second)) {
		t.Error("the first loss of a server is new, the second is not")
	}
	now := start.Add(time.Second)
	if k.Suspected("s", now) {
		t.Error("the path is suspected for one server that failed alone")
	}
	k.Lost("b", "s", false, now)
	k.Lost("c", "other", false, now)
	if !k.Suspected("s", now) || k.Suspected("other", now) || k.Counts(now)["s"] != 2 {
		t.Errorf("counts %v, want two servers of s and one of other", k.Counts(now))
	}
	if after, was := k.Reached("a", now); !was || after != time.Second {
		t.Errorf("reached again after %v, was lost %v", after, was)
	}
	if k.IsLost("a", now) || !k.IsLost("b", now) || k.IsLost("b", now.Add(lossWindow)) {
		t.Error("a was reached again, b is lost until the loss expires")
	}
	if k.Lost("a", "s", false, now) || !k.Lost("a", "s", true, now) {
		t.Error("a server that answered a moment ago is lost only if it refuses connections")
	}
	k.Reached("a", now)
	k.Prune(func(server string) bool { return server == "b" }, now)
	if len(k.lost) != 1 {
		t.Errorf("%d losses are kept, want that of the listed server", len(k.lost))
	}
}

// TestShare checks what part of its requests a gateway passes on.
func TestShare(t *testing.T) {
	peer := func(lost int) protocol.Peer {
		return protocol.Peer{Lost: []protocol.ServiceLoss{{Service: "s", Lost: lost}}}
	}
	for name, c := range map[string]struct {
		lost, listed int
		peers        []protocol.Peer
		want         float64
	}{
		"all reached":              {0, 8, []protocol.Peer{peer(0)}, 0},
		"one server failed":        {1, 8, []protocol.Peer{peer(0)}, 0},
		"no peer":                  {8, 8, nil, 0},
		"cut off":                  {8, 8, []protocol.Peer{peer(8), peer(0)}, 1},
		"cut off from most":        {6, 8, []protocol.Peer{peer(0)}, 0.75},
		"few lost":                 {2, 20, []protocol.Peer{peer(0)}, 0},
		"servers that are gone":    {6, 8, []protocol.Peer{peer(6), peer(7)}, 0},
		"cut off, others are gone": {8, 8, []protocol.Peer{peer(6)}, 1},
	} {
		if got := Share("s", c.lost, c.listed, c.peers); got != c.want {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
}

// TestDirectory checks which gateways the leader names to one: those that reach most servers,
// those of its domain among them first, and none that has not reported lately.
func TestDirectory(t *testing.T) {
	d := NewDirectory()
	report := func(name, domain string, lost int, at time.Time) []protocol.Peer {
		return d.Report(&protocol.PeersMsg{Gateway: name, Domain: domain, Address: name, Lost: []protocol.ServiceLoss{{Service: "s", Lost: lost}}}, at)
	}
	report("old", "a", 0, start)
	now := start.Add(directoryTTL + time.Second)
	report("cut", "a", 5, now)
	report("near", "a", 0, now)
	report("far", "b", 0, now)
	d.Report(&protocol.PeersMsg{Gateway: "closed", Domain: "a"}, now)
	var names []string
	for _, p := range report("me", "a", 5, now) {
		names = append(names, p.Name)
	}
	if got := strings.Join(names, " "); got != "near far cut" {
		t.Errorf("got %q", got)
	}
	for i := range 3 * maxPeers {
		report(fmt.Sprint("more-", i), "b", 0, now)
	}
	if n := len(report("me", "a", 5, now)); n != maxPeers {
		t.Errorf("%d gateways are named, want at most %d", n, maxPeers)
	}
}

// TestKeepersAreTheSameForAll checks that the leader names the same gateways to all as those that keep
// origins of streams, from all failure domains, and that their digest tells a change.
func TestKeepersAreTheSameForAll(t *testing.T) {
	d := NewDirectory()
	report := func(n int, at time.Time) {
		d.Report(&protocol.PeersMsg{Gateway: fmt.Sprint("gateway-", n), Domain: string(rune('a' + n%4)), Address: fmt.Sprint("10.0.0.", n)}, at)
	}
	if keepers, _ := d.Keepers(start); len(keepers) != 0 {
		t.Errorf("keepers %v without gateways", keepers)
	}
	for n := range 3 {
		report(n, start)
	}
	few, first := d.Keepers(start)
	if again, digest := d.Keepers(start); len(few) != 3 || digest != first || len(again) != 3 {
		t.Errorf("%d and %d keepers of three, digests %x and %x", len(few), len(again), first, digest)
	}
	for n := range 40 {
		report(n, start.Add(time.Second))
	}
	d.Report(&protocol.PeersMsg{Gateway: "takes no requests", Domain: "a"}, start)
	keepers, digest := d.Keepers(start.Add(time.Second))
	domains := map[string]int{}
	for _, k := range keepers {
		domains[k.Domain]++
		if k.Address == "" {
			t.Errorf("%s takes no requests", k.Name)
		}
	}
	if len(keepers) != maxKeepers || len(domains) != 4 || domains["a"] != maxKeepers/4 || digest == first {
		t.Errorf("%d keepers, by domain %v, digest changed: %v", len(keepers), domains, digest != first)
	}
	report(1, start.Add(time.Second+directoryTTL))
	if keepers, _ := d.Keepers(start.Add(2*time.Second + directoryTTL)); len(keepers) != 1 {
		t.Errorf("%d keepers, want the one that reported lately", len(keepers))
	}
}
