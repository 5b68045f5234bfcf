package uplink

import (
	"errors"
	"net/rpc"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/weldstream/weldstream/coordination/topology"
	"github.com/weldstream/weldstream/protocol"
)

// fakeQuotaRequester is a gateway that always has quota demand.
type fakeQuotaRequester struct {
	separate bool
	granted  int
	failed   int
}

func (w *fakeQuotaRequester) SetSeparateQuotaCalls(separate bool) { w.separate = separate }
func (w *fakeQuotaRequester) ReportQuotaDemand() (protocol.QuotaMsg, bool) {
	return protocol.QuotaMsg{Gateway: "g"}, true
}
func (w *fakeQuotaRequester) HandleQuotaReply(_ *protocol.QuotaMsg, reply *protocol.QuotaReply, _ time.Time) {
	if reply == nil {
		w.failed++
		return
	}
	w.granted++
}

// quotaCaller answers Uplink.Quota calls with a fixed reply.
type quotaCaller struct {
	asked []string
	reply protocol.QuotaReply
	err   error
}

func (c *quotaCaller) Call(address, _ string, _, reply any, _ time.Duration) error {
	c.asked = append(c.asked, address)
	*reply.(*protocol.QuotaReply) = c.reply
	return c.err
}

// TestQuotaIsRequestedFromLeader checks that quota is requested from the leader itself, even if
// the gateway uses a relay, and falls back to the sync reports if the leader is down, leads no
// longer or lacks the method.
func TestQuotaIsRequestedFromLeader(t *testing.T) {
	for name, c := range map[string]struct {
		reply   protocol.QuotaReply
		err     error
		granted bool
		again   bool // again says that separate calls to the same leader are tried again.
	}{
		"grants quota":         {protocol.QuotaReply{Leads: true}, nil, true, true},
		"no longer the leader": {protocol.QuotaReply{}, nil, false, true},
		"leader is down":       {protocol.QuotaReply{}, errors.New("no answer"), false, true},
		"method is missing":    {protocol.QuotaReply{}, rpc.ServerError("rpc: can't find method Uplink.Quota"), false, false},
	} {
		calls, gateway := &quotaCaller{reply: c.reply, err: c.err}, &fakeQuotaRequester{}
		client := New(calls, nil, nil, nil, zerolog.Nop(), WithQuotas(gateway))
		client.setLeader("relay", "leader")
		client.setSeparateQuota(client.supportsSeparateQuota("leader"))
		if !gateway.separate {
			t.Fatalf("%s: no separate calls at first", name)
		}
		client.requestQuota()
		if len(calls.asked) != 1 || calls.asked[0] != "leader" {
			t.Errorf("%s: asked %v", name, calls.asked)
		}
		if granted := gateway.granted == 1 && gateway.failed == 0; granted != c.granted || gateway.separate != c.granted {
			t.Errorf("%s: granted %d, failed %d, separate calls from now on: %v", name, gateway.granted, gateway.failed, gateway.separate)
		}
		if again := client.supportsSeparateQuota("leader"); again != c.again || !client.supportsSeparateQuota("next") {
			t.Errorf("%s: separate calls to the same leader again: %v", name, again)
		}
		if pending := len(client.syncNow) == 1; pending == c.granted {
			t.Errorf("%s: sync request triggered: %v", name, pending)
		}
	}
}

// TestPerRequestCallsByTopology checks where calls for single requests go: within one region to
// the leader, which alone knows all placements, and with several regions to a relay in the
// gateway's region.
func TestPerRequestCallsByTopology(t *testing.T) {
	regions := topology.New(map[string]string{"a1": "a", "b1": "b"})
	for _, c := range []struct {
		topology  *topology.Topology
		separate  bool
		placement string
	}{{nil, true, "leader"}, {regions, false, "relay"}} {
		client := New(&quotaCaller{}, nil, nil, nil, zerolog.Nop(), WithQuotas(&fakeQuotaRequester{}), WithRegions(c.topology, "a1", "g"))
		client.setLeader("relay", "leader")
		if client.supportsSeparateQuota("leader") != c.separate || client.placementInstance() != c.placement {
			t.Errorf("several regions %v: separate quota calls %v, placement by %q", c.topology.MultiRegion(), client.supportsSeparateQuota("leader"), client.placementInstance())
		}
		client.setLeader("", "")
		if got := client.placementInstance(); got != "" {
			t.Errorf("without a leader placement is requested from %q", got)
		}
	}
}
