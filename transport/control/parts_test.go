package control

import (
	"errors"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/weldstream/weldstream/coordination/allot"
	"github.com/weldstream/weldstream/protocol"
)

// mustPart requests a part from an instance.
func mustPart(t *testing.T, u *Uplink, holds float64) protocol.PartReply {
	t.Helper()
	var reply protocol.PartReply
	if err := u.Part(protocol.PartMsg{Gateway: "g", Life: 7, Holds: holds}, &reply); err != nil {
		t.Fatal(err)
	}
	return reply
}

// TestPartsRequireLeader checks that only a leader allots parts, also if its lease expires during
// the request, and that a new one renews the part that a gateway holds and no more.
func TestPartsRequireLeader(t *testing.T) {
	g := newFakeGroup()
	u := newUplink(g)
	if r := mustPart(t, u, 0.25); !r.Leads || r.Part != 0.25 || r.Lasts != allot.Lifetime {
		t.Errorf("leader: got %+v", r)
	}
	u.parts = allot.NewTable(time.Now().Add(-time.Hour))
	if r := mustPart(t, u, 0); r.Part != 1 {
		t.Errorf("leader with one gateway: got %+v", r)
	}
	g.term++
	if r := mustPart(t, u, 0); !r.Leads || r.Part != 0 {
		t.Errorf("in the next term: got %+v", r)
	}
	g.vouchesLeft = 2
	if r := mustPart(t, u, 0); r.Leads {
		t.Errorf("instance whose lease expired during the request: got %+v", r)
	}
	if r := mustPart(t, u, 0); r.Leads || r.Part > 0 {
		t.Errorf("instance that does not lead: got %+v", r)
	}
}

// forwardCaller passes the calls of a relay on to a leader, or fails them.
type forwardCaller struct {
	leader *Uplink
	err    error
}

func (c forwardCaller) Call(_, method string, args, reply any, _ time.Duration) error {
	switch m := args.(type) {
	case protocol.PartMsg:
		return errors.Join(c.err, c.leader.Part(m, reply.(*protocol.PartReply)))
	case protocol.RetryMsg:
		return errors.Join(c.err, c.leader.Retries(m, reply.(*protocol.RetryReply)))
	}
	return errors.New("unexpected call of " + method)
}

// TestRelayForwardsToLeader checks that a relay forwards requests for parts and retries, and that
// nothing counts that came with an error or while no leader is known.
func TestRelayForwardsToLeader(t *testing.T) {
	for name, c := range map[string]struct {
		leader string
		err    error
		leads  bool
	}{"leader": {"leader", nil, true}, "call fails": {"leader", errors.New("no answer"), false}, "no leader": {"", nil, false}, "leader is the relay": {"relay", nil, false}} {
		leader, group := newLender(newFakeGroup(), time.Nanosecond), newFakeGroup()
		leader.retries = newLender(newFakeGroup(), time.Nanosecond).retries
		group.leads = false
		u := NewUplink(group, func() (string, []string) { return c.leader, nil }, parse, 8*time.Second)
		u.relay.Store(NewRelay(u, forwardCaller{leader, c.err}, "r", "relay", metrics.NewRegistry()))
		if r := mustPart(t, u, 0.5); r.Leads != c.leads || (r.Part == 0.5) != c.leads {
			t.Errorf("%s: part %+v", name, r)
		}
		if r := mustRetries(t, u, 1); r.Leads != c.leads || (len(r.Leases) > 0) != c.leads {
			t.Errorf("%s: retries %+v", name, r)
		}
	}
}
