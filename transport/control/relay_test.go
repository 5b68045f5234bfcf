package control

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	metrics "github.com/rcrowley/go-metrics"
	"pgregory.net/rapid"

	"github.com/weldstream/weldstream/coordination/place"
	"github.com/weldstream/weldstream/coordination/topology"
	"github.com/weldstream/weldstream/coordination/usage"
	"github.com/weldstream/weldstream/internal/clock"
	_ "github.com/weldstream/weldstream/internal/testseed" // Fixes the seed.
	"github.com/weldstream/weldstream/protocol"
)

const leaderAddr = "10.0.0.9:7000"

// leaderLink is the connection from relays to the leaders. Tests can delay or break it.
type leaderLink struct {
	mu       sync.Mutex
	leaders  map[string]*Uplink
	leader   string
	fail     bool
	noLimits bool          // noLimits reports that requests for limits get no answer.
	hold     chan struct{} // hold delays answers until it is closed; nil does not.
	batches  []protocol.BatchMsg
	answered chan struct{} // answered signals that a batch was processed, before its answer is delayed.
}

func (w *leaderLink) Call(address, method string, args, reply any, _ time.Duration) error {
	m, _ := args.(protocol.BatchMsg)
	w.mu.Lock()
	u, fail, hold, noLimits := w.leaders[address], w.fail, w.hold, w.noLimits
	w.batches = append(w.batches, m)
	w.mu.Unlock()
	if m, ok := args.(protocol.LimitsMsg); ok && u != nil && !fail && !noLimits {
		return u.Limits(m, reply.(*protocol.LimitsReply))
	}
	if u == nil || fail || method != "Uplink.Batch" {
		return errors.New("no reply")
	}
	err := u.Batch(m, reply.(*protocol.BatchReply))
	select {
	case w.answered <- struct{}{}:
	default:
	}
	if hold != nil {
		<-hold
	}
	return err
}

func (w *leaderLink) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

func (w *leaderLink) peers() (string, []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leader, []string{leaderAddr, "10.0.0.1:7000"}
}

var twoRegions = topology.New(map[string]string{"a1": "a", "b1": "b"})

// newLeader returns a leader of a term and the link to it.
func newLeader(term uint64) (*Uplink, *fakeGroup, *leaderLink) {
	g := newFakeGroup()
	g.term = term
	w := &leaderLink{leader: leaderAddr, answered: make(chan struct{}, 100), leaders: map[string]*Uplink{}}
	u := NewUplink(g, w.peers, parse, 8*time.Second, WithTopology(twoRegions))
	w.leaders[leaderAddr] = u
	return u, g, w
}

// newTestRelay returns a control instance that relays over a link, and its group. Unless an
// option changes it, batches are overdue only after testTimeout, so that a stalled process
// does not affect the result.
func newTestRelay(t *testing.T, w *leaderLink, name string, opts ...func(*Relay)) (*Uplink, *fakeGroup) {
	t.Helper()
	g := newFakeGroup()
	g.leads = false
	u := NewUplink(g, w.peers, parse, 8*time.Second, WithTopology(twoRegions))
	r := NewRelay(u, w, name, name+":7000", metrics.NewRegistry())
	r.slack = testTimeout
	for _, opt := range opts {
		opt(r)
	}
	var loop sync.WaitGroup
	loop.Go(func() { _ = r.Run(t.Context()) })
	t.Cleanup(loop.Wait)
	return u, g
}

// defaultSlack makes batches overdue after the same time as in production.
func defaultSlack(r *Relay) { r.slack = batchSlack }

// syncAsync sends a request of a gateway that uses a relay and delivers the answer.
func syncAsync(u *Uplink, m protocol.SyncMsg) <-chan protocol.SyncReply {
	m.Relayed = true
	answer := make(chan protocol.SyncReply, 1)
	go func() {
		var reply protocol.SyncReply
		_ = u.Sync(m, &reply)
		answer <- reply
	}()
	return answer
}

func receive[T any](t *testing.T, c <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		t.Fatalf("time-out waiting for %s", what)
		panic("unreachable")
	}
}

// gatewayState is a gateway's state, updated from answers as its client does.
type gatewayState struct {
	m        protocol.SyncMsg
	document string
	servers  []protocol.Instance
	loads    []byte
}

func (g *gatewayState) apply(r *protocol.SyncReply) error {
	if len(r.Document) > 0 {
		data, err := Unpack(r.Document)
		if err != nil {
			return err
		}
		g.document, g.m.Number = string(data), r.Number
	}
	if r.Listed {
		list, err := UnpackList(r.List)
		if err != nil {
			return err
		}
		g.servers, g.m.Lister, g.m.Servers = list.ApplyTo(g.servers), r.Lister, r.Version
		return nil
	}
	if r.Loaded.Version == 0 {
		return nil
	}
	loads, err := place.UpdateLoads(g.loads, g.m.Loads, r.Loads, r.LoadChanges, r.Loaded)
	g.loads, g.m.Loads = loads, r.Loaded
	return err
}

// TestRelaysAnswerAsTheLeader checks, with random lists and documents and two gateways that
// switch between two relays and the leader, that after each answer the gateway's state equals
// that of the leader.
func TestRelaysAnswerAsTheLeader(t *testing.T) {
	leader, _, w := newLeader(3)
	a, _ := newTestRelay(t, w, "a")
	b, _ := newTestRelay(t, w, "b")
	instances := []*Uplink{leader, a, b}
	number := uint64(0)
	gateways := map[string]*gatewayState{}
	rapid.Check(t, func(t *rapid.T) {
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				number++
				leader.Install(number, fmt.Appendf(nil, "document %d", number))
			case 1:
				var list []protocol.Instance
				for id := range 5 {
					if rapid.Bool().Draw(t, "listed") {
						list = append(list, protocol.Instance{ID: fmt.Sprint(id), Service: "s", Leaving: rapid.Bool().Draw(t, "leaving")})
					}
				}
				leader.SetServers(3, list)
			default:
				name := rapid.SampledFrom([]string{"g", "h"}).Draw(t, "gateway")
				g := gateways[name]
				if g == nil {
					g = &gatewayState{m: protocol.SyncMsg{Gateway: name, Domain: "a1"}}
					gateways[name] = g
				}
				g.m.Running = []protocol.ServerLoad{{Server: fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "server")), Running: 1}}
				leader.mu.Lock()
				leader.common = commonReply{} // As if it had expired.
				leader.mu.Unlock()
				r := <-syncAsync(rapid.SampledFrom(instances).Draw(t, "instance"), g.m)
				if !r.Leads || r.Term != 3 {
					t.Fatalf("invalid answer %+v", r)
				}
				if err := g.apply(&r); err != nil {
					t.Fatal(err)
				}
				leader.mu.Lock()
				want := fmt.Sprintf("document %d", number)
				if number > 0 && g.document != want {
					t.Errorf("gateway holds document %q, want %q", g.document, want)
				}
				if leader.listed && !sameServers(sortedByID(leader.servers), g.servers) {
					t.Errorf("gateway holds servers %v, want %v", g.servers, leader.servers)
				}
				if diff := cmp.Diff(leader.vector.Values(), g.loads); r.Loaded.Version > 0 && diff != "" {
					t.Errorf("gateway holds different loads (-leader +gateway): %s", diff)
				}
				leader.mu.Unlock()
			}
		}
	})
}

func sortedByID(list []protocol.Instance) []protocol.Instance {
	all := protocol.ServerList{Whole: true, Servers: list}
	return all.ApplyTo(nil)
}

// TestRelayAnswerIsNewerThanRequest checks that a request that arrives while a batch is in
// flight is not answered from that batch's answer, which may be older than the request.
func TestRelayAnswerIsNewerThanRequest(t *testing.T) {
	leader, _, w := newLeader(3)
	relay, _ := newTestRelay(t, w, "a")
	leader.Install(5, []byte("five"))
	w.hold = make(chan struct{})
	first := syncAsync(relay, protocol.SyncMsg{Gateway: "g", Lister: 1})
	receive(t, w.answered, "the first batch") // The leader has confirmed document 5.
	leader.Install(6, []byte("six"))
	second := syncAsync(relay, protocol.SyncMsg{Gateway: "h", Lister: 1})
	receive(t, w.answered, "the second batch")
	close(w.hold)
	w.set(func() { w.hold = nil })
	if r := receive(t, first, "the first answer"); !r.Leads || r.Number < 5 {
		t.Errorf("first gateway: got %+v", r)
	}
	if r := receive(t, second, "the second answer"); !r.Leads || r.Number != 6 {
		t.Errorf("second gateway: document %d, leads %v, want document 6, which was accepted before the request", r.Number, r.Leads)
	}
}

// TestDisconnectedRelayRejectsImmediately checks that a relay without an answer from the leader
// rejects the waiting requests and those that arrive meanwhile, names the leader, and answers
// again once the leader does. None of its answers is valid meanwhile, so a revoked key is
// refused within the bound, which depends on the last request with a valid answer.
func TestDisconnectedRelayRejectsImmediately(t *testing.T) {
	leader, _, w := newLeader(3)
	relay, _ := newTestRelay(t, w, "a", defaultSlack)
	leader.Install(5, []byte("the key stands"))
	if r := receive(t, syncAsync(relay, protocol.SyncMsg{Gateway: "g", Lister: 1}), "the first answer"); !r.Leads || r.Leader != leaderAddr {
		t.Fatalf("got %+v", r)
	}
	hold := make(chan struct{})
	w.set(func() { w.hold = hold })
	waits := syncAsync(relay, protocol.SyncMsg{Gateway: "g", Number: 5, Lister: 1})
	receive(t, w.answered, "the batch")
	leader.Install(6, []byte("the key is gone"))
	if r := receive(t, waits, "an answer while the leader does not respond"); r.Leads || r.Leader != leaderAddr {
		t.Errorf("waiting request: got %+v", r)
	}
	if r := receive(t, syncAsync(relay, protocol.SyncMsg{Gateway: "h", Lister: 1}), "an answer while the leader does not respond"); r.Leads || r.Leader != leaderAddr {
		t.Errorf("later request: got %+v", r)
	}
	if s := relay.relay.Load().State(); !s.Overdue {
		t.Errorf("state %+v", s)
	}
	w.set(func() { w.hold = nil })
	close(hold)
	end := time.Now().Add(testTimeout)
	for {
		r := receive(t, syncAsync(relay, protocol.SyncMsg{Gateway: "g", Number: 5, Lister: 1}), "an answer after the leader responds again")
		if r.Leads {
			if r.Number != 6 || len(r.Document) == 0 {
				t.Errorf("got document %d", r.Number)
			}
			return
		}
		if time.Now().After(end) {
			t.Fatal("the relay does not resume answering")
		}
	}
}

// TestRelayFollowsNewLeader checks that a relay without a leader reports that, and then answers
// for the next leader, which receives complete sums.
func TestRelayFollowsNewLeader(t *testing.T) {
	first, firstGroup, w := newLeader(3)
	relay, group := newTestRelay(t, w, "a")
	first.Install(5, nil)
	m := protocol.SyncMsg{Gateway: "g", Lister: 1, Domain: "a1", Running: []protocol.ServerLoad{{Server: "s", Running: 4}}}
	for range 2 {
		if r := receive(t, syncAsync(relay, m), "an answer of the first leader"); !r.Leads || r.Term != 3 {
			t.Fatalf("got %+v", r)
		}
	}
	firstGroup.set(3, false)
	if r := receive(t, syncAsync(relay, m), "an answer without a leader"); r.Leads {
		t.Errorf("valid answer from an instance that no longer leads: %+v", r)
	}
	w.set(func() { w.leader = "" })
	if r := receive(t, syncAsync(relay, m), "an answer without a known leader"); r.Leads || r.Leader != "" {
		t.Errorf("got %+v", r)
	}
	next, _, _ := newLeader(4)
	next.Install(6, nil)
	w.set(func() { w.leader, w.leaders["10.0.0.8:7000"] = "10.0.0.8:7000", next })
	group.set(4, false)
	if r := receive(t, syncAsync(relay, m), "an answer of the next leader"); !r.Leads || r.Term != 4 || r.Number != 6 {
		t.Errorf("got %+v", r)
	}
	if n := next.loads.Running("s"); n != 4 {
		t.Errorf("the next leader counts %d requests, want 4", n)
	}
}

// TestRelaySendsChangedSums checks that a relay's second batch omits the sums that the leader
// holds, and that a leader that does not hold them requests complete ones.
func TestRelaySendsChangedSums(t *testing.T) {
	leader, _, w := newLeader(3)
	relay, _ := newTestRelay(t, w, "a")
	m := protocol.SyncMsg{Gateway: "g", Lister: 1, Domain: "a1", Running: []protocol.ServerLoad{{Server: "s", Running: 4}, {Server: "t", Running: 1}}}
	ask := func() protocol.BatchMsg {
		t.Helper()
		receive(t, syncAsync(relay, m), "an answer")
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.batches[len(w.batches)-1]
	}
	if b := ask(); b.Base != 0 || len(b.Sums.Running) != 2 || len(b.Sums.Counted) != 1 {
		t.Errorf("first batch: %+v", b)
	}
	m.Running[1].Running = 2
	if b := ask(); b.Base == 0 || len(b.Sums.Running) != 1 || len(b.Sums.Counted) != 0 {
		t.Errorf("second batch: %+v", b)
	}
	leader.mu.Lock()
	delete(leader.relays, "a") // As if the relay had been idle for too long.
	leader.loads.DropRelay("a")
	leader.mu.Unlock()
	ask()
	if b := ask(); b.Base != 0 || len(b.Sums.Running) != 2 {
		t.Errorf("batch after the leader dropped the relay: %+v", b)
	}
	if leader.loads.Running("s") != 4 || leader.loads.Running("t") != 2 {
		t.Errorf("the leader counts %d and %d requests, want 4 and 2", leader.loads.Running("s"), leader.loads.Running("t"))
	}
}

// TestUsageViaRelaysIsCountedOnce checks that counts which a gateway reports to one relay,
// another one and the leader are counted once, including when a relay fails with its answer.
func TestUsageViaRelaysIsCountedOnce(t *testing.T) {
	leader, _, w := newLeader(3)
	a, _ := newTestRelay(t, w, "a")
	b, _ := newTestRelay(t, w, "b")
	m := protocol.SyncMsg{Gateway: "g", Life: 1, Lister: 1, Usage: []protocol.UsageRow{{Window: 9, Workspace: "w", Count: 40}}}
	for _, u := range []*Uplink{a, b, leader, a} {
		receive(t, syncAsync(u, m), "an answer")
	}
	m.Usage[0].Count = 41
	receive(t, syncAsync(b, m), "an answer")
	if got := leader.UsageTotals(9)["w"]; got != 41 {
		t.Errorf("counted %d, want 41", got)
	}
	const length = time.Second
	window := usage.Window(time.Now(), length)
	told := func() int {
		leader.mu.Lock()
		defer leader.mu.Unlock()
		return leader.watermarks.Known() - len(leader.watermarks.Missing(window, length))
	}
	m.Counted = usage.End(window, length)
	receive(t, syncAsync(a, m), "an answer")
	if told() != 0 {
		t.Error("counts reported for another term are treated as complete")
	}
	m.Term = 3
	receive(t, syncAsync(a, m), "an answer")
	if told() != 1 {
		t.Error("the leader does not know that a relay's gateway has reported a complete window")
	}
}

// TestQuotaViaRelaysEqualsDirect checks that relays and the leader together grant what the
// leader alone would have granted.
func TestQuotaViaRelaysEqualsDirect(t *testing.T) {
	granted := func(instances ...*Uplink) float64 {
		total := 0.0
		for i := range 12 {
			m := protocol.SyncMsg{Gateway: fmt.Sprint("g", i), Lister: 1, Wants: []protocol.QuotaRequest{{Workspace: "w", Units: 400, Waiting: 400}}}
			r := receive(t, syncAsync(instances[i%len(instances)], m), "an answer")
			if len(r.Grants) != 1 || r.Grants[0].Lasts <= 0 || (r.Grants[0].Units < 400 && r.Grants[0].Wait <= 0) {
				t.Errorf("granted %+v", r.Grants)
				continue
			}
			total += r.Grants[0].Units
		}
		return total
	}
	direct, _, _ := newLeader(3)
	direct.Install(5, nil)
	leader, _, w := newLeader(3)
	leader.Install(5, nil)
	a, _ := newTestRelay(t, w, "a")
	b, _ := newTestRelay(t, w, "b")
	began := time.Now()
	want, got := granted(direct), granted(a, b, leader)
	const rate = 1000.0 // rate is the quota per second.
	if slack := rate * time.Since(began).Seconds(); math.Abs(want-got) > slack+1 || got == 0 {
		t.Errorf("granted %.0f via relays, want %.0f as without them", got, want)
	}
}

// TestDoneGoesToPlacer checks that a relay places prompts itself, and that the completion of a
// request that another instance placed under the same number has no effect on it.
func TestDoneGoesToPlacer(t *testing.T) {
	leader, _, w := newLeader(3)
	relay, _ := newTestRelay(t, w, "a")
	leader.SetServers(3, []protocol.Instance{{ID: "x", Service: "s", Slots: 4}, {ID: "y", Service: "s", Slots: 4}, {ID: "z", Service: "s", Slots: 4}})
	receive(t, syncAsync(relay, protocol.SyncMsg{Gateway: "g"}), "an answer")
	next := func(u *Uplink) protocol.PlaceReply {
		t.Helper()
		var reply protocol.PlaceReply
		m := protocol.PlaceMsg{Service: "s", Prompt: 1, Answer: 1_000_000, Parts: protocol.LaneShares{Tokens: 1}, Target: time.Second, Gap: time.Second}
		if err := u.Place(m, &reply); err != nil || reply.Server == "" || reply.Term != 3 {
			t.Fatalf("placed %+v, %v", reply, err)
		}
		return reply
	}
	end := func(p protocol.PlaceReply) {
		receive(t, syncAsync(relay, protocol.SyncMsg{Gateway: "g", Done: []protocol.PlaceDone{{Term: p.Term, Number: p.Number, Placer: p.Placer}}}), "an answer")
	}
	other, first := next(leader), next(relay)
	if other.Number != first.Number || other.Placer == first.Placer {
		t.Fatalf("placed %+v and %+v", other, first)
	}
	end(other)
	if second := next(relay); second.Server == first.Server {
		t.Errorf("%s got both requests while others were free", first.Server)
	}
	end(first)
	if third := next(relay); third.Server != first.Server {
		t.Errorf("placed at %s, want %s, which was free again", third.Server, first.Server)
	}
}

// TestOvertakenAnswers checks that the relay ends with the leader's state as of the last batch,
// in whatever order the answers to concurrent batches arrive, and that each request is answered
// with a document at least as new as the one confirmed for its own batch.
func TestOvertakenAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leader, _, w := newLeader(3)
		u := NewUplink(newFakeGroup(), w.peers, parse, 8*time.Second, WithTopology(twoRegions))
		r := NewRelay(u, w, "a", "a:7000", metrics.NewRegistry())
		type underWay struct {
			b      *exchange
			reply  protocol.BatchReply
			number uint64
		}
		var batches []*underWay
		g := &gatewayState{m: protocol.SyncMsg{Gateway: "g", Domain: "a1"}}
		number := uint64(0)
		// The leader's state when it answered the last batch.
		listed, servers, loads := false, []protocol.Instance(nil), []byte(nil)
		answer := func(i int) {
			x := batches[i]
			batches = append(batches[:i], batches[i+1:]...)
			r.handleReply(x.b, &x.reply, time.Millisecond)
			a := <-x.b.pending[0].reply
			if !a.Leads || a.Number < x.number {
				t.Fatalf("answer %+v to a batch for which document %d was confirmed", a, x.number)
			}
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				number++
				leader.Install(number, fmt.Append(nil, number))
			case 1:
				var list []protocol.Instance
				for id := range 4 {
					if rapid.Bool().Draw(t, "listed") {
						list = append(list, protocol.Instance{ID: fmt.Sprint(id), Leaving: rapid.Bool().Draw(t, "leaving")})
					}
				}
				leader.SetServers(3, list)
			case 2:
				g.m.Running = []protocol.ServerLoad{{Server: "1", Running: rapid.IntRange(0, 3).Draw(t, "running")}}
				q := &pendingSync{m: g.m, receivedAt: clock.Now(), reply: make(chan protocol.SyncReply, 1)}
				x := &underWay{b: &exchange{leader: leaderAddr, pending: []*pendingSync{q}}, number: number}
				x.b.m, _ = r.newBatch(leaderAddr, x.b.pending)
				leader.mu.Lock()
				leader.common = commonReply{} // As if it had expired.
				leader.mu.Unlock()
				if err := leader.Batch(x.b.m, &x.reply); err != nil {
					t.Fatal(err)
				}
				batches = append(batches, x)
				listed, servers, loads = leader.listed, sortedByID(leader.servers), slices.Clone(leader.vector.Values())
			case 3:
				if len(batches) > 0 {
					answer(rapid.IntRange(0, len(batches)-1).Draw(t, "answered"))
				}
			}
		}
		for len(batches) > 0 {
			answer(rapid.IntRange(0, len(batches)-1).Draw(t, "answered"))
		}
		if listed && !sameServers(servers, r.state.servers) {
			t.Fatalf("relay holds servers %v, want %v", r.state.servers, servers)
		}
		if diff := cmp.Diff(loads, r.state.vector.Values(), cmpopts.EquateEmpty()); diff != "" {
			t.Fatalf("relay holds different loads (-leader +relay): %s", diff)
		}
	})
}

// TestTrialCreditsViaRelays checks that relays hand out the credits for a version on trial that
// the leader granted: the same from each instance, in total never more than share and slack
// allow, and that the end of the roll-out reaches the gateway.
func TestTrialCreditsViaRelays(t *testing.T) {
	r := newRolloutTest(t)
	w := &leaderLink{leader: leaderAddr, answered: make(chan struct{}, 100), leaders: map[string]*Uplink{leaderAddr: r.uplink}}
	a, _ := newTestRelay(t, w, "a")
	b, _ := newTestRelay(t, w, "b")
	r.uplink.mu.Lock()
	r.uplink.enterTerm(1)
	r.uplink.enteredAt = clock.Now().Add(-time.Hour)
	r.uplink.mu.Unlock()
	const arrived = 1000
	ask := func(u *Uplink, name string, wants int) protocol.SyncReply {
		t.Helper()
		return receive(t, syncAsync(u, protocol.SyncMsg{Gateway: name, Life: 1, Rollouts: 1, Trials: []protocol.TrialReport{{Number: 1, Arrived: arrived, Wants: wants}}}), "an answer")
	}
	first := ask(a, "g", 5)
	if len(first.Trials) != 1 || first.Trials[0].Credits != 5 || first.Trials[0].Share <= 0 {
		t.Fatalf("granted %+v", first.Trials)
	}
	for i, u := range []*Uplink{b, r.uplink, a} {
		if got := ask(u, "g", 0); len(got.Trials) != 1 || got.Trials[0].Credits != 5 {
			t.Errorf("instance %d: granted %+v", i, got.Trials)
		}
	}
	total := int64(0)
	for i := range 6 {
		total += ask([]*Uplink{a, b, r.uplink}[i%3], fmt.Sprint("h", i), arrived).Trials[0].Credits
	}
	if most := int64(0.1*7*arrived) + 50; total+5 > most || total == 0 {
		t.Errorf("granted %d credits of %d", total+5, most)
	}
	r.propose(protocol.Command{StageRollout: &protocol.StageRolloutMsg{Service: "s", Number: 1, Stage: protocol.RolloutRolledBack}})
	if got := ask(b, "g", 5); len(got.Rollouts) != 1 || got.Rollouts[0].Stage != protocol.RolloutRolledBack || len(got.Trials) != 0 {
		t.Errorf("after its end: roll-outs %+v, trials %+v", got.Rollouts, got.Trials)
	}
}

// TestReadingsViaRelays checks that the gateways of relays and of the leader learn which server
// has processed which prompt, whichever of them reports it, and that the leader does not return
// to a relay what that relay forwarded.
func TestReadingsViaRelays(t *testing.T) {
	leader, _, w := newLeader(1)
	leader.SetServers(1, []protocol.Instance{{ID: "a", Service: "s"}, {ID: "b", Service: "s"}})
	first, _ := newTestRelay(t, w, "first")
	second, _ := newTestRelay(t, w, "second")
	held, known, rows := map[string]protocol.SyncReply{}, map[string]map[uint32]string{}, map[string]int{}
	ask := func(u *Uplink, gateway string, told ...protocol.Prefill) {
		before := held[gateway]
		m := protocol.SyncMsg{Gateway: gateway, Relayed: true, Readings: told, ReadingsAt: before.ReadingsAt, Lister: before.Lister, Servers: before.Version}
		r := receive(t, syncAsync(u, m), "an answer to "+gateway)
		if known[gateway] == nil {
			known[gateway] = map[uint32]string{}
		}
		place.EachPrefill(r.Readings, []string{"a", "b"}, func(server string, key uint32) {
			known[gateway][key] = server
			rows[gateway]++
		})
		if !r.Listed {
			r.Lister, r.Version = before.Lister, before.Version
		}
		held[gateway] = r
	}
	everyone := func() {
		ask(leader, "g0")
		ask(first, "g1")
		ask(second, "g2")
	}
	everyone()
	ask(first, "g1", protocol.Prefill{Server: "b", Links: []uint32{7}})
	ask(leader, "g0", protocol.Prefill{Server: "a", Links: []uint32{8}})
	everyone()
	everyone()
	want := map[uint32]string{7: "b", 8: "a"}
	for gateway, got := range known {
		if !cmp.Equal(got, want) || rows[gateway] != len(want) {
			t.Errorf("%s received readings %v in %d rows, want %v, each once", gateway, got, rows[gateway], want)
		}
	}
}

// TestStoppedRelayAnswersImmediately checks that a request that arrives after the relay has
// stopped does not wait for an answer that never comes.
func TestStoppedRelayAnswersImmediately(t *testing.T) {
	_, _, w := newLeader(1)
	u := newUplink(newFakeGroup())
	ctx, stop := context.WithCancel(t.Context())
	stop()
	relay := NewRelay(u, w, "ended", "10.0.0.9:7000", metrics.NewRegistry())
	if err := relay.Run(ctx); err != nil {
		t.Fatal(err)
	}
	answer := make(chan protocol.SyncReply, 1)
	go func() {
		var reply protocol.SyncReply
		relay.sync(protocol.SyncMsg{Gateway: "g", Relayed: true}, &reply)
		answer <- reply
	}()
	if got := receive(t, answer, "an answer"); got.Leads {
		t.Errorf("got valid answer %+v", got)
	}
}
