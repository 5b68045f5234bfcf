package backpressure

import (
	"testing"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

var limitOfTwo = protocol.RateLimit{Named: true, PerSecond: 2}

// TestReportedLimitsArePassedOn checks that a gateway reports a limit to control instances
// that a leader had already: the leader may have failed before others asked it.
func TestReportedLimitsArePassedOn(t *testing.T) {
	b, l := NewPermitAllocator(), NewLimits()
	l.UpdateLimit("s", limitOfTwo, start)
	m, _ := l.Report(start)
	reply := b.HandleReport(&m, 1, start)
	l.HandleReply(&m, &reply, start, start)
	if words := l.DirectLimits(start); len(words) != 1 || words[0].Limit != limitOfTwo {
		t.Errorf("reports %+v", words)
	}
	other := NewLimits()
	other.hear(&protocol.ServerLimit{Server: "s", Limit: limitOfTwo}, start)
	if words := other.DirectLimits(start); len(words) > 0 {
		t.Errorf("a gateway that heard of it from the leader reports %+v", words)
	}
}

// TestLaterWordHolds checks that a limit which is passed on overrides an earlier answer of the
// server to the gateway, and no later one.
func TestLaterWordHolds(t *testing.T) {
	for ago, want := range map[time.Duration]protocol.RateLimit{time.Second: {Named: true, PerSecond: 9}, 3 * time.Second: limitOfTwo} {
		l := NewLimits()
		l.UpdateLimit("s", limitOfTwo, start)
		now := start.Add(2 * time.Second)
		l.MergeForwarded([]protocol.HeardLimit{{Server: "s", Limit: protocol.RateLimit{Named: true, PerSecond: 9}, Ago: ago}}, now)
		if got := l.Limit("s"); got != want {
			t.Errorf("an answer of %v ago, 2 s behind the gateway's own: goes by %+v, want %+v", ago, got, want)
		}
	}
}

// TestPassedStartsAnew checks that a control instance which was started again tells all that it
// knows to a gateway which holds a mark of the start before, and forgets limits in time.
func TestPassedStartsAnew(t *testing.T) {
	p := NewLimitCache(2)
	p.Exchange(&protocol.PassedMsg{Heard: []protocol.HeardLimit{{Server: "s", Limit: limitOfTwo}}}, start)
	if reply := p.Exchange(&protocol.PassedMsg{Held: protocol.PassedMark{Incarnation: 1, Change: 1}}, start); len(reply.Heard) != 1 {
		t.Errorf("told %+v", reply.Heard)
	}
	if reply := p.Exchange(&protocol.PassedMsg{}, start.Add(passedKept+time.Second)); len(reply.Heard) > 0 {
		t.Errorf("told %+v long after", reply.Heard)
	}
}
