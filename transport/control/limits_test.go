package control

import (
	"testing"

	"github.com/weldstream/weldstream/protocol"
)

// mustLimits requests the servers' limits from an instance.
func mustLimits(t *testing.T, u *Uplink, m protocol.LimitsMsg) protocol.LimitsReply {
	t.Helper()
	var reply protocol.LimitsReply
	if err := u.Limits(m, &reply); err != nil {
		t.Fatal(err)
	}
	return reply
}

// TestLeaderDistributesLimits checks that a limit that one gateway reports reaches another one:
// its next request returns a new version, and its next request for permits the limit itself;
// and that the limit is removed with its server.
func TestLeaderDistributesLimits(t *testing.T) {
	u := newUplink(newFakeGroup())
	list := []protocol.Instance{{ID: "a@5", Service: "s"}, {ID: "b@5", Service: "s"}}
	u.SetServers(1, list)
	if r := mustSync(t, u, protocol.SyncMsg{Gateway: "other"}); r.Limits != 0 {
		t.Errorf("change %d without any limit", r.Limits)
	}
	limit := protocol.RateLimit{Named: true, PerSecond: 2}
	first := mustLimits(t, u, protocol.LimitsMsg{Gateway: "g", Heard: []protocol.ReportedLimit{{Server: "a@5", Limit: limit}}})
	other := mustSync(t, u, protocol.SyncMsg{Gateway: "other"})
	if !first.Leads || other.Limits != first.Change || first.Change == 0 {
		t.Errorf("leads %v, change %d, and %d to another gateway", first.Leads, first.Change, other.Limits)
	}
	news := mustLimits(t, u, protocol.LimitsMsg{Gateway: "other"})
	if len(news.Limits) != 1 || news.Limits[0] != (protocol.ServerLimit{Server: "a@5", Service: "s", Limit: limit}) {
		t.Errorf("the other gateway received %v", news.Limits)
	}
	if again := mustLimits(t, u, protocol.LimitsMsg{Gateway: "other", Term: news.Term, Held: news.Change}); len(again.Limits) > 0 {
		t.Errorf("the limit was sent again: %v", again.Limits)
	}
	u.SetServers(1, list[1:])
	if left := u.LimitedServers(); len(left) > 0 {
		t.Errorf("limits of a removed server: %v", left)
	}
}

// TestOnlyLeaderIssuesPermits checks that an instance that cannot vouch for its leadership
// returns nothing valid.
func TestOnlyLeaderIssuesPermits(t *testing.T) {
	group := newFakeGroup()
	u := newUplink(group)
	heard := []protocol.ReportedLimit{{Server: "a", Limit: protocol.RateLimit{Named: true, PerSecond: 2}}}
	mustLimits(t, u, protocol.LimitsMsg{Gateway: "g", Heard: heard})
	group.leads = false
	if r := mustLimits(t, u, protocol.LimitsMsg{Gateway: "g", Heard: heard}); r.Leads || len(r.Grants) > 0 || u.LimitedServers() != nil {
		t.Errorf("got %+v", r)
	}
}
