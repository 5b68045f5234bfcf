package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/weldstream/weldstream/coordination/quarantine"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// holdingGroup tells the uplink of the quarantine as the replica does.
type holdingGroup struct {
	*fakeGroup
	uplink func() *Uplink
}

func (g *holdingGroup) Propose(ctx context.Context, c protocol.Command) (protocol.Result, error) {
	c.At = time.Now().UnixMilli()
	result, err := g.fakeGroup.Propose(ctx, c)
	g.mu.Lock()
	l := g.machine.QuarantineLog()
	g.mu.Unlock()
	g.uplink().InstallQuarantine(l)
	return result, err
}

// newHolding returns a leader that holds requests, without its loop.
func newHolding() (*Uplink, *fakeGroup) {
	g := newFakeGroup()
	var u *Uplink
	u = NewUplink(&holdingGroup{g, func() *Uplink { return u }}, noPeers, parse, 8*time.Second)
	u.SetServers(1, []protocol.Instance{{ID: "sound", Service: "s"}, {ID: "leaver", Service: "s", Leaving: true}})
	return u, g
}

func bodyPrint(body string) protocol.Fingerprint {
	return (&quarantine.Request{Body: []byte(body)}).Fingerprint()
}

// ended are observations that some servers ended, one after the other, each so long ago.
func ended(body string, ago ...time.Duration) []protocol.Observation {
	var list []protocol.Observation
	for i, d := range ago {
		list = append(list, protocol.Observation{
			Number: uint64(i + 1),
			Ago:    d,
			Server: fmt.Sprint("server-", d),
			Runs:   []protocol.ObservedRun{{Fingerprint: bodyPrint(body), Age: 10 * time.Millisecond}},
		})
	}
	return list
}

// decide has the leader decide at a time from now on.
func decide(t *testing.T, u *Uplink, ahead time.Duration) {
	t.Helper()
	term, _ := u.group.Vouches()
	u.logQuarantine(t.Context(), u.judge(term, clock.Now().Add(ahead)))
}

// TestAllGatewaysAreToldOfAHeldRequest checks that what several gateways saw adds up, and
// that all of them are told what is held and watched: once, and again by a new leader to
// one that was started anew.
func TestAllGatewaysAreToldOfAHeldRequest(t *testing.T) {
	u, g := newHolding()
	sync1(t, u, protocol.SyncMsg{Gateway: "a", Life: 1, Observations: ended("bad", 3*time.Second, 2*time.Second)})
	decide(t, u, 0)
	r := sync1(t, u, protocol.SyncMsg{Gateway: "c", Life: 1})
	if len(heldOf(r)) != 0 || r.Watch == nil || r.Watch.Requests[0] != bodyPrint("bad") {
		t.Fatalf("behind two servers: %+v, %+v", r.Quarantine, r.Watch)
	}
	sync1(t, u, protocol.SyncMsg{Gateway: "b", Life: 1, Observations: ended("bad", time.Second)})
	decide(t, u, 0)
	if r := sync1(t, u, protocol.SyncMsg{Gateway: "c", Life: 1}); len(heldOf(r)) != 0 {
		t.Errorf("held before all can have told: %+v", r.Quarantine)
	}
	decide(t, u, time.Second)
	r = sync1(t, u, protocol.SyncMsg{Gateway: "c", Life: 1})
	if held := heldOf(r); len(held) != 1 || held[0].Fingerprint != bodyPrint("bad") || held[0].Servers != 3 {
		t.Fatalf("behind three servers: %+v", r.Quarantine)
	}
	known := r.Quarantine.Changes
	if r := sync1(t, u, protocol.SyncMsg{Gateway: "c", Life: 1, Quarantined: &known}); r.Quarantine != nil {
		t.Errorf("told again: %+v", r.Quarantine)
	}
	g.set(2, true)
	if r := sync1(t, u, protocol.SyncMsg{Gateway: "c", Life: 2}); len(heldOf(r)) != 1 {
		t.Errorf("the next leader tells %+v", r.Quarantine)
	}
}

// TestLeadersObservationsComeAgain checks that a new leader decides by what the gateways
// tell it anew.
func TestLeadersObservationsComeAgain(t *testing.T) {
	u, g := newHolding()
	seen := ended("bad", 3*time.Second, 2*time.Second, time.Second)
	sync1(t, u, protocol.SyncMsg{Gateway: "a", Life: 1, Observations: seen[:2]})
	g.set(2, true)
	sync1(t, u, protocol.SyncMsg{Gateway: "a", Life: 1, Observations: seen})
	decide(t, u, time.Second)
	if r := sync1(t, u, protocol.SyncMsg{Gateway: "a", Life: 1}); len(heldOf(r)) != 1 {
		t.Errorf("told %+v", r.Quarantine)
	}
}

// TestLeavingServersSpeakAgainstNobody checks that the ends of servers that are listed as
// leaving hold nothing, whether the list or the observation comes first.
func TestLeavingServersSpeakAgainstNobody(t *testing.T) {
	u, _ := newHolding()
	var seen []protocol.Observation
	for i, server := range []string{"leaver", "late-1", "late-2", "late-3"} {
		o := ended("x", time.Duration(4-i)*time.Second)[0]
		o.Server = server
		seen = append(seen, o)
	}
	sync1(t, u, protocol.SyncMsg{Gateway: "a", Life: 1, Observations: seen})
	u.SetServers(1, []protocol.Instance{{ID: "late-1", Leaving: true}, {ID: "late-2", Leaving: true}})
	decide(t, u, time.Second)
	if r := sync1(t, u, protocol.SyncMsg{Gateway: "a", Life: 1}); len(heldOf(r)) != 0 {
		t.Errorf("told %+v", r.Quarantine)
	}
}

// TestQuarantineThroughARelay checks that observations reach the leader through a relay, as
// old as they are, and that its gateways are told what is held, also by whom it is to be
// tried, and what is free again.
func TestQuarantineThroughARelay(t *testing.T) {
	leader, _, w := newLeader(3)
	relay, _ := newRelayOf(t, w, "a")
	leader.InstallQuarantine(protocol.QuarantineLog{Changes: 4, Entries: []protocol.Quarantined{
		{Fingerprint: bodyPrint("old"), Change: 2},
		{Fingerprint: bodyPrint("bad"), Held: true, Servers: 3, Trials: 1, Trial: "g", Change: 4},
	}})
	seen := ended("worse", 3*time.Second, 2*time.Second, time.Second)
	r := within(t, asked(relay, protocol.SyncMsg{Gateway: "g", Lister: 1, Observations: seen}), "the first answer")
	if held := heldOf(r); len(held) != 1 || held[0].Trial != "g" || held[0].Trials != 1 {
		t.Fatalf("told %+v", r.Quarantine)
	}
	if m := leader.judge(3, clock.Now().Add(time.Second)); len(m.Hold) != 1 || m.Hold[0].Fingerprint != bodyPrint("worse") {
		t.Errorf("the leader decides %+v", m)
	}
	r = within(t, asked(relay, protocol.SyncMsg{Gateway: "g", Lister: 1, Quarantined: new(uint64(4))}), "the answer that names whom to watch")
	if r.Watch == nil || len(r.Watch.Requests) != 1 || r.Watch.Requests[0] != bodyPrint("worse") {
		t.Errorf("to be watched are %+v", r.Watch)
	}
	leader.InstallQuarantine(protocol.QuarantineLog{Changes: 5, Entries: []protocol.Quarantined{
		{Fingerprint: bodyPrint("old"), Change: 2}, {Fingerprint: bodyPrint("bad"), Change: 5},
	}})
	mark := protocol.WatchHash([]protocol.Fingerprint{bodyPrint("worse")})
	r = within(t, asked(relay, protocol.SyncMsg{Gateway: "g", Lister: 1, Quarantined: new(uint64(4)), Watched: mark}), "the second answer")
	if r.Watch != nil {
		t.Errorf("told again whom to watch: %+v", r.Watch)
	}
	if n := r.Quarantine; n == nil || n.Changes != 5 || len(n.Free) != 1 || n.Free[0] != bodyPrint("bad") {
		t.Errorf("told %+v", n)
	}
	r = within(t, asked(relay, protocol.SyncMsg{Gateway: "late", Lister: 1}), "the answer to a late gateway")
	if n := r.Quarantine; n == nil || !n.Whole || len(n.Held) != 0 {
		t.Errorf("a late gateway is told %+v", n)
	}
}

// TestObservationsAgeAtARelay checks that an observation is as old for the leader as it is:
// it has waited at the relay.
func TestObservationsAgeAtARelay(t *testing.T) {
	m := protocol.SyncMsg{Gateway: "g", Observations: ended("x", time.Second)}
	p := partOf(&m, 2*time.Second)
	if got := questionOf(&p).Observations; len(got) != 1 || got[0].Ago != 3*time.Second {
		t.Errorf("the leader is told %+v", got)
	}
	if m.Observations[0].Ago != time.Second {
		t.Error("the gateway's own message was changed")
	}
}

// TestNewTermBeginsAnew checks that what a leader was told in an earlier term counts no more
// unless it is told again: good ends may have been told to others meanwhile.
func TestNewTermBeginsAnew(t *testing.T) {
	u, g := newHolding()
	seen := ended("x", 3*time.Second, 2*time.Second, time.Second)
	sync1(t, u, protocol.SyncMsg{Gateway: "a", Life: 1, Observations: seen[:2]})
	g.set(3, true)
	sync1(t, u, protocol.SyncMsg{Gateway: "a", Life: 1, Observations: seen[2:]})
	decide(t, u, time.Second)
	if r := sync1(t, u, protocol.SyncMsg{Gateway: "a", Life: 1}); len(heldOf(r)) != 0 {
		t.Errorf("told %+v", r.Quarantine)
	}
}

// TestLeaderListsNoFormerStart checks that a list with a former start of a server, which the
// platform or an instance that was cut off had kept, brings it back to nobody, in this term
// and the next.
func TestLeaderListsNoFormerStart(t *testing.T) {
	u, g := newHolding()
	u.SetServers(1, []protocol.Instance{{ID: "a@2", Service: "s"}, {ID: "b@1", Service: "s"}})
	for term := uint64(1); term <= 2; term++ {
		g.set(term, true)
		u.SetServers(term, []protocol.Instance{{ID: "a@1", Service: "s"}, {ID: "b@1", Service: "s"}})
		if list, _ := u.Servers(); len(list) != 1 || list[0].ID != "b@1" {
			t.Errorf("term %d lists %+v", term, list)
		}
	}
}

// heldOf are the requests that an answer tells are held.
func heldOf(r protocol.SyncReply) []protocol.HeldRequest {
	if r.Quarantine == nil {
		return nil
	}
	return r.Quarantine.Held
}
