package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/weldstream/weldstream/coordination/attempt"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/settings"
	"github.com/weldstream/weldstream/state"
)

// quarantineTimeout limits how long a test waits.
const quarantineTimeout = 10 * time.Second

// crashing is a request that crashes servers.
var crashing = &protocol.Request{Key: protocol.Key{Workspace: "w", ID: "1"}, Route: "r", Kind: protocol.KindCompletion, Body: []byte("bad")}

// recordingObserver records the reports it receives.
type recordingObserver struct {
	mu       sync.Mutex
	received []protocol.ObserveMsg
	reply    protocol.ObserveReply
	err      error
}

func (n *recordingObserver) Observe(_ context.Context, m protocol.ObserveMsg) (protocol.ObserveReply, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.received = append(n.received, m)
	return n.reply, n.err
}

func newTestQuarantine(o Observer) *Quarantine {
	return NewQuarantine("entry-1", o, time.Second, zerolog.Nop())
}

// listening returns a server that is listening, and one that no longer is.
func listening(t *testing.T) (up, ended *state.Server) {
	t.Helper()
	for _, server := range []**state.Server{&up, &ended} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = ln.Close() })
		*server = &state.Server{Instance: protocol.Instance{ID: ln.Addr().String(), Address: ln.Addr().String()}}
		if server == &ended {
			_ = ln.Close()
		}
	}
	return up, ended
}

// TestCrashReportedOnlyIfPortRefuses checks that an entry instance reports a
// server as crashed only if the server's side ended a connection and its port then
// refuses connections.
func TestCrashReportedOnlyIfPortRefuses(t *testing.T) {
	up, ended := listening(t)
	for name, c := range map[string]struct {
		server  *state.Server
		err     error
		reports int
	}{
		"ended":          {ended, io.EOF, 1},
		"still up":       {up, io.EOF, 0},
		"closed by us":   {ended, net.ErrClosed, 0},
		"deadline":       {ended, os.ErrDeadlineExceeded, 0},
		"reset, and up":  {up, errors.New("reset"), 0},
		"reset, and not": {ended, errors.New("reset"), 1},
	} {
		o := &recordingObserver{reply: protocol.ObserveReply{Leads: true, Term: 1}}
		q := newTestQuarantine(o)
		q.connBroken(crashing, c.server, time.Now(), c.err)
		pending := func() bool {
			q.mu.Lock()
			defer q.mu.Unlock()
			return q.broken.Len() > 0
		}
		for end := time.Now().Add(quarantineTimeout); pending(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("the server was not probed")
			}
		}
		q.mu.Lock()
		reported := q.filter.Report(1, clock.Now())
		q.mu.Unlock()
		if len(reported) != c.reports {
			t.Errorf("%s: reported %+v", name, reported)
		}
	}
}

// TestQuarantineFollowsLeader checks that an instance reports to a leader the
// observations it lacks, again if no leader has answered, and that it refuses held
// requests and reports the success of a trial.
func TestQuarantineFollowsLeader(t *testing.T) {
	f := quarantineRequest(crashing).Fingerprint()
	o := &recordingObserver{err: ErrNoQuorum}
	q := newTestQuarantine(o)
	q.filter.RecordCrash("server", []protocol.ObservedRun{{Fingerprint: f}}, clock.Now())
	lastReported := func() int { return len(o.received[len(o.received)-1].Observations) }
	q.report(t.Context())
	q.report(t.Context())
	if lastReported() != 1 {
		t.Error("an observation that no leader has received was not reported again")
	}
	o.err, o.reply = nil, protocol.ObserveReply{Leads: true, Term: 3, Quarantine: &protocol.QuarantineUpdate{
		Changes: 1, Held: []protocol.HeldRequest{{Fingerprint: f, Servers: 3, Trials: 1, Trial: "entry-1"}},
	}}
	q.report(t.Context())
	o.reply.Quarantine = nil
	q.report(t.Context())
	if lastReported() != 0 || o.received[len(o.received)-1].Quarantined != 1 {
		t.Errorf("reported again: %+v", o.received[len(o.received)-1])
	}
	if first, again := q.check(crashing), q.check(crashing); first.Held || !again.Held || q.Held() != 1 {
		t.Errorf("trial: %+v, next request: %+v", first, again)
	}
	q.recordSuccess(crashing)
	q.report(t.Context())
	if lastReported() != 1 || o.received[len(o.received)-1].Observations[0].Server != "" {
		t.Errorf("report of the success: %+v", o.received[len(o.received)-1])
	}
}

// TestQuarantineWithoutLeader checks that an instance decides by its own
// observations when the leader has not answered for a while.
func TestQuarantineWithoutLeader(t *testing.T) {
	q := newTestQuarantine(&recordingObserver{err: ErrNoQuorum})
	for i := range 3 {
		q.filter.RecordCrash(fmt.Sprint("server-", i), []protocol.ObservedRun{{Fingerprint: quarantineRequest(crashing).Fingerprint()}}, clock.Now())
	}
	if q.check(crashing).Held {
		t.Error("held although the leader may still decide")
	}
	clock.Skip(2 * leaderReplyMaxAge)
	defer clock.Skip(-2 * leaderReplyMaxAge)
	if p := q.check(crashing); !p.Held || heldMsg(1, p).Verdict != protocol.NotRun {
		t.Errorf("without a leader: %+v", p)
	}
}

// machineGroup is a group with one replica that applies commands directly to a
// state machine.
type machineGroup struct {
	term    uint64
	leads   bool
	machine *state.Machine
}

func (g *machineGroup) Vouches() (uint64, bool) { return g.term, g.leads }

func (g *machineGroup) Propose(_ context.Context, c protocol.Command) (protocol.Result, error) {
	return g.machine.Apply(&c), nil
}

// threeCrashes returns observations of three servers that crashed during a
// request, the last one a second ago.
func threeCrashes() []protocol.Observation {
	var list []protocol.Observation
	for i := range 3 {
		o := protocol.Observation{Number: uint64(i + 1), Ago: time.Duration(3-i) * time.Second, Server: fmt.Sprint(i)}
		o.Runs = []protocol.ObservedRun{{Fingerprint: quarantineRequest(crashing).Fingerprint(), Age: time.Millisecond}}
		list = append(list, o)
	}
	return list
}

// TestOnlyLeaderDecidesQuarantine checks that a replica answers and decides only
// while it leads, by the observations of its own term, and ignores leaving
// servers.
func TestOnlyLeaderDecidesQuarantine(t *testing.T) {
	for name, c := range map[string]struct {
		leads  bool
		leaves string
		next   bool // next reports the last crash in the next term.
		held   int
	}{
		"leads":          {true, "", false, 1},
		"follows":        {false, "", false, 0},
		"leaving server": {true, "1", false, 0},
		"next term":      {true, "", true, 0},
	} {
		g := &machineGroup{term: 1, leads: c.leads, machine: state.NewMachine()}
		s := NewQuarantineService(g, func(server string) bool { return server == c.leaves }, zerolog.Nop())
		var reply protocol.ObserveReply
		seen := threeCrashes()
		if c.next {
			if err := s.Observe(protocol.ObserveMsg{Instance: "a", Observations: seen[:2]}, &reply); err != nil {
				t.Fatal(err)
			}
			g.term, seen = 2, seen[2:]
		}
		if err := s.Observe(protocol.ObserveMsg{Instance: "a", Observations: seen}, &reply); err != nil {
			t.Fatal(err)
		}
		if reply.Leads != c.leads {
			t.Errorf("%s: the reply says Leads %v", name, reply.Leads)
		}
		clock.Skip(time.Second) // All instances have had time to report.
		s.decide(t.Context())
		clock.Skip(-time.Second)
		if l := g.machine.QuarantineLog(); len(l.Entries) != c.held {
			t.Errorf("%s: held %+v", name, l.Entries)
		}
	}
}

// TestLocalQuarantineDecides checks that an instance without a group decides to
// hold a request itself.
func TestLocalQuarantineDecides(t *testing.T) {
	q := newTestQuarantine(NewLocalQuarantine(func(string) bool { return false }))
	for _, o := range threeCrashes() {
		q.filter.RecordCrash(o.Server, o.Runs, clock.Now())
	}
	q.report(t.Context())
	if q.check(crashing).Held {
		t.Error("held at once")
	}
	clock.Skip(time.Second)
	defer clock.Skip(-time.Second)
	q.report(t.Context())
	if !q.check(crashing).Held {
		t.Error("not held")
	}
}

// TestLeavingServerIsNotSuspected checks that an exchange does not suspect a
// leaving server, and that an answered request is reported as a success.
func TestLeavingServerIsNotSuspected(t *testing.T) {
	_, ended := listening(t)
	for _, leaving := range []bool{true, false} {
		tables := state.NewTables()
		row := ended.Instance
		row.Kind, row.Leaving = protocol.InstanceEngine, leaving
		tables.Backends.SetList([]protocol.Instance{row}, clock.Now())
		g := NewGateway(settings.New(), tables)
		x := g.newExchange(crashing, "x")
		x.connBroken(&call{server: ended, sent: time.Now()}, io.EOF)
		g.quarantine.mu.Lock()
		suspected := g.quarantine.broken.Len() > 0
		g.quarantine.mu.Unlock()
		if suspected == leaving {
			t.Errorf("leaving %v: suspected %v", leaving, suspected)
		}
		q := g.quarantine
		q.mu.Lock()
		q.filter.ApplyUpdate(nil, &protocol.WatchUpdate{Requests: []protocol.Fingerprint{quarantineRequest(crashing).Fingerprint()}}, clock.Now())
		q.mu.Unlock()
		x.end(attempt.FinishCmd{})
		q.mu.Lock()
		reported := q.filter.Report(1, clock.Now())
		q.mu.Unlock()
		if !slices.ContainsFunc(reported, func(o protocol.Observation) bool { return o.Server == "" }) {
			t.Errorf("leaving %v: reported %+v for an answered request", leaving, reported)
		}
	}
}

// TestQuarantineRequestIdentity checks that sends with different keys are the same
// request, and that sends with another workspace, route, kind, path or body are
// not.
func TestQuarantineRequestIdentity(t *testing.T) {
	same := func(change func(r *protocol.Request)) bool {
		r := *crashing
		change(&r)
		return quarantineRequest(&r).Fingerprint() == quarantineRequest(crashing).Fingerprint()
	}
	if !same(func(r *protocol.Request) { r.Key.ID = "2" }) {
		t.Error("another key changes the identity")
	}
	for name, change := range map[string]func(r *protocol.Request){
		"workspace": func(r *protocol.Request) { r.Key.Workspace = "v" },
		"route":     func(r *protocol.Request) { r.Route = "s" },
		"kind":      func(r *protocol.Request) { r.Kind = protocol.KindChat },
		"service":   func(r *protocol.Request) { r.Kind, r.Path = protocol.KindService, "/x" },
		"body":      func(r *protocol.Request) { r.Body = []byte("other") },
	} {
		if same(change) {
			t.Errorf("another %s does not change the identity", name)
		}
	}
}
