package backpressure

import (
	"testing"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

var limitOfTwo = protocol.RateLimit{Named: true, PerSecond: 2}

// TestReportedLimitsArePassedOn checks that a gateway reports to control instances also a
// limit that a leader already had: the leader may have failed before other gateways got it.
func TestReportedLimitsArePassedOn(t *testing.T) {
	allocator, l := NewPermitAllocator(), NewLimits()
	l.UpdateLimit("s", limitOfTwo, start)
	m, _ := l.Report(start)
	reply := allocator.HandleReport(&m, 1, start)
	l.HandleReply(&m, &reply, start, start)
	if reported := l.DirectLimits(start); len(reported) != 1 || reported[0].Limit != limitOfTwo {
		t.Errorf("reports %+v", reported)
	}
	other := NewLimits()
	other.applyLimit(&protocol.ServerLimit{Server: "s", Limit: limitOfTwo}, start)
	if reported := other.DirectLimits(start); len(reported) > 0 {
		t.Errorf("a gateway that got the limit from the leader reports %+v", reported)
	}
}

// TestLaterLimitWins checks that a forwarded limit overrides an earlier response of the
// server to the gateway, but not a later one.
func TestLaterLimitWins(t *testing.T) {
	for ago, want := range map[time.Duration]protocol.RateLimit{time.Second: {Named: true, PerSecond: 9}, 3 * time.Second: limitOfTwo} {
		l := NewLimits()
		l.UpdateLimit("s", limitOfTwo, start)
		now := start.Add(2 * time.Second)
		l.MergeForwarded([]protocol.ReportedLimit{{Server: "s", Limit: protocol.RateLimit{Named: true, PerSecond: 9}, Ago: ago}}, now)
		if got := l.Limit("s"); got != want {
			t.Errorf("forwarded limit of %v ago, own one of 2 s ago: limit %+v, want %+v", ago, got, want)
		}
	}
}

// TestLimitCacheAfterRestart checks that a restarted control instance returns all limits to
// a gateway that holds a mark of the instance's previous start, and that limits expire.
func TestLimitCacheAfterRestart(t *testing.T) {
	p := NewLimitCache(2)
	p.Exchange(&protocol.SharedLimitsMsg{Heard: []protocol.ReportedLimit{{Server: "s", Limit: limitOfTwo}}}, start)
	if reply := p.Exchange(&protocol.SharedLimitsMsg{Held: protocol.SharedLimitsVersion{Incarnation: 1, Change: 1}}, start); len(reply.Heard) != 1 {
		t.Errorf("returned %+v", reply.Heard)
	}
	if reply := p.Exchange(&protocol.SharedLimitsMsg{}, start.Add(forwardedRetention+time.Second)); len(reply.Heard) > 0 {
		t.Errorf("returned %+v after the retention time", reply.Heard)
	}
}
