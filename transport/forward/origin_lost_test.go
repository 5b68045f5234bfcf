package forward

import (
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/protocol"
)

// lostStreams is the number of streams whose gateway ends without a word.
const lostStreams = 12

// beginLost begins streams at a gateway and ends it. It returns the version of each stream by the request
// that began it.
func (w *testGateway) beginLost() map[string]string {
	w.t.Helper()
	began := map[string]string{}
	for n := range lostStreams {
		id := fmt.Sprint("first-", n)
		began[id] = versionOf(w.t, w.askAs(id))
	}
	w.kill()
	return began
}

// requireResumed goes on with streams at a gateway, each of which must do so at its version. Callers come
// back for as long as they are told to, all of them together for testTimeout at the most.
func (w *testGateway) requireResumed(began map[string]string) {
	w.t.Helper()
	gone, end := 0, time.Now().Add(testTimeout)
	for id, version := range began {
		got := w.resume("again-"+id, id)
		for got.retry != "" && time.Now().Before(end) {
			got = w.resume("again-"+id, id)
		}
		if got.status == 200 && !got.broken && got.body == event("2", version)+event("3", version) {
			gone++
			continue
		}
		w.t.Logf("stream %s of %s: %+v", id, version, got)
	}
	if gone < len(began) {
		w.t.Errorf("%d of %d streams go on at their version", gone, len(began))
	}
}

// newCalmGateways returns gateways that have known one version of the service for long, and the servers of
// the second version, which are not listed yet.
func newCalmGateways(t *testing.T, count int) (all []*testGateway, second []protocol.Instance) {
	t.Helper()
	all = newVersionGateways(t, count)
	second = slices.DeleteFunc(slices.Clone(all[0].servers), onlyVersion("v1"))
	list(all, onlyVersion("v1"))
	for _, w := range all {
		w.knownForLong()
	}
	return all, second
}

// TestStreamsOfLostGatewayGoOnBesideNewVersion guards against streams that no gateway could go on with:
// their gateway ended without a word while their version was the only one, a second version was listed
// before their callers came back, and nobody had been told their version.
func TestStreamsOfLostGatewayGoOnBesideNewVersion(t *testing.T) {
	all, second := newCalmGateways(t, 4)
	began := all[0].beginLost()
	list(all[1:], func(protocol.Instance) bool { return true }, second...)
	for _, w := range all[1:] {
		w.requireResumed(began)
	}
}

// TestStreamsOfLostGatewayGoOnBehindSplit is the same with a route that is split between two services.
func TestStreamsOfLostGatewayGoOnBehindSplit(t *testing.T) {
	all, _ := newCalmGateways(t, 4)
	other := newTestGateway(t).backend("other", func(net.Conn, *fasthttp.Request) {
		t.Error("a stream went on at the other service")
	})
	list(all, func(protocol.Instance) bool { return true }, protocol.Instance{ID: "other", Service: "z", Address: other.address, Domain: "a", Slots: 64, Version: "v1"})
	began := all[0].beginLost()
	for _, w := range all[1:] {
		w.splitRoute("s", "z")
	}
	for _, w := range all[1:] {
		w.requireResumed(began)
	}
}

// TestStreamsOfLostGatewayBesideTwoChanges checks that such streams go on behind a new version and a split,
// and that they are refused, not mixed, once their version is withdrawn.
func TestStreamsOfLostGatewayBesideTwoChanges(t *testing.T) {
	all, second := newCalmGateways(t, 4)
	began := all[0].beginLost()
	list(all[1:], func(protocol.Instance) bool { return true }, second...)
	for _, w := range all[1:] {
		w.splitRoute("s", "z")
	}
	all[1].requireResumed(began)
	list(all[1:], onlyVersion("v2"), second...)
	for id := range began {
		if got := all[2].resume("late-"+id, id); got.status != 503 || got.verdict != protocol.NotRun.String() {
			t.Errorf("stream %s of a withdrawn version: %+v, want a refusal as not run", id, got)
		}
	}
}

// TestStreamsOfLostGatewayAreNotGuessed checks that streams which a gateway began beside a second version,
// while it reached none of those that would have kept their origins, are refused for as long as their
// version is not known.
func TestStreamsOfLostGatewayAreNotGuessed(t *testing.T) {
	all, second := newCalmGateways(t, 4)
	peers := all[0].g.peers.all()
	unreached := slices.Clone(peers)
	for i := range unreached {
		unreached[i].Address = closedAddress(t)
	}
	all[0].g.SetPeers(unreached)
	list(all, func(protocol.Instance) bool { return true }, second...)
	began := all[0].beginLost()
	for _, w := range all[1:] {
		for id, version := range began {
			if got := w.resume("again-"+id, id); got.status != 503 || got.verdict != protocol.NotRun.String() {
				t.Errorf("stream %s of %s: %+v, want a refusal", id, version, got)
			}
		}
	}
}
