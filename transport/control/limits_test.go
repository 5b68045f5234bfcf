package control

import (
	"testing"

	"github.com/weldstream/weldstream/protocol"
)

// limitsOf asks an instance on the servers' limits.
func limitsOf(t *testing.T, u *Uplink, m protocol.LimitsMsg) protocol.LimitsReply {
	t.Helper()
	var reply protocol.LimitsReply
	if err := u.Limits(m, &reply); err != nil {
		t.Fatal(err)
	}
	return reply
}

// TestLeaderTellsLimits checks that a limit which one gateway heard of comes to another one:
// its next question shows that there is one, and the next for permits which; and that it goes
// with its server.
func TestLeaderTellsLimits(t *testing.T) {
	u := newUplink(newFakeGroup())
	list := []protocol.Instance{{ID: "a@5", Service: "s"}, {ID: "b@5", Service: "s"}}
	u.SetServers(1, list)
	if r := sync1(t, u, protocol.SyncMsg{Gateway: "other"}); r.Limits != 0 {
		t.Errorf("change %d though no server names a limit", r.Limits)
	}
	limit := protocol.RateLimit{Named: true, PerSecond: 2}
	first := limitsOf(t, u, protocol.LimitsMsg{Gateway: "g", Heard: []protocol.ReportedLimit{{Server: "a@5", Limit: limit}}})
	other := sync1(t, u, protocol.SyncMsg{Gateway: "other"})
	if !first.Leads || other.Limits != first.Change || first.Change == 0 {
		t.Errorf("leads %v, change %d, and %d to another gateway", first.Leads, first.Change, other.Limits)
	}
	news := limitsOf(t, u, protocol.LimitsMsg{Gateway: "other"})
	if len(news.Limits) != 1 || news.Limits[0] != (protocol.ServerLimit{Server: "a@5", Limit: limit}) {
		t.Errorf("the other gateway is told %v", news.Limits)
	}
	if again := limitsOf(t, u, protocol.LimitsMsg{Gateway: "other", Term: news.Term, Held: news.Change}); len(again.Limits) > 0 {
		t.Errorf("it is told again: %v", again.Limits)
	}
	u.SetServers(1, list[1:])
	if left := u.LimitedServers(); len(left) > 0 {
		t.Errorf("limits of a server that is gone: %v", left)
	}
}

// TestOnlyALeaderGivesPermits checks that an instance which cannot vouch to lead answers
// nothing that counts.
func TestOnlyALeaderGivesPermits(t *testing.T) {
	group := newFakeGroup()
	u := newUplink(group)
	heard := []protocol.ReportedLimit{{Server: "a", Limit: protocol.RateLimit{Named: true, PerSecond: 2}}}
	limitsOf(t, u, protocol.LimitsMsg{Gateway: "g", Heard: heard})
	group.leads = false
	if r := limitsOf(t, u, protocol.LimitsMsg{Gateway: "g", Heard: heard}); r.Leads || len(r.Grants) > 0 || u.LimitedServers() != nil {
		t.Errorf("got %+v", r)
	}
}
