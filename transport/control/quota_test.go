package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// TestQuotaRequiresLeader checks that only a leader grants quota, also if its lease expires
// during the request.
func TestQuotaRequiresLeader(t *testing.T) {
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
		t.Errorf("leader: got %+v", reply)
	}
	g.vouchesLeft = 2
	if reply := ask(); reply.Leads {
		t.Errorf("instance whose lease expired during the request: got %+v", reply)
	}
	if reply := ask(); reply.Leads || len(reply.Grants) > 0 {
		t.Errorf("instance that does not lead: got %+v", reply)
	}
}

// TestQuotaRequestCarriesDone checks that the leader learns of completed requests from requests
// for quota, and considers only those of this term that it placed itself.
func TestQuotaRequestCarriesDone(t *testing.T) {
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
		t.Errorf("%d placements after the completion of another placer's, want 1", n)
	}
	if n := ends(protocol.PlaceDone{Term: 2, Number: place.Number, Placer: place.Placer}); n != 1 {
		t.Errorf("%d placements after the completion of another term's, want 1", n)
	}
	if n := ends(protocol.PlaceDone{Term: 1, Number: place.Number, Placer: place.Placer}); n != 0 {
		t.Errorf("%d placements after the completion, want 0", n)
	}
}

// TestQuotaMessageSizeIsConstant checks the case of many gateways with few requests each:
// nothing can be requested in advance, so each request waits for an answer. Its size must not
// grow with the number of gateways and servers, as an answer with loads does.
func TestQuotaMessageSizeIsConstant(t *testing.T) {
	const most = 300 // bytes, of a question and its answer
	for _, gateways := range []int{30, 300, 986, 1972} {
		s := newFleetSim(gateways, modeLoadChanges)
		s.ask(s.gateways, 0, modeLoadChanges)
		m := protocol.QuotaMsg{Gateway: "edge-a1-77", Wants: []protocol.QuotaRequest{{Workspace: "workspace-77", Units: 12000, Waiting: 12000}}}
		var reply protocol.QuotaReply
		if err := s.leader.Quota(m, &reply); err != nil || !reply.Leads {
			t.Fatalf("%+v, %v", reply, err)
		}
		s.traffic = traffic{}
		s.traffic.add(s.topology, "a1", "a1", m, false)
		s.traffic.add(s.topology, "a1", "a1", reply, true)
		if s.traffic.within > most {
			t.Errorf("%d gateways: a request for quota takes %d bytes", gateways, s.traffic.within)
		}
		t.Logf("%s", fmt.Sprintf("%4d gateways: %d bytes for a quota request", gateways, s.traffic.within))
	}
}
