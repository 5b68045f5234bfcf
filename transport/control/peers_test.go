package control

import (
	"testing"

	"github.com/weldstream/weldstream/protocol"
)

// TestPeersRequireLeader checks that only a leader names other gateways, and that a new one names
// those that have reported to it.
func TestPeersRequireLeader(t *testing.T) {
	g := newFakeGroup()
	u := newUplink(g)
	ask := func(name string) (reply protocol.PeersReply) {
		t.Helper()
		if err := u.Peers(protocol.PeersMsg{Gateway: name, Address: name + ":1", Domain: "a"}, &reply); err != nil {
			t.Fatal(err)
		}
		return reply
	}
	if r := ask("g"); !r.Leads || len(r.Peers) != 0 {
		t.Errorf("the only gateway: got %+v", r)
	}
	if r := ask("h"); !r.Leads || len(r.Peers) != 1 || r.Peers[0].Name != "g" || r.Peers[0].Address != "g:1" {
		t.Errorf("the second gateway: got %+v", r)
	}
	g.term++
	if r := ask("h"); !r.Leads || len(r.Peers) != 0 {
		t.Errorf("in the next term: got %+v", r)
	}
	g.leads = false
	if r := ask("g"); r.Leads {
		t.Errorf("without the lead: got %+v", r)
	}
}
