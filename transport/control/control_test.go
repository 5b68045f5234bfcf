package control

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/weldstream/weldstream/coordination/scale"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/state"
)

// patience bounds what a test waits for.
const patience = 10 * time.Second

// fakeGroup is a group of this instance alone, which leads as the test says.
type fakeGroup struct {
	mu      sync.Mutex
	machine *state.Machine
	term    uint64
	leads   bool
	asks    int // asks is after how many more questions it leads no more; 0 for never.
	changed chan struct{}
}

func newFakeGroup() *fakeGroup {
	return &fakeGroup{machine: state.NewMachine(), term: 1, leads: true, changed: make(chan struct{})}
}

func (g *fakeGroup) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

func (g *fakeGroup) Vouches() (uint64, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.asks > 0 {
		if g.asks--; g.asks == 0 {
			g.leads = false
		}
	}
	return g.term, g.leads
}

func (g *fakeGroup) Propose(_ context.Context, c protocol.Command) (protocol.Result, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.leads {
		return protocol.Result{}, errors.New("does not lead")
	}
	return g.machine.Apply(&c), nil
}

func (g *fakeGroup) set(term uint64, leads bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.term, g.leads = term, leads
	close(g.changed)
	g.changed = make(chan struct{})
}

// report is one that the platform got.
type report struct {
	duty   Duty
	window int64
	counts map[string]int64
}

// fakeSource is a platform that keeps the reports and fails as the test says.
type fakeSource struct {
	mu      sync.Mutex
	fail    error
	reports []report
}

func (s *fakeSource) List(context.Context) ([]protocol.Instance, int, error) { return nil, 1, nil }

func (s *fakeSource) Report(_ context.Context, d Duty, window int64, counts map[string]int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports = append(s.reports, report{d, window, counts})
	return s.fail
}

func (s *fakeSource) Order(context.Context, Duty, Order) error { return nil }

func parse(number uint64, _ []byte) (*protocol.Catalog, error) {
	return &protocol.Catalog{Number: number, Workspaces: []protocol.WorkspaceSpec{{Name: "w", Rate: 1000, Burst: 1000}}}, nil
}

func noPeers() (string, []string) { return "10.0.0.1:7000", []string{"10.0.0.1:7000", "10.0.0.2:7000"} }

func newUplink(g Group) *Uplink { return NewUplink(g, noPeers, parse, 8*time.Second) }

func sync1(t *testing.T, u *Uplink, m protocol.SyncMsg) protocol.SyncReply {
	t.Helper()
	var reply protocol.SyncReply
	if err := u.Sync(m, &reply); err != nil {
		t.Fatal(err)
	}
	return reply
}

// TestOnlyALeaderAnswers checks that an instance that cannot vouch for the newest
// document hands out nothing but whom to ask.
func TestOnlyALeaderAnswers(t *testing.T) {
	g := newFakeGroup()
	u := newUplink(g)
	u.Install(5, []byte("document"))
	g.set(1, false)
	got := sync1(t, u, protocol.SyncMsg{Gateway: "g"})
	if want := (protocol.SyncReply{Leader: "10.0.0.1:7000", Controls: []string{"10.0.0.1:7000", "10.0.0.2:7000"}}); !cmp.Equal(got, want) {
		t.Error(cmp.Diff(want, got))
	}
}

// TestLeaderIsNamedOnceKnown checks that a question for the leader is kept while none
// is known, and while the only one known is silent, and answered as soon as there is
// another.
func TestLeaderIsNamedOnceKnown(t *testing.T) {
	g := newFakeGroup()
	var mu sync.Mutex
	leader := ""
	asked := make(chan struct{}, 1) // asked receives that the question was looked at.
	u := NewUplink(g, func() (string, []string) {
		mu.Lock()
		defer mu.Unlock()
		select {
		case asked <- struct{}{}:
		default:
		}
		return leader, []string{"a", "b"}
	}, parse, time.Second)
	elect := func(name string) {
		mu.Lock()
		leader = name
		mu.Unlock()
		g.set(g.term, false) // Another instance than the one that is asked.
	}
	for _, c := range []struct{ known, besides, next, want string }{
		{"", "", "a", "a"},
		{"a", "a", "b", "b"},
		{"b", "a", "b", "b"},
	} {
		elect(c.known)
		select { // Of the case before.
		case <-asked:
		default:
		}
		reply := make(chan protocol.LeaderReply, 1)
		go func() {
			var r protocol.LeaderReply
			_ = u.Leader(protocol.LeaderMsg{Besides: c.besides}, &r)
			reply <- r
		}()
		<-asked
		elect(c.next)
		select {
		case r := <-reply:
			if r.Leader != c.want || len(r.Controls) != 2 {
				t.Errorf("%+v: got %+v", c, r)
			}
		case <-time.After(patience):
			t.Fatalf("%+v: no answer", c)
		}
	}
}

// TestLeaderNamesItself checks that an instance that leads says so also to a gateway that
// takes it for silent: it has come back.
func TestLeaderNamesItself(t *testing.T) {
	g := newFakeGroup()
	u := newUplink(g)
	for _, leads := range []bool{true, false} {
		g.set(2, leads)
		var r protocol.LeaderReply
		if err := u.Leader(protocol.LeaderMsg{Besides: "10.0.0.1:7000"}, &r); err != nil {
			t.Fatal(err)
		}
		if named := r.Leader == "10.0.0.1:7000"; named != leads {
			t.Errorf("leads %v: names %q", leads, r.Leader)
		}
	}
}

// TestFirstListIsAwaited checks that a gateway without a list gets it with the
// document if it is read while the gateway asks, and the document alone if not.
func TestFirstListIsAwaited(t *testing.T) {
	u := newUplink(newFakeGroup())
	u.Install(5, []byte("document"))
	began := time.Now()
	if got := sync1(t, u, protocol.SyncMsg{Gateway: "g"}); got.Listed || got.Number != 5 || !got.Leads || time.Since(began) < listHold {
		t.Errorf("without a list it got %+v after %v", got, time.Since(began))
	}
	reply := make(chan protocol.SyncReply, 1)
	go func() { reply <- sync1(t, u, protocol.SyncMsg{Gateway: "g"}) }()
	u.SetServers(1, []protocol.Instance{{ID: "a"}})
	if got := <-reply; !got.Listed || got.Number != 5 {
		t.Errorf("got %+v", got)
	}
}

// TestOnlyWhatIsNewer checks that a gateway gets the document and the list once.
func TestOnlyWhatIsNewer(t *testing.T) {
	u := newUplink(newFakeGroup())
	u.Install(5, []byte("document"))
	u.SetServers(1, []protocol.Instance{{ID: "a", ColdMS: 500}})
	first := sync1(t, u, protocol.SyncMsg{Gateway: "g"})
	data, err := Unpack(first.Document)
	if err != nil || string(data) != "document" || first.Number != 5 || !first.Listed || !first.Leads {
		t.Fatalf("got %+v, %q, %v", first, data, err)
	}
	u.SetServers(1, []protocol.Instance{{ID: "a", ColdMS: 400}}) // Says nothing new.
	again := sync1(t, u, protocol.SyncMsg{Gateway: "g", Number: 5, Lister: first.Lister, Servers: first.Version})
	if len(again.Document) > 0 || again.Listed {
		t.Errorf("got again %+v", again)
	}
	u.SetServers(1, nil)
	empty := sync1(t, u, protocol.SyncMsg{Gateway: "g", Number: 5, Lister: first.Lister, Servers: first.Version})
	if list, err := UnpackList(empty.List); err != nil || !empty.Listed || len(list.Servers) != 0 || len(list.Gone) != 1 {
		t.Errorf("an empty list came as %+v, %v", list, err)
	}
}

// TestANewTermForgets checks that a new leader's quotas do not begin full, and
// that it counts the gateways anew. A full bucket of this quota gives 1045 units.
func TestANewTermForgets(t *testing.T) {
	g := newFakeGroup()
	u := newUplink(g)
	u.Install(5, nil)
	sync1(t, u, protocol.SyncMsg{Gateway: "a"})
	if got := sync1(t, u, protocol.SyncMsg{Gateway: "b"}); got.Gateways != 2 {
		t.Errorf("%d gateways, want 2", got.Gateways)
	}
	g.set(2, true)
	// With a list of its own the gateway is not kept waiting while the bucket fills.
	got := sync1(t, u, protocol.SyncMsg{Gateway: "a", Lister: 1, Wants: []protocol.QuotaRequest{{Workspace: "w", Units: 5000}}})
	if got.Gateways != 1 || len(got.Grants) != 1 || got.Grants[0].Units > 960 {
		t.Errorf("got %+v", got)
	}
}

func newDuties(g Group, s Source, holder string) *Duties {
	const window = 50 * time.Millisecond
	l := DutyConfig{Lease: 30 * time.Millisecond, UsageWindow: window, UsageDue: 2 * window, Usage: true}
	return NewDuties(l, holder, g, s, newUplink(g), zerolog.Nop())
}

// TestDutiesWaitOutTheFormerHolder checks that the first holder of all acts at
// once, that another one waits out the lease, and that one whose lease is over
// does not act.
func TestDutiesWaitOutTheFormerHolder(t *testing.T) {
	g := newFakeGroup()
	ctx := context.Background()
	a, b := newDuties(g, &fakeSource{}, "a"), newDuties(g, &fakeSource{}, "b")
	if !a.mayAct(ctx) {
		t.Error("the first holder did not act")
	}
	g.set(2, true)
	if b.mayAct(ctx) {
		t.Error("the next holder did not wait")
	}
	b.tenure.since = b.tenure.since.Add(-b.limits.Lease)
	if !b.mayAct(ctx) {
		t.Error("the next holder waited for longer than the lease")
	}
	g.set(3, true)
	if !b.mayAct(ctx) {
		t.Error("a holder that was its own former one waited")
	}
	g.set(3, false)
	if b.mayAct(ctx) {
		t.Error("acted without leading")
	}
}

// TestReportsRepeat checks that a report whose answer is lost is sent again with
// the same counts, though more came in meanwhile and another leader sends it.
func TestReportsRepeat(t *testing.T) {
	g := newFakeGroup()
	s := &fakeSource{fail: errors.New("no answer")}
	ctx := context.Background()
	a := newDuties(g, s, "a")
	if !a.mayAct(ctx) {
		t.Fatal("the first holder did not act")
	}
	a.uplink.ledger.Take("g", 1, []protocol.UsageRow{{Window: 1, Workspace: "w", Count: 3}})
	a.reportWindow(ctx, 1)
	a.uplink.ledger.Take("g", 1, []protocol.UsageRow{{Window: 1, Workspace: "w", Count: 9}})
	a.reportWindow(ctx, 1)
	g.set(2, true)
	b := newDuties(g, s, "b")
	b.mayAct(ctx)
	s.fail = nil
	if !b.reportWindow(ctx, 1) {
		t.Error("the report was not taken")
	}
	want := []report{
		{Duty{"a", 1}, 1, map[string]int64{"w": 3}},
		{Duty{"a", 1}, 1, map[string]int64{"w": 3}},
		{Duty{"b", 2}, 1, map[string]int64{"w": 3}},
	}
	if diff := cmp.Diff(want, s.reports, cmp.AllowUnexported(report{})); diff != "" {
		t.Error(diff)
	}
	b.reportWindow(ctx, 1)
	if len(s.reports) != len(want) {
		t.Error("a report that was taken was sent once more")
	}
}

// TestRefusedTokenIsNotUsedAgain checks that nothing is sent with a token that
// the platform refused.
func TestRefusedTokenIsNotUsedAgain(t *testing.T) {
	g := newFakeGroup()
	s := &fakeSource{fail: fmt.Errorf("call: %w", ErrFenced)}
	ctx := context.Background()
	a := newDuties(g, s, "a")
	a.mayAct(ctx)
	a.reportWindow(ctx, 1)
	a.reportWindow(ctx, 2)
	if a.mayAct(ctx) || len(s.reports) != 1 {
		t.Errorf("acts on after %d reports", len(s.reports))
	}
	g.set(2, true)
	s.fail = nil
	if !a.mayAct(ctx) || !a.reportWindow(ctx, 2) {
		t.Error("did not act with a newer token")
	}
}

// TestBaseWaitsForTheList checks that a first number of servers is settled only
// once the list stands still, and then for all leaders: a list read while
// servers start held two of nine.
func TestBaseWaitsForTheList(t *testing.T) {
	u := newUplink(newFakeGroup())
	u.catalog = &protocol.Catalog{Services: []protocol.ServiceSpec{{Name: "s", Scaling: &protocol.ScalingSpec{Max: 9}}}}
	f := NewFleet(u, zerolog.Nop())
	f.Settled("s", 0) // The log has none.
	now := clock.Now()
	list := []protocol.Instance{{ID: "1", Service: "s"}, {ID: "2", Service: "s"}}
	u.SetServers(1, list)
	if rows := f.Unsettled(now); len(rows) > 0 {
		t.Errorf("settled at once: %v", rows)
	}
	u.SetServers(1, append(list, protocol.Instance{ID: "3", Service: "s"}))
	now = now.Add(baseSteady - time.Millisecond)
	if rows := f.Unsettled(now); len(rows) > 0 {
		t.Errorf("settled while the list grew: %v", rows)
	}
	rows := f.Unsettled(now.Add(baseSteady))
	if len(rows) != 1 || rows[0].Servers != 3 {
		t.Errorf("settled %v, want 3 servers", rows)
	}
	f.Settled("s", 3)
	if rows := f.Unsettled(now.Add(2 * baseSteady)); len(rows) > 0 {
		t.Errorf("settled again: %v", rows)
	}
}

// TestBaseOutwaitsAPause walks through a list as it was seen to fill up: servers
// that start apart from one another leave it as it is for more than a second.
func TestBaseOutwaitsAPause(t *testing.T) {
	u := newUplink(newFakeGroup())
	u.catalog = &protocol.Catalog{Services: []protocol.ServiceSpec{{Name: "s", Scaling: &protocol.ScalingSpec{Max: 9}}}}
	f := NewFleet(u, zerolog.Nop())
	f.Settled("s", 0)
	began := time.Now()
	var list []protocol.Instance
	for _, step := range []struct {
		at      time.Duration
		servers int
	}{{0, 1}, {150 * time.Millisecond, 2}, {1200 * time.Millisecond, 2}, {1650 * time.Millisecond, 5}, {2100 * time.Millisecond, 9}} {
		for len(list) < step.servers {
			list = append(list, protocol.Instance{ID: string(rune('a' + len(list))), Service: "s"})
		}
		u.SetServers(1, list)
		if rows := f.Unsettled(began.Add(step.at)); len(rows) > 0 {
			t.Errorf("after %v settled %v", step.at, rows)
		}
	}
	if rows := f.Unsettled(began.Add(4 * time.Second)); len(rows) != 1 || rows[0].Servers != 9 {
		t.Errorf("settled %v, want 9 servers", rows)
	}
}

// TestCountsOutlastAll checks that counts which were logged are still there after
// the leader and all gateways were lost, and add to those of the gateways' next
// lives.
func TestCountsOutlastAll(t *testing.T) {
	g := newFakeGroup()
	ctx := context.Background()
	a := newDuties(g, &fakeSource{}, "a")
	if !a.mayAct(ctx) {
		t.Fatal("the first holder did not act")
	}
	now := time.Now().UnixNano() / int64(a.limits.UsageWindow)
	a.uplink.ledger.Take("g", 1, []protocol.UsageRow{{Window: now, Workspace: "w", Count: 40}})
	a.tally(ctx)
	g.set(2, true)
	b := newDuties(g, &fakeSource{}, "a")
	if !b.mayAct(ctx) {
		t.Fatal("the next holder did not act")
	}
	b.uplink.ledger.Take("g", 2, []protocol.UsageRow{{Window: now, Workspace: "w", Count: 9}})
	if got := b.uplink.Used(now)["w"]; got != 49 {
		t.Errorf("counted %d, want 49", got)
	}
}

// hangingSource is a platform whose reports get no answer until it is released.
type hangingSource struct {
	fakeSource
	asked   chan struct{}
	release chan struct{}
}

func (s *hangingSource) Report(context.Context, Duty, int64, map[string]int64) error {
	select {
	case s.asked <- struct{}{}:
	default: // It has been asked before.
	}
	<-s.release
	return errors.New("no answer")
}

// TestCountsAreLoggedBesideTheDuties checks that counts are logged while a call to the
// platform hangs: what a later leader knows of them rests on it, and for how long it
// takes nothing to have run.
func TestCountsAreLoggedBesideTheDuties(t *testing.T) {
	g := newFakeGroup()
	s := &hangingSource{asked: make(chan struct{}, 1), release: make(chan struct{})}
	d := newDuties(g, s, "a")
	d.limits.UsageWindow = time.Second // Longer than the pause between two logged states.
	ctx, stop := context.WithCancel(t.Context())
	var loops sync.WaitGroup
	loops.Go(func() { _ = d.RunReports(ctx) })
	<-s.asked // A report is under way.
	loops.Go(func() { _ = d.RunUsageLog(ctx) })
	window := time.Now().UnixNano() / int64(d.limits.UsageWindow)
	d.uplink.mu.Lock()
	d.uplink.ledger.Take("g", 1, []protocol.UsageRow{{Window: window, Workspace: "w", Count: 40}})
	d.uplink.mu.Unlock()
	limit := time.NewTimer(patience)
	defer limit.Stop()
	for logged := false; !logged; {
		result, err := g.Propose(ctx, protocol.Command{Tally: &protocol.TallyMsg{}})
		if err != nil {
			t.Fatal(err)
		}
		logged = len(result.Tally.Rows) > 0
		select {
		case <-limit.C:
			t.Fatal("the counts wait for the platform")
		default:
		}
	}
	stop()
	close(s.release)
	loops.Wait()
}

// TestQuotasBeginWithTheOutage checks that the quotas of a new leader begin with what
// their rates gave since the latest command was logged, less what a leader may do
// without logging it.
func TestQuotasBeginWithTheOutage(t *testing.T) {
	for _, c := range []struct{ quiet, want time.Duration }{{0, 300 * time.Millisecond}, {unlogged + 500*time.Millisecond, 500 * time.Millisecond}, {time.Hour, time.Second}} {
		u := NewUplink(newFakeGroup(), noPeers, parse, 8*time.Second, WithLogIdleTime(func() time.Duration { return c.quiet }))
		u.Install(5, nil)
		want := 2 * time.Second.Seconds() * 1000 // More than any bucket holds.
		got := sync1(t, u, protocol.SyncMsg{Gateway: "g", Lister: 1, Wants: []protocol.QuotaRequest{{Workspace: "w", Units: want}}}).Grants[0].Units
		const rate, ahead = 1000, 600 // ahead is what a request may take of what is to come.
		if least := rate * c.want.Seconds(); got < least+ahead || got > least+ahead+rate/10 {
			t.Errorf("after %v without a command %.0f units are granted", c.quiet, got)
		}
	}
}

// TestBaseIgnoresOwnOrders checks that reclaimable servers, which the planner
// orders before the first number is settled, do not count for it: they doubled
// it (184 for 90) where the list took long to fill up.
func TestBaseIgnoresOwnOrders(t *testing.T) {
	u := newUplink(newFakeGroup())
	u.catalog = &protocol.Catalog{Services: []protocol.ServiceSpec{{Name: "s", Scaling: &protocol.ScalingSpec{Max: 9}}}}
	f := NewFleet(u, zerolog.Nop())
	f.Settled("s", 0) // The log has none.
	now := clock.Now()
	u.SetServers(1, []protocol.Instance{{ID: "1", Service: "s"}, {ID: "2", Service: "s", Market: scale.MarketReclaimable}, {ID: "3", Service: "s", Market: scale.MarketReclaimable}})
	f.Unsettled(now)
	rows := f.Unsettled(now.Add(baseSteady))
	if len(rows) != 1 || rows[0].Servers != 1 {
		t.Errorf("settled %v, want 1 server", rows)
	}
}

// TestLeaseThatEndsMeanwhile checks that an answer does not count when the lease
// ran out while it was made.
func TestLeaseThatEndsMeanwhile(t *testing.T) {
	g := newFakeGroup()
	u := newUplink(g)
	u.Install(5, nil)
	g.asks = 2
	if got := sync1(t, u, protocol.SyncMsg{Gateway: "g"}); got.Leads {
		t.Errorf("got %+v", got)
	}
}

// TestPlaceNeedsALeader checks that only a leader with a list places prompts.
func TestPlaceNeedsALeader(t *testing.T) {
	g := newFakeGroup()
	u := newUplink(g)
	ask := func() protocol.PlaceReply {
		var reply protocol.PlaceReply
		if err := u.Place(protocol.PlaceMsg{Service: "s", Prompt: 9000}, &reply); err != nil {
			t.Fatal(err)
		}
		return reply
	}
	if got := ask(); got.Server != "" {
		t.Errorf("without a list: %+v", got)
	}
	u.SetServers(1, []protocol.Instance{{ID: "a", Service: "s"}})
	if got := ask(); got.Server != "a" || got.Term != 1 {
		t.Errorf("with one: %+v", got)
	}
	g.set(1, false)
	if got := ask(); got.Server != "" {
		t.Errorf("without leading: %+v", got)
	}
}

// TestNextLeaderPlansFromTheLog checks that a leader which comes later orders
// nothing before it knows the settled first number: by what the list shows then,
// reclaimable servers and few others, it let most of the fleet go.
func TestNextLeaderPlansFromTheLog(t *testing.T) {
	g := newFakeGroup()
	ctx := context.Background()
	if _, err := g.Propose(ctx, protocol.Command{Base: &protocol.BaselineMsg{Service: "s", Servers: 18}}); err != nil {
		t.Fatal(err)
	}
	d := newDuties(g, &fakeSource{}, "b")
	d.fleet = NewFleet(d.uplink, zerolog.Nop())
	d.uplink.catalog = &protocol.Catalog{Services: []protocol.ServiceSpec{{Name: "s", Slots: 16, Scaling: &protocol.ScalingSpec{Max: 10, DomainPrices: map[string]float64{"a": 1, "b": 1, "c": 1}}}}}
	var list []protocol.Instance
	for i := range 27 {
		list = append(list, protocol.Instance{ID: fmt.Sprint(i), Service: "s", Domain: string(rune('a' + i%3)), Market: scale.MarketReclaimable})
	}
	list = append(list, protocol.Instance{ID: "full", Service: "s", Domain: "a"})
	d.uplink.SetServers(1, list)
	if !d.mayAct(ctx) {
		t.Fatal("does not act")
	}
	d.settleBases(ctx)
	for _, o := range d.fleet.Plan(clock.Now()) {
		if o.Reclaimable && o.Count < 9 {
			t.Errorf("ordered %+v where 9 serve", o)
		}
	}
	if got := d.fleet.bases["s"]; got != 18 {
		t.Errorf("plans from %d servers, 18 are settled", got)
	}
}

// TestListKeepsToTheRate checks that a list of many pages is read so seldom that
// its calls stay below the platform's rate.
func TestListKeepsToTheRate(t *testing.T) {
	for calls, want := range map[int]time.Duration{1: listEvery, 60: 2500 * time.Millisecond} {
		d := &Duties{limits: DutyConfig{ListRate: 40}}
		if got := d.listPause(calls); got != want {
			t.Errorf("%d calls: a pause of %v, want %v", calls, got, want)
		}
	}
}

// TestOlderDocumentChangesNothing checks that a document which comes late does
// not take the place of a newer one.
func TestOlderDocumentChangesNothing(t *testing.T) {
	u := newUplink(newFakeGroup())
	for _, number := range []uint64{5, 4} {
		u.Install(number, []byte(fmt.Sprint(number)))
	}
	got := sync1(t, u, protocol.SyncMsg{Gateway: "g"})
	if data, err := Unpack(got.Document); err != nil || string(data) != "5" || got.Number != 5 || u.Catalog().Number != 5 {
		t.Errorf("number %d with %q, %v", got.Number, data, err)
	}
}

// TestEndsOfAnotherTerm checks that the end of a request placed in another term
// does not end one of this term that has the same number: its server stays the
// fuller one until its own end is told.
func TestEndsOfAnotherTerm(t *testing.T) {
	u := newUplink(newFakeGroup())
	u.SetServers(1, []protocol.Instance{{ID: "a", Service: "s", Slots: 4}, {ID: "b", Service: "s", Slots: 4}, {ID: "c", Service: "s", Slots: 4}})
	next := func() protocol.PlaceReply {
		var reply protocol.PlaceReply
		m := protocol.PlaceMsg{Service: "s", Prompt: 1, Answer: 1_000_000, Parts: protocol.LaneShares{Tokens: 1}, Target: time.Second, Gap: time.Second}
		if err := u.Place(m, &reply); err != nil || reply.Server == "" {
			t.Fatalf("placed %+v, %v", reply, err)
		}
		return reply
	}
	end := func(term, number uint64) {
		sync1(t, u, protocol.SyncMsg{Gateway: "g", Done: []protocol.PlaceDone{{Term: term, Number: number, Placer: u.incarnation}}})
	}
	first := next()
	end(first.Term+1, first.Number)
	second := next()
	if second.Server == first.Server {
		t.Errorf("%s got both while another was free", first.Server)
	}
	end(first.Term, first.Number)
	if third := next(); third.Server != first.Server {
		t.Errorf("placed at %s, though %s was free again", third.Server, first.Server)
	}
}

// TestSilentGatewayCountsNoMore checks that a gateway which asks no more leaves
// its part of the budgets to the others.
func TestSilentGatewayCountsNoMore(t *testing.T) {
	u := newUplink(newFakeGroup())
	sync1(t, u, protocol.SyncMsg{Gateway: "a"})
	u.gateways["a"].at = clock.Now().Add(-2 * gatewayKept)
	if got := sync1(t, u, protocol.SyncMsg{Gateway: "b"}); got.Gateways != 1 {
		t.Errorf("%d gateways count", got.Gateways)
	}
}

// TestLateListIsTold checks that gateways are told while the list was not read in time, and
// that a failed reading puts nothing off. A leader has some time for its first reading.
func TestLateListIsTold(t *testing.T) {
	u := newUplink(newFakeGroup())
	late := func() bool { return sync1(t, u, protocol.SyncMsg{Gateway: "g", Lister: 1}).ListLate }
	if late() {
		t.Error("late at the beginning of a term")
	}
	for _, c := range []struct {
		read  bool
		after time.Duration
		want  bool
	}{{true, -time.Hour, true}, {false, time.Hour, true}, {true, time.Hour, false}, {false, -time.Hour, false}} {
		u.ExpectList(1, c.read, c.after)
		if got := late(); got != c.want {
			t.Errorf("%+v: late %v", c, got)
		}
	}
}

// TestListOfAnEarlierTerm checks that a list which was asked for in an earlier term and came
// late changes nothing: the gateways' reports of the term would be forgotten with it.
func TestListOfAnEarlierTerm(t *testing.T) {
	g := newFakeGroup()
	u := newUplink(g)
	g.set(2, true)
	u.SetServers(2, []protocol.Instance{{ID: "a", Service: "s"}})
	sync1(t, u, protocol.SyncMsg{Gateway: "g", Running: []protocol.ServerLoad{{Server: "a", Running: 3}}})
	u.SetServers(1, []protocol.Instance{{ID: "b", Service: "s"}})
	u.ExpectList(1, true, -time.Hour)
	if got := sync1(t, u, protocol.SyncMsg{Gateway: "h"}); !cmp.Equal(ids(t, got.List), []string{"a"}) || got.Term != 2 || got.ListLate {
		t.Errorf("told of %v in term %d, late %v", ids(t, got.List), got.Term, got.ListLate)
	}
	if n := u.loads.Running("a"); n != 3 {
		t.Errorf("the server has %d requests, want 3", n)
	}
}
