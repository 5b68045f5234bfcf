package backpressure

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/weldstream/weldstream/internal/testseed" // Fixes the seed.
	"github.com/weldstream/weldstream/protocol"
)

// TestRoomIsUsed checks that gateways which ask for three times as much as brittle servers can do fill them, also
// where servers have less room than slots, and that none of many gateways is starved. Each server may be sent as
// many requests as it has credits in MinSettleTime, which is enough for the room in all cases.
func TestRoomIsUsed(t *testing.T) {
	const warmUp = 3 * time.Second
	for _, c := range []struct {
		gateways, servers, slots, room, rejections int
		runTime, length                            time.Duration
	}{
		{1, 1, 32, 32, 8, 400 * time.Millisecond, 10 * time.Second},
		{3, 1, 32, 32, 8, 400 * time.Millisecond, 10 * time.Second},
		{9, 1, 32, 32, 8, 400 * time.Millisecond, 10 * time.Second},
		{4, 4, 4, 4, 3, 250 * time.Millisecond, 10 * time.Second},
		{9, 8, 4, 4, 3, 250 * time.Millisecond, 10 * time.Second},
		{24, 8, 4, 4, 3, 250 * time.Millisecond, 10 * time.Second},
		{24, 8, 4, 2, 3, 250 * time.Millisecond, 10 * time.Second},
		{24, 8, 4, 4, 1, 250 * time.Millisecond, 10 * time.Second},
		{80, 4, 6, 6, 8, 250 * time.Millisecond, 30 * time.Second},
		{80, 4, 6, 6, 3, 250 * time.Millisecond, 30 * time.Second},
		{80, 30, 16, 16, 8, 250 * time.Millisecond, 5 * time.Second},
		{80, 30, 16, 8, 8, 250 * time.Millisecond, 5 * time.Second},
	} {
		t.Run(fmt.Sprintf("%d gateways, %d servers, %d of %d slots, bear %d", c.gateways, c.servers, c.room, c.slots, c.rejections), func(t *testing.T) {
			t.Parallel()
			s := newSim(1, c.gateways, c.servers, c.slots, c.rejections, c.runTime)
			rate := 3 * float64(c.servers*c.slots) / c.runTime.Seconds()
			s.pass(warmUp, rate, 0)
			s.room = c.room
			s.pass(warmUp, rate, 0)
			rejected, reports := s.rejected, s.leaderReports
			n := s.measure(c.length, rate, 0)
			possible := float64(c.servers*c.room) * float64(c.length) / float64(c.runTime)
			used, least := float64(n.served)/possible, n.served
			for _, g := range s.gateways {
				least = min(least, g.served)
			}
			mean := float64(n.served) / float64(c.gateways)
			t.Logf("%.3f of the room used, %d served at the gateway that serves the least, %.1f in the mean, %d falls, %d rejections, %d before, %.0f reports a second",
				used, least, mean, s.falls, s.rejected-rejected, rejected, float64(s.leaderReports-reports)/c.length.Seconds())
			if s.falls > 0 {
				t.Errorf("servers fell over %d times", s.falls)
			}
			if c.room == c.slots && s.rejected > 0 {
				t.Errorf("%d rejections by servers with room for all their slots", s.rejected)
			}
			if used < 0.9 {
				t.Errorf("%.3f of the room was used", used)
			}
			if float64(least) < 0.5*mean {
				t.Errorf("a gateway served %d requests, the mean is %.1f", least, mean)
			}
		})
	}
}

// TestLightLoadIsServed checks that nearly all requests are served while servers are mostly idle, at each of
// many gateways.
func TestLightLoadIsServed(t *testing.T) {
	const warmUp, length = 3 * time.Second, 10 * time.Second
	for _, c := range []struct {
		gateways, servers, slots, rejections int
		runTime                              time.Duration
	}{
		{4, 8, 8, 8, 100 * time.Millisecond},
		{4, 8, 8, 3, 100 * time.Millisecond},
		{9, 8, 8, 3, 100 * time.Millisecond},
		{24, 8, 8, 8, 100 * time.Millisecond},
		{24, 8, 8, 3, 100 * time.Millisecond},
		{24, 8, 4, 1, 250 * time.Millisecond},
		{40, 8, 8, 8, 100 * time.Millisecond},
		{40, 8, 8, 3, 100 * time.Millisecond},
		{40, 4, 6, 8, 100 * time.Millisecond},
		{80, 4, 6, 8, 100 * time.Millisecond},
		{80, 4, 6, 3, 100 * time.Millisecond},
		{80, 30, 16, 8, 100 * time.Millisecond},
		{80, 30, 16, 3, 250 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("%d gateways, %d servers, %d slots, bear %d", c.gateways, c.servers, c.slots, c.rejections), func(t *testing.T) {
			t.Parallel()
			s := newSim(1, c.gateways, c.servers, c.slots, c.rejections, c.runTime)
			rate := 0.4 * float64(c.servers*c.slots) / c.runTime.Seconds()
			s.pass(warmUp, rate, 0)
			reports := s.leaderReports
			n := s.measure(length, rate, 0)
			served := float64(n.served) / float64(n.served+n.refused)
			t.Logf("%.3f served, %.3f at the gateway that serves the least; %.2f waited for the leader, %.2f reports a request, %d rejections",
				served, n.least, float64(n.waited)/float64(n.served), float64(s.leaderReports-reports)/float64(n.served), s.rejected)
			if served < 0.95 || n.least < 0.8 {
				t.Errorf("%.3f served, %.3f at the gateway that serves the least", served, n.least)
			}
			if s.rejected > 0 {
				t.Errorf("%d rejections", s.rejected)
			}
		})
	}
}

// TestRejectionsHoldByConstruction guards against gateways that together have a brittle server reject
// more than it bears: for any number of gateways and servers, starts of gateways and leaders, times without a
// leader, losses of all power, lost messages, servers that end and come back under new ids, and servers with
// less room than slots.
func TestRejectionsHoldByConstruction(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gateways := rapid.SampledFrom([]int{1, 3, 4, 8, 9, 24, 40, 80}).Draw(t, "gateways")
		servers := rapid.SampledFrom([]int{1, 4, 9}).Draw(t, "servers")
		slots, rejections := rapid.IntRange(1, 32).Draw(t, "slots"), rapid.IntRange(1, 9).Draw(t, "rejections")
		s := newSim(rapid.Uint64().Draw(t, "seed"), gateways, servers, slots, rejections, time.Duration(rapid.IntRange(5, 600).Draw(t, "run"))*time.Millisecond)
		s.lossRate = rapid.Float64Range(0, 0.2).Draw(t, "loss")
		s.pass(time.Second, 0, 1)
		full := rapid.Bool().Draw(t, "room for all slots")
		if !full {
			s.room = rapid.IntRange(0, slots).Draw(t, "room")
		}
		for range rapid.IntRange(1, 6).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"none", "gateway", "all gateways", "leader", "no leader", "power", "replace", "add", "room"}).Draw(t, "step") {
			case "gateway":
				s.startGateway(s.gateways[rapid.IntRange(0, gateways-1).Draw(t, "which")])
			case "all gateways":
				for _, g := range s.gateways {
					s.startGateway(g)
				}
			case "leader":
				s.startLeader(false)
			case "no leader":
				s.allocator = nil
			case "power":
				s.losePower()
			case "replace":
				for _, b := range s.servers[:(servers+1)/2] {
					s.end(b)
				}
			case "add":
				s.addServer()
				s.relist()
			case "room":
				if !full {
					s.room = rapid.IntRange(0, slots).Draw(t, "room")
				}
			}
			s.pass(time.Duration(rapid.IntRange(1, 1500).Draw(t, "time"))*time.Millisecond, 0, 2)
		}
		if s.falls > 0 {
			t.Fatalf("%d falls", s.falls)
		}
		if full && s.rejected > 0 {
			t.Fatalf("%d rejections by servers with room for all their slots", s.rejected)
		}
	})
}

// TestEarlierLeaderGrantsNoRoom checks that a gateway goes on without tickets beside a leader of a
// build that grants no room.
func TestEarlierLeaderGrantsNoRoom(t *testing.T) {
	l := NewLimits()
	l.UpdateLimit("s", protocol.RateLimit{Brittle: true, MaxRejections: 8}, start)
	m := &TicketRequest{Server: "s", Slots: 4}
	if _, d, _ := l.Admit(m, start); d != NeedPermit {
		t.Errorf("before the first answer: got %v", d)
	}
	report, _ := l.Report(start)
	l.HandleReply(&report, &protocol.LimitsReply{Leads: true, Term: 1}, start, start)
	if ticket, d, _ := l.Admit(m, start); d != Send || ticket != nil {
		t.Errorf("beside an earlier leader: got %v", d)
	}
}
