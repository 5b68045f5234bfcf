package control

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/coordination/rollout"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
)

// rolling is a leader with a roll-out of service "s" to v2 in its log.
type rolling struct {
	t      *testing.T
	group  *fakeGroup
	uplink *Uplink
	m      protocol.SyncMsg // m is what the one gateway tells next.
	reply  protocol.SyncReply
}

// tellingGroup tells the uplink of roll-outs as the replica does.
type tellingGroup struct {
	*fakeGroup
	uplink func() *Uplink
}

func (g *tellingGroup) Propose(ctx context.Context, c protocol.Command) (protocol.Result, error) {
	result, err := g.fakeGroup.Propose(ctx, c)
	g.mu.Lock()
	l := g.machine.RolloutLog()
	g.mu.Unlock()
	if u := g.uplink(); u.logged.Load().Changes != l.Changes {
		u.InstallRollouts(l)
	}
	return result, err
}

func newRolling(t *testing.T) *rolling {
	t.Helper()
	r := &rolling{t: t, group: newFakeGroup(), m: protocol.SyncMsg{Gateway: "g", Life: 1, Domain: "a"}}
	r.uplink = NewUplink(&tellingGroup{r.group, func() *Uplink { return r.uplink }}, noPeers, parse, 8*time.Second, WithExposure(Exposure{Share: 0.1, Slack: 50}))
	r.uplink.SetServers(1, []protocol.Instance{
		{ID: "a", Service: "s", Version: "v1", Slots: 4}, {ID: "b", Service: "s", Version: "v2", Slots: 4}, {ID: "c", Service: "s", Version: "v2", Slots: 4},
	})
	r.propose(protocol.Command{BeginRollout: &protocol.BeginRolloutMsg{Service: "s", Version: "v2", LimitMS: 60_000}, At: time.Now().UnixMilli()})
	return r
}

func (r *rolling) propose(c protocol.Command) {
	r.t.Helper()
	if _, err := r.uplink.group.Propose(context.Background(), c); err != nil {
		r.t.Fatal(err)
	}
}

// sync has the gateway ask, and keep to what it is told.
func (r *rolling) sync() {
	r.t.Helper()
	r.reply = sync1(r.t, r.uplink, r.m)
	if len(r.reply.Rollouts) > 0 {
		r.m.Rollouts = r.reply.Changes
		if len(r.m.Trials) == 0 {
			r.m.Trials = []protocol.TrialReport{{Number: 1}}
		}
		r.m.Trials[0].Held = r.reply.Rollouts[0].Stage
	}
}

// TestGatewaysAreToldRollouts checks that a gateway is told the roll-outs with its
// first answer, once, and again when one goes on, also by another leader.
func TestGatewaysAreToldRollouts(t *testing.T) {
	r := newRolling(t)
	r.sync()
	if len(r.reply.Rollouts) != 1 || r.reply.Rollouts[0].Version != "v2" || !r.reply.Listed {
		t.Fatalf("the first answer tells %+v", r.reply.Rollouts)
	}
	r.sync()
	if len(r.reply.Rollouts) != 0 || len(r.reply.Trials) != 1 {
		t.Errorf("the second answer tells %+v, %+v", r.reply.Rollouts, r.reply.Trials)
	}
	r.group.set(2, true)
	r.sync()
	if len(r.reply.Rollouts) != 0 || r.reply.Changes != 1 {
		t.Errorf("another leader tells %+v", r.reply.Rollouts)
	}
	r.propose(protocol.Command{StageRollout: &protocol.StageRolloutMsg{Service: "s", Number: 1, Stage: protocol.RolloutRolledBack}})
	r.sync()
	if len(r.reply.Rollouts) != 1 || r.reply.Rollouts[0].Stage != protocol.RolloutRolledBack {
		t.Errorf("its end is told as %+v", r.reply.Rollouts)
	}
}

// TestNewLeaderGrantsLater checks that a leader grants nothing while the credits of
// the one before may still be spent, and that what was sent by those counts.
func TestNewLeaderGrantsLater(t *testing.T) {
	r := newRolling(t)
	r.sync()
	r.m.Trials[0].Arrived, r.m.Trials[0].Wants = 1000, 5
	r.uplink.mu.Lock()
	r.uplink.entered = clock.Now().Add(-rollout.CreditLease / 2)
	r.uplink.mu.Unlock()
	if r.sync(); r.reply.Trials[0].Credits != 0 {
		t.Errorf("%d credits within the lease of the former ones", r.reply.Trials[0].Credits)
	}
	r.uplink.mu.Lock()
	r.uplink.entered = clock.Now().Add(-rollout.CreditLease)
	r.uplink.mu.Unlock()
	if r.sync(); r.reply.Trials[0].Credits != 5 {
		t.Errorf("%d credits behind it", r.reply.Trials[0].Credits)
	}
	r.group.set(2, true)
	r.m.Trials[0].Tried = 90
	r.sync()
	r.uplink.mu.Lock()
	r.uplink.entered = clock.Now().Add(-rollout.CreditLease)
	r.uplink.mu.Unlock()
	if r.sync(); r.reply.Trials[0].Credits != 0 {
		t.Errorf("%d credits though 90 of 1,000 requests were tried", r.reply.Trials[0].Credits)
	}
}

// TestBadVersionIsLeftAtOnce checks that the leader logs the way back as soon as the
// evidence is enough.
func TestBadVersionIsLeftAtOnce(t *testing.T) {
	r := newRolling(t)
	r.sync()
	r.m.Trials[0].Rows = []protocol.EvidenceRow{
		{Route: "r", Answers: protocol.AnswerCounts{Good: 400}},
		{Route: "r", New: true, Server: "b", Answers: protocol.AnswerCounts{Good: 3, Bad: 5}},
		{Route: "r", New: true, Server: "c", Answers: protocol.AnswerCounts{Good: 3, Bad: 5}},
	}
	r.sync()
	steps := r.uplink.steps(1, clock.Now())
	if len(steps) != 1 || steps[0].Stage != protocol.RolloutRolledBack {
		t.Fatalf("the steps are %+v", steps)
	}
	r.uplink.takeStep(context.Background(), steps[0])
	if got := r.uplink.logged.Load().Latest[0].Stage; got != protocol.RolloutRolledBack || r.uplink.meters.turnedBack.Count() != 1 {
		t.Errorf("logged %v, counted %d", got, r.uplink.meters.turnedBack.Count())
	}
	if steps := r.uplink.steps(1, clock.Now()); len(steps) > 0 {
		t.Errorf("what is over takes steps: %+v", steps)
	}
}

// TestCompletedBehindTheLastAnswer checks that a roll-out which moves is completed only
// once each gateway keeps to it and nothing has run on the former servers for a while.
func TestCompletedBehindTheLastAnswer(t *testing.T) {
	r := newRolling(t)
	r.sync()
	r.propose(protocol.Command{StageRollout: &protocol.StageRolloutMsg{Service: "s", Number: 1, Stage: protocol.RolloutMoving, Former: []string{"v1"}}})
	r.uplink.hold(1, nil, &protocol.Catalog{Routes: []protocol.PathRoute{{Timeout: time.Hour, Split: []protocol.WeightedService{{Service: "s", Weight: 1}}}}})
	now := clock.Now()
	r.uplink.mu.Lock()
	r.uplink.renewRollouts()
	r.uplink.trials[1].began = now.Add(-time.Minute) // Its limit is near.
	r.uplink.mu.Unlock()
	later := func(d time.Duration) []protocol.StageRolloutMsg {
		t.Helper()
		now = now.Add(d)
		return r.uplink.steps(1, now)
	}
	later(0)
	if steps := later(time.Second); len(steps) > 0 {
		t.Errorf("though a gateway keeps to the trial: %+v", steps)
	}
	now = clock.Now()
	r.m.Running = []protocol.ServerLoad{{Server: "a", Running: 1}}
	r.sync() // It is told.
	r.sync() // It tells that it keeps to it.
	later(0)
	if steps := later(time.Second); len(steps) > 0 {
		t.Errorf("though an answer runs: %+v", steps)
	}
	r.m.Running = nil
	r.sync()
	if steps := later(0); len(steps) > 0 {
		t.Errorf("right behind the last answer: %+v", steps)
	}
	if steps := later(time.Second); len(steps) != 1 || steps[0].Stage != protocol.RolloutCompleted {
		t.Errorf("at last: %+v", steps)
	}
}

// TestPlannerLeavesTrialsOut checks by which servers a service's number is planned.
func TestPlannerLeavesTrialsOut(t *testing.T) {
	r := newRolling(t)
	servers, _ := r.uplink.Servers()
	names := func(want bool, ids ...string) {
		t.Helper()
		list, may := r.uplink.planned("s", servers)
		var got []string
		for _, in := range list {
			got = append(got, in.ID)
		}
		if diff := cmp.Diff(ids, got); diff != "" || may != want {
			t.Errorf("planned now: %v, %s", may, diff)
		}
	}
	names(true, "a")
	r.propose(protocol.Command{StageRollout: &protocol.StageRolloutMsg{Service: "s", Number: 1, Stage: protocol.RolloutMoving, Former: []string{"v1"}}})
	names(false, "b", "c")
	r.propose(protocol.Command{StageRollout: &protocol.StageRolloutMsg{Service: "s", Number: 1, Stage: protocol.RolloutCompleted}})
	names(true, "b", "c")
	if list, may := r.uplink.planned("another", servers); len(list) != 3 || !may {
		t.Error("another service is planned otherwise")
	}
}

// TestBaseLeavesTrialsOut checks that the servers of a version on trial do not count to
// a service's first number, and that the new ones count while requests move to them.
func TestBaseLeavesTrialsOut(t *testing.T) {
	r := newRolling(t)
	r.uplink.catalog = &protocol.Catalog{Services: []protocol.ServiceSpec{{Name: "s", Scaling: &protocol.ScalingSpec{Max: 9}}}}
	f := NewFleet(r.uplink, zerolog.Nop())
	f.Settled("s", 0) // The log has none.
	now := clock.Now()
	settles := func(want int) {
		t.Helper()
		f.Unsettled(now)
		now = now.Add(baseSteady)
		if rows := f.Unsettled(now); len(rows) != 1 || rows[0].Servers != want {
			t.Errorf("settled %v, want %d", rows, want)
		}
	}
	settles(1)
	r.propose(protocol.Command{StageRollout: &protocol.StageRolloutMsg{Service: "s", Number: 1, Stage: protocol.RolloutMoving, Former: []string{"v1"}}})
	settles(2)
}

// TestUnannouncedVersionWaits checks that servers of a version that nothing names are
// not told to gateways until an order names it, its time is over, or nobody else
// serves; also by a leader that has just been elected.
func TestUnannouncedVersionWaits(t *testing.T) {
	g := newFakeGroup()
	var u *Uplink
	u = NewUplink(&tellingGroup{g, func() *Uplink { return u }}, noPeers, parse, 8*time.Second, WithExposure(Exposure{Unannounced: time.Minute}))
	list := func(term uint64, want string, versions ...string) {
		t.Helper()
		var servers []protocol.Instance
		for _, v := range versions {
			servers = append(servers, protocol.Instance{ID: v, Service: "s", Version: v})
		}
		u.SetServers(term, servers)
		for _, m := range u.newVersions(term, clock.Now()) {
			u.logVersions(context.Background(), m)
		}
		told, _ := u.Servers()
		got := ""
		for _, in := range told {
			got += in.Version
		}
		if got != want {
			t.Errorf("of %v gateways are told %q, want %q", versions, got, want)
		}
	}
	list(1, "v1", "v1")
	list(1, "v1", "v1", "v2")
	if _, err := u.group.Propose(context.Background(), protocol.Command{BeginRollout: &protocol.BeginRolloutMsg{Service: "s", Version: "v2", LimitMS: 1000}}); err != nil {
		t.Fatal(err)
	}
	list(1, "v1v2", "v1", "v2")
	list(1, "v1v2", "v1", "v2", "v3")
	u.mu.Lock()
	u.unnamed[versionOf{"s", "v3"}] = clock.Now().Add(-time.Minute)
	u.mu.Unlock()
	list(1, "v1v2v3", "v1", "v2", "v3")
	list(1, "v4", "v4")
	list(1, "v1", "v1", "v4") // That v4 served alone does not make it known.
	g.set(2, true)
	list(2, "v1v3", "v1", "v3", "v5")
}

// fakeRollouts is a store of one service's configuration.
type fakeRollouts struct {
	*fakeGroup
	number uint64
	fail   error
}

func (f *fakeRollouts) BeginRollout(ctx context.Context, m protocol.BeginRolloutMsg) (protocol.BeginRolloutReply, error) {
	result, err := f.Propose(ctx, protocol.Command{BeginRollout: &m})
	if err != nil {
		return protocol.BeginRolloutReply{}, err
	}
	return *result.BeginRollout, f.fail
}

func (f *fakeRollouts) StageRollout(ctx context.Context, m protocol.StageRolloutMsg) (protocol.Rollout, error) {
	result, err := f.Propose(ctx, protocol.Command{StageRollout: &m})
	if err != nil {
		return protocol.Rollout{}, err
	}
	return result.StageRollout.Rollout, f.fail
}

func (f *fakeRollouts) Rollouts(context.Context) ([]protocol.Rollout, error) {
	return f.machine.Rollouts(), f.fail
}

func (f *fakeRollouts) Document(context.Context) (uint64, []byte, error) {
	return f.number, nil, f.fail
}

func parseService(number uint64, _ []byte) (*protocol.Catalog, error) {
	return &protocol.Catalog{Number: number, Services: []protocol.ServiceSpec{{Name: "s"}}}, nil
}

// TestRolloutOrdersAreChecked checks which orders are refused, and how.
func TestRolloutOrdersAreChecked(t *testing.T) {
	f := &fakeRollouts{fakeGroup: newFakeGroup()}
	o := NewRolloutOrders(f, parseService, 5*time.Second)
	ctx := context.Background()
	begin := func(service, version string, limit time.Duration, want error, status int) {
		t.Helper()
		_, err := o.Begin(ctx, service, version, limit)
		if !errors.Is(err, want) {
			t.Errorf("%s to %s: %v, want %v", service, version, err, want)
		}
		if err != nil && RolloutRefusal(err).Status != status {
			t.Errorf("%v is told as %d", err, RolloutRefusal(err).Status)
		}
	}
	begin("s", "v2", time.Minute, ErrUnknownService, 422) // There is no configuration yet.
	f.number = 1
	begin("", "v2", time.Minute, ErrInvalidOrder, 400)
	begin("s", "", time.Minute, ErrInvalidOrder, 400)
	begin("s", "v2", 0, ErrInvalidOrder, 400)
	begin("s", "v2", 1000*time.Hour, ErrInvalidOrder, 400)
	begin("t", "v2", time.Minute, ErrUnknownService, 422)
	if _, err := o.Abort(ctx, "s"); !errors.Is(err, ErrNoRollout) {
		t.Errorf("nothing to turn back: %v", err)
	}
	begin("s", "v2", time.Minute, nil, 0)
	begin("s", "v2", time.Minute, nil, 0) // Sent again.
	begin("s", "v3", time.Minute, ErrRolloutInProgress, 409)
	if r, err := o.Abort(ctx, "s"); err != nil || r.Stage != protocol.RolloutRolledBack {
		t.Errorf("turned back: %+v, %v", r, err)
	}
	if _, err := o.Abort(ctx, "s"); !errors.Is(err, ErrNoRollout) || RolloutRefusal(err).Status != 404 {
		t.Errorf("again: %v", err)
	}
	f.fail = errors.New("no quorum")
	if _, err := o.Begin(ctx, "s", "v4", time.Minute); RolloutRefusal(err).Status != 503 || RolloutRefusal(err).Verdict != protocol.MayHaveRun {
		t.Errorf("without a quorum: %v", err)
	}
}

// TestOperatorCalls checks weldstream's own calls of operators.
func TestOperatorCalls(t *testing.T) {
	f := &fakeRollouts{fakeGroup: newFakeGroup(), number: 1}
	progress := func() []protocol.RolloutProgress { return []protocol.RolloutProgress{{LeftMS: 7}} }
	o := NewOperator(NewRolloutOrders(f, parseService, time.Second), progress, zerolog.Nop())
	call := func(method, path, body string, want int) string {
		t.Helper()
		var c fasthttp.RequestCtx
		c.Request.Header.SetMethod(method)
		c.Request.SetRequestURI(path)
		c.Request.SetBodyString(body)
		o.Handle(&c)
		if c.Response.StatusCode() != want {
			t.Errorf("%s %s: %d, want %d: %s", method, path, c.Response.StatusCode(), want, c.Response.Body())
		}
		return string(c.Response.Body())
	}
	call("GET", "/v1/elsewhere", "", 404)
	call("POST", "/v1/rollouts", "{", 400)
	call("POST", "/v1/rollouts", `{"service":"s","version":"v2","limit_ms":0}`, 400)
	call("POST", "/v1/rollouts", `{"service":"s","version":"v2","limit_ms":60000}`, 200)
	if got := call("GET", "/v1/rollouts", "", 200); !cmp.Equal(got, `{"rollouts":[{"number":1,"service":"s","version":"v2","limit_ms":60000,"began_at":0,"stage":"trial"}],"progress":[{"rollout":{"number":0,"service":"","version":"","limit_ms":0,"began_at":0,"stage":"trial"},"left_ms":7,"share":0,"new":0,"new_failed":0,"old":0,"old_failed":0,"failures":0,"slowness":0,"slots":0,"old_running":0}]}`) {
		t.Errorf("the list is %s", got)
	}
	call("DELETE", "/v1/rollouts/s", "", 200)
	call("DELETE", "/v1/rollouts/s", "", 404)
}
