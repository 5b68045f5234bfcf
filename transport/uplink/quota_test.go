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

// wanting is a gateway whose requests wait for parts of quotas.
type wanting struct {
	apart   bool
	granted int
	failed  int
}

func (w *wanting) SetSeparateQuotaCalls(apart bool) { w.apart = apart }
func (w *wanting) ReportQuotaDemand() (protocol.QuotaMsg, bool) {
	return protocol.QuotaMsg{Gateway: "g"}, true
}
func (w *wanting) HandleQuotaReply(_ *protocol.QuotaMsg, reply *protocol.QuotaReply, _ time.Time) {
	if reply == nil {
		w.failed++
		return
	}
	w.granted++
}

// quotaCaller answers questions for parts of quotas as it is set to.
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

// TestQuotaAskedApart checks that parts of quotas are asked of the leader itself, also where
// the gateway is linked to a relay, and with the other questions where no leader grants them
// apart: one that is gone, one that leads no more, and one of a build that cannot.
func TestQuotaAskedApart(t *testing.T) {
	for name, c := range map[string]struct {
		reply protocol.QuotaReply
		err   error
		good  bool
		again bool // again says that the same leader is asked apart later.
	}{
		"it grants":           {protocol.QuotaReply{Leads: true}, nil, true, true},
		"it leads no more":    {protocol.QuotaReply{}, nil, false, true},
		"it is gone":          {protocol.QuotaReply{}, errors.New("no answer"), false, true},
		"it has no such call": {protocol.QuotaReply{}, rpc.ServerError("rpc: can't find method Uplink.Quota"), false, false},
	} {
		calls, gateway := &quotaCaller{reply: c.reply, err: c.err}, &wanting{}
		client := New(calls, nil, nil, nil, zerolog.Nop(), WithQuotas(gateway))
		client.lead("relay", "leader")
		client.askApart(client.mayApart("leader"))
		if !gateway.apart {
			t.Fatalf("%s: not asked apart at first", name)
		}
		client.askQuota()
		if len(calls.asked) != 1 || calls.asked[0] != "leader" {
			t.Errorf("%s: asked %v", name, calls.asked)
		}
		if good := gateway.granted == 1 && gateway.failed == 0; good != c.good || gateway.apart != c.good {
			t.Errorf("%s: granted %d, failed %d, asked apart from now on: %v", name, gateway.granted, gateway.failed, gateway.apart)
		}
		if again := client.mayApart("leader"); again != c.again || !client.mayApart("next") {
			t.Errorf("%s: asked apart again: %v", name, again)
		}
		if waits := len(client.syncNow) == 1; waits == c.good {
			t.Errorf("%s: the other questions are asked at once: %v", name, waits)
		}
	}
}

// TestQuestionsOfRequests checks whom a question of a single request goes to: within one
// region the leader, which alone knows all places that were given, and over several regions
// a relay of the own one.
func TestQuestionsOfRequests(t *testing.T) {
	regions := topology.New(map[string]string{"a1": "a", "b1": "b"})
	for _, c := range []struct {
		topology *topology.Topology
		apart    bool
		placer   string
	}{{nil, true, "leader"}, {regions, false, "relay"}} {
		client := New(&quotaCaller{}, nil, nil, nil, zerolog.Nop(), WithQuotas(&wanting{}), WithRegions(c.topology, "a1", "g"))
		client.lead("relay", "leader")
		if client.mayApart("leader") != c.apart || client.placer() != c.placer {
			t.Errorf("several regions %v: quotas apart %v, places by %q", c.topology.Several(), client.mayApart("leader"), client.placer())
		}
		client.lead("", "")
		if got := client.placer(); got != "" {
			t.Errorf("without a leader places are asked of %q", got)
		}
	}
}
