package forward

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// secondVersionStreams is the number of streams that begin at a version which one gateway does not know.
const secondVersionStreams = 10

// beginAtSecond begins streams at a gateway until enough of them have begun at the second version, and
// returns the requests that began those.
func (w *testGateway) beginAtSecond() (ids []string) {
	w.t.Helper()
	for n := 0; len(ids) < secondVersionStreams; n++ {
		id := fmt.Sprint("first-", n)
		if versionOf(w.t, w.askAs(id)) == "v2" {
			ids = append(ids, id)
		}
	}
	return ids
}

// unreachablePeers returns the peers of a gateway at addresses where nobody answers.
func (w *testGateway) unreachablePeers() []protocol.Peer {
	peers := slices.Clone(w.g.peers.all())
	for i := range peers {
		peers[i].Address = closedAddress(w.t)
	}
	return peers
}

// requireUnmixed has callers take up streams of the second version at a gateway, which must not go on with
// any of them at the first one.
func (w *testGateway) requireUnmixed(ids []string) {
	w.t.Helper()
	mixed := 0
	for _, id := range ids {
		got := w.resume("again-"+id, id)
		if strings.Contains(got.body, "v1") {
			mixed++
		}
		if got.status != 200 && got.verdict != protocol.NotRun.String() {
			w.t.Errorf("stream %s: %+v, want a refusal as not run", id, got)
		}
	}
	if mixed > 0 {
		w.t.Errorf("%d of %d streams of v2 went on at v1", mixed, len(ids))
	}
}

// TestOutOfStepGatewayMixesNoVersions guards against a gateway that takes its own list for certain while
// it is young: a second version may have joined since, and begun streams at gateways that are in touch.
func TestOutOfStepGatewayMixesNoVersions(t *testing.T) {
	lifetime := streamLifetimeFactor * testTimeout
	for name, store := range map[string]*fakeStore{"without a store": nil, "with a silent store": newFakeStore("a", "b")} {
		for _, ago := range []time.Duration{0, 200 * time.Millisecond, 700 * time.Millisecond, 2 * time.Second} {
			t.Run(fmt.Sprint(name, ", list of ", ago), func(t *testing.T) {
				all, second := newCalmGateways(t, 4)
				if store != nil {
					store.silence("a", "b")
					for _, w := range all {
						w.g.originStore = func() OriginStore { return store }
					}
				}
				list(all[:2], func(protocol.Instance) bool { return true }, second...)
				all[0].g.SetPeers(slices.DeleteFunc(slices.Clone(all[0].g.peers.all()), func(p protocol.Peer) bool { return p.Name != all[1].g.cfg.Name }))
				ids := all[0].beginAtSecond()
				apart, beside := all[2], all[3] // beside is out of step as well, and apart reaches it alone.
				unreached := apart.unreachablePeers()
				apart.g.SetPeers(unreached)
				apart.knownFor(lifetime+time.Second, ago)
				apart.requireUnmixed(ids)
				for i := range unreached {
					if unreached[i].Name == beside.g.cfg.Name {
						unreached[i].Address = peerAddressOf(all[1], beside)
					}
				}
				apart.g.SetPeers(unreached)
				beside.g.SetPeers(beside.unreachablePeers())
				beside.knownFor(lifetime+time.Second, ago)
				apart.knownFor(lifetime+time.Second, ago)
				apart.requireUnmixed(ids)
			})
		}
	}
}

// peerAddressOf returns the address at which one gateway reaches another.
func peerAddressOf(from, to *testGateway) string {
	for _, p := range from.g.peers.all() {
		if p.Name == to.g.cfg.Name {
			return p.Address
		}
	}
	from.t.Fatalf("%s does not know %s", from.g.cfg.Name, to.g.cfg.Name)
	return ""
}

// TestLeaderAloneVouchesForVersion checks that a gateway believes the origin store's word on the only
// version if the leader gives it, and that its own list does not stand in for the leader's.
func TestLeaderAloneVouchesForVersion(t *testing.T) {
	store := newFakeStore("a", "b")
	store.leaderless = true
	all, _ := newCalmGateways(t, 2)
	for _, w := range all {
		w.g.originStore = func() OriginStore { return store }
	}
	if got := all[0].resume("again", "first"); got.status != 503 || got.verdict != protocol.NotRun.String() || got.retry == "" {
		t.Errorf("no leader answers: %+v, want a refusal as not run that names a time to come back", got)
	}
	store.leaderless = false
	store.single = protocol.SingleVersion{Service: "s", Version: "v1", For: streamLifetimeFactor * testTimeout}
	if got := all[0].resumeKnown("again", "first"); got.status != 200 || got.body != event("2", "v1")+event("3", "v1") {
		t.Errorf("the leader vouches: %+v", got)
	}
	store.single.For--
	if got := all[0].resume("again-other", "other"); got.status != 503 {
		t.Errorf("the leader has known for too short a time: %+v", got)
	}
}

// TestSeveralVersionsAreNotOverruled checks that a gateway that has listed one version does not go on with
// a stream that nobody keeps if another one has listed two.
func TestSeveralVersionsAreNotOverruled(t *testing.T) {
	all, second := newCalmGateways(t, 3)
	list(all[1:2], func(protocol.Instance) bool { return true }, second...)
	if got := all[0].resume("again", "unknown"); got.status != 503 {
		t.Errorf("%+v, want a refusal", got)
	}
}
