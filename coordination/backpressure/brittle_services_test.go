package backpressure

import (
	"testing"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

var bearsThree = protocol.RateLimit{Brittle: true, MaxRejections: 3}

func listedAs(service string, servers ...string) (list []protocol.ListedServer) {
	for _, s := range servers {
		list = append(list, protocol.ListedServer{Server: s, Service: service, Slots: 4, Takes: true})
	}
	return list
}

// TestNewServerIsPresumedBrittle guards against requests without a ticket to a server that has not been heard,
// while others of its service are brittle or were until they ended.
func TestNewServerIsPresumedBrittle(t *testing.T) {
	for name, c := range map[string]struct {
		prepare  func(l *Limits)
		presumed bool
	}{
		"another one is brittle": {func(l *Limits) { l.UpdateLimit("a", bearsThree, start) }, true},
		"all others have ended": {func(l *Limits) {
			l.UpdateLimit("a", bearsThree, start)
			l.SetServers(nil, start)
		}, true},
		"told by the leader": {func(l *Limits) {
			l.HandleReply(&protocol.LimitsMsg{}, &protocol.LimitsReply{Term: 1, Change: 1, GrantsRooms: true, Limits: []protocol.ServerLimit{{Server: "a", Service: "s", Limit: bearsThree, Presumed: true}}}, start, start)
		}, true},
		"the other one is no longer brittle": {func(l *Limits) {
			l.UpdateLimit("a", bearsThree, start)
			l.UpdateLimit("a", protocol.RateLimit{}, start)
		}, false},
		"none is known": {func(*Limits) {}, false},
	} {
		t.Run(name, func(t *testing.T) {
			l := NewLimits()
			l.SetServers(listedAs("s", "a"), start)
			c.prepare(l)
			l.SetServers(append(listedAs("s", "new"), listedAs("other", "calm")...), start)
			if got := l.Limit("new"); got.Brittle != c.presumed {
				t.Errorf("the new server has the limit %+v, presumed to be brittle: want %v", got, c.presumed)
			}
			if got := l.Limit("calm"); !got.IsZero() {
				t.Errorf("a server of another service has the limit %+v", got)
			}
		})
	}
}

// TestPresumptionEndsWithTheServersOwnWord checks that a server which says that it is not brittle is not held for it,
// at its gateway, the leader and other gateways, and that the others of its service are no longer if it was the last.
func TestPresumptionEndsWithTheServersOwnWord(t *testing.T) {
	allocator := NewPermitAllocator()
	list := listedAs("s", "a", "b")
	allocator.RememberBrittle([]protocol.BrittleService{{Service: "s", MaxRejections: 3}}, start)
	allocator.SetServers(list, start)
	gateways := []*Limits{NewLimits(), NewLimits()}
	exchange := func(l *Limits, name string) {
		m, _ := l.Report(start)
		m.Gateway, m.Life = name, 1
		reply := allocator.HandleReport(&m, 1, start)
		l.HandleReply(&m, &reply, start, start)
	}
	for i, l := range gateways {
		l.SetServers(list, start)
		exchange(l, string(rune('g'+i)))
		if !l.Limit("a").Brittle || !l.Limit("b").Brittle {
			t.Fatalf("gateway %d: limits %+v and %+v", i, l.Limit("a"), l.Limit("b"))
		}
	}
	gateways[0].UpdateLimit("a", protocol.RateLimit{}, start.Add(time.Millisecond))
	exchange(gateways[0], "g")
	exchange(gateways[1], "h")
	for i, l := range gateways {
		if l.Limit("a").Brittle || l.Limit("b").Brittle {
			t.Errorf("gateway %d: limits %+v and %+v after the word of one server", i, l.Limit("a"), l.Limit("b"))
		}
	}
	if left := allocator.BrittleServices(); len(left) > 0 {
		t.Errorf("the leader still has %+v", left)
	}
}

// TestBrittleServicesAreForgotten checks that a service without servers that say so does not count as brittle for
// longer than brittleMemory.
func TestBrittleServicesAreForgotten(t *testing.T) {
	a := NewPermitAllocator()
	a.SetServers(listedAs("s", "a"), start)
	a.HandleReport(&protocol.LimitsMsg{Gateway: "g", Heard: []protocol.ReportedLimit{{Server: "a", Limit: bearsThree}}}, 1, start)
	a.SetServers(nil, start)
	a.SetServers(nil, start.Add(brittleMemory-time.Millisecond))
	if len(a.BrittleServices()) != 1 {
		t.Error("forgotten too early")
	}
	a.SetServers(nil, start.Add(brittleMemory))
	if left := a.BrittleServices(); len(left) > 0 {
		t.Errorf("still has %+v", left)
	}
}

// TestPresumedServerBesideEarlierLeader checks that a leader of a build that presumes nothing is told the presumed
// limit, without which it would grant no room there.
func TestPresumedServerBesideEarlierLeader(t *testing.T) {
	l := NewLimits()
	l.SetServers(listedAs("s", "a"), start)
	l.UpdateLimit("a", bearsThree, start)
	m, _ := l.Report(start)
	l.HandleReply(&m, &protocol.LimitsReply{Leads: true, Term: 1, GrantsRooms: true}, start, start)
	l.SetServers(listedAs("s", "a", "new"), start)
	m, _ = l.Report(start)
	if len(m.Heard) != 1 || m.Heard[0].Server != "new" || m.Heard[0].Limit != bearsThree {
		t.Errorf("an earlier leader is told %+v", m.Heard)
	}
	l.HandleReply(&m, &protocol.LimitsReply{Leads: true, Term: 2, GrantsRooms: true, ChoosesRooms: true}, start, start)
	for _, h := range func() []protocol.ReportedLimit { m, _ := l.Report(start); return m.Heard }() {
		if h.Server == "new" {
			t.Error("a leader of this build is told what the gateway presumes")
		}
	}
}

// TestOvertakenReportChangesNothing guards against a report that arrives after a later one: what the gateway was
// granted since is not free.
func TestOvertakenReportChangesNothing(t *testing.T) {
	a := NewPermitAllocator()
	a.SetServers(listedAs("s", "a"), start)
	a.HandleReport(&protocol.LimitsMsg{Gateway: "g", Life: 1, Number: 1, Heard: []protocol.ReportedLimit{{Server: "a", Limit: bearsThree}}}, 1, start)
	want := []protocol.RoomWant{{Service: "s", Count: 4}}
	got := a.HandleReport(&protocol.LimitsMsg{Gateway: "g", Life: 1, Number: 3, Wanted: want}, 1, start)
	if len(got.Rooms) != 1 || got.Rooms[0].Places != 4 || got.Rooms[0].Credits != 2 {
		t.Fatalf("got %+v", got.Rooms)
	}
	a.HandleReport(&protocol.LimitsMsg{Gateway: "g", Life: 1, Number: 2}, 1, start)
	if other := a.HandleReport(&protocol.LimitsMsg{Gateway: "h", Life: 1, Number: 1, Wanted: want}, 1, start); len(other.Rooms) > 0 {
		t.Errorf("another gateway got %+v", other.Rooms)
	}
}

// TestCreditsOfEarlierBuildsRest checks that credits which a gateway of an earlier build no longer reports rest, since
// they may have been used up by a rejection, while those that a gateway of this build gives back are free at once.
func TestCreditsOfEarlierBuildsRest(t *testing.T) {
	for name, c := range map[string]struct {
		number uint64
		free   int
	}{"earlier build": {0, 0}, "this build": {2, 1}} {
		t.Run(name, func(t *testing.T) {
			a := NewPermitAllocator()
			a.SetServers(listedAs("s", "a"), start)
			heard := []protocol.ReportedLimit{{Server: "a", Limit: protocol.RateLimit{Brittle: true, MaxRejections: 1}}}
			first := protocol.LimitsMsg{Gateway: "g", Life: 1, Heard: heard, Number: min(c.number, 1), Rooms: []protocol.RoomRequest{{Server: "a", Service: "s", Slots: 4, Wanted: 1}}}
			if got := a.HandleReport(&first, 1, start); len(got.Rooms) != 1 || got.Rooms[0].Credits != 1 {
				t.Fatalf("got %+v", got.Rooms)
			}
			a.HandleReport(&protocol.LimitsMsg{Gateway: "g", Life: 1, Number: c.number, Rooms: []protocol.RoomRequest{{Server: "a", Service: "s", Slots: 4}}}, 1, start)
			got := a.HandleReport(&protocol.LimitsMsg{Gateway: "h", Life: 1, Number: 1, Wanted: []protocol.RoomWant{{Service: "s", Count: 1}}}, 1, start)
			if len(got.Rooms) != c.free {
				t.Errorf("another gateway got %+v", got.Rooms)
			}
		})
	}
}

// TestCeilingRisesAgain checks that a server that rejected requests is granted no more than it had room for, and more
// step by step.
func TestCeilingRisesAgain(t *testing.T) {
	var c ceiling
	c.reject(2, start)
	for _, step := range []struct {
		after time.Duration
		want  int
	}{{0, 2}, {minCeilingProbe - 1, 2}, {minCeilingProbe, 3}, {2 * minCeilingProbe, 4}, {10 * minCeilingProbe, 4}} {
		if got := c.limit(4, start.Add(step.after)); got != step.want {
			t.Errorf("%v after the rejection: %d places, want %d", step.after, got, step.want)
		}
	}
}
