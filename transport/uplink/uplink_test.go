package uplink

import (
	"context"
	"errors"
	"github.com/weldstream/weldstream/internal/clock"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/weldstream/weldstream/coordination/topology"
	"github.com/weldstream/weldstream/protocol"
)

// testTimeout bounds every wait of a test.
const testTimeout = 10 * time.Second

// fakeCaller simulates control instances by address.
type fakeCaller struct {
	mu      sync.Mutex // mu guards all below.
	answers map[string]func(m protocol.SyncMsg) (protocol.SyncReply, error)
	synced  []string // synced lists the instances that got Uplink.Sync calls.
}

// set replaces the answers.
func (c *fakeCaller) set(answers map[string]func(m protocol.SyncMsg) (protocol.SyncReply, error)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = answers
}

func (c *fakeCaller) Call(address, method string, args, reply any, _ time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.answers[address]
	if method == "Uplink.Sync" {
		c.synced = append(c.synced, address)
	}
	if f == nil {
		return errors.New("connection refused")
	}
	if m, ok := args.(protocol.LeaderMsg); ok {
		got, err := f(protocol.SyncMsg{})
		named := protocol.LeaderReply{Leader: got.Leader, Controls: got.Controls}
		if named.Leader == m.Besides {
			named.Leader = ""
		}
		if got.Leads {
			named.Leader = address
		}
		*reply.(*protocol.LeaderReply) = named
		return err
	}
	got, err := f(args.(protocol.SyncMsg))
	*reply.(*protocol.SyncReply) = got
	return err
}

// fakeGateway records the calls of the client.
type fakeGateway struct {
	number             uint64
	servers            int
	loads              []byte
	confirmed          int
	confirmedAt        time.Time
	rejectDocument     bool
	listLate           int          // listLate counts the calls of ListLate.
	quarantineSetAfter []int        // quarantineSetAfter holds the number of confirmations before each SetQuarantine.
	overdue            atomic.Int32 // overdue counts the calls of Overdue.
}

func (g *fakeGateway) Report(uint64) protocol.SyncMsg { return protocol.SyncMsg{Number: g.number} }
func (g *fakeGateway) SetQuarantine(*protocol.SyncReply) {
	g.quarantineSetAfter = append(g.quarantineSetAfter, g.confirmed)
}

func (g *fakeGateway) SetRollouts(*protocol.SyncReply, time.Time)                        {}
func (g *fakeGateway) HandleSyncReply(*protocol.SyncMsg, *protocol.SyncReply, time.Time) {}
func (g *fakeGateway) Document(number uint64, _ []byte) error {
	if g.rejectDocument {
		return errors.New("document cannot be decoded")
	}
	g.number = number
	return nil
}
func (g *fakeGateway) Overdue()                            { g.overdue.Add(1) }
func (g *fakeGateway) ListLate()                           { g.listLate++ }
func (g *fakeGateway) SetLoads(loads, _ []byte)            { g.loads = loads }
func (g *fakeGateway) SetLanes([]protocol.ServiceLanes)    {}
func (g *fakeGateway) SetServers(list []protocol.Instance) { g.servers = len(list) }
func (g *fakeGateway) Confirm(at time.Time, _ int)         { g.confirmed, g.confirmedAt = g.confirmed+1, at }

func leads(m protocol.SyncMsg) (protocol.SyncReply, error) {
	r := protocol.SyncReply{Leads: true, Term: 4, Number: 9, Gateways: 1, Controls: []string{"a", "b", "c"}}
	if m.Number < 9 {
		r.Document = []byte("document")
	}
	return r, nil
}

func follows(leader string) func(protocol.SyncMsg) (protocol.SyncReply, error) {
	return func(protocol.SyncMsg) (protocol.SyncReply, error) {
		return protocol.SyncReply{Leader: leader, Controls: []string{"a", "b", "c"}}, nil
	}
}

// TestFindsTheLeader checks that the client finds the leader through a follower while another
// seed is down, keeps using it, and finds its successor.
func TestFindsTheLeader(t *testing.T) {
	c := &fakeCaller{answers: map[string]func(protocol.SyncMsg) (protocol.SyncReply, error){"b": follows("c"), "c": leads}}
	g := &fakeGateway{}
	u := New(c, g, []string{"a", "b"}, unpackIDs, zerolog.Nop())
	end := time.Now().Add(testTimeout)
	confirms := func(more int) {
		t.Helper()
		for want := g.confirmed + more; g.confirmed < want; {
			if time.Now().After(end) {
				t.Fatalf("leader not found: asked %v", c.synced)
			}
			u.step(t.Context())
		}
	}
	confirms(1)
	if g.number != 9 {
		t.Fatalf("gateway has document %d, want 9, after asking %v", g.number, c.synced)
	}
	n := len(c.synced)
	confirms(3)
	for _, address := range c.synced[n:] {
		if address != "c" {
			t.Errorf("asked %v after finding the leader, want only c", c.synced[n:])
		}
	}
	c.set(map[string]func(protocol.SyncMsg) (protocol.SyncReply, error){"b": leads, "c": follows("b")})
	n = len(c.synced)
	confirms(1)
	if !slices.Equal(c.synced[n:], []string{"c", "b"}) {
		t.Errorf("asked %v after a change of leader, want c and b", c.synced[n:])
	}
}

// TestSilentLeaderIsNotFollowed checks that a leader that does not answer is not asked again
// because other instances still name it, and that its successor is found as soon as an instance
// names it.
func TestSilentLeaderIsNotFollowed(t *testing.T) {
	answers := map[string]func(protocol.SyncMsg) (protocol.SyncReply, error){"a": follows("gone"), "b": follows("gone")}
	c := &fakeCaller{answers: answers}
	g := &fakeGateway{}
	u := New(c, g, []string{"a", "b"}, unpackIDs, zerolog.Nop())
	for len(c.synced) == 0 {
		u.step(t.Context())
	}
	for range 5 {
		u.step(t.Context())
	}
	if len(c.synced) != 1 {
		t.Errorf("asked %v while only the silent leader was named, want one call", c.synced)
	}
	c.set(map[string]func(protocol.SyncMsg) (protocol.SyncReply, error){"a": follows("gone"), "b": leads})
	for end := time.Now().Add(testTimeout); g.confirmed == 0; u.step(t.Context()) {
		if time.Now().After(end) {
			t.Fatalf("successor not found: asked %v", c.synced)
		}
	}
}

// TestRestartedLeaderIsFollowed checks that a leader that restarts and leads again 0.2 s later is
// followed as soon as it names itself. Other instances that name it are ignored for a while, as
// they may not know yet that it is down. When its own claim was ignored as well, gateways had no
// leader for a second after it fell silent: in 30 rounds of two such restarts they logged
// "linked to the leader" 0.9 to 1.2 s after its "duties acquired".
func TestRestartedLeaderIsFollowed(t *testing.T) {
	c := &fakeCaller{answers: map[string]func(protocol.SyncMsg) (protocol.SyncReply, error){"a": leads, "b": follows("a")}}
	g := &fakeGateway{}
	u := New(c, g, []string{"a", "b"}, unpackIDs, zerolog.Nop())
	confirmed := func(want int) bool {
		for began := time.Now(); g.confirmed < want && time.Since(began) < silentLeaderTTL/2; {
			u.step(t.Context())
		}
		return g.confirmed >= want
	}
	if !confirmed(1) {
		t.Fatalf("the leader was not found: asked %v", c.synced)
	}
	c.set(map[string]func(protocol.SyncMsg) (protocol.SyncReply, error){"b": follows("a")})
	u.step(t.Context())
	c.set(map[string]func(protocol.SyncMsg) (protocol.SyncReply, error){"a": leads, "b": follows("a")})
	if !confirmed(2) {
		t.Errorf("restarted leader not followed: asked %v", c.synced)
	}
}

// TestConfirmUsesRequestTime checks that a late answer confirms the document only up to the time
// of the request.
func TestConfirmUsesRequestTime(t *testing.T) {
	g := &fakeGateway{}
	var answered time.Time
	c := &fakeCaller{answers: map[string]func(protocol.SyncMsg) (protocol.SyncReply, error){"a": func(m protocol.SyncMsg) (protocol.SyncReply, error) {
		answered = time.Now()
		return leads(m)
	}}}
	u := New(c, g, []string{"a"}, unpackIDs, zerolog.Nop())
	u.syncWith(t.Context(), "a")
	if g.confirmedAt.IsZero() || g.confirmedAt.After(answered) {
		t.Errorf("confirmed up to %v, but the answer was made at %v", g.confirmedAt, answered)
	}
}

// TestUnreadableDocumentConfirmsNothing checks that a gateway that cannot install the newest
// document is not confirmed as up to date.
func TestUnreadableDocumentConfirmsNothing(t *testing.T) {
	g := &fakeGateway{rejectDocument: true}
	u := New(&fakeCaller{answers: map[string]func(protocol.SyncMsg) (protocol.SyncReply, error){"a": leads}}, g, []string{"a"}, unpackIDs, zerolog.Nop())
	if u.syncWith(t.Context(), "a") || g.confirmed > 0 {
		t.Error("answer accepted or document confirmed")
	}
}

// hangingCaller is a fakeCaller with an instance that never answers sync requests.
type hangingCaller struct {
	*fakeCaller
	hangs   string
	release chan struct{}
}

func (c *hangingCaller) Call(address, method string, args, reply any, limit time.Duration) error {
	if address == c.hangs && method == "Uplink.Sync" {
		<-c.release
		return errors.New("the peer did not answer in time")
	}
	return c.fakeCaller.Call(address, method, args, reply, limit)
}

// TestOverdueLeaderIsReplaced checks that a leader whose answer is overdue is replaced as soon as
// another one is found, and not only after the call times out.
func TestOverdueLeaderIsReplaced(t *testing.T) {
	leads := func(m protocol.SyncMsg) (protocol.SyncReply, error) {
		return protocol.SyncReply{Leads: true, Number: 1}, nil
	}
	c := &hangingCaller{release: make(chan struct{}), hangs: "a", fakeCaller: &fakeCaller{answers: map[string]func(protocol.SyncMsg) (protocol.SyncReply, error){"b": leads}}}
	g := &fakeGateway{}
	u := New(c, g, []string{"a", "b"}, unpackIDs, zerolog.Nop())
	u.target = "a"
	linked := make(chan struct{})
	go func() {
		for t.Context().Err() == nil && !u.step(t.Context()) {
			continue
		}
		close(linked)
	}()
	select {
	case <-linked:
	case <-time.After(testTimeout):
		t.Fatal("still waiting for the leader that does not answer")
	}
	close(c.release)
	if u.target != "b" || g.overdue.Load() == 0 {
		t.Errorf("target is %q, want b; Overdue was called %d times", u.target, g.overdue.Load())
	}
}

// TestOverdueLeaderIsKeptWithoutSuccessor checks that a leader whose answer is overdue is kept
// while no other one is found, and that its late answer is accepted.
func TestOverdueLeaderIsKeptWithoutSuccessor(t *testing.T) {
	asked := make(chan struct{})
	names := func(m protocol.SyncMsg) (protocol.SyncReply, error) {
		select {
		case asked <- struct{}{}:
		case <-t.Context().Done():
		}
		return protocol.SyncReply{Leader: "a"}, nil
	}
	u := New(&fakeCaller{answers: map[string]func(protocol.SyncMsg) (protocol.SyncReply, error){"b": names}}, &fakeGateway{}, []string{"a", "b"}, unpackIDs, zerolog.Nop())
	answers := make(chan answer, 1)
	got := make(chan answer)
	go func() { got <- u.await(t.Context(), "a", answers) }()
	<-asked // The answer is overdue, and the other instance is queried.
	u.leaderHints <- leaderHint{leader: "a"}
	for len(u.leaderHints) > 0 {
		select {
		case a := <-got:
			t.Fatalf("leader replaced by itself: %+v", a)
		default:
		}
	}
	answers <- answer{reply: protocol.SyncReply{Leads: true, Number: 7}}
	if a := <-got; a.err != nil || a.reply.Number != 7 {
		t.Errorf("got %+v, want document 7 without an error", a)
	}
}

// TestListChangesAreApplied checks that changes are applied to the previous list, and that a
// full list replaces it.
func TestListChangesAreApplied(t *testing.T) {
	c := New(nil, nil, nil, unpackIDs, zerolog.Nop())
	ids := func(list []protocol.Instance) (text string) {
		for _, in := range list {
			text += in.ID
			if in.Leaving {
				text += "!"
			}
		}
		return text
	}
	for _, step := range []struct {
		reply protocol.SyncReply
		want  string
	}{
		{protocol.SyncReply{List: []byte("=ba")}, "ab"},
		{protocol.SyncReply{List: []byte("ca!-b")}, "a!c"},
		{protocol.SyncReply{List: []byte("=d")}, "d"},
		{protocol.SyncReply{List: []byte("-d")}, ""},
	} {
		list, err := c.updateServers(&step.reply)
		if got := ids(list); got != step.want || err != nil {
			t.Errorf("got %s and %v, want %s", got, err, step.want)
		}
	}
	if _, err := c.updateServers(&protocol.SyncReply{List: []byte("?")}); err == nil {
		t.Error("no error for a list that cannot be decoded")
	}
}

// TestSyncRateIsBounded checks that the sync rate of all gateways together stays within the
// leader's capacity for any number of gateways.
func TestSyncRateIsBounded(t *testing.T) {
	for _, gateways := range []int{1, 100, 300, 3000} {
		if a := syncIntervalFor(gateways); a < minSyncInterval || a < time.Duration(gateways)*intervalPerGateway {
			t.Errorf("each of %d gateways syncs every %v", gateways, a)
		}
	}
}

// TestSyncNowKeepsMinPause checks that SyncNow does not shorten the time between two sync
// requests below minPause.
func TestSyncNowKeepsMinPause(t *testing.T) {
	c := New(nil, nil, nil, unpackIDs, zerolog.Nop())
	c.SyncNow()
	began := time.Now()
	c.wait(context.Background(), began, time.Hour)
	if took := time.Since(began); took < minPause {
		t.Errorf("waited only %v", took)
	}
}

// unpackIDs decodes a server list with IDs of one letter: "=" marks a full list, "a!" a leaving
// server and "-a" a removed one.
func unpackIDs(packed []byte) (list protocol.ServerList, err error) {
	gone := false
	for _, id := range string(packed) {
		switch {
		case id == '?':
			return list, errors.New("list cannot be decoded")
		case id == '=':
			list.Whole = true
		case id == '-':
			gone = true
		case id == '!':
			list.Servers[len(list.Servers)-1].Leaving = true
		case gone:
			list.Gone, gone = append(list.Gone, string(id)), false
		default:
			list.Servers = append(list.Servers, protocol.Instance{ID: string(id)})
		}
	}
	return list, nil
}

// TestQuarantineIsSetBeforeConfirm checks that SetQuarantine is called before Confirm, which makes
// the gateway ready, and that the request time includes time spent suspended.
func TestQuarantineIsSetBeforeConfirm(t *testing.T) {
	clock.Skip(time.Hour)
	defer clock.Skip(-time.Hour)
	c := &fakeCaller{answers: map[string]func(protocol.SyncMsg) (protocol.SyncReply, error){"a": leads}}
	g := &fakeGateway{}
	u := New(c, g, []string{"a"}, unpackIDs, zerolog.Nop())
	for end := time.Now().Add(testTimeout); g.confirmed == 0 && time.Now().Before(end); {
		u.step(t.Context())
	}
	if !slices.Equal(g.quarantineSetAfter, []int{0}) {
		t.Errorf("confirmations before each SetQuarantine: %v, want [0]", g.quarantineSetAfter)
	}
	if age := clock.Since(g.confirmedAt); age < 0 || age > testTimeout {
		t.Errorf("the request time is %v ago", age)
	}
}

// TestLateListIsReported checks that ListLate is called for each answer that reports a late list.
func TestLateListIsReported(t *testing.T) {
	for _, late := range []bool{true, false} {
		g := &fakeGateway{}
		c := &fakeCaller{answers: map[string]func(protocol.SyncMsg) (protocol.SyncReply, error){"a": func(m protocol.SyncMsg) (protocol.SyncReply, error) {
			r, err := leads(m)
			r.ListLate = late
			return r, err
		}}}
		u := New(c, g, []string{"a"}, unpackIDs, zerolog.Nop())
		u.syncWith(t.Context(), "a")
		u.syncWith(t.Context(), "a")
		if want := map[bool]int{true: 2, false: 0}[late]; g.listLate != want {
			t.Errorf("late %v: ListLate was called %d times", late, g.listLate)
		}
	}
}

// TestLostRelaysAreReportedOverdueAtOnce checks that a gateway of a large fleet whose relays all
// stop at the same time, or refuse because they have lost the leader, gets Overdue at the first
// failure, so that its requests do not wait for quota.
func TestLostRelaysAreReportedOverdueAtOnce(t *testing.T) {
	for name, relay := range map[string]func(protocol.SyncMsg) (protocol.SyncReply, error){
		"stopped": nil,
		"refuses": follows(""),
	} {
		c := &fakeCaller{answers: map[string]func(protocol.SyncMsg) (protocol.SyncReply, error){"b": relay, "c": relay}}
		g := &fakeGateway{}
		u := New(c, g, []string{"a"}, unpackIDs, zerolog.Nop(), WithRegions(nil, "d1", "g"))
		u.setControls([]string{"a", "b", "c"}, []string{"d1", "d1", "d2"})
		u.setGateways(986)
		u.step(t.Context())
		if len(c.synced) != 1 || g.overdue.Load() == 0 {
			t.Errorf("%s: asked %v, Overdue was called %d times", name, c.synced, g.overdue.Load())
		}
	}
}

// TestLeaderRedirectsToRelay checks that a gateway redirected by a leader with many gateways
// marks its next request as relayed, sends it to a relay, keeps using that relay, and derives
// its sync interval from the gateways per instance.
func TestLeaderRedirectsToRelay(t *testing.T) {
	controls, domains := []string{"a", "b", "c"}, []string{"d2", "d1", "d3"}
	relayed := false
	c := &fakeCaller{answers: map[string]func(protocol.SyncMsg) (protocol.SyncReply, error){
		"a": func(m protocol.SyncMsg) (protocol.SyncReply, error) {
			if m.Gateways > 0 {
				t.Errorf("a gateway that knows of %d gateways asked the leader", m.Gateways)
			}
			return protocol.SyncReply{Leader: "a", Controls: controls, Domains: domains, Gateways: 986}, nil
		},
		"b": func(m protocol.SyncMsg) (protocol.SyncReply, error) {
			relayed = m.Relayed
			return protocol.SyncReply{Leads: true, Leader: "a", Term: 1, Controls: controls, Domains: domains, Gateways: 986}, nil
		},
	}}
	g := &fakeGateway{}
	u := New(c, g, []string{"a"}, unpackIDs, zerolog.Nop(), WithRegions(nil, "d1", "g"))
	u.target = "a"
	for range 3 {
		u.step(t.Context())
	}
	if !slices.Equal(c.synced, []string{"a", "b", "b"}) || !relayed || g.confirmed != 2 {
		t.Fatalf("asked %v, marked as relayed: %v, confirmed %d times", c.synced, relayed, g.confirmed)
	}
	if got, want := u.syncInterval(), syncIntervalFor(986/2); got != want {
		t.Errorf("syncs every %v, want %v: two relays share 986 gateways", got, want)
	}
}

// TestRetryPauseGrowsWithRefusals checks that the retry pause grows with each refusal by a relay,
// up to minSyncInterval, and stays at minPause if the gateway asks the leader directly.
func TestRetryPauseGrowsWithRefusals(t *testing.T) {
	u := New(&fakeCaller{}, &fakeGateway{}, nil, unpackIDs, zerolog.Nop(), WithRegions(nil, "d1", "g"))
	if got := u.retryPause(9); got != minPause {
		t.Errorf("pause without relays: %v", got)
	}
	u.setGateways(986)
	for failed, want := range map[int]time.Duration{0: minPause, 1: 2 * minPause, 4: minSyncInterval, 1000: minSyncInterval} {
		if got := u.retryPause(failed); got != want {
			t.Errorf("pause after %d failures: %v, want %v", failed, got, want)
		}
	}
}

// TestFirstAnswerTimeoutOfRelay checks that the first answer of a relay times out as soon as a
// leader's within one region, and later, by the extra round trips, with several regions.
func TestFirstAnswerTimeoutOfRelay(t *testing.T) {
	several := topology.New(map[string]string{"d1": "a", "d2": "b"})
	for _, c := range []struct {
		topology *topology.Topology
		want     time.Duration
	}{{nil, overdueTimeout}, {several, overdueTimeout + firstAnswerAllowance}} {
		u := New(&fakeCaller{}, &fakeGateway{}, nil, unpackIDs, zerolog.Nop(), WithRegions(c.topology, "d1", "g"))
		u.setGateways(986)
		if got := u.answerTimeout("relay"); got != c.want {
			t.Errorf("several regions %v: overdue after %v, want %v", c.topology.MultiRegion(), got, c.want)
		}
	}
}
