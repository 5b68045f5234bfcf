package origin

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/weldstream/weldstream/coordination/topology"
	_ "github.com/weldstream/weldstream/internal/testseed" // Fixes the seed.
	"github.com/weldstream/weldstream/protocol"
)

var start = time.Unix(1_700_000_000, 0)

// after returns a time so many seconds behind the start.
func after(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func servers(versions ...string) []protocol.Instance {
	var list []protocol.Instance
	for _, v := range versions {
		list = append(list, protocol.Instance{Service: "s", Version: v})
	}
	return list
}

func key(n int) protocol.StreamKey { return protocol.NewStreamKey("w", "h", fmt.Sprint(n)) }

func streamOrigin(n int, version string, seconds int) protocol.StreamOrigin {
	return protocol.StreamOrigin{Key: key(n), Service: "s", Version: version, Lifetime: time.Duration(seconds) * time.Second}
}

// TestKeysOfDifferentCallers checks that neither workspaces nor hosts share streams, however their
// names and IDs join.
func TestKeysOfDifferentCallers(t *testing.T) {
	keys := map[protocol.StreamKey]bool{}
	for _, k := range [][3]string{{"w", "h", "1"}, {"v", "h", "1"}, {"w", "g", "1"}, {"w", "h", "2"}, {"wh", "", "1"}, {"", "wh", "1"}} {
		keys[protocol.NewStreamKey(k[0], k[1], k[2])] = true
	}
	if len(keys) != 6 {
		t.Errorf("%d keys of 6 streams", len(keys))
	}
}

// TestTableIsBounded checks over random additions that the table never holds more than its limit,
// never returns an expired origin, and keeps the newest ones.
func TestTableIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 8
		table := NewTable(limit)
		expires, now := map[int]time.Time{}, start
		for range rapid.IntRange(1, 60).Draw(t, "additions") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond)
			n, seconds := rapid.IntRange(0, 20).Draw(t, "stream"), rapid.IntRange(1, 4).Draw(t, "lifetime")
			table.Add(streamOrigin(n, "v1", seconds), true, now)
			expires[n] = later(expires[n], now.Add(time.Duration(seconds)*time.Second))
			if r, ok := table.Find(key(n), now); !ok || r.Version != "v1" {
				t.Fatalf("stream %d is not found right after its addition", n)
			}
			if table.Len() > limit || len(table.order) > limit {
				t.Fatalf("%d streams and %d additions in a table of %d", table.Len(), len(table.order), limit)
			}
		}
		for n := range 21 {
			if r, ok := table.Find(key(n), now); ok && (!now.Before(expires[n]) || r.Expires.After(expires[n])) {
				t.Fatalf("stream %d is kept until %v, it expires at %v", n, r.Expires, expires[n])
			}
		}
	})
}

// TestTableKeepsResumedStreams checks that a stream that is resumed is kept for longer, and that one
// that is given again from elsewhere still counts as begun here.
func TestTableKeepsResumedStreams(t *testing.T) {
	table := NewTable(4)
	table.Add(streamOrigin(1, "v1", 2), true, start)
	table.Add(streamOrigin(1, "v1", 2), false, after(1))
	if _, ok := table.Find(key(1), after(2.5)); !ok {
		t.Error("the stream was resumed at 1 s and is forgotten at 2.5 s")
	}
	if own := table.Own(after(2.5)); len(own) != 1 || own[0].Version != "v1" || own[0].Lifetime != 500*time.Millisecond {
		t.Errorf("own streams %+v, want one for 0.5 s", own)
	}
	table.Add(streamOrigin(2, "v2", 9), false, after(4))
	if _, ok := table.Find(key(1), after(4)); ok || table.Len() != 1 {
		t.Errorf("%d streams are held, want the second one only", table.Len())
	}
}

// newHistory returns a history in which a route has led to the service since the start.
func newHistory() *History {
	h := NewHistory(start)
	h.Routes([]protocol.PathRoute{{Name: "r", Split: []protocol.WeightedService{{Service: "s"}}}}, start)
	return h
}

// TestHistory checks since when a service is known to have a single version.
func TestHistory(t *testing.T) {
	h := newHistory()
	steps := []struct {
		at      float64
		list    []protocol.Instance
		changed bool
		version string
		lasting float64 // lasting is in seconds, half a second after the step.
	}{
		{1, servers("v1", "v1"), false, "v1", 1.5},       // No server was listed before.
		{2, servers(), false, "v1", 2.5},                 // An empty list tells nothing of versions.
		{3, servers("v1", "v2"), true, "", 0},            // A second version.
		{4, servers("v2", "v1", "v2"), false, "", 0},     // The same two.
		{5, servers("v2"), false, "v2", 0.5},             // The first one is gone.
		{6, servers("v2"), false, "v2", 1.5},             // Nothing changes.
		{7, servers("v3"), true, "v3", 0.5},              // Another one at once.
		{8, servers("v3", "v3", "v3"), false, "v3", 1.5}, // More servers of the same.
	}
	for _, s := range steps {
		if changed := h.List(s.list, after(s.at)); changed != s.changed {
			t.Errorf("at %v: changed %v, want %v", s.at, changed, s.changed)
		}
		got := h.Single("r", after(s.at+0.5))
		if got.Version != s.version || got.For != time.Duration(s.lasting*float64(time.Second)) {
			t.Errorf("at %v: version %q for %v, want %q for %v s", s.at, got.Version, got.For, s.version, s.lasting)
		}
	}
}

// TestHistoryHasGaps checks that a time in which the list was not confirmed is not taken for known.
func TestHistoryHasGaps(t *testing.T) {
	h := newHistory()
	h.List(servers("v1"), start)
	for at := 1.0; at <= 10; at++ {
		if h.Confirm(after(at)) {
			t.Errorf("the history starts anew at %v", at)
		}
	}
	if !h.Confirm(after(14)) {
		t.Error("the history goes on over 4 s in which nothing was known")
	}
	if h.Confirm(after(12)) {
		t.Error("a late confirmation starts the history anew")
	}
	if got := h.Single("r", after(15)); got.For != time.Second {
		t.Errorf("a single version for %v, want 1 s", got.For)
	}
	if age := h.ListAge(after(15)); age != time.Second {
		t.Errorf("the list is %v old, want 1 s", age)
	}
}

// TestHistoryOfRoutes checks since when a route is known to lead to a single service.
func TestHistoryOfRoutes(t *testing.T) {
	route := func(services ...string) []protocol.PathRoute {
		r := protocol.PathRoute{Name: "r"}
		for _, s := range services {
			r.Split = append(r.Split, protocol.WeightedService{Service: s, Weight: 1})
		}
		return []protocol.PathRoute{r}
	}
	h := NewHistory(start)
	h.List([]protocol.Instance{{Service: "s", Version: "v1"}, {Service: "z", Version: "v2"}}, start)
	h.Routes(route("s"), after(1))
	if got, want := h.Single("r", after(2)), (protocol.SingleVersion{Service: "s", Version: "v1", For: 2 * time.Second}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if h.Routes(route("s"), after(3)) || !h.Routes(route("s", "z"), after(4)) {
		t.Error("only the split changes what is known")
	}
	if got := h.Single("r", after(5)); got.For != 0 {
		t.Errorf("got %+v of two services", got)
	}
	h.Routes(route("z"), after(6))
	if got, want := h.Single("r", after(7)), (protocol.SingleVersion{Service: "z", Version: "v2", For: time.Second}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// TestJudge checks from what the version of a stream is certain.
func TestJudge(t *testing.T) {
	const lifetime = 10 * time.Second
	single := func(service, version string, lasting time.Duration) protocol.SingleVersion {
		return protocol.SingleVersion{Service: service, Version: version, For: lasting}
	}
	known := JudgeMsg{Lifetime: lifetime, AllAnswered: true, Single: single("s", "v1", lifetime)}
	with := func(change func(*JudgeMsg)) JudgeMsg {
		m := known
		change(&m)
		return m
	}
	found := protocol.OriginReply{Found: true, Origin: streamOrigin(1, "v2", 3)}
	elsewhere := func(version string, lasting time.Duration) []protocol.OriginReply {
		return []protocol.OriginReply{{}, {Single: single("s", version, lasting)}}
	}
	for name, c := range map[string]struct {
		msg     JudgeMsg
		version string
		source  Source
	}{
		"nothing is known":                      {JudgeMsg{Lifetime: lifetime, AllAnswered: true}, "", Unknown},
		"another gateway kept it":               {with(func(m *JudgeMsg) { m.Replies = []protocol.OriginReply{{}, found} }), "v2", FromPeer},
		"one version, current list":             {known, "v1", FromHistory},
		"one version, not all answered":         {with(func(m *JudgeMsg) { m.AllAnswered = false }), "", Unknown},
		"one version, old list":                 {with(func(m *JudgeMsg) { m.ListAge = 2 * maxListAge }), "", Unknown},
		"one version, for too short":            {with(func(m *JudgeMsg) { m.Single.For-- }), "", Unknown},
		"several versions":                      {with(func(m *JudgeMsg) { m.Single = single("s", "", 0) }), "", Unknown},
		"another gateway has several":           {with(func(m *JudgeMsg) { m.Replies = []protocol.OriginReply{{Several: true}} }), "", Unknown},
		"another gateway has another one":       {with(func(m *JudgeMsg) { m.Replies = elsewhere("v3", 1) }), "", Unknown},
		"another gateway knows of one version":  {with(func(m *JudgeMsg) { m.Single.For, m.Replies = 0, elsewhere("v3", lifetime) }), "v3", FromPeerList},
		"one of several others knows of one":    {with(func(m *JudgeMsg) { m.Single.For, m.AllAnswered, m.Replies = 0, false, elsewhere("v3", lifetime) }), "", Unknown},
		"another gateway has just started, too": {with(func(m *JudgeMsg) { m.Single.For, m.Replies = 0, elsewhere("v3", lifetime-1) }), "", Unknown},
		"the leader knows of one version":       {with(func(m *JudgeMsg) { m.HasStore, m.Leader, m.AllAnswered = true, single("s", "v4", lifetime), false }), "v4", FromLeader},
		"the leader has known for too short":    {with(func(m *JudgeMsg) { m.HasStore, m.Leader = true, single("s", "v1", lifetime-1) }), "", Unknown},
		"no leader answers":                     {with(func(m *JudgeMsg) { m.HasStore = true }), "", Unknown},
		"kept, whatever the leader knows": {with(func(m *JudgeMsg) {
			m.HasStore, m.Leader, m.Replies = true, single("s", "v1", lifetime), []protocol.OriginReply{found}
		}), "v2", FromPeer},
	} {
		if got, source := Judge(c.msg); got.Version != c.version || source != c.source {
			t.Errorf("%s: version %q from %v, want %q from %v", name, got.Version, source, c.version, c.source)
		}
	}
}

// TestKeepers checks that all gateways agree on who keeps a stream, that the two keepers are apart,
// and that a gateway that leaves changes little.
func TestKeepers(t *testing.T) {
	regions := topology.New(map[string]string{"a": "x", "b": "x", "c": "y"})
	for name, c := range map[string]struct {
		t     *topology.Topology
		apart func(a, b protocol.Peer) bool
	}{
		"one region":  {nil, func(a, b protocol.Peer) bool { return a.Domain != b.Domain }},
		"two regions": {regions, func(a, b protocol.Peer) bool { return regions.Region(a.Domain) != regions.Region(b.Domain) }},
	} {
		var peers []protocol.Peer
		for n := range 9 {
			peers = append(peers, protocol.Peer{Name: fmt.Sprint("gateway-", n), Domain: string(rune('a' + n%3))})
		}
		first := map[string]int{}
		for n := range 300 {
			keepers := Keepers(key(n), c.t, peers)
			turned := slices.Clone(peers)
			slices.Reverse(turned)
			if got := Keepers(key(n), c.t, turned); !slices.EqualFunc(got, keepers, func(a, b protocol.Peer) bool { return a.Name == b.Name }) {
				t.Fatalf("%s: the order of the list decides: %v and %v", name, keepers, got)
			}
			if len(keepers) != len(peers) || !c.apart(keepers[0], keepers[1]) {
				t.Fatalf("%s: keepers %v and %v", name, keepers[0], keepers[1])
			}
			first[keepers[0].Name]++
		}
		for _, p := range peers {
			if n := first[p.Name]; n < 300/9/3 || n > 300/9*3 {
				t.Errorf("%s: %s is the first keeper of %d of 300 streams", name, p.Name, n)
			}
		}
	}
	if got := Keepers(key(1), nil, nil); len(got) != 0 {
		t.Errorf("keepers %v of no gateway", got)
	}
}
