package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// TestQuotaNeedsALeader checks that parts of quotas are granted by an instance that leads
// alone, also where it loses its lease while it answers.
func TestQuotaNeedsALeader(t *testing.T) {
	g := newFakeGroup()
	u := newUplink(g)
	m := protocol.QuotaMsg{Gateway: "g", Wants: []protocol.QuotaRequest{{Workspace: "w", Units: 1}}}
	ask := func() (reply protocol.QuotaReply) {
		if err := u.Quota(m, &reply); err != nil {
			t.Fatal(err)
		}
		return reply
	}
	if reply := ask(); !reply.Leads || len(reply.Grants) != 1 {
		t.Errorf("a leader answers %+v", reply)
	}
	g.asks = 2
	if reply := ask(); reply.Leads {
		t.Errorf("an instance whose lease ran out meanwhile answers %+v", reply)
	}
	if reply := ask(); reply.Leads || len(reply.Grants) > 0 {
		t.Errorf("an instance that does not lead answers %+v", reply)
	}
}

// TestEndsComeWithQuotas checks that the leader hears of the ends of requests that it placed
// beside questions for parts of quotas, of this term and of its own places alone.
func TestEndsComeWithQuotas(t *testing.T) {
	u := newUplink(newFakeGroup())
	u.SetServers(1, []protocol.Instance{{ID: "s", Service: "s", Slots: 4}})
	var place protocol.PlaceReply
	if err := u.Place(protocol.PlaceMsg{Service: "s", Prompt: 5000, Answer: 100, Target: time.Second, Gap: time.Second}, &place); err != nil || place.Server != "s" {
		t.Fatalf("placed %+v, %v", place, err)
	}
	ends := func(d protocol.PlaceDone) int {
		var reply protocol.QuotaReply
		if err := u.Quota(protocol.QuotaMsg{Gateway: "g", Done: []protocol.PlaceDone{d}}, &reply); err != nil || !reply.Leads {
			t.Fatalf("%+v, %v", reply, err)
		}
		return u.places.InProgress()
	}
	if n := ends(protocol.PlaceDone{Term: 1, Number: place.Number, Placer: place.Placer + 1}); n != 1 {
		t.Errorf("%d places behind an end of another placer", n)
	}
	if n := ends(protocol.PlaceDone{Term: 2, Number: place.Number, Placer: place.Placer}); n != 1 {
		t.Errorf("%d places behind an end of another term", n)
	}
	if n := ends(protocol.PlaceDone{Term: 1, Number: place.Number, Placer: place.Placer}); n != 0 {
		t.Errorf("%d places behind its end", n)
	}
}

// TestQuotaAnswerDoesNotGrow checks the pattern of many gateways that each see few requests:
// nothing can be asked for in advance, so that each request waits for an answer. What that
// holds must not grow with the gateways and servers, as an answer with loads does.
func TestQuotaAnswerDoesNotGrow(t *testing.T) {
	const most = 300 // bytes, of a question and its answer
	for _, gateways := range []int{30, 300, 986, 1972} {
		s := newSizeWorld(gateways, changedLoads)
		s.ask(s.gateways, 0, changedLoads)
		m := protocol.QuotaMsg{Gateway: "edge-a1-77", Wants: []protocol.QuotaRequest{{Workspace: "workspace-77", Units: 12000, Waiting: 12000}}}
		var reply protocol.QuotaReply
		if err := s.leader.Quota(m, &reply); err != nil || !reply.Leads {
			t.Fatalf("%+v, %v", reply, err)
		}
		s.traffic = traffic{}
		s.traffic.add(s.topology, "a1", "a1", m, false)
		s.traffic.add(s.topology, "a1", "a1", reply, true)
		if s.traffic.within > most {
			t.Errorf("%d gateways: %d bytes", gateways, s.traffic.within)
		}
		t.Logf("%s", fmt.Sprintf("%4d gateways: %d bytes for a part of a quota", gateways, s.traffic.within))
	}
}
