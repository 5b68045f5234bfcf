package control

import (
	"testing"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// TestPassedWithoutLeader checks that an instance that does not lead forwards the limits that
// gateways report to other gateways, once to each.
func TestPassedWithoutLeader(t *testing.T) {
	u := newUplink(&fakeGroup{})
	ask := func(m protocol.SharedLimitsMsg) (reply protocol.SharedLimitsReply) {
		if err := u.Passed(m, &reply); err != nil {
			t.Fatal(err)
		}
		return reply
	}
	limit := protocol.RateLimit{Named: true, PerSecond: 2}
	ask(protocol.SharedLimitsMsg{Heard: []protocol.ReportedLimit{{Server: "s", Limit: limit, Ago: time.Second}}})
	other := ask(protocol.SharedLimitsMsg{})
	if len(other.Heard) != 1 || other.Heard[0].Limit != limit || other.Heard[0].Ago < time.Second {
		t.Fatalf("another gateway received %+v", other.Heard)
	}
	if again := ask(protocol.SharedLimitsMsg{Held: other.Holds}); len(again.Heard) > 0 {
		t.Errorf("the limit was sent again: %+v", again.Heard)
	}
}
