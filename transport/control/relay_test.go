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

const leaderAt = "10.0.0.9:7000"

// wire is the way from relays to the leaders, which a test can hold or break.
type wire struct {
	mu      sync.Mutex
	leaders map[string]*Uplink
	leader  string
	fail    bool
	hold    chan struct{} // hold keeps answers back until it is closed; nil keeps none.
	batches []protocol.BatchMsg
	arrived chan struct{} // arrived receives that a batch was answered, before it is held.
}

func (w *wire) Call(address, method string, args, reply any, _ time.Duration) error {
	m, _ := args.(protocol.BatchMsg)
	w.mu.Lock()
	u, fail, hold := w.leaders[address], w.fail, w.hold
	w.batches = append(w.batches, m)
	w.mu.Unlock()
	if m, ok := args.(protocol.LimitsMsg); ok && u != nil && !fail {
		return u.Limits(m, reply.(*protocol.LimitsReply))
	}
	if u == nil || fail || method != "Uplink.Batch" {
		return errors.New("no answer")
	}
	err := u.Batch(m, reply.(*protocol.BatchReply))
	select {
	case w.arrived <- struct{}{}:
	default:
	}
	if hold != nil {
		<-hold
	}
	return err
}

func (w *wire) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

func (w *wire) peers() (string, []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leader, []string{leaderAt, "10.0.0.1:7000"}
}

var twoRegions = topology.New(map[string]string{"a1": "a", "b1": "b"})

// newLeader returns a leader of a term and the wire to it.
func newLeader(term uint64) (*Uplink, *fakeGroup, *wire) {
	g := newFakeGroup()
	g.term = term
	w := &wire{leader: leaderAt, arrived: make(chan struct{}, 100), leaders: map[string]*Uplink{}}
	u := NewUplink(g, w.peers, parse, 8*time.Second, WithTopology(twoRegions))
	w.leaders[leaderAt] = u
	return u, g, w
}

// newRelayOf returns a control instance that relays over a wire, and its group. Its
// batches are overdue only after the patience of the tests, so that a process which
// stands still for a moment decides nothing; options change it.
func newRelayOf(t *testing.T, w *wire, name string, opts ...func(*Relay)) (*Uplink, *fakeGroup) {
	t.Helper()
	g := newFakeGroup()
	g.leads = false
	u := NewUplink(g, w.peers, parse, 8*time.Second, WithTopology(twoRegions))
	r := NewRelay(u, w, name, name+":7000", metrics.NewRegistry())
	r.slack = patience
	for _, opt := range opts {
		opt(r)
	}
	var loop sync.WaitGroup
	loop.Go(func() { _ = r.Run(t.Context()) })
	t.Cleanup(loop.Wait)
	return u, g
}

// usualSlack has batches be overdue as soon as they are in use.
func usualSlack(r *Relay) { r.slack = batchSlack }

// asked asks a control instance as a gateway that has a relay, and delivers the answer.
func asked(u *Uplink, m protocol.SyncMsg) <-chan protocol.SyncReply {
	m.Relayed = true
	answer := make(chan protocol.SyncReply, 1)
	go func() {
		var reply protocol.SyncReply
		_ = u.Sync(m, &reply)
		answer <- reply
	}()
	return answer
}

func within[T any](t *testing.T, c <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(patience):
		t.Fatalf("%s: nothing came", what)
		panic("unreachable")
	}
}

// gatewayCopy is what a gateway holds, taken from answers as its client does.
type gatewayCopy struct {
	m        protocol.SyncMsg
	document string
	servers  []protocol.Instance
	loads    []byte
}

func (g *gatewayCopy) take(r *protocol.SyncReply) error {
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

// TestRelaysAnswerAsTheLeader checks over random lists, documents and moves of two
// gateways between two relays and the leader that each answer leaves the gateway with
// what the leader has.
func TestRelaysAnswerAsTheLeader(t *testing.T) {
	leader, _, w := newLeader(3)
	a, _ := newRelayOf(t, w, "a")
	b, _ := newRelayOf(t, w, "b")
	instances := []*Uplink{leader, a, b}
	number := uint64(0)
	gateways := map[string]*gatewayCopy{}
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
					g = &gatewayCopy{m: protocol.SyncMsg{Gateway: name, Domain: "a1"}}
					gateways[name] = g
				}
				g.m.Running = []protocol.ServerLoad{{Server: fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "server")), Running: 1}}
				leader.mu.Lock()
				leader.common = common{} // As if some time had passed.
				leader.mu.Unlock()
				r := <-asked(rapid.SampledFrom(instances).Draw(t, "instance"), g.m)
				if !r.Leads || r.Term != 3 {
					t.Fatalf("answer %+v", r)
				}
				if err := g.take(&r); err != nil {
					t.Fatal(err)
				}
				leader.mu.Lock()
				want := fmt.Sprintf("document %d", number)
				if number > 0 && g.document != want {
					t.Errorf("holds %q, want %q", g.document, want)
				}
				if leader.listed && !sameServers(sortedByID(leader.servers), g.servers) {
					t.Errorf("holds the servers %v, want %v", g.servers, leader.servers)
				}
				if diff := cmp.Diff(leader.vector.Values(), g.loads); r.Loaded.Version > 0 && diff != "" {
					t.Errorf("holds other loads: %s", diff)
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

// TestRelayAsksBehindTheQuestion checks that a question which comes in while a batch is
// under way is not answered by that batch's answer: what the leader vouched for may be
// older than the question.
func TestRelayAsksBehindTheQuestion(t *testing.T) {
	leader, _, w := newLeader(3)
	relay, _ := newRelayOf(t, w, "a")
	leader.Install(5, []byte("five"))
	w.hold = make(chan struct{})
	first := asked(relay, protocol.SyncMsg{Gateway: "g", Lister: 1})
	within(t, w.arrived, "the first batch") // The leader has vouched for document 5.
	leader.Install(6, []byte("six"))
	second := asked(relay, protocol.SyncMsg{Gateway: "h", Lister: 1})
	within(t, w.arrived, "the second batch")
	close(w.hold)
	w.set(func() { w.hold = nil })
	if r := within(t, first, "the first answer"); !r.Leads || r.Number < 5 {
		t.Errorf("the first got %+v", r)
	}
	if r := within(t, second, "the second answer"); !r.Leads || r.Number != 6 {
		t.Errorf("the second got document %d, leads %v; 6 was accepted before it asked", r.Number, r.Leads)
	}
}

// TestCutRelayTellsAtOnce checks that a relay which the leader does not answer tells the
// gateways that wait, and those that come meanwhile, that it cannot vouch and who leads,
// and that it answers again once the leader does. No answer of it counts meanwhile, so
// that a key which was taken away is refused within the bound: that rests on the time of
// the last question whose answer counted.
func TestCutRelayTellsAtOnce(t *testing.T) {
	leader, _, w := newLeader(3)
	relay, _ := newRelayOf(t, w, "a", usualSlack)
	leader.Install(5, []byte("the key stands"))
	if r := within(t, asked(relay, protocol.SyncMsg{Gateway: "g", Lister: 1}), "the first answer"); !r.Leads || r.Leader != leaderAt {
		t.Fatalf("got %+v", r)
	}
	hold := make(chan struct{})
	w.set(func() { w.hold = hold })
	waits := asked(relay, protocol.SyncMsg{Gateway: "g", Number: 5, Lister: 1})
	within(t, w.arrived, "the batch")
	leader.Install(6, []byte("the key is gone"))
	if r := within(t, waits, "while the leader is silent"); r.Leads || r.Leader != leaderAt {
		t.Errorf("one that waited got %+v", r)
	}
	if r := within(t, asked(relay, protocol.SyncMsg{Gateway: "h", Lister: 1}), "while the leader is silent"); r.Leads || r.Leader != leaderAt {
		t.Errorf("one that came later got %+v", r)
	}
	if s := relay.relay.Load().State(); !s.Overdue {
		t.Errorf("state %+v", s)
	}
	w.set(func() { w.hold = nil })
	close(hold)
	end := time.Now().Add(patience)
	for {
		r := within(t, asked(relay, protocol.SyncMsg{Gateway: "g", Number: 5, Lister: 1}), "once the leader answers")
		if r.Leads {
			if r.Number != 6 || len(r.Document) == 0 {
				t.Errorf("got document %d", r.Number)
			}
			return
		}
		if time.Now().After(end) {
			t.Fatal("it never answers again")
		}
	}
}

// TestLeaderChangesUnderARelay checks that a relay whose leader is gone tells so, and
// then answers for the next one, which gets its whole sums.
func TestLeaderChangesUnderARelay(t *testing.T) {
	first, firstGroup, w := newLeader(3)
	relay, group := newRelayOf(t, w, "a")
	first.Install(5, nil)
	m := protocol.SyncMsg{Gateway: "g", Lister: 1, Domain: "a1", Running: []protocol.ServerLoad{{Server: "s", Running: 4}}}
	for range 2 {
		if r := within(t, asked(relay, m), "the first leader"); !r.Leads || r.Term != 3 {
			t.Fatalf("got %+v", r)
		}
	}
	firstGroup.set(3, false)
	if r := within(t, asked(relay, m), "no leader"); r.Leads {
		t.Errorf("an instance that leads no more vouched: %+v", r)
	}
	w.set(func() { w.leader = "" })
	if r := within(t, asked(relay, m), "no leader"); r.Leads || r.Leader != "" {
		t.Errorf("got %+v", r)
	}
	next, _, _ := newLeader(4)
	next.Install(6, nil)
	w.set(func() { w.leader, w.leaders["10.0.0.8:7000"] = "10.0.0.8:7000", next })
	group.set(4, false)
	if r := within(t, asked(relay, m), "the next leader"); !r.Leads || r.Term != 4 || r.Number != 6 {
		t.Errorf("got %+v", r)
	}
	if n := next.loads.Running("s"); n != 4 {
		t.Errorf("the next leader knows of %d requests, 4 are under way", n)
	}
}

// TestWhatOnlyChangedCrosses checks that the second batch of a relay holds no sums that
// the leader has, and that a leader that does not hold them asks for the whole.
func TestWhatOnlyChangedCrosses(t *testing.T) {
	leader, _, w := newLeader(3)
	relay, _ := newRelayOf(t, w, "a")
	m := protocol.SyncMsg{Gateway: "g", Lister: 1, Domain: "a1", Running: []protocol.ServerLoad{{Server: "s", Running: 4}, {Server: "t", Running: 1}}}
	ask := func() protocol.BatchMsg {
		t.Helper()
		within(t, asked(relay, m), "an answer")
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.batches[len(w.batches)-1]
	}
	if b := ask(); b.Base != 0 || len(b.Sums.Running) != 2 || len(b.Sums.Counted) != 1 {
		t.Errorf("first %+v", b)
	}
	m.Running[1].Running = 2
	if b := ask(); b.Base == 0 || len(b.Sums.Running) != 1 || len(b.Sums.Counted) != 0 {
		t.Errorf("second %+v", b)
	}
	leader.mu.Lock()
	delete(leader.relays, "a") // As if the relay had been silent for long.
	leader.loads.DropRelay("a")
	leader.mu.Unlock()
	ask()
	if b := ask(); b.Base != 0 || len(b.Sums.Running) != 2 {
		t.Errorf("after the leader forgot %+v", b)
	}
	if leader.loads.Running("s") != 4 || leader.loads.Running("t") != 2 {
		t.Errorf("the leader knows of %d and %d", leader.loads.Running("s"), leader.loads.Running("t"))
	}
}

// TestUsageThroughRelaysCountsOnce checks that counts which a gateway tells at one
// relay, another, and the leader count once, also where a relay dies with its answer.
func TestUsageThroughRelaysCountsOnce(t *testing.T) {
	leader, _, w := newLeader(3)
	a, _ := newRelayOf(t, w, "a")
	b, _ := newRelayOf(t, w, "b")
	m := protocol.SyncMsg{Gateway: "g", Life: 1, Lister: 1, Usage: []protocol.UsageRow{{Window: 9, Workspace: "w", Count: 40}}}
	for _, u := range []*Uplink{a, b, leader, a} {
		within(t, asked(u, m), "an answer")
	}
	m.Usage[0].Count = 41
	within(t, asked(b, m), "an answer")
	if got := leader.Used(9)["w"]; got != 41 {
		t.Errorf("counted %d, want 41", got)
	}
	const length = time.Second
	window := usage.Window(time.Now(), length)
	told := func() int {
		leader.mu.Lock()
		defer leader.mu.Unlock()
		return leader.marks.Known() - len(leader.marks.Missing(window, length))
	}
	m.Counted = usage.End(window, length)
	within(t, asked(a, m), "an answer")
	if told() != 0 {
		t.Error("counts that were told for another term count as all that the gateway has")
	}
	m.Term = 3
	within(t, asked(a, m), "an answer")
	if told() != 1 {
		t.Error("the leader does not know that a relay's gateway has told all of a window")
	}
}

// TestQuotaThroughRelays checks that what relays and the leader grant together is what
// the leader alone would have granted.
func TestQuotaThroughRelays(t *testing.T) {
	granted := func(instances ...*Uplink) float64 {
		total := 0.0
		for i := range 12 {
			m := protocol.SyncMsg{Gateway: fmt.Sprint("g", i), Lister: 1, Wants: []protocol.QuotaRequest{{Workspace: "w", Units: 400, Waiting: 400}}}
			r := within(t, asked(instances[i%len(instances)], m), "an answer")
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
	a, _ := newRelayOf(t, w, "a")
	b, _ := newRelayOf(t, w, "b")
	began := time.Now()
	want, got := granted(direct), granted(a, b, leader)
	const rate = 1000.0 // rate is what the quota gives in a second.
	if slack := rate * time.Since(began).Seconds(); math.Abs(want-got) > slack+1 || got == 0 {
		t.Errorf("granted %.0f through relays, %.0f without", got, want)
	}
}

// TestEndsGoToTheirPlacer checks that a relay places prompts of its own, and that the
// end of a request which another instance placed under the same number changes nothing.
func TestEndsGoToTheirPlacer(t *testing.T) {
	leader, _, w := newLeader(3)
	relay, _ := newRelayOf(t, w, "a")
	leader.SetServers(3, []protocol.Instance{{ID: "x", Service: "s", Slots: 4}, {ID: "y", Service: "s", Slots: 4}, {ID: "z", Service: "s", Slots: 4}})
	within(t, asked(relay, protocol.SyncMsg{Gateway: "g"}), "an answer")
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
		within(t, asked(relay, protocol.SyncMsg{Gateway: "g", Done: []protocol.PlaceDone{{Term: p.Term, Number: p.Number, Placer: p.Placer}}}), "an answer")
	}
	other, first := next(leader), next(relay)
	if other.Number != first.Number || other.Placer == first.Placer {
		t.Fatalf("placed %+v and %+v", other, first)
	}
	end(other)
	if second := next(relay); second.Server == first.Server {
		t.Errorf("%s got both while others were free", first.Server)
	}
	end(first)
	if third := next(relay); third.Server != first.Server {
		t.Errorf("placed at %s, though %s was free again", third.Server, first.Server)
	}
}

// TestOvertakenAnswers checks that batches under way at once leave the relay with what
// the leader had for the latest one, in whatever order their answers come, and that
// each question is answered no older than its own batch was.
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
		g := &gatewayCopy{m: protocol.SyncMsg{Gateway: "g", Domain: "a1"}}
		number := uint64(0)
		// What the leader had when it answered the latest batch.
		listed, servers, loads := false, []protocol.Instance(nil), []byte(nil)
		answer := func(i int) {
			x := batches[i]
			batches = append(batches[:i], batches[i+1:]...)
			r.take(x.b, &x.reply, time.Millisecond)
			a := <-x.b.list[0].answer
			if !a.Leads || a.Number < x.number {
				t.Fatalf("answer %+v to a batch for which %d was vouched for", a, x.number)
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
				q := &question{m: g.m, at: clock.Now(), answer: make(chan protocol.SyncReply, 1)}
				x := &underWay{b: &exchange{leader: leaderAt, list: []*question{q}}, number: number}
				x.b.m, _ = r.compose(leaderAt, x.b.list)
				leader.mu.Lock()
				leader.common = common{} // As if some time had passed.
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
		if listed && !sameServers(servers, r.copies.servers) {
			t.Fatalf("holds %v, the leader had %v", r.copies.servers, servers)
		}
		if diff := cmp.Diff(loads, r.copies.vector.Values(), cmpopts.EquateEmpty()); diff != "" {
			t.Fatalf("holds other loads: %s", diff)
		}
	})
}

// TestTrialThroughRelays checks that the credits of a version on trial that relays hand
// out are those that the leader granted: the same at each instance, never more together
// than the share and the slack allow, and that the roll-out's end reaches the gateway.
func TestTrialThroughRelays(t *testing.T) {
	r := newRolling(t)
	w := &wire{leader: leaderAt, arrived: make(chan struct{}, 100), leaders: map[string]*Uplink{leaderAt: r.uplink}}
	a, _ := newRelayOf(t, w, "a")
	b, _ := newRelayOf(t, w, "b")
	r.uplink.mu.Lock()
	r.uplink.enter(1)
	r.uplink.entered = clock.Now().Add(-time.Hour)
	r.uplink.mu.Unlock()
	const arrived = 1000
	ask := func(u *Uplink, name string, wants int) protocol.SyncReply {
		t.Helper()
		return within(t, asked(u, protocol.SyncMsg{Gateway: name, Life: 1, Rollouts: 1, Trials: []protocol.TrialReport{{Number: 1, Arrived: arrived, Wants: wants}}}), "an answer")
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
		t.Errorf("its end is told as %+v, %+v", got.Rollouts, got.Trials)
	}
}

// TestReadingsPassThroughRelays checks that gateways of relays and of the leader learn
// which server was given what to read by any of them, and that a relay is not told by
// the leader what it passed on itself.
func TestReadingsPassThroughRelays(t *testing.T) {
	leader, _, w := newLeader(1)
	leader.SetServers(1, []protocol.Instance{{ID: "a", Service: "s"}, {ID: "b", Service: "s"}})
	first, _ := newRelayOf(t, w, "first")
	second, _ := newRelayOf(t, w, "second")
	held, known, rows := map[string]protocol.SyncReply{}, map[string]map[uint32]string{}, map[string]int{}
	ask := func(u *Uplink, gateway string, told ...protocol.Prefill) {
		before := held[gateway]
		m := protocol.SyncMsg{Gateway: gateway, Relayed: true, Readings: told, ReadingsAt: before.ReadingsAt, Lister: before.Lister, Servers: before.Version}
		r := within(t, asked(u, m), "an answer to "+gateway)
		if known[gateway] == nil {
			known[gateway] = map[uint32]string{}
		}
		place.EachReading(r.Readings, []string{"a", "b"}, func(server string, key uint32) {
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
			t.Errorf("%s is told %v in %d rows, want %v, each once", gateway, got, rows[gateway], want)
		}
	}
}

// TestEndedRelayAnswersAtOnce checks that a question which comes behind a relay's end
// does not wait for an answer that nobody gives.
func TestEndedRelayAnswersAtOnce(t *testing.T) {
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
	if got := within(t, answer, "an answer"); got.Leads {
		t.Errorf("answered %+v", got)
	}
}
