package control

import (
	"testing"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// newLender returns an instance that leads and may lend three retries in each window.
func newLender(g *fakeGroup, window time.Duration) *Uplink {
	return NewUplink(g, noPeers, parse, 8*time.Second, WithRetryBudget(RetryBudget{Extra: 3, Window: window}))
}

// mustRetries requests retries at the service "s" from an instance.
func mustRetries(t *testing.T, u *Uplink, count int) protocol.RetryReply {
	t.Helper()
	var reply protocol.RetryReply
	if err := u.Retries(protocol.RetryMsg{Gateway: "g", Wants: []protocol.RetryRequest{{Service: "s", Count: count}}}, &reply); err != nil {
		t.Fatal(err)
	}
	return reply
}

// TestRetriesRequireLeader checks that only a leader lends retries, also if its lease expires
// during the request.
func TestRetriesRequireLeader(t *testing.T) {
	g := newFakeGroup()
	u := newLender(g, time.Nanosecond)
	if r := mustRetries(t, u, 5); !r.Leads || len(r.Leases) != 1 || r.Leases[0].Service != "s" {
		t.Errorf("leader: got %+v", r)
	}
	g.vouchesLeft = 2
	if r := mustRetries(t, u, 1); r.Leads {
		t.Errorf("instance whose lease expired during the request: got %+v", r)
	}
	if r := mustRetries(t, u, 1); r.Leads || len(r.Leases) > 0 {
		t.Errorf("instance that does not lead: got %+v", r)
	}
}

// TestRetryLedgerBelongsToTerm guards against a new leader that lends what its predecessor lent
// just before.
func TestRetryLedgerBelongsToTerm(t *testing.T) {
	g := newFakeGroup()
	u := newLender(g, time.Hour)
	if r := mustRetries(t, u, 1); !r.Leads || r.Leases[0].Count != 0 || r.Leases[0].Wait <= time.Hour {
		t.Errorf("at the beginning of its term: got %+v", r)
	}
	first := u.retries
	mustRetries(t, u, 1)
	if u.retries != first {
		t.Error("the ledger was replaced within a term")
	}
	g.term++
	if r := mustRetries(t, u, 1); u.retries == first || r.Leases[0].Count != 0 {
		t.Errorf("in the next term: got %+v", r)
	}
}

// TestFirstLeaderLendsAtOnce checks that the first leader of a group, which has no predecessor, lends
// retries and allots parts at once, and a later one does not.
func TestFirstLeaderLendsAtOnce(t *testing.T) {
	g, first := newFakeGroup(), true
	u := NewUplink(g, noPeers, parse, 8*time.Second, WithRetryBudget(RetryBudget{Extra: 3, Window: time.Hour}), WithFirstLeader(func() bool { return first }))
	if r := mustRetries(t, u, 1); r.Leases[0].Count != 1 {
		t.Errorf("the first leader lent %+v", r)
	}
	if r := mustPart(t, u, 0); r.Part != 1 {
		t.Errorf("the first leader allotted %+v", r)
	}
	g.term, first = g.term+1, false
	if r := mustRetries(t, u, 1); r.Leases[0].Count != 0 {
		t.Errorf("the next leader lent %+v", r)
	}
	if r := mustPart(t, u, 0); r.Part != 0 {
		t.Errorf("the next leader allotted %+v", r)
	}
}
